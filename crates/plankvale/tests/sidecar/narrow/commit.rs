//! What was right when an attempt was decided on, and is so no more when its first byte could go out: the attempt's
//! connection comes up late, and the other event has been seen by then.

use std::sync::mpsc::{Receiver, channel};

use millethook_testkit::*;
use serde_json::{Value, json};

/// Connections may come up late, and requests wait for that.
fn patient(config: &mut Value) {
    config["admin"] = json!("127.0.0.1:0");
    let settings = &mut config["settings"];
    settings["limits"]["connectTimeout"] = json!(5_000_000);
    for class in settings["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(12_000_000);
        class["deadline"] = json!(12_000_000);
    }
}

fn long(request: String) -> String {
    request.replace("X-Time-Left-Ms: 900", "X-Time-Left-Ms: 12000")
}

/// Waits until a request is under way: its attempt is opening a connection by then.
fn taken(sidecar: &Sidecar) {
    wait_until("a request under way", || sidecar.metric("sidecar.outstanding") == 1);
    // That call may have come before the attempt's turn; the next one cannot.
    assert_eq!(sidecar.metric("sidecar.outstanding"), 1);
}

/// Lets connections to a silent server come up; tells of each whether a request came on it.
fn opened(silent: BlackHole) -> Receiver<bool> {
    let (tell, told) = channel();
    silent.start_accepting(move |mut conn| {
        let got = conn.message().is_some();
        let _ = tell.send(got);
        conn.send(ok("a"));
    });
    told
}

/// Rule 3: a send counts from its first byte, so one that was decided on before the server began to drain, and whose
/// connection comes up after its grace, would be one too late.
#[test]
fn a_server_that_drains_while_its_connection_comes_up_gets_no_request() {
    for unlisted in [false, true] {
        let (silent, b) = (BlackHole::start(), Server::named("b"));
        let mut a = host("s-a", silent.address);
        let agent = Agent::start(vec![a.clone()]);
        let sidecar = Sidecar::start(&config(agent.address, patient));
        let mut client = sidecar.client();
        client.send(long(unsafe_with("x")));
        taken(&sidecar);
        a["health"] = json!("leaving");
        let news = [host("s-b", b.address), a];
        agent.set_hosts(news[..if unlisted { 1 } else { 2 }].to_vec());
        // Another request shows that the news has come.
        wait_until("the news", || {
            let mut witness = sidecar.client();
            witness.send(safe());
            witness.message().is_some_and(|m| m.body == b"b")
        });
        let told = opened(silent);
        assert!(!receive(&told), "a request to a server that drains");
        // It never ran, so it goes elsewhere.
        assert_eq!(client.message().unwrap().body, b"b");
    }
}

/// A client that has gone is sent on for no more, also where servers' work may not be called off.
#[test]
fn a_request_whose_client_left_while_its_connection_came_up_is_not_sent() {
    for cancel in [false, true] {
        let silent = BlackHole::start();
        let agent = Agent::start(vec![host("s-a", silent.address)]);
        let sidecar = Sidecar::start(&config(agent.address, |c| {
            patient(c);
            c["settings"]["limits"]["cancel"] = json!(cancel);
        }));
        let mut client = sidecar.client();
        client.send(long(safe()));
        taken(&sidecar);
        // Something behind it, which nobody reads while the request waits.
        client.send("GET /look");
        client.socket.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(client.closed_by_peer());
        wait_until("no request", || sidecar.metric("sidecar.outstanding") == 0);
        let told = opened(silent);
        if !cancel {
            assert!(!receive(&told), "a request for nobody");
        }
        // Where the attempt is called off, no connection comes up: the next one is another request's.
        assert_eq!(sidecar.request(long(safe())).body, b"a");
        assert!(receive(&told));
    }
}

/// Rule 2: copies of a keyed request count when their last byte is out, so each has to be out within the window of the
/// first, or one could land when the servers have forgotten the other.
#[test]
fn a_keyed_request_is_not_sent_after_its_window() {
    let silent = BlackHole::start();
    let agent = Agent::start(vec![host("s-a", silent.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        patient(c);
        c["settings"]["classes"][1]["window"] = json!(300_000);
        c["settings"]["limits"]["maxAttempts"] = json!(1);
    }));
    let mut client = sidecar.client();
    client.send(long(keyed()));
    taken(&sidecar);
    // The connection comes up when its system tries again, a second after the first time.
    let told = opened(silent);
    assert!(!receive(&told), "a request after its window");
    // It never ran: trying again is harmless.
    assert_eq!(client.message().unwrap().status(), 503);
}

/// A burst of clients that leave together while their requests wait: none of them is sent on.
#[test]
fn a_burst_of_clients_that_leave_together_sends_nothing() {
    let silent = BlackHole::start();
    let agent = Agent::start(vec![host("s-a", silent.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        patient(c);
        c["settings"]["limits"]["cancel"] = json!(false);
    }));
    let mut clients: Vec<_> = (0..8).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        client.send(long(unsafe_with("x")));
        client.send("POST /order");
    }
    // As many as may come up at once to one server: none waits for another one's handshake.
    wait_until("all under way", || sidecar.metric("sidecar.outstanding") == 8);
    assert_eq!(sidecar.metric("sidecar.outstanding"), 8);
    // Some by an end, some by a reset.
    for (n, client) in clients.into_iter().enumerate() {
        if n % 2 == 0 { drop(client) } else { client.reset() }
    }
    wait_until("none under way", || sidecar.metric("sidecar.outstanding") == 0);
    let (tell, told) = channel();
    silent.start_accepting(move |mut conn| {
        while let Some(message) = conn.message() {
            let _ = tell.send(message.first);
            conn.send(ok("a"));
        }
    });
    // The first that the server gets is what is asked for now, and so is all else that it gets.
    wait_until("served", || sidecar.request(long(safe())).body == b"a");
    assert!(told.try_iter().all(|first| first.starts_with("GET")), "an order of nobody");
}
