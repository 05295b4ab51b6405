//! The faults that a stand-in server has at present.

use crate::timeline::EventKind;

/// What is wrong with a server. Shares are of its requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// This share is answered 500.
    pub errors: f64,
    /// Work takes so many times as long.
    pub slow: f64,
    /// Nothing is answered.
    pub silent: bool,
    /// In place of this share of the answers the connection is reset.
    pub reset: f64,
    /// In the middle of this share of the answers the connection is reset.
    pub breaks: f64,
    /// Ahead of this share of the answers comes a copy of the one before on the connection.
    pub twice: f64,
    /// The work in hand is dropped once its client has ended its side.
    pub drops_work: bool,
    /// Everything is turned away.
    pub full: bool,
    /// It drains.
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
    /// Takes a condition on, or gets rid of it.
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
