//! The entries of one copy, bounded in number and age, with hashes of key ranges.

use std::cell::Cell;
use std::collections::BTreeMap;

use millethook_lease::Token;
use millethook_machine::hash::mix;

use crate::entry::{Entry, Key};
use crate::message::RANGES;
use crate::{Micros, entry::EntryValue};

/// The maximum number of evidence entries, some 200 bytes each. Beyond it, the oldest are dropped.
pub const MAX_EVIDENCE: usize = 2048;
/// The maximum number of departures. Beyond it, the oldest are dropped.
pub const MAX_DEPARTURES: usize = 1024;
/// The maximum number of jobs. Beyond it, the oldest are dropped.
pub const MAX_JOBS: usize = 512;
/// The maximum number of edge stores. Beyond it, the oldest are dropped.
pub const MAX_EDGES: usize = 1024;
/// Entries that expire within this time, in microseconds, are left out of hashes, because copies do not drop an entry
/// at the same time.
const EXPIRY_MARGIN: Micros = 500_000;

/// An entry and the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct StoredEntry {
    entry: Entry,
    /// When it was received; its age increases from then on.
    received_at: Micros,
}

impl StoredEntry {
    /// Its current age.
    fn age(&self, now: Micros) -> Micros {
        self.entry.age.saturating_add(now.saturating_sub(self.received_at))
    }
}

/// The entries of one process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    entries: BTreeMap<Key, StoredEntry>,
    /// The number of entries of each kind.
    counts: [usize; 4],
    /// Entries that were dropped to make room.
    pub crowded_out: u64,
    /// The hashes, and until when they are valid if nothing changes.
    hashes: Cell<Option<(Micros, Hashes)>>,
}

/// The hash of all shared entries, and of each key range.
type Hashes = (u32, [u32; RANGES]);

impl Store {
    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of entries of each kind, as maintained incrementally.
    pub fn counts(&self) -> [usize; 4] {
        self.counts
    }

    /// The number of entries of each kind, counted again.
    pub fn recount(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        self.entries.keys().for_each(|key| counts[kind_index(*key)] += 1);
        counts
    }

    /// The entry of a key with its current age, unless it has expired.
    pub fn get(&self, key: Key, now: Micros) -> Option<Entry> {
        let stored = self.entries.get(&key)?;
        let age = stored.age(now);
        (age < key.lifetime()).then_some(Entry { age, ..stored.entry })
    }

