//! Dissemination: each new entry is sent a bounded number of times, the least sent first.

use super::{Destination, Replica};
use crate::Micros;
use crate::entry::{Entry, EntryValue, Key};
use crate::message::write_entry;

/// Transmissions of an entry for each power of ten of the fleet's size (SWIM, section 4.1).
const TRANSMISSIONS_PER_DECADE: u32 = 4;

impl Replica {
    /// Writes an entry of this process.
    pub(super) fn publish(&mut self, key: Key, value: EntryValue, now: Micros) {
        self.figures.written += 1;
        self.merge_entry(key, &Entry { value, age: 0 }, now);
    }

    /// Merges an entry. Returns whether its content is new here; if so, it is sent on.
    pub(super) fn merge_entry(&mut self, key: Key, entry: &Entry, now: Micros) -> bool {
        let changed = self.store.merge(key, entry, now);
        if changed {
            if key.is_shared() {
                self.schedule_update(key, 0);
            }
            let end = now + key.lifetime();
            self.next_expiry = Some(self.next_expiry.map_or(end, |at| at.min(end)));
            if let Some(server) = key.server() {
                self.update_server_status(server, now);
            }
        }
        changed
    }

    /// Queues an entry after this many transmissions, unless they suffice.
    pub(super) fn schedule_update(&mut self, key: Key, transmissions: u32) {
        let decades = u32::from(self.config.members).max(1).ilog10() + 1;
        self.updates.insert(key, transmissions, TRANSMISSIONS_PER_DECADE * decades);
    }

    /// Appends updates to a message up to `longest` bytes, and queues it.
    pub(super) fn send_with_updates(
        &mut self,
        to: Destination,
        mut bytes: Vec<u8>,
        longest: usize,
        now: Micros,
    ) {
        let mut sent: Vec<(u32, Key)> = Vec::new();
        for (transmissions, key) in self.updates.iter() {
            let entry = self.store.get(key, now);
            if entry.is_some_and(|entry| !write_entry(&mut bytes, key, &entry, longest)) {
                break;
            }
            // An entry that has expired meanwhile is no longer sent.
            sent.push((entry.map_or(u32::MAX, |_| transmissions + 1), key));
        }
        for (transmissions, key) in sent {
            self.schedule_update(key, transmissions);
        }
        self.enqueue_message(to, bytes);
    }
}
