//! The table of members: 24 bytes each.

use millethook_machine::hash::mix;

use crate::fact::{Epoch, Fact, Rank, Status, rank};

/// The state of a member, as one view sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The epoch of its latest known process; 0: none.
    pub epoch: Epoch,
    /// How often that process has refuted reports of others.
    pub incarnation: u16,
    /// Its status.
    pub status: Status,
    /// The member that reported the status first, if it is suspect or dead.
    pub(crate) reported_by: u16,
    /// When its last message came, in milliseconds. It wraps after 49 days, which costs one needless notice.
    pub(crate) last_message_ms: u32,
}

impl Member {
    pub(crate) fn rank(&self) -> Rank {
        rank(self.epoch, self.incarnation, self.status)
    }

    /// The fact about the member with this number.
    pub(crate) fn fact(&self, number: u16) -> Fact {
        let Member { epoch, incarnation, status, reported_by, .. } = *self;
        Fact { number, epoch, incarnation, status, reported_by }
    }

    /// Its part of the hash: process and presence. Suspicions are left out, because members need not agree on them.
    fn hash(&self, number: usize) -> u32 {
        let presence = match self.status {
            Status::Unknown => return 0,
            Status::Alive | Status::Suspect => 1,
            Status::Dead => 2,
            Status::Left => 3,
        };
        mix(self.epoch << 18 ^ (number as u64) << 2 ^ presence) as u32
    }
}

/// The number of members with each status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members of which no message was ever received.
    pub unknown: usize,
    /// Members that are alive.
    pub alive: usize,
    /// Members that are suspected.
    pub suspect: usize,
    /// Members that are dead.
    pub dead: usize,
    /// Members that have left.
    pub left: usize,
}

impl Counts {
    fn of(&mut self, status: Status) -> &mut usize {
        match status {
            Status::Unknown => &mut self.unknown,
            Status::Alive => &mut self.alive,
            Status::Suspect => &mut self.suspect,
            Status::Dead => &mut self.dead,
            Status::Left => &mut self.left,
        }
    }
}

/// All members by number.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    members: Vec<Member>,
    /// The number of members with each status.
    pub counts: Counts,
    /// The sum of all members' parts of the hash.
    pub hash: u32,
}

impl Table {
    /// A table of members of whom nothing is known.
    pub fn new(count: usize) -> Table {
        let counts = Counts { unknown: count, ..Counts::default() };
        Table { members: vec![Member::default(); count], counts, hash: 0 }
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// The member with this number.
    pub fn get(&self, number: u16) -> Option<&Member> {
        self.members.get(usize::from(number))
    }

    /// The status of a member; numbers beyond the table are unknown.
    pub fn status(&self, number: u16) -> Status {
        self.get(number).map_or(Status::Unknown, |m| m.status)
    }

    /// The fact about a member, if anything is known of it.
    pub fn fact(&self, number: u16) -> Option<Fact> {
        let member = self.get(number).filter(|m| m.status != Status::Unknown)?;
        Some(member.fact(number))
    }

    /// Records that a message of the member came now.
    pub fn record_message(&mut self, number: u16, now_ms: u32) {
        if let Some(member) = self.members.get_mut(usize::from(number)) {
            member.last_message_ms = now_ms;
        }
    }

    /// The sum of the hash parts of a range of members.
    pub fn range_hash(&self, range: std::ops::Range<usize>) -> u32 {
        let members = self.members.iter().enumerate().take(range.end).skip(range.start);
        members.fold(0, |sum, (n, member)| sum.wrapping_add(member.hash(n)))
    }

    /// Stores a fact, whatever the table held before.
    pub fn set(&mut self, fact: &Fact) {
        let number = usize::from(fact.number);
        let Some(member) = self.members.get_mut(number) else { return };
        self.hash = self.hash.wrapping_sub(member.hash(number));
        *self.counts.of(member.status) -= 1;
        let Fact { epoch, incarnation, status, reported_by, .. } = *fact;
        *member = Member {
            epoch,
            incarnation,
            status,
            reported_by,
            last_message_ms: member.last_message_ms,
        };
        self.hash = self.hash.wrapping_add(member.hash(number));
        *self.counts.of(status) += 1;
    }

    /// Facts in the order of numbers, from `first` to the end and then from the start up to it.
    pub fn facts_from(&self, first: u16) -> impl Iterator<Item = Fact> {
        let first = usize::from(first).min(self.len());
        (first..self.len()).chain(0..first).filter_map(|n| self.fact(n as u16))
    }

    /// The first member that satisfies a predicate, searched from `first` to the end and then from the start up to it.
    pub fn find(&self, first: usize, predicate: impl Fn(u16, &Member) -> bool) -> Option<u16> {
        let all = (first..self.len()).chain(0..first.min(self.len()));
        let mut all = all.map(|n| (n as u16, &self.members[n]));
        all.find(|(n, m)| predicate(*n, m)).map(|found| found.0)
    }

    /// Members that take part.
    pub fn present(&self) -> impl Iterator<Item = u16> {
        let present = self.members.iter().enumerate().filter(|(_, m)| m.status.is_present());
        present.map(|(n, _)| n as u16)
    }
}
