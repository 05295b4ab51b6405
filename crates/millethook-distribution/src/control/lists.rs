//! Which lists of servers the sidecars of a control node want, as each has told.

use std::sync::Arc;

use millethook_machine::Micros;

use super::ControlNode;
use crate::lists::ListStatuses;
use crate::message::{ListsPayload, ListsUpdate, Message, Role};
use crate::outgoing::Receiver;
use crate::sidecar::CONFIRM_INTERVAL;

/// A sidecar that sends digests and has said nothing of lists for so long wants none any more: it has started again
/// without lists, or with a build that knows none. Of six messages one comes through at any loss that is designed for.
const LISTS_TIMEOUT: Micros = 6 * CONFIRM_INTERVAL;

/// The lists that one sidecar wants.
#[derive(Clone, Debug, Default)]
pub(super) struct SidecarLists {
    pub statuses: Arc<ListStatuses>,
    /// None: not all of it has been told yet.
    hash: Option<u64>,
    /// What has come of the whole with this hash.
    partial: Option<(u64, ListStatuses)>,
    last_heard: Micros,
}

/// What a message has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListsOutcome {
    /// What the hash stands for is known.
    Known,
    /// It is not: the sidecar has to tell all of it.
    Unknown,
    /// A part of it is.
    Incomplete,
}

impl SidecarLists {
    /// A sidecar tells which lists it wants, or what has changed.
    pub fn on_update(&mut self, now: Micros, lists: ListsUpdate) -> ListsOutcome {
        self.last_heard = now;
        match lists.payload {
            _ if self.hash == Some(lists.hash) => ListsOutcome::Known,
            ListsPayload::Hash => ListsOutcome::Unknown,
            ListsPayload::Changes(changes) => {
                let mut statuses = ListStatuses::clone(&self.statuses);
                statuses.extend(changes);
                if self.hash.is_none() || statuses.hash() != lists.hash {
                    return ListsOutcome::Unknown;
                }
                self.set_known(lists.hash, statuses)
            }
            ListsPayload::Full(part) => {
                let partial = self.partial.take().filter(|(hash, _)| *hash == lists.hash);
                let mut statuses = partial.map(|(_, statuses)| statuses).unwrap_or_default();
                statuses.extend(part);
                if statuses.hash() == lists.hash {
                    return self.set_known(lists.hash, statuses);
                }
                self.partial = Some((lists.hash, statuses));
                ListsOutcome::Incomplete
            }
        }
    }

    fn set_known(&mut self, hash: u64, statuses: ListStatuses) -> ListsOutcome {
        (self.hash, self.partial) = (Some(hash), None);
        self.statuses = Arc::new(statuses);
        ListsOutcome::Known
    }

    /// Whether its sidecar, which was heard of at this time, wants no lists any more.
    pub fn has_expired(&self, sidecar_last_heard: Micros) -> bool {
        sidecar_last_heard > self.last_heard.saturating_add(LISTS_TIMEOUT)
    }
}

impl ControlNode {
    /// A sidecar tells which lists it wants.
    pub(super) fn on_lists(&mut self, now: Micros, from: u16, lists: ListsUpdate) {
        let hash = lists.hash;
        // One that is not known here sends a digest first.
        let Some(outcome) = self.subscribers.on_lists_update(now, from, lists) else { return };
        let known = match outcome {
            ListsOutcome::Incomplete => return,
            ListsOutcome::Known => true,
            ListsOutcome::Unknown => false,
        };
        let to = Receiver { number: from, role: Role::Sidecar };
        self.outgoing.send(to, &Message::ListsReply { hash, known });
        if known {
            self.push_outdated_lists(now, from);
        }
    }
}
