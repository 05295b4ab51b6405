//! Resources that the two processes of an upgrade hold together.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::json;

use crate::upgrade::*;

/// The sockets that the processes of a sidecar may hold together.
const MAX_SOCKETS: usize = 128;
/// The requests that are open at each of the two processes.
const OPEN_REQUESTS: usize = 32;

/// The sockets that a process holds; a socket that two of them share has the same name in both.
fn sockets(sidecar: &Sidecar) -> BTreeSet<PathBuf> {
    let path = format!("/proc/{}/fd", sidecar.child.id());
    let descriptors = std::fs::read_dir(path).expect("a living process").flatten();
    let names = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
    names.filter(|name| name.to_string_lossy().starts_with("socket:")).collect()
}

/// Guards against exceeding the sidecar's limit during an upgrade. The sidecar is killed if its
/// processes together exceed it: the old one holds the requests that it has open, the new one those
/// that arrived since.
#[test]
fn two_processes_of_an_upgrade_hold_what_one_may() {
    let (arrived, arrivals) = channel();
    let (servers, log, _) = servers(4, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = SharedFolder::new("limits");
    let mut config = config_with_admin(&agent, &listener);
    config["limits"]["sockets"] = json!(MAX_SOCKETS);
    for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
        class["deadline"] = json!(20_000_000);
    }
    let long_order = |_| unsafe_with("x").replace("Left-Ms: 900", "Left-Ms: 15000");
    let orders: Vec<String> = (0..2 * OPEN_REQUESTS).map(long_order).collect();
    let (first, later) = orders.split_at(OPEN_REQUESTS);
    let old = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the old one is ready", || old.admin_request("GET /v1/readyz").status() == 200);
    let open = |sidecar: &Sidecar, orders: &[String]| -> Vec<Conn> {
        let client = |order: &String| {
            let mut client = sidecar.client();
            client.send(order);
            client
        };
        orders.iter().map(client).collect()
    };
    let mut clients = open(&old, first);
    wait_until("all requests of the old process are open", || log.count() == OPEN_REQUESTS);
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    clients.extend(open(&new, later));
    // The rest may be refused, or wait for room.
    wait_until("some requests of the new process are open", || {
        log.count() > OPEN_REQUESTS + OPEN_REQUESTS / 2
    });
    let held = sockets(&old).union(&sockets(&new)).count();
    for release in arrivals.try_iter() {
        let _ = release.send(());
    }
    drop(clients);
    assert!(held <= MAX_SOCKETS, "{held} sockets, {MAX_SOCKETS} are allowed");
}
