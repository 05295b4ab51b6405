//! Lists of servers: drains, moves, cold servers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{Ask, End, Form, Record, at_either_price, served, start};

at_either_price!(
    a_server_that_leaves_gets_nothing_new,
    a_server_may_change_its_address,
    a_new_server_is_used,
    a_cold_server_gets_its_share_and_no_more,
    the_remembered_list_serves_while_discovery_is_down,
);

fn named() -> ServerGroup {
    ServerGroup::new(2, |a| Fault::Serve(a.server.to_string()))
}

/// Asks until `done` of the last answer, then a number of times more.
fn until<F: Form>(form: &F, what: &str, done: impl Fn(&End) -> bool) -> Vec<End> {
    let mut in_a_row = 0;
    wait_until(what, || {
        in_a_row = if done(&form.request(Ask::safe())) { in_a_row + 1 } else { 0 };
        in_a_row == 20
    });
    (0..20).map(|_| form.request(Ask::safe())).collect()
}

fn a_server_that_leaves_gets_nothing_new<F: Form>() -> Vec<Record> {
    let told = ["leaving", "left"].map(|health| {
        let stage = named();
        let (form, agent) = start::<F>(&stage, |_| {});
        wait_until("the first serves", || form.request(Ask::safe()) == served("0"));
        wait_until("the second serves", || form.request(Ask::safe()) == served("1"));
        let mut hosts = stage.hosts();
        hosts[0]["health"] = json!(health);
        agent.set_hosts(hosts);
        let ends = until(&form, "only the second serves", |end| *end == served("1"));
        assert_eq!(ends, vec![served("1"); 20], "{health}");
        Record { ends, seen: Vec::new() }
    });
    told.into()
}

fn a_server_may_change_its_address<F: Form>() -> Record {
    let stage = named();
    let agent = Agent::start(vec![host("s", stage.servers[0].address)]);
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(Ask::safe()), served("0"));
    agent.set_hosts(vec![host("s", stage.servers[1].address)]);
    let ends = until(&form, "the new address", |end| *end == served("1"));
    assert_eq!(ends, vec![served("1"); 20]);
    Record { ends, seen: Vec::new() }
}

fn a_new_server_is_used<F: Form>() -> Record {
    let stage = named();
    let agent = Agent::start(vec![stage.hosts()[0].clone()]);
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(Ask::safe()), served("0"));
    agent.set_hosts(stage.hosts());
    wait_until("the new one serves", || form.request(Ask::safe()) == served("1"));
    Record { ends: Vec::new(), seen: Vec::new() }
}

/// Rule 4: a server that has just started, at a fifth of its speed, gets far less than one that runs.
fn a_cold_server_gets_its_share_and_no_more<F: Form>() -> bool {
    let stage = named();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let mut hosts = stage.hosts();
    hosts[1]["born_ms"] = json!(now.as_millis() as u64);
    let agent = Agent::start(hosts);
    let form = F::start(&config(agent.address, |c| {
        // So cold for so long that the test's own time does not matter.
        c["settings"]["rules"]["cold"] = json!(3_600_000_000u64);
        c["settings"]["rules"]["coldShare"] = json!(0.05);
    }));
    let ends: Vec<End> = (0..200).map(|_| form.request(Ask::safe())).collect();
    let cold = ends.iter().filter(|end| **end == served("1")).count();
    let warm = ends.iter().filter(|end| **end == served("0")).count();
    assert!(cold + warm == 200 && cold <= 40, "{cold} of 200 at a server of a twentieth");
    cold <= 40
}

fn the_remembered_list_serves_while_discovery_is_down<F: Form>() -> Record {
    let stage = named();
    let known = json!({"seq": 4, "whole": true, "hosts": [stage.hosts()[1]]});
    let form = F::start(&config(refusing_address(), |c| c["known"] = known));
    let record = Record::of(vec![form.request(Ask::safe())], &stage);
    assert_eq!(record.ends, [served("1")]);
    record
}
