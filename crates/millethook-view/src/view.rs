//! The state machine of one view.

mod check;
mod config;
mod event;
mod facts;
mod figures;
mod own_facts;
mod probing;
mod pull;
mod receive;
mod repair;
mod send;
mod span;
mod tick;

use std::collections::{BTreeMap, VecDeque};

use rand_pcg::Pcg32;

use crate::Micros;
use crate::fact::{Epoch, HIGHEST_EPOCH, Status};
use crate::probe::{Probe, ProbeOrder, RelayedProbe, Suspicion, below, pick_random};
use crate::table::{Counts, Member, Table};
use crate::updates::UpdateQueue;
use probing::ABSENT_PROBE_PERIODS;
use pull::Pull;
use repair::Agreement;

pub use config::ViewConfig;
pub use event::Event;
pub use figures::Figures;

/// Messages with updates per period, each to another member.
const GOSSIPS_PER_PERIOD: u64 = 5;
/// A started process requests the table after this fraction of a period, and after each failure half as often. After an
/// answer it requests the next part from another member once the time of one gossip has passed.
const PULLS_PER_PERIOD: u64 = 20;
/// The maximum number of queued outgoing messages; more are dropped.
const MAX_OUTGOING: usize = 64;
/// The maximum number of queued events; beyond it the oldest are dropped.
const MAX_EVENTS: usize = 1024;
/// The maximum number of probes on behalf of others; beyond it the oldest are dropped.
const MAX_RELAYED: usize = 64;

/// The view of one process.
///
/// [`View::handle`] processes messages of other members, and [`View::tick`] must be called at [`View::poll_timeout`].
/// After each call, call [`View::poll_transmit`] and [`View::poll_event`] until they return None.
#[derive(Clone)]
pub struct View {
    config: ViewConfig,
    table: Table,
    /// Facts that are still to be sent.
    updates: UpdateQueue,
    /// The order of probes.
    order: ProbeOrder,
    random: Pcg32,
    sequence: u16,
    /// The probe of this period.
    probe: Option<Probe>,
    /// Probes on behalf of others.
    relayed: VecDeque<RelayedProbe>,
    /// Suspicions that have not expired.
    suspicions: BTreeMap<u16, Suspicion>,
    /// Lifeguard's local health: 0 is good.
    health: u32,
    next_period: Micros,
    next_gossip: Micros,
    next_absent_probe: Micros,
    /// The table transfer in progress after the start, or after a stall.
    pull: Option<Pull>,
    agreement: Agreement,
    /// The number of members that were notified in this period that they are suspected.
    notices: usize,
    next_epoch_raise: Micros,
    epoch_raise_interval: Micros,
    /// The epoch to take next, because another process with the own number was detected; 0: none.
    pending_epoch: Epoch,
    /// Whether the send budget is nearly used up.
    congested: bool,
    outgoing: VecDeque<(u16, Vec<u8>)>,
    events: VecDeque<Event>,
    figures: Figures,
}

impl View {
    /// Creates the view of a process that has just started and knows of no other member.
    ///
    /// `config.me` must be below `config.members`. `config.period` is at least 1 ms.
    pub fn new(config: ViewConfig, now: Micros) -> View {
        let period = config.period.max(1_000);
        let config = ViewConfig { period, epoch: config.epoch.clamp(1, HIGHEST_EPOCH), ..config };
        let members = usize::from(config.members);
        // Pcg's second parameter selects the stream: two processes with the same seed draw differently.
        let mut random = Pcg32::new(config.seed, u64::from(config.me));
        let spread = |random: &mut Pcg32, over: u64| below(random, over as usize) as u64;
        let first = now + spread(&mut random, period);
        let pull = Pull {
            cursor: 0,
            next: now + spread(&mut random, period / PULLS_PER_PERIOD),
            wait: period / PULLS_PER_PERIOD,
        };
        let mut view = View {
            config,
            table: Table::new(members),
            updates: UpdateQueue::new(members),
            order: ProbeOrder::default(),
            sequence: 0,
            probe: None,
            relayed: VecDeque::new(),
            suspicions: BTreeMap::new(),
            health: 0,
            next_period: first,
            next_gossip: now,
            next_absent_probe: now + spread(&mut random, ABSENT_PROBE_PERIODS * period),
            pull: Some(pull),
            agreement: Agreement::default(),
            notices: 0,
            next_epoch_raise: now,
            epoch_raise_interval: period,
            pending_epoch: 0,
            congested: false,
            outgoing: VecDeque::new(),
            events: VecDeque::new(),
            figures: Figures::default(),
            random,
        };
        view.set_own_status(Status::Alive, 0);
        view
    }

    /// The number of this member.
    pub fn me(&self) -> u16 {
        self.config.me
    }

    /// The epoch of this process, as sent in frames.
    pub fn epoch(&self) -> Epoch {
        self.config.epoch
    }

    /// The state of a member. None: there is no such number.
    pub fn member(&self, number: u16) -> Option<&Member> {
        self.table.get(number)
    }

    /// The number of members with each status. This member counts as alive.
    pub fn counts(&self) -> Counts {
        self.table.counts
    }

    /// A hash that is equal for all members that agree on each member's process and presence.
    pub fn hash(&self) -> u32 {
        self.table.hash
    }

    /// A random other member that is present. None: there is none.
    pub fn any_present(&mut self) -> Option<u16> {
        let me = self.config.me;
        pick_random(&self.table, &mut self.random, |n, status| status.is_present() && n != me)
    }

    /// The position of this process among the next `most` present members after `number`, if it is one of them. It
    /// selects a few of many members to do something for that member, and all agree on which.
    pub fn position_after(&self, number: u16, most: usize) -> Option<usize> {
        let after = usize::from(number) + 1;
        let around = (after..self.table.len()).chain(0..usize::from(number));
        let mut present = around.filter(|n| self.table.status(*n as u16).is_present()).take(most);
        present.position(|n| n == usize::from(self.config.me))
    }

    /// Counts since the start.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Sets whether the send budget is nearly used up. While it is, only probes and short answers are sent. Otherwise
    /// probes would wait behind updates, late answers would cause suspicions, and suspicions would cause more updates.
    pub fn set_congested(&mut self, congested: bool) {
        self.congested = congested;
    }

    /// Returns the next event, in order. If more than 1,024 are queued, the oldest are lost.
    pub fn poll_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Returns the next message: the number of its receiver, and its content of at most 241 bytes.
    pub fn poll_transmit(&mut self) -> Option<(u16, Vec<u8>)> {
        self.outgoing.pop_front()
    }
}
