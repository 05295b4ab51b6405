//! Seeded streams of random numbers. Each part of a fleet has its own stream, so that removing one part does not change
//! the others.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Micros;

/// The purpose of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamKind {
    /// The clients of a sidecar: arrivals, classes, work.
    Clients,
    /// The attempts of a sidecar: delay, loss.
    Network,
    /// The delay with which lists reach a sidecar.
    Discovery,
    /// The seeds of a sidecar's decisions, one for each start.
    Decisions,
    /// The random errors that servers answer with.
    Servers,
    /// Generated plans.
    Plans,
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(ChaCha8Rng);

impl Stream {
    /// Creates the stream of one instance, given by its kind and number.
    pub fn new(seed: u64, kind: StreamKind, number: usize) -> Stream {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(((kind as u64) << 48) | number as u64);
        Stream(random)
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.random()
    }

    /// Returns a uniform number in [0, 1).
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }

    /// Returns true with the given probability. Draws no number for a probability of 0.
    pub fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.share() < probability
    }

    /// Returns a number below `count`, which must be above 0.
    pub fn below(&mut self, count: usize) -> usize {
        self.0.random_range(0..count)
    }

    /// Returns a number from `least` to `most`, inclusive.
    pub fn between(&mut self, min: u64, max: u64) -> u64 {
        self.0.random_range(min..=max)
    }

    /// Returns a duration up to `most`, inclusive.
    pub fn up_to(&mut self, max: Micros) -> Micros {
        if max == 0 { 0 } else { self.0.random_range(0..=max) }
    }

    /// Returns an exponentially distributed number with mean 1.
    pub fn exponential(&mut self) -> f64 {
        -(1.0 - self.share()).ln()
    }
}
