//! Many state machines on one virtual clock. The network between them loses, delays, duplicates and cuts, and each
//! process has a clock of its own that drifts and jumps. After each step the machine's own `check()` has to hold.

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
/// Bytes that a datagram has beside its content: the headers of frame and record.
pub const OVERHEAD_BYTES: u64 = 15;
/// The sending budget of one process in bytes a second, as the daemon has it.
const RATE: f64 = 1_500.0;
/// The bytes that a process may save up.
const BURST: f64 = 3_000.0;

/// A state machine that exchanges messages with others of its kind.
pub trait Machine {
    /// Takes a message of a member.
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]);
    /// Does what is due at `now`.
    fn tick(&mut self, now: Micros);
    /// When `tick` has to be called next.
    fn poll_timeout(&self) -> Micros;
    /// The next message and its receiver; None as the receiver: any other process.
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)>;
    /// Tells whether the sending budget is short.
    fn set_congested(&mut self, _congested: bool) {}
    /// Checks the invariants of the machine.
    ///
    /// # Errors
    /// The first invariant that does not hold.
    fn check(&self, _now: Micros) -> Result<(), Violation> {
        Ok(())
    }
}

/// What happens next to a process.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrives { to: u16, from: u16, content: Vec<u8> },
    Tick(u16),
}

/// One process.
pub struct Node<M> {
    /// Its state machine; None: it does not run.
    pub machine: Option<M>,
    /// Bytes and datagrams that it has sent.
    pub sent: (u64, u64),
    /// It is suspended until then; datagrams that arrive meanwhile wait.
    pub paused_until: Micros,
    /// Its clock: a time of the fleet, what the clock showed then, and its rate.
    clock: (Micros, Micros, f64),
    /// When its next tick is queued.
    ticking: Option<Micros>,
    /// Bytes of its budget that are left, and when they were counted.
    left: (f64, Micros),
    /// Datagrams that arrived while it was suspended.
    inbox: Vec<(u16, Vec<u8>)>,
}

impl<M> Node<M> {
    /// What its clock shows at a time of the fleet.
    pub fn local(&self, now: Micros) -> Micros {
        let (at, shown, rate) = self.clock;
        shown + (now.saturating_sub(at) as f64 * rate) as Micros
    }

    /// When its clock will show a time.
    fn global(&self, local: Micros) -> Micros {
        let (at, shown, rate) = self.clock;
        at.saturating_add((local.saturating_sub(shown) as f64 / rate).ceil() as Micros)
    }
}

/// Whether a datagram from one process to another gets through.
pub type Passes = Box<dyn Fn(u16, u16) -> bool + Send>;

/// Many processes and the network between them.
pub struct Fleet<M> {
    /// The time of the fleet, which no process sees.
    pub now: Micros,
    /// Processes by number.
    pub nodes: Vec<Node<M>>,
    /// The source of all random choices.
    pub random: Pcg64Mcg,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of datagrams that arrive twice.
    pub duplicates: f64,
    /// The least time on the way, and how much longer it may be at most, in microseconds.
    pub delay: (Micros, Micros),
    /// Which datagrams get through.
    pub passes: Passes,
    /// A record of all messages, if a test asks for it.
    pub transcript: Option<Transcript>,
    /// The first invariant that was found broken, and by which process.
    pub violation: Option<(u16, Violation)>,
    queue: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    next: u64,
}

impl<M: Machine> Fleet<M> {
    /// `count` processes, none of which runs.
    pub fn new(count: u16, seed: u64) -> Fleet<M> {
        let node = |_| Node {
            machine: None,
            sent: (0, 0),
            paused_until: 0,
            clock: (0, 0, 1.0),
            ticking: None,
            left: (BURST, 0),
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
            next: 0,
        }
    }

    /// A random number below `most`; 0 if that is 0.
    pub fn below(&mut self, most: u64) -> u64 {
        self.random.next_u64() % most.max(1)
    }

