//! Settings of a member.

use crate::Micros;

/// Settings of a member. All but `me`, `epoch` and `seed` have to be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The number of this member in the list of members.
    pub me: u16,
    /// The epoch of this process: milliseconds of Unix time at its start.
    pub epoch: u64,
    /// Acceptors of each job: 3, 5 or 7. A majority of them grants a lease.
    pub acceptors: usize,
    /// The longest lease, in microseconds, 65 s at most. A process that has started grants nothing for this time.
    pub max_lease: Micros,
    /// How long a replaced list of members counts at most, in microseconds. By then every member has to have the new
    /// one.
    pub change_timeout: Micros,
    /// The greatest difference between the speed of a clock and true time: 0.01 is one part in a hundred.
    pub max_drift: f64,
    /// The seed of the random waits.
    pub seed: u64,
}
