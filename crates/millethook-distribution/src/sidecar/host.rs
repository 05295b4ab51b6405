//! The calls of a sidecar's host: events, decisions and queries.

use std::sync::Arc;

use millethook_machine::Micros;

use super::statuses::Candidate;
use super::{NotOffered, Subscriber, SubscriberEvent, SubscriberFigures};
use crate::lists::list_of;
use crate::mutant::{self, Mutant};
use crate::report::MAX_REASON_BYTES;
use crate::{Document, DocumentKey, Refusal, Snapshot, Version};

impl Subscriber {
    /// The next event.
    pub fn poll_event(&mut self) -> Option<SubscriberEvent> {
        while let Some(kind) = self.changed_kinds.pop_first() {
            let of_kind = self.candidates.iter().filter(|(key, _)| key.kind == kind);
            let offered = of_kind.filter_map(|(_, candidate)| match candidate {
                Candidate::Offered(document) => Some(document.clone()),
                Candidate::Refused(..) => None,
            });
            let documents: Vec<_> = offered.collect();
            if !documents.is_empty() {
                return Some(SubscriberEvent::Offered { documents });
            }
        }
        None
    }

    /// The host has put these versions into force together.
    ///
    /// # Errors
    ///
    /// One of them is not offered any more. Then none of them counts as in force, and the host has to go back to the
    /// documents of [`Subscriber::in_force`], or handle the newer event.
    pub fn accept(&mut self, now: Micros, versions: &[Version]) -> Result<(), NotOffered> {
        let documents: Vec<Arc<Document>> = versions
            .iter()
            .map(|version| self.offered(*version).ok_or(NotOffered(*version)))
            .collect::<Result<_, _>>()?;
        // An empty decision is reported like one on configuration.
        let mut configuration = documents.is_empty();
        for document in documents {
            let key = document.key;
            self.candidates.remove(&key);
            let highest = self.highest.entry(key).or_default();
            *highest = (*highest).max(document.version);
            self.in_force.insert(key, document);
            self.figures.accepted += 1;
            match list_of(key) {
                Some(service) => self.list_links.changed(now, service),
                None => configuration = true,
            }
        }
        if configuration {
            self.links.report_soon(now);
        }
        Ok(())
    }

    /// The host refuses this version. What is in force stays; the refusal is reported.
    ///
    /// # Errors
    ///
    /// It is not offered any more.
    pub fn refuse(
        &mut self,
        now: Micros,
        version: Version,
        why: Refusal,
    ) -> Result<(), NotOffered> {
        let document = self.offered(version).ok_or(NotOffered(version))?;
        self.figures.refused += 1;
        if !mutant::is(Mutant::RefusedComesBack) {
            let why = Refusal { code: why.code, reason: why.cut(MAX_REASON_BYTES).to_string() };
            self.candidates.insert(document.key, Candidate::Refused(version, why));
        }
        self.changed(now, document.key);
        Ok(())
    }

    /// The documents in force, in merge order: of each kind from [`Scope::All`](crate::Scope::All) to
    /// [`Scope::Sidecar`](crate::Scope::Sidecar), without retractions.
    pub fn in_force(&self) -> Vec<Arc<Document>> {
        self.in_force.values().filter(|document| document.body.is_some()).cloned().collect()
    }

    /// The version in force of a key; it may be that of a retraction.
    pub fn version_in_force(&self, key: DocumentKey) -> Option<Version> {
        self.in_force.get(&key).map(|document| document.version)
    }

    /// What the host has to store for the next start, after each decision.
    pub fn snapshot(&self) -> Snapshot {
        let documents: Vec<Document> =
            self.in_force.values().map(|document| Document::clone(document)).collect();
        let fence = documents.iter().map(|document| document.version).max().unwrap_or_default();
        Snapshot { fence, documents }
    }

    /// Counters since the start, and current numbers.
    pub fn figures(&self) -> SubscriberFigures {
        let offered = |c: &&Candidate| matches!(c, Candidate::Offered(_));
        SubscriberFigures {
            in_force: self.in_force.len(),
            offered: self.candidates.values().filter(offered).count(),
            incoming: self.incoming.len(),
            control_nodes: self.links.answering(),
            switches: self.links.switches,
            ..self.figures
        }
    }
}
