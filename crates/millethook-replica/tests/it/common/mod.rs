//! Many replicas on the common virtual clock.

// Each program that includes this uses a part of it.
#![allow(dead_code)]

use std::ops::{Deref, DerefMut};

use millethook_machine::Violation;
pub use millethook_machine::sim::SECOND;
use millethook_machine::sim::{Fleet, Machine};
use millethook_replica::{Micros, ObservedOutcome, Replica, ReplicaConfig, ServerStatus};

/// Servers are numbered from 1 on; this is the process of each that is listed at first.
pub const BORN: u64 = 1_700_000_000_000;

/// A replica as the fleet drives it.
pub struct Held(pub Replica);

impl Machine for Held {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        self.0.handle(now, from, content).expect("a message");
    }
    fn tick(&mut self, now: Micros) {
        self.0.tick(now);
    }
    fn poll_timeout(&self) -> Micros {
        self.0.poll_timeout()
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        while self.0.poll_event().is_some() {}
        let (to, content) = self.0.poll_transmit()?;
        Some((to.resolve(|| None), content))
    }
    fn set_congested(&mut self, congested: bool) {
        self.0.set_congested(congested);
    }
    fn check(&self, now: Micros) -> Result<(), Violation> {
        self.0.check(now)
    }
}

pub struct Sim {
    fleet: Fleet<Held>,
    servers: u64,
    /// Of the process that was started last.
    pub epoch: u64,
}

impl Deref for Sim {
    type Target = Fleet<Held>;
    fn deref(&self) -> &Fleet<Held> {
        &self.fleet
    }
}

impl DerefMut for Sim {
    fn deref_mut(&mut self) -> &mut Fleet<Held> {
        &mut self.fleet
    }
}

impl Sim {
    /// Processes that have all listed the same servers.
    pub fn new(count: u16, servers: u64, seed: u64) -> Sim {
        let mut sim = Sim { fleet: Fleet::new(count, seed), servers, epoch: BORN };
        (0..count).for_each(|n| sim.start(n));
        sim
    }

    pub fn start(&mut self, number: u16) {
        self.epoch += 1 + self.fleet.below(1_000);
        let config = ReplicaConfig {
            me: number,
            members: self.nodes.len() as u16,
            epoch: self.epoch,
            zone: 0,
            period: SECOND,
            silence: SECOND / 2,
            seed: self.fleet.below(u64::MAX),
        };
        let servers = self.servers;
        self.fleet.start(number, |now| {
            let mut replica = Replica::new(config, now);
            (1..=servers).for_each(|server| replica.on_server_listed(now, server, BORN));
            Held(replica)
        });
    }

    /// A restart that the view has seen: three others tell it what they hold.
    pub fn restart(&mut self, number: u16) {
        self.start(number);
        let count = self.nodes.len() as u16;
        let present = |n: &u16| self.nodes[usize::from(*n)].machine.is_some();
        let others: Vec<u16> =
            (1..count).map(|n| (number + n) % count).filter(present).take(3).collect();
        for (part, other) in others.into_iter().enumerate() {
            self.with(other, |replica, now| replica.send_state(now, number, part, 3));
        }
    }

    pub fn with(&mut self, number: u16, act: impl FnOnce(&mut Replica, Micros)) {
        self.sound();
        self.fleet.with(number, |held, now| act(&mut held.0, now));
    }

    /// Two attempts of a sidecar, one after the other, have this outcome.
    pub fn end_two_attempts(&mut self, number: u16, server: u64, outcome: ObservedOutcome) {
        for _ in 0..2 {
            self.run(1_000);
            self.with(number, |replica, now| {
                replica.on_attempt_ended(now, server, now - 500, outcome)
            });
        }
    }

    /// Runs until something holds, looked at every hundredth of a second; how long it took, or None: not in time.
    pub fn run_until(&mut self, most: Micros, good: impl Fn(&Sim) -> bool) -> Option<Micros> {
        let begin = self.now;
        self.sound();
        while !good(self) {
            self.sound();
            if self.now >= begin + most {
                return None;
            }
            self.run(SECOND / 100);
        }
        Some(self.now - begin)
    }

    pub fn replica(&self, number: u16) -> &Replica {
        &self.nodes[usize::from(number)].machine.as_ref().expect("it runs").0
    }

    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.machines().map(|held| &held.0)
    }

    /// No machine has found a rule broken so far.
    pub fn sound(&self) {
        assert_eq!(self.violation, None);
    }

    /// Whether all copies are equal.
    pub fn agree(&self) -> bool {
        let mut hashes = self.replicas().map(|r| r.hash(self.now));
        let first = hashes.next();
        hashes.all(|h| Some(h) == first)
    }

    /// How many take a server for this.
    pub fn stand(&self, server: u64, status: ServerStatus) -> usize {
        self.replicas().filter(|r| r.server_status(server) == status).count()
    }
}
