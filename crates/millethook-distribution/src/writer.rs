//! The writer: one control node at a time, by a token from outside.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millethook_lease::Token;
use millethook_machine::Micros;

use crate::mutant::{self, Mutant};
use crate::{Document, DocumentId, DocumentKey, Limits, Rollout, Version};

/// An announcement that was not answered goes out again after this time.
const ANNOUNCE_RETRY: Micros = 250_000;
/// A round counts for this part of the silence: clocks may differ by a fifth.
const ROUND_SHARE_OF_SILENCE: f64 = 0.8;
/// Keys of which reports are kept, at most.
const MAX_REPORTED_KEYS: usize = 1_024;
/// A control node that has reported nothing for so long is not counted: its sidecars are counted elsewhere soon. Each
/// reports something once a second.
pub(crate) const REPORT_VALIDITY: Micros = 4_000_000;

/// The control nodes that are configured: a majority of them decides.
#[derive(Clone, Debug)]
pub(crate) struct Quorum(pub Vec<u16>);

impl Quorum {
    /// Whether these are a majority.
    pub fn is_majority(&self, of: &BTreeSet<u16>) -> bool {
        let missing_allowed = usize::from(mutant::is(Mutant::NoMajority));
        let count = self.0.iter().filter(|number| of.contains(number)).count();
        count + missing_allowed > self.0.len() / 2
    }
}

/// How long a round of a writer counts, in microseconds.
pub(crate) fn round_length(limits: &Limits) -> Micros {
    (limits.silence as f64 * ROUND_SHARE_OF_SILENCE) as Micros
}

/// A document on its way to a majority.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    pub document: Arc<Document>,
    /// By which votes are known, and when it was sent: votes for it count for [`round_length`].
    pub round: u32,
    pub sent: Micros,
    pub accepted: BTreeSet<u16>,
    /// What is published next; of several the latest.
    pub waiting: Option<Arc<Document>>,
}

/// The control node that may publish.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    pub token: Token,
    /// Documents that were made under this token.
    counter: u32,
    /// The round of the announcement, and when it began.
    pub round: u32,
    pub sent: Micros,
    pub announce_at: Micros,
    /// Who takes no lower token any more, and of whom all is known.
    pub promised: BTreeSet<u16>,
    pub learned: BTreeSet<u16>,
    pub ready: bool,
    pub publications: BTreeMap<DocumentKey, Publication>,
    /// Versions that put back what was before: they are not stopped again.
    pub restored: BTreeSet<Version>,
    reports: BTreeMap<DocumentKey, (Version, BTreeMap<u16, Rollout>)>,
    /// When each control node last reported on any document.
    reported: BTreeMap<u16, Micros>,
}

impl Writer {
    pub fn new(token: Token) -> Writer {
        Writer {
            token,
            counter: 0,
            round: 0,
            sent: 0,
            announce_at: 0,
            promised: BTreeSet::new(),
            learned: BTreeSet::new(),
            ready: false,
            publications: BTreeMap::new(),
            restored: BTreeSet::new(),
            reports: BTreeMap::new(),
            reported: BTreeMap::new(),
        }
    }

    /// Begins a round of announcements.
    pub fn start_round(&mut self, now: Micros, me: u16, round: u32) {
        (self.round, self.sent, self.announce_at) = (round, now, now);
        self.promised = BTreeSet::from([me]);
        self.learned = BTreeSet::from([me]);
    }

    /// Whether an announcement has to go out now.
    pub fn is_due(&mut self, now: Micros) -> bool {
        let due = !self.ready && self.announce_at <= now;
        if due {
            self.announce_at = now + ANNOUNCE_RETRY;
        }
        due
    }

    /// The next version.
    pub fn next_version(&mut self) -> Version {
        if !mutant::is(Mutant::CounterStays) || self.counter == 0 {
            self.counter = self.counter.saturating_add(1);
        }
        Version { token: self.token, counter: self.counter }
    }

    /// Whether versions are left under this token.
    pub fn has_versions(&self) -> bool {
        self.counter < u32::MAX
    }

    /// A control node has told how far a document has come.
    pub fn on_report(&mut self, now: Micros, from: u16, id: DocumentId, rollout: Rollout) {
        self.reported.insert(from, now);
        let entry = self.reports.entry(id.key).or_insert_with(|| (id.version, BTreeMap::new()));
        if entry.0 < id.version {
            *entry = (id.version, BTreeMap::new());
        }
        if entry.0 == id.version {
            entry.1.insert(from, rollout);
        }
        if self.reports.len() > MAX_REPORTED_KEYS {
            let oldest = self.reports.iter().min_by_key(|(_, (version, _))| *version);
            if let Some(key) = oldest.map(|(key, _)| *key) {
                self.reports.remove(&key);
            }
        }
    }

    /// The sum of what `own` and the other control nodes have told, of so many in all.
    pub fn sum(&self, now: Micros, id: DocumentId, own: Rollout, count: usize) -> Rollout {
        let mut sum = own;
        let mut reporting = 1;
        let told = self.reports.get(&id.key).filter(|(version, _)| *version == id.version);
        for (from, rollout) in told.into_iter().flat_map(|(_, others)| others) {
            let is_current = |at: &Micros| now < at.saturating_add(REPORT_VALIDITY);
            if self.reported.get(from).is_some_and(is_current) {
                sum.add(rollout);
                reporting += 1;
            }
        }
        sum.control_nodes = count as u32;
        sum.control_nodes_missing = count.saturating_sub(reporting) as u32;
        sum
    }
}
