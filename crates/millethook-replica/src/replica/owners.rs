//! Entries of owners of jobs and edge stores, and queries for them.

use millethook_machine::codec::{BufMut, write_header};

use super::{Destination, Replica};
use crate::Micros;
use crate::entry::{EntryValue, Key};
use crate::message::{EDGE_QUERY_BYTES, MessageKind, write_entry};

impl Replica {
    /// Writes an entry under the own token. Returns false, without writing, if a higher token is known.
    pub fn publish_owned(&mut self, now: Micros, key: Key, value: EntryValue) -> bool {
        let token = |value: &EntryValue| match value {
            EntryValue::Job { token, .. } | EntryValue::Edge { token, .. } => Some(*token),
            _ => None,
        };
        let held = self.store.get(key, now).and_then(|entry| token(&entry.value));
        if held > token(&value) {
            return false;
        }
        self.publish(key, value, now);
        true
    }

    /// Queries a member that may own an edge store for its entry.
    pub fn query_edge(&mut self, now: Micros, member: u16, edge: u64) {
        let mut bytes = write_header(&self.header(MessageKind::EdgeQuery, 0, now));
        bytes.put_u64(edge);
        bytes.resize(EDGE_QUERY_BYTES, 0);
        self.enqueue_message(Destination::Peer(member), bytes);
    }

    /// Sends one entry in a message of at most `longest` bytes.
    pub(super) fn send_entry(&mut self, to: u16, key: Key, longest: usize, now: Micros) {
        let Some(entry) = self.store.get(key, now) else { return };
        let mut bytes = write_header(&self.header(MessageKind::Gossip, 0, now));
        if write_entry(&mut bytes, key, &entry, longest) {
            self.enqueue_message(Destination::Peer(to), bytes);
        }
    }
}
