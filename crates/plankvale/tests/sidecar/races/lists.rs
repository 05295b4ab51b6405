//! Discovery that fails at the moment of a change.

use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::{Value, json};

/// Updates count as delivered this long after discovery had them and was reachable.
const UPDATE_DUE: Duration = Duration::from_secs(6);
/// The same bound after SIGHUP has changed the discovery address.
const MOVED_UPDATE_DUE: Duration = Duration::from_secs(4);
/// The time within which nine of ten processes have to be ready.
const READY_DUE: Duration = Duration::from_secs(10);

fn with_discovery_mode(mode: &str, known: &[Value]) -> impl Fn(&mut Value) {
    let known = json!({"seq": 7, "whole": true, "hosts": known});
    let mode = mode.to_owned();
    move |c| {
        c["known"] = known.clone();
        c["settings"]["discovery"] = json!(mode);
    }
}

/// Guards against waiting forever on a discovery that restarts its versions: a request for changes
/// since a version that discovery does not know yet returns nothing, or changes relative to another
/// list, and the next request would be the same.
#[test]
fn restarted_versions_of_discovery_are_followed_in_time() {
    for mode in ["pushed", "on_request"] {
        let (a, b) = (Server::named("a"), Server::named("b"));
        let agent = Agent::start(vec![host("s-a", a.address)]);
        for _ in 0..5 {
            agent.set_hosts(vec![host("s-a", a.address)]);
        }
        let sidecar = Sidecar::start(&config(agent.address, with_discovery_mode(mode, &[])));
        wait_until("the first list", || sidecar.served_by() == "a");
        agent.restart_versions(vec![host("s-b", b.address)]);
        let started_at = Instant::now();
        wait_until("the updated list is used", || sidecar.served_by() == "b");
        assert!(started_at.elapsed() < UPDATE_DUE, "{mode}: {:?}", started_at.elapsed());
    }
}

/// Guards against a request to the previous discovery address that is answered byte by byte.
/// Updates of the new address are due 4 s after SIGHUP all the same.
#[test]
fn a_trickling_answer_does_not_delay_a_new_discovery_address() {
    for mode in ["pushed", "on_request"] {
        let (a, b) = (Server::named("a"), Server::named("b"));
        let first = Agent::start(vec![host("s-a", a.address)]);
        let trickling = Arc::new(AtomicBool::new(false));
        let trickling_seen = trickling.clone();
        let second = Server::start(move |mut conn| {
            if conn.head().is_some() {
                conn.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
                trickling_seen.store(true, Ordering::SeqCst);
                while conn.socket.write_all(b" ").is_ok() {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        let third = Agent::start(vec![host("s-b", b.address)]);
        let at = |address| {
            config(address, |c| {
                with_discovery_mode(mode, &[host("s-a", a.address)])(c);
                c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
            })
        };
        let sidecar = Sidecar::start(&at(first.address));
        assert_eq!(sidecar.served_by(), "a");
        sidecar.reload(&at(second.address).to_string());
        wait_until("the second discovery address is queried", || trickling.load(Ordering::SeqCst));
        sidecar.reload(&at(third.address).to_string());
        let started_at = Instant::now();
        wait_until("the updated list is used", || sidecar.served_by() == "b");
        // A third of that time: waiting for the end of the slow request alone would take 3 s.
        assert!(started_at.elapsed() < MOVED_UPDATE_DUE / 3, "{mode}: {:?}", started_at.elapsed());
    }
}

/// A process that starts with a remembered list is ready, whatever discovery does.
#[test]
fn a_process_is_ready_while_discovery_is_refusing_hanging_or_silent() {
    let a = Server::named("a");
    let known = [host("s-a", a.address)];
    let silent = Server::start(|mut conn| {
        conn.closed_by_peer();
    });
    let never_accepting = BlackHole::start();
    for mode in ["pushed", "on_request"] {
        for discovery in [refusing_address(), silent.address, never_accepting.address] {
            let started_at = Instant::now();
            let sidecar = Sidecar::start(&config(discovery, with_discovery_mode(mode, &known)));
            assert!(started_at.elapsed() < READY_DUE, "{mode}: {:?}", started_at.elapsed());
            assert_eq!(sidecar.served_by(), "a");
        }
    }
}

/// Lists may be indented, and arrive byte by byte.
#[test]
fn an_indented_list_that_arrives_byte_by_byte_is_accepted() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let list = json!({"seq": 9, "whole": true, "hosts": [host("s-b", b.address)]});
    let text = serde_json::to_string_pretty(&list).unwrap().replace('\n', "\r\n\t");
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            for byte in ok(&text).as_bytes().chunks(1) {
                conn.send(byte);
            }
        }
    });
    let sidecar = Sidecar::start(&config(
        discovery.address,
        with_discovery_mode("pushed", &[host("s-a", a.address)]),
    ));
    wait_until("the updated list is used", || sidecar.served_by() == "b");
}

