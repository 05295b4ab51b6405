//! Combines the lateness of several servers into one number.

use smallvec::SmallVec;

use crate::api::Micros;

/// The number of servers whose lateness is kept: enough that a third of them is not a coincidence.
const MAX_SAMPLES: usize = 16;
/// The weight of assumed servers without lateness that are added to the samples.
const PRIOR_WEIGHT: f64 = 1.5;

/// The recent lateness of each server, and the lateness of the fleet that follows from it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lateness {
    samples: SmallVec<[(usize, f64, Micros); MAX_SAMPLES]>,
    level: f64,
    updated_at: Micros,
}

impl Lateness {
    /// Returns the lateness, decayed since the last observation.
    pub(crate) fn at(&self, now: Micros, decay_time: f64) -> f64 {
        self.level * (-(now.saturating_sub(self.updated_at) as f64) / decay_time).exp()
    }

    /// Returns whether an answer, or a missing one, was observed within the last `memory`.
    pub(crate) fn is_recent(&self, now: Micros, memory: f64) -> bool {
        (now.saturating_sub(self.updated_at) as f64) < memory
    }

    /// Records the lateness of a server. Each server counts once, and the latest third of the
    /// servers does not count: without this, a few failing servers look like an overload, and
    /// shedding for them refuses requests that the others could serve.
    pub(crate) fn observe(&mut self, now: Micros, memory: Micros, slot: usize, lateness: f64) {
        self.samples.retain(|&mut (_, _, t)| now - t < 3 * memory);
        let known = self.samples.iter().position(|s| s.0 == slot);
        let oldest = (0..self.samples.len()).min_by_key(|&i| self.samples[i].2);
        match (known, oldest) {
            (Some(i), _) => self.samples[i] = (slot, 0.5 * (self.samples[i].1 + lateness), now),
            (None, Some(i)) if self.samples.len() == MAX_SAMPLES => {
                self.samples[i] = (slot, lateness, now)
            }
            _ => self.samples.push((slot, lateness, now)),
        }
        let fresh = |s: &(usize, f64, Micros)| (-((now - s.2) as f64) / memory as f64).exp();
        let mut weighted: SmallVec<[(f64, f64); MAX_SAMPLES]> =
            self.samples.iter().map(|s| (s.1, fresh(s))).collect();
        weighted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        weighted.truncate(weighted.len() - weighted.len() / 3);
        // Without this prior, one late answer of two at a sidecar with little traffic looks like an
        // overload of the fleet.
        let weight: f64 = weighted.iter().map(|s| s.1).sum::<f64>() + PRIOR_WEIGHT;
        self.level = weighted.iter().map(|s| s.0 * s.1).sum::<f64>() / weight;
        self.updated_at = now;
    }
}

#[cfg(feature = "explore")]
impl Lateness {
    /// Adds all of the state to a fingerprint.
    pub(crate) fn fingerprint(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let Lateness { samples, level, updated_at } = self;
        for (slot, lateness, at) in samples {
            (slot, lateness.to_bits(), at).hash(hasher);
        }
        (samples.len(), level.to_bits(), updated_at).hash(hasher);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lateness.rs"]
mod tests;
