//! The list of servers by distribution: control nodes ask discovery, sidecars take the list from them, and ask discovery
//! themselves while no control node confirms it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

use crate::tier::{CONTROL_NODES, Members, Tier};

/// Members of a tier: the control nodes, and sidecars that take the list from them.
const MEMBERS: usize = CONTROL_NODES + 4;

/// The lines by which a control node publishes the list, and a sidecar takes it.
fn product(member: usize, folder: &Path) -> String {
    if member < CONTROL_NODES {
        return "list = \"orders\"\nlist_from_discovery = true\n".to_owned();
    }
    let kept = folder.join(format!("kept-{member}"));
    format!("list = \"orders\"\n[membership]\nsnapshot = {kept:?}\nwrite_every_s = 0.1\n")
}

/// A tier in which each member has this discovery.
fn tier(discovery: &dyn Fn(usize) -> SocketAddr) -> Tier {
    let change = |member: usize, c: &mut Value| {
        // Sidecars of one tier share no snapshot.
        c["name"] = json!(format!("n{member}"));
        c["discovery"] = json!(discovery(member).to_string());
        c["settings"]["discovery"] = json!("on_request");
    };
    Tier::start_as(MEMBERS, &Members { change: &change, product: &product })
}

/// Two servers that answer with their names.
struct Pair {
    old: Server,
    new: Server,
}

impl Pair {
    fn start() -> Pair {
        Pair { old: Server::named("old"), new: Server::named("new") }
    }

    fn old_entry(&self) -> Value {
        host("s-old", self.old.address)
    }

    fn new_entry(&self) -> Value {
        host("s-new", self.new.address)
    }

    /// The old one drains, and the new one has come.
    fn replaced(&self) -> Vec<Value> {
        let mut leaving = self.old_entry();
        leaving["health"] = json!("leaving");
        vec![leaving, self.new_entry()]
    }
}

fn sidecars() -> impl Iterator<Item = usize> {
    CONTROL_NODES..MEMBERS
}

fn figure(tier: &Tier, member: usize, name: &str) -> u64 {
    tier.member(member).metric(&format!("sidecar.distribution.list.{name}"))
}

fn until_all_served_by(tier: &Tier, name: &str) {
    wait_until(&format!("all served by {name}"), || {
        sidecars().all(|member| tier.member(member).served_by() == name)
    });
}

/// Looks for a while: no sidecar is served by anyone else.
fn stay_served_by(tier: &Tier, name: &str, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for member in sidecars() {
            assert_eq!(tier.member(member).served_by(), name, "member {member}");
        }
    }
}

fn until_all_follow(tier: &Tier) {
    wait_until("all follow the control nodes", || {
        sidecars().all(|member| figure(tier, member, "follows") == 1)
    });
}

fn kill_control_nodes(tier: &mut Tier) {
    (0..CONTROL_NODES).for_each(|member| tier.kill(member));
}

fn start_control_nodes(tier: &mut Tier) {
    (0..CONTROL_NODES).for_each(|member| tier.start_member(member));
}

#[test]
fn sidecars_take_the_list_from_control_nodes_and_do_not_ask_discovery() {
    let pair = Pair::start();
    let (of_control_nodes, of_sidecars) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let tier = tier(&|member| match member < CONTROL_NODES {
        true => of_control_nodes.address,
        false => of_sidecars.address,
    });
    until_all_served_by(&tier, "old");
    of_control_nodes.set_hosts(pair.replaced());
    until_all_served_by(&tier, "new");
    stay_served_by(&tier, "new", Duration::from_millis(200));
    // Longer than a list lasts that nobody confirms.
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(of_sidecars.calls(), 0, "no sidecar asks discovery");
    for member in sidecars() {
        assert_eq!(figure(&tier, member, "silences"), 0, "member {member}");
        assert_eq!(figure(&tier, member, "taken"), 2, "member {member}");
    }
}

/// Sidecars ask discovery themselves once all control nodes are gone; control nodes that come back with an older list
/// take nothing back.
#[test]
fn without_control_nodes_discovery_is_asked_and_an_older_list_takes_no_drain_back() {
    let pair = Pair::start();
    let (of_control_nodes, of_sidecars) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let mut tier = tier(&|member| match member < CONTROL_NODES {
        true => of_control_nodes.address,
        false => of_sidecars.address,
    });
    until_all_served_by(&tier, "old");
    kill_control_nodes(&mut tier);
    of_sidecars.set_hosts(pair.replaced());
    until_all_served_by(&tier, "new");
    start_control_nodes(&mut tier);
    let writer = tier.writer();
    let confirmed = figure(&tier, writer, "confirmed");
    wait_until("the old list is confirmed", || figure(&tier, writer, "confirmed") > confirmed + 1);
    stay_served_by(&tier, "new", Duration::from_millis(500));
    assert!(sidecars().all(|member| figure(&tier, member, "asks") == 1), "discovery is newer");
    of_control_nodes.set_hosts(pair.replaced());
    until_all_follow(&tier);
    stay_served_by(&tier, "new", Duration::from_millis(200));
    wait_until("nobody watches discovery", || of_sidecars.open() == 0);
}

/// The next writer has discovery of an older time: the list stays as it is, until its discovery has come further.
#[test]
fn a_writer_with_an_older_discovery_changes_nothing() {
    let pair = Pair::start();
    let agents: Vec<Agent> =
        (0..CONTROL_NODES).map(|_| Agent::start(vec![pair.old_entry()])).collect();
    let down = refusing_address();
    let mut tier = tier(&|member| agents.get(member).map_or(down, |agent| agent.address));
    until_all_served_by(&tier, "old");
    let writer = tier.writer();
    agents[writer].set_hosts(pair.replaced());
    until_all_served_by(&tier, "new");
    tier.kill(writer);
    let next = tier.writer_but_stopped(writer);
    stay_served_by(&tier, "new", Duration::from_secs(2));
    assert_eq!(figure(&tier, next, "published"), 0, "what it has is older");
    assert_eq!(figure(&tier, next, "confirmed"), 0, "it does not confirm what it has not");
    // Its discovery catches up.
    agents[next].set_hosts(pair.replaced());
    until_all_follow(&tier);
    agents[next].set_hosts(vec![pair.old_entry()]);
    until_all_served_by(&tier, "old");
}

