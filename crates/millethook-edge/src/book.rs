//! The in-memory index of one store: every write that it holds and that write's state. It is built from the store's
//! files and updated with every record that is read or written later.

use std::collections::{BTreeMap, BTreeSet};

use millethook_lease::Token;
use smallvec::SmallVec;

use crate::entry::{Entry, State};
use crate::log::Item;
use crate::mutant::{self, Mutant};
use crate::record::{End, Record};
use crate::watermark::{MAX_FAILED, Watermark};
use crate::{EdgeId, WriteId};

/// The number of writes in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// In the intake, but not acknowledged to the client.
    pub unacknowledged: usize,
    /// Acknowledged and not known to have been sent.
    pub kept: usize,
    /// Marked as sent without a known outcome, or allowed to be repeated.
    pub in_flight: usize,
    /// Possibly executed and not safe to repeat.
    pub in_doubt: usize,
    /// Served by a server.
    pub served: usize,
    /// Ended in any other way.
    pub not_served: usize,
    /// Damaged records or parts of files.
    pub damaged: usize,
}

/// All writes of a store.
#[derive(Clone, Debug)]
pub struct Book {
    /// The store's id.
    pub edge: EdgeId,
    /// Names of the traffic classes, indexed by [`Entry::class`].
    pub classes: Vec<String>,
    pub(crate) entries: BTreeMap<u64, Entry>,
    /// The last write of each member.
    last_by_member: BTreeMap<u64, u64>,
    /// Writes that have not ended, including those in flight.
    pub(crate) open: BTreeSet<u64>,
    /// Records that were read before the write that they belong to: files are read one after another.
    early_records: Vec<(u64, Record)>,
    /// Damaged parts of files: offset, length in bytes, the write that the record belonged to (if known), and whether
    /// the file holds marks, so that the record may have been one.
    pub damaged: Vec<(u64, u64, Option<u64>, bool)>,
    pub(crate) counts: Counts,
    /// Writes that ended unsuccessfully, see [`End::is_well`].
    failed: BTreeSet<u64>,
    /// The current boot of the host, if it is known.
    boot: Option<u64>,
    /// Whether a write in the intake counts only after its acknowledgement.
    needs_acknowledgement: bool,
    /// Whether the store's process ran during an earlier boot of the host.
    from_earlier_boot: bool,
    /// Writes that are not acknowledged yet.
    pub(crate) unacknowledged: BTreeSet<u64>,
}

/// Limit of [`Book::early_records`]: a record whose write is damaged is never claimed.
const MAX_EARLY_RECORDS: usize = 65_536;

impl Book {
    /// Creates an empty book of a store whose writer did not run during this boot of the host.
    pub fn new(edge: EdgeId) -> Book {
        Book::with_boot(edge, None)
    }

    /// Creates an empty book, given the host's current boot.
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

    /// Returns a write.
    pub fn entry(&self, seq: u64) -> Option<&Entry> {
        self.entries.get(&seq)
    }

    /// Returns all writes, ordered by number.
    pub fn entries(&self) -> impl Iterator<Item = (u64, &Entry)> {
        self.entries.iter().map(|(seq, entry)| (*seq, entry))
    }

    /// Counts the writes by state.
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

    /// The number of writes that have not ended.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The time at which the oldest open write was stored, in Unix milliseconds.
    pub fn oldest_open_ms(&self) -> Option<u64> {
        self.open.iter().next().map(|seq| self.entries[seq].kept_ms)
    }

    /// Returns the last write of a member if it has not ended.
    pub fn last_of(&self, member: u64) -> Option<u64> {
        let last = self.last_by_member.get(&member).copied().filter(|_| member != 0)?;
        self.open.contains(&last).then_some(last)
    }

    /// Returns the store's progress; see [`Watermark`]. A write whose record is damaged has no entry and counts as
    /// ended, since its outcome cannot be determined.
    pub fn watermark(&self) -> Watermark {
        let (upto, beyond) = self.ended_range();
        let mut failed = [0; MAX_FAILED];
        failed.iter_mut().zip(self.failed.iter().rev()).for_each(|(to, seq)| *to = *seq);
        Watermark { upto, beyond, failed }
    }

    /// Returns the number up to which all writes have ended, and a bit set of the ended ones among the next 64.
    pub(crate) fn ended_range(&self) -> (u64, u64) {
        let last = self.entries.last_key_value().map_or(0, |(seq, _)| *seq);
        let upto = self.open.first().map_or(last, |first| first - 1);
        let ended = |n: &u64| upto + 1 + n <= last && !self.open.contains(&(upto + 1 + n));
        let beyond = (0..64).filter(ended).fold(0, |bits, n| bits | 1 << n);
        (upto, beyond)
    }

