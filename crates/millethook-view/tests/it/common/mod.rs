//! Many views on a virtual clock, with a network between them that loses, delays, duplicates and partitions.

// Each program that includes this module uses a part of it.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use millethook_machine::sim::Transcript;
use millethook_view::{Event, Micros, Status, View, ViewConfig};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const SECOND: Micros = 1_000_000;
/// Time between two probes.
pub const PERIOD: Micros = SECOND;
/// Overhead of a datagram beside its content, in bytes: the frame's header and the record's.
pub const OVERHEAD: u64 = 15;

/// In fleets of up to this size, each view is checked after each step.
const MAX_CHECKED_FLEET: usize = 64;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Pending {
    Delivery { to: u16, from: u16, epoch: u64, content: Vec<u8> },
    Tick(u16),
}

pub struct Node {
    pub view: Option<View>,
    /// The member does not run before this time.
    pub paused_until: Micros,
    /// Messages that came while it was paused.
    inbox: Vec<(u16, u64, Vec<u8>)>,
    /// Bytes that the member has sent.
    pub bytes: u64,
    pub datagrams: u64,
    ticking: Option<Micros>,
    /// The remaining send budget in bytes, and when it was computed.
    send_budget: (f64, Micros),
}

/// The send budget of one process in bytes per second, and its maximum burst, as in the daemon.
const RATE: f64 = 1_500.0;
const BURST: f64 = 3_000.0;

impl Node {
    /// Tells the view whether the budget is nearly used up, as the channel does.
    fn update_budget(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.send_budget.1) as f64 / SECOND as f64;
        self.send_budget = ((self.send_budget.0 + passed * RATE).min(BURST), now);
        if let Some(view) = &mut self.view {
            view.set_congested(self.send_budget.0 < BURST / 3.0);
        }
    }
}

pub struct Sim {
    pub now: Micros,
    pub nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Pending)>>,
    next: u64,
    random: Pcg64Mcg,
    pub loss: f64,
    pub duplicates: f64,
    /// The minimum and maximum delay of datagrams.
    pub delay: (Micros, Micros),
    /// Whether a datagram from the first member to the second gets through.
    pub passes: Box<dyn Fn(u16, u16) -> bool>,
    /// The events of views, with the time and the member.
    pub events: Vec<(Micros, u16, Event)>,
    epoch: u64,
    pub record_events: bool,
    /// Every message, if a test asks for it.
    pub transcript: Option<Transcript>,
}

impl Sim {
    pub fn new(count: u16, seed: u64) -> Sim {
        let node = |_| Node {
            view: None,
            paused_until: 0,
            inbox: Vec::new(),
            bytes: 0,
            datagrams: 0,
            ticking: None,
            send_budget: (BURST, 0),
        };
        Sim {
            now: SECOND,
            nodes: (0..count).map(node).collect(),
            queue: BinaryHeap::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplicates: 0.0,
            delay: (1_000, 4_000),
            passes: Box::new(|_, _| true),
            events: Vec::new(),
            epoch: 1_800_000_000_000,
            record_events: true,
            transcript: None,
        }
    }

    /// A fleet of members that were started at once and have converged.
    pub fn converged(count: u16, seed: u64) -> Sim {
        let mut sim = Sim::new(count, seed);
        (0..count).for_each(|n| sim.start(n));
        sim.run_until(200 * SECOND, |sim| sim.agree()).expect("a fleet that starts agrees");
        sim.events.clear();
        sim
    }

    /// A fleet in which all members know all others, for fleets so large that their start would take this program an
    /// hour. Each member receives the table in parts, as a new member does, and then messages with the same hash from
    /// some others.
    pub fn with_full_tables(count: u16, seed: u64) -> Sim {
        let mut sim = Sim::new(count, seed);
        sim.record_events = false;
        let epoch = sim.epoch;
        let numbers: Vec<u16> = (0..count).collect();
        let message = |what: u8, hash: u32, numbers: &[u16]| {
            // See src/message.rs: a header that is zero except for the epoch, and facts with that epoch.
            let mut bytes = vec![what, 0, 0];
            bytes.extend_from_slice(&hash.to_be_bytes());
            bytes.extend_from_slice(&[0, 0, 0xff, 0xff]);
            bytes.extend_from_slice(&epoch.to_be_bytes()[2..]);
            for number in numbers {
                bytes.extend_from_slice(&number.to_be_bytes());
                bytes.extend_from_slice(&[1, 0, 0, 0, 0]);
            }
            bytes
        };
        let pieces: Vec<Vec<u8>> = numbers.chunks(32).map(|some| message(5, 0, some)).collect();
        for me in 0..count {
            sim.start_at(me, epoch);
            let now = sim.now;
            let others: Vec<u16> = (1..8).map(|n| (me + n) % count).collect();
            let Some(view) = &mut sim.nodes[usize::from(me)].view else { continue };
            for piece in &pieces {
                view.handle(now, others[0], epoch, piece).expect("a piece");
            }
            let same = message(6, view.hash(), &[]);
            for other in others {
                view.handle(now, other, epoch, &same).expect("a message");
            }
            while view.poll_event().is_some() {}
            while view.poll_transmit().is_some() {}
        }
        assert!(sim.agree());
        sim
    }

