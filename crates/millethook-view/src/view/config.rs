//! Settings of a view.

use crate::Micros;
use crate::fact::Epoch;

/// Settings of a view.
#[derive(Clone, Copy, Debug)]
pub struct ViewConfig {
    /// The number of this member.
    pub me: u16,
    /// The number of members of the fleet, this one included; their numbers start at 0. At most 65,534.
    pub members: u16,
    /// The epoch of this process: Unix time at its start, in milliseconds.
    pub epoch: Epoch,
    /// Microseconds between two probes.
    pub period: Micros,
    /// The seed of random choices.
    pub seed: u64,
}
