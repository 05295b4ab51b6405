//! Decides which stored write is sent next and records its outcome. A store has one owner at a time, identified by
//! its token.

use std::collections::{BTreeMap, BTreeSet};

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::book::Book;
use crate::entry::{Entry, State};
use crate::mutant::{self, Mutant};
use crate::rate::ReplayRate;
use crate::record::{End, HostTime, Record, Repeat};
use crate::watermark::Progress;
use crate::{Micros, WriteId};

/// Settings of a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Maximum number of writes in flight.
    pub max_concurrent: usize,
    /// Writes per second that all stores of the fleet may send together.
    pub fleet_writes_per_second: f64,
    /// Age in milliseconds at which a write that was never sent expires.
    pub max_age_ms: u64,
    /// How long a write waits for a dependency, in microseconds.
    pub predecessor_wait: Micros,
    /// Whether a write is sent if a dependency failed or never arrived; otherwise it ends as forsaken.
    pub send_without_predecessor: bool,
    /// A keyed write is not repeated in the last milliseconds of its window, since it has to arrive within the
    /// window.
    pub repeat_margin_ms: u64,
}

/// The outcome of a write that was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server served it.
    Served,
    /// A server refused it permanently: status and the first bytes of its answer.
    Refused(u16, Vec<u8>),
    /// The stored record is damaged; the write was not sent.
    Damaged,
    /// It was not executed: there was no capacity or no server, or it was never sent.
    NotRun,
    /// The outcome is unknown.
    MayHaveRun,
}

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this record about a write, wait until it is on disk, then call [`Replay::record_written`].
    Write(u64, Record),
    /// Send this write if the lease is still valid at this instant, then call [`Replay::outcome`].
    Send(u64),
}

/// The replay of one store under one token.
#[derive(Clone, Debug)]
pub struct Replay {
    pub(crate) config: Config,
    pub(crate) token: Token,
    pub(crate) book: Book,
    /// Records that are being written to disk.
    pub(crate) writing: BTreeMap<u64, Record>,
    /// Writes in flight, with the time of sending.
    pub(crate) in_flight: BTreeMap<u64, Micros>,
    /// The time since which a write has been waiting for a dependency.
    waiting: BTreeMap<u64, Micros>,
    /// Candidates for sending: not in flight, not in doubt, and not known to be blocked.
    ready: BTreeSet<u64>,
    /// Writes that wait for dependencies.
    held: BTreeSet<u64>,
    next_scan_at: Micros,
    rate: ReplayRate,
    /// The store's process has ended.
    process_ended: bool,
}

/// Interval at which waiting writes are examined again.
const SCAN_INTERVAL_US: Micros = 100_000;
/// Maximum number of writes that are examined in one step.
const MAX_SCANNED_PER_STEP: usize = 64;

impl Replay {
    /// Takes over a store, given its book.
    pub fn new(config: Config, token: Token, mut book: Book, now: Micros) -> Replay {
        book.take_over(token);
        let ready = book.open.clone();
        Replay {
            config,
            token,
            book,
            writing: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ready,
            held: BTreeSet::new(),
            next_scan_at: 0,
            rate: ReplayRate::new(config.fleet_writes_per_second, now),
            process_ended: false,
        }
    }

    /// The store's book.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The token of this owner.
    pub fn token(&self) -> Token {
        self.token
    }

    /// Sets the number of stores of the fleet that are being replayed.
    pub fn set_store_count(&mut self, stores: usize) {
        self.rate.set_store_count(stores);
    }

    /// The current rate in writes per second.
    pub fn rate(&self) -> f64 {
        self.rate.rate()
    }

    /// Applies a record that was appended to the store's files since the takeover: a new write, a late outcome from
    /// an earlier owner, or an operator's decision.
    pub fn apply_record(&mut self, seq: u64, at: (u64, u32), record: &Record) {
        // An earlier owner checks its lease after writing a mark. A write that it marked after this takeover was
        // therefore not sent; treating it as in flight would leave it in that state forever.
        if matches!(record, Record::Mark { .. }) {
            return;
        }
        self.book.apply(seq, at, record);
        let out = self.in_flight.contains_key(&seq) || self.writing.contains_key(&seq);
        if self.book.open.contains(&seq) && !out {
            self.ready.insert(seq);
        }
    }

