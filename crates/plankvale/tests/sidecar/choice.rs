//! Which servers get requests when servers are loaded, full or unreachable.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

/// Gives all classes so much time that no condition of a test depends on the clock.
fn set_aim_and_deadline(config: &mut Value, aim_s: u64, deadline_s: u64) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(aim_s * 1_000_000);
        class["deadline"] = json!(deadline_s * 1_000_000);
    }
}

fn with_long_time(request: String) -> String {
    request.replace("Left-Ms: 900", "Left-Ms: 60000")
}

/// Guards against a zone whose stalled servers send no answers, so that no answer changes the
/// cross-zone share. The open requests at the local servers show the load at once, and further
/// requests go to the other zone, where fewer wait, although it costs more. No server answers in
/// this test, so only open requests can show the load, however slow the machine is.
#[test]
fn load_on_a_stalled_zone_crosses_at_once() {
    let stalled = |n| {
        servers(n, |mut conn, _| {
            conn.closed_by_peer();
            None
        })
    };
    let ((local_servers, local_log, _a), (remote_servers, remote_log, _b)) =
        (stalled(3), stalled(1));
    let mut hosts = hosts(&local_servers);
    let mut remote_host = host("s-away", remote_servers[0].address);
    remote_host["site"] = json!("b");
    hosts.push(remote_host);
    let agent = Agent::start(hosts);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["settings"]["prices"] = json!({"crossZone": 0.06});
        set_aim_and_deadline(c, 60, 90);
    }));
    let mut open = Vec::new();
    for _ in 0..120 {
        let mut client = sidecar.client();
        client.send(with_long_time(safe()));
        open.push(client);
    }
    wait_until("all requests are open", || local_log.count() + remote_log.count() == 120);
    // By the share alone, some twelve of 120 would cross. No local server may have more than four
    // open requests above the remote one's.
    assert!(remote_log.count() >= 27, "{} crossed of 120", remote_log.count());
}

/// Guards against leaving out a server whose short queue was full for a moment: a busy sidecar that
/// leaves it out for as long as an idle sidecar does leaves it unused.
#[test]
fn a_server_that_was_full_is_soon_tried_again() {
    const FULL: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let log = |full: bool| {
        let (log, seen) = RequestLog::new();
        let server_log = log.clone();
        let server = Server::start(move |mut conn| {
            while let Some(seen) = server_log.read_request(&mut conn) {
                let first = full && seen.nth == 1;
                conn.send(if first { FULL.to_owned() } else { ok("fine") });
            }
        });
        (server, log, seen)
    };
    let ((full, full_server_log, _a), (other, _, _b)) = (log(true), log(false));
    let agent = Agent::start(hosts(&[full, other]));
    let config = config(agent.address, |c| set_aim_and_deadline(c, 10, 16));
    let sidecar = Sidecar::start(&config);
    wait_until("the server has rejected one request", || {
        assert_eq!(sidecar.request(with_long_time(safe())).status(), 200);
        full_server_log.count() == 1
    });
    let started_at = Instant::now();
    // Well within the longest deadline, which is the retry interval of an idle sidecar.
    while full_server_log.count() < 2 && started_at.elapsed() < Duration::from_secs(12) {
        assert_eq!(sidecar.request(with_long_time(safe())).status(), 200);
    }
    assert!(full_server_log.count() >= 2, "not tried again in {:?}", started_at.elapsed());
}

/// Guards against ignoring a server with a short queue once it was full: it has no chips left, and
/// all requests that it rejects pile up on a server that is not full, however many that one has
/// open.
#[test]
fn a_formerly_full_server_without_open_requests_precedes_a_loaded_one() {
    let full = Arc::new(AtomicBool::new(false));
    let (short_queue_server, short_log, _a) = servers(1, {
        let full = full.clone();
        move |mut conn, _| {
            let headers = "X-Unprocessed: 1\r\n";
            let rejection = || answer("503 Full", headers, "");
            conn.send(if full.load(Ordering::SeqCst) { rejection() } else { ok("fine") });
            Some(conn)
        }
    });
    let (long_queue_server, long_log, _b) = servers(1, |mut conn, _| {
        conn.closed_by_peer();
        None
    });
    let agent = Agent::start(vec![
        host("s-0", short_queue_server[0].address),
        host("s-1", long_queue_server[0].address),
    ]);
    let sidecar = Sidecar::start(&config(agent.address, |c| set_aim_and_deadline(c, 60, 90)));
    let mut open = Vec::new();
    let mut ask = || {
        let before = (short_log.count(), long_log.count());
        let mut client = sidecar.client();
        client.send(with_long_time(safe()));
        open.push(client);
        before
    };
    // A sidecar with more than twenty requests a second, by its own count, is not idle.
    for _ in 0..400 {
        let before = ask();
        wait_until("a server receives the request", || {
            (short_log.count(), long_log.count()) != before
        });
    }
    full.store(true, Ordering::SeqCst);
    let before = short_log.count();
    for _ in 0..40 {
        let (_, waiting_before) = ask();
        wait_until("the request waits at the slow server", || long_log.count() > waiting_before);
    }
    let tried_count = short_log.count() - before;
    assert!(tried_count >= 20, "tried for {tried_count} of 40");
}

/// Guards against ejecting healthy servers because clients with little time left time out there:
/// their share of all other requests would go to the remaining servers.
#[test]
fn timeouts_of_hurried_clients_do_not_count_against_a_server() {
    let counts = [RequestLog::new(), RequestLog::new()];
    let list: Vec<Server> = counts
        .iter()
        .map(|(log, _)| {
            let log = log.clone();
            Server::start(move |mut conn| {
                let Some(message) = conn.message().filter(|m| m.complete) else { return };
                if !message.first.contains("hurried") {
                    log.record(message);
                }
                conn.closed_by_peer();
            })
        })
        .collect();
    let agent = Agent::start(hosts(&list));
    let sidecar = Sidecar::start(&config(agent.address, |c| set_aim_and_deadline(c, 60, 90)));
    for _ in 0..8 {
        let hurried = safe().replace("/look/1", "/look/hurried");
        assert_eq!(sidecar.request(hurried.replace("Left-Ms: 900", "Left-Ms: 40")).status(), 503);
    }
    let mut open = Vec::new();
    for _ in 0..12 {
        let mut client = sidecar.client();
        client.send(with_long_time(safe()));
        open.push(client);
    }
    let counts_by_server = || (counts[0].0.count(), counts[1].0.count());
    wait_until("all requests are open", || counts_by_server().0 + counts_by_server().1 == 12);
    let (a, b) = counts_by_server();
    assert!(a >= 3 && b >= 3, "{a} and {b} of 12");
}
