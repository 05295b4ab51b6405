//! One process of a virtual fleet: its leases, and an effect that it is about to carry out.

use millethook_lease::{JobId, Lease, Micros, Token, Violation};
use millethook_machine::sim::Machine;

/// An effect on its way to the resource that the job changes.
#[derive(Clone, Debug)]
pub struct Effect {
    pub job: JobId,
    pub token: Token,
}

/// One process.
pub struct Worker {
    pub lease: Lease,
    /// An effect for which it has checked its lease, and which it has not carried out yet.
    pub pending_effect: Option<Effect>,
    /// Whether its invariants are checked after each step, which takes most of the time in a large fleet.
    checked: bool,
}

impl Worker {
    pub fn new(lease: Lease) -> Worker {
        Worker { lease, pending_effect: None, checked: true }
    }

    /// A worker whose invariants are not checked.
    pub fn unchecked(lease: Lease) -> Worker {
        Worker { checked: false, ..Worker::new(lease) }
    }
}

impl Machine for Worker {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        self.lease.handle(now, from, content);
    }
    fn tick(&mut self, now: Micros) {
        self.lease.tick(now);
    }
    fn poll_timeout(&self) -> Micros {
        self.lease.poll_timeout()
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        while self.lease.poll_event().is_some() {}
        self.lease.poll_transmit().map(|(to, content)| (Some(to), content))
    }
    fn set_congested(&mut self, congested: bool) {
        self.lease.set_congested(congested);
    }
    fn check(&self, now: Micros) -> Result<(), Violation> {
        if self.checked { self.lease.check(now) } else { Ok(()) }
    }
}
