//! Upgrades: a new process takes over from the old one, and no client notices.

use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::{Value, json};

/// A folder that processes share, removed on drop.
pub(crate) struct SharedFolder(pub(crate) PathBuf);

impl SharedFolder {
    pub(crate) fn new(name: &str) -> SharedFolder {
        let folder = std::env::temp_dir().join(format!("plankvale-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        SharedFolder(folder)
    }
}

impl Drop for SharedFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub(crate) fn config_with_admin(agent: &Agent, listener: &TcpListener) -> Value {
    let at = listener.local_addr().unwrap().to_string();
    config(agent.address, |c| {
        c["admin"] = json!("127.0.0.1:0");
        c["listen"] = json!(at);
        // With a fixed port, both processes would have to know it.
        c["peer_listen"] = json!("127.0.0.1:0");
        c["peers"] = json!([at, at, at]);
    })
}

#[test]
fn clients_stay_connected_over_an_upgrade() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(2, move |mut conn, seen| {
        if seen.message.first.contains("/order") {
            let (release, released) = channel::<()>();
            let _ = arrived.send(release);
            let _ = released.recv_timeout(WAIT_TIMEOUT);
        }
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("stay");
    let config = config_with_admin(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);

    let mut idle_clients: Vec<_> = (0..20).map(|_| old.client()).collect();
    for client in &mut idle_clients {
        client.send(safe());
        assert_eq!(client.message().unwrap().status(), 200);
    }
    let mut silent_clients: Vec<_> = (0..5).map(|_| old.client()).collect();
    let mut waiting_client = old.client();
    waiting_client.send(unsafe_with("x"));
    let release = receive(&arrivals);
    let mut partial_client = old.client();
    let request = safe();
    let (first, rest) = request.split_at(request.len() / 2);
    partial_client.send(first);

    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    assert_eq!(old.admin_request("GET /v1/readyz").status(), 503);
    partial_client.send(rest);
    assert_eq!(partial_client.message().unwrap().status(), 200);
    release.send(()).unwrap();
    assert_eq!(waiting_client.message().unwrap().status(), 200);
    assert_eq!(old.exit_code(), Some(0));

    // The same connections stay in use.
    let all = idle_clients
        .iter_mut()
        .chain(&mut silent_clients)
        .chain([&mut waiting_client, &mut partial_client]);
    for client in all {
        client.send(safe());
        assert_eq!(client.message().expect("still connected").status(), 200);
    }
    assert_eq!(new.request(safe()).status(), 200);
    assert_eq!(new.metric("sidecar.succeeded.look"), 28);
    // Nothing ran twice in the process.
    assert_eq!(log.count(), 50);
}

/// Guards against an effect that runs twice: a request with an id that is open at the previous
/// process.
#[test]
fn an_id_open_at_the_old_process_is_not_accepted_again() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(2, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("ids");
    let mut config = config_with_admin(&agent, &listener);
    for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
        class["deadline"] = json!(20_000_000);
    }
    let old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let order = unsafe_with("x").replace("Left-Ms: 900", "Left-Ms: 15000");
    let mut first = old.client();
    first.send(&order);
    let release = receive(&arrivals);

    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    let mut second = new.client();
    second.send(&order);
    let answer = std::thread::scope(|scope| {
        let answered = scope.spawn(|| second.message().expect("an answer").status());
        // Either the request is refused, or a server has received it and waits for its release.
        wait_until("it is refused, or runs", || answered.is_finished() || log.count() > 1);
        arrivals.try_iter().for_each(|release| release.send(()).unwrap());
        answered.join().expect("no panic")
    });
    release.send(()).unwrap();
    assert_eq!(first.message().expect("an answer").status(), 200);
    assert_ne!(answer, 200, "the order ran under the same id at both processes");
    assert_eq!(log.count(), 1, "the order ran once");
}

/// Guards against the same while both processes run, before the old one is told to stop.
#[test]
fn the_new_process_accepts_no_request_before_the_handover() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("turn");
    let config = config_with_admin(&agent, &listener);
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
    // A process that was killed hands nothing over.
    let last = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the last one is ready", || last.admin_request("GET /v1/readyz").status() == 200);
    new.child.kill().expect("killed");
    assert_eq!(last.request(safe()).status(), 200);
}

/// Guards against the same if a process died while it waited for its turn: the next one looks for
/// the process that serves.
#[test]
fn a_process_that_died_while_waiting_does_not_hide_the_one_that_serves() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("line");
    let config = config_with_admin(&agent, &listener);
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

/// Guards against the same if two processes wait: the later one is next, and the other one waits
/// for it.
#[test]
fn of_two_waiting_processes_one_accepts_requests() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("two");
    let config = config_with_admin(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let waiting = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the next one is ready", || waiting.admin_request("GET /v1/readyz").status() == 200);
    let mut new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the last one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    assert_eq!(old.exit_code(), Some(0));
    for _ in 0..50 {
        assert_eq!(new.request(safe()).status(), 200);
    }
    assert_eq!(new.metric("sidecar.succeeded.look"), 50);
    assert_eq!(waiting.metric("sidecar.succeeded.look"), 0);
    new.child.kill().expect("killed");
    assert_eq!(waiting.request(safe()).status(), 200);
}

/// Guards against the same if the old process reads the id only after it has begun to hand over.
#[test]
fn an_id_that_the_old_process_reads_late_is_accepted_once() {
    let (servers, log, seen) = servers(2, |mut conn, _| {
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("late");
    let config = config_with_admin(&agent, &listener);
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
    let folder = SharedFolder::new("follow");
    let config = config_with_admin(&agent, &listener);
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

/// If the new process does not start, the old one shuts down as without a successor.
#[test]
fn without_a_successor_it_drains() {
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("alone");
    let config = config_with_admin(&agent, &listener);
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
fn a_descriptor_that_is_no_listener_is_reported() {
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

/// Guards against handing over a connection with a partly read request: a client that does not wait
/// for its answer has sent part of the next request with the first. What the old process has read
/// of it cannot be handed over, so neither can the connection.
#[test]
fn a_connection_with_half_a_request_read_is_not_handed_over() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(1, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("half");
    let config = config_with_admin(&agent, &listener);
    let mut old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let mut client = old.client();
    let next_one = safe();
    let (first, rest) = next_one.split_at(next_one.len() / 2);
    client.send(safe() + first);
    let release = receive(&arrivals);
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    release.send(()).unwrap();
    assert_eq!(client.message().unwrap().body, b"served");
    // Nobody reads the rest as a separate request: the old process closes the connection, and the
    // client repeats the request.
    assert_eq!(old.exit_code(), Some(0));
    client.send(rest);
    assert_eq!(client.message(), None);
    assert_eq!(log.count(), 1);
}
