//! Documents that are being sent: which parts of which document each receiver still needs. They are sent within a
//! budget of bytes a second that receivers share fairly.

use std::collections::BTreeMap;
use std::sync::Arc;

use millethook_machine::{Micros, SendQueue};

use crate::chunks::{self, ChunkSet, Wanted};
use crate::control::DeltaParts;
use crate::message::{MAX_INLINE_BYTES, Message, Offer, Role, Stage};
use crate::{Document, DocumentId, DocumentKey, Version};

/// An unanswered head is sent again after this time; the wait then grows by half of it with each try.
const RETRY_DELAY: Micros = 250_000;
/// The maximum number of times that a head is sent; after that, the receiver's next digest decides.
const MAX_TRIES: u32 = 8;
/// The maximum number of pushes in progress.
const MAX_PUSHES: usize = 262_144;
/// Messages that wait to be fetched; no push is made while there are this many.
const MAX_QUEUED_MESSAGES: usize = 512;
/// The maximum unused budget: the bytes of this part of a second, and at least the number of bytes below.
const BURST_SECONDS: f64 = 0.05;
const MIN_BURST_BYTES: f64 = 8_192.0;
/// While the budget is used up, pushes are tried again after this time.
const BUDGET_RETRY_DELAY: Micros = 1_000;
/// Bytes of a datagram in addition to its content, which count against the budget, too.
const FRAME_OVERHEAD_BYTES: f64 = 15.0;

/// The receiver of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Receiver {
    /// The number of the receiving member.
    pub number: u16,
    pub role: Role,
}

/// The transfer of one document to one receiver.
#[derive(Clone, Debug)]
struct Push {
    document: Arc<Document>,
    stage: Stage,
    /// Whether the head has to be sent.
    head: bool,
    /// It is sent as a delta, and repeated as a whole delta while it is not answered; None: it is sent as head and
    /// chunks.
    delta: Option<DeltaParts>,
    /// Chunks, or parts of the delta, that have to be sent.
    chunks: ChunkSet,
    /// The receiver has asked for chunks: it has the head, and repeats its requests itself.
    has_head: bool,
    tries: u32,
    /// Its position in the queue of its receiver's role.
    due_key: DueKey,
}

impl Push {
    /// Creates a push that has not been sent yet.
    fn new(document: &Arc<Document>, stage: Stage, head: bool, chunks: ChunkSet) -> Push {
        let document = document.clone();
        let (has_head, tries, due_key) = (false, 0, (0, 0));
        Push { document, stage, head, delta: None, chunks, has_head, tries, due_key }
    }
}

/// The time at which something is due, and a unique sequence number.
type DueKey = (Micros, u64);

/// All pushes, the latest for each receiver and key, and all other messages that wait.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pushes: BTreeMap<(Receiver, DocumentKey), Push>,
    /// Pushes to control nodes come first, since each of them serves hundreds of sidecars. If they took turns with all
    /// sidecars of a writer whose budget is used up, a control node that lacks a long document would be complete only
    /// when the last of these sidecars is.
    due_to_control_nodes: BTreeMap<DueKey, (Receiver, DocumentKey)>,
    due_to_sidecars: BTreeMap<DueKey, (Receiver, DocumentKey)>,
    next_sequence: u64,
    outbox: SendQueue<u16>,
    rate: f64,
    budget: f64,
    budget_updated_at: Micros,
    /// Bytes that were sent, without datagram headers.
    pub sent_bytes: u64,
}

impl Outgoing {
    /// Creates an empty queue that sends at most `rate` bytes a second.
    pub fn new(rate: u32, now: Micros) -> Outgoing {
        let rate = f64::from(rate.max(1));
        Outgoing {
            pushes: BTreeMap::new(),
            due_to_control_nodes: BTreeMap::new(),
            due_to_sidecars: BTreeMap::new(),
            next_sequence: 0,
            outbox: SendQueue::new(4 * MAX_QUEUED_MESSAGES),
            rate,
            budget: (rate * BURST_SECONDS).max(MIN_BURST_BYTES),
            budget_updated_at: now,
            sent_bytes: 0,
        }
    }

    /// The number of pushes in progress.
    pub fn len(&self) -> usize {
        self.pushes.len()
    }

    /// Queues a message for sending at once.
    pub fn send(&mut self, to: Receiver, message: &Message) {
        let content = message.write(to.role);
        self.budget -= content.len() as f64 + FRAME_OVERHEAD_BYTES;
        self.sent_bytes += content.len() as u64;
        self.outbox.push(to.number, content);
    }

