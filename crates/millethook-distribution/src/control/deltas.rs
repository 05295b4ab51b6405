//! The previous contents of each key, and the deltas from them to the committed content.

use std::sync::Arc;

use super::store::Store;
use crate::message::{DELTA_PART_BYTES, Delta, MAX_DELTA_PARTS};
use crate::{Document, DocumentKey, Version, chunks, delta};

/// The maximum number of contents of one key that are stored in addition to the committed one.
const MAX_BASES: usize = 4;
/// The maximum number of bytes of all of them.
pub(super) const MAX_BASE_BYTES: usize = 8 * 1024 * 1024;

/// A delta, split into messages; it is computed once for all receivers.
pub(crate) type DeltaParts = Arc<[Delta]>;

impl Store {
    /// Stores the previously committed document as a base. If there is no room, the oldest of all bases is dropped.
    pub(super) fn keep_base(&mut self, before: Arc<Document>) {
        let Some(slot) = self.slots.get_mut(&before.key) else { return };
        slot.deltas.clear();
        if before.body.is_none() {
            return;
        }
        self.base_bytes += before.length();
        slot.bases.push_back(before);
        if slot.bases.len() > MAX_BASES {
            self.base_bytes -= slot.bases.pop_front().map_or(0, |oldest| oldest.length());
        }
        while self.base_bytes > MAX_BASE_BYTES {
            let oldest = self.slots.values_mut().filter(|slot| !slot.bases.is_empty());
            let oldest = oldest.min_by_key(|slot| slot.bases.front().map(|base| base.version));
            let Some(base) = oldest.and_then(|slot| slot.bases.pop_front()) else { return };
            self.base_bytes -= base.length();
        }
    }

    /// Bytes of the contents that are stored for deltas.
    pub(super) fn base_bytes(&self) -> usize {
        self.slots.values().flat_map(|slot| &slot.bases).map(|base| base.length()).sum()
    }

    /// The delta from this version to the committed document; None: that version is not stored, or the complete
    /// document is as short.
    pub(super) fn delta(&mut self, key: DocumentKey, base: Version) -> Option<DeltaParts> {
        let slot = self.slots.get_mut(&key)?;
        if let Some(cached) = slot.deltas.get(&base) {
            return cached.clone();
        }
        let document = slot.committed.as_ref()?;
        let base = slot.bases.iter().find(|kept| kept.version == base)?;
        let parts = parts_between(base, document);
        slot.deltas.insert(base.version, parts.clone());
        parts
    }
}

/// The messages of the delta between two documents; None: the complete document is not longer.
fn parts_between(base: &Document, document: &Document) -> Option<DeltaParts> {
    let (old, new) = (base.body.as_deref()?, document.body.as_deref()?);
    // A document of n chunks also needs a head.
    let max_parts = chunks::count(new.len()).min(MAX_DELTA_PARTS);
    let bytes = delta::compute(old, new, max_parts * DELTA_PART_BYTES)?;
    let count = bytes.len().div_ceil(DELTA_PART_BYTES).max(1);
    let part = |index: usize| {
        let begin = index * DELTA_PART_BYTES;
        let end = bytes.len().min(begin + DELTA_PART_BYTES);
        Delta {
            id: document.id(),
            hash: document.hash,
            length: new.len(),
            base: base.version,
            index: index as u8,
            count: count as u8,
            bytes: bytes[begin..end].to_vec(),
        }
    };
    Some((0..count).map(part).collect())
}
