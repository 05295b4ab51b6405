//! Documents that are being received: heads and chunks in any order, from several senders, and requests for missing
//! parts.

use std::collections::BTreeMap;

use millethook_machine::Micros;

use crate::chunks::{self, CHUNK_BYTES, ChunkSet, MAX_CHUNKS, Wanted};
use crate::message::{Offer, Stage};
use crate::mutant::{self, Mutant};
use crate::{ContentHash, Document, DocumentId, DocumentKey, Version};

/// Missing parts are requested when nothing has arrived for this time, and again after each further period.
pub(crate) const ARRIVAL_TIMEOUT: Micros = 120_000;
/// While chunks arrive, a chunk counts as lost if it is missing this long after a later one arrived: chunks are sent in
/// order, and datagrams overtake each other by a few milliseconds only. Lost chunks are requested at most once in this
/// time.
const REORDER_TOLERANCE: Micros = 60_000;
/// The wait doubles after this many unanswered requests. At 20% loss (a fifth of all datagrams), every third request or
/// its answer is lost; if the wait doubled at once, the last sidecars would wait for it.
const REQUESTS_BEFORE_BACKOFF: u32 = 4;
/// The maximum wait between two requests.
const MAX_REQUEST_WAIT: Micros = 1_000_000;
/// A document of which nothing has arrived for this time is dropped; the next digest starts its transfer again.
const TRANSFER_TIMEOUT: Micros = 8_000_000;
/// The number of senders that are remembered for a document.
const MAX_SENDERS: usize = 3;
/// The maximum number of documents whose head has not arrived.
const MAX_HEADLESS: usize = 8;

/// A document of which some chunks are missing.
#[derive(Clone, Debug)]
struct Assembly {
    /// None: the head has not arrived.
    head: Option<Offer>,
    received: ChunkSet,
    count: usize,
    content: Vec<u8>,
    /// The members that have sent parts of it, the most recent sender last.
    senders: Vec<u16>,
    /// The highest received chunk number plus one: now, and at the last check for lost chunks.
    end: usize,
    loss_check: (Micros, usize),
    /// Missing chunks below this number are lost and have to be requested now.
    lost_below: usize,
    /// Chunks below this number were requested, or are sent without a request.
    requested_end: usize,
    arrived: Micros,
    fetch_at: Micros,
    request_count: u32,
}

/// A request for missing parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    /// The number of the member that is asked.
    pub to: u16,
    /// None: the head has not arrived.
    pub key: Option<DocumentKey>,
    pub version: Version,
    pub wanted: Wanted,
}

/// The result of a received head or chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// No document is complete yet.
    Incomplete,
    /// A complete document, with the stage that its sender stated.
    Complete(Document, Stage),
    /// All chunks have arrived, but the hash is wrong: the transfer starts again.
    Damaged,
    /// The limit on documents is reached.
    NoRoom,
}

/// All documents that are being received, by version.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    assemblies: BTreeMap<Version, Assembly>,
    max_assemblies: usize,
    /// The maximum number of chunks in one request.
    window: usize,
}

impl Incoming {
    /// Creates an empty set for at most `max_assemblies` documents.
    pub fn new(max_assemblies: usize, window: usize) -> Incoming {
        Incoming { assemblies: BTreeMap::new(), max_assemblies, window }
    }

    /// The number of documents that are being received.
    pub fn len(&self) -> usize {
        self.assemblies.len()
    }

    /// Handles a head, which includes a short content. Otherwise the chunks are requested at `fetch_at` if none has
    /// arrived by then.
    pub fn offer(&mut self, now: Micros, fetch_at: Micros, from: u16, offer: Offer) -> Arrival {
        let version = offer.id.version;
        if let Some(content) = offer.inline {
            let document = document(offer.id, offer.hash, offer.retracted, content);
            if !document.is_intact() {
                return Arrival::Damaged;
            }
            self.assemblies.remove(&version);
            return Arrival::Complete(document, offer.stage);
        }
        // Only the latest version of each key is needed.
        let id = offer.id;
        self.assemblies.retain(|other, assembly| {
            let key = assembly.head.as_ref().map(|head| head.id.key);
            key != Some(id.key) || *other >= version
        });
        let count = chunks::count(offer.length);
        let Some(assembly) = self.assembly(now, version, count, true) else {
            return Arrival::NoRoom;
        };
        assembly.add_sender(from);
        if assembly.received.is_empty() && assembly.request_count == 0 {
            assembly.fetch_at = assembly.fetch_at.min(fetch_at);
        }
        // The stage may advance. A different hash under the same version is a fault of the sender; the first hash
        // counts.
        match &mut assembly.head {
            Some(head) if head.hash != offer.hash => return Arrival::Damaged,
            Some(head) => head.stage = offer.stage,
            None => assembly.head = Some(offer),
        }
        self.finish(now, version)
    }

