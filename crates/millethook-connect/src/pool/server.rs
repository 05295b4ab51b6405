//! The connections to one server.

use std::collections::VecDeque;
use std::time::Instant;

use super::Reuse;
use crate::mutant::{self, Mutant};
use crate::observations::ServerObservations;

/// An idle connection, or one in quarantine.
#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) connection: C,
    pub(super) idle_since: Instant,
    pub(super) quarantined_until: Instant,
}

/// The connections to one server, and what was observed of them.
#[derive(Debug)]
pub(super) struct Server<C> {
    /// In the order in which they became idle.
    pub(super) idle: VecDeque<IdleConnection<C>>,
    pub(super) opening: usize,
    pub(super) in_use: usize,
    /// The server has left: none of its connections is kept.
    pub(super) removed: bool,
    /// The number of consecutive windows without a connection.
    pub(super) empty_windows: u32,
    /// The peaks of connections in use in this window and in the last one.
    pub(super) peak: usize,
    pub(super) last_peak: usize,
    pub(super) observations: ServerObservations,
}

impl<C> Default for Server<C> {
    fn default() -> Server<C> {
        Server {
            idle: VecDeque::new(),
            opening: 0,
            in_use: 0,
            removed: false,
            empty_windows: 0,
            peak: 0,
            last_peak: 0,
            observations: ServerObservations::default(),
        }
    }
}

impl<C> Server<C> {
    /// The number of connections in all states.
    pub(super) fn connection_count(&self) -> usize {
        self.idle.len() + self.opening + self.in_use
    }

    /// Whether a connection that has carried an answer may carry another request.
    pub(super) fn may_reuse(&self, reuse: Reuse, now: Instant) -> bool {
        !self.answers_need_proof(reuse, now)
            || self.observations.announces_close(now)
            || mutant::is(Mutant::ReusedWithoutProof)
    }

    /// Whether it has to be proven that an answer on a reused connection belongs to its request.
    pub(super) fn answers_need_proof(&self, reuse: Reuse, now: Instant) -> bool {
        reuse == Reuse::Proven || self.observations.answers_need_proof(now)
    }

    /// Counts one more connection in use.
    pub(super) fn mark_in_use(&mut self) {
        self.in_use += 1;
        self.peak = self.peak.max(self.in_use);
    }
}
