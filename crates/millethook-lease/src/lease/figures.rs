//! Counts for monitoring.

use super::Lease;
use crate::Micros;

/// Counts since the start, and current numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Jobs that this member owns now.
    pub owned: usize,
    /// Jobs that this member has requested.
    pub wanted: usize,
    /// Jobs for which this member, as an acceptor, has granted a lease that has not expired.
    pub granting: usize,
    /// Leases that this member was granted, not counting renewals.
    pub granted: u64,
    /// Leases that expired before they could be renewed.
    pub lost: u64,
    /// Rounds of claims that did not lead to a lease.
    pub failed: u64,
    /// Claims that were not answered because their sender uses an unknown member list.
    pub strangers: u64,
    /// Messages with bytes that are not a record, and records in the name of another member.
    pub malformed: u64,
}

impl Lease {
    /// Counts since the start, and current numbers.
    pub fn figures(&self, now: Micros) -> Figures {
        let owned = self.jobs.keys().filter(|job| self.holds(now, **job).is_some()).count();
        let (wanted, granting) = (self.jobs.len(), self.acceptor.granted_jobs(now));
        Figures { owned, wanted, granting, ..self.figures }
    }
}