#[test]
fn versions_that_begin_anew_are_followed() {
    let pair = Pair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let down = refusing_address();
    let mut tier = tier(&|member| if member < CONTROL_NODES { discovery.address } else { down });
    until_all_served_by(&tier, "old");
    discovery.set_hosts(vec![pair.old_entry(), pair.new_entry()]);
    discovery.set_hosts(vec![pair.old_entry()]);
    wait_until("the third version", || sidecars().all(|member| figure(&tier, member, "seq") == 3));
    discovery.restart_versions(vec![pair.new_entry()]);
    until_all_served_by(&tier, "new");
    assert!(sidecars().all(|member| figure(&tier, member, "generation") == 1));
    // The next writer has seen it, too.
    let writer = tier.writer();
    tier.kill(writer);
    tier.writer_but_stopped(writer);
    discovery.set_hosts(vec![pair.old_entry()]);
    until_all_served_by(&tier, "old");
    assert!(sidecars().all(|member| figure(&tier, member, "generation") == 1));
}

/// A writer whose discovery is silent does not confirm the list: sidecars ask theirs.
#[test]
fn a_source_without_discovery_is_noticed() {
    let pair = Pair::start();
    let (of_control_nodes, of_sidecars) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(vec![pair.old_entry()]));
    let tier = tier(&|member| match member < CONTROL_NODES {
        true => of_control_nodes.address,
        false => of_sidecars.address,
    });
    until_all_served_by(&tier, "old");
    assert_eq!(of_sidecars.calls(), 0);
    for member in 0..CONTROL_NODES {
        let mut config = tier.config(member);
        config["discovery"] = json!(refusing_address().to_string());
        tier.member(member).reload(&config.to_string());
    }
    of_sidecars.set_hosts(pair.replaced());
    until_all_served_by(&tier, "new");
}

/// Control nodes and discovery are gone: a sidecar that starts comes up with the list that the membership kept, and the
/// documents hold no other one.
#[test]
fn a_start_without_any_source_uses_the_kept_list_alone() {
    let pair = Pair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let down = refusing_address();
    let mut tier = tier(&|member| if member < CONTROL_NODES { discovery.address } else { down });
    until_all_served_by(&tier, "old");
    discovery.set_hosts(pair.replaced());
    until_all_served_by(&tier, "new");
    let member = CONTROL_NODES;
    wait_until("the list is kept", || {
        tier.kept_by(member, "kept").is_some_and(|kept| kept.contains("s-new"))
    });
    kill_control_nodes(&mut tier);
    tier.kill(member);
    let documents = tier.kept_by(member, "documents").unwrap_or_default();
    assert!(!documents.contains("s-new") && !documents.contains("s-old"), "{documents:?}");
    tier.start_member(member);
    assert_eq!(tier.member(member).served_by(), "new", "the first request");
    assert_eq!(tier.member(member).metric("sidecar.membership.remembered"), 1);
    assert_eq!(figure(&tier, member, "taken"), 0);
    start_control_nodes(&mut tier);
    wait_until("the list of the control nodes", || figure(&tier, member, "follows") == 1);
    wait_until("it is live", || tier.member(member).metric("sidecar.membership.remembered") == 0);
}

/// The configuration of all sidecars moves discovery: those that take the list from the control nodes do not call it, and
/// once these are gone they call it where it is now, for all of the list.
#[test]
fn a_move_of_discovery_makes_no_sidecar_call_it() {
    let pair = Pair::start();
    let (of_control_nodes, moved) =
        (Agent::start(vec![pair.old_entry()]), Agent::start(pair.replaced()));
    let down = refusing_address();
    let mut tier =
        tier(&|member| if member < CONTROL_NODES { of_control_nodes.address } else { down });
    until_all_served_by(&tier, "old");
    for member in sidecars() {
        let mut config = tier.config(member);
        config["discovery"] = json!(moved.address.to_string());
        tier.member(member).reload(&config.to_string());
        wait_until("reloaded", || tier.member(member).metric("sidecar.sighup_applied") == 1);
    }
    let silences = || sidecars().map(|member| figure(&tier, member, "silences")).sum::<u64>();
    let before = silences();
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!((moved.calls(), silences()), (0, before), "no sidecar calls it");
    kill_control_nodes(&mut tier);
    until_all_served_by(&tier, "new");
}

/// Where an agent beside the sidecar pushes lists there is nothing to be spared.
#[test]
fn where_lists_are_pushed_none_is_taken() {
    let pair = Pair::start();
    let discovery = Agent::start(vec![pair.old_entry()]);
    let change = |member: usize, c: &mut Value| {
        c["name"] = json!(format!("n{member}"));
        c["discovery"] = json!(discovery.address.to_string());
    };
    let tier = Tier::start_as(MEMBERS, &Members { change: &change, product: &product });
    until_all_served_by(&tier, "old");
    let metrics = tier.member(CONTROL_NODES).admin_request("GET /v1/metrics").body;
    let metrics = String::from_utf8(metrics).expect("text");
    assert!(!metrics.contains("distribution.list."), "{metrics}");
    discovery.set_hosts(vec![pair.new_entry()]);
    until_all_served_by(&tier, "new");
}
