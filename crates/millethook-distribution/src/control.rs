//! The side of a control node: it keeps the documents, serves its sidecars, votes, and may be the writer.

mod check;
mod deltas;
mod lists;
mod recovery;
mod serving;
mod store;
mod subscribers;
mod sync;
mod upkeep;
mod voting;
mod writing;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use millethook_lease::{Fence, Token};
use millethook_machine::Micros;
use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::chunks::MAX_CHUNKS;
use crate::message::{Message, Role};
use crate::mutant::{self, Mutant};
use crate::outgoing::{Outgoing, Receiver};
use crate::transfer::Incoming;
use crate::writer::{Quorum, Writer};
use crate::{
    DistributionConfig, Document, DocumentId, DocumentKey, Refusal, Rollout, Snapshot, Version,
};
pub(crate) use deltas::DeltaParts;
use recovery::Recovery;
use store::Store;
use subscribers::Subscribers;
use sync::Session;
use upkeep::Timers;

/// Events that wait to be fetched, at most; of more the oldest are lost.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// Documents that are on their way in at once, at most.
const MAX_INCOMING_DOCUMENTS: usize = 256;

/// Why a document is not published. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// This control node does not hold the writer's lease, or a majority has not admitted it yet.
    #[error("not the writer{}", .0.map(|t| format!(": token {t} is")).unwrap_or_default())]
    NotWriter(Option<Token>),
    /// The writer has not learned yet what a majority of control nodes holds.
    #[error("the writer is still learning what a majority of {0} control nodes holds")]
    CatchingUp(usize),
    /// The content is too long.
    #[error("{found} bytes: {most} at most")]
    TooLong {
        /// Its length.
        found: usize,
        /// The longest that is taken.
        most: usize,
    },
    /// There is no room for another document.
    #[error("{most} documents are kept already: retract some")]
    TooManyDocuments {
        /// The limit.
        most: usize,
    },
    /// There is no room for so many bytes.
    #[error("{found} bytes in all: {most} at most")]
    TooManyBytes {
        /// All contents with this one.
        found: usize,
        /// The limit.
        most: usize,
    },
}

/// Something that the host has to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A majority has admitted this writer and it knows what they hold: it may publish.
    WriterReady(Token),
    /// A control node knows a higher token; this writer is none any more.
    Deposed {
        /// Its own token.
        token: Token,
        /// The one that is known.
        by: Token,
    },
    /// This writer's document is committed: a majority has accepted it, in memory, and it goes to the sidecars. Whether
    /// a majority has it on disk, too, is told by [`ControlNode::report`].
    Committed(DocumentId),
    /// The documents that this control node keeps have changed: its snapshot is to be written.
    Stored(DocumentId),
    /// Too many refused a document: the writer has put back what was before, as a new version.
    Stopped {
        /// The document that was refused.
        stopped: DocumentId,
        /// How far it had come.
        rollout: Rollout,
        /// The first refusal.
        first_refusal: Option<(u16, Refusal)>,
        /// The version under which what was before is published again.
        restored: Version,
    },
}

/// Counts since the start, and how many there are now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlFigures {
    /// Documents that are kept, retractions too.
    pub documents: usize,
    /// Bytes of their contents.
    pub bytes: usize,
    /// Sidecars that were heard of lately.
    pub subscribers: usize,
    /// Of these, those that count this control node as their first.
    pub first_of: usize,
    /// Pushes of documents that are under way.
    pub pushes: usize,
    /// Documents of this writer that a majority has not accepted yet.
    pub proposals: usize,
    /// Documents of this writer that were committed.
    pub committed: u64,
    /// Documents of this writer that were replaced before they were committed.
    pub merged: u64,
    /// Documents that were stopped because too many refused them.
    pub stopped: u64,
    /// Messages of writers that were refused because a higher token is known.
    pub stale_writers: u64,
    /// Messages of sidecars that were not answered for want of room.
    pub turned_away: u64,
    /// Messages that made no sense.
    pub malformed: u64,
    /// Bytes that were sent.
    pub sent_bytes: u64,
    /// It has started and does not vote yet.
    pub recovering: bool,
    /// It is the writer and may publish.
    pub writer_ready: bool,
}

