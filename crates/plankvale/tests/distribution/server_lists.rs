//! Distribution of the server list: control nodes query discovery, sidecars take the list from
//! them, and query discovery themselves while no control node confirms it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

use crate::tier::{CONTROL_NODES, MemberDifferences, Tier};

/// The members of a tier: control nodes, and sidecars that take the list from them.
const MEMBERS: usize = CONTROL_NODES + 4;

/// The configuration with which a control node publishes the list, or a sidecar takes it.
fn product(member: usize, folder: &Path) -> String {
    if member < CONTROL_NODES {
        return "list = \"orders\"\nlist_from_discovery = true\n".to_owned();
    }
    let snapshot = folder.join(format!("kept-{member}"));
    format!("list = \"orders\"\n[membership]\nsnapshot = {snapshot:?}\nwrite_every_s = 0.1\n")
}

/// A tier in which each member has this discovery.
fn tier(discovery: &dyn Fn(usize) -> SocketAddr) -> Tier {
    let change = |member: usize, c: &mut Value| {
        // Sidecars of one tier must not share a snapshot.
        c["name"] = json!(format!("n{member}"));
        c["discovery"] = json!(discovery(member).to_string());
        c["settings"]["discovery"] = json!("on_request");
    };
    Tier::start_with_members(MEMBERS, &MemberDifferences { change: &change, product: &product })
}

/// Two servers that answer with their names.
struct ServerPair {
    old: Server,
    new: Server,
}

impl ServerPair {
    fn start() -> ServerPair {
        ServerPair { old: Server::named("old"), new: Server::named("new") }
    }

    fn old_entry(&self) -> Value {
        host("s-old", self.old.address)
    }

    fn new_entry(&self) -> Value {
        host("s-new", self.new.address)
    }

    /// A list in which the old server drains and the new one is added.
    fn with_old_draining(&self) -> Vec<Value> {
        let mut leaving = self.old_entry();
        leaving["health"] = json!("leaving");
        vec![leaving, self.new_entry()]
    }
}

fn sidecar_members() -> impl Iterator<Item = usize> {
    CONTROL_NODES..MEMBERS
}

fn list_metric(tier: &Tier, member: usize, name: &str) -> u64 {
    tier.member(member).metric(&format!("sidecar.distribution.list.{name}"))
}

fn wait_until_all_served_by(tier: &Tier, name: &str) {
    wait_until(&format!("all served by {name}"), || {
        sidecar_members().all(|member| tier.member(member).served_by() == name)
    });
}

/// Checks for a while that no sidecar is served by another server.
fn check_all_served_by(tier: &Tier, name: &str, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for member in sidecar_members() {
            assert_eq!(tier.member(member).served_by(), name, "member {member}");
        }
    }
}

fn wait_until_all_follow(tier: &Tier) {
    wait_until("all follow the control nodes", || {
        sidecar_members().all(|member| list_metric(tier, member, "follows") == 1)
    });
}

fn kill_control_nodes(tier: &mut Tier) {
    (0..CONTROL_NODES).for_each(|member| tier.kill(member));
}

fn start_control_nodes(tier: &mut Tier) {
    (0..CONTROL_NODES).for_each(|member| tier.start_member(member));
}

#[test]
fn sidecars_take_the_list_from_control_nodes_and_do_not_query_discovery() {
    let pair = ServerPair::start();
    let (control_node_discovery, sidecar_discovery) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let tier = tier(&|member| match member < CONTROL_NODES {
        true => control_node_discovery.address,
        false => sidecar_discovery.address,
    });
    wait_until_all_served_by(&tier, "old");
    control_node_discovery.set_hosts(pair.with_old_draining());
    wait_until_all_served_by(&tier, "new");
    check_all_served_by(&tier, "new", Duration::from_millis(200));
    // Longer than the lifetime of a list that nobody confirms.
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(sidecar_discovery.calls(), 0, "no sidecar queries discovery");
    for member in sidecar_members() {
        assert_eq!(list_metric(&tier, member, "silences"), 0, "member {member}");
        assert_eq!(list_metric(&tier, member, "taken"), 2, "member {member}");
    }
}

