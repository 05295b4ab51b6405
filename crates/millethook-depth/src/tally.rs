//! The result of a chain's run.

/// Counts over the counted time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// Calls at the root.
    pub calls: u64,
    /// Calls at the root that were served.
    pub served: u64,
    /// Attempts that arrived at each tier's servers, including refused ones.
    pub attempts: Vec<u64>,
    /// Attempts that each tier's servers processed.
    pub worked: Vec<u64>,
}

impl Tally {
    /// Creates an empty tally for this number of tiers.
    pub fn new(depth: usize) -> Tally {
        Tally { attempts: vec![0; depth], worked: vec![0; depth], ..Tally::default() }
    }

    /// Attempts that arrived at a tier, for each call at the root.
    pub fn attempts_at(&self, tier: usize) -> f64 {
        self.attempts.get(tier).map_or(0.0, |count| self.of_one_call(*count))
    }

    /// Attempts that a tier processed, for each call at the root.
    pub fn worked_at(&self, tier: usize) -> f64 {
        self.worked.get(tier).map_or(0.0, |count| self.of_one_call(*count))
    }

    /// Attempts for each call at the root, at the tier that gets the most.
    pub fn most_attempts(&self) -> f64 {
        (0..self.attempts.len()).map(|tier| self.attempts_at(tier)).fold(0.0, f64::max)
    }

    /// Share of calls at the root that were served.
    pub fn served_share(&self) -> f64 {
        self.of_one_call(self.served)
    }

    fn of_one_call(&self, count: u64) -> f64 {
        count as f64 / self.calls.max(1) as f64
    }
}
