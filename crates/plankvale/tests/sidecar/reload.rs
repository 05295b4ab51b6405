//! New configurations at SIGHUP, and starts with minimal limits.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::json;

/// Guards against a sidecar that does not start under limits that the platform does set.
#[test]
fn the_platforms_minimum_limits_suffice() {
    let a = Server::named("a");
    let agent = Agent::start(hosts(&[a]));
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["limits"] = json!({"cores": 0.2, "memory_mb": 32, "sockets": 256});
    }));
    assert_eq!(sidecar.served_by(), "a");
}

#[test]
fn a_new_configuration_changes_discovery_and_keeps_open_requests() {
    let (arrived, arrivals) = channel();
    let (held, _, _) = servers(1, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("held"));
        Some(conn)
    });
    let b = Server::named("b");
    // The versions of the new discovery are lower than those of the old one.
    let old = Agent::start(hosts(&held));
    old.set_hosts(hosts(&held));
    let new = Agent::start(vec![host("s-b", b.address)]);
    let mut sidecar = Sidecar::start(&config(old.address, |_| {}));
    let mut busy = sidecar.client();
    busy.send(safe());
    let release = receive(&arrivals);
    sidecar.reload(&config(new.address, |_| {}).to_string());
    wait_until("the new discovery is queried", || new.calls() > 0);
    release.send(()).unwrap();
    assert_eq!(busy.message().unwrap().body, b"held");
    wait_until("the connection to the old discovery is closed", || old.open() == 0);
    wait_until("the new list", || sidecar.served_by() == "b");
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

#[test]
fn discovery_on_request_changes_too() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let old = Agent::start(vec![host("s-a", a.address)]);
    let new = Agent::start(vec![host("s-b", b.address)]);
    let on_request = |agent: &Agent| {
        let known = json!({"seq": 0, "whole": true, "hosts": [host("s-a", a.address)]});
        config(agent.address, |c| {
            c["known"] = known;
            c["settings"]["discovery"] = json!("on_request");
            c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
        })
    };
    let sidecar = Sidecar::start(&on_request(&old));
    sidecar.reload(&on_request(&new).to_string());
    wait_until("the new list", || sidecar.served_by() == "b");
    wait_until("the connection to the old discovery is closed", || old.open() == 0);
}

#[test]
fn a_bad_configuration_leaves_the_old_one_in_force() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let agent = Agent::start(vec![host("s-a", a.address)]);
    let mut sidecar = Sidecar::start(&config(agent.address, |_| {}));
    let nowhere = config(agent.address, |c| c["discovery"] = json!("nowhere")).to_string();
    for bad in ["", "{", "{\"name\":\"n0\"}", nowhere.as_str()] {
        sidecar.reload(bad);
        sidecar.wait_for_log("the configuration stays as it was");
        assert_eq!(sidecar.served_by(), "a", "{bad}");
    }
    // The old discovery is still in use, and the next valid file is applied.
    agent.set_hosts(vec![host("s-b", b.address)]);
    wait_until("the updated list is used", || sidecar.served_by() == "b");
    let other = Agent::start(vec![host("s-a", a.address)]);
    sidecar.reload(&config(other.address, |_| {}).to_string());
    wait_until("the new list", || sidecar.served_by() == "a");
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

/// Guards against answers on reused connections that are not proven to be their requests' own once
/// handshakes have no price.
#[test]
fn a_new_price_of_handshakes_counts_for_open_connections() {
    const REQUESTS: usize = 8;
    // Each answer differs, as equal answers are proven at any price.
    let count = AtomicUsize::new(0);
    let server = Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|message| message.complete) {
            let close = |value: &str| value.eq_ignore_ascii_case("close");
            if message.header("connection").is_some_and(close) {
                conn.send(answer("200 OK", "Connection: close\r\n", "asked to close"));
                return;
            }
            conn.send(ok(&format!("kept open {}", count.fetch_add(1, Ordering::SeqCst))));
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let priced = config(agent.address, |_| {});
    let unpriced = config(agent.address, |c| c["settings"]["prices"]["handshake"] = json!(0));
    let sidecar = Sidecar::start(&priced);
    let all_kept = || (0..REQUESTS).all(|_| sidecar.served_by().starts_with("kept open"));
    assert!(all_kept());
    sidecar.reload(&unpriced.to_string());
    wait_until("connections are closed to prove answers", || {
        sidecar.served_by() == "asked to close"
    });
    sidecar.reload(&priced.to_string());
    wait_until("connections are kept open again", all_kept);
}

/// A configuration with changed settings, as text.
fn config_with(agent: &Agent, change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut value = config(agent.address, |c| c["admin"] = json!("127.0.0.1:0"));
    change(&mut value);
    value.to_string()
}