/// Sidecars query discovery themselves once all control nodes are gone; control nodes that restart
/// with an older list do not undo a drain.
#[test]
fn without_control_nodes_discovery_is_asked_and_an_older_list_takes_no_drain_back() {
    let pair = ServerPair::start();
    let (control_node_discovery, sidecar_discovery) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let mut tier = tier(&|member| match member < CONTROL_NODES {
        true => control_node_discovery.address,
        false => sidecar_discovery.address,
    });
    wait_until_all_served_by(&tier, "old");
    kill_control_nodes(&mut tier);
    sidecar_discovery.set_hosts(pair.with_old_draining());
    wait_until_all_served_by(&tier, "new");
    start_control_nodes(&mut tier);
    let writer = tier.writer();
    let confirmed = list_metric(&tier, writer, "confirmed");
    wait_until("the old list is confirmed", || {
        list_metric(&tier, writer, "confirmed") > confirmed + 1
    });
    check_all_served_by(&tier, "new", Duration::from_millis(500));
    assert!(
        sidecar_members().all(|member| list_metric(&tier, member, "asks") == 1),
        "discovery is newer"
    );
    control_node_discovery.set_hosts(pair.with_old_draining());
    wait_until_all_follow(&tier);
    check_all_served_by(&tier, "new", Duration::from_millis(200));
    wait_until("nobody watches discovery", || sidecar_discovery.open() == 0);
}

/// The next writer has an older state of discovery: the list stays as it is until that writer's
/// discovery has caught up.
#[test]
fn a_writer_with_an_older_discovery_changes_nothing() {
    let pair = ServerPair::start();
    let agents: Vec<Agent> =
        (0..CONTROL_NODES).map(|_| Agent::start(vec![pair.old_entry()])).collect();
    let refusing = refusing_address();
    let mut tier = tier(&|member| agents.get(member).map_or(refusing, |agent| agent.address));
    wait_until_all_served_by(&tier, "old");
    let writer = tier.writer();
    agents[writer].set_hosts(pair.with_old_draining());
    wait_until_all_served_by(&tier, "new");
    tier.kill(writer);
    let next = tier.writer_other_than_paused(writer);
    check_all_served_by(&tier, "new", Duration::from_secs(2));
    assert_eq!(list_metric(&tier, next, "published"), 0, "its list is older");
    assert_eq!(
        list_metric(&tier, next, "confirmed"),
        0,
        "it does not confirm a list that it does not have"
    );
    // Its discovery catches up.
    agents[next].set_hosts(pair.with_old_draining());
    wait_until_all_follow(&tier);
    agents[next].set_hosts(vec![pair.old_entry()]);
    wait_until_all_served_by(&tier, "old");
}

#[test]
fn restarted_versions_are_followed() {
    let pair = ServerPair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let refusing = refusing_address();
    let mut tier =
        tier(&|member| if member < CONTROL_NODES { discovery.address } else { refusing });
    wait_until_all_served_by(&tier, "old");
    discovery.set_hosts(vec![pair.old_entry(), pair.new_entry()]);
    discovery.set_hosts(vec![pair.old_entry()]);
    wait_until("the third version", || {
        sidecar_members().all(|member| list_metric(&tier, member, "seq") == 3)
    });
    discovery.restart_versions(vec![pair.new_entry()]);
    wait_until_all_served_by(&tier, "new");
    assert!(sidecar_members().all(|member| list_metric(&tier, member, "generation") == 1));
    // The next writer has received it too.
    let writer = tier.writer();
    tier.kill(writer);
    tier.writer_other_than_paused(writer);
    discovery.set_hosts(vec![pair.old_entry()]);
    wait_until_all_served_by(&tier, "old");
    assert!(sidecar_members().all(|member| list_metric(&tier, member, "generation") == 1));
}

