//! New configurations at SIGHUP, and a start with little of everything.

use std::sync::atomic::{AtomicUsize, Ordering};
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
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("held"));
        Some(conn)
    });
    let b = Server::named("b");
    // Versions of the new one lie behind those of the old one.
    let old = Agent::start(hosts(&held));
    old.set_hosts(hosts(&held));
    let new = Agent::start(vec![host("s-b", b.address)]);
    let mut sidecar = Sidecar::start(&config(old.address, |_| {}));
    let mut busy = sidecar.client();
    busy.send(safe());
    let go = receive(&told);
    sidecar.reload(&config(new.address, |_| {}).to_string());
    wait_until("the new discovery asked", || new.calls() > 0);
    go.send(()).unwrap();
    assert_eq!(busy.message().unwrap().body, b"held");
    wait_until("the old discovery left", || old.open() == 0);
    wait_until("the new list", || sidecar.served_by() == "b");
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
    wait_until("the new list", || sidecar.served_by() == "b");
    wait_until("the old discovery left", || old.open() == 0);
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
    // The old discovery is still listened to, and the next sound file counts.
    agent.set_hosts(vec![host("s-b", b.address)]);
    wait_until("its news", || sidecar.served_by() == "b");
    let other = Agent::start(vec![host("s-a", a.address)]);
    sidecar.reload(&config(other.address, |_| {}).to_string());
    wait_until("the new list", || sidecar.served_by() == "a");
    assert!(sidecar.child.try_wait().unwrap().is_none());
}

/// Guards against answers that go on unproven once handshakes have no price any more.
#[test]
fn a_new_price_of_handshakes_counts_for_open_connections() {
    const REQUESTS: usize = 8;
    // Each answer differs: where they are alike, they are proven at any price.
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
    wait_until("answers are proven", || sidecar.served_by() == "asked to close");
    sidecar.reload(&priced.to_string());
    wait_until("answers are proven no more", all_kept);
}

/// A configuration whose settings are changed so.
fn retuned(agent: &Agent, change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut whole = config(agent.address, |c| c["admin"] = json!("127.0.0.1:0"));
    change(&mut whole);
    whole.to_string()
}

#[test]
fn classes_come_and_go_and_open_requests_keep_their_rules() {
    let (asked, told) = channel();
    let (held, log, _) = servers(2, move |conn, seen| {
        if seen.message.first.contains("/order/held") {
            let (go, going) = channel::<()>();
            let _ = asked.send(go);
            let _ = going.recv_timeout(WAIT_TIMEOUT);
            // Whether it ran, nobody can tell.
            return None;
        }
        let mut conn = conn;
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&held));
    let sidecar = Sidecar::start(&serde_json::from_str(&retuned(&agent, |_| {})).unwrap());
    let mut busy = sidecar.client();
    busy.send(unsafe_with("x").replace("/order", "/order/held"));
    let go = receive(&told);
    sidecar.reload(&retuned(&agent, |c| {
        let classes = c["settings"]["classes"].as_array_mut().unwrap();
        let mut page = classes[0].clone();
        page["name"] = json!("page");
        classes[2]["repeat"] = json!("idempotent");
        classes.push(page);
        classes.remove(0);
    }));
    wait_until("taken", || sidecar.metric("sidecar.sighup_applied") == 1);
    // The open order is still one that must not run twice.
    go.send(()).unwrap();
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

/// A head that was read under the old settings, whose body ends after the new ones hold.
#[test]
fn a_request_half_here_is_of_the_settings_under_which_it_began() {
    let (servers, log, _) = servers(1, |mut conn, seen| {
        conn.send(ok(std::str::from_utf8(&seen.message.body).unwrap()));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let sidecar = Sidecar::start(&serde_json::from_str(&retuned(&agent, |_| {})).unwrap());
    let request = unsafe_with("body");
    let (head, rest) = request.split_at(request.len() - 2);
    let mut client = sidecar.client();
    client.send(head);
    // Its head has been read once a request behind it has been served.
    assert_eq!(sidecar.request(safe()).status(), 200);
    for n in 0..3 {
        sidecar.reload(&retuned(&agent, |c| {
            c["settings"]["classes"][2]["name"] = json!(format!("other-{n}"));
        }));
        wait_until("taken", || sidecar.metric("sidecar.sighup_applied") == n + 1);
    }
    client.send(rest);
    assert_eq!(client.message().unwrap().body, b"body");
    assert_eq!(log.count(), 2);
    assert_eq!(sidecar.metric("sidecar.succeeded.order"), 1);
}

#[test]
fn nothing_is_taken_from_a_file_that_is_not_whole() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let sidecar = Sidecar::start(&serde_json::from_str(&retuned(&agent, |_| {})).unwrap());
    // Each of them would also drop a class.
    let broken = |spoil: fn(&mut serde_json::Value)| {
        retuned(&agent, |c| {
            c["settings"]["classes"].as_array_mut().unwrap().remove(1);
            spoil(c);
        })
    };
    fn remove(of: &mut serde_json::Value, key: &str) {
        of.as_object_mut().unwrap().remove(key).expect("it was there");
    }
    let files = [
        broken(|c| c["settings"]["classes"][0]["deadline"] = json!(0)),
        broken(|c| c["settings"]["classes"][1]["deadline"] = json!(-5)),
        broken(|c| c["settings"]["classes"][0]["deadline"] = json!("soon")),
        broken(|c| c["settings"]["limits"]["maxAttempts"] = json!(0)),
        broken(|c| c["settings"]["limits"]["maxAttempts"] = json!(-1)),
        broken(|c| c["settings"]["limits"]["maxAttempts"] = json!(2.5)),
        broken(|c| remove(&mut c["settings"]["limits"], "maxAttempts")),
        broken(|c| remove(&mut c["settings"], "limits")),
        broken(|c| remove(&mut c["settings"]["classes"][0], "name")),
        broken(|c| remove(&mut c["settings"]["classes"][1], "window")),
        broken(|c| remove(&mut c["settings"], "tenants")),
        broken(|c| remove(c, "discovery")),
        broken(|c| c["settings"]["classes"] = json!([])),
        broken(|c| c["settings"]["classes"] = json!({})),
        broken(|c| c["settings"]["classes"][0]["name"] = json!("order")),
        String::new(),
        "null".to_owned(),
        retuned(&agent, |_| {})[..300].to_owned(),
    ];
    for (n, file) in files.iter().enumerate() {
        sidecar.reload(file);
        wait_until("turned down", || sidecar.metric("sidecar.sighup_rejected") == n as u64 + 1);
        assert_eq!(sidecar.request(keyed()).status(), 200, "{file}");
    }
    assert_eq!(sidecar.metric("sidecar.sighup_applied"), 0);
    sidecar.reload(&broken(|_| {}));
    wait_until("taken", || sidecar.metric("sidecar.sighup_applied") == 1);
    assert_eq!(sidecar.request(keyed()).status(), 404);
}

/// Where discovery is asked, those that start together ask one after the other. Whoever has a list from before
/// serves by it until then; here discovery never answers, and would not be asked for hours.
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
