//! Entries that are still to be sent to others, the least sent first.

use std::collections::{BTreeMap, BTreeSet};

use crate::entry::Key;

/// Keys of entries to disseminate, each with the number of messages that carried it.
///
/// Among keys that were sent equally often, the one that was added earlier comes first.
#[derive(Clone, Debug, Default)]
pub(super) struct UpdateQueue {
    /// Transmissions, sequence number and key.
    by_transmissions: BTreeSet<(u32, u64, Key)>,
    /// Transmissions and sequence number of each key.
    positions: BTreeMap<Key, (u32, u64)>,
    next_number: u64,
}

impl UpdateQueue {
    /// Inserts a key after `transmissions`; from `most` transmissions on it is dropped.
    pub fn insert(&mut self, key: Key, transmissions: u32, most: u32) {
        if let Some((before, number)) = self.positions.remove(&key) {
            self.by_transmissions.remove(&(before, number, key));
        }
        if transmissions < most {
            self.next_number += 1;
            self.positions.insert(key, (transmissions, self.next_number));
            self.by_transmissions.insert((transmissions, self.next_number, key));
        }
    }

    /// Keys with their transmissions, in the order in which they are to be sent.
    pub fn iter(&self) -> impl Iterator<Item = (u32, Key)> {
        self.by_transmissions.iter().map(|&(transmissions, _, key)| (transmissions, key))
    }

    /// Whether nothing is to be sent.
    pub fn is_empty(&self) -> bool {
        self.by_transmissions.is_empty()
    }

    /// Drops all updates, because all members have them.
    pub fn clear(&mut self) {
        self.by_transmissions.clear();
        self.positions.clear();
    }

    /// The number of ordered keys, and of keys with a position; the two must be equal.
    pub fn lengths(&self) -> (usize, usize) {
        (self.by_transmissions.len(), self.positions.len())
    }
}
