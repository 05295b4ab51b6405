//! Reproducible random numbers (splitmix64).

/// A random number generator.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// A random 64-bit number.
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// A random number below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.bits() % n.max(1)
    }

    /// A random number from 0 (inclusive) to 1 (exclusive).
    pub fn uniform(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }
}
