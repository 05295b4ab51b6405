//! A simulation of many state machines on one virtual clock. The network between them drops, delays and duplicates
//! datagrams and can be partitioned. Each process has its own clock, which can drift and jump. After each step the
//! machine's own `check()` must pass.

mod faults;
mod script;
mod transcript;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Micros, Violation};

pub use script::play_script;
pub use transcript::Transcript;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
/// Bytes of a datagram in addition to its content: the headers of the frame and the record.
pub const OVERHEAD_BYTES: u64 = 15;
/// The sending budget of one process in bytes per second, as in the daemon.
const BUDGET_RATE: f64 = 1_500.0;
/// The maximum of unused budget that a process accumulates, in bytes.
const BUDGET_BURST: f64 = 3_000.0;

/// A state machine that exchanges messages with others of its kind.
pub trait Machine {
    /// Handles a message from a member.
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]);
    /// Carries out the actions that are due at `now`.
    fn tick(&mut self, now: Micros);
    /// When `tick` has to be called next.
    fn poll_timeout(&self) -> Micros;
    /// Takes the next message and its receiver. None as the receiver: any other process.
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)>;
    /// Tells the machine whether the sending budget is running short.
    fn set_congested(&mut self, _congested: bool) {}
    /// Checks the invariants of the machine.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    fn check(&self, _now: Micros) -> Result<(), Violation> {
        Ok(())
    }
}

/// A queued event.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { to: u16, from: u16, content: Vec<u8> },
    Tick(u16),
}

/// A simulated process.
pub struct Node<M> {
    /// The state machine. None: the process does not run.
    pub machine: Option<M>,
    /// Bytes and datagrams that the process has sent.
    pub sent: (u64, u64),
    /// The time until which the process is suspended. Datagrams that arrive before then are queued.
    pub paused_until: Micros,
    /// The process's clock: a fleet time, the reading of the clock at that time, and its rate.
    clock: (Micros, Micros, f64),
    /// The fleet time of the next queued tick.
    next_tick: Option<Micros>,
    /// Remaining bytes of the sending budget, and the time of that count.
    budget: (f64, Micros),
    /// Datagrams that arrived while the process was suspended.
    inbox: Vec<(u16, Vec<u8>)>,
}

impl<M> Node<M> {
    /// The reading of the process's clock at a fleet time.
    pub fn local(&self, now: Micros) -> Micros {
        let (at, shown, rate) = self.clock;
        shown + (now.saturating_sub(at) as f64 * rate) as Micros
    }

    /// The fleet time at which the process's clock will show `local`.
    fn global(&self, local: Micros) -> Micros {
        let (at, shown, rate) = self.clock;
        at.saturating_add((local.saturating_sub(shown) as f64 / rate).ceil() as Micros)
    }
}

/// Tells whether a datagram from one process reaches another.
pub type Passes = Box<dyn Fn(u16, u16) -> bool + Send>;

/// A simulated fleet: processes and the network between them.
pub struct Fleet<M> {
    /// The fleet time, which no process can read.
    pub now: Micros,
    /// The processes, indexed by their number.
    pub nodes: Vec<Node<M>>,
    /// The random number generator for all random choices.
    pub random: Pcg64Mcg,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplicates: f64,
    /// The minimum network delay and the maximum random addition to it, in microseconds.
    pub delay: (Micros, Micros),
    /// Which process can reach which other.
    pub passes: Passes,
    /// A record of all messages, if a test needs it.
    pub transcript: Option<Transcript>,
    /// The first violated invariant, and the process that violated it.
    pub violation: Option<(u16, Violation)>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// The sequence number of the last queued event, which orders events of the same time.
    next_sequence: u64,
}