    fn chance(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn start(&mut self, number: u16) {
        // Clocks of hosts differ, but the processes of one host are in order.
        self.epoch += 1 + self.random.next_u64() % 1_000;
        self.start_at(number, self.epoch);
    }

    pub fn start_at(&mut self, number: u16, epoch: u64) {
        let members = self.nodes.len() as u16;
        let seed = self.random.next_u64();
        let config = ViewConfig { me: number, members, epoch, period: PERIOD, seed };
        let node = &mut self.nodes[usize::from(number)];
        node.view = Some(View::new(config, self.now));
        node.inbox.clear();
        node.paused_until = 0;
        self.flush(number);
    }

    pub fn kill(&mut self, number: u16) {
        self.nodes[usize::from(number)].view = None;
    }

    pub fn pause(&mut self, number: u16, length: Micros) {
        self.nodes[usize::from(number)].paused_until = self.now + length;
        self.push(self.now + length, Pending::Tick(number));
    }

    pub fn leave(&mut self, number: u16) {
        let now = self.now;
        if let Some(view) = &mut self.nodes[usize::from(number)].view {
            view.leave(now);
        }
        self.flush(number);
        self.kill(number);
    }

    fn push(&mut self, at: Micros, due: Pending) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, due)));
    }

    /// Sends the queued messages of a view, and schedules its next call.
    fn flush(&mut self, number: u16) {
        let (now, count) = (self.now, self.nodes.len());
        let mut out = Vec::new();
        let node = &mut self.nodes[usize::from(number)];
        let Some(view) = &mut node.view else { return };
        if count <= MAX_CHECKED_FLEET {
            assert_eq!(view.check(), Ok(()), "member {number}");
        }
        let epoch = view.epoch();
        while let Some(message) = view.poll_transmit() {
            out.push(message);
        }
        while let Some(event) = view.poll_event() {
            if self.record_events {
                self.events.push((now, number, event));
            }
        }
        let at = view.poll_timeout().max(now + 1);
        let sooner = node.ticking.is_none_or(|t| at < t || t <= now);
        if sooner {
            node.ticking = Some(at);
        }
        node.send_budget.0 -=
            out.iter().map(|(_, c)| c.len() as f64 + OVERHEAD as f64).sum::<f64>();
        node.bytes += out.iter().map(|(_, c)| c.len() as u64 + OVERHEAD).sum::<u64>();
        node.datagrams += out.len() as u64;
        if sooner {
            self.push(at, Pending::Tick(number));
        }
        for (to, content) in out {
            assert!(content.len() <= millethook_view::LONGEST);
            if let Some(transcript) = &mut self.transcript {
                transcript.record(now, number, to, &content);
            }
            if !(self.passes)(number, to) || self.chance() < self.loss {
                continue;
            }
            let copies = 1 + usize::from(self.chance() < self.duplicates);
            for _ in 0..copies {
                let (min_delay, max_delay) = self.delay;
                let delay = min_delay + self.random.next_u64() % (max_delay - min_delay).max(1);
                let content = content.clone();
                self.push(now + delay, Pending::Delivery { to, from: number, epoch, content });
            }
        }
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, _, due))) = self.queue.pop() else { return false };
        self.now = self.now.max(at);
        let now = self.now;
        match due {
            Pending::Delivery { to, from, epoch, content } => {
                let node = &mut self.nodes[usize::from(to)];
                if node.paused_until > now {
                    node.inbox.push((from, epoch, content));
                    return true;
                }
                node.update_budget(now);
                let Some(view) = &mut node.view else { return true };
                view.handle(now, from, epoch, &content).expect("a message");
                self.flush(to);
            }
            Pending::Tick(number) => {
                let node = &mut self.nodes[usize::from(number)];
                if node.paused_until > now {
                    return true;
                }
                let inbox = std::mem::take(&mut node.inbox);
                if node.ticking.is_some_and(|t| t <= now) {
                    node.ticking = None;
                }
                node.update_budget(now);
                let Some(view) = &mut node.view else { return true };
                if view.poll_timeout() <= now {
                    view.tick(now);
                }
                for (from, epoch, content) in inbox {
                    view.handle(now, from, epoch, &content).expect("a message");
                }
                self.flush(number);
            }
        }
        true
    }

    pub fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until the condition holds, checked every tenth of a second. Returns how long it took; None: not in time.
    pub fn run_until(&mut self, limit: Micros, condition: impl Fn(&Sim) -> bool) -> Option<Micros> {
        let begin = self.now;
        while !condition(self) {
            if self.now >= begin + limit {
                return None;
            }
            self.run(SECOND / 10);
        }
        Some(self.now - begin)
    }

    pub fn views(&self) -> impl Iterator<Item = &View> {
        self.nodes.iter().filter_map(|n| n.view.as_ref())
    }

    /// Whether all running members agree, and believe exactly the running members alive.
    pub fn agree(&self) -> bool {
        let mut hashes = self.views().map(View::hash);
        let first = hashes.next();
        let same = hashes.all(|h| Some(h) == first);
        let running = self.views().count();
        same && self.views().next().is_none_or(|view| {
            let counts = view.counts();
            let live = |n: usize| view.member(n as u16).is_some_and(|m| m.status.is_present());
            counts.alive + counts.suspect == running
                && self.nodes.iter().enumerate().all(|(n, node)| node.view.is_none() || live(n))
        })
    }

    /// How many times a running process was declared dead by another.
    pub fn count_declared_dead(&self, running: impl Fn(u16) -> bool) -> usize {
        let dead =
            |e: &&(Micros, u16, Event)| e.2.new_status == Status::Dead && running(e.2.number);
        self.events.iter().filter(dead).count()
    }
}