    /// Handles a damaged part of the intake that was read after the takeover. `about`: its write, if the header is
    /// intact.
    pub fn intake_damaged(&mut self, about: Option<u64>) {
        self.book.resolve_unacknowledged(about);
    }

    /// Must be called when the store's process has ended and everything that it wrote has been read. Writes without
    /// an acknowledgement are then withdrawn: no client has a receipt for them.
    pub fn process_ended(&mut self) {
        self.process_ended = true;
        self.ready.extend(&self.book.unacknowledged);
    }

    /// Returns the next action, if any. `host_now` is the host's time, `unix_ms` the Unix time, and `elsewhere`
    /// returns the progress of writes in other stores.
    pub fn next(
        &mut self,
        now: Micros,
        host_now: HostTime,
        unix_ms: u64,
        elsewhere: &dyn Fn(WriteId) -> Progress,
    ) -> Option<Step> {
        if self.next_scan_at <= now {
            self.next_scan_at = now + SCAN_INTERVAL_US;
            let held = std::mem::take(&mut self.held);
            self.ready.extend(held);
        }
        let has_capacity =
            self.in_flight.len() + self.writing.len() < self.config.max_concurrent.max(1);
        for _ in 0..MAX_SCANNED_PER_STEP {
            let seq = *self.ready.first()?;
            self.ready.remove(&seq);
            let Some(entry) = self.book.entries.get(&seq) else { continue };
            if unix_ms.saturating_sub(entry.kept_ms) > self.config.max_age_ms
                && entry.state == State::Kept
            {
                return Some(self.end(seq, End::Expired, unix_ms));
            }
            match entry.state {
                State::Unacknowledged if self.process_ended && !self.writing.contains_key(&seq) => {
                    return Some(self.end(seq, End::Withdrawn, unix_ms));
                }
                State::Unacknowledged | State::Ended(_) | State::InFlight(_) | State::InDoubt => {
                    continue;
                }
                State::Repeatable if !self.is_within_window(entry, host_now) => {
                    if let Some(entry) = self.book.entries.get_mut(&seq) {
                        entry.state = State::InDoubt;
                    }
                    continue;
                }
                State::Kept | State::Repeatable => {}
            }
            match self.check_predecessors(now, seq, entry, elsewhere) {
                Predecessors::Ended(skipped) => {
                    if !has_capacity || self.rate.next_send_at() > now {
                        self.ready.insert(seq);
                        return None;
                    }
                    self.waiting.remove(&seq);
                    if let Some(entry) = self.book.entries.get_mut(&seq) {
                        entry.predecessor_skipped |= skipped;
                    }
                    let mark = Record::Mark { by: self.token.into(), at: host_now };
                    if mutant::is(Mutant::NoMark) {
                        self.in_flight.insert(seq, now);
                        self.rate.on_send(now);
                        return Some(Step::Send(seq));
                    }
                    self.writing.insert(seq, mark.clone());
                    return Some(Step::Write(seq, mark));
                }
                Predecessors::Open => {
                    self.waiting.entry(seq).or_insert(now);
                    self.held.insert(seq);
                }
                Predecessors::Failed => return Some(self.end(seq, End::Forsaken, unix_ms)),
            }
        }
        None
    }

    /// The time at which [`Replay::next`] may return an action again if nothing else happens.
    pub fn poll_timeout(&self) -> Micros {
        let held = if self.held.is_empty() { Micros::MAX } else { self.next_scan_at };
        let ready = if self.ready.is_empty() { Micros::MAX } else { self.rate.next_send_at() };
        held.min(ready)
    }

    fn is_within_window(&self, entry: &Entry, host_now: HostTime) -> bool {
        let Repeat::Within { window_ms } = entry.repeat else {
            return mutant::is(Mutant::AlwaysAgain);
        };
        let passed = entry.first_sent.and_then(|first| host_now.since(first));
        let last = window_ms.saturating_sub(self.config.repeat_margin_ms);
        passed.is_some_and(|passed| passed < last) || mutant::is(Mutant::NoWindow)
    }

