//! Many replicas on a virtual clock, with a network between them that loses, delays, doubles and cuts.

// Each program that includes this uses a part of it.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use millethook_replica::{Micros, Replica, ReplicaConfig, Seen, Standing, To};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const S: Micros = 1_000_000;
/// Servers are numbered from 1 on; this is the process of each that is listed at first.
pub const BORN: u64 = 1_700_000_000_000;
/// What a datagram costs beside its content: the frame's header and the record's.
pub const OVERHEAD: u64 = 15;
/// The budget of one process in bytes a second, and what it may save up, as the daemon has them.
const RATE: f64 = 1_500.0;
const BURST: f64 = 3_000.0;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrives { to: u16, from: u16, content: Vec<u8> },
    Tick(u16),
}

pub struct Node {
    pub replica: Option<Replica>,
    pub bytes: u64,
    ticking: Option<Micros>,
    left: (f64, Micros),
    pub paused_until: Micros,
    inbox: Vec<(u16, Vec<u8>)>,
}

pub struct Sim {
    pub now: Micros,
    pub nodes: Vec<Node>,
    servers: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    next: u64,
    pub random: Pcg64Mcg,
    pub loss: f64,
    pub duplicates: f64,
    /// Whether a datagram from the one to the other gets through.
    pub passes: Box<dyn Fn(u16, u16) -> bool>,
    /// Of the process that was started last.
    pub epoch: u64,
}

impl Sim {
    /// Processes that have all listed the same servers.
    pub fn new(count: u16, servers: u64, seed: u64) -> Sim {
        let node = |_| Node {
            replica: None,
            bytes: 0,
            ticking: None,
            left: (BURST, 0),
            paused_until: 0,
            inbox: Vec::new(),
        };
        let mut sim = Sim {
            now: 3_600 * S,
            nodes: (0..count).map(node).collect(),
            servers,
            queue: BinaryHeap::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplicates: 0.0,
            passes: Box::new(|_, _| true),
            epoch: BORN,
        };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    pub fn start(&mut self, number: u16) {
        self.epoch += 1 + self.random.next_u64() % 1_000;
        let config = ReplicaConfig {
            me: number,
            members: self.nodes.len() as u16,
            epoch: self.epoch,
            zone: 0,
            period: S,
            silence: S / 2,
            seed: self.random.next_u64(),
        };
        let mut replica = Replica::new(config, self.now);
        (1..=self.servers).for_each(|server| replica.listed(self.now, server, BORN));
        self.nodes[usize::from(number)].replica = Some(replica);
        self.after(number);
    }

    /// A restart that the view has seen: three others tell it what they hold.
    pub fn restart(&mut self, number: u16) {
        self.start(number);
        let count = self.nodes.len() as u16;
        let present = |n: &u16| self.nodes[usize::from(*n)].replica.is_some();
        let others: Vec<u16> =
            (1..count).map(|n| (number + n) % count).filter(present).take(3).collect();
        for (part, other) in others.into_iter().enumerate() {
            self.with(other, |replica, now| replica.welcome(now, number, part, 3));
        }
    }

    pub fn with(&mut self, number: u16, act: impl FnOnce(&mut Replica, Micros)) {
        let now = self.now;
        if let Some(replica) = &mut self.nodes[usize::from(number)].replica {
            act(replica, now);
        }
        self.after(number);
    }

    /// A sidecar has had this end of an attempt twice, one after the other.
    pub fn saw(&mut self, number: u16, server: u64, seen: Seen) {
        for _ in 0..2 {
            self.run(1_000);
            self.with(number, |replica, now| replica.saw(now, server, now - 500, seen));
        }
    }

    fn push(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, due)));
    }

    fn after(&mut self, number: u16) {
        let (now, count) = (self.now, self.nodes.len() as u64);
        let node = &mut self.nodes[usize::from(number)];
        let Some(replica) = &mut node.replica else { return };
        let mut out = Vec::new();
        while let Some(message) = replica.poll_transmit() {
            out.push(message);
        }
        while replica.poll_event().is_some() {}
        let at = replica.poll_timeout().max(now + 1);
        let sooner = node.ticking.is_none_or(|t| at < t || t <= now);
        if sooner {
            node.ticking = Some(at);
        }
        let bytes: u64 = out.iter().map(|(_, c)| c.len() as u64 + OVERHEAD).sum();
        node.left.0 -= bytes as f64;
        node.bytes += bytes;
        if sooner {
            self.push(at, Due::Tick(number));
        }
        for (to, content) in out {
            assert!(content.len() <= millethook_replica::LONGEST);
            let to = match to {
                To::Peer(to) => to,
                To::Anyone => {
                    let other =
                        (u64::from(number) + 1 + self.random.next_u64() % (count - 1)) % count;
                    other as u16
                }
            };
            let chance =
                |random: &mut Pcg64Mcg| (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            if !(self.passes)(number, to) || chance(&mut self.random) < self.loss {
                continue;
            }
            for _ in 0..1 + usize::from(chance(&mut self.random) < self.duplicates) {
                let delay = 1_000 + self.random.next_u64() % 3_000;
                self.push(now + delay, Due::Arrives { to, from: number, content: content.clone() });
            }
        }
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, due))) = self.queue.pop() else { return };
        self.now = self.now.max(at);
        let now = self.now;
        let (Due::Arrives { to: number, .. } | Due::Tick(number)) = due;
        let node = &mut self.nodes[usize::from(number)];
        let passed = now.saturating_sub(node.left.1) as f64 / S as f64;
        node.left = ((node.left.0 + passed * RATE).min(BURST), now);
        let Some(replica) = &mut node.replica else { return };
        if node.paused_until > now {
            match due {
                Due::Arrives { from, content, .. } => node.inbox.push((from, content)),
                Due::Tick(_) => {
                    self.push(self.nodes[usize::from(number)].paused_until, Due::Tick(number))
                }
            }
            return;
        }
        replica.set_congested(node.left.0 < BURST / 3.0);
        for (from, content) in std::mem::take(&mut node.inbox) {
            replica.handle(now, from, &content).expect("a message");
        }
        match due {
            Due::Arrives { from, content, .. } => {
                replica.handle(now, from, &content).expect("a message")
            }
            Due::Tick(_) => {
                if node.ticking.is_some_and(|t| t <= now) {
                    node.ticking = None;
                }
                if replica.poll_timeout() <= now {
                    replica.tick(now);
                }
            }
        }
        self.after(number);
    }

    pub fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs until something holds, looked at every hundredth of a second; how long it took, or None: not in time.
    pub fn run_until(&mut self, most: Micros, good: impl Fn(&Sim) -> bool) -> Option<Micros> {
        let begin = self.now;
        while !good(self) {
            if self.now >= begin + most {
                return None;
            }
            self.run(S / 100);
        }
        Some(self.now - begin)
    }

    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.iter().filter_map(|n| n.replica.as_ref())
    }

    /// Whether all copies are equal.
    pub fn agree(&self) -> bool {
        let mut hashes = self.replicas().map(|r| r.hash(self.now));
        let first = hashes.next();
        hashes.all(|h| Some(h) == first)
    }

    /// How many take a server for this.
    pub fn stand(&self, server: u64, standing: Standing) -> usize {
        self.replicas().filter(|r| r.standing(server) == standing).count()
    }
}
