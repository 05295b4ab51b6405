//! Settings that change while requests are open.

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use millethook_testkit::*;
use serde_json::{Value, json};

fn config_with(agent: &Agent, change: impl FnOnce(&mut Value)) -> Value {
    config(agent.address, |c| {
        c["admin"] = json!("127.0.0.1:0");
        change(c);
    })
}

/// Sets how long any request may be open, in µs.
fn deadlines(micros: u64) -> impl FnOnce(&mut Value) {
    move |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["aim"] = json!(micros / 2);
            class["deadline"] = json!(micros);
        }
    }
}

/// Guards against forgetting an id while its request can still be open: the time for which ids are
/// remembered was computed once, at the start.
#[test]
fn an_id_stays_reserved_for_as_long_as_new_settings_keep_requests_open() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(1, move |mut conn, seen| {
        if seen.message.header("x-correlation-id") == Some("same") {
            let (release, released) = channel::<()>();
            let _ = arrived.send(release);
            let _ = released.recv_timeout(WAIT_TIMEOUT);
        }
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let sidecar = Sidecar::start(&config_with(&agent, deadlines(100_000)));
    sidecar.reload(&config_with(&agent, deadlines(15_000_000)).to_string());
    wait_until("the configuration is applied", || sidecar.metric("sidecar.sighup_applied") == 1);
    let with_long_time =
        |request: String| request.replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: 15000");
    let mut client = sidecar.client();
    client.send(with_long_time(safe_with_id("same")));
    let release = receive(&arrivals);
    // Lets time pass for several retention periods of the first settings, 0.6 s each, with a
    // request in each.
    for _ in 0..3 {
        thread::sleep(Duration::from_millis(700));
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
    assert_eq!(sidecar.request(with_long_time(safe_with_id("same"))).status(), 409);
    release.send(()).unwrap();
    assert_eq!(client.message().unwrap().status(), 200);
    assert_eq!(log.count(), 4);
}

/// A keyed request that may have run is repeated within the window in force when it arrived,
/// whatever its class has become.
#[test]
fn an_open_keyed_request_keeps_its_window_when_its_class_becomes_safe() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(2, move |conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        // Whether the request ran is unknown.
        conn.reset();
        None
    });
    let agent = Agent::start(hosts(&servers));
    let short = |c: &mut Value| {
        deadlines(15_000_000)(c);
        c["settings"]["classes"][1]["window"] = json!(300_000);
    };
    let sidecar = Sidecar::start(&config_with(&agent, short));
    let mut client = sidecar.client();
    client.send(keyed().replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: 15000"));
    let release = receive(&arrivals);
    sidecar.reload(
        &config_with(&agent, |c| {
            short(c);
            let classes = c["settings"]["classes"].as_array_mut().unwrap();
            classes[1]["repeat"] = json!("idempotent");
            classes[1]["window"] = json!(60_000_000);
            classes.reverse();
        })
        .to_string(),
    );
    wait_until("the configuration is applied", || sidecar.metric("sidecar.sighup_applied") == 1);
    thread::sleep(Duration::from_millis(300));
    release.send(()).unwrap();
    assert_eq!(client.message().unwrap().status(), 502);
    assert_eq!(log.count(), 1);
}
