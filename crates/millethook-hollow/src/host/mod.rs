//! One host: a thread that runs the state machines of several thousand members on real sockets and a real clock.

mod actions;
mod ground_truth;
mod reports;
mod run;
mod sockets;
mod tally;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use millethook_frames::MAX_FRAME_BYTES;
use millethook_machine::hash::mix;
use mio::Poll;

use crate::Micros;
use crate::distribution::{Control, HollowSubscriber, configuration};
use crate::error::HollowError;
use crate::link::{Delivery, Links};
use crate::node::{MemberVerdict, Node};
use crate::plan::Machines;
use crate::protocol::Setup;
use crate::sidecar::{Identity, Sidecar};
use crate::usage;
use ground_truth::GroundTruth;
pub use run::run;
use sockets::Sockets;
use tally::Tally;

/// The name of the fleet in frames.
const FLEET: &str = "hollow";
/// Maximum number of datagrams that one member receives before other members are served.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// One member at a host.
struct Slot {
    number: u16,
    /// `None` while the member does not run.
    node: Option<Box<dyn Node>>,
    /// When the member starts, or its state machines are called next; [`Micros::MAX`] for never.
    due: Micros,
    paused: bool,
    started: Micros,
    /// Bytes sent in this step.
    sent: u64,
    /// Since when the member's state has matched the ground truth.
    settled: Option<Micros>,
}

/// The members of one host process.
pub struct Host {
    setup: Setup,
    clock: Instant,
    slots: Vec<Slot>,
    sockets: Sockets,
    timers: BinaryHeap<Reverse<(Micros, usize)>>,
    /// Slots whose sockets may hold more datagrams than were read in the last turn.
    backlogged: Vec<usize>,
    links: Links,
    truth: GroundTruth,
    tally: Tally,
    /// Until this time restarted members may not have started yet.
    restarting_until: Micros,
    resident_before: u64,
}

impl Host {
    /// Binds the sockets. No member runs before the first step.
    ///
    /// # Errors
    /// Fails if an address is in use or no file descriptor is available.
    pub fn new(setup: Setup, poll: &Poll) -> Result<Host, HollowError> {
        let plan = &setup.plan;
        let topology = plan.topology();
        let numbers = plan.members_of(setup.host);
        let is_control = |number| topology.is_control(number);
        let sockets = Sockets::bind(poll.registry(), setup.addresses, &numbers, is_control)?;
        let slot = |number: &u16| Slot {
            number: *number,
            node: None,
            due: Micros::MAX,
            paused: false,
            started: 0,
            sent: 0,
            settled: None,
        };
        let slots = numbers.iter().map(slot).collect();
        let links = Links::new(topology, &plan.links, mix(plan.seed ^ setup.host as u64));
        let mut truth = GroundTruth::new(topology, plan.seed);
        truth.count(&links);
        Ok(Host {
            clock: Instant::now(),
            slots,
            sockets,
            timers: BinaryHeap::new(),
            backlogged: Vec::new(),
            links,
            truth,
            tally: Tally::default(),
            restarting_until: 0,
            resident_before: usage::resident_bytes(),
            setup,
        })
    }

    /// Returns the time of the run.
    fn now(&self) -> Micros {
        (self.clock.elapsed().as_micros() as f64 / self.setup.plan.dilation) as Micros
    }

    /// Returns the time left until `at`, by the machine's clock.
    fn until(&self, at: Micros) -> Duration {
        let left = at.saturating_sub(self.now());
        Duration::from_micros((left as f64 * self.setup.plan.dilation) as u64)
    }

    /// Schedules a slot for this time, replacing any earlier schedule.
    fn schedule(&mut self, slot: usize, at: Micros) {
        if let Some(one) = self.slots.get_mut(slot) {
            one.due = at;
            self.timers.push(Reverse((at, slot)));
        }
    }

    fn create(&self, number: u16, now: Micros) -> Box<dyn Node> {
        let plan = &self.setup.plan;
        let (topology, epoch) = (plan.topology(), unix_ms());
        let seed = mix(plan.seed ^ u64::from(number));
        let configuration = || configuration(&plan.distribution, &topology, number, plan.seed);
        match plan.machines {
            Machines::View => {
                let (members, zone) = (plan.size, topology.zone(number));
                let identity = Identity { number, members, zone, epoch, seed };
                Box::new(Sidecar::new(&plan.sidecar, FLEET, identity, now))
            }
            Machines::Distribution if topology.is_control(number) => {
                Box::new(Control::new(configuration(), (FLEET, epoch), now))
            }
            Machines::Distribution => {
                let rate = plan.sidecar.bytes_per_second;
                Box::new(HollowSubscriber::new(configuration(), rate, (FLEET, epoch), now))
            }
        }
    }

    /// Starts a slot's member.
    fn start_member(&mut self, slot: usize, now: Micros) {
        let number = self.slots[slot].number;
        let node = self.create(number, now);
        let one = &mut self.slots[slot];
        (one.node, one.started) = (Some(node), now);
        if number == self.truth.writer && self.setup.plan.has_control_nodes() {
            self.make_writer(number, now);
        }
    }

