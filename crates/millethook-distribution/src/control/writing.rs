//! What a control node does as the writer.

use std::collections::BTreeSet;
use std::sync::Arc;

use millethook_lease::Token;
use millethook_machine::Micros;
use rand_core::RngCore;

use super::sync::Session;
use super::{ControlEvent, ControlNode, PublishError};
use crate::message::{Buckets, Message, Role, Stage};
use crate::mutant::{self, Mutant};
use crate::outgoing::Receiver;
use crate::writer::{Publication, Writer, round_length};
use crate::{Document, DocumentId, DocumentKey, MAX_CONTENT_BYTES, Rollout, Version};

impl ControlNode {
    /// This control node holds the writer's lease under this token: it asks the others to acknowledge the token, and
    /// learns what they store. The host has to call this again with each higher token; a call with the same token has
    /// no effect.
    pub fn announce_writer(&mut self, now: Micros, token: Token) {
        if self.writer.as_ref().is_some_and(|writer| writer.token >= token) {
            return;
        }
        let by = self.fence.highest();
        if token < by && !mutant::is(Mutant::NoFence) || token.owner != self.config.me {
            self.queue_event(ControlEvent::Deposed { token, by });
            return;
        }
        if self.recovery.is_some() {
            self.pending = Some(token);
            return;
        }
        self.step_down();
        let _ = self.fence.admit(token);
        self.writer = Some(Writer::new(token));
        self.start_announcing(now);
        self.become_ready(now);
    }

    /// This control node does not hold the lease any more. Documents that are not committed are left to the next
    /// writer.
    pub fn resign(&mut self, _now: Micros) {
        self.step_down();
    }

    /// Stops being the writer and drops its proposals.
    pub(super) fn step_down(&mut self) {
        self.pending = None;
        if self.writer.take().is_some() {
            self.outgoing.retain(|_, stage| !matches!(stage, Stage::Proposed(_)));
        }
    }

    /// A number that identifies the answers of a round; never 0.
    pub(super) fn next_round(&mut self) -> u32 {
        self.random.next_u32().max(1)
    }

    /// Starts a new round of announcements.
    fn start_announcing(&mut self, now: Micros) {
        let (me, round) = (self.config.me, self.next_round());
        // What was learned in an earlier round does not count in this one.
        self.sessions.retain(|_, session| !session.learns_accepted());
        if let Some(writer) = &mut self.writer {
            writer.start_round(now, me, round);
        }
    }

    /// Sends the announcement again to control nodes that have not answered.
    pub(super) fn retry_announcement(&mut self, now: Micros) {
        let length = round_length(&self.config.limits);
        let Some(writer) = &self.writer else { return };
        let expired =
            now > writer.sent.saturating_add(length) && !mutant::is(Mutant::RoundsForever);
        if !writer.ready && expired {
            self.start_announcing(now);
        }
        let Some(writer) = &mut self.writer else { return };
        if !writer.is_due(now) {
            return;
        }
        let message = Message::Announce { token: writer.token, round: writer.round };
        let learned = writer.learned.clone();
        for other in self.other_control_nodes() {
            // The comparison that is made once a second does not include the other's votes.
            let learning =
                self.sessions.get(&other).is_some_and(|session| session.learns_accepted());
            if !learned.contains(&other) && !learning {
                self.send(other, &message);
            }
        }
    }

    /// Another control node accepts no lower token any more.
    pub(super) fn on_promise(
        &mut self,
        now: Micros,
        from: u16,
        token: Token,
        round: u32,
        theirs: &Buckets,
    ) {
        let Some(writer) = &mut self.writer else { return };
        if writer.token != token || writer.round != round || writer.ready {
            return;
        }
        writer.promised.insert(from);
        let (mine, round) = (self.store.buckets(true), self.next_round());
        self.sessions.insert(from, Session::new(round, &mine, theirs, true));
        if mutant::is(Mutant::NoCatchUp) {
            self.sessions.remove(&from);
            self.on_learned(now, from);
        }
        self.finish_sessions(now);
    }

