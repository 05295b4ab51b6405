//! A new version beside the old one: no client sees the change.

use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::{Value, json};

/// A folder that processes share, and that goes with the test.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("plankvale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn operated(agent: &Agent, listener: &TcpListener) -> Value {
    let at = listener.local_addr().unwrap().to_string();
    config(agent.address, |c| {
        c["admin"] = json!("127.0.0.1:0");
        c["listen"] = json!(at);
        // A port of its own would have to be known to both.
        c["peer_listen"] = json!("127.0.0.1:0");
        c["peers"] = json!([at, at, at]);
    })
}

#[test]
fn clients_stay_connected_over_an_upgrade() {
    let (asked, told) = channel();
    let (servers, log, _) = servers(2, move |mut conn, seen| {
        if seen.message.first.contains("/order") {
            let (go, going) = channel::<()>();
            let _ = asked.send(go);
            let _ = going.recv_timeout(WAIT_TIMEOUT);
        }
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("stay");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);

    let mut asked_once: Vec<_> = (0..20).map(|_| old.client()).collect();
    for client in &mut asked_once {
        client.send(safe());
        assert_eq!(client.message().unwrap().status(), 200);
    }
    let mut silent: Vec<_> = (0..5).map(|_| old.client()).collect();
    let mut busy = old.client();
    busy.send(unsafe_with("x"));
    let go = receive(&told);
    let mut half = old.client();
    let request = safe();
    let (first, rest) = request.split_at(request.len() / 2);
    half.send(first);

    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    assert_eq!(old.admin_request("GET /v1/readyz").status(), 503);
    half.send(rest);
    assert_eq!(half.message().unwrap().status(), 200);
    go.send(()).unwrap();
    assert_eq!(busy.message().unwrap().status(), 200);
    assert_eq!(old.exit_code(), Some(0));

    // The very same connections go on.
    let all = asked_once.iter_mut().chain(&mut silent).chain([&mut busy, &mut half]);
    for client in all {
        client.send(safe());
        assert_eq!(client.message().expect("still connected").status(), 200);
    }
    assert_eq!(new.request(safe()).status(), 200);
    assert_eq!(new.metric("sidecar.succeeded.look"), 28);
    // Nothing ran twice on the way.
    assert_eq!(log.count(), 50);
}

/// Guards against an effect that runs twice: a request under an id that the process before has open.
#[test]
fn an_id_that_is_open_at_the_process_before_is_not_taken_again() {
    let (asked, told) = channel();
    let (servers, log, _) = servers(2, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("ids");
    let mut config = operated(&agent, &listener);
    for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
        class["deadline"] = json!(20_000_000);
    }
    let old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let order = unsafe_with("x").replace("Left-Ms: 900", "Left-Ms: 15000");
    let mut first = old.client();
    first.send(&order);
    let go = receive(&told);

    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    let mut second = new.client();
    second.send(&order);
    let answer = std::thread::scope(|scope| {
        let answered = scope.spawn(|| second.message().expect("an answer").status());
        // Either it is refused, or a server has been asked and waits to be told to go on.
        wait_until("it is refused, or runs", || answered.is_finished() || log.count() > 1);
        told.try_iter().for_each(|go| go.send(()).unwrap());
        answered.join().expect("no panic")
    });
    go.send(()).unwrap();
    assert_eq!(first.message().expect("an answer").status(), 200);
    assert_ne!(answer, 200, "the order ran under the same id at both processes");
    assert_eq!(log.count(), 1, "the order ran once");
}

/// Guards against the same while both processes run, before the old one is told to end.
#[test]
fn the_next_process_takes_no_request_before_it_is_handed_over() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("turn");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let mut new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    for _ in 0..50 {
        assert_eq!(old.request(safe()).status(), 200);
    }
    assert_eq!(old.metric("sidecar.succeeded.look"), 50);
    assert_eq!(new.metric("sidecar.succeeded.look"), 0);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(new.request(safe()).status(), 200);
    // One that was killed hands nothing over.
    let last = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the last one is ready", || last.admin_request("GET /v1/readyz").status() == 200);
    new.child.kill().expect("killed");
    assert_eq!(last.request(safe()).status(), 200);
}