    /// All entries that have not expired.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = (Key, Entry)> {
        self.entries.keys().filter_map(move |key| Some((*key, self.get(*key, now)?)))
    }

    /// The observations of a server, by author.
    pub fn evidence(&self, server: u64, now: Micros) -> impl Iterator<Item = (u16, EntryValue)> {
        let all = Key::Evidence { server, author: 0 }..=Key::Evidence { server, author: u16::MAX };
        self.entries.range(all).filter_map(move |(key, stored)| match key {
            Key::Evidence { author, .. } if stored.age(now) < key.lifetime() => {
                Some((*author, stored.entry.value))
            }
            _ => None,
        })
    }

    /// Merges an entry. Returns whether its content is new here.
    pub fn merge(&mut self, key: Key, entry: &Entry, now: Micros) -> bool {
        if entry.age >= key.lifetime() {
            return false;
        }
        if let Some(stored) = self.entries.get_mut(&key) {
            let value = stored.entry.value;
            let mut joined = Entry { age: stored.age(now), value };
            if joined.join(entry) {
                self.hashes.set(None);
            }
            *stored = StoredEntry { entry: joined, received_at: now };
            return joined.value != value;
        }
        self.make_room(key, now);
        self.hashes.set(None);
        self.entries.insert(key, StoredEntry { entry: *entry, received_at: now });
        self.counts[kind_index(key)] += 1;
        true
    }

    /// Drops the oldest entries of this key's kind, if there are too many.
    fn make_room(&mut self, key: Key, now: Micros) {
        let alike = |k: &Key| std::mem::discriminant(k) == std::mem::discriminant(&key);
        let most = [MAX_EVIDENCE, MAX_DEPARTURES, MAX_JOBS, MAX_EDGES];
        if self.counts[kind_index(key)] < most[kind_index(key)] {
            return;
        }
        // Drops a sixteenth at once, so that a flood does not cost a search for each entry.
        let mut ages: Vec<(Micros, Key)> = self
            .entries
            .iter()
            .filter(|(k, _)| alike(k))
            .map(|(key, stored)| (stored.age(now), *key))
            .collect();
        ages.sort_unstable_by(|a, b| b.cmp(a));
        for (_, key) in ages.iter().take(ages.len() / 16) {
            self.remove(*key);
            self.crowded_out += 1;
        }
    }

    fn remove(&mut self, key: Key) {
        self.hashes.set(None);
        if self.entries.remove(&key).is_some() {
            self.counts[kind_index(key)] -= 1;
        }
    }

    /// Drops entries that have expired, and returns the servers that they concerned.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let old: Vec<Key> = (self.entries.iter())
            .filter(|(key, stored)| stored.age(now) >= key.lifetime())
            .map(|(key, _)| *key)
            .collect();
        old.iter().for_each(|key| self.remove(*key));
        old.into_iter().filter_map(Key::server).collect()
    }

    /// When the next entry expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        let ends = self.entries.iter().map(|(key, stored)| {
            stored.received_at.saturating_add(key.lifetime().saturating_sub(stored.entry.age))
        });
        ends.min()
    }

    /// The hashes, equal for all that hold the same shared contents.
    pub fn hashes(&self, now: Micros) -> Hashes {
        if let Some((_, known)) = self.hashes.get().filter(|(until, _)| now < *until) {
            return known;
        }
        let (mut all, mut ranges, mut until) = (0u32, [0u32; RANGES], Micros::MAX);
        for (key, stored) in self.entries.iter().filter(|(key, _)| key.is_shared()) {
            let left = key.lifetime().saturating_sub(EXPIRY_MARGIN + stored.age(now));
            if left > 0 {
                let hash = hash_of(*key, &stored.entry.value);
                all = all.wrapping_add(hash as u32);
                let range = &mut ranges[range_of(*key)];
                *range = range.wrapping_add(hash as u32);
                until = until.min(now + left);
            }
        }
        self.hashes.set(Some((until, (all, ranges))));
        (all, ranges)
    }
}

/// The index of a key's kind in the counts.
fn kind_index(key: Key) -> usize {
    match key {
        Key::Evidence { .. } => 0,
        Key::Departure { .. } => 1,
        Key::Job { .. } => 2,
        Key::Edge { .. } => 3,
    }
}

/// The range that a key belongs to.
pub(crate) fn range_of(key: Key) -> usize {
    let number = match key {
        Key::Evidence { server, author } => mix(server ^ mix(u64::from(author) + 1)),
        Key::Departure { server } => mix(server),
        Key::Job { job } => mix(job ^ 0x10b),
        Key::Edge { edge } => mix(edge ^ 0xed9e),
    };
    (number >> 32) as usize % RANGES
}

fn hash_of(key: Key, value: &EntryValue) -> u64 {
    let key = match key {
        Key::Evidence { server, author } => mix(server) ^ u64::from(author),
        Key::Departure { server } => !mix(server),
        Key::Job { job } => mix(job ^ 0x10b),
        Key::Edge { edge } => mix(edge ^ 0xed9e),
    };
    match *value {
        EntryValue::Evidence { author_epoch, counter, .. } => {
            mix(key ^ mix(author_epoch ^ u64::from(counter) << 44))
        }
        EntryValue::Departure { server_epoch, departure } => {
            mix(key ^ mix(server_epoch << 2 ^ departure as u64))
        }
        EntryValue::Job { token, said } => mix(key ^ hash_of_token(token) ^ mix(u64::from(said))),
        EntryValue::Edge { token, upto, beyond, failed, left } => {
            let failed = failed.iter().fold(u64::from(left), |n, f| n << 16 | u64::from(*f));
            mix(key ^ hash_of_token(token) ^ mix(upto ^ mix(beyond ^ mix(failed))))
        }
    }
}

fn hash_of_token(token: Token) -> u64 {
    mix(token.epoch << 16 ^ u64::from(token.owner) ^ mix(u64::from(token.counter)))
}
