//! Start, discovery, and graceful shutdown.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

#[test]
fn a_failed_start_prints_one_line_and_exits_with_a_code() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let bound_address = listener.local_addr().unwrap();
    let valid_config = config(bound_address, |_| {});
    let with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = valid_config.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("line 1", "{".to_owned()),
        ("listen", with(&|c| c["listen"] = json!(bound_address.to_string()))),
        ("listen", with(&|c| c["listen"] = json!("nowhere"))),
        ("discovery", with(&|c| c["discovery"] = json!(null))),
        ("seed", with(&|c| c["seed"] = json!("x"))),
        ("limits.sockets", with(&|c| c["limits"]["sockets"] = json!(3))),
        ("peers", with(&|c| c["peers"] = json!(["127.0.0.1:1"]))),
        ("classes", with(&|c| c["settings"]["classes"] = json!([]))),
        ("classes", with(&|c| c["settings"]["classes"][1]["name"] = json!("look"))),
    ];
    let check = |key: &str, output: std::process::Output| {
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{key}: {stderr}");
        assert!(stderr.contains(key), "{key}: {stderr}");
    };
    for (key, config) in cases {
        check(key, failed_start(&config, &[]));
    }
    check("listen", failed_start(&valid_config.to_string(), &[("LB_LISTEN", "127.0.0.1:9")]));
    check("LB_CONFIG", failed_start("{}", &[("LB_CONFIG", "/nowhere/at/all.json")]));
    check("LB_CONFIG", failed_start("{}", &[("LB_CONFIG", "")]));
}

/// Discovery's answers are truncated, malformed, missing or wrong by turns; the update arrives all
/// the same, and none of the invalid answers is applied.
#[test]
fn only_complete_discovery_answers_are_applied() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let first = full_list(1, &[host("s-a", a.address)]);
    let update = full_list(2, &[host("s-b", b.address)]);
    let calls = Arc::new(AtomicUsize::new(0));
    let discovery = {
        let calls = calls.clone();
        Server::start(move |mut conn| {
            while conn.head().is_some() {
                match calls.fetch_add(1, Ordering::SeqCst) {
                    0 => conn.send(ok(&first)),
                    // Truncated, then closed.
                    1 => return conn.send(&ok(&update)[..120]),
                    // Truncated, and kept open.
                    2 => {
                        conn.send(&ok(&update)[..120]);
                        conn.closed_by_peer();
                    }
                    3 => drop(conn.closed_by_peer()),
                    4 => conn.send(ok("{\"seq\":9,\"whole\":true,\"hosts\":[{}]}")),
                    5 => conn.send(answer("503 Down", "", &update)),
                    6 => conn.send("HTTP/1.1 what\r\n\r\n"),
                    7 => return conn.reset(),
                    _ => conn.send(ok(&update)),
                }
            }
        })
    };
    let sidecar = Sidecar::start(&config(discovery.address, |_| {}));
    wait_until("the updated list is used", || {
        let before = calls.load(Ordering::SeqCst);
        let by = sidecar.served_by();
        assert!(by == "a" || (by == "b" && calls.load(Ordering::SeqCst) > 8) || before > 7, "{by}");
        by == "b"
    });
}

#[test]
fn a_list_on_request_is_watched() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let agent = Agent::start(vec![host("s-a", a.address)]);
    let known = json!({"seq": 0, "whole": true, "hosts": [host("s-a", a.address)]});
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["known"] = known;
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
    }));
    agent.set_hosts(vec![host("s-b", b.address)]);
    wait_until("the updated list is used", || sidecar.served_by() == "b");
}

