//! Which kept write goes out next, and what becomes of it. One owner at a time, by its token.

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

/// How a store is replayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Writes that are out at once, at most.
    pub max_concurrent: usize,
    /// Writes a second that all stores of the fleet may send together.
    pub fleet_writes_per_second: f64,
    /// What is kept for longer has expired, in milliseconds.
    pub max_age_ms: u64,
    /// For so long a write waits for one that it comes after, in microseconds.
    pub predecessor_wait: Micros,
    /// What is done with one whose forerunner has failed or never came: true: it goes all the same.
    pub send_without_predecessor: bool,
    /// A keyed write is not repeated in the last part of its window, in milliseconds: it has to arrive within it.
    pub repeat_margin_ms: u64,
}

/// What came of a write that went out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server has served it.
    Served,
    /// A server has refused it for good: its status, and the begin of its answer.
    Refused(u16, Vec<u8>),
    /// What was kept of it is spoilt; it did not go out.
    Damaged,
    /// It did not run: there was no room, no server, or it never went out.
    NotRun,
    /// Nobody knows.
    MayHaveRun,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this down about a write and wait until it is on disk; then call [`Replay::record_written`].
    Write(u64, Record),
    /// Send this write, if the lease is still there in this instant; then call [`Replay::outcome`].
    Send(u64),
}

/// The replay of one store under one token.
#[derive(Clone, Debug)]
pub struct Replay {
    pub(crate) config: Config,
    pub(crate) token: Token,
    pub(crate) book: Book,
    /// Records on their way to the disk.
    pub(crate) writing: BTreeMap<u64, Record>,
    /// Writes that are out.
    pub(crate) in_flight: BTreeMap<u64, Micros>,
    /// Since when a write waits for another one.
    waiting: BTreeMap<u64, Micros>,
    /// Writes that can be looked at: they are not out, not in doubt, and nothing was seen that holds them up.
    ready: BTreeSet<u64>,
    /// Those that wait for others.
    held: BTreeSet<u64>,
    next_scan_at: Micros,
    rate: ReplayRate,
    /// The store's process is gone.
    process_ended: bool,
}

/// Between two looks at what waits for other stores.
const SCAN_INTERVAL_US: Micros = 100_000;
/// Writes that are looked at in one step, at most.
const MAX_SCANNED_PER_STEP: usize = 64;

impl Replay {
    /// Takes a store over as its book stands.
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

    /// The store.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// The token that it goes by.
    pub fn token(&self) -> Token {
        self.token
    }

    /// So many stores of the fleet are being replayed.
    pub fn set_store_count(&mut self, stores: usize) {
        self.rate.set_store_count(stores);
    }

    /// Writes a second, at present.
    pub fn rate(&self) -> f64 {
        self.rate.rate()
    }

    /// More of the store's files has been read: a write that was kept since, an earlier owner's late word, an
    /// operator's.
    pub fn apply_record(&mut self, seq: u64, at: (u64, u32), record: &Record) {
        // What an earlier owner has marked after this one took over did not go out: it looks at its lease
        // after the mark. To take it for out would leave it for ever.
        if matches!(record, Record::Mark { .. }) {
            return;
        }
        self.book.apply(seq, at, record);
        let out = self.in_flight.contains_key(&seq) || self.writing.contains_key(&seq);
        if self.book.open.contains(&seq) && !out {
            self.ready.insert(seq);
        }
    }

    /// A part of the intake that was read since is spoilt; the write that it was about, if its head tells.
    pub fn intake_damaged(&mut self, about: Option<u64>) {
        self.book.resolve_unacknowledged(about);
    }

    /// The store's process is gone, and all that it wrote has been read.
    /// What is not acknowledged by then never is: no client has a receipt for it.
    pub fn process_ended(&mut self) {
        self.process_ended = true;
        self.ready.extend(&self.book.unacknowledged);
    }

    /// What is to be done next, if anything. `host_now` is the host's time, `unix_ms` Unix time, `elsewhere` tells of other
    /// stores.
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

    /// When [`Replay::next`] may have something again, if nothing else happens.
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
        // With those that stand behind a write that was taken out: of each, only the nearest are named.
        let mut unchecked: SmallVec<[(u64, WriteId); 8]> =
            entry.after.iter().map(|id| (seq, *id)).collect();
        let mut expanded: BTreeSet<WriteId> = BTreeSet::new();
        while let Some((named_by, id)) = unchecked.pop() {
            // One that names itself or a later one names what it cannot have seen.
            let in_this_store = id.edge == self.book.edge;
            if in_this_store && (id.seq >= named_by || mutant::is(Mutant::NoOrder)) {
                continue;
            }
            let before = self.book.entries.get(&id.seq).filter(|_| in_this_store);
            match before.map(|e| e.state) {
                // Without this, what comes after this write would overtake what this write had to wait for.
                Some(State::Ended(End::Withdrawn | End::Dropped)) => {
                    let behind = before.into_iter().filter(|_| expanded.insert(id));
                    unchecked.extend(behind.flat_map(|e| e.after.iter().map(|of| (id.seq, *of))));
                }
                Some(State::Ended(end))
                    if end.is_well() || self.config.send_without_predecessor => {}
                Some(State::Ended(_)) => return Predecessors::Failed,
                Some(_) => open = true,
                // Its record is spoilt.
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

    /// What was to be written down about a write is on disk; None: that failed, and nothing of it holds.
    pub fn record_written(&mut self, now: Micros, seq: u64, on_disk: bool) -> Option<Step> {
        let record = self.writing.remove(&seq)?;
        if !on_disk {
            self.ready.insert(seq);
            self.rate.on_refusal();
            return None;
        }
        self.book.apply(seq, (0, 0), &record);
        match record {
            // It was ended while its mark was on the way: an operator has dropped it, or it was withdrawn.
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
                // Those behind it may go now.
                let held = std::mem::take(&mut self.held);
                self.ready.extend(held);
                None
            }
        }
    }

    /// What came of a write that went out.
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
    /// All have their end; true: one was not waited for any longer.
    Ended(bool),
    Open,
    /// One has failed, or never came, and this one is not to go without it.
    Failed,
}
