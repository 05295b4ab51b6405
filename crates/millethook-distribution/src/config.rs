//! Configuration of the distribution of documents.

use std::collections::BTreeSet;

use millethook_machine::Micros;

use crate::Identity;

/// The maximum number of server lists that one sidecar may subscribe to.
pub const MAX_LISTS: usize = 64;

/// A member that is configured as a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlMember {
    /// Its member number.
    pub number: u16,
    /// Its region.
    pub region: u32,
    /// Its zone.
    pub zone: u32,
}

/// Limits and intervals. The defaults are those that the design note measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of documents that a control node stores, including retractions.
    pub documents: usize,
    /// The maximum total size of committed contents at a control node, in bytes. Contents that are being accepted and
    /// previous contents come on top: three times as much in the worst case, and 8 MiB of earlier contents from which
    /// deltas are made.
    pub bytes: usize,
    /// The maximum send rate of a control node in bytes a second, without datagram headers.
    pub rate: u32,
    /// The maximum number of sidecars that a control node serves. It does not answer further sidecars, which then try
    /// other control nodes.
    pub subscribers: usize,
    /// The interval in microseconds, jittered by a quarter, at which a sidecar reports the versions that it has.
    pub digest_interval: Micros,
    /// The time after its start during which a control node does not vote, because it has forgotten its earlier votes.
    /// A round of the writer is valid for four fifths of this time. See `docs/design/distribution.md`.
    pub silence: Micros,
    /// The time after its start at which a control node votes even if it has learned only from a majority in which some
    /// control nodes have just started, too; 0: never. Documents that a majority had accepted may then be lost. This
    /// covers the case that a majority of control nodes was down at the same time and one of them stays down.
    pub give_up_after: Micros,
    /// A change is stopped if more than this share of the sidecars that it is for refuse it...
    pub refused_share: f64,
    /// ...and at least this many do.
    pub refused_least: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            documents: 4_096,
            bytes: 32 * 1024 * 1024,
            rate: 16_000_000,
            subscribers: 16_384,
            digest_interval: 1_000_000,
            silence: 6_000_000,
            give_up_after: 60_000_000,
            refused_share: 0.02,
            refused_least: 2,
        }
    }
}

/// Configuration of one member. `members`, `control_nodes` and `limits` are the same at all members.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionConfig {
    /// The member number of this process.
    pub me: u16,
    /// The number of members of the fleet; they are numbered from 0.
    pub members: u16,
    /// The control nodes. A majority of them is required for each decision.
    pub control_nodes: Vec<ControlMember>,
    /// The location of this member.
    pub identity: Identity,
    /// The numbers of the services whose server lists this sidecar subscribes to, at most [`MAX_LISTS`]. They may
    /// differ between members. A control node ignores this field for itself.
    pub lists: Vec<u32>,
    /// Limits and intervals.
    pub limits: Limits,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// Why a configuration is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The sidecar subscribes to more lists than allowed.
    #[error("lists of servers: found {found}, at most {MAX_LISTS} expected")]
    TooManyLists {
        /// The number of distinct lists.
        found: usize,
    },
}

impl DistributionConfig {
    /// Checks the limits that the host has to observe. [`crate::Subscriber::new`] uses only the first [`MAX_LISTS`]
    /// lists of a configuration that was not checked.
    ///
    /// # Errors
    ///
    /// Returns the first limit that is exceeded.
    pub fn check(&self) -> Result<(), ConfigError> {
        let found = self.lists.iter().collect::<BTreeSet<_>>().len();
        if found > MAX_LISTS {
            return Err(ConfigError::TooManyLists { found });
        }
        Ok(())
    }
}
