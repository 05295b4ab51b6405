//! Where requests go when servers are loaded, full or cut off.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

/// All classes get this much time: nothing that a test waits for is decided by the clock.
fn patient(config: &mut Value, aim_s: u64, deadline_s: u64) {
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["aim"] = json!(aim_s * 1_000_000);
        class["deadline"] = json!(deadline_s * 1_000_000);
    }
}

fn with_time(request: String) -> String {
    request.replace("Left-Ms: 900", "Left-Ms: 60000")
}

/// Danger: a zone whose servers stall answers nothing, so nothing tells the share that crosses. What
/// is out at home shows at once, and the rest goes where less waits, dear as it is. Nobody answers
/// here, so nothing but what is out can tell, however slow the machine is.
#[test]
fn what_piles_up_at_home_crosses_at_once() {
    let stalled = |n| {
        servers(n, |mut conn, _| {
            conn.closed_by_peer();
            None
        })
    };
    let ((home, stayed, _a), (away, crossed, _b)) = (stalled(3), stalled(1));
    let mut hosts = hosts(&home);
    let mut far = host("s-away", away[0].address);
    far["site"] = json!("b");
    hosts.push(far);
    let agent = Agent::start(hosts);
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["settings"]["prices"] = json!({"crossZone": 0.06});
        patient(c, 60, 90);
    }));
    let mut open = Vec::new();
    for _ in 0..120 {
        let mut client = sidecar.client();
        client.send(with_time(safe()));
        open.push(client);
    }
    wait_until("all are out", || stayed.count() + crossed.count() == 120);
    // By its share, some twelve would cross. None at home is to have more than four above it.
    assert!(crossed.count() >= 27, "{} crossed of 120", crossed.count());
}

/// Danger: a short queue is full at one moment and empty at the next. A busy sidecar that leaves its
/// server out for as long as a quiet one does leaves it idle.
#[test]
fn a_server_that_was_full_is_soon_tried_again() {
    const FULL: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
    let log = |full: bool| {
        let (log, seen) = RequestLog::new();
        let taken = log.clone();
        let server = Server::start(move |mut conn| {
            while let Some(seen) = taken.read_request(&mut conn) {
                let first = full && seen.nth == 1;
                conn.send(if first { FULL.to_owned() } else { ok("fine") });
            }
        });
        (server, log, seen)
    };
    let ((full, tried, _a), (other, _, _b)) = (log(true), log(false));
    let agent = Agent::start(hosts(&[full, other]));
    let config = config(agent.address, |c| patient(c, 10, 16));
    let sidecar = Sidecar::start(&config);
    wait_until("refused once", || {
        assert_eq!(sidecar.request(with_time(safe())).status(), 200);
        tried.count() == 1
    });
    let since = Instant::now();
    // Well within the longest deadline, which is a quiet sidecar's interval.
    while tried.count() < 2 && since.elapsed() < Duration::from_secs(12) {
        assert_eq!(sidecar.request(with_time(safe())).status(), 200);
    }
    assert!(tried.count() >= 2, "not tried again in {:?}", since.elapsed());
}

/// Danger: a server with a short queue is out of chips as soon as it was full once, and all that it
/// refuses piles up on one that is not, however much that has out.
#[test]
fn who_was_full_and_has_nothing_out_goes_before_who_has_much_out() {
    let full = Arc::new(AtomicBool::new(false));
    let (short, asked, _a) = servers(1, {
        let full = full.clone();
        move |mut conn, _| {
            let headers = "X-Unprocessed: 1\r\n";
            let refused = || answer("503 Full", headers, "");
            conn.send(if full.load(Ordering::SeqCst) { refused() } else { ok("fine") });
            Some(conn)
        }
    });
    let (long, waits, _b) = servers(1, |mut conn, _| {
        conn.closed_by_peer();
        None
    });
    let agent = Agent::start(vec![host("s-0", short[0].address), host("s-1", long[0].address)]);
    let sidecar = Sidecar::start(&config(agent.address, |c| patient(c, 60, 90)));
    let mut open = Vec::new();
    let mut ask = || {
        let before = (asked.count(), waits.count());
        let mut client = sidecar.client();
        client.send(with_time(safe()));
        open.push(client);
        before
    };
    // More than twenty a second, as it counts them, are not a quiet sidecar's.
    for _ in 0..400 {
        let before = ask();
        wait_until("asked", || (asked.count(), waits.count()) != before);
    }
    full.store(true, Ordering::SeqCst);
    let before = asked.count();
    for _ in 0..40 {
        let (_, waiting) = ask();
        wait_until("waits", || waits.count() > waiting);
    }
    let tried = asked.count() - before;
    assert!(tried >= 20, "tried for {tried} of 40");
}

/// Danger: hurried clients' time runs out at well servers. Left out for that, they leave their share
/// of everybody else's requests to the others.
#[test]
fn a_hurried_client_tells_nothing_of_a_server() {
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
    let sidecar = Sidecar::start(&config(agent.address, |c| patient(c, 60, 90)));
    for _ in 0..8 {
        let hurried = safe().replace("/look/1", "/look/hurried");
        assert_eq!(sidecar.request(hurried.replace("Left-Ms: 900", "Left-Ms: 40")).status(), 503);
    }
    let mut open = Vec::new();
    for _ in 0..12 {
        let mut client = sidecar.client();
        client.send(with_time(safe()));
        open.push(client);
    }
    let met = || (counts[0].0.count(), counts[1].0.count());
    wait_until("all are out", || met().0 + met().1 == 12);
    let (a, b) = met();
    assert!(a >= 3 && b >= 3, "{a} and {b} of 12");
}
