//! A sidecar's part of the protocol: it receives documents from two control nodes.

mod check;
mod deltas;
mod host;
mod links;
mod list_links;
mod statuses;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use millethook_machine::{Micros, SendQueue};

use crate::chunks;
use crate::lists::{is_for, list_of};
use crate::message::{Digest, Message, Offer, Role, Stage};
use crate::mutant::{self, Mutant};
use crate::transfer::{ARRIVAL_TIMEOUT, Arrival, Incoming, Request};
use crate::{
    DistributionConfig, Document, DocumentId, DocumentKey, DocumentKind, MAX_LISTS, Scope,
    Snapshot, Version,
};
use deltas::Deltas;
use links::Links;
pub(crate) use list_links::CONFIRM_INTERVAL;
use list_links::ListLinks;
use statuses::Candidate;

/// The maximum number of messages that wait to be fetched.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The maximum number of keys for which a sidecar has documents, in addition to the lists that it subscribes to.
const MAX_BASE_KEYS: usize = Scope::LEVELS * DocumentKind::ALL.len();
/// The maximum number of chunks in one request. Half of them have to be in transit while the next are requested; and as
/// soon as a better control node has the document, the remaining chunks are requested from it.
const CHUNK_REQUEST_WINDOW: usize = 64;
/// While a long list waits for its delta ([`DELTA_FETCH_DELAY`]) and a control node other than the first offers it
/// again, the complete list is requested after this time. Elsewhere this has no effect: the first head of a document
/// sets the wait to [`ARRIVAL_TIMEOUT`], which is shorter, and a later time does not extend it.
const SECONDARY_FETCH_DELAY: Micros = 300_000;
/// A list of which an earlier version is in force is requested from a control node other than the first after this
/// time, since the first one sends a delta. At 20% loss, the first one may have the list half a second after others,
/// and may have to send the delta three times.
const DELTA_FETCH_DELAY: Micros = 1_500_000;

/// An event that the host has to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriberEvent {
    /// Complete documents have arrived that are newer than those in force: all documents of one kind that wait for a
    /// decision, in merge order. The host merges them with [`Subscriber::in_force`], checks the result and calls
    /// [`Subscriber::accept`] or [`Subscriber::refuse`]. An event replaces earlier events of its kind. Kinds are
    /// decided on independently: a delay or a refusal of one does not hold up another.
    Offered {
        /// The documents.
        documents: Vec<Arc<Document>>,
    },
}

/// The document is not offered: a newer one has arrived, or the host has already decided on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("version {0} is not offered (any more)")]
pub struct NotOffered(pub Version);

/// Counters since the start, and current numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubscriberFigures {
    /// Documents in force, including retractions.
    pub in_force: usize,
    /// Documents that wait for the host's decision.
    pub offered: usize,
    /// Documents that are being received.
    pub incoming: usize,
    /// Documents that the host accepted.
    pub accepted: u64,
    /// Documents that the host refused.
    pub refused: u64,
    /// Documents whose hash was wrong once they were complete.
    pub damaged: u64,
    /// Documents that arrived as a delta to the previous one.
    pub deltas: u64,
    /// Documents that were older than the known version, or of a scope that does not include this sidecar.
    pub not_for_me: u64,
    /// Malformed messages.
    pub malformed: u64,
    /// Control nodes in use that answer, two at most.
    pub control_nodes: usize,
    /// How often another control node became the first.
    pub switches: u64,
}

/// The state machine of one sidecar.
#[derive(Clone, Debug)]
pub struct Subscriber {
    config: DistributionConfig,
    links: Links,
    /// Services whose lists this sidecar subscribes to, and what control nodes know of that.
    lists: BTreeSet<u32>,
    list_links: ListLinks,
    in_force: BTreeMap<DocumentKey, Arc<Document>>,
    candidates: BTreeMap<DocumentKey, Candidate>,
    /// The highest version that ever was in force, by key.
    highest: BTreeMap<DocumentKey, Version>,
    incoming: Incoming,
    deltas: Deltas,
    /// Kinds whose candidates have changed since the last event.
    changed_kinds: BTreeSet<DocumentKind>,
    outbox: SendQueue<u16>,
    figures: SubscriberFigures,
}

