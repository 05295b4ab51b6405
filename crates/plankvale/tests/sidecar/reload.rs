//! New configurations at SIGHUP, and a start with little of everything.

use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::json;

/// Danger: a limit that the platform does set must not keep the sidecar from starting.
#[test]
fn the_least_limits_of_the_platform_are_enough() {
    let a = Server::named("a");
    let agent = Agent::start(hosts(&[a]));
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["limits"] = json!({"cores": 0.2, "memory_mb": 32, "sockets": 256});
    }));
    assert_eq!(sidecar.served_by(), "a");
}

#[test]
fn a_new_configuration_moves_discovery_and_keeps_what_is_under_way() {
    let (asked, told) = channel();
    let (held, _, _) = servers(1, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(BOUND);
        conn.send(ok("held"));
        Some(conn)
    });
    let b = Server::named("b");
    // Versions of the new one lie behind those of the old one.
    let old = Agent::start(hosts(&held));
    old.change(hosts(&held));
    let new = Agent::start(vec![host("s-b", b.address)]);
    let mut sidecar = Sidecar::start(&config(old.address, |_| {}));
    let mut busy = sidecar.client();
    busy.send(safe());
    let go = next(&told);
    sidecar.reload(&config(new.address, |_| {}).to_string());
    within("the new discovery asked", || new.calls() > 0);
    go.send(()).unwrap();
    assert_eq!(busy.message().unwrap().body, b"held");
    within("the old discovery left", || old.open() == 0);
    within("the new list", || sidecar.served_by() == "b");
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

#[test]
fn discovery_moves_where_it_is_asked_too() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let old = Agent::start(vec![host("s-a", a.address)]);
    let new = Agent::start(vec![host("s-b", b.address)]);
    let asked = |agent: &Agent| {
        let known = json!({"seq": 0, "whole": true, "hosts": [host("s-a", a.address)]});
        config(agent.address, |c| {
            c["known"] = known;
            c["settings"]["discovery"] = json!("on_request");
            c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
        })
    };
    let sidecar = Sidecar::start(&asked(&old));
    sidecar.reload(&asked(&new).to_string());
    within("the new list", || sidecar.served_by() == "b");
    within("the old discovery left", || old.open() == 0);
}

#[test]
fn a_bad_configuration_leaves_the_old_one_in_force() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let agent = Agent::start(vec![host("s-a", a.address)]);
    let mut sidecar = Sidecar::start(&config(agent.address, |_| {}));
    let nowhere = config(agent.address, |c| c["discovery"] = json!("nowhere")).to_string();
    for bad in ["", "{", "{\"name\":\"n0\"}", nowhere.as_str()] {
        sidecar.reload(bad);
        sidecar.logged("the configuration stays as it was");
        assert_eq!(sidecar.served_by(), "a", "{bad}");
    }
    // The old discovery is still listened to, and the next sound file counts.
    agent.change(vec![host("s-b", b.address)]);
    within("its news", || sidecar.served_by() == "b");
    let other = Agent::start(vec![host("s-a", a.address)]);
    sidecar.reload(&config(other.address, |_| {}).to_string());
    within("the new list", || sidecar.served_by() == "a");
    assert!(sidecar.child.try_wait().unwrap().is_none());
}
