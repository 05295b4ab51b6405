//! What a sidecar has told its control nodes about the lists that it subscribes to.
//!
//! A control node that reports an unknown hash is sent all list statuses; one that knew the previous state is sent the
//! changes. The hash alone is sent once in [`CONFIRM_INTERVAL`], so that a control node that has forgotten the statuses
//! asks for them. A control node of a build without lists never answers, and is sent the hash only.

use std::collections::BTreeSet;

use millethook_machine::Micros;
use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::lists::ListStatuses;
use crate::message::{ListsPayload, ListsUpdate, split_into_messages};

/// The interval at which the hash of the lists is sent to a control node that knows them.
pub(crate) const CONFIRM_INTERVAL: Micros = 4_000_000;
/// The mean wait until an unanswered message is repeated. It doubles each time, up to [`CONFIRM_INTERVAL`].
const RETRY_MEAN: Micros = 350_000;
/// A change is reported within this time.
const CHANGE_REPORT_DELAY: Micros = 50_000;

/// The state of one control node.
#[derive(Clone, Debug)]
struct ListLink {
    number: u16,
    /// It has confirmed that it knows everything that is not in `changed`.
    is_in_sync: bool,
    /// It has reported that it does not know the hash.
    needs_full: bool,
    /// Services whose list statuses it may not know.
    changed: BTreeSet<u32>,
    unanswered: u32,
    next_at: Micros,
}

/// The control nodes that are informed.
#[derive(Clone, Debug)]
pub(super) struct ListLinks {
    links: Vec<ListLink>,
    random: Pcg32,
}

impl ListLinks {
    /// Creates an empty set.
    pub fn new(seed: u64) -> ListLinks {
        ListLinks { links: Vec::new(), random: Pcg32::seed_from_u64(mix(!seed)) }
    }

    /// A control node in use has answered a digest; `knew`: it knew the statuses of the digest.
    pub fn on_digest_reply(&mut self, now: Micros, number: u16, knew: bool) {
        match self.links.iter_mut().find(|link| link.number == number) {
            Some(link) if !knew => link.next_at = link.next_at.min(now + CHANGE_REPORT_DELAY),
            None if knew => self.links.push(ListLink {
                number,
                is_in_sync: false,
                needs_full: false,
                changed: BTreeSet::new(),
                unanswered: 0,
                next_at: now,
            }),
            _ => {}
        }
    }

    /// Drops all control nodes except these.
    pub fn retain(&mut self, numbers: &[u16]) {
        self.links.retain(|link| numbers.contains(&link.number));
    }

    /// A control node has answered; `current` is the present hash.
    pub fn on_lists_reply(
        &mut self,
        now: Micros,
        number: u16,
        hash: u64,
        known: bool,
        current: u64,
    ) {
        let wait = self.with_jitter(CONFIRM_INTERVAL);
        let Some(link) = self.links.iter_mut().find(|link| link.number == number) else { return };
        link.unanswered = 0;
        (link.is_in_sync, link.needs_full) = (known, !known);
        if known && hash == current {
            link.changed.clear();
            link.next_at = now + wait;
        } else if known {
            link.next_at = link.next_at.min(now + CHANGE_REPORT_DELAY);
        } else {
            link.next_at = now;
        }
    }

    /// The status of the list of a service has changed.
    pub fn changed(&mut self, now: Micros, service: u32) {
        for n in 0..self.links.len() {
            let soon = now + self.random.next_u64() % CHANGE_REPORT_DELAY;
            let link = &mut self.links[n];
            link.changed.insert(service);
            link.next_at = link.next_at.min(soon);
        }
    }

    /// This control node offers a list that is already known here.
    pub fn resend_status(&mut self, now: Micros, number: u16, service: u32) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == number) {
            link.changed.insert(service);
            link.next_at = link.next_at.min(now + RETRY_MEAN / 4);
        }
    }

    /// The updates that are due, by control node.
    pub fn due(&mut self, now: Micros, statuses: &ListStatuses) -> Vec<(u16, ListsUpdate)> {
        let mut due = Vec::new();
        let hash = statuses.hash();
        for n in 0..self.links.len() {
            if self.links[n].next_at > now {
                continue;
            }
            let wait = RETRY_MEAN.saturating_mul(1 << self.links[n].unanswered.min(16));
            let wait = self.with_jitter(wait.min(CONFIRM_INTERVAL));
            let link = &mut self.links[n];
            link.next_at = now + wait;
            link.unanswered = link.unanswered.saturating_add(1);
            let payloads = link.payloads_due(statuses);
            due.extend(
                payloads.into_iter().map(|payload| (link.number, ListsUpdate { hash, payload })),
            );
        }
        due
    }

    /// The time at which [`ListLinks::due`] has to be called next.
    pub fn next_at(&self) -> Micros {
        self.links.iter().map(|link| link.next_at).min().unwrap_or(Micros::MAX)
    }

    /// A random wait between three quarters and five quarters of the mean.
    fn with_jitter(&mut self, mean: Micros) -> Micros {
        mean - mean / 4 + self.random.next_u64() % (mean / 2).max(1)
    }
}

impl ListLink {
    /// The payloads that this control node has to be sent.
    fn payloads_due(&self, statuses: &ListStatuses) -> Vec<ListsPayload> {
        if self.needs_full {
            return split_into_messages(statuses).into_iter().map(ListsPayload::Full).collect();
        }
        if !self.is_in_sync || self.changed.is_empty() {
            return vec![ListsPayload::Hash];
        }
        let mut changes = ListStatuses::default();
        for service in &self.changed {
            if let Some(status) = statuses.get(*service) {
                changes.insert(*service, status.clone());
            }
        }
        let mut messages = split_into_messages(&changes);
        match (messages.pop(), messages.is_empty()) {
            (Some(changes), true) => vec![ListsPayload::Changes(changes)],
            // Several messages of changes could arrive in any order, so all statuses are sent.
            _ => split_into_messages(statuses).into_iter().map(ListsPayload::Full).collect(),
        }
    }
}
