//! The section `[distribution]`: configuration that control nodes distribute to all sidecars.

use std::path::PathBuf;
use std::time::Duration;

use crate::reader::Reader;

/// The maximum number of control nodes.
const MAX_CONTROL_NODES: usize = 256;
/// The highest member number.
const MAX_MEMBER_NUMBER: usize = u16::MAX as usize - 2;

/// Settings of the distribution of configuration by control nodes. Needs `[fleet]`, and `[lease]` at control nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Distribution {
    /// The region of this sidecar.
    pub region: String,
    /// The zone of this sidecar.
    pub zone: String,
    /// The service of this sidecar.
    pub service: String,
    /// The members that are dedicated control nodes. The list is the same at all members.
    pub control_nodes: Vec<ControlNode>,
    /// The file for the documents in force. None: they are lost at a restart and fetched again.
    pub snapshot: Option<PathBuf>,
    /// At control nodes, the folder from which requests to publish are read. None: this member publishes nothing.
    pub publish: Option<PathBuf>,
    /// The name of this sidecar's server list, if it gets the list from the control nodes or publishes it to them. None:
    /// the sidecar gets the list from discovery and does not publish it.
    pub list: Option<String>,
    /// Whether this control node gets the list from discovery and publishes it under the name in `list`.
    pub list_from_discovery: bool,
    /// The interval between two digests that a sidecar sends.
    pub digest: Duration,
    /// How long a control node does not vote after its start.
    pub silence: Duration,
    /// After this time a control node votes even if a majority of the control nodes has just started, too. 0: never.
    pub give_up_after: Duration,
    /// The rollout of a document is stopped if more than this share of the sidecars refuses it...
    pub refused_share: f64,
    /// ...and at least this many sidecars refuse it.
    pub refused_least: usize,
    /// The maximum number of bytes per second that a control node sends.
    pub control_bytes_per_second: usize,
    /// The size of the receive buffer that a control node requests for its datagram socket, in bytes.
    pub receive_buffer_bytes: usize,
}

/// A member that is a dedicated control node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlNode {
    /// The number of the member in `peers`.
    pub member: u16,
    /// The region of the member.
    pub region: String,
    /// The zone of the member.
    pub zone: String,
}

pub(crate) fn read(r: &mut Reader<'_>) -> Distribution {
    let seconds = |r: &mut Reader<'_>, key: &str, default: f64, least: f64, most: f64| {
        Duration::from_secs_f64(r.number(key, least..=most, "seconds").unwrap_or(default))
    };
    r.record_section_start();
    Distribution {
        region: r.required("region", "a name"),
        zone: r.required("zone", "a name"),
        service: r.required("service", "a name"),
        control_nodes: r.tables("control_nodes", control_node),
        snapshot: r.string("snapshot", "a path").map(PathBuf::from),
        publish: r.string("publish", "a path").map(PathBuf::from),
        list: r.string("list", "a name"),
        list_from_discovery: r.flag("list_from_discovery").unwrap_or(false),
        digest: seconds(r, "digest_s", 1.0, 0.05, 60.0),
        silence: seconds(r, "silence_s", 6.0, 0.1, 600.0),
        give_up_after: seconds(r, "give_up_s", 60.0, 0.0, 86_400.0),
        refused_share: r.share("refused_share").unwrap_or(0.02),
        refused_least: r.count("refused_least", 1..=65_535).unwrap_or(2),
        control_bytes_per_second: r
            .count("control_bytes_per_second", 10_000..=1_000_000_000)
            .unwrap_or(16_000_000),
        receive_buffer_bytes: r
            .count("receive_buffer_bytes", 4_096..=1_073_741_824)
            .unwrap_or(4 * 1024 * 1024),
    }
}

fn control_node(r: &mut Reader<'_>, name: &str) -> Option<ControlNode> {
    let (region, zone) = (r.required("region", "a name"), r.required("zone", "a name"));
    let Some(member) = r.count("member", 0..=MAX_MEMBER_NUMBER) else {
        r.report_missing(name, "member", "a member's number");
        return None;
    };
    Some(ControlNode { member: member as u16, region, zone })
}

/// Which other sections that `[distribution]` needs are present.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OtherSections {
    pub fleet: bool,
    pub lease: bool,
    pub membership: bool,
}

/// Reports settings that contradict each other or the rest of the file.
pub(crate) fn check(distribution: &Distribution, others: OtherSections, r: &mut Reader<'_>) {
    let OtherSections { fleet, lease, membership } = others;
    if !fleet {
        r.report_at("distribution", "", "a section [fleet] expected beside it".into());
    }
    if distribution.publish.is_some() && !lease {
        let text = "a section [lease] expected beside it: the writer is one by a lease";
        r.report_at("distribution", "publish", text.into());
    }
    if distribution.list_from_discovery && distribution.list.is_none() {
        let text = "list expected beside it: the name of the list";
        r.report_at("distribution", "list_from_discovery", text.into());
    }
    if distribution.list_from_discovery && distribution.publish.is_none() {
        let text = "publish expected beside it: the list is published by the writer";
        r.report_at("distribution", "list_from_discovery", text.into());
    }
    if distribution.list.is_some() && !distribution.list_from_discovery && !membership {
        let text = "a section [membership] expected beside it: the list is one of its sources";
        r.report_at("distribution", "list", text.into());
    }
    if distribution.control_nodes.len() > MAX_CONTROL_NODES {
        let text = format!(
            "{MAX_CONTROL_NODES} at most expected, not {}",
            distribution.control_nodes.len()
        );
        r.report_at("distribution", "control_nodes", text);
    }
    for (index, node) in distribution.control_nodes.iter().enumerate() {
        if distribution.control_nodes[..index].iter().any(|other| other.member == node.member) {
            let text = format!("member {} stands there twice", node.member);
            r.report_at("distribution", "control_nodes", text);
        }
    }
}
