//! Log lines about single requests: why one failed, and what became of its attempts.

use std::net::SocketAddr;
use std::time::Instant;

use coppercart::api::{Micros, Outcome, RequestId};

use super::{Driver, Ticket};

/// How far an answer had come when its attempt ended.
#[derive(Clone, Copy, Debug)]
pub(super) enum AnswerState {
    /// Nothing that can be passed on had arrived.
    NotBegun,
    /// Part of it had arrived, and its client had nothing of it.
    Begun,
    /// Its client had part of it.
    PassedOn,
}

/// How an attempt ended.
pub(super) struct AttemptFailure {
    pub address: SocketAddr,
    pub outcome: Outcome,
    pub answer: AnswerState,
    pub latency: Micros,
}

impl AttemptFailure {
    /// Whether it is a failure of a server or of the network, or cuts an answer off.
    fn is_fault(&self) -> bool {
        match self.outcome {
            Outcome::Served | Outcome::Full | Outcome::NeverSent | Outcome::Cancelled => false,
            Outcome::Error | Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => true,
        }
    }
}

impl Driver {
    /// Logs why an attempt brought no complete answer.
    pub(super) fn log_failed_attempt(
        &self,
        id: RequestId,
        attempt: usize,
        failure: &AttemptFailure,
    ) {
        if !failure.is_fault() {
            return;
        }
        let Some(suppressed) = self.log_limit.admit(Instant::now()) else { return };
        tracing::info!(
            event = "attempt_failed",
            request = id.0,
            attempt,
            server = %failure.address,
            outcome = ?failure.outcome,
            answer = ?failure.answer,
            latency_ms = failure.latency / 1000,
            suppressed,
            "no complete answer"
        );
    }

    /// Logs that an answer is passed on before it is complete because its client's time is up.
    pub(super) fn log_answer_at_deadline(&self, id: RequestId, attempt: usize) {
        let Some(suppressed) = self.log_limit.admit(Instant::now()) else { return };
        tracing::info!(
            event = "answer_at_deadline",
            request = id.0,
            attempt,
            suppressed,
            "the client's time is up: what has arrived is passed on"
        );
    }

    /// Logs that a request failed. `correlation_id`: the id by which its client knows it.
    pub fn log_failed_request(&self, ticket: &Ticket, correlation_id: &str) {
        let Some(suppressed) = self.log_limit.admit(Instant::now()) else { return };
        tracing::info!(
            event = "request_failed",
            request = ticket.id.0,
            correlation_id,
            suppressed,
            "the request failed; it may have run"
        );
    }
}
