//! How a control node votes, and how it receives documents from other control nodes.

use std::sync::Arc;

use millethook_lease::Token;
use millethook_machine::Micros;

use super::{ControlEvent, ControlNode};
use crate::message::{Buckets, ListEntry, Message, Offer, Stage};
use crate::mutant::{self, Mutant};
use crate::transfer::{ARRIVAL_TIMEOUT, Arrival};
use crate::{Document, DocumentId, DocumentKey, Version};

use super::sync::Session;

impl ControlNode {
    /// Handles a writer's request to be acknowledged.
    pub(super) fn on_announce(&mut self, from: u16, token: Token, round: u32) {
        if token.owner != from {
            self.figures.malformed += 1;
            return;
        }
        if self.recovery.is_some() || !self.admit(from, token) {
            return;
        }
        let buckets = self.store.buckets(true);
        self.send(from, &Message::Promise { token, round, buckets });
    }

    /// Whether a writer's token is at least as high as all known ones; if not, the writer is told.
    fn admit(&mut self, from: u16, token: Token) -> bool {
        let highest = self.fence.highest();
        if token < highest && !mutant::is(Mutant::NoFence) {
            self.figures.stale_writers += 1;
            self.send(from, &Message::Stale { highest });
            return false;
        }
        self.raise_fence(token);
        true
    }

    /// Records a writer's token; lower tokens are rejected from now on, including this control node's own.
    pub(super) fn raise_fence(&mut self, token: Token) {
        if token <= self.fence.highest() {
            return;
        }
        let _ = self.fence.admit(token);
        let own = self.writer.as_ref().map(|writer| writer.token);
        if let Some(own) = own.filter(|own| *own < token && !mutant::is(Mutant::NoFence)) {
            self.step_down();
            self.queue_event(ControlEvent::Deposed { token: own, by: token });
        }
        self.pending = self.pending.filter(|pending| *pending >= token);
    }

    /// Handles the head of a document.
    pub(super) fn on_offer(&mut self, now: Micros, from: u16, mut offer: Offer) {
        let id = offer.id;
        let wanted = self.sessions.values().any(|session| session.wants(id.key, id.version));
        let may_vote = self.recovery.is_none() && id.version.token >= self.fence.highest();
        if matches!(offer.stage, Stage::Proposed(_)) && wanted && !may_vote {
            // A document that the writer still collects votes for is learned like one that others have accepted.
            offer.stage = Stage::Accepted;
        }
        match offer.stage {
            Stage::Proposed(round) => {
                let token = id.version.token;
                if token.owner != from {
                    self.figures.malformed += 1;
                    return;
                }
                if self.recovery.is_some() || !self.admit(from, token) {
                    return;
                }
                if self.is_stored(id, &offer) {
                    self.send(from, &Message::Accepted { id, round });
                    return;
                }
                if self.store.latest_version(id.key) >= id.version {
                    return;
                }
            }
            Stage::Accepted => {
                if !wanted {
                    return;
                }
            }
            Stage::Committed => {
                if self.store.committed_version(id.key) >= id.version {
                    self.send(from, &Message::Accepted { id, round: 0 });
                    return;
                }
                if self.is_stored(id, &offer) {
                    self.commit_stored(now, id);
                    self.send(from, &Message::Accepted { id, round: 0 });
                    return;
                }
            }
        }
        let arrival = self.incoming.offer(now, now + ARRIVAL_TIMEOUT, from, offer);
        self.on_arrival(now, from, arrival);
    }

    /// Whether this version is stored here with the same hash.
    fn is_stored(&self, id: DocumentId, offer: &Offer) -> bool {
        let stored = self.store.find(Some(id.key), id.version);
        stored.is_some_and(|(document, _)| document.hash == offer.hash)
    }

    /// Commits a document that was accepted here.
    fn commit_stored(&mut self, now: Micros, id: DocumentId) {
        let stored =
            self.store.find(Some(id.key), id.version).map(|(document, _)| document.clone());
        if let Some(document) = stored {
            self.commit(now, document);
        }
    }

    /// Handles a chunk of a document.
    pub(super) fn on_chunk(
        &mut self,
        now: Micros,
        from: u16,
        version: Version,
        header: (usize, usize),
        bytes: &[u8],
    ) {
        if self.store.find(None, version).is_none() {
            let arrival = self.incoming.chunk(now, from, version, header, bytes);
            self.on_arrival(now, from, arrival);
        }
    }

    /// Stores a document that has arrived completely, as its stage requires.
    fn on_arrival(&mut self, now: Micros, from: u16, arrival: Arrival) {
        let Arrival::Complete(document, stage) = arrival else { return };
        let id = document.id();
        let document = Arc::new(document);
        match stage {
            Stage::Proposed(round) => {
                // The head was admitted, but a higher token may have become known since.
                let writer = id.version.token.owner;
                if self.recovery.is_none() && self.admit(writer, id.version.token) {
                    self.accept(now, &document);
                    if self.store.find(Some(id.key), id.version).is_some() {
                        self.send(writer, &Message::Accepted { id, round });
                    }
                }
            }
            Stage::Accepted => {
                let wanted = self.sessions.values().any(|s| s.wants(id.key, id.version));
                if wanted {
                    self.store.accept(document);
                }
            }
            Stage::Committed => {
                self.commit(now, document);
                self.send(from, &Message::Accepted { id, round: 0 });
            }
        }
        self.finish_sessions(now);
    }

