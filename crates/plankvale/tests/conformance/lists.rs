//! Lists of servers: drains, address changes, cold servers.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use millethook_testkit::*;
use serde_json::json;

use crate::form::{
    ClientRequest, Form, Outcome, Record, served, start, with_and_without_handshake_price,
};

with_and_without_handshake_price!(
    a_leaving_server_gets_no_new_requests,
    a_server_may_change_its_address,
    a_new_server_is_used,
    a_cold_server_gets_its_share_and_no_more,
    the_remembered_list_serves_while_discovery_is_down,
);

fn servers_with_names() -> ServerGroup {
    ServerGroup::new(2, |a| Fault::Serve(a.server.to_string()))
}

/// Sends requests until 20 answers in a row satisfy `done`, then 20 more, and returns the ends of
/// the latter.
fn repeat_until<F: Form>(form: &F, what: &str, done: impl Fn(&Outcome) -> bool) -> Vec<Outcome> {
    let mut in_a_row = 0;
    wait_until(what, || {
        in_a_row = if done(&form.request(ClientRequest::safe())) { in_a_row + 1 } else { 0 };
        in_a_row == 20
    });
    (0..20).map(|_| form.request(ClientRequest::safe())).collect()
}

fn a_leaving_server_gets_no_new_requests<F: Form>() -> Vec<Record> {
    let records = ["leaving", "left"].map(|health| {
        let group = servers_with_names();
        let (form, agent) = start::<F>(&group, |_| {});
        wait_until("the first serves", || form.request(ClientRequest::safe()) == served("0"));
        wait_until("the second serves", || form.request(ClientRequest::safe()) == served("1"));
        let mut hosts = group.hosts();
        hosts[0]["health"] = json!(health);
        agent.set_hosts(hosts);
        let outcomes =
            repeat_until(&form, "only the second serves", |outcome| *outcome == served("1"));
        assert_eq!(outcomes, vec![served("1"); 20], "{health}");
        Record { outcomes, seen: Vec::new() }
    });
    records.into()
}

fn a_server_may_change_its_address<F: Form>() -> Record {
    let group = servers_with_names();
    let agent = Agent::start(vec![host("s", group.servers[0].address)]);
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(ClientRequest::safe()), served("0"));
    agent.set_hosts(vec![host("s", group.servers[1].address)]);
    let outcomes = repeat_until(&form, "the new address", |outcome| *outcome == served("1"));
    assert_eq!(outcomes, vec![served("1"); 20]);
    Record { outcomes, seen: Vec::new() }
}

fn a_new_server_is_used<F: Form>() -> Record {
    let group = servers_with_names();
    let agent = Agent::start(vec![group.hosts()[0].clone()]);
    let form = F::start(&config(agent.address, |_| {}));
    assert_eq!(form.request(ClientRequest::safe()), served("0"));
    agent.set_hosts(group.hosts());
    wait_until("the new one serves", || form.request(ClientRequest::safe()) == served("1"));
    Record { outcomes: Vec::new(), seen: Vec::new() }
}

/// Rule 4: a server that has just started, at a fraction of its speed, gets far fewer requests than
/// a warm one.
fn a_cold_server_gets_its_share_and_no_more<F: Form>() -> bool {
    let group = servers_with_names();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    let mut hosts = group.hosts();
    hosts[1]["born_ms"] = json!(now.as_millis() as u64);
    let agent = Agent::start(hosts);
    let form = F::start(&config(agent.address, |c| {
        // The server stays cold for so long that the test's own duration does not matter.
        c["settings"]["rules"]["cold"] = json!(3_600_000_000u64);
        c["settings"]["rules"]["coldShare"] = json!(0.05);
    }));
    let outcomes: Vec<Outcome> = (0..200).map(|_| form.request(ClientRequest::safe())).collect();
    let cold = outcomes.iter().filter(|outcome| **outcome == served("1")).count();
    let warm = outcomes.iter().filter(|outcome| **outcome == served("0")).count();
    assert!(cold + warm == 200 && cold <= 40, "{cold} of 200 at a server of a twentieth");
    cold <= 40
}

fn the_remembered_list_serves_while_discovery_is_down<F: Form>() -> Record {
    let group = servers_with_names();
    let known = json!({"seq": 4, "whole": true, "hosts": [group.hosts()[1]]});
    let form = F::start(&config(refusing_address(), |c| c["known"] = known));
    let record = Record::of(vec![form.request(ClientRequest::safe())], &group);
    assert_eq!(record.outcomes, [served("1")]);
    record
}
