//! Facts about members, and the order that decides which of two facts is kept.

use crate::mutant::{self, Mutant};

/// The epoch of a process, 48 bits; a later process of a member has a higher one. It is Unix time at the start, in
/// milliseconds, unless the fleet has seen a higher one of the same member.
pub type Epoch = u64;

/// The highest epoch that is accepted, in the year 2109. After a forged epoch above it the member could not take a
/// higher one.
pub(crate) const HIGHEST_EPOCH: Epoch = 1 << 42;

/// The status of a member, as one view sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Status {
    /// No message of the member was ever received.
    #[default]
    Unknown,
    /// The member answers.
    Alive,
    /// A probe had no answer. The member can still refute the suspicion.
    Suspect,
    /// The member has not refuted a suspicion in time. It is still probed occasionally, and may come back.
    Dead,
    /// The member has announced that it leaves. Only a later process of the member comes back.
    Left,
}

impl Status {
    /// The status with this number on the wire. None: there is none.
    pub(crate) fn from_wire(byte: u8) -> Option<Status> {
        Some(match byte {
            1 => Status::Alive,
            2 => Status::Suspect,
            3 => Status::Dead,
            4 => Status::Left,
            _ => return None,
        })
    }

    /// Its number on the wire.
    pub(crate) fn wire(self) -> u8 {
        self as u8
    }

    /// Whether the member takes part: it is probed, and asked to probe others.
    pub fn is_present(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }
}

/// A statement about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fact {
    /// The number of the member.
    pub number: u16,
    /// The epoch of its process.
    pub epoch: Epoch,
    /// How often that process has refuted reports of others (SWIM, section 4.2).
    pub incarnation: u16,
    /// Its status.
    pub status: Status,
    /// The member that reported it first.
    pub reported_by: u16,
}

/// The order of facts. Of two facts that differ the greater one is kept, whichever comes first, so that all members
/// converge. The order is: a later process; then that a process has left; then its later incarnation; then the worse
/// status.
pub(crate) type Rank = (Epoch, bool, u16, Status);

/// The rank of a fact.
pub(crate) fn rank(epoch: Epoch, incarnation: u16, status: Status) -> Rank {
    let left = status == Status::Left;
    let epoch = if mutant::is(Mutant::EpochsDoNotCount) { 0 } else { epoch };
    (epoch, left, if left { 0 } else { incarnation }, status)
}

impl Fact {
    pub(crate) fn rank(&self) -> Rank {
        rank(self.epoch, self.incarnation, self.status)
    }
}