    /// True with this probability.
    pub fn chance(&mut self, of: f64) -> bool {
        ((self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64) < of
    }

    /// What the clock of a process shows.
    pub fn local(&self, number: u16) -> Micros {
        self.nodes[usize::from(number)].local(self.now)
    }

    /// Sets the rate of a process's clock from now on, and moves it forward by `ahead` microseconds.
    pub fn set_clock(&mut self, number: u16, rate: f64, ahead: Micros) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(number)];
        node.clock = (now, node.local(now) + ahead, rate);
        node.ticking = None;
        self.after(number);
    }

    /// Starts a process; `make` is given what its clock shows.
    pub fn start(&mut self, number: u16, make: impl FnOnce(Micros) -> M) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(number)];
        let machine = make(node.local(now));
        (node.machine, node.ticking, node.paused_until) = (Some(machine), None, 0);
        node.inbox.clear();
        self.after(number);
    }

    /// Ends a process at once.
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

    /// Calls a function on the machine of a process, and sends what it has to send; None: the process does not run.
    pub fn with<R>(&mut self, number: u16, act: impl FnOnce(&mut M, Micros) -> R) -> Option<R> {
        let node = &mut self.nodes[usize::from(number)];
        let now = node.local(self.now);
        let done = node.machine.as_mut().map(|machine| act(machine, now));
        self.after(number);
        done
    }

    /// The machines of all processes that run.
    pub fn machines(&self) -> impl Iterator<Item = &M> {
        self.nodes.iter().filter_map(|n| n.machine.as_ref())
    }

    /// Queues what happens at a time.
    fn push(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, due)));
    }

    /// Checks the machine of a process, sends its messages, and queues its next tick.
    fn after(&mut self, number: u16) {
        let (now, count) = (self.now, self.nodes.len() as u64);
        let node = &mut self.nodes[usize::from(number)];
        let local = node.local(now);
        let Some(machine) = &mut node.machine else { return };
        if let (Err(violation), None) = (machine.check(local), &self.violation) {
            self.violation = Some((number, violation));
        }
        let mut out = Vec::new();
        while let Some(message) = machine.poll_transmit() {
            out.push(message);
        }
        let due = machine.poll_timeout();
        let at = node.global(due).max(now + 1);
        let sooner = node.ticking.is_none_or(|t| at < t || t <= now);
        if sooner {
            node.ticking = Some(at);
        }
        let bytes: u64 = out.iter().map(|(_, c)| c.len() as u64 + OVERHEAD_BYTES).sum();
        node.left.0 -= bytes as f64;
        node.sent = (node.sent.0 + bytes, node.sent.1 + out.len() as u64);
        if sooner && at < Micros::MAX / 2 {
            self.push(at, Due::Tick(number));
        }
        for (to, content) in out {
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
                self.push(now + delay, Due::Arrives { to, from: number, content: content.clone() });
            }
        }
    }

    /// Lets the next thing happen.
    fn step(&mut self) {
        let Some(Reverse((at, _, due))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let now = self.now;
        let (Due::Arrives { to: number, .. } | Due::Tick(number)) = due;
        let node = &mut self.nodes[usize::from(number)];
        let local = node.local(now);
        let passed = now.saturating_sub(node.left.1) as f64 / SECOND as f64;
        node.left = ((node.left.0 + passed * RATE).min(BURST), now);
        let Some(machine) = &mut node.machine else { return };
        if node.paused_until > now {
            match due {
                Due::Arrives { from, content, .. } => node.inbox.push((from, content)),
                Due::Tick(_) => {
                    let until = node.paused_until;
                    self.push(until, Due::Tick(number));
                }
            }
            return;
        }
        machine.set_congested(node.left.0 < BURST / 3.0);
        for (from, content) in std::mem::take(&mut node.inbox) {
            machine.handle(local, from, &content);
        }
        match due {
            Due::Arrives { from, content, .. } => machine.handle(local, from, &content),
            Due::Tick(_) => {
                if node.ticking.is_some_and(|t| t <= now) {
                    node.ticking = None;
                }
                if machine.poll_timeout() <= local {
                    machine.tick(local);
                }
            }
        }
        self.after(number);
    }

    /// When the next thing happens; None: nothing is queued.
    pub fn next_at(&self) -> Option<Micros> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Lets one thing happen, if it happens by `end`; false: nothing does, and the clock shows `end`.
    pub fn step_until(&mut self, end: Micros) -> bool {
        let more = self.next_at().is_some_and(|at| at <= end);
        if more {
            self.step();
        } else {
            self.now = self.now.max(end);
        }
        more
    }

    /// Lets `length` microseconds pass.
    pub fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.step_until(end) {}
    }

    /// Runs until `good` returns true, which is asked every hundredth of a second; the time that it took, or None: it
    /// was not within `most` microseconds.
    pub fn run_until(&mut self, most: Micros, good: impl Fn(&Fleet<M>) -> bool) -> Option<Micros> {
        let begin = self.now;
        while !good(self) {
            if self.now >= begin + most {
                return None;
            }
            self.run(SECOND / 100);
        }
        Some(self.now - begin)
    }
}