/// Guards against the same where a process died while it waited for its turn: the next one looks for whoever serves.
#[test]
fn a_process_that_died_in_line_does_not_hide_the_one_that_serves() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("line");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let mut died = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the one that dies is ready", || {
        died.admin_request("GET /v1/readyz").status() == 200
    });
    died.child.kill().expect("killed");
    died.child.wait().expect("ended");
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    let mut client = old.client();
    assert_eq!(client.request(safe()).expect("an answer").status(), 200);
    for _ in 0..50 {
        assert_eq!(old.request(safe()).status(), 200);
    }
    assert_eq!(old.metric("sidecar.succeeded.look"), 51, "one process takes requests at a time");
    assert_eq!(new.metric("sidecar.succeeded.look"), 0);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    assert_eq!(client.request(safe()).expect("still connected").status(), 200);
    assert_eq!(new.metric("sidecar.succeeded.look"), 1);
}

/// Guards against the same where two processes wait: the later one is next, and the other one waits for that.
#[test]
fn of_two_processes_in_line_one_takes_requests() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("two");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let waits = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the next one is ready", || waits.admin_request("GET /v1/readyz").status() == 200);
    let mut new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the last one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    for _ in 0..50 {
        assert_eq!(new.request(safe()).status(), 200);
    }
    assert_eq!(new.metric("sidecar.succeeded.look"), 50);
    assert_eq!(waits.metric("sidecar.succeeded.look"), 0);
    new.child.kill().expect("killed");
    assert_eq!(waits.request(safe()).status(), 200);
}

/// Guards against the same where the old process reads the id only once it has begun to hand over.
#[test]
fn an_id_that_the_process_before_reads_late_is_taken_once() {
    let (servers, log, seen) = servers(2, |mut conn, _| {
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("late");
    let config = operated(&agent, &listener);
    let old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let order = unsafe_with("x");
    let (first, rest) = order.split_at(order.len() / 2);
    let mut late = old.client();
    // The old process reads this part before it answers another request.
    late.send(first);
    assert_eq!(old.request(safe()).status(), 200);
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    let mut second = new.client();
    assert_eq!(second.request(&order).expect("an answer").status(), 200);
    late.send(rest);
    assert_eq!(late.message().expect("an answer").status(), 409);
    assert_eq!(log.count(), 2);
    let orders = seen.try_iter().filter(|seen| seen.message.first.contains("/order")).count();
    assert_eq!(orders, 1, "the order ran once");
}

#[test]
fn upgrades_follow_one_another() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("follow");
    let config = operated(&agent, &listener);
    let mut serving = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    let mut client = serving.client();
    for _ in 0..3 {
        client.send(safe());
        assert_eq!(client.message().expect("still connected").status(), 200);
        let next = Sidecar::launch_with_listener(&config, &listener, &folder.0);
        wait_until("ready", || next.admin_request("GET /v1/readyz").status() == 200);
        serving.terminate();
        assert_eq!(serving.exit_code(), Some(0));
        serving = next;
    }
    assert_eq!(client.request(safe()).expect("still connected").status(), 200);
}

/// The new one may never come up: the old one then ends as if nobody were to follow.
#[test]
fn without_a_successor_it_drains() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("alone");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    let mut client = old.client();
    assert_eq!(client.request(safe()).unwrap().status(), 200);
    let died = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    drop(died);
    old.terminate();
    assert!(client.closed_by_peer());
    assert_eq!(old.exit_code(), Some(0));
}

#[test]
fn a_descriptor_that_is_no_listener_is_named() {
    let agent = Agent::start(Vec::new());
    let config = config(agent.address, |_| {}).to_string();
    for (fd, complaint) in [
        ("250", "LB_INHERITED_FD: 250: Bad file descriptor"),
        ("x", "LB_INHERITED_FD: the number of a descriptor above 2 expected, not \"x\""),
        ("0", "not \"0\""),
    ] {
        let output = failed_start(&config, &[("LB_INHERITED_FD", fd)]);
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(log.contains(complaint), "{log}");
    }
}

/// Danger: a client that does not wait for its answer has sent part of the next request with the first. What the old
/// process has read of it cannot be passed on, so neither can the connection.
#[test]
fn a_connection_with_half_a_request_read_is_not_passed_on() {
    let (asked, told) = channel();
    let (servers, log, _) = servers(1, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("half");
    let config = operated(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let mut client = old.client();
    let next_one = safe();
    let (first, rest) = next_one.split_at(next_one.len() / 2);
    client.send(safe() + first);
    let go = receive(&told);
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    go.send(()).unwrap();
    assert_eq!(client.message().unwrap().body, b"served");
    // Nobody reads the rest as a request of its own: the old process ends the connection, and the client asks anew.
    assert_eq!(old.exit_code(), Some(0));
    client.send(rest);
    assert_eq!(client.message(), None);
    assert_eq!(log.count(), 1);
}
