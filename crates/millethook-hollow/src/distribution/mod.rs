//! Drives the state machines of `millethook-distribution` on sockets: subscribers on a sidecar's channel, and control
//! nodes.
//!
//! Every document's body begins with a serial number that counts all documents of a run. A sidecar with serial 7 in
//! force is therefore known to have all changes up to the seventh that were addressed to it, whoever published them.

mod control;
mod serial;
mod subscriber;

use millethook_distribution::{ControlMember, DistributionConfig, Identity, Limits};
use millethook_frames::Kind;
use millethook_machine::hash::mix;
use serde::{Deserialize, Serialize};

use crate::topology::Topology;
pub use control::{Control, Publication};
pub use serial::{SERVICES, covers, scope_of};
pub use subscriber::HollowSubscriber;

/// The record kind of document messages in frames, and its weight in a sidecar's budget.
pub const DOCUMENT: Kind = Kind { number: 4, weight: 4 };

/// Settings of control nodes and subscribers, the same for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistributionPlan {
    /// Number of control nodes.
    pub control_nodes: u16,
    /// Number of host processes for control nodes.
    pub hosts: usize,
    /// Bytes per second that one control node may send.
    pub rate: u32,
    /// Interval between two digests of a sidecar.
    pub digest_ms: u64,
    /// Time after its start during which a control node does not vote.
    pub silence_ms: u64,
}

impl Default for DistributionPlan {
    fn default() -> DistributionPlan {
        let limits = Limits::default();
        DistributionPlan {
            control_nodes: 36,
            hosts: 2,
            rate: limits.rate,
            digest_ms: limits.digest_interval / 1_000,
            silence_ms: limits.silence / 1_000,
        }
    }
}

/// Returns the configuration of one member.
pub fn configuration(
    plan: &DistributionPlan,
    topology: &Topology,
    number: u16,
    seed: u64,
) -> DistributionConfig {
    let location = |number| (u32::from(topology.region(number)), u32::from(topology.zone(number)));
    let control_nodes = (topology.size..topology.members()).map(|number| {
        let (region, zone) = location(number);
        ControlMember { number, region, zone }
    });
    let (region, zone) = location(number);
    DistributionConfig {
        me: number,
        members: topology.members(),
        control_nodes: control_nodes.collect(),
        identity: Identity { region, zone, service: serial::service_of(number), number },
        lists: Vec::new(),
        limits: Limits {
            rate: plan.rate,
            digest_interval: plan.digest_ms * 1_000,
            silence: plan.silence_ms * 1_000,
            ..Limits::default()
        },
        seed: mix(seed ^ u64::from(number)),
    }
}