    /// Votes for a document.
    pub(super) fn accept(&mut self, now: Micros, document: &Arc<Document>) -> bool {
        let accepted = self.store.accept(document.clone());
        if accepted && mutant::is(Mutant::UncommittedTravels) {
            self.push_to_subscribers(now, document);
        }
        accepted
    }

    /// Commits a document that a majority is known to have accepted.
    pub(super) fn commit(&mut self, now: Micros, document: Arc<Document>) {
        let id = document.id();
        self.remember_last_good(now, &document);
        if self.store.commit(now, document.clone()) {
            self.incoming.drop_up_to(id);
            self.push_to_subscribers(now, &document);
            self.queue_event(ControlEvent::Stored(id));
        }
    }

    /// Remembers the document that is about to be replaced, if it was in force at most of the sidecars.
    fn remember_last_good(&mut self, now: Micros, next: &Document) {
        let Some(before) = self.store.committed(next.key).cloned() else { return };
        let rollout = self.sum(now, before.id());
        // Silent sidecars do not count.
        let reachable = rollout.expected.saturating_sub(rollout.not_heard);
        let was_in_force = reachable == 0 || 2 * rollout.in_force > reachable;
        let is_replaced = was_in_force && before.hash != next.hash && before.version < next.version;
        if let Some(slot) = self.store.slots.get_mut(&next.key).filter(|_| is_replaced) {
            slot.last_good = Some(before);
        }
    }

    /// Another control node sends the bucket hashes of its committed documents.
    pub(super) fn on_compare(&mut self, now: Micros, from: u16, highest: Token, theirs: &Buckets) {
        self.raise_fence(highest);
        let mine = self.store.buckets(false);
        if mine == *theirs {
            return;
        }
        if !self.sessions.contains_key(&from) && self.sessions.len() < self.quorum.0.len() {
            let round = self.next_round();
            self.sessions.insert(from, Session::new(round, &mine, theirs, false));
        }
        // The other control node may lack documents, too.
        if self.timers.may_compare(now, from) {
            self.compare_with(from);
            self.send_firsts(now, from);
        }
    }

    /// Another control node asks for the entries of a bucket.
    pub(super) fn on_list(
        &mut self,
        from: u16,
        bucket: u8,
        after: Option<DocumentKey>,
        round: u32,
    ) {
        if self.recovery.as_ref().is_some_and(|recovery| !recovery.may_list(from)) {
            return;
        }
        let (entries, more) = self.store.list_bucket(bucket, after);
        self.send(from, &Message::BucketEntries { bucket, more, round, entries });
    }

    /// Handles the entries of a bucket.
    pub(super) fn on_entries(
        &mut self,
        now: Micros,
        from: u16,
        header: (u32, u8, bool),
        entries: &[ListEntry],
    ) {
        let Some(session) = self.sessions.get_mut(&from) else { return };
        for (key, version) in session.on_entries(&self.store, header, entries) {
            self.commit_stored(now, DocumentId { key, version });
        }
        self.finish_sessions(now);
    }

    /// Another control node has started and asks what is stored here.
    pub(super) fn on_recover(&mut self, from: u16, round: u32) {
        if let Some(recovery) = &mut self.recovery {
            recovery.on_asked(from);
        }
        let buckets = self.store.buckets(true);
        let (recovering, highest) = (self.recovery.is_some(), self.fence.highest());
        self.send(from, &Message::Recovered { round, recovering, highest, buckets });
    }

    /// Another control node has answered what it stores.
    pub(super) fn on_recovered(
        &mut self,
        now: Micros,
        from: u16,
        (round, recovering): (u32, bool),
        highest: Token,
        theirs: &Buckets,
    ) {
        let Some(recovery) = self.recovery.as_mut().filter(|r| r.round == round) else { return };
        recovery.on_answer(from, recovering);
        self.raise_fence(highest);
        let (mine, round) = (self.store.buckets(true), self.next_round());
        self.sessions.insert(from, Session::new(round, &mine, theirs, true));
        self.finish_sessions(now);
    }

    /// Ends the sessions that are complete or have timed out.
    pub(super) fn finish_sessions(&mut self, now: Micros) {
        let store = &self.store;
        let done = self.sessions.iter_mut().filter_map(|(from, session)| {
            let done = session.is_done(store);
            (done || session.has_timed_out()).then_some((*from, done, session.learns_accepted()))
        });
        let done: Vec<(u16, bool, bool)> = done.collect();
        for (from, learned, votes) in done {
            self.sessions.remove(&from);
            if !learned || !votes {
                continue;
            }
            if let Some(recovery) = &mut self.recovery {
                recovery.learned(from);
            }
            self.on_learned(now, from);
        }
        if self.recovery.as_ref().is_some_and(|r| r.may_vote(now, self.quorum.0.len())) {
            self.recovery = None;
            if let Some(token) = self.pending.take() {
                self.announce_writer(now, token);
            }
        }
    }
}