/// Idle clients may hold every descriptor available to clients while discovery is down. Discovery,
/// servers and readiness checks have their own.
#[test]
fn a_crowd_of_idle_clients_does_not_block_discovery() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let refusing = refusing_address();
    let known = [host("s-a", a.address)];
    let crowded = |discovery| {
        config(discovery, |c| {
            with_discovery_mode("pushed", &known)(c);
            c["limits"]["sockets"] = json!(128);
        })
    };
    let sidecar = Sidecar::start(&crowded(refusing));
    let mut crowd: Vec<Conn> = (0..200).map(|_| sidecar.client()).collect();
    let held = sidecar.descriptors();
    assert!(held < 128, "{held}");
    assert_eq!(sidecar.served_by(), "a");
    let agent = Agent::start(vec![host("s-b", b.address)]);
    sidecar.reload(&crowded(agent.address).to_string());
    let started_at = Instant::now();
    wait_until("the updated list is used", || {
        // Clients whose connection was closed reconnect and stay idle.
        crowd.rotate_left(1);
        crowd[0] = sidecar.client();
        sidecar.served_by() == "b"
    });
    assert!(started_at.elapsed() < MOVED_UPDATE_DUE, "{:?}", started_at.elapsed());
    assert_eq!(sidecar.request("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").status(), 200);
    assert!(sidecar.descriptors() < 128, "{}", sidecar.descriptors());
}

/// Guards against hanging up on a request that discovery has queued: a discovery that processes
/// requests in order would process it for nobody, and receive it again. Here the first request is
/// answered only after a second one is queued behind it, however long that takes.
#[test]
fn a_queued_discovery_request_keeps_its_place() {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let request_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let seen = request_times.clone();
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            let count = {
                let mut request_times = seen.lock().unwrap();
                request_times.push(Instant::now());
                request_times.len()
            };
            if count > 1 {
                conn.closed_by_peer();
                return;
            }
            while seen.lock().unwrap().len() < 2 {
                thread::sleep(Duration::from_millis(5));
            }
            conn.send(ok(&list));
        }
    });
    let asking = |c: &mut Value| c["settings"]["discovery"] = json!("on_request");
    let sidecar = Sidecar::launch(&config(discovery.address, asking));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let request_times = request_times.lock().unwrap();
    let second = request_times[1] - request_times[0];
    assert!(second >= Duration::from_millis(1_400), "{second:?}: a line is longer than that");
}

/// What discovery does with a request.
#[derive(Clone, Copy)]
enum Reaction {
    Refuse,
    /// Reads the request; from then on the connection is dead without a close.
    DropPackets,
    /// Reads the request and never answers; the connection stays open.
    NeverAnswer,
    Answer,
}

