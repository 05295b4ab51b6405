//! What a sidecar's host asks, and decides.

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

    /// The host has put these into force, together.
    ///
    /// # Errors
    /// One of them is not offered any more; then none counts as in force, and the host goes back to what
    /// [`Subscriber::in_force`] says, or takes the newer event.
    pub fn accept(&mut self, now: Micros, versions: &[Version]) -> Result<(), NotOffered> {
        let documents: Vec<Arc<Document>> = versions
            .iter()
            .map(|version| self.offered(*version).ok_or(NotOffered(*version)))
            .collect::<Result<_, _>>()?;
        // Nothing to accept is told as before.
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

    /// The host does not take this one. What is in force stays; the refusal is reported.
    ///
    /// # Errors
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

    /// The documents in force, in the order of merge: of each kind from [`Scope::All`](crate::Scope::All) to [`Scope::Sidecar`](crate::Scope::Sidecar).
    /// Retractions are left out.
    pub fn in_force(&self) -> Vec<Arc<Document>> {
        self.in_force.values().filter(|document| document.body.is_some()).cloned().collect()
    }

    /// The version in force of a key, a retraction's too.
    pub fn version_in_force(&self, key: DocumentKey) -> Option<Version> {
        self.in_force.get(&key).map(|document| document.version)
    }

    /// What the host has to keep for the next start; to be written after each decision.
    pub fn snapshot(&self) -> Snapshot {
        let documents: Vec<Document> =
            self.in_force.values().map(|document| Document::clone(document)).collect();
        let fence = documents.iter().map(|document| document.version).max().unwrap_or_default();
        Snapshot { fence, documents }
    }

    /// Counts since the start, and how many there are now.
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
