//! Many replicas on the common virtual clock.

// Each program that includes this module uses a part of it.
#![allow(dead_code)]

use std::ops::{Deref, DerefMut};

use millethook_machine::Violation;
pub use millethook_machine::sim::SECOND;
use millethook_machine::sim::{Fleet, Machine};
use millethook_replica::{Micros, ObservedOutcome, Replica, ReplicaConfig, ServerStatus};

/// The epoch of each server's process that is listed at first. Servers are numbered from 1 on.
pub const SERVER_EPOCH: u64 = 1_700_000_000_000;

/// A replica as the virtual fleet drives it.
pub struct SimReplica(pub Replica);

impl Machine for SimReplica {
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
    fleet: Fleet<SimReplica>,
    servers: u64,
    /// The epoch of the process that was started last.
    pub epoch: u64,
}

impl Deref for Sim {
    type Target = Fleet<SimReplica>;
    fn deref(&self) -> &Fleet<SimReplica> {
        &self.fleet
    }
}

impl DerefMut for Sim {
    fn deref_mut(&mut self) -> &mut Fleet<SimReplica> {
        &mut self.fleet
    }
}

impl Sim {
    /// A fleet whose processes have all listed the same servers.
    pub fn new(count: u16, servers: u64, seed: u64) -> Sim {
        let mut sim = Sim { fleet: Fleet::new(count, seed), servers, epoch: SERVER_EPOCH };
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
            (1..=servers).for_each(|server| replica.on_server_listed(now, server, SERVER_EPOCH));
            SimReplica(replica)
        });
    }

    /// Restarts a member as the view has seen it: three others send it their state.
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
        self.assert_no_violation();
        self.fleet.with(number, |simulated, now| act(&mut simulated.0, now));
    }

    /// Ends two consecutive attempts of a sidecar with this outcome.
    pub fn end_two_attempts(&mut self, number: u16, server: u64, outcome: ObservedOutcome) {
        for _ in 0..2 {
            self.run(1_000);
            self.with(number, |replica, now| {
                replica.on_attempt_ended(now, server, now - 500, outcome)
            });
        }
    }

    /// Runs until the condition holds, checked every hundredth of a second. Returns how long it took; None: not in
    /// time.
    pub fn run_until(&mut self, limit: Micros, condition: impl Fn(&Sim) -> bool) -> Option<Micros> {
        let begin = self.now;
        self.assert_no_violation();
        while !condition(self) {
            self.assert_no_violation();
            if self.now >= begin + limit {
                return None;
            }
            self.run(SECOND / 100);
        }
        Some(self.now - begin)
    }

    pub fn replica(&self, number: u16) -> &Replica {
        &self.nodes[usize::from(number)].machine.as_ref().expect("the member is running").0
    }

    pub fn replicas(&self) -> impl Iterator<Item = &Replica> {
        self.machines().map(|simulated| &simulated.0)
    }

    /// Asserts that no machine has found a violated invariant so far.
    pub fn assert_no_violation(&self) {
        assert_eq!(self.violation, None);
    }

    /// Whether all copies are equal.
    pub fn agree(&self) -> bool {
        let mut hashes = self.replicas().map(|r| r.hash(self.now));
        let first = hashes.next();
        hashes.all(|h| Some(h) == first)
    }

    /// The number of members at which a server has this status.
    pub fn count_with_status(&self, server: u64, status: ServerStatus) -> usize {
        self.replicas().filter(|r| r.server_status(server) == status).count()
    }
}