    /// Everything that another control node stores is known here.
    pub(super) fn on_learned(&mut self, now: Micros, from: u16) {
        if let Some(writer) = self.writer.as_mut().filter(|w| w.promised.contains(&from)) {
            writer.learned.insert(from);
            self.become_ready(now);
        }
    }

    /// The writer may publish once it knows everything that a majority stores, if the round has not expired.
    fn become_ready(&mut self, now: Micros) {
        let length = round_length(&self.config.limits);
        let Some(writer) = &mut self.writer else { return };
        let in_time =
            now <= writer.sent.saturating_add(length) || mutant::is(Mutant::RoundsForever);
        if writer.ready || !in_time || !self.quorum.is_majority(&writer.learned) {
            return;
        }
        writer.ready = true;
        let token = writer.token;
        self.queue_event(ControlEvent::WriterReady(token));
        // Documents that a majority may have accepted are published again, under a higher version.
        if !mutant::is(Mutant::LeftoversForgotten) {
            for document in self.store.uncommitted() {
                self.start_publication(now, document.key, document.body.clone());
            }
        }
    }

    /// Publishes a document, or retracts the document of this key if `body` is None. The version is known at once; it
    /// is not in force anywhere before [`ControlEvent::Committed`]. Of several consecutive documents for one key, only
    /// the latest has to be committed.
    ///
    /// # Errors
    ///
    /// Returns the reason why it was not published.
    pub fn publish(
        &mut self,
        now: Micros,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Result<Version, PublishError> {
        let highest = Some(self.fence.highest()).filter(|token| *token != Token::default());
        let Some(writer) = &self.writer else { return Err(PublishError::NotWriter(highest)) };
        if !writer.ready {
            return Err(PublishError::CatchingUp(self.quorum.0.len()));
        }
        if !writer.has_versions() {
            return Err(PublishError::NotWriter(highest));
        }
        let found = body.as_ref().map_or(0, Vec::len);
        if found > MAX_CONTENT_BYTES {
            return Err(PublishError::TooLong { found, most: MAX_CONTENT_BYTES });
        }
        self.store.check_room(key, found)?;
        let version = self.start_publication(now, key, body);
        self.tick(now);
        version.ok_or(PublishError::NotWriter(highest))
    }

    /// Creates the next document of a key; it is proposed when the previous one is committed.
    fn start_publication(
        &mut self,
        now: Micros,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Option<Version> {
        let writer = self.writer.as_mut()?;
        let version = writer.next_version();
        let document = Arc::new(Document::new(key, version, body));
        match writer.publications.get_mut(&key) {
            Some(publication) => {
                let replaced = publication.waiting.replace(document);
                self.figures.merged += u64::from(replaced.is_some());
            }
            None => self.propose(now, document),
        }
        Some(version)
    }

    /// Asks all control nodes for a vote on a document.
    fn propose(&mut self, now: Micros, document: Arc<Document>) {
        let round = self.next_round();
        self.accept(now, &document);
        let Some(writer) = &mut self.writer else { return };
        let key = document.key;
        let waiting = writer.publications.remove(&key).and_then(|before| before.waiting);
        let accepted = BTreeSet::from([self.config.me]);
        let publication =
            Publication { document: document.clone(), round, sent: now, accepted, waiting };
        writer.publications.insert(key, publication);
        for other in self.other_control_nodes() {
            let to = Receiver { number: other, role: Role::ControlNode };
            self.outgoing.push(now, to, &document, Stage::Proposed(round), true);
        }
        self.count_votes(now, key);
    }

    /// Starts a new vote where a round has expired.
    pub(super) fn retry_proposals(&mut self, now: Micros) {
        let length = round_length(&self.config.limits);
        let Some(writer) = &self.writer else { return };
        let expired = |publication: &&Publication| now > publication.sent.saturating_add(length);
        let expired = writer.publications.values().filter(expired);
        let expired: Vec<Arc<Document>> = expired.map(|p| p.document.clone()).collect();
        if mutant::is(Mutant::RoundsForever) {
            return;
        }
        expired.into_iter().for_each(|document| self.propose(now, document));
    }

    /// The time at which the next round of votes expires.
    pub(super) fn next_round_end(&self) -> Micros {
        let length = round_length(&self.config.limits);
        let Some(writer) = &self.writer else { return Micros::MAX };
        let announcing = if writer.ready { Micros::MAX } else { writer.announce_at };
        let sent = writer.publications.values().map(|publication| publication.sent).min();
        announcing.min(sent.map_or(Micros::MAX, |sent| sent.saturating_add(length + 1)))
    }

    /// A control node has accepted a document.
    pub(super) fn on_accepted(&mut self, now: Micros, from: u16, id: DocumentId, round: u32) {
        let to = Receiver { number: from, role: Role::ControlNode };
        self.outgoing.on_accepted(to, id, round);
        let length = round_length(&self.config.limits);
        let Some(writer) = &mut self.writer else { return };
        let Some(publication) = writer.publications.get_mut(&id.key) else { return };
        let in_time = now <= publication.sent.saturating_add(length);
        let of_round = publication.round == round || round == 0;
        let mutant = mutant::is(Mutant::RoundsForever);
        if publication.document.version == id.version && (of_round && in_time || mutant) {
            publication.accepted.insert(from);
            self.count_votes(now, id.key);
        }
    }

    /// Commits a document that a majority has accepted.
    fn count_votes(&mut self, now: Micros, key: DocumentKey) {
        let Some(writer) = &mut self.writer else { return };
        let Some(publication) = writer.publications.get(&key) else { return };
        if !self.quorum.is_majority(&publication.accepted) {
            return;
        }
        let Some(Publication { document, accepted, waiting, .. }) =
            writer.publications.remove(&key)
        else {
            return;
        };
        self.figures.committed += 1;
        self.queue_event(ControlEvent::Committed(document.id()));
        self.commit(now, document.clone());
        for other in self.other_control_nodes() {
            let to = Receiver { number: other, role: Role::ControlNode };
            let lacks = !accepted.contains(&other);
            self.outgoing.push(now, to, &document, Stage::Committed, lacks);
        }
        if let Some(next) = waiting {
            self.propose(now, next);
        }
    }

    /// The rollout of a document: the total at the writer; elsewhere, the part that this control node counts.
    pub(super) fn sum(&self, now: Micros, id: DocumentId) -> Rollout {
        let own = self.rollout(now, id);
        match &self.writer {
            Some(writer) => writer.sum(now, id, own, self.quorum.0.len()),
            None => own,
        }
    }

    /// Restores the previous content of a document that too many sidecars refuse.
    pub(super) fn stop_refused(&mut self, now: Micros) {
        let Some(writer) = self.writer.as_ref().filter(|writer| writer.ready) else { return };
        let limits = self.config.limits;
        let refused = self.store.slots.iter().filter_map(|(key, slot)| {
            let committed = slot.committed.as_ref()?;
            let version = committed.version;
            if writer.restored.contains(&version) || writer.publications.contains_key(key) {
                return None;
            }
            let rollout = self.sum(now, committed.id());
            let share = limits.refused_share * f64::from(rollout.expected);
            let too_many = rollout.refused >= limits.refused_least.max(1)
                && f64::from(rollout.refused) > share
                && !mutant::is(Mutant::NeverStopped);
            too_many.then(|| (committed.id(), rollout, slot.last_good.clone()))
        });
        let refused: Vec<_> = refused.collect();
        for (stopped, rollout, good) in refused {
            let body = good.and_then(|good| good.body.clone());
            let Some(restored) = self.start_publication(now, stopped.key, body) else { continue };
            self.figures.stopped += 1;
            if let Some(writer) = &mut self.writer {
                writer.restored.insert(restored);
                while writer.restored.len() > limits.documents.max(1) {
                    writer.restored.pop_first();
                }
            }
            let first_refusal = rollout.first_refusal.clone();
            self.queue_event(ControlEvent::Stopped { stopped, rollout, first_refusal, restored });
        }
    }
}
