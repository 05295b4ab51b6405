//! Counts of servers, lists and trials.

use super::{Membership, Trust};

/// Servers by [`Trust`], and counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// See [`Trust::Live`].
    pub live: usize,
    /// See [`Trust::Remembered`].
    pub remembered: usize,
    /// See [`Trust::Doubtful`].
    pub doubtful: usize,
    /// Whether a suspect list is held back.
    pub held: bool,
    /// Lists that were suspect.
    pub suspect_lists: u64,
    /// Trials that were started.
    pub trials: u64,
    /// Trials that were answered by a server of the fleet.
    pub confirmed: u64,
    /// Servers of the snapshot that were dropped because their entry was too old or their trial failed.
    pub dropped: u64,
}

impl Membership {
    /// Servers by [`Trust`], and counts since the start.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { held: self.held.is_some(), ..self.totals };
        for known in self.servers.values() {
            match known.trust {
                Trust::Live => counts.live += 1,
                Trust::Remembered => counts.remembered += 1,
                Trust::Doubtful => counts.doubtful += 1,
            }
        }
        counts
    }
}