    /// Reads at most one turn's datagrams from a slot's socket.
    fn receive(&mut self, slot: usize) {
        if self.slots.get(slot).is_none_or(|one| one.paused) {
            return;
        }
        let mut buffer = [0; MAX_FRAME_BYTES + 1];
        let now = self.now();
        let mut taken = 0;
        while taken < MAX_DATAGRAMS_PER_TURN {
            let Some((from, datagram)) = self.sockets.receive(slot, &mut buffer) else { break };
            taken += 1;
            if let Some(node) = &mut self.slots[slot].node {
                let began = usage::thread_time();
                node.handle(now, from, datagram);
                self.tally.machines += usage::thread_time().saturating_sub(began);
                self.tally.received += 1;
            }
        }
        if taken == MAX_DATAGRAMS_PER_TURN {
            self.backlogged.push(slot);
        }
        if taken > 0 && self.slots[slot].node.is_some() {
            self.pump(slot, now);
        }
    }

    /// Calls a slot's state machines and sends their output.
    fn pump(&mut self, slot: usize, now: Micros) {
        let one = &mut self.slots[slot];
        let Some(node) = &mut one.node else { return };
        let (began, before) = (usage::thread_time(), node.state_summary().count);
        let mut outgoing = Vec::new();
        let next = node.pump(now, &mut |to, bytes| outgoing.push((to, bytes)));
        let verdicts = node.verdicts();
        self.tally.machines += usage::thread_time().saturating_sub(began);
        let (number, after) = (one.number, node.state_summary().count);
        // A timer in the past is treated as due now, so that it does not count towards this host's lateness.
        let next = next.max(now);
        if one.due != next {
            self.schedule(slot, next);
        }
        for (to, bytes) in outgoing {
            self.send(slot, number, to, bytes, now);
        }
        for verdict in verdicts {
            self.count_false_verdict(number, verdict, now);
        }
        if self.setup.plan.has_control_nodes() && after > before {
            self.count_in_force(slot, before, after, now);
        }
        self.update_settled(slot, now);
    }

    fn send(&mut self, slot: usize, from: u16, to: u16, bytes: Vec<u8>, now: Micros) {
        self.slots[slot].sent += bytes.len() as u64;
        self.tally.sent(&bytes);
        match self.links.next_delivery(from, to) {
            Delivery::Delayed(after) => self.sockets.send(slot, to, bytes, now + after),
            Delivery::Lost | Delivery::Cut => self.tally.lost += 1,
        }
    }

    /// Counts a false verdict: one about a member that runs and can be reached.
    fn count_false_verdict(&mut self, number: u16, verdict: MemberVerdict, now: Micros) {
        let (MemberVerdict::Suspect(of) | MemberVerdict::Dead(of)) = verdict;
        let wrong =
            self.truth.runs(of) && self.links.connected(number, of) && now >= self.restarting_until;
        match verdict {
            _ if !wrong => {}
            MemberVerdict::Suspect(_) => self.tally.false_suspect += 1,
            MemberVerdict::Dead(_) => self.tally.false_dead += 1,
        }
    }

    /// Called when a sidecar's last serial number has changed. Records, for each document that is now in force, the
    /// time since its publication.
    fn count_in_force(&mut self, slot: usize, before: u32, after: u32, now: Micros) {
        let (number, started) = (self.slots[slot].number, self.slots[slot].started);
        let new = self.truth.between(number, before, after);
        for publication in new.filter(|publication| publication.at >= started) {
            self.tally.in_force(now.saturating_sub(publication.at));
        }
    }

    /// Updates whether a member's state matches the ground truth.
    fn update_settled(&mut self, slot: usize, now: Micros) {
        let one = &mut self.slots[slot];
        let Some(node) = &one.node else { return };
        let (plan, count) = (&self.setup.plan, node.state_summary().count);
        let expected = match plan.machines {
            _ if plan.topology().is_control(one.number) => count,
            Machines::View => self.truth.present(self.links.side(one.number)),
            Machines::Distribution => self.truth.serial(one.number),
        };
        one.settled = one.settled.or(Some(now)).filter(|_| count == expected);
    }

    /// Serves everything that is due, and returns when something is due next.
    fn run_due(&mut self) -> Option<Micros> {
        for slot in std::mem::take(&mut self.backlogged) {
            self.receive(slot);
        }
        let now = self.now();
        while let Some(Reverse((at, slot))) = self.timers.peek().copied().filter(|t| t.0.0 <= now) {
            self.timers.pop();
            let one = &mut self.slots[slot];
            if one.due != at || one.paused {
                continue;
            }
            one.due = Micros::MAX;
            self.tally.served(at, now);
            if self.slots[slot].node.is_none() {
                self.start_member(slot, now);
            }
            self.pump(slot, self.now());
        }
        self.sockets.deliver(self.now());
        if !self.backlogged.is_empty() {
            return Some(0);
        }
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        [timer, self.sockets.next()].into_iter().flatten().min()
    }

    /// Iterates over the members that run now.
    fn live(&self) -> impl Iterator<Item = (&Slot, &dyn Node)> {
        let live = self.slots.iter().filter(|slot| !slot.paused);
        live.filter_map(|slot| Some((slot, slot.node.as_deref()?)))
    }

    fn with_control<T>(&mut self, slot: usize, act: impl FnOnce(&mut Control) -> T) -> Option<T> {
        self.slots.get_mut(slot)?.node.as_mut()?.control().map(act)
    }

    fn slot_of(&self, number: u16) -> Option<usize> {
        self.setup.plan.slot_of(self.setup.host, number)
    }
}
