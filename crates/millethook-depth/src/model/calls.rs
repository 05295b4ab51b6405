//! Calls in progress and their attempts.

use std::collections::HashMap;

use super::queue::SidecarAt;
use super::server::ServerAt;
use crate::chain::Micros;

/// Identifies an attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The call's number.
    pub call: u64,
    /// The attempt's number within the call.
    pub number: usize,
}

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerAt,
    /// The time at which it was sent.
    pub sent: Micros,
    /// Whether its outcome is still outstanding.
    pub open: bool,
}

/// A call at a sidecar.
#[derive(Clone, Debug)]
pub struct Call {
    /// The sidecar.
    pub sidecar: SidecarAt,
    /// The server that made the call and the attempt that it was processing. None for a call at the root.
    pub caller: Option<(ServerAt, AttemptId)>,
    /// The attempts of the call.
    pub attempts: Vec<Attempt>,
    /// Whether the call has its final answer.
    pub ended: bool,
    /// Whether the call is counted in the tally.
    pub counted: bool,
}

/// Calls in progress, by number.
#[derive(Default)]
pub struct Calls {
    open: HashMap<u64, Call>,
    next: u64,
}

impl Calls {
    /// Adds a call and returns its number.
    pub fn add(&mut self, call: Call) -> u64 {
        self.next += 1;
        self.open.insert(self.next, call);
        self.next
    }

    /// Returns a call.
    pub fn get(&mut self, number: u64) -> Option<&mut Call> {
        self.open.get_mut(&number)
    }

    /// Removes a call that has its final answer and no outstanding attempt.
    pub fn forget(&mut self, number: u64) {
        let done = |call: &Call| call.ended && call.attempts.iter().all(|attempt| !attempt.open);
        if self.open.get(&number).is_some_and(done) {
            self.open.remove(&number);
        }
    }
}
