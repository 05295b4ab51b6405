//! Response times of stand-in servers.

use std::time::Duration;

use crate::random::Random;

/// The distribution of a response time.
#[derive(Clone, Copy, Debug)]
pub enum Delay {
    /// A constant time.
    Fixed(Duration),
    /// Uniform between the two bounds.
    Uniform(Duration, Duration),
    /// Exponential with this mean, as service times often are, and at most ten times the mean.
    Exponential(Duration),
}

impl Delay {
    /// Draws one response time.
    pub fn draw(&self, random: &mut Random) -> Duration {
        match *self {
            Delay::Fixed(t) => t,
            Delay::Uniform(from, to) => from + to.saturating_sub(from).mul_f64(random.uniform()),
            Delay::Exponential(mean) => {
                mean.mul_f64((-(1.0 - random.uniform()).ln()).clamp(0.0, 10.0))
            }
        }
    }
}
