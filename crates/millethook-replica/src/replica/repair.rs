//! Anti-entropy: two members compare hashes of key ranges, and send the entries of ranges that differ.

use millethook_machine::codec::write_header;
use millethook_machine::hash::mix;
use rand_core::RngCore;

use super::{Destination, Replica};
use crate::Micros;
use crate::entry::{Entry, Key};
use crate::message::{HEADER_BYTES, LONGEST, MessageHeader, MessageKind, RANGES, write_entry};
use crate::store::range_of;

/// The maximum number of messages in a state transfer to a member that has just joined.
const MAX_TRANSFER_MESSAGES: usize = 16;

impl Replica {
    /// Sends hashes to a random member, with updates and with padding up to `length` bytes so that the answer may be as
    /// long.
    pub(super) fn compare_with_anyone(&mut self, now: Micros, length: usize) {
        let salt = self.random.next_u32() as u16;
        let mut bytes = write_header(&self.header(MessageKind::Compare, salt, now));
        bytes.extend_from_slice(&self.digests(salt, now));
        if length == 0 {
            return self.enqueue_message(Destination::Anyone, bytes);
        }
        self.send_with_updates(Destination::Anyone, bytes, length, now);
        if let Some((_, bytes)) = self.outgoing.back_mut() {
            bytes.resize(length, 0);
        }
    }

    /// One byte for each key range. With another salt, hashes that collide by chance differ.
    pub(super) fn digests(&self, salt: u16, now: Micros) -> [u8; RANGES] {
        let ranges = self.store.hashes(now).1;
        ranges.map(|range| mix(u64::from(range) << 16 | u64::from(salt)) as u8)
    }

    /// Answers a comparison with the entries of ranges that differ, in at most `longest` bytes.
    pub(super) fn send_differences(
        &mut self,
        to: u16,
        header: &MessageHeader,
        theirs: &[u8; RANGES],
        longest: usize,
        now: Micros,
    ) {
        let own = self.digests(header.salt, now);
        let differ: Vec<bool> = own.iter().zip(theirs).map(|(a, b)| a != b).collect();
        let mut keys: Vec<Key> = (self.store.iter(now).map(|e| e.0))
            .filter(|key| key.is_shared() && differ[range_of(*key)])
            .collect();
        if keys.is_empty() {
            return;
        }
        // If not all entries fit, a different part is sent each time.
        let first = self.random.next_u32() as usize % keys.len();
        keys.rotate_left(first);
        let mut bytes = write_header(&self.header(MessageKind::Differences, 0, now));
        for key in keys {
            let Some(entry) = self.store.get(key, now) else { continue };
            if !write_entry(&mut bytes, key, &entry, longest) {
                break;
            }
        }
        if bytes.len() > HEADER_BYTES {
            self.enqueue_message(Destination::Peer(to), bytes);
        }
    }

    /// Sends the `part`th of `parts` parts of all shared entries to a member that has joined or returned.
    ///
    /// It is sent unrequested. If a request triggered it, a forged request would make this member send a third party
    /// many times as many bytes.
    pub fn send_state(&mut self, now: Micros, to: u16, part: usize, parts: usize) {
        let all: Vec<(Key, Entry)> =
            self.store.iter(now).filter(|(key, _)| key.is_shared()).collect();
        let share = all.into_iter().enumerate().filter(|(n, _)| n % parts.max(1) == part);
        let mut bytes = write_header(&self.header(MessageKind::StateTransfer, 0, now));
        let mut messages = 0;
        for (_, (key, entry)) in share {
            if !write_entry(&mut bytes, key, &entry, LONGEST) {
                let next = write_header(&self.header(MessageKind::StateTransfer, 0, now));
                self.enqueue_message(Destination::Peer(to), std::mem::replace(&mut bytes, next));
                messages += 1;
                if messages == MAX_TRANSFER_MESSAGES {
                    return;
                }
                write_entry(&mut bytes, key, &entry, LONGEST);
            }
        }
        if bytes.len() > HEADER_BYTES {
            self.enqueue_message(Destination::Peer(to), bytes);
        }
    }
}