#[test]
fn classes_come_and_go_and_open_requests_keep_their_rules() {
    let (arrived, arrivals) = channel();
    let (held, log, _) = servers(2, move |conn, seen| {
        if seen.message.first.contains("/order/held") {
            let (release, released) = channel::<()>();
            let _ = arrived.send(release);
            let _ = released.recv_timeout(WAIT_TIMEOUT);
            // Whether the request ran is unknown.
            return None;
        }
        let mut conn = conn;
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&held));
    let sidecar = Sidecar::start(&serde_json::from_str(&config_with(&agent, |_| {})).unwrap());
    let mut busy = sidecar.client();
    busy.send(unsafe_with("x").replace("/order", "/order/held"));
    let release = receive(&arrivals);
    sidecar.reload(&config_with(&agent, |c| {
        let classes = c["settings"]["classes"].as_array_mut().unwrap();
        let mut page = classes[0].clone();
        page["name"] = json!("page");
        classes[2]["repeat"] = json!("idempotent");
        classes.push(page);
        classes.remove(0);
    }));
    wait_until("the configuration is applied", || sidecar.metric("sidecar.sighup_applied") == 1);
    // The open order still must not run twice.
    release.send(()).unwrap();
    assert_eq!(busy.message().unwrap().status(), 502);
    let of = |class: &str| safe().replace("/look", class);
    assert_eq!(sidecar.request(of("/page")).status(), 200);
    assert_eq!(sidecar.request(of("/order")).status(), 200);
    assert_eq!(sidecar.request(of("/look")).status(), 404);
    assert_eq!(sidecar.request(unsafe_with("x")).status(), 405);
    assert_eq!(sidecar.request(keyed()).status(), 200);
    assert_eq!(sidecar.metric("sidecar.succeeded.order"), 1);
    assert_eq!(sidecar.metric("sidecar.aborted.order"), 1);
    assert_eq!(log.count(), 4);
}

/// A head was read under the old settings, and its body ends after the new ones are in force.
#[test]
fn a_partly_read_request_keeps_the_settings_under_which_it_began() {
    let (servers, log, _) = servers(1, |mut conn, seen| {
        conn.send(ok(std::str::from_utf8(&seen.message.body).unwrap()));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let sidecar = Sidecar::start(&serde_json::from_str(&config_with(&agent, |_| {})).unwrap());
    let request = unsafe_with("body");
    let (head, rest) = request.split_at(request.len() - 2);
    let mut client = sidecar.client();
    client.send(head);
    // The head has been read once a request sent after it has been served.
    assert_eq!(sidecar.request(safe()).status(), 200);
    for n in 0..3 {
        sidecar.reload(&config_with(&agent, |c| {
            c["settings"]["classes"][2]["name"] = json!(format!("other-{n}"));
        }));
        wait_until("the configuration is applied", || {
            sidecar.metric("sidecar.sighup_applied") == n + 1
        });
    }
    client.send(rest);
    assert_eq!(client.message().unwrap().body, b"body");
    assert_eq!(log.count(), 2);
    assert_eq!(sidecar.metric("sidecar.succeeded.order"), 1);
}

#[test]
fn nothing_is_applied_from_an_invalid_file() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let sidecar = Sidecar::start(&serde_json::from_str(&config_with(&agent, |_| {})).unwrap());
    // Each of these files would also remove a class.
    let invalid_file = |invalidate: fn(&mut serde_json::Value)| {
        config_with(&agent, |c| {
            c["settings"]["classes"].as_array_mut().unwrap().remove(1);
            invalidate(c);
        })
    };
    fn remove(of: &mut serde_json::Value, key: &str) {
        of.as_object_mut().unwrap().remove(key).expect("it was there");
    }
    let files = [
        invalid_file(|c| c["settings"]["classes"][0]["deadline"] = json!(0)),
        invalid_file(|c| c["settings"]["classes"][1]["deadline"] = json!(-5)),
        invalid_file(|c| c["settings"]["classes"][0]["deadline"] = json!("soon")),
        invalid_file(|c| c["settings"]["limits"]["maxAttempts"] = json!(0)),
        invalid_file(|c| c["settings"]["limits"]["maxAttempts"] = json!(-1)),
        invalid_file(|c| c["settings"]["limits"]["maxAttempts"] = json!(2.5)),
        invalid_file(|c| remove(&mut c["settings"]["limits"], "maxAttempts")),
        invalid_file(|c| remove(&mut c["settings"], "limits")),
        invalid_file(|c| remove(&mut c["settings"]["classes"][0], "name")),
        invalid_file(|c| remove(&mut c["settings"]["classes"][1], "window")),
        invalid_file(|c| remove(&mut c["settings"], "tenants")),
        invalid_file(|c| remove(c, "discovery")),
        invalid_file(|c| c["settings"]["classes"] = json!([])),
        invalid_file(|c| c["settings"]["classes"] = json!({})),
        invalid_file(|c| c["settings"]["classes"][0]["name"] = json!("order")),
        String::new(),
        "null".to_owned(),
        config_with(&agent, |_| {})[..300].to_owned(),
    ];
    for (n, file) in files.iter().enumerate() {
        sidecar.reload(file);
        wait_until("the configuration is rejected", || {
            sidecar.metric("sidecar.sighup_rejected") == n as u64 + 1
        });
        assert_eq!(sidecar.request(keyed()).status(), 200, "{file}");
    }
    assert_eq!(sidecar.metric("sidecar.sighup_applied"), 0);
    sidecar.reload(&invalid_file(|_| {}));
    wait_until("the configuration is applied", || sidecar.metric("sidecar.sighup_applied") == 1);
    assert_eq!(sidecar.request(keyed()).status(), 404);
}

/// With discovery on request, sidecars that start together query it one after another. A sidecar
/// with a remembered list serves by it until its turn; here discovery never answers, and would not
/// be queried for hours.
#[test]
fn a_remembered_list_serves_until_discovery_is_asked() {
    let a = Server::named("a");
    let silent = Server::start(|conn| {
        std::thread::sleep(WAIT_TIMEOUT);
        drop(conn);
    });
    let sidecar = Sidecar::start(&config(silent.address, |c| {
        c["known"] = json!({"seq": 3, "whole": true, "hosts": [host("s-a", a.address)]});
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["rules"]["mustAskIn"] = json!(100_000_000_000u64);
    }));
    assert_eq!(sidecar.served_by(), "a");
}
