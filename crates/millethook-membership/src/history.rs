//! The rate at which servers of a fleet leave, estimated from the changes of its lists.
//!
//! The model has one rate for all servers: a server that was confirmed a time `t` ago still exists with the probability
//! `exp(-rate * t)`. The rate is estimated as departures divided by server-time, with a gamma prior whose mean is one
//! departure in [`PRIOR_MS`]. Both sums decay with the time constant [`DECAY_MS`], so that a release an hour ago counts
//! almost fully and one last week hardly counts.

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::mutant::{self, Mutant};

/// Server-time of the prior in milliseconds: one departure in 30 days.
const PRIOR_MS: f64 = 30.0 * DAY_MS;
/// The time constant of the exponential decay in milliseconds.
const DECAY_MS: f64 = 2.0 * DAY_MS;
const DAY_MS: f64 = 86_400_000.0;

/// Departures, and the server-time in which they happened. Both decay exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct History {
    departed: f64,
    server_ms: f64,
}

impl History {
    /// Adds an observation: `departed` of `present` servers have left within `elapsed_ms` milliseconds.
    pub fn observe(&mut self, elapsed_ms: u64, present: usize, departed: usize) {
        let decay = (-(elapsed_ms as f64) / DECAY_MS).exp();
        if mutant::is(Mutant::HistoryFalls) {
            self.departed -= departed as f64;
            return;
        }
        self.departed = self.departed * decay + departed as f64;
        self.server_ms = self.server_ms * decay + present as f64 * elapsed_ms as f64;
    }

    /// Departures per server and millisecond.
    fn rate(&self) -> f64 {
        (self.departed + 1.0) / (self.server_ms + PRIOR_MS)
    }

    /// The probability that a server which was last confirmed at `confirmed` still exists. 0 if the clock was set back
    /// in between, because the age is unknown then.
    pub fn survival(&self, confirmed: UnixMs, now: UnixMs) -> f64 {
        match now.checked_sub(confirmed) {
            Some(age) => (-self.rate() * age as f64).exp(),
            None => 0.0,
        }
    }

    /// Whether both sums are finite and not negative. Values read from a file may be anything.
    pub fn is_sound(&self) -> bool {
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        sound(self.departed) && sound(self.server_ms)
    }
}

#[cfg(test)]
mod tests;
