//! Decisions that are outdated when an attempt's first byte can be sent: the attempt's connection
//! is established late, and another event has arrived by then.

use std::sync::mpsc::{Receiver, channel};

use millethook_testkit::*;
use serde_json::{Value, json};

/// Allows for connections that are established late, with requests that wait for them.
fn allow_late_connections(config: &mut Value) {
    config["admin"] = json!("127.0.0.1:0");
    let settings = &mut config["settings"];
    settings["limits"]["connectTimeout"] = json!(5_000_000);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(12_000_000);
        class["deadline"] = json!(12_000_000);
    }
}

fn with_long_time(request: String) -> String {
    request.replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: 12000")
}

/// Waits until a request is open and its attempt is establishing a connection.
fn wait_for_open_request(sidecar: &Sidecar) {
    wait_until("a request is open", || sidecar.metric("sidecar.outstanding") == 1);
    // The first metrics request may have been handled before the attempt started; the next one
    // cannot.
    assert_eq!(sidecar.metric("sidecar.outstanding"), 1);
}

/// Lets connections to a black hole be established; tells for each whether a request arrived on it.
fn accept_and_report(silent: BlackHole) -> Receiver<bool> {
    let (report, request_arrived) = channel();
    silent.start_accepting(move |mut conn| {
        let got = conn.message().is_some();
        let _ = report.send(got);
        conn.send(ok("a"));
    });
    request_arrived
}

/// Rule 3: a send counts from its first byte. An attempt that was decided before the server began
/// to drain, and whose connection is established after the grace period, would be sent too late.
#[test]
fn a_server_that_drains_while_its_connection_is_established_gets_no_request() {
    for unlisted in [false, true] {
        let (silent, b) = (BlackHole::start(), Server::named("b"));
        let mut a = host("s-a", silent.address);
        let agent = Agent::start(vec![a.clone()]);
        let sidecar = Sidecar::start(&config(agent.address, allow_late_connections));
        let mut client = sidecar.client();
        client.send(with_long_time(unsafe_with("x")));
        wait_for_open_request(&sidecar);
        a["health"] = json!("leaving");
        let update = [host("s-b", b.address), a];
        agent.set_hosts(update[..if unlisted { 1 } else { 2 }].to_vec());
        // Another request shows that the new list has arrived.
        wait_until("the updated list is used", || {
            let mut witness = sidecar.client();
            witness.send(safe());
            witness.message().is_some_and(|m| m.body == b"b")
        });
        let request_arrived = accept_and_report(silent);
        assert!(!receive(&request_arrived), "a request to a server that drains");
        // The request never ran, so it goes to another server.
        assert_eq!(client.message().unwrap().body, b"b");
    }
}

/// A request whose client has left is not sent, even if servers' work may not be cancelled.
#[test]
fn a_request_whose_client_left_while_its_connection_was_established_is_not_sent() {
    for cancel in [false, true] {
        let silent = BlackHole::start();
        let agent = Agent::start(vec![host("s-a", silent.address)]);
        let sidecar = Sidecar::start(&config(agent.address, |c| {
            allow_late_connections(c);
            c["settings"]["limits"]["cancel"] = json!(cancel);
        }));
        let mut client = sidecar.client();
        client.send(with_long_time(safe()));
        wait_for_open_request(&sidecar);
        // Further bytes, which nobody reads while the request waits.
        client.send("GET /look");
        client.socket.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(client.closed_by_peer());
        wait_until("no request is open", || sidecar.metric("sidecar.outstanding") == 0);
        let request_arrived = accept_and_report(silent);
        if !cancel {
            assert!(!receive(&request_arrived), "a request of a departed client");
        }
        // If the attempt is cancelled, no connection is established for it, and the next connection
        // carries another request.
        assert_eq!(sidecar.request(with_long_time(safe())).body, b"a");
        assert!(receive(&request_arrived));
    }
}

/// Rule 2: copies of a keyed request count from their last byte. Each one has to be sent within the
/// window of the first, or one could arrive after the servers have forgotten the other.
#[test]
fn a_keyed_request_is_not_sent_after_its_window() {
    let silent = BlackHole::start();
    let agent = Agent::start(vec![host("s-a", silent.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        allow_late_connections(c);
        c["settings"]["classes"][1]["window"] = json!(300_000);
        c["settings"]["limits"]["maxAttempts"] = json!(1);
    }));
    let mut client = sidecar.client();
    client.send(with_long_time(keyed()));
    wait_for_open_request(&sidecar);
    // The connection is established when the kernel retries, one second after the first attempt.
    let request_arrived = accept_and_report(silent);
    assert!(!receive(&request_arrived), "a request after its window");
    // The request never ran, so trying again is harmless.
    assert_eq!(client.message().unwrap().status(), 503);
}

/// A burst of clients that leave together while their requests wait: none of the requests is sent.
#[test]
fn a_burst_of_clients_that_leave_together_sends_nothing() {
    let silent = BlackHole::start();
    let agent = Agent::start(vec![host("s-a", silent.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        allow_late_connections(c);
        c["settings"]["limits"]["cancel"] = json!(false);
    }));
    let mut clients: Vec<_> = (0..8).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        client.send(with_long_time(unsafe_with("x")));
        client.send("POST /order");
    }
    // As many connections as may be established to one server at once, so that no request waits for
    // another one's handshake.
    wait_until("all requests are open", || sidecar.metric("sidecar.outstanding") == 8);
    assert_eq!(sidecar.metric("sidecar.outstanding"), 8);
    // Some clients close, others reset.
    for (n, client) in clients.into_iter().enumerate() {
        if n % 2 == 0 { drop(client) } else { client.reset() }
    }
    wait_until("no request is open", || sidecar.metric("sidecar.outstanding") == 0);
    let (report, request_arrived) = channel();
    silent.start_accepting(move |mut conn| {
        while let Some(message) = conn.message() {
            let _ = report.send(message.first);
            conn.send(ok("a"));
        }
    });
    // The server receives only the request that is sent now.
    wait_until("served", || sidecar.request(with_long_time(safe())).body == b"a");
    assert!(
        request_arrived.try_iter().all(|first| first.starts_with("GET")),
        "an order of a departed client"
    );
}
