//! The fleet's own records of requests and their attempts. The judge reads them; the decisions never see them.

use coppercart::api::ServerId;
use millethook_explore::step::Ending;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use super::event::SidecarLife;
use crate::Micros;

/// An attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server that it is sent to.
    pub server: usize,
    /// The server ID that the decisions chose.
    pub named: ServerId,
    /// The zone of the server.
    pub zone: u8,
    /// When it was sent.
    pub sent: Micros,
    /// When it times out.
    pub until: Micros,
    /// The total pause time of its sidecar when it was sent.
    pub paused: Micros,
    /// The version of the server list that its sidecar had when it was sent.
    pub told: usize,
    /// Whether it has been cancelled.
    pub cancelled: bool,
    /// Its outcome for its sidecar.
    pub ending: Option<Ending>,
}

impl Attempt {
    /// Returns whether its sidecar still waits for its outcome.
    pub fn is_out(&self) -> bool {
        self.ending.is_none()
    }

    /// Returns whether it may have been executed, or may still be, as far as its sidecar can know.
    pub fn may_have_run(&self) -> bool {
        !self.ending.is_some_and(Ending::proves_not_run)
    }
}

/// A request and its attempts.
#[derive(Clone, Debug)]
pub struct Request {
    /// The sidecar's process that accepted it.
    pub instance: SidecarLife,
    /// Its class.
    pub class: usize,
    /// Its work at a warm server.
    pub work: Micros,
    /// When it arrived.
    pub arrived: Micros,
    /// Until when its client waits.
    pub deadline: Micros,
    /// The total pause time of its sidecar when it arrived.
    pub paused: Micros,
    /// Whether it has its final answer or its client has left.
    pub ended: bool,
    /// Whether its client has left.
    pub gone: bool,
    /// Its attempts, in order.
    pub attempts: SmallVec<[Attempt; 1]>,
    /// Attempts that servers hold or that are in transit to them.
    pub at_servers: u32,
    /// The zones of the servers where it took effect.
    pub effects: SmallVec<[u8; 2]>,
}

/// All open requests.
#[derive(Debug, Default)]
pub struct Requests {
    open: FxHashMap<u64, Request>,
    next: u64,
}

impl Requests {
    /// Adds a request and returns its number.
    pub fn add(&mut self, request: Request) -> u64 {
        self.next += 1;
        self.open.insert(self.next, request);
        self.next
    }

    /// Returns the request with this number.
    pub fn get(&self, number: u64) -> Option<&Request> {
        self.open.get(&number)
    }

    /// Returns the request with this number for modification.
    pub fn get_mut(&mut self, number: u64) -> Option<&mut Request> {
        self.open.get_mut(&number)
    }

    /// Removes a request that no further event can concern.
    pub fn forget(&mut self, number: u64) {
        let is_finished = |request: &Request| {
            request.ended
                && request.at_servers == 0
                && !request.attempts.iter().any(Attempt::is_out)
        };
        if self.open.get(&number).is_some_and(is_finished) {
            self.open.remove(&number);
        }
    }

    /// Returns the numbers of the requests of a sidecar's process, in ascending order.
    pub fn of(&self, instance: SidecarLife) -> Vec<u64> {
        let own = self.open.iter().filter(|(_, request)| request.instance == instance);
        let mut numbers: Vec<u64> = own.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the numbers of the requests without a final answer, in ascending order.
    pub fn unanswered(&self) -> Vec<u64> {
        let open = self.open.iter().filter(|(_, request)| !request.ended);
        let mut numbers: Vec<u64> = open.map(|(number, _)| *number).collect();
        numbers.sort_unstable();
        numbers
    }
}
