//! How a control node serves sidecars.

use std::sync::Arc;

use millethook_machine::Micros;

use super::ControlNode;
use super::subscribers::DigestOutcome;
use crate::chunks::{Wanted, is_sent_eagerly};
use crate::message::{Digest, Message, Role, Stage};
use crate::mutant::{self, Mutant};
use crate::outgoing::Receiver;
use crate::{Document, DocumentKey, Scope, Version};

impl ControlNode {
    /// Handles a sidecar's report of the documents that it has.
    pub(super) fn on_digest(&mut self, now: Micros, from: u16, digest: Digest) {
        let hash = digest.hash;
        if digest.identity.number != from {
            self.figures.malformed += 1;
            return;
        }
        let to = Receiver { number: from, role: Role::Sidecar };
        match self.subscribers.on_digest(now, from, digest) {
            DigestOutcome::NoRoom => self.figures.turned_away += 1,
            DigestOutcome::Probe => {
                self.outgoing.send(to, &Message::DigestReply { hash, known: true })
            }
            DigestOutcome::Unknown => {
                self.outgoing.send(to, &Message::DigestReply { hash, known: false })
            }
            DigestOutcome::Known { new } => {
                self.outgoing.send(to, &Message::DigestReply { hash, known: true });
                self.push_outdated(now, from, new);
            }
        }
    }

    /// Pushes the documents that a sidecar does not have. Chunks are sent only if they are few and the sidecar is new;
    /// any other sidecar requests the missing chunks of a transfer itself.
    fn push_outdated(&mut self, now: Micros, number: u16, new: bool) {
        let to = Receiver { number, role: Role::Sidecar };
        let Some(sidecar) = self.subscribers.get(number) else { return };
        for scope in Scope::of(&sidecar.identity) {
            self.push_if_outdated(now, to, DocumentKey::configuration(scope), new);
        }
        self.push_outdated_lists(now, number);
    }

    /// Does the same for the lists that it subscribes to.
    pub(super) fn push_outdated_lists(&mut self, now: Micros, number: u16) {
        let to = Receiver { number, role: Role::Sidecar };
        let sidecar = self.subscribers.get(number);
        let Some(lists) = sidecar.and_then(|sidecar| sidecar.lists.as_ref()) else { return };
        let statuses = lists.statuses.clone();
        for (service, status) in statuses.iter() {
            let new = status.version == Version::default();
            self.push_if_outdated(now, to, DocumentKey::server_list(service), new);
        }
    }

    /// Pushes the document of one key to a sidecar that has an older version or none.
    fn push_if_outdated(&mut self, now: Micros, to: Receiver, key: DocumentKey, new: bool) {
        let known = self.subscribers.get(to.number).map(|sidecar| sidecar.version(key));
        self.outgoing.on_arrived(to, key, known.unwrap_or_default());
        let Some(document) = self.store.committed(key).cloned() else { return };
        let outdated = known < Some(document.version);
        if outdated && !self.outgoing.is_pushing(to, document.id()) {
            self.push_to_sidecar(now, to, &document, new);
        }
    }

    /// Pushes a document to a sidecar. The second control node sends the head only; the first one sends the content, as
    /// a delta if possible, otherwise completely if it is short and `eager`.
    fn push_to_sidecar(
        &mut self,
        now: Micros,
        to: Receiver,
        document: &Arc<Document>,
        eager: bool,
    ) {
        let Some(sidecar) = self.subscribers.get(to.number) else { return };
        let (first, base) = (sidecar.rank == 0, sidecar.version(document.key));
        let takes_delta = first && sidecar.takes_deltas();
        let delta = takes_delta.then(|| self.store.delta(document.key, base)).flatten();
        if let Some(delta) = delta {
            return self.outgoing.push_delta(now, to, document, delta);
        }
        let with_chunks = first && eager && is_sent_eagerly(document.length());
        self.outgoing.push(now, to, document, Stage::Committed, with_chunks);
    }

    /// Pushes a document that has just been committed to all sidecars that it is for.
    pub(super) fn push_to_subscribers(&mut self, now: Micros, document: &Arc<Document>) {
        let covered = self.subscribers.covered(document.key);
        let outdated =
            covered.filter(|(_, sidecar)| sidecar.version(document.key) < document.version);
        let outdated: Vec<u16> = outdated.map(|(number, _)| number).collect();
        for number in outdated {
            let to = Receiver { number, role: Role::Sidecar };
            self.push_to_sidecar(now, to, document, true);
        }
    }

    /// Handles a request for parts of a document.
    pub(super) fn on_fetch(
        &mut self,
        now: Micros,
        to: Receiver,
        key: Option<DocumentKey>,
        version: Version,
        wanted: Wanted,
    ) {
        let is_sidecar = to.role == Role::Sidecar;
        // A sidecar that has moved to another control node and still requests parts here is served, since the number of
        // pushes is limited. The request does not count as a sign of life, since only a digest states which control
        // node is its first.
        if !is_sidecar && !self.quorum.0.contains(&to.number) {
            self.figures.malformed += 1;
            return;
        }
        let hidden = is_sidecar && !mutant::is(Mutant::UncommittedTravels);
        let found =
            self.store.find(key, version).map(|(document, stage)| (document.clone(), stage));
        match found.filter(|(_, stage)| *stage == Stage::Committed || !hidden) {
            Some((document, stage)) => {
                let stage = self.stage_of(&document, stage, is_sidecar);
                let head = key.is_none() || wanted == Wanted::All;
                self.outgoing.resend(now, to, &document, stage, wanted, head);
            }
            None => {
                // A later version has been committed.
                let Some(document) = key.and_then(|key| self.store.committed(key)).cloned() else {
                    return;
                };
                if document.version > version && !self.outgoing.is_pushing(to, document.id()) {
                    let with_chunks = !is_sidecar || is_sent_eagerly(document.length());
                    self.outgoing.push(now, to, &document, Stage::Committed, with_chunks);
                }
            }
        }
    }

    /// The stage to send with a document. A document of this writer that a majority has not accepted yet is offered for
    /// a vote.
    fn stage_of(&self, document: &Document, stage: Stage, is_sidecar: bool) -> Stage {
        if is_sidecar {
            return Stage::Committed;
        }
        let publications = self.writer.as_ref().map(|writer| &writer.publications);
        let publication = publications.and_then(|all| all.get(&document.key));
        match publication.filter(|p| p.document.version == document.version) {
            Some(publication) => Stage::Proposed(publication.round),
            None => stage,
        }
    }
}
