//! Counters of a run with processes.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use crate::chain::Chain;
use crate::tally::Tally;

/// Counts events within the counted time.
pub struct Counters {
    /// Time from the start of the run to the start of counting, and the length of counting.
    warm_up: Duration,
    counted: Duration,
    state: Mutex<State>,
}

struct State {
    started_at: Option<Instant>,
    tally: Tally,
}

impl Counters {
    /// Creates counters for a run that has not started.
    pub fn new(chain: &Chain) -> Counters {
        Counters {
            warm_up: Duration::from_micros(chain.warm_up),
            counted: Duration::from_micros(chain.counted),
            state: Mutex::new(State { started_at: None, tally: Tally::new(chain.depth) }),
        }
    }

    /// Starts the run: the first call is sent now.
    pub fn start(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).started_at = Some(Instant::now());
    }

    /// Applies a change to the tally if the current time is within the counted time, and returns whether it is.
    pub fn count(&self, change: impl FnOnce(&mut Tally)) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(age) = state.started_at.map(|started_at| started_at.elapsed()) else {
            return false;
        };
        let counted = age >= self.warm_up && age < self.warm_up + self.counted;
        if counted {
            change(&mut state.tally);
        }
        counted
    }

    /// Counts a call as served; the call itself must have been counted.
    pub fn add_served(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).tally.served += 1;
    }

    /// Returns the counts.
    pub fn tally(&self) -> Tally {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).tally.clone()
    }
}
