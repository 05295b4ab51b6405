//! The member list, and the acceptors of a job.

use millethook_machine::hash::{mix, weight};

use crate::JobId;

/// A configured member: a hash of its address, the same at all members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member(pub u64);

/// The configured members by number. A member keeps its number when the list changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    members: Vec<Member>,
    id: u32,
}

impl Members {
    /// A member list; the number of each member is its index.
    pub fn new(members: Vec<Member>) -> Members {
        let fold = |hash: u64, member: &Member| mix(hash.rotate_left(5) ^ mix(member.0));
        let hash = members.iter().fold(members.len() as u64, fold);
        // 0 stands for no list.
        Members { id: ((hash >> 32) as u32).max(1), members }
    }

    /// The identifier of the list: a hash that is the same for the same list, and never 0.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// The acceptors of a job: the `count` members with the greatest weights, or all if there are fewer (rendezvous
    /// hashing). Different jobs have different acceptors, so that no member has to store all jobs.
    pub fn acceptors(&self, job: JobId, count: usize) -> Vec<u16> {
        let weighted = |(n, member): (usize, &Member)| (weight(job.0, member.0), n as u16);
        let mut all: Vec<(u64, u16)> = self.members.iter().enumerate().map(weighted).collect();
        let count = count.min(all.len());
        if count < all.len() {
            all.select_nth_unstable_by(count, |a, b| b.cmp(a));
            all.truncate(count);
        }
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.into_iter().map(|(_, n)| n).collect()
    }

    /// How many of the `present` members come before `me` in the order in which members try to own the job.
    pub fn rank(&self, job: JobId, me: u16, present: impl Iterator<Item = u16>) -> usize {
        // A different hash input from the acceptors', so that owners differ from acceptors.
        let subject = mix(job.0 ^ 0x0b);
        let weighted =
            |n: u16| (self.members.get(usize::from(n)).map_or(0, |m| weight(subject, m.0)), n);
        let own = weighted(me);
        present.filter(|n| *n != me && weighted(*n) > own).count()
    }
}
