//! The machines of `millethook-distribution`, driven on sockets: subscribers within a sidecar's channel, and control
//! nodes.
//!
//! Every document's body begins with a serial number that counts all documents of a run. So a sidecar that has
//! serial 7 in force is known to have all changes up to the seventh that were for it, whoever published them.

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

/// The number of documents' messages in frames, and their part of a sidecar's budget.
pub const DOCUMENT: Kind = Kind { number: 4, weight: 4 };

/// How control nodes and subscribers are set up; the same for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DistributionPlan {
    /// Control nodes.
    pub control_nodes: u16,
    /// Host processes of control nodes.
    pub hosts: usize,
    /// Bytes a second that one control node may send.
    pub rate: u32,
    /// Time between two digests of a sidecar.
    pub digest_ms: u64,
    /// After a start a control node does not vote for so long.
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

/// The configuration of one member.
pub fn configuration(
    plan: &DistributionPlan,
    topology: &Topology,
    number: u16,
    seed: u64,
) -> DistributionConfig {
    let place = |number| (u32::from(topology.region(number)), u32::from(topology.zone(number)));
    let control_nodes = (topology.size..topology.members()).map(|number| {
        let (region, zone) = place(number);
        ControlMember { number, region, zone }
    });
    let (region, zone) = place(number);
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