#[test]
fn sigterm_answers_accepted_requests_and_exits() {
    let (arrived, arrivals) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("late"));
        Some(conn)
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&list);
    let mut idle = sidecar.client();
    let mut busy = sidecar.client();
    busy.send(safe());
    let release = receive(&arrivals);
    sidecar.terminate();
    // New connections are still accepted and served.
    let mut new = sidecar.client();
    new.send(safe());
    let new_release = receive(&arrivals);
    new_release.send(()).unwrap();
    let got = new.message().unwrap();
    assert_eq!(got.body, b"late");
    release.send(()).unwrap();
    let got = busy.message().unwrap();
    assert_eq!((got.body.as_slice(), got.header("connection")), (&b"late"[..], Some("close")));
    assert!(idle.closed_by_peer());
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn sigterm_does_not_wait_for_silent_or_unfinished_clients() {
    let (list, _, seen) = servers(1, |mut conn, _| {
        conn.closed_by_peer();
        None
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&list);
    let _silent = sidecar.client();
    let mut half = sidecar.client();
    half.send("GET /look HTTP/1.1\r\n");
    let mut waiting = sidecar.client();
    waiting.send(safe());
    receive(&seen);
    sidecar.terminate();
    assert_eq!(waiting.message().unwrap().status(), 503);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn datagrams_of_strangers_are_harmless() {
    let a = Server::named("a");
    let agent = Agent::start(vec![host("s-a", a.address)]);
    let peer = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let free = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["peer_listen"] = json!(free.to_string());
        let own = peer.local_addr().unwrap().to_string();
        c["peers"] = json!([free.to_string(), own, "127.0.0.1:9"]);
    }));
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for socket in [&peer, &stranger] {
        for length in [0, 1, 256, 257, 5000] {
            socket.send_to(&vec![7; length], free).unwrap();
        }
    }
    assert_eq!(sidecar.served_by(), "a");
}

/// Guards against rejecting a whole list because one entry cannot be parsed.
#[test]
fn a_server_in_an_unknown_state_gets_no_requests_and_the_list_is_used() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let mut odd = host("s-a", a.address);
    odd["health"] = json!("pondering");
    let agent = Agent::start(vec![odd, host("s-b", b.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |_| {}));
    for _ in 0..10 {
        assert_eq!(sidecar.served_by(), "b");
    }
}

/// Guards against waiting forever for a discovery answer that never ends although bytes keep
/// arriving.
#[test]
fn discovery_that_trickles_is_queried_again() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let first = full_list(1, &[host("s-a", a.address)]);
    let update = full_list(2, &[host("s-b", b.address)]);
    let calls = Arc::new(AtomicUsize::new(0));
    let discovery = Server::start(move |mut conn| {
        use std::io::Write;
        while conn.head().is_some() {
            match calls.fetch_add(1, Ordering::SeqCst) {
                0 => conn.send(ok(&first)),
                1 => {
                    conn.send("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
                    while conn.socket.write_all(b" ").is_ok() {
                        std::thread::sleep(std::time::Duration::from_millis(20));
                    }
                }
                _ => conn.send(ok(&update)),
            }
        }
    });
    let sidecar = Sidecar::start(&config(discovery.address, |_| {}));
    assert_eq!(sidecar.served_by(), "a");
    wait_until("the updated list is used", || sidecar.served_by() == "b");
}

/// The results of one client's requests.
#[derive(Default)]
struct ClientResults {
    answered: usize,
    refused: usize,
    /// A new connection was closed without a byte of an answer.
    closed: usize,
    /// Anything else: a partial answer, one of another request, or none although the request was
    /// accepted.
    lost: usize,
}

