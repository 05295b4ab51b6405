//! The state machine of one copy.

mod attempts;
mod check;
mod config;
mod event;
mod figures;
mod gossip;
mod owners;
mod receive;
mod repair;
mod servers;
mod tick;
mod update_queue;

use std::collections::{BTreeMap, VecDeque};

use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::attempt_monitor::AttemptMonitor;
use crate::entry::{Entry, Key};
use crate::message::{MessageHeader, MessageKind};
use crate::store::Store;
use crate::{Epoch, Micros};

pub use config::ReplicaConfig;
pub use event::{Destination, Event, ServerStatus};
pub use figures::Figures;
use receive::Agreement;
use update_queue::UpdateQueue;

/// The maximum number of queued outgoing messages; more are dropped.
const MAX_OUTGOING: usize = 64;
/// The maximum number of queued events; beyond it the oldest are dropped.
const MAX_EVENTS: usize = 1024;

/// The copy of one process.
///
/// [`Replica::handle`] processes messages of other members, and [`Replica::tick`] must be called at
/// [`Replica::poll_timeout`]. After each call, call [`Replica::poll_transmit`] and [`Replica::poll_event`] until they
/// return None.
#[derive(Clone)]
pub struct Replica {
    config: ReplicaConfig,
    store: Store,
    attempt_monitor: AttemptMonitor,
    /// Servers of this process's list, with the process epoch of each.
    listed_servers: BTreeMap<u64, Epoch>,
    /// The status of each server that is not trusted.
    server_statuses: BTreeMap<u64, ServerStatus>,
    /// Entries that are still to be sent to others.
    updates: UpdateQueue,
    /// Counts the observations of this process.
    counter: u32,
    random: Pcg32,
    next_gossip: Micros,
    next_compare: Micros,
    next_expiry: Option<Micros>,
    /// Until this time comparisons replace gossip, because copies were found to differ.
    differs_until: Micros,
    agreement: Agreement,
    /// Whether the send budget is nearly used up.
    congested: bool,
    outgoing: VecDeque<(Destination, Vec<u8>)>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl Replica {
    /// Creates an empty copy. `config.period` is at least 10 ms.
    pub fn new(config: ReplicaConfig, now: Micros) -> Replica {
        let period = config.period.max(10_000);
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ u64::from(config.me)));
        let first = now + u64::from(random.next_u32()) % period;
        Replica {
            config: ReplicaConfig { period, ..config },
            store: Store::default(),
            attempt_monitor: AttemptMonitor::default(),
            listed_servers: BTreeMap::new(),
            server_statuses: BTreeMap::new(),
            updates: UpdateQueue::default(),
            counter: 0,
            random,
            next_gossip: now,
            next_compare: first,
            next_expiry: None,
            differs_until: 0,
            agreement: Agreement::default(),
            congested: false,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
        }
    }

    /// Sets whether the send budget is nearly used up. While it is, neither updates nor comparisons nor answers to
    /// comparisons are sent.
    pub fn set_congested(&mut self, congested: bool) {
        self.congested = congested;
    }

    /// Raises the epoch of this process (see `millethook_view`).
    pub fn set_epoch(&mut self, epoch: Epoch) {
        self.config.epoch = self.config.epoch.max(epoch);
    }

    /// Returns the next change of a server's status, in order. If more than 1,024 are queued, the oldest are lost.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next message: its destination, and its content of at most 241 bytes.
    pub fn poll_transmit(&mut self) -> Option<(Destination, Vec<u8>)> {
        self.outgoing.pop_front()
    }

    /// A hash that is equal for all members that hold the same shared entries.
    pub fn hash(&self, now: Micros) -> u32 {
        self.store.hashes(now).0
    }

    /// All entries that are held.
    pub fn entries(&self, now: Micros) -> Vec<(Key, Entry)> {
        self.store.iter(now).collect()
    }

    /// The entry of a key, with its current age.
    pub fn get(&self, now: Micros, key: Key) -> Option<Entry> {
        self.store.get(key, now)
    }

    /// The status of a server.
    pub fn server_status(&self, server: u64) -> ServerStatus {
        self.server_statuses.get(&server).copied().unwrap_or_default()
    }

    /// The header of a message.
    fn header(&self, kind: MessageKind, salt: u16, now: Micros) -> MessageHeader {
        MessageHeader { kind, salt, hash: self.store.hashes(now).0 }
    }

    /// Queues a message, unless the queue is full.
    fn enqueue_message(&mut self, to: Destination, bytes: Vec<u8>) {
        if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push_back((to, bytes));
        }
    }
}
