//! Start, discovery, and the planned end.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;

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
        check(key, fails(&config, &[]));
    }
    check("listen", fails(&sound.to_string(), &[("LB_LISTEN", "127.0.0.1:9")]));
    check("LB_CONFIG", fails("{}", &[("LB_CONFIG", "/nowhere/at/all.json")]));
    check("LB_CONFIG", fails("{}", &[("LB_CONFIG", "")]));
}

/// Discovery whose nth answer is cut off, malformed, silent or wrong; the news comes through all
/// the same, and none of the rest counts.
#[test]
fn only_whole_answers_of_discovery_count() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let first = whole(1, &[host("s-a", a.address)]);
    let news = whole(2, &[host("s-b", b.address)]);
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
                        conn.ended();
                    }
                    3 => drop(conn.ended()),
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
    within("the news", || {
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
    agent.change(vec![host("s-b", b.address)]);
    within("the news", || sidecar.served_by() == "b");
}

#[test]
fn sigterm_answers_what_was_taken_and_exits() {
    let (asked, told) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        let (go, going) = channel::<()>();
        let _ = asked.send(go);
        let _ = going.recv_timeout(BOUND);
        conn.send(ok("late"));
        Some(conn)
    });
    let (mut sidecar, _agent) = Sidecar::of(&list);
    let mut idle = sidecar.client();
    let mut busy = sidecar.client();
    busy.send(safe());
    let go = next(&told);
    sidecar.terminate();
    // New connections go on coming, and are served.
    let mut new = sidecar.client();
    new.send(safe());
    let new_go = next(&told);
    new_go.send(()).unwrap();
    let got = new.message().unwrap();
    assert_eq!(got.body, b"late");
    go.send(()).unwrap();
    let got = busy.message().unwrap();
    assert_eq!((got.body.as_slice(), got.header("connection")), (&b"late"[..], Some("close")));
    assert!(idle.ended());
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn sigterm_is_not_held_up_by_the_silent_and_the_unfinished() {
    let (list, _, seen) = servers(1, |mut conn, _| {
        conn.ended();
        None
    });
    let (mut sidecar, _agent) = Sidecar::of(&list);
    let _silent = sidecar.client();
    let mut half = sidecar.client();
    half.send("GET /look HTTP/1.1\r\n");
    let mut waiting = sidecar.client();
    waiting.send(safe());
    next(&seen);
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
    let first = whole(1, &[host("s-a", a.address)]);
    let news = whole(2, &[host("s-b", b.address)]);
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
    within("the news", || sidecar.served_by() == "b");
}