    /// Pushes a document: its head, and all its chunks if `with_chunks`. A push of an earlier version is dropped; of a
    /// push of the same version, the parts that have not been sent remain queued.
    pub fn push(
        &mut self,
        now: Micros,
        to: Receiver,
        document: &Arc<Document>,
        stage: Stage,
        with_chunks: bool,
    ) {
        let key = (to, document.key);
        let before = self.take_push(key);
        let chunks = match before {
            // A delta in progress continues.
            Some(before)
                if before.document.version > document.version
                    || before.document.version == document.version && before.delta.is_some() =>
            {
                self.insert_push(now, key, before);
                return;
            }
            Some(before) if before.document.version == document.version => before.chunks,
            _ if with_chunks && !is_inline(document, stage) => {
                ChunkSet::below(chunks::count(document.length()))
            }
            _ => ChunkSet::default(),
        };
        if self.pushes.len() >= MAX_PUSHES {
            return;
        }
        self.insert_push(now, key, Push::new(document, stage, true, chunks));
    }

    /// Pushes a committed document to a receiver that has the base of the delta.
    pub fn push_delta(
        &mut self,
        now: Micros,
        to: Receiver,
        document: &Arc<Document>,
        delta: DeltaParts,
    ) {
        let key = (to, document.key);
        self.take_push(key);
        if self.pushes.len() < MAX_PUSHES {
            let push = Push::new(document, Stage::Committed, true, ChunkSet::default());
            self.insert_push(now, key, Push { delta: Some(delta), ..push });
        }
    }

    /// Handles a receiver's request for parts of a document.
    pub fn resend(
        &mut self,
        now: Micros,
        to: Receiver,
        document: &Arc<Document>,
        stage: Stage,
        wanted: Wanted,
        head: bool,
    ) {
        let key = (to, document.key);
        let all = ChunkSet::below(chunks::count(document.length()));
        let wanted = match wanted {
            _ if is_inline(document, stage) => ChunkSet::default(),
            Wanted::All => all,
            Wanted::Chunks(chunks) => all.without(all.without(chunks)),
        };
        let same = |push: &Push| push.document.version == document.version && push.delta.is_none();
        let before = self.take_push(key).filter(same);
        let head = head || wanted.is_empty() || before.as_ref().is_some_and(|push| push.head);
        let chunks = before.map_or(wanted, |push| push.chunks.union(wanted));
        let push = Push { has_head: true, ..Push::new(document, stage, head, chunks) };
        if self.pushes.len() < MAX_PUSHES {
            self.insert_push(now, key, push);
        }
    }

    /// Whether this version, or a later one of its key, is being pushed to a receiver.
    pub fn is_pushing(&self, to: Receiver, id: DocumentId) -> bool {
        self.pushes.get(&(to, id.key)).is_some_and(|push| push.document.version >= id.version)
    }

    /// The receiver has this version.
    pub fn on_arrived(&mut self, to: Receiver, key: DocumentKey, version: Version) {
        let is_delivered = |push: &Push| push.document.version <= version;
        if self.pushes.get(&(to, key)).is_some_and(is_delivered) {
            self.take_push((to, key));
        }
    }

    /// A control node has accepted a version in this round, or stores it in any case (round 0). For a document that has
    /// been committed since, only the latter counts: an answer to the proposal may have arrived late.
    pub fn on_accepted(&mut self, to: Receiver, id: DocumentId, round: u32) {
        let stage = self.pushes.get(&(to, id.key)).map(|push| push.stage);
        if round == 0 || !matches!(stage, Some(Stage::Committed)) {
            self.on_arrived(to, id.key, id.version);
        }
    }

    /// Drops all pushes to a receiver.
    pub fn drop_receiver(&mut self, to: Receiver) {
        let keys = self.pushes.keys().filter(|(receiver, _)| *receiver == to);
        let keys: Vec<_> = keys.copied().collect();
        keys.into_iter().for_each(|key| drop(self.take_push(key)));
    }

    /// Drops pushes that are not valid any more, such as proposals of a writer that has been replaced.
    pub fn retain(&mut self, is_valid: impl Fn(&Document, Stage) -> bool) {
        let obsolete = self.pushes.iter().filter(|(_, push)| !is_valid(&push.document, push.stage));
        let obsolete: Vec<_> = obsolete.map(|(key, _)| *key).collect();
        obsolete.into_iter().for_each(|key| drop(self.take_push(key)));
    }

