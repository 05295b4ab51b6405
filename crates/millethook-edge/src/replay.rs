//! Which kept write goes out next, and what becomes of it. One owner at a time, by its token.

use std::collections::{BTreeMap, BTreeSet};

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::book::Book;
use crate::entry::{Entry, State};
use crate::mark::Progress;
use crate::mutant::{self, Mutant};
use crate::pace::Pace;
use crate::record::{End, HostTime, Record, Repeat};
use crate::{Micros, WriteId};

/// How a store is replayed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Writes that are out at once, at most.
    pub at_once: usize,
    /// Writes a second that all stores of the fleet may send together.
    pub fleet_per_second: f64,
    /// What is kept for longer has expired, in milliseconds.
    pub keep_ms: u64,
    /// For so long a write waits for one that it comes after, in microseconds.
    pub forerunner: Micros,
    /// What is done with one whose forerunner has failed or never came: true: it goes all the same.
    pub go_on: bool,
    /// A keyed write is not repeated in the last part of its window, in milliseconds: it has to arrive within it.
    pub margin_ms: u64,
}

/// What came of a write that went out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A server has served it.
    Served,
    /// A server has refused it for good: its status, and the begin of its answer.
    Refused(u16, Vec<u8>),
    /// What was kept of it is spoilt; it did not go out.
    Spoilt,
    /// It did not run: there was no room, no server, or it never went out.
    NotRun,
    /// Nobody knows.
    MayHaveRun,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Write this down about a write and wait until it is on disk; then call [`Replay::written`].
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
    pub(crate) out: BTreeMap<u64, Micros>,
    /// Since when a write waits for another one.
    waiting: BTreeMap<u64, Micros>,
    /// Writes that can be looked at: they are not out, not in doubt, and nothing was seen that holds them up.
    ready: BTreeSet<u64>,
    /// Those that wait for others.
    held: BTreeSet<u64>,
    look_at: Micros,
    pace: Pace,
    /// The store's process is gone.
    gone: bool,
}