impl<M: Machine> Fleet<M> {
    /// Creates a fleet of `count` processes, none of which runs.
    pub fn new(count: u16, seed: u64) -> Fleet<M> {
        let node = |_| Node {
            machine: None,
            sent: (0, 0),
            paused_until: 0,
            clock: (0, 0, 1.0),
            next_tick: None,
            budget: (BUDGET_BURST, 0),
            inbox: Vec::new(),
        };
        Fleet {
            now: 3_600 * SECOND,
            nodes: (0..count).map(node).collect(),
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplicates: 0.0,
            delay: (1_000, 3_000),
            passes: Box::new(|_, _| true),
            transcript: None,
            violation: None,
            queue: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    /// Returns a random number below `limit`, or 0 if `limit` is 0.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        ((self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < probability
    }

    /// The current reading of a process's clock.
    pub fn local(&self, number: u16) -> Micros {
        self.nodes[usize::from(number)].local(self.now)
    }

    /// Sets the rate of a process's clock from now on, and moves it forward by `ahead` microseconds.
    pub fn set_clock(&mut self, number: u16, rate: f64, ahead: Micros) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(number)];
        node.clock = (now, node.local(now) + ahead, rate);
        node.next_tick = None;
        self.check_and_send(number);
    }

    /// Starts a process. `make` gets the reading of its clock.
    pub fn start(&mut self, number: u16, make: impl FnOnce(Micros) -> M) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(number)];
        let machine = make(node.local(now));
        (node.machine, node.next_tick, node.paused_until) = (Some(machine), None, 0);
        node.inbox.clear();
        self.check_and_send(number);
    }

    /// Kills a process.
    pub fn kill(&mut self, number: u16) {
        let node = &mut self.nodes[usize::from(number)];
        node.machine = None;
        node.inbox.clear();
    }

    /// Whether a process runs and is not suspended.
    pub fn awake(&self, number: u16) -> bool {
        let node = &self.nodes[usize::from(number)];
        node.machine.is_some() && node.paused_until <= self.now
    }

    /// Calls a function on the machine of a process and sends the machine's messages. None: the process does not run.
    pub fn with<R>(&mut self, number: u16, action: impl FnOnce(&mut M, Micros) -> R) -> Option<R> {
        let node = &mut self.nodes[usize::from(number)];
        let now = node.local(self.now);
        let result = node.machine.as_mut().map(|machine| action(machine, now));
        self.check_and_send(number);
        result
    }

    /// The machines of all running processes.
    pub fn machines(&self) -> impl Iterator<Item = &M> {
        self.nodes.iter().filter_map(|n| n.machine.as_ref())
    }

    /// Queues an event for a fleet time.
    fn queue_event(&mut self, at: Micros, event: Event) {
        self.next_sequence += 1;
        self.queue.push(Reverse((at, self.next_sequence, event)));
    }

    /// Checks the machine of a process, sends its messages, and queues its next tick.
    fn check_and_send(&mut self, number: u16) {
        let (now, count) = (self.now, self.nodes.len() as u64);
        let node = &mut self.nodes[usize::from(number)];
        let local = node.local(now);
        let Some(machine) = &mut node.machine else { return };
        if let (Err(violation), None) = (machine.check(local), &self.violation) {
            self.violation = Some((number, violation));
        }
        let mut messages = Vec::new();
        while let Some(message) = machine.poll_transmit() {
            messages.push(message);
        }
        let due = machine.poll_timeout();
        let at = node.global(due).max(now + 1);
        let sooner = node.next_tick.is_none_or(|t| at < t || t <= now);
        if sooner {
            node.next_tick = Some(at);
        }
        let bytes: u64 =
            messages.iter().map(|(_, content)| content.len() as u64 + OVERHEAD_BYTES).sum();
        node.budget.0 -= bytes as f64;
        node.sent = (node.sent.0 + bytes, node.sent.1 + messages.len() as u64);
        if sooner && at < Micros::MAX / 2 {
            self.queue_event(at, Event::Tick(number));
        }
        for (to, content) in messages {
            assert!(content.len() <= crate::MAX_MESSAGE_BYTES, "{} bytes", content.len());
            let to = to.unwrap_or_else(|| {
                let other = self.random.next_u64() % (count - 1).max(1);
                ((u64::from(number) + 1 + other) % count) as u16
            });
            if let Some(transcript) = &mut self.transcript {
                transcript.record(now, number, to, &content);
            }
            if usize::from(to) >= self.nodes.len()
                || !(self.passes)(number, to)
                || self.chance(self.loss)
            {
                continue;
            }
            for _ in 0..1 + usize::from(self.chance(self.duplicates)) {
                let delay = self.delay.0 + self.below(self.delay.1);
                self.queue_event(
                    now + delay,
                    Event::Arrival { to, from: number, content: content.clone() },
                );
            }
        }
    }

    /// Processes the next event.
    fn step(&mut self) {
        let Some(Reverse((at, _, event))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let now = self.now;
        let (Event::Arrival { to: number, .. } | Event::Tick(number)) = event;
        let node = &mut self.nodes[usize::from(number)];
        let local = node.local(now);
        let elapsed_s = now.saturating_sub(node.budget.1) as f64 / SECOND as f64;
        node.budget = ((node.budget.0 + elapsed_s * BUDGET_RATE).min(BUDGET_BURST), now);
        let Some(machine) = &mut node.machine else { return };
        if node.paused_until > now {
            match event {
                Event::Arrival { from, content, .. } => node.inbox.push((from, content)),
                Event::Tick(_) => {
                    let until = node.paused_until;
                    self.queue_event(until, Event::Tick(number));
                }
            }
            return;
        }
        machine.set_congested(node.budget.0 < BUDGET_BURST / 3.0);
        for (from, content) in std::mem::take(&mut node.inbox) {
            machine.handle(local, from, &content);
        }
        match event {
            Event::Arrival { from, content, .. } => machine.handle(local, from, &content),
            Event::Tick(_) => {
                if node.next_tick.is_some_and(|t| t <= now) {
                    node.next_tick = None;
                }
                if machine.poll_timeout() <= local {
                    machine.tick(local);
                }
            }
        }
        self.check_and_send(number);
    }

    /// The time of the next event. None: no event is queued.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Processes one event if it is due by `end`. False: there is none, and the fleet time is now `end`.
    pub fn step_until(&mut self, end: Micros) -> bool {
        let event_due = self.next_at().is_some_and(|at| at <= end);
        if event_due {
            self.step();
        } else {
            self.now = self.now.max(end);
        }
        event_due
    }

    /// Lets `duration` microseconds pass.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.step_until(end) {}
    }

    /// Runs until `condition` returns true, which is checked every 10 ms. Returns the time that it took, or None if it took
    /// longer than `timeout` microseconds.
    pub fn run_until(
        &mut self,
        timeout: Micros,
        condition: impl Fn(&Fleet<M>) -> bool,
    ) -> Option<Micros> {
        let begin = self.now;
        while !condition(self) {
            if self.now >= begin + timeout {
                return None;
            }
            self.run(SECOND / 100);
        }
        Some(self.now - begin)
    }
}
