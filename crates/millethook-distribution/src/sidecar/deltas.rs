//! Deltas on their way in. One that cannot be applied here counts as the head of its document, whose chunks are asked
//! for then.

use std::collections::BTreeMap;
use std::sync::Arc;

use millethook_machine::Micros;

use super::Subscriber;
use super::statuses::Candidate;
use crate::delta;
use crate::message::{Delta, Offer, Stage};
use crate::mutant::{self, Mutant};
use crate::{Document, DocumentKey, Version};

/// One of which nothing has come for so long is given up.
const DELTA_TIMEOUT: Micros = 8_000_000;

/// A control node sends what is not answered again after 0.25 s, then after 0.13 s more each time. While parts come at
/// least once in this time, the whole is not asked for.
const DELTA_PART_TIMEOUT: Micros = 750_000;

/// A delta of which some parts have come.
#[derive(Clone, Debug)]
struct Parts {
    version: Version,
    base: Version,
    parts: BTreeMap<u8, Vec<u8>>,
    arrived: Micros,
}

/// Deltas that are not whole yet, of each key the latest.
#[derive(Clone, Debug, Default)]
pub(super) struct Deltas(BTreeMap<DocumentKey, Parts>);

impl Deltas {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn drop_key(&mut self, key: DocumentKey) {
        self.0.remove(&key);
    }

    /// A part has come; the whole delta once all are there.
    fn add_part(&mut self, now: Micros, delta: &Delta) -> Option<Vec<u8>> {
        self.0.retain(|_, parts| now < parts.arrived.saturating_add(DELTA_TIMEOUT));
        let (version, base) = (delta.id.version, delta.base);
        let new_parts = || Parts { version, base, parts: BTreeMap::new(), arrived: now };
        let parts = self.0.entry(delta.id.key).or_insert_with(new_parts);
        if (parts.version, parts.base) != (version, base) {
            // Two control nodes may make it of different bases: one after the other comes whole.
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
    /// A part of a delta has come. The document that comes of it is that of the whole content's hash.
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

    /// The document of this version, if it is here.
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