/// One control node.
#[derive(Clone, Debug)]
pub struct ControlNode {
    config: DistributionConfig,
    quorum: Quorum,
    store: Store,
    subscribers: Subscribers,
    incoming: Incoming,
    outgoing: Outgoing,
    /// The highest token of a writer that is known.
    fence: Fence,
    /// What is being learned from whom.
    sessions: BTreeMap<u16, Session>,
    /// None: it votes.
    recovery: Option<Recovery>,
    writer: Option<Writer>,
    /// A token that was announced before this control node votes.
    pending: Option<Token>,
    timers: Timers,
    /// What was told to the writer last, by key.
    reported: BTreeMap<DocumentKey, (Version, Rollout, Micros)>,
    random: Pcg32,
    events: VecDeque<ControlEvent>,
    figures: ControlFigures,
}

impl ControlNode {
    /// One that keeps what the snapshot holds, which is on disk. It serves sidecars at once and votes after
    /// `limits.silence`, or as soon as all control nodes say that they have just started.
    pub fn new(config: DistributionConfig, snapshot: Option<Snapshot>, now: Micros) -> ControlNode {
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ mix(u64::from(config.me))));
        let snapshot = snapshot.unwrap_or_default();
        let mut store = Store::new(&config.limits);
        for document in snapshot.documents.into_iter().filter(Document::is_intact) {
            let (key, version) = (document.key, document.version);
            store.commit(0, Arc::new(document));
            if let Some(slot) = store.slots.get_mut(&key) {
                slot.persisted = slot.persisted.max(version);
            }
        }
        let token = snapshot.fence.token.max(store.highest().token);
        let mut numbers: Vec<u16> = config.control_nodes.iter().map(|node| node.number).collect();
        numbers.sort_unstable();
        numbers.dedup();
        let recovery = Recovery::new(now, &config.limits, random.next_u32());
        let votes = mutant::is(Mutant::NoSilence);
        ControlNode {
            quorum: Quorum(numbers),
            store,
            subscribers: Subscribers::new(&config.limits),
            incoming: Incoming::new(MAX_INCOMING_DOCUMENTS, MAX_CHUNKS),
            outgoing: Outgoing::new(config.limits.rate, now),
            fence: Fence::at(token),
            sessions: BTreeMap::new(),
            recovery: (!votes).then_some(recovery),
            writer: None,
            pending: None,
            timers: Timers::new(now, random.next_u64()),
            reported: BTreeMap::new(),
            random,
            events: VecDeque::new(),
            figures: ControlFigures::default(),
            config,
        }
    }

    /// A message of a member.
    pub fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        match Message::read(content) {
            Ok((Role::ControlNode, message)) => self.on_message(now, from, message),
            // It is for a sidecar in this process.
            Ok((Role::Sidecar, _)) => {}
            Err(_) => self.figures.malformed += 1,
        }
        self.tick(now);
    }

    fn on_message(&mut self, now: Micros, from: u16, message: Message) {
        match message {
            Message::Digest(digest) => return self.on_digest(now, from, digest),
            Message::ListsUpdate(lists) => return self.on_lists(now, from, lists),
            Message::Fetch { of, key, version, wanted } => {
                return self.on_fetch(
                    now,
                    Receiver { number: from, role: of },
                    key,
                    version,
                    wanted,
                );
            }
            _ if !self.quorum.0.contains(&from) || from == self.config.me => {
                self.figures.malformed += 1;
                return;
            }
            _ => {}
        }
        match message {
            Message::Offer(offer) => self.on_offer(now, from, offer),
            Message::Chunk { version, index, count, bytes } => {
                self.on_chunk(now, from, version, (index.into(), count.into()), &bytes);
            }
            Message::Accepted { id, round } => self.on_accepted(now, from, id, round),
            Message::Announce { token, round } => self.on_announce(from, token, round),
            Message::Promise { token, round, buckets } => {
                self.on_promise(now, from, token, round, &buckets);
            }
            Message::Stale { highest } => self.raise_fence(highest),
            Message::Compare { highest, buckets } => {
                self.on_compare(now, from, highest, &buckets);
            }
            Message::ListBucket { bucket, after, round } => {
                self.on_list(from, bucket, after, round)
            }
            Message::BucketEntries { bucket, more, round, entries } => {
                self.on_entries(now, from, (round, bucket, more), &entries);
            }
            Message::Recover { round } => self.on_recover(from, round),
            Message::Recovered { round, recovering, highest, buckets } => {
                self.on_recovered(now, from, (round, recovering), highest, &buckets);
            }
            Message::Report { id, rollout } => {
                if let Some(writer) = &mut self.writer {
                    writer.on_report(now, from, id, rollout);
                }
            }
            Message::Moved { members } => self.on_moved(now, from, &members),
            Message::Digest(_)
            | Message::ListsUpdate(_)
            | Message::Fetch { .. }
            | Message::DigestReply { .. }
            | Message::ListsReply { .. }
            | Message::Delta(_) => {
                self.figures.malformed += 1;
            }
        }
    }

    /// Sends a message to another control node.
    fn send(&mut self, to: u16, message: &Message) {
        self.outgoing.send(Receiver { number: to, role: Role::ControlNode }, message);
    }

    /// The other control nodes.
    fn other_control_nodes(&self) -> Vec<u16> {
        self.quorum.0.iter().copied().filter(|number| *number != self.config.me).collect()
    }

    fn queue_event(&mut self, event: ControlEvent) {
        if self.events.len() >= MAX_QUEUED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The next message, and to whom it goes. What is not fetched waits in a bounded queue; pushes to sidecars are made
    /// only as `limits.rate` allows and as these are fetched.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.poll_transmit()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<ControlEvent> {
        self.events.pop_front()
    }

    /// How far this version has come: at the writer in sum, elsewhere among those that this control node counts.
    /// None: it is not the latest of its key that is committed, as far as is known here.
    pub fn report(&self, now: Micros, version: Version) -> Option<Rollout> {
        let latest = |document: &&Arc<Document>| document.version == version;
        let mut committed = self.store.slots.values().filter_map(|slot| slot.committed.as_ref());
        let id = committed.find(latest)?.id();
        Some(self.sum(now, id))
    }

    /// How far a document has come among the sidecars that this control node counts, and whether it is on disk here.
    fn rollout(&self, now: Micros, id: DocumentId) -> Rollout {
        let persisted =
            self.store.slots.get(&id.key).is_some_and(|slot| slot.persisted >= id.version);
        Rollout { persisted: u32::from(persisted), ..self.subscribers.rollout(now, id) }
    }

    /// The host has this snapshot of [`ControlNode::snapshot`] on disk now, where it outlives the process and a loss of
    /// power. It is told to the writer with the next report.
    pub fn mark_persisted(&mut self, snapshot: &Snapshot) {
        for document in &snapshot.documents {
            if let Some(slot) = self.store.slots.get_mut(&document.key) {
                slot.persisted = slot.persisted.max(document.version);
            }
        }
    }

    /// The documents that are committed, as far as this control node knows, retractions too.
    pub fn documents(&self) -> Vec<Arc<Document>> {
        self.store.slots.values().filter_map(|slot| slot.committed.clone()).collect()
    }

    /// The committed document of a key, as far as this control node knows; a retraction too. None: there is none.
    pub fn document(&self, key: DocumentKey) -> Option<Arc<Document>> {
        self.store.slots.get(&key)?.committed.clone()
    }

    /// Versions that this control node has accepted and does not know to be committed.
    pub fn accepted(&self) -> Vec<DocumentId> {
        self.store.uncommitted().iter().map(|document| document.id()).collect()
    }

    /// The highest token of a writer that this control node knows.
    pub fn highest_token(&self) -> Token {
        self.fence.highest()
    }

    /// What the host has to keep for the next start.
    pub fn snapshot(&self) -> Snapshot {
        let committed = self.store.slots.values().filter_map(|slot| slot.committed.as_ref());
        let documents = committed.map(|document| Document::clone(document)).collect();
        Snapshot { fence: Version { token: self.fence.highest(), counter: 0 }, documents }
    }

    /// Counts since the start, and how many there are now.
    pub fn figures(&self, _now: Micros) -> ControlFigures {
        ControlFigures {
            documents: self.store.slots.values().filter(|slot| slot.committed.is_some()).count(),
            bytes: self.store.bytes(),
            subscribers: self.subscribers.len(),
            first_of: self.subscribers.first_of(),
            pushes: self.outgoing.len(),
            proposals: self.writer.as_ref().map_or(0, |writer| writer.publications.len()),
            sent_bytes: self.outgoing.sent_bytes,
            recovering: self.recovery.is_some(),
            writer_ready: self.writer.as_ref().is_some_and(|writer| writer.ready),
            ..self.figures
        }
    }
}
