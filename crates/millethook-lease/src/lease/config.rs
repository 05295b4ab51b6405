//! Settings of a member.

use crate::Micros;

/// Settings of a member. All but `me`, `epoch` and `seed` must be the same at all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The number of this member in the member list.
    pub me: u16,
    /// The epoch of this process: Unix time at its start, in milliseconds.
    pub epoch: u64,
    /// The number of acceptors of each job: 3, 5 or 7. A majority of them grants a lease.
    pub acceptors: usize,
    /// The maximum length of a lease, in microseconds, 65 s at most. A newly started process grants nothing for this
    /// time.
    pub max_lease: Micros,
    /// How long a replaced member list counts at most, in microseconds. By then every member must have the new list.
    pub change_timeout: Micros,
    /// The greatest difference between the speed of a clock and true time: 0.01 is one part in a hundred.
    pub max_drift: f64,
    /// The seed of random waits.
    pub seed: u64,
}
