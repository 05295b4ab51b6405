//! Hashes of the document states that sidecars report.

use millethook_machine::hash::mix;

use crate::Version;
use crate::message::Status;

/// A hash of statuses, computed in the same way at the sidecar and at its control nodes.
pub(crate) fn hash_of_statuses(statuses: &[Status]) -> u64 {
    statuses.iter().fold(mix(statuses.len() as u64), |hash, status| {
        let of = u64::from(status.key.compact()) << 8 | u64::from(status.state.number());
        mix(hash ^ hash_of_version(status.version) ^ mix(of))
    })
}

/// A hash of a version.
pub(crate) fn hash_of_version(version: Version) -> u64 {
    let token = version.token;
    let low = u64::from(token.counter) << 32 | u64::from(version.counter);
    mix(mix(token.epoch << 16 | u64::from(token.owner)) ^ low)
}