    /// Handles the arrival of a part of a delta to this version: unless chunks have been requested already, they are
    /// not requested before `until`.
    pub fn wait_for_delta(&mut self, version: Version, until: Micros) {
        let waits =
            |assembly: &&mut Assembly| assembly.received.is_empty() && assembly.request_count == 0;
        if let Some(assembly) = self.assemblies.get_mut(&version).filter(waits) {
            assembly.fetch_at = assembly.fetch_at.max(until);
        }
    }

    /// Handles a chunk.
    pub fn chunk(
        &mut self,
        now: Micros,
        from: u16,
        version: Version,
        (index, count): (usize, usize),
        bytes: &[u8],
    ) -> Arrival {
        let last = index + 1 == count;
        let is_valid = index < count && count <= MAX_CHUNKS && bytes.len() <= CHUNK_BYTES;
        if !is_valid || !last && bytes.len() != CHUNK_BYTES {
            return Arrival::Damaged;
        }
        let window = self.window;
        let Some(assembly) = self.assembly(now, version, count, false) else {
            return Arrival::NoRoom;
        };
        if assembly.count != count {
            return Arrival::Damaged;
        }
        assembly.add_sender(from);
        assembly.arrived = now;
        assembly.fetch_at = now + ARRIVAL_TIMEOUT;
        assembly.request_count = 0;
        assembly.detect_loss(now, index);
        if assembly.wants_next_window(window) {
            assembly.fetch_at = now;
        }
        if !assembly.received.contains(index) {
            assembly.received.insert(index);
            let begin = index * CHUNK_BYTES;
            if assembly.content.len() < begin + bytes.len() {
                assembly.content.resize(begin + bytes.len(), 0);
            }
            assembly.content[begin..begin + bytes.len()].copy_from_slice(bytes);
        }
        self.finish(now, version)
    }

    /// The assembly of a version, created if there is room.
    fn assembly(
        &mut self,
        now: Micros,
        version: Version,
        count: usize,
        has_head: bool,
    ) -> Option<&mut Assembly> {
        let window = self.window;
        if !self.assemblies.contains_key(&version) {
            let headless = self.assemblies.values().filter(|a| a.head.is_none()).count();
            if self.assemblies.len() >= self.max_assemblies || !has_head && headless >= MAX_HEADLESS
            {
                return None;
            }
        }
        Some(self.assemblies.entry(version).or_insert_with(|| Assembly {
            head: None,
            received: ChunkSet::default(),
            count,
            content: Vec::new(),
            senders: Vec::new(),
            end: 0,
            loss_check: (now, 0),
            lost_below: 0,
            requested_end: count.min(window),
            arrived: now,
            fetch_at: now + ARRIVAL_TIMEOUT,
            request_count: 0,
        }))
    }

    /// Returns the document if it is complete and its hash is right.
    fn finish(&mut self, now: Micros, version: Version) -> Arrival {
        let Some(assembly) = self.assemblies.get_mut(&version) else { return Arrival::Incomplete };
        let Some(head) = &assembly.head else { return Arrival::Incomplete };
        let missing = ChunkSet::below(assembly.count).without(assembly.received);
        let last =
            assembly.count.checked_sub(1).is_none_or(|last| assembly.received.contains(last));
        let enough = missing.is_empty() || mutant::is(Mutant::LastChunkIsEnough) && last;
        if !enough {
            return Arrival::Incomplete;
        }
        let content = std::mem::take(&mut assembly.content);
        let document = document(head.id, head.hash, head.retracted, content);
        let stage = head.stage;
        if document.length() == head.length && document.is_intact()
            || mutant::is(Mutant::LastChunkIsEnough)
        {
            self.assemblies.remove(&version);
            return Arrival::Complete(document, stage);
        }
        assembly.received = ChunkSet::default();
        (assembly.end, assembly.requested_end) = (0, assembly.count.min(self.window));
        assembly.loss_check = (now, 0);
        assembly.fetch_at = now + ARRIVAL_TIMEOUT;
        Arrival::Damaged
    }