impl Subscriber {
    /// Creates a sidecar that has the documents of the snapshot in force, if their hash is right and they are for this
    /// sidecar.
    pub fn new(config: DistributionConfig, snapshot: Option<Snapshot>, now: Micros) -> Subscriber {
        let lists: BTreeSet<u32> = config.lists.iter().copied().take(MAX_LISTS).collect();
        let mut in_force: BTreeMap<DocumentKey, Arc<Document>> = BTreeMap::new();
        for document in snapshot.unwrap_or_default().documents {
            let is_for_this_sidecar =
                is_for(document.key, &config.identity, |list| lists.contains(&list));
            let is_valid = document.is_intact() && is_for_this_sidecar;
            let before = in_force.get(&document.key).map(|other| other.version);
            if is_valid && before < Some(document.version) {
                in_force.insert(document.key, Arc::new(document));
            }
        }
        let highest = in_force.iter().map(|(key, document)| (*key, document.version)).collect();
        Subscriber {
            links: Links::new(&config, now),
            list_links: ListLinks::new(config.seed),
            in_force,
            candidates: BTreeMap::new(),
            highest,
            incoming: Incoming::new(2 * (MAX_BASE_KEYS + lists.len()), CHUNK_REQUEST_WINDOW),
            deltas: Deltas::default(),
            lists,
            changed_kinds: BTreeSet::new(),
            outbox: SendQueue::new(MAX_QUEUED_MESSAGES),
            figures: SubscriberFigures::default(),
            config,
        }
    }

    /// The maximum number of keys for which it has documents.
    fn max_keys(&self) -> usize {
        MAX_BASE_KEYS + self.lists.len()
    }

    /// Whether a document of this key is for this sidecar.
    fn applies_here(&self, key: DocumentKey) -> bool {
        is_for(key, &self.config.identity, |list| self.lists.contains(&list))
    }

    /// The state of a document has changed.
    fn changed(&mut self, now: Micros, key: DocumentKey) {
        match list_of(key) {
            Some(service) => self.list_links.changed(now, service),
            None => self.links.report_soon(now),
        }
    }

