//! What the two processes of an upgrade hold together.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::mpsc::channel;

use millethook_testkit::*;
use serde_json::json;

use crate::upgrade::*;

/// Sockets that the processes of a sidecar may hold together.
const MOST: usize = 128;
/// Requests that are open at each of the two processes.
const OPEN: usize = 32;

/// The sockets that a process holds; those that two of them share have one name.
fn sockets(sidecar: &Sidecar) -> BTreeSet<PathBuf> {
    let path = format!("/proc/{}/fd", sidecar.child.id());
    let descriptors = std::fs::read_dir(path).expect("a living process").flatten();
    let names = descriptors.filter_map(|descriptor| std::fs::read_link(descriptor.path()).ok());
    names.filter(|name| name.to_string_lossy().starts_with("socket:")).collect()
}

/// Danger: the limit is the sidecar's, and it is ended for what its processes hold together: the old one with the
/// requests that it has open, the new one with those that came since.
#[test]
fn two_processes_of_an_upgrade_hold_what_one_may() {
    let (asked, told) = channel();
    let (servers, log, _) = servers(4, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("served"));
        Some(conn)
    });
    let agent = Agent::start(hosts(&servers));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let folder = Folder::new("limits");
    let mut config = operated(&agent, &listener);
    config["limits"]["sockets"] = json!(MOST);
    for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
        class["deadline"] = json!(20_000_000);
    }
    let patient = |_| unsafe_with("x").replace("Left-Ms: 900", "Left-Ms: 15000");
    let orders: Vec<String> = (0..2 * OPEN).map(patient).collect();
    let (first, then) = orders.split_at(OPEN);
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
    wait_until("all of the old one's are out", || log.count() == OPEN);
    let new = Sidecar::launch_with_listener(&config, &listener, &folder.0);
    wait_until("the new one is ready", || new.admin_request("GET /v1/readyz").status() == 200);
    old.terminate();
    old.wait_for_log("a successor goes on");
    clients.extend(open(&new, then));
    // The rest may be refused, or wait for room.
    wait_until("some of the new one's are out", || log.count() > OPEN + OPEN / 2);
    let held = sockets(&old).union(&sockets(&new)).count();
    for go in told.try_iter() {
        let _ = go.send(());
    }
    drop(clients);
    assert!(held <= MOST, "{held} sockets, {MOST} are allowed");
}
