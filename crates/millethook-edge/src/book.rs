//! What is known of one store: each write that it holds, and how far that has come. Built from the store's files, and
//! kept in step with what is written to them.

use std::collections::{BTreeMap, BTreeSet};

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::entry::{Entry, State};
use crate::log::Item;
use crate::mutant::{self, Mutant};
use crate::record::{End, Record};
use crate::watermark::{MAX_FAILED, Watermark};
use crate::{EdgeId, WriteId};

/// How many writes are what.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Taken in, and not acknowledged.
    pub unacknowledged: usize,
    /// Kept, and not known to have gone out.
    pub kept: usize,
    /// Out, or to be repeated.
    pub in_flight: usize,
    /// In doubt.
    pub in_doubt: usize,
    /// Served.
    pub served: usize,
    /// Ended otherwise.
    pub not_served: usize,
    /// Records, or parts of files, that are spoilt.
    pub damaged: usize,
}

/// All writes of a store.
#[derive(Clone, Debug)]
pub struct Book {
    /// The store.
    pub edge: EdgeId,
    /// Names of classes.
    pub classes: Vec<String>,
    pub(crate) entries: BTreeMap<u64, Entry>,
    /// Each member's last write.
    last_by_member: BTreeMap<u64, u64>,
    /// Writes that have not ended, those that are to be sent among them.
    pub(crate) open: BTreeSet<u64>,
    /// Marks, ends and words that came before their write did: files are read one after another.
    early_records: Vec<(u64, Record)>,
    /// Spoilt parts of files: where, how many bytes, which write each was about, if that is known, and whether it may
    /// have been a mark.
    pub damaged: Vec<(u64, u64, Option<u64>, bool)>,
    pub(crate) counts: Counts,
    /// Writes that ended otherwise than well.
    failed: BTreeSet<u64>,
    /// The present start of the host, if it is known.
    boot: Option<u64>,
    /// Whether writes count only once they are acknowledged.
    needs_acknowledgement: bool,
    /// Whether its process ran before the host's present start.
    from_earlier_boot: bool,
    /// Writes that are not acknowledged yet.
    pub(crate) unacknowledged: BTreeSet<u64>,
}

/// Records ahead of their write that are held, at most: one whose write is spoilt never gets one.
const MAX_EARLY_RECORDS: usize = 65_536;

impl Book {
    /// An empty one, of a store of which no writer lives on this start of the host.
    pub fn new(edge: EdgeId) -> Book {
        Book::with_boot(edge, None)
    }

    /// An empty one, on this start of the host.
    pub fn with_boot(edge: EdgeId, boot: Option<u64>) -> Book {
        Book {
            edge,
            classes: Vec::new(),
            entries: BTreeMap::new(),
            last_by_member: BTreeMap::new(),
            open: BTreeSet::new(),
            early_records: Vec::new(),
            damaged: Vec::new(),
            counts: Counts::default(),
            failed: BTreeSet::new(),
            boot,
            needs_acknowledgement: false,
            from_earlier_boot: false,
            unacknowledged: BTreeSet::new(),
        }
    }

    /// A write.
    pub fn entry(&self, seq: u64) -> Option<&Entry> {
        self.entries.get(&seq)
    }