    /// Handles a message of a member.
    pub fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        let message = match Message::read(content) {
            Ok((Role::Sidecar, message)) if self.links.is_control_node(from) => message,
            // It is addressed to a control node in this process.
            Ok((Role::ControlNode, _)) => return,
            _ => {
                self.figures.malformed += 1;
                return;
            }
        };
        self.links.on_message(from);
        match message {
            Message::DigestReply { hash, known } => {
                let current = self.hash();
                self.links.on_digest_reply(now, from, hash, known, current);
                if !self.lists.is_empty() && self.links.numbers().contains(&from) {
                    self.list_links.on_digest_reply(now, from, known);
                }
            }
            Message::ListsReply { hash, known } => {
                let current = self.list_statuses().hash();
                self.list_links.on_lists_reply(now, from, hash, known, current);
            }
            Message::Delta(delta) => self.on_delta(now, from, delta),
            Message::Offer(offer) => self.on_offer(now, from, offer),
            Message::Chunk { version, index, count, bytes } => {
                if !self.is_known(version) {
                    let header = (usize::from(index), usize::from(count));
                    let arrival = self.incoming.chunk(now, from, version, header, &bytes);
                    self.on_arrival(now, arrival);
                }
            }
            _ => self.figures.malformed += 1,
        }
        self.tick(now);
    }

    /// Handles an offer.
    fn on_offer(&mut self, now: Micros, from: u16, offer: Offer) {
        if self.is_new_offer(now, from, &offer) {
            self.on_offer_head(now, from, offer);
        }
    }

    /// Whether the offered document is for this sidecar and new.
    fn is_new_offer(&mut self, now: Micros, from: u16, offer: &Offer) -> bool {
        let id = offer.id;
        let is_for_this_sidecar = self.applies_here(id.key) || mutant::is(Mutant::AnyScope);
        if !is_for_this_sidecar || offer.stage != Stage::Committed {
            self.figures.not_for_me += 1;
            return false;
        }
        let known = self.known_version(id.key);
        if known >= Some(id.version) && !mutant::is(Mutant::VersionsGoBack) {
            // The sender does not know which version this sidecar has.
            self.figures.not_for_me += u64::from(known > Some(id.version));
            match list_of(id.key) {
                Some(service) => self.list_links.resend_status(now, from, service),
                None => self.links.resend_status(now, from),
            }
            return false;
        }
        true
    }

    /// Handles the head of a document that is for this sidecar and new.
    fn on_offer_head(&mut self, now: Micros, from: u16, offer: Offer) {
        let id = offer.id;
        let fetch_at = self.fetch_time(now, from, offer.length);
        let is_new = !self.incoming.contains(id.version);
        let arrival = self.incoming.offer(now, fetch_at, from, offer);
        if is_new && self.may_come_as_delta(from, id.key) {
            self.incoming.wait_for_delta(id.version, now + DELTA_FETCH_DELAY);
        }
        self.on_arrival(now, arrival);
    }

    /// Whether this control node is the first one in use.
    fn is_first_node(&self, control_node: u16) -> bool {
        self.links.numbers().first() == Some(&control_node)
    }

    /// Whether the first control node is expected to send a delta of a list whose head was sent by another one.
    fn may_come_as_delta(&self, from: u16, key: DocumentKey) -> bool {
        !self.is_first_node(from) && list_of(key).is_some() && self.in_force.contains_key(&key)
    }

    /// When to request a document whose head was sent by this control node.
    fn fetch_time(&self, now: Micros, from: u16, length: usize) -> Micros {
        let is_first_node = self.is_first_node(from);
        match (chunks::is_sent_eagerly(length), is_first_node) {
            (true, _) => now + ARRIVAL_TIMEOUT,
            (false, true) => now,
            (false, false) => now + SECONDARY_FETCH_DELAY,
        }
    }

    /// Handles the result of a received head or chunk.
    fn on_arrival(&mut self, now: Micros, arrival: Arrival) {
        match arrival {
            Arrival::Complete(document, Stage::Committed) => self.on_complete(now, document),
            Arrival::Damaged => self.figures.damaged += 1,
            Arrival::Complete(..) | Arrival::Incomplete | Arrival::NoRoom => {}
        }
    }

    /// Offers a complete document to the host, if it is newer than the known version.
    fn on_complete(&mut self, now: Micros, document: Document) {
        let id = document.id();
        let newer =
            self.known_version(id.key) < Some(id.version) || mutant::is(Mutant::VersionsGoBack);
        if !newer || self.candidates.len() >= self.max_keys() {
            return;
        }
        self.incoming.drop_up_to(id);
        self.deltas.drop_key(id.key);
        self.candidates.insert(id.key, Candidate::Offered(Arc::new(document)));
        self.changed_kinds.insert(id.key.kind);
        self.changed(now, id.key);
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: Micros) {
        let preferred_senders = self.links.numbers();
        for Request { to, key, version, wanted } in self.incoming.due(now, &preferred_senders) {
            let message = Message::Fetch { of: Role::Sidecar, key, version, wanted };
            self.outbox.push(to, message.write(Role::ControlNode));
        }
        self.send_list_statuses(now);
        if self.links.next_at() > now {
            return;
        }
        let hash = self.hash();
        for due in self.links.due(now, hash) {
            let digest = Digest {
                identity: self.config.identity,
                rank: due.rank,
                hash,
                statuses: due.whole.then(|| self.statuses()),
            };
            self.outbox.push(due.to, Message::Digest(digest).write(Role::ControlNode));
        }
    }

    /// Sends control nodes the lists that this sidecar subscribes to, with their states.
    fn send_list_statuses(&mut self, now: Micros) {
        if self.list_links.next_at() > now {
            return;
        }
        self.list_links.retain(&self.links.numbers());
        let statuses = self.list_statuses();
        for (to, lists) in self.list_links.due(now, &statuses) {
            self.outbox.push(to, Message::ListsUpdate(lists).write(Role::ControlNode));
        }
    }

    /// The time at which [`Subscriber::tick`] has to be called next.
    pub fn poll_timeout(&self) -> Micros {
        self.links.next_at().min(self.incoming.next_at()).min(self.list_links.next_at())
    }

    /// The next message and its receiver.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outbox.pop()
    }
}

impl Document {
    /// Its key and version.
    pub(crate) fn id(&self) -> DocumentId {
        DocumentId { key: self.key, version: self.version }
    }
}
