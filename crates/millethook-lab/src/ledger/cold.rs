//! The budget of a server that has just started: sent more than the settings allow it, and what chance may add, it
//! falls over.

use std::collections::VecDeque;

use super::Micros;

/// What a cold server can do over time.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpCurve {
    /// Requests in work at once.
    pub slots: f64,
    /// The share of its capacity that it has at the start.
    pub share: f64,
    /// How long until it has all of it.
    pub length: Micros,
}

impl WarmUpCurve {
    /// Its share of the full capacity at an age.
    pub fn at(&self, age: Micros) -> f64 {
        match self.length {
            0 => 1.0,
            length => {
                let grown = (age as f64 / length as f64).min(1.0);
                self.share + (1.0 - self.share) * grown
            }
        }
    }

    /// The work that it can do between two ages, in microseconds.
    fn between(&self, from: Micros, to: Micros) -> f64 {
        // Capacity grows evenly up to `length` and stands from there on: the mean of both ends of each part.
        let part = |from: Micros, to: Micros| {
            (to.saturating_sub(from)) as f64 * (self.at(from) + self.at(to)) / 2.0
        };
        let bend = self.length.clamp(from, to);
        self.slots * (part(from, bend) + part(bend, to))
    }
}

/// Counts what a cold server is sent.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    warm_up: WarmUpCurve,
    multiple: f64,
    window: Micros,
    sent: VecDeque<(Micros, Micros)>,
    sum: Micros,
    /// The mean work of a request, in microseconds.
    mean: f64,
    /// The most that it was sent in any window, over what it bears.
    peak: f64,
}

/// How many requests of mean work a cold server bears where the settings allow it `n`: what chance adds is
/// twice the deviation of arrivals that do not know of one another, and two more.
pub fn tolerated_requests(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

impl ColdBudget {
    /// A budget of `multiple` times what the server can do in any window of so many microseconds.
    /// `mean` is the mean work of a request.
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

    /// One more piece of work at an age. True: the server falls over.
    pub fn send(&mut self, age: Micros, work: Micros) -> bool {
        self.sent.push_back((age, work));
        self.sum += work;
        while let Some(&(old, work)) = self.sent.front().filter(|s| s.0 + self.window <= age) {
            debug_assert!(old < age);
            self.sum -= work;
            self.sent.pop_front();
        }
        // A burst may use a window up early: the window that begins with the oldest piece counts in full.
        let from = self.sent.front().map_or(age, |s| s.0);
        let can = self.warm_up.between(from, from + self.window);
        if age >= self.warm_up.length {
            return false;
        }
        let used =
            self.sum as f64 / (tolerated_requests(self.multiple * can / self.mean) * self.mean);
        self.peak = self.peak.max(used);
        used > 1.0
    }

    /// The most that it was sent in any window so far, over what it bears.
    pub fn peak(&self) -> f64 {
        self.peak
    }
}
