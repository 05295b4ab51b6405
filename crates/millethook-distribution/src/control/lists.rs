//! The server lists that the sidecars of a control node subscribe to, as each sidecar has reported.

use std::sync::Arc;

use millethook_machine::Micros;

use super::ControlNode;
use crate::lists::ListStatuses;
use crate::message::{ListsPayload, ListsUpdate, Message, Role};
use crate::outgoing::Receiver;
use crate::sidecar::CONFIRM_INTERVAL;

/// A sidecar that sends digests and has sent nothing about lists for this time does not subscribe to lists any more: it
/// has restarted without lists, or with a build that does not know them. Of six messages, at least one arrives at any
/// loss that the design covers.
const LISTS_TIMEOUT: Micros = 6 * CONFIRM_INTERVAL;

/// The lists that one sidecar subscribes to.
#[derive(Clone, Debug, Default)]
pub(super) struct SidecarLists {
    /// The last known status of each list.
    pub statuses: Arc<ListStatuses>,
    /// None: the sidecar has not reported all of them yet.
    hash: Option<u64>,
    /// The parts that have arrived of the full report with this hash.
    partial: Option<(u64, ListStatuses)>,
    last_heard: Micros,
}

/// The result of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListsOutcome {
    /// The lists with this hash are known.
    Known,
    /// They are not known: the sidecar has to send all of them.
    Unknown,
    /// A part of them is known.
    Incomplete,
}

impl SidecarLists {
    /// Handles a sidecar's report of its lists, or of changes.
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

    /// Stores statuses whose hash has been verified.
    fn set_known(&mut self, hash: u64, statuses: ListStatuses) -> ListsOutcome {
        (self.hash, self.partial) = (Some(hash), None);
        self.statuses = Arc::new(statuses);
        ListsOutcome::Known
    }

    /// Whether the sidecar, which last sent a digest at this time, does not subscribe to lists any more.
    pub fn has_expired(&self, sidecar_last_heard: Micros) -> bool {
        sidecar_last_heard > self.last_heard.saturating_add(LISTS_TIMEOUT)
    }
}

impl ControlNode {
    /// Handles a sidecar's report of its lists.
    pub(super) fn on_lists(&mut self, now: Micros, from: u16, lists: ListsUpdate) {
        let hash = lists.hash;
        // A sidecar that is unknown here has to send a digest first.
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
