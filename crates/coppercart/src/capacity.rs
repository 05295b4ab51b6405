//! The capacity of the listed servers, relative to the capacity that recently carried the load.

use crate::api::Micros;

/// The decay time of lost capacity, in multiples of a server's slow start period: a server that
/// starts as a replacement is warm by then.
const DECAY_WARM_UPS: f64 = 4.0;

/// Capacity in units of one warm server of average power.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Capacity {
    /// The current capacity of the servers.
    current: f64,
    /// The highest capacity that recently carried the load; decays towards the current one.
    recent_peak: f64,
    observed_at: Micros,
}

impl Capacity {
    /// Updates the current capacity. `warm_up_time` is the duration of a server's slow start. While
    /// there are no servers, nothing carries the load and nothing is forgotten.
    pub(crate) fn observe(&mut self, now: Micros, warm_up_time: Micros, current: f64) {
        let elapsed = now.saturating_sub(self.observed_at) as f64;
        (self.current, self.observed_at) = (current, now);
        if current > 0.0 {
            let span = DECAY_WARM_UPS * warm_up_time.max(1) as f64;
            let decay = (-elapsed / span).exp();
            let excess = (self.recent_peak - current).max(0.0);
            self.recent_peak = current + excess * decay;
        }
    }

    /// Returns the current capacity as a share of the recent peak, from 0 to 1.
    pub(crate) fn remaining_share(&self) -> f64 {
        if self.recent_peak > 0.0 { self.current / self.recent_peak } else { 1.0 }
    }
}

#[cfg(feature = "explore")]
impl Capacity {
    /// Adds all of the state to a fingerprint.
    pub(crate) fn fingerprint(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let Capacity { current, recent_peak, observed_at } = self;
        (current.to_bits(), recent_peak.to_bits(), observed_at).hash(hasher);
    }
}

#[cfg(test)]
#[path = "../tests/unit/capacity.rs"]
mod tests;