/// Between two looks at what waits for other stores.
const LOOK: Micros = 100_000;
/// Writes that are looked at in one step, at most.
const LOOKS: usize = 64;

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
            out: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ready,
            held: BTreeSet::new(),
            look_at: 0,
            pace: Pace::new(config.fleet_per_second, now),
            gone: false,
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
    pub fn set_stores(&mut self, stores: usize) {
        self.pace.set_stores(stores);
    }

    /// Writes a second, at present.
    pub fn rate(&self) -> f64 {
        self.pace.rate()
    }

    /// More of the store's files has been read: a write that was kept since, an earlier owner's late word, an
    /// operator's.
    pub fn read(&mut self, seq: u64, at: (u64, u32), record: &Record) {
        // What an earlier owner has marked after this one took over did not go out: it looks at its lease
        // after the mark. To take it for out would leave it for ever.
        if matches!(record, Record::Mark { .. }) {
            return;
        }
        self.book.apply(seq, at, record);
        let out = self.out.contains_key(&seq) || self.writing.contains_key(&seq);
        if self.book.open.contains(&seq) && !out {
            self.ready.insert(seq);
        }
    }

    /// A part of the intake that was read since is spoilt; the write that it was about, if its head tells.
    pub fn spoilt(&mut self, about: Option<u64>) {
        self.book.doubt_taken(about);
    }

    /// The store's process is gone, and all that it wrote has been read.
    /// What is not acknowledged by then never is: no client has a receipt for it.
    pub fn process_is_gone(&mut self) {
        self.gone = true;
        self.ready.extend(&self.book.taken);
    }

    /// What is to be done next, if anything. `here` is the host's time, `unix_ms` Unix time, `elsewhere` tells of other
    /// stores.
    pub fn next(
        &mut self,
        now: Micros,
        here: HostTime,
        unix_ms: u64,
        elsewhere: &dyn Fn(WriteId) -> Progress,
    ) -> Option<Step> {
        if self.look_at <= now {
            self.look_at = now + LOOK;
            let held = std::mem::take(&mut self.held);
            self.ready.extend(held);
        }
        let room = self.out.len() + self.writing.len() < self.config.at_once.max(1);
        for _ in 0..LOOKS {
            let seq = *self.ready.first()?;
            self.ready.remove(&seq);
            let Some(entry) = self.book.entries.get(&seq) else { continue };
            if unix_ms.saturating_sub(entry.kept_ms) > self.config.keep_ms
                && entry.state == State::Kept
            {
                return Some(self.end(seq, End::Expired, unix_ms));
            }
            match entry.state {
                State::Taken if self.gone && !self.writing.contains_key(&seq) => {
                    return Some(self.end(seq, End::Withdrawn, unix_ms));
                }
                State::Taken | State::Ended(_) | State::Out(_) | State::Doubt => continue,
                State::Again if !self.within(entry, here) => {
                    if let Some(entry) = self.book.entries.get_mut(&seq) {
                        entry.state = State::Doubt;
                    }
                    continue;
                }
                State::Kept | State::Again => {}
            }
            match self.forerunners(now, seq, entry, elsewhere) {
                Forerunners::Gone(late) => {
                    if !room || self.pace.next() > now {
                        self.ready.insert(seq);
                        return None;
                    }
                    self.waiting.remove(&seq);
                    if let Some(entry) = self.book.entries.get_mut(&seq) {
                        entry.forsook |= late;
                    }
                    let mark = Record::Mark { by: self.token.into(), at: here };
                    if mutant::is(Mutant::NoMark) {
                        self.out.insert(seq, now);
                        self.pace.sends(now);
                        return Some(Step::Send(seq));
                    }
                    self.writing.insert(seq, mark.clone());
                    return Some(Step::Write(seq, mark));
                }
                Forerunners::Waited => {
                    self.waiting.entry(seq).or_insert(now);
                    self.held.insert(seq);
                }
                Forerunners::Failed => return Some(self.end(seq, End::Forsaken, unix_ms)),
            }
        }
        None
    }

    /// When [`Replay::next`] may have something again, if nothing else happens.
    pub fn poll_timeout(&self) -> Micros {
        let held = if self.held.is_empty() { Micros::MAX } else { self.look_at };
        let ready = if self.ready.is_empty() { Micros::MAX } else { self.pace.next() };
        held.min(ready)
    }

    fn within(&self, entry: &Entry, here: HostTime) -> bool {
        let Repeat::Within { window_ms } = entry.repeat else {
            return mutant::is(Mutant::AlwaysAgain);
        };
        let passed = entry.first_out.and_then(|first| here.since(first));
        let last = window_ms.saturating_sub(self.config.margin_ms);
        passed.is_some_and(|passed| passed < last) || mutant::is(Mutant::NoWindow)
    }

    fn forerunners(
        &self,
        now: Micros,
        seq: u64,
        entry: &Entry,
        elsewhere: &dyn Fn(WriteId) -> Progress,
    ) -> Forerunners {
        let mut open = false;
        // With those that stand behind a write that was taken out: of each, only the nearest are named.
        let mut to_look: SmallVec<[(u64, WriteId); 8]> =
            entry.after.iter().map(|id| (seq, *id)).collect();
        let mut looked: BTreeSet<WriteId> = BTreeSet::new();
        while let Some((named_by, id)) = to_look.pop() {
            // One that names itself or a later one names what it cannot have seen.
            let here = id.edge == self.book.edge;
            if here && (id.seq >= named_by || mutant::is(Mutant::NoOrder)) {
                continue;
            }
            let before = self.book.entries.get(&id.seq).filter(|_| here);
            match before.map(|e| e.state) {
                // Without this, what comes after this write would overtake what this write had to wait for.
                Some(State::Ended(End::Withdrawn | End::Dropped)) => {
                    let behind = before.into_iter().filter(|_| looked.insert(id));
                    to_look.extend(behind.flat_map(|e| e.after.iter().map(|of| (id.seq, *of))));
                }
                Some(State::Ended(end)) if end.is_well() || self.config.go_on => {}
                Some(State::Ended(_)) => return Forerunners::Failed,
                Some(_) => open = true,
                // Its record is spoilt.
                None if here => open = true,
                None if mutant::is(Mutant::NoOrderElsewhere) => {}
                None => match elsewhere(id) {
                    Progress::Ended => {}
                    Progress::Failed if self.config.go_on => {}
                    Progress::Failed => return Forerunners::Failed,
                    Progress::Open | Progress::Unknown => open = true,
                },
            }
        }
        if !open {
            return Forerunners::Gone(false);
        }
        let since = self.waiting.get(&seq).copied().unwrap_or(now);
        match (now >= since + self.config.forerunner, self.config.go_on) {
            (false, _) => Forerunners::Waited,
            (true, true) => Forerunners::Gone(true),
            (true, false) => Forerunners::Failed,
        }
    }

    fn end(&mut self, seq: u64, how: End, at_ms: u64) -> Step {
        let record = Record::End { how, status: 0, answer: Vec::new(), at_ms };
        self.writing.insert(seq, record.clone());
        Step::Write(seq, record)
    }

    /// What was to be written down about a write is on disk; None: that failed, and nothing of it holds.
    pub fn written(&mut self, now: Micros, seq: u64, on_disk: bool) -> Option<Step> {
        let record = self.writing.remove(&seq)?;
        if !on_disk {
            self.ready.insert(seq);
            self.pace.refused();
            return None;
        }
        self.book.apply(seq, (0, 0), &record);
        match record {
            // It was ended while its mark was on the way: an operator has dropped it, or it was withdrawn.
            Record::Mark { .. } if !self.book.open.contains(&seq) => None,
            Record::Mark { .. } => {
                self.out.insert(seq, now);
                self.pace.sends(now);
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
        self.out.remove(&seq)?;
        let by = self.token.into();
        let record = match outcome {
            Outcome::Served => {
                self.pace.answered();
                Record::End { how: End::Done, status: 0, answer: Vec::new(), at_ms }
            }
            Outcome::Refused(status, answer) => {
                self.pace.answered();
                Record::End { how: End::Refused, status, answer, at_ms }
            }
            Outcome::Spoilt => {
                Record::End { how: End::Spoilt, status: 0, answer: Vec::new(), at_ms }
            }
            Outcome::NotRun => {
                self.pace.refused();
                Record::NotRun { by }
            }
            Outcome::MayHaveRun => {
                self.pace.refused();
                Record::MayHaveRun { by }
            }
        };
        self.writing.insert(seq, record.clone());
        Some(Step::Write(seq, record))
    }
}

enum Forerunners {
    /// All have their end; true: one was not waited for any longer.
    Gone(bool),
    Waited,
    /// One has failed, or never came, and this one is not to go without it.
    Failed,
}
