//! Documents on their way in: heads and chunks in any order, from several senders, and what is asked for again.

use std::collections::BTreeMap;

use millethook_machine::Micros;

use crate::chunks::{self, CHUNK_BYTES, ChunkSet, MAX_CHUNKS, Wanted};
use crate::message::{Offer, Stage};
use crate::mutant::{self, Mutant};
use crate::{ContentHash, Document, DocumentId, DocumentKey, Version};

/// What is missing is asked for when nothing has arrived for so long, and again after it.
pub(crate) const ARRIVAL_TIMEOUT: Micros = 120_000;
/// While chunks arrive, those count as lost that are missing so long after a later one came: chunks are sent in order, and
/// datagrams overtake each other by some milliseconds. They are asked for once in this time.
const REORDER_TOLERANCE: Micros = 60_000;
/// The wait doubles after so many requests in vain. Danger: where a fifth is lost, every third request or its answer is;
/// a wait that doubles at once is what the last sidecars would wait for.
const REQUESTS_BEFORE_BACKOFF: u32 = 4;
/// The longest wait between two requests.
const MAX_REQUEST_WAIT: Micros = 1_000_000;
/// A document of which nothing has arrived for so long is given up; the next digest brings it again.
const TRANSFER_TIMEOUT: Micros = 8_000_000;
/// Senders that are remembered for a document.
const MAX_SENDERS: usize = 3;
/// Documents whose head has not come, at most.
const MAX_HEADLESS: usize = 8;

/// A document that is not whole yet.
#[derive(Clone, Debug)]
struct Assembly {
    /// None: its head has not come.
    head: Option<Offer>,
    received: ChunkSet,
    count: usize,
    content: Vec<u8>,
    /// Who has it, the latest that sent something last.
    senders: Vec<u16>,
    /// One behind the highest chunk that has arrived, now and when that was last looked at.
    end: usize,
    loss_check: (Micros, usize),
    /// Chunks below this one that are missing are lost: they are to be asked for now.
    lost_below: usize,
    /// Chunks below this one were asked for, or come without that.
    requested_end: usize,
    arrived: Micros,
    fetch_at: Micros,
    request_count: u32,
}

/// A request for what is missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub to: u16,
    /// None: its head has not come.
    pub key: Option<DocumentKey>,
    pub version: Version,
    pub wanted: Wanted,
}

/// What has come of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// Nothing that is whole yet.
    Incomplete,
    /// A document, and how far it is as its sender said.
    Complete(Document, Stage),
    /// All is there, and the hash is wrong: it begins again.
    Damaged,
    /// There is no room.
    NoRoom,
}

/// All documents that are not whole yet, by version.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    assemblies: BTreeMap<Version, Assembly>,
    max_assemblies: usize,
    /// Chunks that are asked for together, at most.
    window: usize,
}

impl Incoming {
    pub fn new(max_assemblies: usize, window: usize) -> Incoming {
        Incoming { assemblies: BTreeMap::new(), max_assemblies, window }
    }

    pub fn len(&self) -> usize {
        self.assemblies.len()
    }

    /// A head has come, with the content if that is short. Otherwise its chunks are asked for at `ask_at` if none has come
    /// by then.
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
        // Of one key the latest is enough.
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
        // A later stage is news; another hash under the same version is a fault of the sender's, and the first counts.
        match &mut assembly.head {
            Some(head) if head.hash != offer.hash => return Arrival::Damaged,
            Some(head) => head.stage = offer.stage,
            None => assembly.head = Some(offer),
        }
        self.finish(now, version)
    }

    /// A part of a delta to this version has come: its chunks, if none was asked for, are not asked for before `until`.
    pub fn wait_for_delta(&mut self, version: Version, until: Micros) {
        let waits =
            |assembly: &&mut Assembly| assembly.received.is_empty() && assembly.request_count == 0;
        if let Some(assembly) = self.assemblies.get_mut(&version).filter(waits) {
            assembly.fetch_at = assembly.fetch_at.max(until);
        }
    }

    /// A chunk has come.
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

    /// The assembly of a version, begun if there is room.
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

    /// Requests that are due; `asked_first` are asked before other senders.
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

    /// When [`Incoming::due`] has something to ask for.
    pub fn next_at(&self) -> Micros {
        self.assemblies.values().map(|a| a.fetch_at).min().unwrap_or(Micros::MAX)
    }

    /// Whether a version is under way.
    pub fn contains(&self, version: Version) -> bool {
        self.assemblies.contains_key(&version)
    }

    /// Drops what is no newer than this version of a key.
    pub fn drop_up_to(&mut self, id: DocumentId) {
        self.assemblies.retain(|version, assembly| {
            let key = assembly.head.as_ref().map(|head| head.id.key);
            *version > id.version || *version != id.version && key != Some(id.key)
        });
    }
}

impl Assembly {
    fn add_sender(&mut self, from: u16) {
        self.senders.retain(|sender| *sender != from);
        self.senders.push(from);
        if self.senders.len() > MAX_SENDERS {
            self.senders.remove(0);
        }
    }

    /// A chunk has arrived: those before it that are missing for long are lost.
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

    /// Whether half of what was asked for last has come and there is more.
    fn wants_next_window(&self, window: usize) -> bool {
        self.requested_end < self.count && self.end + window / 2 >= self.requested_end
    }

    /// What is asked for next while chunks come; empty: it is too early, or all was asked for.
    fn next_window(&mut self, missing: ChunkSet, window: usize) -> ChunkSet {
        if !self.wants_next_window(window) {
            return ChunkSet::default();
        }
        let next = missing.without(ChunkSet::below(self.requested_end)).lowest(window);
        if next.is_empty() {
            // The rest has come unasked.
            self.requested_end = self.count;
        }
        next
    }

    /// Whether a chunk has come lately.
    fn is_flowing(&self, now: Micros) -> bool {
        !self.received.is_empty() && now < self.arrived + ARRIVAL_TIMEOUT
    }

    /// Who of those that have it is asked while it comes.
    fn best_sender(&self, preferred_senders: &[u16]) -> Option<u16> {
        let preferred = preferred_senders.iter().find(|number| self.senders.contains(number));
        preferred.or(self.senders.last()).copied()
    }

    /// Who is asked for what is missing, as nothing comes: the best one twice, then all in turn, since a sender may have
    /// forgotten this member, or be gone. Those that are known to have it come before others.
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
