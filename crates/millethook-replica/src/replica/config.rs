//! Settings of a replica.

use crate::{Epoch, Micros};

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConfig {
    /// The number of this member.
    pub me: u16,
    /// The number of members of the fleet.
    pub members: u16,
    /// The epoch of this process.
    pub epoch: Epoch,
    /// The zone of this member. Only reports of members of this zone count, since another zone may reach servers that
    /// this one does not.
    pub zone: u8,
    /// Microseconds between comparisons with a random peer.
    pub period: Micros,
    /// Microseconds after which a server with an unanswered attempt counts as silent.
    pub silence: Micros,
    /// The seed of random choices.
    pub seed: u64,
}
