//! Weighted random selection: a search in the running sums of the weights.

/// Server slots and the running sums of their weights; both vectors have the same length.
#[derive(Clone, Debug, Default)]
pub(crate) struct WeightedSlots {
    pub(crate) slots: Vec<usize>,
    pub(crate) sums: Vec<f64>,
}

impl WeightedSlots {
    /// Returns the running sums of the slots' weights.
    pub(crate) fn running_sums(&self, weight: impl Fn(usize) -> f64) -> Vec<f64> {
        let weights = self.slots.iter().map(|&slot| weight(slot));
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        sums.collect()
    }

    /// Returns the slot whose interval of the sums contains `u` from `[0, 1)`, scaled to the total.
    /// Requires at least one slot.
    pub(crate) fn select(&self, u: f64) -> usize {
        let target = u * self.sums.last().copied().unwrap_or(0.0);
        let index = self.sums.partition_point(|&sum| sum <= target);
        self.slots[index.min(self.slots.len() - 1)]
    }
}

/// Hashes a number (the finalizer of splitmix64).
pub(crate) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
#[path = "../tests/unit/weighted.rs"]
mod tests;
