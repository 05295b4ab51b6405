//! A control node: it stores documents, serves sidecars, votes on new documents, and may be the writer.

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

/// The maximum number of events that wait for the host; when there are more, the oldest ones are dropped.
const MAX_QUEUED_EVENTS: usize = 4_096;
/// The maximum number of documents that are received at the same time.
const MAX_INCOMING_DOCUMENTS: usize = 256;

/// Why a document was not published. Nothing has changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishError {
    /// This control node does not hold the writer's lease, or a majority has not acknowledged its token yet.
    #[error("not the writer{}", .0.map(|t| format!(": the writer's token is {t}")).unwrap_or_default())]
    NotWriter(Option<Token>),
    /// The writer has not yet learned what a majority of control nodes stores.
    #[error("the writer is still learning what a majority of {0} control nodes stores")]
    CatchingUp(usize),
    /// The content is too long.
    #[error("content has {found} bytes, at most {most} allowed")]
    TooLong {
        /// Its length in bytes.
        found: usize,
        /// The maximum length in bytes.
        most: usize,
    },
    /// The limit on the number of documents is reached.
    #[error("{most} documents are stored, which is the maximum: retract some")]
    TooManyDocuments {
        /// The limit.
        most: usize,
    },
    /// The limit on the total size of contents is exceeded.
    #[error("all contents have {found} bytes, at most {most} allowed")]
    TooManyBytes {
        /// The total size with this content, in bytes.
        found: usize,
        /// The limit in bytes.
        most: usize,
    },
}

/// An event for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlEvent {
    /// A majority has acknowledged this writer, and it knows what they store: it may publish.
    WriterReady(Token),
    /// Another control node knows a higher token, so this one is no longer the writer.
    Deposed {
        /// The token of this control node.
        token: Token,
        /// The higher token.
        by: Token,
    },
    /// A document of this writer is committed: a majority has accepted it in memory, and it is sent to the sidecars.
    /// [`ControlNode::report`] says whether a majority has it on disk, too.
    Committed(DocumentId),
    /// The documents stored at this control node have changed; the host has to write its snapshot.
    Stored(DocumentId),
    /// Too many sidecars refused a document: the writer has restored the previous content as a new version.
    Stopped {
        /// The document that was refused.
        stopped: DocumentId,
        /// The rollout of the refused document.
        rollout: Rollout,
        /// The first refusal.
        first_refusal: Option<(u16, Refusal)>,
        /// The version under which the previous content is published again.
        restored: Version,
    },
}

/// Counters since the start, and current numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlFigures {
    /// Stored documents, including retractions.
    pub documents: usize,
    /// Bytes of their contents.
    pub bytes: usize,
    /// Sidecars that sent a message recently.
    pub subscribers: usize,
    /// Of these, the sidecars that use this control node as their first.
    pub first_of: usize,
    /// Documents that are being pushed, counted once for each receiver.
    pub pushes: usize,
    /// Documents of this writer that a majority has not accepted yet.
    pub proposals: usize,
    /// Documents of this writer that were committed.
    pub committed: u64,
    /// Documents of this writer that were replaced before they were committed.
    pub merged: u64,
    /// Documents that were stopped because too many sidecars refused them.
    pub stopped: u64,
    /// Messages of writers that were rejected because a higher token is known.
    pub stale_writers: u64,
    /// Messages of sidecars that were not answered because the limit on sidecars was reached.
    pub turned_away: u64,
    /// Malformed messages.
    pub malformed: u64,
    /// Bytes that were sent.
    pub sent_bytes: u64,
    /// Whether it has started and does not vote yet.
    pub recovering: bool,
    /// Whether it is the writer and may publish.
    pub writer_ready: bool,
}

