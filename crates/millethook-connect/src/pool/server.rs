//! The connections to one server.

use std::collections::VecDeque;
use std::time::Instant;

use super::Reuse;
use crate::mutant::{self, Mutant};
use crate::observations::ServerObservations;

#[derive(Debug)]
pub(super) struct IdleConnection<C> {
    pub(super) connection: C,
    pub(super) since: Instant,
    pub(super) quarantined_until: Instant,
}

#[derive(Debug)]
pub(super) struct Server<C> {
    /// The one that came to rest first stands first.
    pub(super) resting: VecDeque<IdleConnection<C>>,
    pub(super) opening: usize,
    pub(super) in_use: usize,
    /// It has left: nothing of it is kept.
    pub(super) gone: bool,
    /// Spans in a row in which it had no connection.
    pub(super) unused: u32,
    /// The most in use at once in this span and in the last one.
    pub(super) peak: usize,
    pub(super) last_peak: usize,
    pub(super) observations: ServerObservations,
}

impl<C> Default for Server<C> {
    fn default() -> Server<C> {
        Server {
            resting: VecDeque::new(),
            opening: 0,
            in_use: 0,
            gone: false,
            unused: 0,
            peak: 0,
            last_peak: 0,
            observations: ServerObservations::default(),
        }
    }
}

impl<C> Server<C> {
    pub(super) fn all(&self) -> usize {
        self.resting.len() + self.opening + self.in_use
    }

    /// Whether a connection that has carried an answer may carry a request.
    pub(super) fn may_reuse(&self, reuse: Reuse, now: Instant) -> bool {
        !self.answers_need_proof(reuse, now)
            || self.observations.announces_close(now)
            || mutant::is(Mutant::ReusedUnproven)
    }

    /// Whether an answer on a used connection has to be proven its request's own.
    pub(super) fn answers_need_proof(&self, reuse: Reuse, now: Instant) -> bool {
        reuse == Reuse::Proven || self.observations.answers_need_proof(now)
    }

    pub(super) fn use_one(&mut self) {
        self.in_use += 1;
        self.peak = self.peak.max(self.in_use);
    }
}
