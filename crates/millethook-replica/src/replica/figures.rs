//! Counts for monitoring.

use super::{Replica, ServerStatus};

/// Counts since the start, and current numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Entries that are held.
    pub entries: usize,
    /// Entries that this process has written.
    pub written: u64,
    /// Entries of others that were new here.
    pub learned: u64,
    /// Entries that were dropped to make room for newer ones.
    pub crowded_out: u64,
    /// Contents that were not a message, and observations in the name of this process that it has not written.
    pub malformed: u64,
    /// Servers that are suspected.
    pub suspected: usize,
}

impl Replica {
    /// Counts since the start, and current numbers.
    pub fn figures(&self) -> Figures {
        let suspected =
            self.server_statuses.values().filter(|s| **s == ServerStatus::Suspected).count();
        let (entries, crowded_out) = (self.store.len(), self.store.crowded_out);
        Figures { entries, crowded_out, suspected, ..self.figures }
    }
}
