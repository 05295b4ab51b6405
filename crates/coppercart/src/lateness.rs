//! How late the answers of several servers are, as one figure.

use smallvec::SmallVec;

use crate::api::Micros;

/// Servers whose lateness is kept in view: enough that a third of them is no chance.
const SIGHTS: usize = 16;
/// Servers in time that are taken for granted beside those in view.
const PRIOR_WEIGHT: f64 = 1.5;

/// How late each server's last answers were, and what this says of the fleet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lateness {
    sights: SmallVec<[(usize, f64, Micros); SIGHTS]>,
    level: f64,
    since: Micros,
}

impl Lateness {
    /// The level, faded since it was last observed.
    pub(crate) fn at(&self, now: Micros, fades: f64) -> f64 {
        self.level * (-(now.saturating_sub(self.since) as f64) / fades).exp()
    }

    /// Whether an answer, or its absence, was observed within the last `memory`.
    pub(crate) fn is_recent(&self, now: Micros, memory: f64) -> bool {
        (now.saturating_sub(self.since) as f64) < memory
    }

    /// Without this, a few sick servers look like an overload, and shedding for them refuses what the others
    /// could serve. Each server counts once, and the latest third does not count.
    pub(crate) fn observe(&mut self, now: Micros, memory: Micros, slot: usize, late: f64) {
        self.sights.retain(|&mut (_, _, t)| now - t < 3 * memory);
        let known = self.sights.iter().position(|s| s.0 == slot);
        let oldest = (0..self.sights.len()).min_by_key(|&i| self.sights[i].2);
        match (known, oldest) {
            (Some(i), _) => self.sights[i] = (slot, 0.5 * (self.sights[i].1 + late), now),
            (None, Some(i)) if self.sights.len() == SIGHTS => self.sights[i] = (slot, late, now),
            _ => self.sights.push((slot, late, now)),
        }
        let fresh = |s: &(usize, f64, Micros)| (-((now - s.2) as f64) / memory as f64).exp();
        let mut seen: SmallVec<[(f64, f64); SIGHTS]> =
            self.sights.iter().map(|s| (s.1, fresh(s))).collect();
        seen.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        seen.truncate(seen.len() - seen.len() / 3);
        // Without this prior, one late answer of two at a quiet sidecar looks like an overload of the fleet.
        let weight: f64 = seen.iter().map(|s| s.1).sum::<f64>() + PRIOR_WEIGHT;
        self.level = seen.iter().map(|s| s.0 * s.1).sum::<f64>() / weight;
        self.since = now;
    }
}

#[cfg(feature = "explore")]
impl Lateness {
    /// Adds all of the state to a fingerprint.
    pub(crate) fn fingerprint(&self, hasher: &mut impl std::hash::Hasher) {
        use std::hash::Hash;
        let Lateness { sights, level, since } = self;
        for (slot, late, at) in sights {
            (slot, late.to_bits(), at).hash(hasher);
        }
        (sights.len(), level.to_bits(), since).hash(hasher);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lateness.rs"]
mod tests;