    /// Sends what is due, as far as the budget allows.
    pub fn send_due(&mut self, now: Micros) {
        let elapsed_seconds = now.saturating_sub(self.budget_updated_at) as f64 / 1e6;
        self.budget_updated_at = self.budget_updated_at.max(now);
        self.budget = (self.budget + elapsed_seconds * self.rate)
            .min((self.rate * BURST_SECONDS).max(MIN_BURST_BYTES));
        while self.budget > 0.0 && self.outbox.len() < MAX_QUEUED_MESSAGES {
            let queues = [&self.due_to_control_nodes, &self.due_to_sidecars];
            let first = queues.into_iter().filter_map(|due| due.first_key_value());
            let due = first.filter(|(due_key, _)| due_key.0 <= now).map(|(_, key)| *key).next();
            let Some(key) = due else { return };
            let Some(push) = self.take_push(key) else { return };
            self.send_next(now, key, push);
        }
    }

    /// Sends one message of a push.
    fn send_next(&mut self, now: Micros, key: (Receiver, DocumentKey), mut push: Push) {
        if push.head {
            push.head = false;
            push.tries += 1;
            match &push.delta {
                Some(parts) => push.chunks = ChunkSet::below(parts.len()),
                None => self.send(key.0, &Message::Offer(offer(&push.document, push.stage))),
            }
        } else if let Some(index) = push.chunks.pop() {
            if let Some(part) = push.delta.as_ref().and_then(|parts| parts.get(index)) {
                self.send(key.0, &Message::Delta(part.clone()));
                return self.reschedule(now, key, push);
            }
            let content = push.document.body.as_deref().unwrap_or_default();
            let count = chunks::count(content.len()) as u16;
            let bytes = chunks::chunk(content, index).to_vec();
            let version = push.document.version;
            self.send(key.0, &Message::Chunk { version, index: index as u16, count, bytes });
        } else {
            // No answer has arrived.
            push.head = true;
        }
        self.reschedule(now, key, push);
    }

    /// Queues a push again until its next message is due.
    fn reschedule(&mut self, now: Micros, key: (Receiver, DocumentKey), push: Push) {
        let more = push.head || !push.chunks.is_empty();
        if more {
            self.insert_push(now, key, push);
        } else if !push.has_head && push.tries < MAX_TRIES {
            let wait = RETRY_DELAY + RETRY_DELAY / 2 * Micros::from(push.tries - 1);
            self.insert_push(now + wait, key, push);
        }
    }

    fn insert_push(&mut self, at: Micros, key: (Receiver, DocumentKey), mut push: Push) {
        self.next_sequence += 1;
        push.due_key = (at, self.next_sequence);
        self.due_queue(key.0.role).insert(push.due_key, key);
        self.pushes.insert(key, push);
    }

    fn take_push(&mut self, key: (Receiver, DocumentKey)) -> Option<Push> {
        let push = self.pushes.remove(&key)?;
        self.due_queue(key.0.role).remove(&push.due_key);
        Some(push)
    }

    fn due_queue(&mut self, role: Role) -> &mut BTreeMap<DueKey, (Receiver, DocumentKey)> {
        match role {
            Role::ControlNode => &mut self.due_to_control_nodes,
            Role::Sidecar => &mut self.due_to_sidecars,
        }
    }

    /// The next message and its receiver.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outbox.pop()
    }

    /// The time at which [`Outgoing::send_due`] has to be called next.
    pub fn next_at(&self) -> Micros {
        let queues = [&self.due_to_control_nodes, &self.due_to_sidecars];
        let first = queues.into_iter().filter_map(|due| due.first_key_value());
        let due = first.map(|((at, _), _)| *at).min().unwrap_or(Micros::MAX);
        if self.budget <= 0.0 || self.outbox.len() >= MAX_QUEUED_MESSAGES {
            return due.max(self.budget_updated_at + BUDGET_RETRY_DELAY);
        }
        due
    }
}

/// Whether the content fits into the offer.
fn is_inline(document: &Document, stage: Stage) -> bool {
    let round = if matches!(stage, Stage::Proposed(_)) { 4 } else { 0 };
    document.length() + round <= MAX_INLINE_BYTES
}

/// The offer of a document, with the content if it fits.
fn offer(document: &Document, stage: Stage) -> Offer {
    let inline = is_inline(document, stage);
    Offer {
        stage,
        id: DocumentId { key: document.key, version: document.version },
        hash: document.hash,
        retracted: document.body.is_none(),
        length: document.length(),
        inline: inline.then(|| document.body.clone().unwrap_or_default()),
    }
}