    /// Requests that are due; `preferred_senders` are asked before other senders.
    pub fn due(&mut self, now: Micros, preferred_senders: &[u16]) -> Vec<Request> {
        self.assemblies
            .retain(|_, assembly| now < assembly.arrived.saturating_add(TRANSFER_TIMEOUT));
        let mut requests = Vec::new();
        for (version, assembly) in &mut self.assemblies {
            if assembly.fetch_at > now {
                continue;
            }
            let missing = ChunkSet::below(assembly.count).without(assembly.received);
            let lost = missing.only_below(std::mem::take(&mut assembly.lost_below));
            let flowing = lost.union(assembly.next_window(missing, self.window));
            if flowing.is_empty() && assembly.is_flowing(now) {
                assembly.fetch_at = assembly.arrived + ARRIVAL_TIMEOUT;
                continue;
            }
            let (to, chunks) = if flowing.is_empty() {
                (assembly.next_sender(now, preferred_senders), missing.lowest(self.window))
            } else {
                assembly.fetch_at = now + ARRIVAL_TIMEOUT;
                (assembly.best_sender(preferred_senders), flowing)
            };
            assembly.requested_end = assembly.requested_end.max(chunks.end());
            let Some(to) = to else { continue };
            let key = assembly.head.as_ref().map(|head| head.id.key);
            let wanted = Wanted::Chunks(chunks);
            requests.push(Request { to, key, version: *version, wanted });
        }
        requests
    }

    /// The time at which [`Incoming::due`] has to be called next.
    pub fn next_at(&self) -> Micros {
        self.assemblies.values().map(|a| a.fetch_at).min().unwrap_or(Micros::MAX)
    }

    /// Whether a version is being received.
    pub fn contains(&self, version: Version) -> bool {
        self.assemblies.contains_key(&version)
    }

    /// Drops this version, and all earlier versions of its key.
    pub fn drop_up_to(&mut self, id: DocumentId) {
        self.assemblies.retain(|version, assembly| {
            let key = assembly.head.as_ref().map(|head| head.id.key);
            *version > id.version || *version != id.version && key != Some(id.key)
        });
    }
}

impl Assembly {
    /// Makes a member the most recent sender.
    fn add_sender(&mut self, from: u16) {
        self.senders.retain(|sender| *sender != from);
        self.senders.push(from);
        if self.senders.len() > MAX_SENDERS {
            self.senders.remove(0);
        }
    }

    /// Handles the arrival of a chunk: chunks before it that have been missing for long count as lost.
    fn detect_loss(&mut self, now: Micros, index: usize) {
        self.end = self.end.max(index + 1);
        let (checked_at, end) = self.loss_check;
        if now < checked_at + REORDER_TOLERANCE {
            return;
        }
        self.loss_check = (now, self.end);
        if !ChunkSet::below(end).without(self.received).is_empty() {
            self.lost_below = end;
            self.fetch_at = now;
        }
    }

    /// Whether half of the chunks requested last have arrived and there are more to request.
    fn wants_next_window(&self, window: usize) -> bool {
        self.requested_end < self.count && self.end + window / 2 >= self.requested_end
    }

    /// The chunks to request next while chunks arrive; empty: it is too early, or all were requested.
    fn next_window(&mut self, missing: ChunkSet, window: usize) -> ChunkSet {
        if !self.wants_next_window(window) {
            return ChunkSet::default();
        }
        let next = missing.without(ChunkSet::below(self.requested_end)).lowest(window);
        if next.is_empty() {
            // The rest has arrived without a request.
            self.requested_end = self.count;
        }
        next
    }

    /// Whether a chunk has arrived recently.
    fn is_flowing(&self, now: Micros) -> bool {
        !self.received.is_empty() && now < self.arrived + ARRIVAL_TIMEOUT
    }

    /// The sender to ask while chunks arrive.
    fn best_sender(&self, preferred_senders: &[u16]) -> Option<u16> {
        let preferred = preferred_senders.iter().find(|number| self.senders.contains(number));
        preferred.or(self.senders.last()).copied()
    }

    /// The member to ask for missing parts while nothing arrives: the best sender twice, then all in turn, since a
    /// sender may have forgotten this member or be down. Members that are known to have the document come first.
    fn next_sender(&mut self, now: Micros, preferred_senders: &[u16]) -> Option<u16> {
        let has_it = |number: &&u16| self.senders.contains(number);
        let preferred = preferred_senders.iter().filter(has_it);
        let others = self.senders.iter().filter(|sender| !preferred_senders.contains(sender));
        let rest = preferred_senders.iter().filter(|number| !has_it(number));
        let known: Vec<u16> = preferred.chain(others).chain(rest).copied().collect();
        let turn = (self.request_count as usize).saturating_sub(1);
        let to = known.get(turn % known.len().max(1)).copied()?;
        let wait = (ARRIVAL_TIMEOUT << (self.request_count / REQUESTS_BEFORE_BACKOFF).min(4))
            .min(MAX_REQUEST_WAIT);
        self.request_count += 1;
        self.fetch_at = now + wait;
        Some(to)
    }
}

fn document(id: DocumentId, hash: ContentHash, retracted: bool, content: Vec<u8>) -> Document {
    let body = if retracted { None } else { Some(content) };
    Document { key: id.key, version: id.version, body, hash }
}