/// A writer whose discovery does not answer does not confirm the list, so sidecars query their own
/// discovery.
#[test]
fn a_writer_without_discovery_does_not_confirm_the_list() {
    let pair = ServerPair::start();
    let (control_node_discovery, sidecar_discovery) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let tier = tier(&|member| match member < CONTROL_NODES {
        true => control_node_discovery.address,
        false => sidecar_discovery.address,
    });
    wait_until_all_served_by(&tier, "old");
    assert_eq!(sidecar_discovery.calls(), 0);
    for member in 0..CONTROL_NODES {
        let mut config = tier.config(member);
        config["discovery"] = json!(refusing_address().to_string());
        tier.member(member).reload(&config.to_string());
    }
    sidecar_discovery.set_hosts(pair.with_old_draining());
    wait_until_all_served_by(&tier, "new");
}

/// Without control nodes and discovery, a sidecar starts with the list in its membership snapshot;
/// the stored documents contain no list.
#[test]
fn a_start_without_any_source_uses_the_snapshot() {
    let pair = ServerPair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let refusing = refusing_address();
    let mut tier =
        tier(&|member| if member < CONTROL_NODES { discovery.address } else { refusing });
    wait_until_all_served_by(&tier, "old");
    discovery.set_hosts(pair.with_old_draining());
    wait_until_all_served_by(&tier, "new");
    let member = CONTROL_NODES;
    wait_until("the list is kept", || {
        tier.stored_text(member, "kept").is_some_and(|snapshot| snapshot.contains("s-new"))
    });
    kill_control_nodes(&mut tier);
    tier.kill(member);
    let documents = tier.stored_text(member, "documents").unwrap_or_default();
    assert!(!documents.contains("s-new") && !documents.contains("s-old"), "{documents:?}");
    tier.start_member(member);
    assert_eq!(tier.member(member).served_by(), "new", "the first request");
    assert_eq!(tier.member(member).metric("sidecar.membership.remembered"), 1);
    assert_eq!(list_metric(&tier, member, "taken"), 0);
    start_control_nodes(&mut tier);
    wait_until("the list of the control nodes", || list_metric(&tier, member, "follows") == 1);
    wait_until("the list is live", || {
        tier.member(member).metric("sidecar.membership.remembered") == 0
    });
}

/// The configuration of all sidecars changes the discovery address: sidecars that take the list
/// from control nodes do not query it. Once the control nodes are gone, they query the new address
/// for the complete list.
#[test]
fn a_new_discovery_address_is_not_queried() {
    let pair = ServerPair::start();
    let (control_node_discovery, moved) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(pair.with_old_draining()));
    let refusing = refusing_address();
    let mut tier = tier(&|member| {
        if member < CONTROL_NODES { control_node_discovery.address } else { refusing }
    });
    wait_until_all_served_by(&tier, "old");
    for member in sidecar_members() {
        let mut config = tier.config(member);
        config["discovery"] = json!(moved.address.to_string());
        tier.member(member).reload(&config.to_string());
        wait_until("reloaded", || tier.member(member).metric("sidecar.sighup_applied") == 1);
    }
    let silences =
        || sidecar_members().map(|member| list_metric(&tier, member, "silences")).sum::<u64>();
    let before = silences();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!((moved.calls(), silences()), (0, before), "no sidecar queries it");
    kill_control_nodes(&mut tier);
    wait_until_all_served_by(&tier, "new");
}

/// A sidecar whose local agent pushes lists has no queries to save, so it takes none from control
/// nodes.
#[test]
fn with_pushed_lists_none_is_taken_from_control_nodes() {
    let pair = ServerPair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let change = |member: usize, c: &mut Value| {
        c["name"] = json!(format!("n{member}"));
        c["discovery"] = json!(discovery.address.to_string());
    };
    let tier = Tier::start_with_members(
        MEMBERS,
        &MemberDifferences { change: &change, product: &product },
    );
    wait_until_all_served_by(&tier, "old");
    let metrics = tier.member(CONTROL_NODES).admin_request("GET /v1/metrics").body;
    let metrics = String::from_utf8(metrics).expect("text");
    assert!(!metrics.contains("distribution.list."), "{metrics}");
    discovery.set_hosts(vec![pair.new_entry()]);
    wait_until_all_served_by(&tier, "new");
}