/// The state machine of one control node.
#[derive(Clone, Debug)]
pub struct ControlNode {
    config: DistributionConfig,
    quorum: Quorum,
    store: Store,
    subscribers: Subscribers,
    incoming: Incoming,
    outgoing: Outgoing,
    /// The highest known token of a writer.
    fence: Fence,
    /// What is being learned from which control node.
    sessions: BTreeMap<u16, Session>,
    /// The state before the first vote; None: it votes.
    recovery: Option<Recovery>,
    writer: Option<Writer>,
    /// A token that the host announced before this control node votes.
    pending: Option<Token>,
    timers: Timers,
    /// The last report to the writer, by key.
    reported: BTreeMap<DocumentKey, (Version, Rollout, Micros)>,
    random: Pcg32,
    events: VecDeque<ControlEvent>,
    figures: ControlFigures,
}

impl ControlNode {
    /// Creates a control node with the documents of the snapshot, which are on disk. It serves sidecars at once. It
    /// votes after `limits.silence`, or as soon as all control nodes report that they have just started.
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

    /// Handles a message of a member.
    pub fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        match Message::read(content) {
            Ok((Role::ControlNode, message)) => self.on_message(now, from, message),
            // It is addressed to a sidecar in this process.
            Ok((Role::Sidecar, _)) => {}
            Err(_) => self.figures.malformed += 1,
        }
        self.tick(now);
    }

    /// Dispatches a message; only control nodes may send messages of the voting and comparison protocols.
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

    /// The numbers of all control nodes except this one.
    fn other_control_nodes(&self) -> Vec<u16> {
        self.quorum.0.iter().copied().filter(|number| *number != self.config.me).collect()
    }

    /// Queues an event for the host.
    fn queue_event(&mut self, event: ControlEvent) {
        if self.events.len() >= MAX_QUEUED_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// The next message and its receiver. Messages that are not fetched wait in a bounded queue; pushes to sidecars are
    /// made only as `limits.rate` allows and as messages are fetched.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.poll_transmit()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<ControlEvent> {
        self.events.pop_front()
    }

    /// The rollout of this version: the total at the writer; elsewhere, the part that this control node counts. None:
    /// it is not the latest committed version of its key, as far as this control node knows.
    pub fn report(&self, now: Micros, version: Version) -> Option<Rollout> {
        let latest = |document: &&Arc<Document>| document.version == version;
        let mut committed = self.store.slots.values().filter_map(|slot| slot.committed.as_ref());
        let id = committed.find(latest)?.id();
        Some(self.sum(now, id))
    }

    /// The rollout of a document among the sidecars that this control node counts, and whether it is on disk here.
    fn rollout(&self, now: Micros, id: DocumentId) -> Rollout {
        let persisted =
            self.store.slots.get(&id.key).is_some_and(|slot| slot.persisted >= id.version);
        Rollout { persisted: u32::from(persisted), ..self.subscribers.rollout(now, id) }
    }

    /// The host calls this when a snapshot returned by [`ControlNode::snapshot`] is on disk, where it survives the
    /// process and a power loss. The next report to the writer includes it.
    pub fn mark_persisted(&mut self, snapshot: &Snapshot) {
        for document in &snapshot.documents {
            if let Some(slot) = self.store.slots.get_mut(&document.key) {
                slot.persisted = slot.persisted.max(document.version);
            }
        }
    }

    /// The committed documents that this control node knows, including retractions.
    pub fn documents(&self) -> Vec<Arc<Document>> {
        self.store.slots.values().filter_map(|slot| slot.committed.clone()).collect()
    }

    /// The committed document of a key that this control node knows; it may be a retraction. None: there is none.
    pub fn document(&self, key: DocumentKey) -> Option<Arc<Document>> {
        self.store.slots.get(&key)?.committed.clone()
    }

    /// The versions that this control node has accepted and does not know to be committed.
    pub fn accepted(&self) -> Vec<DocumentId> {
        self.store.uncommitted().iter().map(|document| document.id()).collect()
    }

    /// The highest token of a writer that this control node knows.
    pub fn highest_token(&self) -> Token {
        self.fence.highest()
    }

    /// What the host has to store for the next start.
    pub fn snapshot(&self) -> Snapshot {
        let committed = self.store.slots.values().filter_map(|slot| slot.committed.as_ref());
        let documents = committed.map(|document| Document::clone(document)).collect();
        Snapshot { fence: Version { token: self.fence.highest(), counter: 0 }, documents }
    }

    /// Counters since the start, and current numbers.
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
