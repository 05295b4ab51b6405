//! The order in which a sidecar prefers control nodes.

use millethook_machine::hash::{mix, weight};

use crate::{ControlMember, Identity};

/// All control nodes except the sidecar's own process, the most preferred first, by rendezvous hashing: one of its own
/// zone, then one of another zone of its region, then all others, those of its zone before those of its region before
/// the rest.
///
/// The second one is of another zone, so that each sidecar still has a control node that knows it when all control
/// nodes of a zone fail at once.
pub(crate) fn preference_order(sidecar: &Identity, control_nodes: &[ControlMember]) -> Vec<u16> {
    let distance = |node: &ControlMember| match node {
        node if node.zone == sidecar.zone && node.region == sidecar.region => 0u8,
        node if node.region == sidecar.region => 1,
        _ => 2,
    };
    let subject = mix(u64::from(sidecar.number).wrapping_add(0x5851_f42d_4c95_7f2d));
    let mut nodes: Vec<&ControlMember> =
        control_nodes.iter().filter(|node| node.number != sidecar.number).collect();
    let weight_of = |node: &ControlMember| std::cmp::Reverse(weight(subject, node.number.into()));
    nodes.sort_by_key(|node| (distance(node), weight_of(node)));
    if let Some(first) = nodes.first().copied() {
        let other = nodes.iter().position(|node| node.zone != first.zone);
        if let Some(other) = other.filter(|other| distance(nodes[*other]) <= 1) {
            let second = nodes.remove(other);
            nodes.insert(1, second);
        }
    }
    nodes.iter().map(|node| node.number).collect()
}