/// Sends requests on one connection for as long as it stays open. If a reused connection ends
/// before an answer begins, the close has crossed the request, which is sent once more on a new
/// connection. New connections are opened until `last_connect` returns true.
fn send_until_closed(
    address: std::net::SocketAddr,
    last_connect: &dyn Fn() -> bool,
    answered: &AtomicUsize,
) -> ClientResults {
    let mut results = ClientResults::default();
    let connect = || std::net::TcpStream::connect(address).ok().map(Conn::new);
    let mut open = connect();
    loop {
        let reused = open.is_some();
        if !reused {
            if last_connect() {
                return results;
            }
            open = connect();
        }
        let Some(mut client) = open.take() else { return results };
        let mut answer = client.request(safe());
        let mut fresh = !reused;
        if answer.is_none() && reused {
            let Some(again) = connect() else { continue };
            (client, fresh) = (again, true);
            answer = client.request(safe());
        }
        match &answer {
            Some(m) if m.complete && m.status() == 200 && m.body == b"a" => {
                results.answered += 1;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Some(m) if m.complete && [429, 503].contains(&m.status()) => results.refused += 1,
            None if fresh => results.closed += 1,
            _ => results.lost += 1,
        }
        let closes = |m: &Message| m.header("connection") == Some("close");
        open = answer.filter(|m| m.complete && !closes(m)).map(|_| client);
    }
}

#[test]
fn requests_on_open_connections_after_sigterm_are_answered() {
    let server = Server::start(|mut conn| {
        while conn.message().is_some() {
            thread::sleep(Duration::from_millis(2));
            conn.send(ok("a"));
        }
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&[server]);
    let (address, signalled_at) = (sidecar.address, std::sync::OnceLock::<Instant>::new());
    // New connections are accepted for up to 0.4 s after the signal.
    let last = || signalled_at.get().is_some_and(|at| at.elapsed() > Duration::from_millis(300));
    let answered_so_far = AtomicUsize::new(0);
    let results_by_client: Vec<ClientResults> = thread::scope(|scope| {
        let clients: Vec<_> = (0..12)
            .map(|_| scope.spawn(|| send_until_closed(address, &last, &answered_so_far)))
            .collect();
        // All clients are at work.
        wait_until("all clients send requests", || answered_so_far.load(Ordering::SeqCst) > 500);
        sidecar.terminate();
        signalled_at.set(Instant::now()).expect("once");
        assert_eq!(sidecar.exit_code(), Some(0));
        clients.into_iter().map(|c| c.join().expect("a client")).collect()
    });
    let sum = |of: fn(&ClientResults) -> usize| results_by_client.iter().map(of).sum::<usize>();
    let (answered, closed) = (sum(|t| t.answered), sum(|t| t.closed));
    assert_eq!(sum(|t| t.lost), 0);
    assert!(answered > 500, "{answered}");
    let all = answered + closed + sum(|t| t.refused);
    assert!(closed * 200 <= all, "{closed} of {all} were closed without an answer");
}

/// Runs a watch that stops answering although the agent would answer a new request. Returns how
/// long the update took.
fn update_delay_behind_a_silent_watch(mode: &str) -> Duration {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let (first, update) =
        (full_list(1, &[host("s-a", a.address)]), full_list(2, &[host("s-b", b.address)]));
    let silent = Arc::new(std::sync::OnceLock::<Instant>::new());
    let discovery = {
        let (silent, calls) = (silent.clone(), AtomicUsize::new(0));
        Server::start(move |mut conn| {
            while conn.head().is_some() {
                match calls.fetch_add(1, Ordering::SeqCst) {
                    0 => conn.send(ok(&first)),
                    // Open, without an answer.
                    1 => {
                        let _ = silent.set(Instant::now());
                        conn.closed_by_peer();
                    }
                    _ => conn.send(ok(&update)),
                }
            }
        })
    };
    let mode = mode.to_owned();
    let sidecar = Sidecar::start(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!(mode);
        c["settings"]["rules"]["mustAskIn"] = json!(10_000_000);
    }));
    wait_until("the updated list is used", || sidecar.served_by() == "b");
    silent.get().expect("it fell silent").elapsed()
}

/// An update that a silent watch misses is due 6 s after the watch fell silent; another half second
/// is allowed to act on it.
#[test]
fn a_watch_that_falls_silent_is_restarted_in_time() {
    thread::scope(|scope| {
        for mode in ["pushed", "on_request"] {
            scope.spawn(move || {
                let took = update_delay_behind_a_silent_watch(mode);
                assert!(took < Duration::from_millis(6_500), "{mode}: {took:?}");
            });
        }
    });
}
