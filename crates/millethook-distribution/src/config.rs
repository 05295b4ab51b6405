//! How distribution is set up.

use std::collections::BTreeSet;

use millethook_machine::Micros;

use crate::Identity;

/// Lists of servers that one sidecar wants, at most.
pub const MAX_LISTS: usize = 64;

/// A member that is set aside as a control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControlMember {
    /// Its member number.
    pub number: u16,
    /// Its region.
    pub region: u32,
    /// Its zone.
    pub zone: u32,
}

/// Bounds and times. The defaults are those that the design note measures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Documents that a control node keeps, at most; retractions count.
    pub documents: usize,
    /// Bytes of contents that a control node keeps in force, at most. What is being accepted and what was in force
    /// before come on top: three times as much in the worst case, and 8 MiB of earlier contents from which deltas are made.
    pub bytes: usize,
    /// Bytes a second that a control node sends, at most, datagram headers not counted.
    pub rate: u32,
    /// Sidecars that a control node serves, at most; others are not answered and go elsewhere.
    pub subscribers: usize,
    /// A sidecar says once in so many microseconds what it has (jittered by a quarter).
    pub digest_interval: Micros,
    /// A control node that has started does not vote before this time, as it has forgotten its votes, and a round of the
    /// writer counts for four fifths of it. See `docs/design/distribution.md`.
    pub silence: Micros,
    /// After a start a control node votes after so long even if it has learned only from a majority of which some have
    /// just started, too; 0: never. What a majority had accepted may be lost then. It is for the case that a majority
    /// of control nodes was down together, and one of them stays down.
    pub give_up_after: Micros,
    /// A change that more than this share of the sidecars refuse that it is for is stopped...
    pub refused_share: f64,
    /// ...if this many refuse it, at least.
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

/// How distribution is set up; `members`, `control_nodes` and `limits` are the same at all members.
#[derive(Clone, Debug, PartialEq)]
pub struct DistributionConfig {
    /// The own member number.
    pub me: u16,
    /// Members of the fleet, from 0.
    pub members: u16,
    /// The control nodes. A majority of them decides.
    pub control_nodes: Vec<ControlMember>,
    /// Where this member stands.
    pub identity: Identity,
    /// Numbers of the services whose lists of servers this sidecar wants, at most [`MAX_LISTS`]. They need not be the
    /// same at all members. A control node takes no notice of its own.
    pub lists: Vec<u32>,
    /// Bounds and times.
    pub limits: Limits,
    /// For random numbers.
    pub seed: u64,
}

/// Why a configuration is not sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// More lists are wanted than one sidecar may want.
    #[error("lists of servers: found {found}, at most {MAX_LISTS} expected")]
    TooManyLists {
        /// Lists that are wanted, each counted once.
        found: usize,
    },
}

impl DistributionConfig {
    /// Looks whether the bounds are kept that a host has to keep. [`crate::Subscriber::new`] takes the first
    /// [`MAX_LISTS`] lists of a configuration that was not looked at.
    ///
    /// # Errors
    /// The first bound that is not kept.
    pub fn check(&self) -> Result<(), ConfigError> {
        let found = self.lists.iter().collect::<BTreeSet<_>>().len();
        if found > MAX_LISTS {
            return Err(ConfigError::TooManyLists { found });
        }
        Ok(())
    }
}
