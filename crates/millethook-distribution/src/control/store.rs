//! The documents that a control node stores.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use millethook_machine::Micros;
use millethook_machine::hash::mix;

use crate::control::{DeltaParts, PublishError};
use crate::message::{BUCKETS, Buckets, ListEntry, MAX_LIST_ENTRIES, Stage};
use crate::status::hash_of_version;
use crate::{Document, DocumentKey, Limits, Version};

/// The documents of one key.
#[derive(Clone, Debug, Default)]
pub(crate) struct Slot {
    /// The latest document that a majority has accepted, as far as this control node knows.
    pub committed: Option<Arc<Document>>,
    /// A later document that was accepted here.
    pub accepted: Option<Arc<Document>>,
    /// The last document before `committed` that was in force at most of the sidecars.
    pub last_good: Option<Arc<Document>>,
    /// Previously committed documents, the latest last; and the deltas from them to `committed`, by version; None: the
    /// delta is too long.
    pub bases: VecDeque<Arc<Document>>,
    pub deltas: BTreeMap<Version, Option<DeltaParts>>,
    /// When this control node learned that `committed` is committed.
    pub committed_at: Micros,
    /// The latest committed version that the host has on disk.
    pub persisted: Version,
}

impl Slot {
    fn committed_version(&self) -> Version {
        self.committed.as_ref().map(|document| document.version).unwrap_or_default()
    }

    fn accepted_version(&self) -> Version {
        self.accepted.as_ref().map(|document| document.version).unwrap_or_default()
    }
}

/// All stored documents. The lowest version stands for none.
#[derive(Clone, Debug)]
pub(crate) struct Store {
    /// What is stored for each key.
    pub slots: BTreeMap<DocumentKey, Slot>,
    /// Bytes of all [`Slot::bases`].
    pub base_bytes: usize,
    max_documents: usize,
    max_bytes: usize,
}

impl Store {
    /// Creates an empty store with these limits.
    pub fn new(limits: &Limits) -> Store {
        let (max_documents, max_bytes) = (limits.documents, limits.bytes);
        Store { slots: BTreeMap::new(), base_bytes: 0, max_documents, max_bytes }
    }

    /// Checks whether there is room for a content of `length` bytes under this key.
    ///
    /// # Errors
    ///
    /// Returns the limit that would be exceeded.
    pub fn check_room(&self, key: DocumentKey, length: usize) -> Result<(), PublishError> {
        if !self.slots.contains_key(&key) && self.slots.len() >= self.max_documents {
            return Err(PublishError::TooManyDocuments { most: self.max_documents });
        }
        let others = self.slots.iter().filter(|(other, _)| **other != key);
        let others: usize = others.map(|(_, slot)| latest(slot).map_or(0, |d| d.length())).sum();
        if others + length > self.max_bytes {
            return Err(PublishError::TooManyBytes {
                found: others + length,
                most: self.max_bytes,
            });
        }
        Ok(())
    }

    /// Bytes of the committed documents.
    pub fn bytes(&self) -> usize {
        self.slots.values().filter_map(|slot| slot.committed.as_ref()).map(|d| d.length()).sum()
    }

    /// The committed document of a key.
    pub fn committed(&self, key: DocumentKey) -> Option<&Arc<Document>> {
        self.slots.get(&key)?.committed.as_ref()
    }

    /// The committed version of a key.
    pub fn committed_version(&self, key: DocumentKey) -> Version {
        self.slots.get(&key).map(Slot::committed_version).unwrap_or_default()
    }

    /// The latest version of a key, committed or accepted.
    pub fn latest_version(&self, key: DocumentKey) -> Version {
        let version = |slot: &Slot| slot.committed_version().max(slot.accepted_version());
        self.slots.get(&key).map(version).unwrap_or_default()
    }

