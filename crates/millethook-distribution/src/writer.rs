//! The state of the writer: one control node at a time, by a lease token that the host passes in.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millethook_lease::Token;
use millethook_machine::Micros;

use crate::mutant::{self, Mutant};
use crate::{Document, DocumentId, DocumentKey, Limits, Rollout, Version};

/// An unanswered announcement is sent again after this time.
const ANNOUNCE_RETRY: Micros = 250_000;
/// A round is valid for this share of the silence, since clock rates may differ by a fifth.
const ROUND_SHARE_OF_SILENCE: f64 = 0.8;
/// The maximum number of keys whose reports are stored.
const MAX_REPORTED_KEYS: usize = 1_024;
/// The reports of a control node that has reported nothing for this time are not counted, since its sidecars are soon
/// counted elsewhere. Each control node reports something once a second.
pub(crate) const REPORT_VALIDITY: Micros = 4_000_000;

/// The configured control nodes, a majority of which decides.
#[derive(Clone, Debug)]
pub(crate) struct Quorum(pub Vec<u16>);

impl Quorum {
    /// Whether `of` holds a majority of the control nodes.
    pub fn is_majority(&self, of: &BTreeSet<u16>) -> bool {
        let missing_allowed = usize::from(mutant::is(Mutant::NoMajority));
        let count = self.0.iter().filter(|number| of.contains(number)).count();
        count + missing_allowed > self.0.len() / 2
    }
}

/// How long votes of a round count, in microseconds.
pub(crate) fn round_length(limits: &Limits) -> Micros {
    (limits.silence as f64 * ROUND_SHARE_OF_SILENCE) as Micros
}

/// A document that a majority has not accepted yet.
#[derive(Clone, Debug)]
pub(crate) struct Publication {
    /// The document that is put to the vote.
    pub document: Arc<Document>,
    /// Identifies the votes of a round, with the time at which the round started: votes count for [`round_length`].
    pub round: u32,
    /// When the round started.
    pub sent: Micros,
    /// The control nodes that have accepted the document.
    pub accepted: BTreeSet<u16>,
    /// The document to publish next; only the latest one is kept.
    pub waiting: Option<Arc<Document>>,
}

/// The state of the control node that may publish.
#[derive(Clone, Debug)]
pub(crate) struct Writer {
    /// The token of the lease under which this control node publishes.
    pub token: Token,
    /// The number of documents created under this token.
    counter: u32,
    /// The round of the announcement, and the time at which it started.
    pub round: u32,
    pub sent: Micros,
    /// When the announcement is due next.
    pub announce_at: Micros,
    /// The control nodes that accept no lower token, and those whose stored documents are all known here.
    pub promised: BTreeSet<u16>,
    pub learned: BTreeSet<u16>,
    /// Whether a majority has promised and its stored documents are known, so that documents can be published.
    pub ready: bool,
    /// The open publications, by key.
    pub publications: BTreeMap<DocumentKey, Publication>,
    /// Versions that restored a previous content: they are not stopped again.
    pub restored: BTreeSet<Version>,
    reports: BTreeMap<DocumentKey, (Version, BTreeMap<u16, Rollout>)>,
    /// When each control node last reported on any document.
    reported: BTreeMap<u16, Micros>,
}

impl Writer {
    /// Creates the state of a writer that is not ready yet.
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

    /// Starts a round of announcements.
    pub fn start_round(&mut self, now: Micros, me: u16, round: u32) {
        (self.round, self.sent, self.announce_at) = (round, now, now);
        self.promised = BTreeSet::from([me]);
        self.learned = BTreeSet::from([me]);
    }

    /// Whether an announcement has to be sent now.
    pub fn is_due(&mut self, now: Micros) -> bool {
        let due = !self.ready && self.announce_at <= now;
        if due {
            self.announce_at = now + ANNOUNCE_RETRY;
        }
        due
    }

    /// Returns the next version.
    pub fn next_version(&mut self) -> Version {
        if !mutant::is(Mutant::CounterStays) || self.counter == 0 {
            self.counter = self.counter.saturating_add(1);
        }
        Version { token: self.token, counter: self.counter }
    }

    /// Whether the counter of this token is not used up.
    pub fn has_versions(&self) -> bool {
        self.counter < u32::MAX
    }

    /// Stores a control node's report on the rollout of a document.
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

    /// The sum of `own` and the reports of the other control nodes, of which there are `count` in all.
    pub fn sum(&self, now: Micros, id: DocumentId, own: Rollout, count: usize) -> Rollout {
        let mut sum = own;
        let mut reporting = 1;
        let reports_of_key =
            self.reports.get(&id.key).filter(|(version, _)| *version == id.version);
        for (from, rollout) in reports_of_key.into_iter().flat_map(|(_, others)| others) {
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