    /// Applies an item of a file. `marks`: whether the file holds marks (an owner's journal).
    pub fn apply_item(&mut self, item: &Item, marks: bool) {
        match item {
            Item::Record { seq, at, length, record } => self.apply(*seq, (*at, *length), record),
            Item::Damaged { at, length, seq } => {
                self.damaged.push((*at, *length, *seq, marks));
                if !marks {
                    self.resolve_unacknowledged(*seq);
                }
            }
            // A torn record was never completely on disk, so nothing depends on it.
            Item::Torn { .. } => {}
        }
    }

    /// Handles a damaged intake record, which may have acknowledged this write, or any write if `about` is None.
    /// Within the same boot the writes become in doubt: only an operator can decide.
    pub(crate) fn resolve_unacknowledged(&mut self, about: Option<u64>) {
        // After an earlier boot, damage is usually a write cut short by a power loss.
        let state = if self.from_earlier_boot { State::Kept } else { State::InDoubt };
        let is_affected = |seq: &u64| about.is_none_or(|about| about == *seq);
        let affected: Vec<u64> = self.unacknowledged.iter().copied().filter(is_affected).collect();
        for seq in affected {
            self.unacknowledged.remove(&seq);
            if let Some(entry) = self.entries.get_mut(&seq) {
                entry.state = state;
            }
        }
    }

    /// Must be called when the whole intake has been read. After a reboot, acknowledgements that were not synced are
    /// lost, so all writes after the last acknowledged one are kept, whatever their clients were told.
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

    /// Ends the writes before this one that are in the intake and not acknowledged.
    fn withdraw_before(&mut self, seq: u64) {
        let later = self.unacknowledged.split_off(&seq);
        for seq in std::mem::replace(&mut self.unacknowledged, later) {
            let Some(entry) = self.entries.get_mut(&seq) else { continue };
            entry.state = State::Ended(End::Withdrawn);
            self.open.remove(&seq);
            self.counts.not_served += 1;
        }
    }

    /// Acknowledges a write. A process acknowledges writes in the order in which it stored them, so earlier ones
    /// without an acknowledgement are withdrawn.
    fn acknowledge(&mut self, seq: u64) {
        self.withdraw_before(seq);
        if self.unacknowledged.remove(&seq)
            && let Some(entry) = self.entries.get_mut(&seq)
        {
            entry.state = State::Kept;
        }
    }

    /// Applies a record.
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
            let (own_records, other_records) =
                std::mem::take(&mut self.early_records).into_iter().partition(|e| e.0 == seq);
            self.early_records = other_records;
            let own_records: Vec<(u64, Record)> = own_records;
            own_records.iter().for_each(|(seq, record)| self.apply(*seq, (0, 0), record));
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
        // An owner has processed this write, so it regarded it as kept, as it does after a power loss.
        self.unacknowledged.remove(&seq);
        match record {
            Record::Write(_) | Record::Opened { .. } | Record::Acknowledged => {}
            Record::Mark { by, at } => {
                // The previous owner's attempt has no recorded outcome. Without this line, a `NotRun` for the new
                // mark alone would make the write look as if it had never been sent.
                if let State::InFlight(before) = entry.state {
                    entry.set_unresolved(before);
                }

                entry.state = State::InFlight((*by).into());
                entry.first_sent.get_or_insert(*at);
            }
            // Only the owner that set the mark knows the outcome, and another owner's mark may be in force by now.
            Record::NotRun { by } if entry.state == State::InFlight((*by).into()) => {
                entry.clear_in_flight()
            }
            Record::MayHaveRun { by } if entry.state == State::InFlight((*by).into()) => {
                entry.may_have_run = true;
                entry.clear_in_flight();
            }
            // A previous owner reports the outcome of its attempt late.
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
        // There are only a few classes. If they exceed the index, the last name stands for the rest.
        known.unwrap_or_else(|| {
            if self.classes.len() < usize::from(u16::MAX) {
                self.classes.push(name.to_owned());
            }
            self.classes.len() - 1
        }) as u16
    }

    /// Treats everything that earlier owners marked as possibly sent: their outcomes may never be reported.
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
        // A damaged record may have been a mark. Its header may tell which write it was for; otherwise it may be any
        // write that was kept by then.
        let lost: Vec<Option<u64>> = self.damaged.iter().filter(|d| d.3).map(|d| d.2).collect();
        let may_be_marked =
            |seq: &u64| lost.iter().any(|about| about.is_none_or(|about| about == *seq));
        for seq in self.open.iter().filter(|seq| may_be_marked(seq)) {
            let Some(entry) = self.entries.get_mut(seq) else { continue };
            if entry.state == State::Kept {
                // The time of sending is unknown, so no repeat can be shown to be within the window.
                entry.may_have_run = true;
                entry.clear_in_flight();
            }
        }
    }
}