    /// The document of this version, and whether it is known to be committed.
    pub fn find(
        &self,
        key: Option<DocumentKey>,
        version: Version,
    ) -> Option<(&Arc<Document>, Stage)> {
        let of = |slot: &'_ Slot| {
            if slot.committed_version() == version {
                Some(Stage::Committed)
            } else {
                (slot.accepted_version() == version).then_some(Stage::Accepted)
            }
        };
        let slot = match key {
            Some(key) => self.slots.get(&key)?,
            None => self.slots.values().find(|slot| of(slot).is_some())?,
        };
        let stage = of(slot)?;
        let document = if stage == Stage::Committed { &slot.committed } else { &slot.accepted };
        Some((document.as_ref()?, stage))
    }

    /// Stores an accepted document; false: an equal or later version is stored already, or there is no room.
    pub fn accept(&mut self, document: Arc<Document>) -> bool {
        let is_later = document.version > self.latest_version(document.key);
        // The writer observes the limits; there is room for the documents of two concurrent writers.
        let has_room = self.slots.contains_key(&document.key)
            || self.slots.len() < self.max_documents.saturating_mul(2);
        if is_later && has_room {
            let key = document.key;
            self.slots.entry(key).or_default().accepted = Some(document);
        }
        is_later && has_room
    }

    /// Stores a document that a majority has accepted; false: this version or a later one is known.
    pub fn commit(&mut self, now: Micros, document: Arc<Document>) -> bool {
        if document.version <= self.committed_version(document.key) {
            return false;
        }
        let slot = self.slots.entry(document.key).or_default();
        if slot.accepted_version() <= document.version {
            slot.accepted = None;
        }
        let before = slot.committed.replace(document);
        slot.committed_at = now;
        if let Some(before) = before {
            self.keep_base(before);
        }
        true
    }

    /// Hashes of the stored documents, by bucket; without `accepted`, of the committed documents only.
    pub fn buckets(&self, accepted: bool) -> Buckets {
        let mut buckets = [0; BUCKETS];
        for (key, slot) in &self.slots {
            let committed = hash_of_version(slot.committed_version());
            let accepted = if accepted { hash_of_version(slot.accepted_version()) } else { 0 };
            let of = mix(hash_of_key(*key) ^ mix(committed ^ mix(accepted)));
            if accepted != 0 || slot.committed.is_some() {
                buckets[bucket_of(*key)] ^= of;
            }
        }
        buckets
    }

    /// The entries of a bucket that follow a key, and whether there are more than fit into one message.
    pub fn list_bucket(&self, of: u8, after: Option<DocumentKey>) -> (Vec<ListEntry>, bool) {
        let behind = self.slots.iter().filter(|(key, _)| after.is_none_or(|after| **key > after));
        let mut behind = behind.filter(|(key, _)| bucket_of(**key) == usize::from(of));
        let entry = |(key, slot): (&DocumentKey, &Slot)| ListEntry {
            key: *key,
            committed: slot.committed_version(),
            accepted: slot.accepted_version(),
        };
        let entries = behind.by_ref().take(MAX_LIST_ENTRIES).map(entry).collect();
        (entries, behind.next().is_some())
    }

    /// Documents that were accepted here and are not known to be committed.
    pub fn uncommitted(&self) -> Vec<Arc<Document>> {
        self.slots.values().filter_map(|slot| slot.accepted.clone()).collect()
    }

    /// The highest stored version.
    pub fn highest(&self) -> Version {
        self.slots.keys().map(|key| self.latest_version(*key)).max().unwrap_or_default()
    }
}

/// The document that a key will have once all accepted documents are committed.
fn latest(slot: &Slot) -> Option<&Arc<Document>> {
    slot.accepted.as_ref().or(slot.committed.as_ref())
}

fn hash_of_key(key: DocumentKey) -> u64 {
    let mut bytes = Vec::with_capacity(8);
    key.write(&mut bytes);
    bytes.iter().fold(0, |hash, byte| mix(hash ^ u64::from(*byte)))
}

fn bucket_of(key: DocumentKey) -> usize {
    (hash_of_key(key) % BUCKETS as u64) as usize
}