/// Runs a large fleet's discovery that reacts in this way to its requests, one after another, and
/// answers with the list from then on. Returns the arrival time of each request.
fn requests_of_a_large_fleet(reactions: &[Reaction]) -> Vec<Instant> {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let request_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (seen, reactions) = (request_times.clone(), reactions.to_vec());
    let held: Mutex<Vec<Conn>> = Mutex::default();
    let discovery = Server::start(move |mut conn| {
        while conn.head().is_some() {
            let count = {
                let mut request_times = seen.lock().unwrap();
                request_times.push(Instant::now());
                request_times.len()
            };
            match reactions.get(count - 1).copied().unwrap_or(Reaction::Answer) {
                Reaction::Refuse => conn.send(answer("503 Service Unavailable", "", "")),
                Reaction::DropPackets => {
                    conn.drop_incoming_packets();
                    // Kept until the test ends: closing the connection would notify the peer.
                    return held.lock().unwrap().push(conn);
                }
                Reaction::NeverAnswer => return held.lock().unwrap().push(conn),
                Reaction::Answer => conn.send(ok(&list)),
            }
        }
    });
    let sidecar = Sidecar::launch(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["instances"] = json!(300);
    }));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let request_times = request_times.lock().unwrap();
    request_times.clone()
}

/// Guards against a connection that dies without FIN or reset while discovery's queue is full,
/// which looks like a long wait. Updates are due after 6 s all the same, for the first request and
/// for one that is queued behind it: two requests on dead connections were noticed only when they
/// were given up, after 150 s here.
#[test]
fn discovery_requests_on_silently_dead_connections_are_repeated_in_time() {
    use Reaction::{Answer, DropPackets, Refuse};
    for reactions in
        [&[Refuse, DropPackets, Answer][..], &[DropPackets, DropPackets, DropPackets, Answer][..]]
    {
        let request_times = requests_of_a_large_fleet(reactions);
        for pair in request_times.windows(2).take(reactions.len() - 1) {
            assert!(pair[1] - pair[0] < UPDATE_DUE, "{:?}", pair[1] - pair[0]);
        }
    }
}

/// Guards against a request that discovery forgets although its connection is alive, which no TCP
/// keepalive detects. The second request has to be in time for the same 6 s, also after a refusal.
#[test]
fn a_forgotten_discovery_request_after_a_refusal_is_repeated_in_time() {
    let request_times =
        requests_of_a_large_fleet(&[Reaction::Refuse, Reaction::NeverAnswer, Reaction::Answer]);
    let second = request_times[2] - request_times[1];
    assert!(second < UPDATE_DUE, "{second:?}");
}

/// A refusal means overload: delays grow with the fleet and with refusals, within the bounds of the
/// settings.
#[test]
fn refused_discovery_requests_back_off_within_bounds() {
    let a = Server::named("a");
    let list = full_list(1, &[host("s-a", a.address)]);
    let request_times: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let open_connections = Arc::new(AtomicUsize::new(0));
    let (seen, connections) = (request_times.clone(), open_connections.clone());
    let discovery = Server::start(move |mut conn| {
        connections.fetch_add(1, Ordering::SeqCst);
        while conn.head().is_some() {
            let count = {
                let mut request_times = seen.lock().unwrap();
                request_times.push(Instant::now());
                request_times.len()
            };
            match count {
                ..=6 => conn.send(answer("503 Service Unavailable", "", "")),
                7 => conn.send(ok(&list)),
                _ => assert!(conn.closed_by_peer(), "a watch is held to the end"),
            }
        }
        connections.fetch_sub(1, Ordering::SeqCst);
    });
    let sidecar = Sidecar::launch(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["instances"] = json!(40);
    }));
    wait_until("the list", || sidecar.request(safe()).body == b"a");
    let request_times = request_times.lock().unwrap();
    let gaps: Vec<Duration> =
        request_times.windows(2).take(6).map(|pair| pair[1] - pair[0]).collect();
    // A quarter of 10 ms for each of 40 sidecars, doubled after each refusal, up to a quarter of 2
    // s.
    for (gap, least_ms) in gaps.iter().zip([100, 200, 400, 500, 500, 500]) {
        assert!(*gap >= Duration::from_millis(least_ms), "{gaps:?}");
        assert!(*gap < UPDATE_DUE, "{gaps:?}");
    }
    assert!(open_connections.load(Ordering::SeqCst) <= 1, "refused connections are closed");
}