    fn check_predecessors(
        &self,
        now: Micros,
        seq: u64,
        entry: &Entry,
        elsewhere: &dyn Fn(WriteId) -> Progress,
    ) -> Predecessors {
        let mut open = false;
        // Includes the dependencies of withdrawn and dropped writes, since a write names only its nearest
        // dependencies.
        let mut unchecked: SmallVec<[(u64, WriteId); 8]> =
            entry.after.iter().map(|id| (seq, *id)).collect();
        let mut expanded: BTreeSet<WriteId> = BTreeSet::new();
        while let Some((named_by, id)) = unchecked.pop() {
            // A write cannot depend on itself or on a later write, so such a name is ignored.
            let in_this_store = id.edge == self.book.edge;
            if in_this_store && (id.seq >= named_by || mutant::is(Mutant::NoOrder)) {
                continue;
            }
            let before = self.book.entries.get(&id.seq).filter(|_| in_this_store);
            match before.map(|e| e.state) {
                // Without this, a write that depends on the withdrawn one would overtake the dependencies of that
                // one.
                Some(State::Ended(End::Withdrawn | End::Dropped)) => {
                    let behind = before.into_iter().filter(|_| expanded.insert(id));
                    unchecked.extend(behind.flat_map(|e| e.after.iter().map(|of| (id.seq, *of))));
                }
                Some(State::Ended(end))
                    if end.is_well() || self.config.send_without_predecessor => {}
                Some(State::Ended(_)) => return Predecessors::Failed,
                Some(_) => open = true,
                // The dependency's record is damaged.
                None if in_this_store => open = true,
                None if mutant::is(Mutant::NoOrderElsewhere) => {}
                None => match elsewhere(id) {
                    Progress::Ended => {}
                    Progress::Failed if self.config.send_without_predecessor => {}
                    Progress::Failed => return Predecessors::Failed,
                    Progress::Open | Progress::Unknown => open = true,
                },
            }
        }
        if !open {
            return Predecessors::Ended(false);
        }
        let since = self.waiting.get(&seq).copied().unwrap_or(now);
        match (now >= since + self.config.predecessor_wait, self.config.send_without_predecessor) {
            (false, _) => Predecessors::Open,
            (true, true) => Predecessors::Ended(true),
            (true, false) => Predecessors::Failed,
        }
    }

    fn end(&mut self, seq: u64, how: End, at_ms: u64) -> Step {
        let record = Record::End { how, status: 0, answer: Vec::new(), at_ms };
        self.writing.insert(seq, record.clone());
        Step::Write(seq, record)
    }

    /// Reports that the record about a write is on disk, or, if `on_disk` is false, that writing it failed and it has
    /// no effect.
    pub fn record_written(&mut self, now: Micros, seq: u64, on_disk: bool) -> Option<Step> {
        let record = self.writing.remove(&seq)?;
        if !on_disk {
            self.ready.insert(seq);
            self.rate.on_refusal();
            return None;
        }
        self.book.apply(seq, (0, 0), &record);
        match record {
            // The write ended while its mark was being written: an operator dropped it, or it was withdrawn.
            Record::Mark { .. } if !self.book.open.contains(&seq) => None,
            Record::Mark { .. } => {
                self.in_flight.insert(seq, now);
                self.rate.on_send(now);
                Some(Step::Send(seq))
            }
            _ => {
                let open = self.book.open.contains(&seq);
                if open {
                    self.ready.insert(seq);
                }
                // The writes that wait for this one may be ready now.
                let held = std::mem::take(&mut self.held);
                self.ready.extend(held);
                None
            }
        }
    }

    /// Reports the outcome of a write that was sent.
    pub fn outcome(&mut self, seq: u64, outcome: Outcome, at_ms: u64) -> Option<Step> {
        self.in_flight.remove(&seq)?;
        let by = self.token.into();
        let record = match outcome {
            Outcome::Served => {
                self.rate.on_answer();
                Record::End { how: End::Done, status: 0, answer: Vec::new(), at_ms }
            }
            Outcome::Refused(status, answer) => {
                self.rate.on_answer();
                Record::End { how: End::Refused, status, answer, at_ms }
            }
            Outcome::Damaged => {
                Record::End { how: End::Spoilt, status: 0, answer: Vec::new(), at_ms }
            }
            Outcome::NotRun => {
                self.rate.on_refusal();
                Record::NotRun { by }
            }
            Outcome::MayHaveRun => {
                self.rate.on_refusal();
                Record::MayHaveRun { by }
            }
        };
        self.writing.insert(seq, record.clone());
        Some(Step::Write(seq, record))
    }
}

enum Predecessors {
    /// All have ended; true: the wait for one of them was given up.
    Ended(bool),
    Open,
    /// One failed or never arrived, and the settings forbid sending without it.
    Failed,
}
