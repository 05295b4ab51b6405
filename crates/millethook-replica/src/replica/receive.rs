//! Processing of messages of other members.

use millethook_machine::codec::{Malformed, Reader, read_message, write_header};

use super::{Destination, Replica, ReplicaConfig};
use crate::Micros;
use crate::entry::{Entry, EntryValue, Key, Verdict};
use crate::message::{MessageHeader, MessageKind, RANGES, read_entry, write_entry};

/// After a message with another hash, comparisons replace gossip for this many periods.
const REPAIR_PERIODS: u64 = 2;
/// After this many consecutive messages with the own hash, all members are assumed to have the updates.
const AGREEMENTS_UNTIL_QUIET: u32 = 4;

/// How many consecutive messages came from members with the same entries.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Agreement {
    /// The own hash when the last message came.
    hash: u32,
    /// Consecutive messages with this hash.
    equal: u32,
}

impl Replica {
    /// Processes a message of the member `from`.
    ///
    /// # Errors
    /// The content is not a message. Nothing of it was used, and it is counted in [`Figures::malformed`].
    ///
    /// [`Figures::malformed`]: super::Figures::malformed
    pub fn handle(&mut self, now: Micros, from: u16, content: &[u8]) -> Result<(), Malformed> {
        self.handle_message(now, from, content).inspect_err(|_| self.figures.malformed += 1)
    }

    fn handle_message(&mut self, now: Micros, from: u16, content: &[u8]) -> Result<(), Malformed> {
        let (header, mut reader) = read_message::<MessageHeader>(content)?;
        let digests = match header.kind {
            MessageKind::EdgeQuery => {
                if let Ok(edge) = reader.u64() {
                    self.send_entry(from, Key::Edge { edge }, content.len(), now);
                }
                return Ok(());
            }
            MessageKind::Compare => Some(reader.array::<RANGES>()?),
            MessageKind::Gossip | MessageKind::Differences | MessageKind::StateTransfer => None,
        };
        let outdated = self.merge_entries(&mut reader, now);
        let agrees = self.note_agreement(header.hash, now);
        if self.congested {
            return Ok(());
        }
        if let Some(theirs) = digests.filter(|_| !agrees) {
            self.send_differences(from, &header, &theirs, content.len(), now);
        } else if header.kind == MessageKind::Differences && !outdated.is_empty() {
            self.send_newer(from, &outdated, content.len(), now);
        }
        Ok(())
    }

    /// Merges the entries of a message. Returns the keys of those of which a later version is held here.
    fn merge_entries(&mut self, reader: &mut Reader<'_>, now: Micros) -> Vec<Key> {
        let mut outdated = Vec::new();
        for (key, entry) in reader.records(read_entry) {
            if !self.is_plausible(key, &entry) {
                self.figures.malformed += 1;
                self.refute(key, &entry, now);
                continue;
            }
            if self.merge_entry(key, &entry, now) {
                self.figures.learned += 1;
            } else if self.store.get(key, now).is_some_and(|held| held.value > entry.value) {
                outdated.push(key);
            }
        }
        outdated
    }

    /// Compares the hash of another member with the own one. Returns whether they are equal.
    fn note_agreement(&mut self, theirs: u32, now: Micros) -> bool {
        let hash = self.store.hashes(now).0;
        if self.agreement.hash != hash {
            self.agreement = Agreement { hash, equal: 0 };
        }
        if theirs != hash {
            self.differs_until = now + REPAIR_PERIODS * self.config.period;
            self.agreement.equal = 0;
            return false;
        }
        self.agreement.equal += 1;
        if self.agreement.equal == AGREEMENTS_UNTIL_QUIET {
            self.updates.clear();
        }
        true
    }

    /// Sends the entries that are held here under these keys, in at most `longest` bytes.
    fn send_newer(&mut self, to: u16, keys: &[Key], longest: usize, now: Micros) {
        let mut bytes = write_header(&self.header(MessageKind::Gossip, 0, now));
        for key in keys {
            if let Some(entry) = self.store.get(*key, now) {
                write_entry(&mut bytes, *key, &entry, longest);
            }
        }
        self.enqueue_message(Destination::Peer(to), bytes);
    }

    /// Whether an entry can be genuine. Only this process writes in its own name; an earlier process with the same
    /// number may have done so.
    pub(super) fn is_plausible(&self, key: Key, entry: &Entry) -> bool {
        let ReplicaConfig { me, members, epoch, .. } = self.config;
        match (key, entry.value) {
            (Key::Evidence { author, .. }, EntryValue::Evidence { author_epoch, counter, .. }) => {
                let own = author == me && (author_epoch, counter) > (epoch, self.counter);
                author < members && !own
            }
            _ => true,
        }
    }

    /// Refutes an entry that was written in the name of this process by somebody else: writes the current verdict with
    /// a higher counter.
    pub(super) fn refute(&mut self, key: Key, entry: &Entry, now: Micros) {
        let EntryValue::Evidence { author_epoch, counter, server_epoch, zone, .. } = entry.value
        else {
            return;
        };
        let ReplicaConfig { me, epoch, .. } = self.config;
        let Key::Evidence { server, author } = key else { return };
        let listed = self.listed_servers.get(&server) == Some(&server_epoch);
        if author_epoch != epoch || author != me || !listed {
            return;
        }
        let held = self.store.get(key, now).map(|own| own.value);
        let verdict = match held {
            Some(EntryValue::Evidence { verdict, server_epoch: e, .. }) if e == server_epoch => {
                verdict
            }
            _ => Verdict::Well,
        };
        self.counter = self.counter.max(counter.saturating_add(1));
        let value = EntryValue::Evidence {
            author_epoch,
            counter: self.counter,
            server_epoch,
            verdict,
            zone,
        };
        self.publish(key, value, now);
    }
}
