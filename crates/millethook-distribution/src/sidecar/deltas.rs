//! Deltas that are being received. A delta that cannot be applied here counts as the head of its document, whose chunks
//! are then requested.

use std::collections::BTreeMap;
use std::sync::Arc;

use millethook_machine::Micros;

use super::Subscriber;
use super::statuses::Candidate;
use crate::delta;
use crate::message::{Delta, Offer, Stage};
use crate::mutant::{self, Mutant};
use crate::{Document, DocumentKey, Version};

/// A delta of which nothing has arrived for this time is dropped.
const DELTA_TIMEOUT: Micros = 8_000_000;

/// A control node repeats an unanswered delta after 0.25 s, with 0.13 s added to the wait at each repetition. The
/// complete document is not requested while parts arrive at least once in this time.
const DELTA_PART_TIMEOUT: Micros = 750_000;

/// A delta of which some parts have arrived.
#[derive(Clone, Debug)]
struct Parts {
    version: Version,
    base: Version,
    parts: BTreeMap<u8, Vec<u8>>,
    arrived: Micros,
}

/// Incomplete deltas, the latest of each key.
#[derive(Clone, Debug, Default)]
pub(super) struct Deltas(BTreeMap<DocumentKey, Parts>);

impl Deltas {
    /// The number of incomplete deltas.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Drops the delta of a key.
    pub fn drop_key(&mut self, key: DocumentKey) {
        self.0.remove(&key);
    }

    /// Adds a part; returns the delta once it is complete.
    fn add_part(&mut self, now: Micros, delta: &Delta) -> Option<Vec<u8>> {
        self.0.retain(|_, parts| now < parts.arrived.saturating_add(DELTA_TIMEOUT));
        let (version, base) = (delta.id.version, delta.base);
        let new_parts = || Parts { version, base, parts: BTreeMap::new(), arrived: now };
        let parts = self.0.entry(delta.id.key).or_insert_with(new_parts);
        if (parts.version, parts.base) != (version, base) {
            // Two control nodes may compute it from different bases; their deltas are completed one after the other.
            if parts.version > version {
                return None;
            }
            *parts = new_parts();
        }
        parts.arrived = now;
        parts.parts.insert(delta.index, delta.bytes.clone());
        if parts.parts.len() < usize::from(delta.count) {
            return None;
        }
        let parts = self.0.remove(&delta.id.key)?;
        Some(parts.parts.into_values().flatten().collect())
    }
}

impl Subscriber {
    /// Handles a part of a delta. The resulting document has to match the hash of the complete content.
    pub(super) fn on_delta(&mut self, now: Micros, from: u16, delta: Delta) {
        let head = Offer {
            stage: Stage::Committed,
            id: delta.id,
            hash: delta.hash,
            retracted: false,
            length: delta.length,
            inline: None,
        };
        if !self.is_new_offer(now, from, &head) {
            return;
        }
        let key = delta.id.key;
        let Some(base) = self.base(key, delta.base) else {
            return self.on_offer_head(now, from, head);
        };
        let Some(bytes) = self.deltas.add_part(now, &delta) else {
            return self.incoming.wait_for_delta(delta.id.version, now + DELTA_PART_TIMEOUT);
        };
        let base = base.body.as_deref().unwrap_or_default();
        let content = delta::apply(base, &bytes, delta.length);
        let document = content.map(|content| Document {
            key,
            version: delta.id.version,
            body: Some(content),
            hash: delta.hash,
        });
        let unchecked = mutant::is(Mutant::DeltaUnchecked);
        match document.filter(|document| document.is_intact() || unchecked) {
            Some(document) => {
                self.figures.deltas += 1;
                self.on_complete(now, document);
            }
            None => {
                self.figures.damaged += 1;
                self.on_offer_head(now, from, head);
            }
        }
    }

    /// The document of this version, if it is in force or offered here.
    fn base(&self, key: DocumentKey, version: Version) -> Option<Arc<Document>> {
        let in_force = self.in_force.get(&key).cloned();
        if mutant::is(Mutant::DeltaUnchecked) {
            return in_force;
        }
        let offered = self.candidates.get(&key).and_then(|candidate| match candidate {
            Candidate::Offered(document) => Some(document.clone()),
            Candidate::Refused(..) => None,
        });
        in_force.into_iter().chain(offered).find(|document| document.version == version)
    }
}
