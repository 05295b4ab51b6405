//! Orders lists of servers by discovery's version and by how often that version was reset.

use serde::{Deserialize, Serialize};

/// How new a list is. Of two lists, the one with the greater position is newer.
///
/// Discovery's version alone is ambiguous: a restarted discovery counts from 1 again, and a lagging replica of it also
/// reports a low version. A process that gets a whole list with a lower version than before has seen a restart, and
/// increments the generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListPosition {
    /// How many restarts of discovery's version were seen.
    pub generation: u32,
    /// Discovery's version.
    pub seq: u64,
}

impl ListPosition {
    /// Returns the position of the next list or change from the same discovery.
    pub fn next(self, whole: bool, seq: u64) -> ListPosition {
        let restarted = whole && seq < self.seq;
        ListPosition { generation: self.generation.saturating_add(u32::from(restarted)), seq }
    }
}

impl std::fmt::Display for ListPosition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.generation, self.seq)
    }
}
