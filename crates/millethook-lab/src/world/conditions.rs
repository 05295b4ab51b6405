//! The faults that are active on a stand-in server.

use crate::timeline::EventKind;

/// Active faults of a server. Shares are fractions of its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// Share of requests answered with status 500.
    pub errors: f64,
    /// Factor by which processing takes longer.
    pub slow: f64,
    /// No request is answered.
    pub silent: bool,
    /// Share of requests for which the connection is reset instead of an answer.
    pub reset: f64,
    /// Share of answers that are cut off in the middle by a connection reset.
    pub breaks: f64,
    /// Share of answers that are preceded by a copy of the connection's previous answer.
    pub twice: f64,
    /// Processing of a request stops when its client closes the connection.
    pub drops_work: bool,
    /// All requests are rejected.
    pub full: bool,
    /// The server is draining.
    pub draining: bool,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            errors: 0.0,
            slow: 1.0,
            silent: false,
            reset: 0.0,
            breaks: 0.0,
            twice: 0.0,
            drops_work: false,
            full: false,
            draining: false,
        }
    }
}

impl Conditions {
    /// Activates or deactivates a fault.
    pub(super) fn set(&mut self, kind: EventKind, amount: f64, on: bool) {
        match kind {
            EventKind::Errors => self.errors = if on { amount } else { 0.0 },
            EventKind::Slow => self.slow = if on { amount } else { 1.0 },
            EventKind::Silent => self.silent = on,
            EventKind::Reset => self.reset = if on { amount } else { 0.0 },
            EventKind::BreakAnswers => self.breaks = if on { amount } else { 0.0 },
            EventKind::AnswerTwice => self.twice = if on { amount } else { 0.0 },
            EventKind::DropWork => self.drops_work = on,
            EventKind::Full => self.full = on,
            _ => {}
        }
    }
}