    /// All writes, by number.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(seq, entry)| (*seq, entry))
    }

    /// How many are what.
    pub fn counts(&self) -> Counts {
        let mut counts = self.counts;
        counts.damaged = self.damaged.len();
        for seq in &self.open {
            match self.entries[seq].state {
                State::Unacknowledged => counts.unacknowledged += 1,
                State::Kept => counts.kept += 1,
                State::InFlight(_) | State::Repeatable => counts.in_flight += 1,
                State::InDoubt => counts.in_doubt += 1,
                State::Ended(_) => {}
            }
        }
        counts
    }

    /// How many have no end.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The time at which the oldest without an end was kept.
    pub fn oldest_open_ms(&self) -> Option<u64> {
        self.open.iter().next().map(|seq| self.entries[seq].kept_ms)
    }

    /// The last write of a member, if that has no end yet.
    pub fn last_of(&self, member: u64) -> Option<u64> {
        let last = self.last_by_member.get(&member).copied().filter(|_| member != 0)?;
        self.open.contains(&last).then_some(last)
    }

    /// How far the store is; see [`Watermark`]. A write whose record is spoilt is nowhere, and counts as ended: what becomes
    /// of it nobody can say.
    pub fn watermark(&self) -> Watermark {
        let (upto, beyond) = self.ended_range();
        let mut failed = [0; MAX_FAILED];
        failed.iter_mut().zip(self.failed.iter().rev()).for_each(|(to, seq)| *to = *seq);
        Watermark { upto, beyond, failed }
    }

    /// All up to this number have ended, and of the 64 behind those whose bit is set.
    pub(crate) fn ended_range(&self) -> (u64, u64) {
        let last = self.entries.last_key_value().map_or(0, |(seq, _)| *seq);
        let upto = self.open.first().map_or(last, |first| first - 1);
        let ended = |n: &u64| upto + 1 + n <= last && !self.open.contains(&(upto + 1 + n));
        let beyond = (0..64).filter(ended).fold(0, |bits, n| bits | 1 << n);
        (upto, beyond)
    }

    /// Takes in an item of a file; `marks`: of one that holds marks.
    pub fn apply_item(&mut self, item: &Item, marks: bool) {
        match item {
            Item::Record { seq, at, length, record } => self.apply(*seq, (*at, *length), record),
            Item::Damaged { at, length, seq } => {
                self.damaged.push((*at, *length, *seq, marks));
                if !marks {
                    self.resolve_unacknowledged(*seq);
                }
            }
            // It was never on disk as a whole, so nothing was made to hang on it.
            Item::Torn { .. } => {}
        }
    }

    /// A spoilt record of the intake may have acknowledged this write, or any. Only somebody who knows can say.
    pub(crate) fn resolve_unacknowledged(&mut self, about: Option<u64>) {
        // What a loss of power has cut short is spoilt as a rule.
        let state = if self.from_earlier_boot { State::Kept } else { State::InDoubt };
        let spoilt = |seq: &u64| about.is_none_or(|about| about == *seq);
        let doubtful: Vec<u64> = self.unacknowledged.iter().copied().filter(spoilt).collect();
        for seq in doubtful {
            self.unacknowledged.remove(&seq);
            if let Some(entry) = self.entries.get_mut(&seq) {
                entry.state = state;
            }
        }
    }

    /// All of its intake has been read. With an earlier start of the host acknowledgements are lost that were not synced:
    /// what comes behind the last one is kept, whatever its client was told.
    pub fn finish_intake(&mut self) {
        if !self.from_earlier_boot {
            return;
        }
        for seq in std::mem::take(&mut self.unacknowledged) {
            if let Some(entry) = self.entries.get_mut(&seq) {
                entry.state = State::Kept;
            }
        }
    }

    /// Ends what was taken in before this write and is not acknowledged.
    fn withdraw_before(&mut self, seq: u64) {
        let later = self.unacknowledged.split_off(&seq);
        for seq in std::mem::replace(&mut self.unacknowledged, later) {
            let Some(entry) = self.entries.get_mut(&seq) else { continue };
            entry.state = State::Ended(End::Withdrawn);
            self.open.remove(&seq);
            self.counts.not_served += 1;
        }
    }

    /// A process acknowledges in the order in which it has taken in.
    fn acknowledge(&mut self, seq: u64) {
        self.withdraw_before(seq);
        if self.unacknowledged.remove(&seq)
            && let Some(entry) = self.entries.get_mut(&seq)
        {
            entry.state = State::Kept;
        }
    }

    /// Takes in a record.
    pub fn apply(&mut self, seq: u64, at: (u64, u32), record: &Record) {
        match record {
            Record::Opened { boot } => {
                self.needs_acknowledgement = !mutant::is(Mutant::Unacknowledged);
                self.from_earlier_boot = self.boot != Some(*boot);
                return;
            }
            Record::Acknowledged => return self.acknowledge(seq),
            _ => {}
        }
        if let Record::Write(write) = record {
            if self.entries.contains_key(&seq) {
                return;
            }
            let class = self.class(&write.class);
            let mut after: SmallVec<[WriteId; 2]> = SmallVec::from_slice(&write.after);
            if write.member != 0
                && let Some(last) = self.last_by_member.insert(write.member, seq)
            {
                after.push(WriteId { edge: self.edge, seq: last });
            }
            let (kept_ms, repeat) = (write.at_ms, write.repeat);
            let state =
                if self.needs_acknowledgement { State::Unacknowledged } else { State::Kept };
            if self.needs_acknowledgement {
                self.unacknowledged.insert(seq);
            }
            self.entries.insert(
                seq,
                Entry {
                    location: at,
                    kept_ms,
                    class,
                    repeat,
                    after,
                    state,
                    first_sent: None,
                    may_have_run: false,
                    unresolved_owner: None,
                    predecessor_skipped: false,
                },
            );
            self.open.insert(seq);
            let (mine, rest) =
                std::mem::take(&mut self.early_records).into_iter().partition(|e| e.0 == seq);
            self.early_records = rest;
            let mine: Vec<(u64, Record)> = mine;
            mine.iter().for_each(|(seq, record)| self.apply(*seq, (0, 0), record));
            return;
        }
        let Some(entry) = self.entries.get_mut(&seq) else {
            if self.early_records.len() < MAX_EARLY_RECORDS {
                self.early_records.push((seq, record.clone()));
            }
            return;
        };
        if let State::Ended(_) = entry.state {
            return;
        }
        // An owner went by it: for that one it was kept, as after a loss of power.
        self.unacknowledged.remove(&seq);
        match record {
            Record::Write(_) | Record::Opened { .. } | Record::Acknowledged => {}
            Record::Mark { by, at } => {
                // The owner before this one was not heard of again. If only this mark's end counted, one that is
                // known not to have run would look as if it had never gone out.
                if let State::InFlight(before) = entry.state {
                    entry.set_unresolved(before);
                }

                entry.state = State::InFlight((*by).into());
                entry.first_sent.get_or_insert(*at);
            }
            // Only whose mark it was knows; another mark may stand by now.
            Record::NotRun { by } if entry.state == State::InFlight((*by).into()) => {
                entry.clear_in_flight()
            }
            Record::MayHaveRun { by } if entry.state == State::InFlight((*by).into()) => {
                entry.may_have_run = true;
                entry.clear_in_flight();
            }
            // An owner that was followed has come to say so.
            Record::NotRun { by } if entry.unresolved_owner == Some((*by).into()) => {
                entry.unresolved_owner = None;
                if matches!(entry.state, State::Repeatable | State::InDoubt) {
                    entry.clear_in_flight();
                }
            }
            Record::MayHaveRun { by } if entry.unresolved_owner == Some((*by).into()) => {
                (entry.unresolved_owner, entry.may_have_run) = (None, true);
            }
            Record::NotRun { .. } | Record::MayHaveRun { .. } => {}
            Record::Release => {
                (entry.may_have_run, entry.unresolved_owner) = (false, None);

                entry.clear_in_flight();
            }
            Record::End { how, .. } => {
                entry.state = State::Ended(*how);
                self.open.remove(&seq);
                let done = *how == End::Done;
                self.counts.served += usize::from(done);
                self.counts.not_served += usize::from(!done);
                if !how.is_well() {
                    self.failed.insert(seq);
                }
            }
        }
    }

    fn class(&mut self, name: &str) -> u16 {
        let known = self.classes.iter().position(|class| class == name);
        // Classes are a handful; of more than fit the last name stands for all.
        known.unwrap_or_else(|| {
            if self.classes.len() < usize::from(u16::MAX) {
                self.classes.push(name.to_owned());
            }
            self.classes.len() - 1
        }) as u16
    }

    /// What earlier owners have marked has gone out, for all that is known: nobody answers for it any more.
    pub(crate) fn take_over(&mut self, me: Token) {
        for seq in &self.open {
            let Some(entry) = self.entries.get_mut(seq) else { continue };
            if let State::InFlight(by) = entry.state
                && by != me
            {
                if !mutant::is(Mutant::MarksForgotten) {
                    entry.set_unresolved(by);
                }
                entry.clear_in_flight();
            }
        }
        // A spoilt record may have been a mark. Which write it was about its head may tell; where it does
        // not, it may be any that was kept by then.
        let lost: Vec<Option<u64>> = self.damaged.iter().filter(|d| d.3).map(|d| d.2).collect();
        let doubt = |seq: &u64| lost.iter().any(|about| about.is_none_or(|about| about == *seq));
        for seq in self.open.iter().filter(|seq| doubt(seq)) {
            let Some(entry) = self.entries.get_mut(seq) else { continue };
            if entry.state == State::Kept {
                // When it went out nobody knows, so that no repeat is in time either.
                entry.may_have_run = true;
                entry.clear_in_flight();
            }
        }
    }
}
