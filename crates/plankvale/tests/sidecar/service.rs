//! Start, discovery, and the planned end.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;

#[test]
fn a_bad_start_is_one_line_and_a_code() {
    let at = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = at.local_addr().unwrap();
    let sound = config(taken, |_| {});
    let with = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = sound.clone();
        change(&mut config);
        config.to_string()
    };
    let cases = [
        ("line 1", "{".to_owned()),
        ("listen", with(&|c| c["listen"] = json!(taken.to_string()))),
        ("listen", with(&|c| c["listen"] = json!("nowhere"))),
        ("discovery", with(&|c| c["discovery"] = json!(null))),
        ("seed", with(&|c| c["seed"] = json!("x"))),
        ("limits.sockets", with(&|c| c["limits"]["sockets"] = json!(3))),
        ("peers", with(&|c| c["peers"] = json!(["127.0.0.1:1"]))),
        ("classes", with(&|c| c["settings"]["classes"] = json!([]))),
        ("classes", with(&|c| c["settings"]["classes"][1]["name"] = json!("look"))),
    ];
    let check = |key: &str, output: std::process::Output| {
        let told = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), told.lines().count()), (Some(2), 1), "{key}: {told}");
        assert!(told.contains(key), "{key}: {told}");
    };
    for (key, config) in cases {
        check(key, failed_start(&config, &[]));
    }
    check("listen", failed_start(&sound.to_string(), &[("LB_LISTEN", "127.0.0.1:9")]));
    check("LB_CONFIG", failed_start("{}", &[("LB_CONFIG", "/nowhere/at/all.json")]));
    check("LB_CONFIG", failed_start("{}", &[("LB_CONFIG", "")]));
}

/// Discovery whose nth answer is cut off, malformed, silent or wrong; the news comes through all
/// the same, and none of the rest counts.
#[test]
fn only_whole_answers_of_discovery_count() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let first = full_list(1, &[host("s-a", a.address)]);
    let news = full_list(2, &[host("s-b", b.address)]);
    let calls = Arc::new(AtomicUsize::new(0));
    let discovery = {
        let calls = calls.clone();
        Server::start(move |mut conn| {
            while conn.head().is_some() {
                match calls.fetch_add(1, Ordering::SeqCst) {
                    0 => conn.send(ok(&first)),
                    // In the middle, with an end.
                    1 => return conn.send(&ok(&news)[..120]),
                    // In the middle, and open.
                    2 => {
                        conn.send(&ok(&news)[..120]);
                        conn.closed_by_peer();
                    }
                    3 => drop(conn.closed_by_peer()),
                    4 => conn.send(ok("{\"seq\":9,\"whole\":true,\"hosts\":[{}]}")),
                    5 => conn.send(answer("503 Down", "", &news)),
                    6 => conn.send("HTTP/1.1 what\r\n\r\n"),
                    7 => return conn.reset(),
                    _ => conn.send(ok(&news)),
                }
            }
        })
    };
    let sidecar = Sidecar::start(&config(discovery.address, |_| {}));
    wait_until("the news", || {
        let before = calls.load(Ordering::SeqCst);
        let by = sidecar.served_by();
        assert!(by == "a" || (by == "b" && calls.load(Ordering::SeqCst) > 8) || before > 7, "{by}");
        by == "b"
    });
}

#[test]
fn a_list_that_is_asked_for_is_watched() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let agent = Agent::start(vec![host("s-a", a.address)]);
    let known = json!({"seq": 0, "whole": true, "hosts": [host("s-a", a.address)]});
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["known"] = known;
        c["settings"]["discovery"] = json!("on_request");
        c["settings"]["rules"]["mustAskIn"] = json!(1_000_000);
    }));
    agent.set_hosts(vec![host("s-b", b.address)]);
    wait_until("the news", || sidecar.served_by() == "b");
}

#[test]
fn sigterm_answers_what_was_taken_and_exits() {
    let (asked, told) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("late"));
        Some(conn)
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&list);
    let mut idle = sidecar.client();
    let mut busy = sidecar.client();
    busy.send(safe());
    let go = receive(&told);
    sidecar.terminate();
    // New connections go on coming, and are served.
    let mut new = sidecar.client();
    new.send(safe());
    let new_go = receive(&told);
    new_go.send(()).unwrap();
    let got = new.message().unwrap();
    assert_eq!(got.body, b"late");
    go.send(()).unwrap();
    let got = busy.message().unwrap();
    assert_eq!((got.body.as_slice(), got.header("connection")), (&b"late"[..], Some("close")));
    assert!(idle.closed_by_peer());
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn sigterm_is_not_held_up_by_the_silent_and_the_unfinished() {
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
fn datagrams_of_strangers_do_no_harm() {
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

/// Danger: one entry that cannot be understood would void every list that holds it.
#[test]
fn a_server_in_an_unknown_state_gets_nothing_and_spoils_nothing() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let mut odd = host("s-a", a.address);
    odd["health"] = json!("pondering");
    let agent = Agent::start(vec![odd, host("s-b", b.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |_| {}));
    for _ in 0..10 {
        assert_eq!(sidecar.served_by(), "b");
    }
}

/// Danger: an answer of discovery that never ends but always moves would be the last one read.
#[test]
fn discovery_that_trickles_is_asked_again() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let first = full_list(1, &[host("s-a", a.address)]);
    let news = full_list(2, &[host("s-b", b.address)]);
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
                _ => conn.send(ok(&news)),
            }
        }
    });
    let sidecar = Sidecar::start(&config(discovery.address, |_| {}));
    assert_eq!(sidecar.served_by(), "a");
    wait_until("the news", || sidecar.served_by() == "b");
}

