//! Work budget of a server that has just started. The server falls over if it gets more work than the settings allow
//! plus a margin for random variation.

use std::collections::VecDeque;

use super::Micros;

/// Capacity of a cold server over time.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpCurve {
    /// Number of requests processed concurrently.
    pub slots: f64,
    /// Share of the full capacity at the start.
    pub share: f64,
    /// Time until full capacity.
    pub length: Micros,
}

impl WarmUpCurve {
    /// Share of the full capacity at an age.
    pub fn at(&self, age: Micros) -> f64 {
        match self.length {
            0 => 1.0,
            length => {
                let progress = (age as f64 / length as f64).min(1.0);
                self.share + (1.0 - self.share) * progress
            }
        }
    }

    /// The work that the server can do between two ages, in microseconds.
    fn between(&self, from: Micros, to: Micros) -> f64 {
        // Capacity grows linearly up to `length` and is constant afterwards, so each part is its length times the
        // mean of the capacity at its ends.
        let part = |from: Micros, to: Micros| {
            (to.saturating_sub(from)) as f64 * (self.at(from) + self.at(to)) / 2.0
        };
        let warm_at = self.length.clamp(from, to);
        self.slots * (part(from, warm_at) + part(warm_at, to))
    }
}

/// Tracks the work sent to a cold server.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    warm_up: WarmUpCurve,
    multiple: f64,
    window: Micros,
    sent: VecDeque<(Micros, Micros)>,
    sum: Micros,
    /// Mean work of a request, in microseconds.
    mean: f64,
    /// Highest work sent in any window, as a fraction of what the server tolerates.
    peak: f64,
}

/// Number of requests of mean work that a cold server tolerates if the settings allow `n`. The margin is twice the
/// standard deviation of independent arrivals, plus two.
pub fn tolerated_requests(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl ColdBudget {
    /// Creates a budget of `multiple` times the server's capacity in any window of `window` microseconds. `mean` is
    /// the mean work of a request.
    pub fn new(warm_up: WarmUpCurve, multiple: f64, window: Micros, mean: f64) -> ColdBudget {
        ColdBudget {
            warm_up,
            multiple,
            window,
            sent: VecDeque::new(),
            sum: 0,
            mean: mean.max(1.0),
            peak: 0.0,
        }
    }

    /// Adds work that arrives at an age of the server; returns whether the server falls over.
    pub fn add_work(&mut self, age: Micros, work: Micros) -> bool {
        self.sent.push_back((age, work));
        self.sum += work;
        while let Some(&(old, work)) = self.sent.front().filter(|s| s.0 + self.window <= age) {
            debug_assert!(old < age);
            self.sum -= work;
            self.sent.pop_front();
        }
        // A burst may use up a window early, so the window that begins with the oldest entry counts in full.
        let from = self.sent.front().map_or(age, |s| s.0);
        let capacity = self.warm_up.between(from, from + self.window);
        if age >= self.warm_up.length {
            return false;
        }
        let used = self.sum as f64
            / (tolerated_requests(self.multiple * capacity / self.mean) * self.mean);
        self.peak = self.peak.max(used);
        used > 1.0
    }

    /// Highest work sent in any window so far, as a fraction of what the server tolerates.
    pub fn peak(&self) -> f64 {
        self.peak
    }
}