/// What became of the requests of one client.
#[derive(Default)]
struct Tally {
    answered: usize,
    refused: usize,
    /// A new connection was closed without a byte of an answer.
    closed: usize,
    /// Anything else: half an answer, a foreign one, or none where the request was taken.
    lost: usize,
}

/// Sends on one connection for as long as it stays open; one that ends before an answer began is crossed by the
/// request, which goes out once more on a new one. New ones are opened until `last_connect`.
fn sends_on(
    at: std::net::SocketAddr,
    last_connect: &dyn Fn() -> bool,
    answered: &AtomicUsize,
) -> Tally {
    let mut tally = Tally::default();
    let connect = || std::net::TcpStream::connect(at).ok().map(Conn::new);
    let mut open = connect();
    loop {
        let reused = open.is_some();
        if !reused {
            if last_connect() {
                return tally;
            }
            open = connect();
        }
        let Some(mut client) = open.take() else { return tally };
        let mut answer = client.request(safe());
        let mut fresh = !reused;
        if answer.is_none() && reused {
            let Some(again) = connect() else { continue };
            (client, fresh) = (again, true);
            answer = client.request(safe());
        }
        match &answer {
            Some(m) if m.complete && m.status() == 200 && m.body == b"a" => {
                tally.answered += 1;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Some(m) if m.complete && [429, 503].contains(&m.status()) => tally.refused += 1,
            None if fresh => tally.closed += 1,
            _ => tally.lost += 1,
        }
        let closes = |m: &Message| m.header("connection") == Some("close");
        open = answer.filter(|m| m.complete && !closes(m)).map(|_| client);
    }
}

#[test]
fn what_clients_still_send_on_open_connections_after_sigterm_is_answered() {
    let server = Server::start(|mut conn| {
        while conn.message().is_some() {
            thread::sleep(Duration::from_millis(2));
            conn.send(ok("a"));
        }
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&[server]);
    let (at, told) = (sidecar.address, std::sync::OnceLock::<Instant>::new());
    // New connections come for up to 0.4 s after the signal.
    let last = || told.get().is_some_and(|at| at.elapsed() > Duration::from_millis(300));
    let so_far = AtomicUsize::new(0);
    let tallies: Vec<Tally> = thread::scope(|scope| {
        let clients: Vec<_> =
            (0..12).map(|_| scope.spawn(|| sends_on(at, &last, &so_far))).collect();
        // All are under way.
        wait_until("clients at work", || so_far.load(Ordering::SeqCst) > 500);
        sidecar.terminate();
        told.set(Instant::now()).expect("once");
        assert_eq!(sidecar.exit_code(), Some(0));
        clients.into_iter().map(|c| c.join().expect("a client")).collect()
    });
    let sum = |of: fn(&Tally) -> usize| tallies.iter().map(of).sum::<usize>();
    let (answered, closed) = (sum(|t| t.answered), sum(|t| t.closed));
    assert_eq!(sum(|t| t.lost), 0);
    assert!(answered > 500, "{answered}");
    let all = answered + closed + sum(|t| t.refused);
    assert!(closed * 200 <= all, "{closed} of {all} were closed without an answer");
}

/// A watch that says nothing any more, while the agent would tell whoever asks anew.
fn news_behind_a_silent_watch(how: &str) -> Duration {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let (first, news) =
        (full_list(1, &[host("s-a", a.address)]), full_list(2, &[host("s-b", b.address)]));
    let silent = Arc::new(std::sync::OnceLock::<Instant>::new());
    let discovery = {
        let (silent, calls) = (silent.clone(), AtomicUsize::new(0));
        Server::start(move |mut conn| {
            while conn.head().is_some() {
                match calls.fetch_add(1, Ordering::SeqCst) {
                    0 => conn.send(ok(&first)),
                    // Open, and silent.
                    1 => {
                        let _ = silent.set(Instant::now());
                        conn.closed_by_peer();
                    }
                    _ => conn.send(ok(&news)),
                }
            }
        })
    };
    let how = how.to_owned();
    let sidecar = Sidecar::start(&config(discovery.address, |c| {
        c["settings"]["discovery"] = json!(how);
        c["settings"]["rules"]["mustAskIn"] = json!(10_000_000);
    }));
    wait_until("the news", || sidecar.served_by() == "b");
    silent.get().expect("it fell silent").elapsed()
}

/// What a silent watch misses counts as told 6 s after it fell silent; half a second more is there to act on it.
#[test]
fn a_watch_that_falls_silent_is_begun_anew_in_time() {
    thread::scope(|scope| {
        for how in ["pushed", "on_request"] {
            scope.spawn(move || {
                let took = news_behind_a_silent_watch(how);
                assert!(took < Duration::from_millis(6_500), "{how}: {took:?}");
            });
        }
    });
}
