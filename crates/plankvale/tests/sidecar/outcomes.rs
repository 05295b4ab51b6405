//! Ends of attempts that only show on the daemon's sockets; the other cases are in `conformance`.

use std::io::Read;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use millethook_testkit::*;

#[test]
fn a_served_answer_keeps_its_body_and_head() {
    let (list, _, seen) = servers(1, |mut conn, _| {
        conn.send(answer("200 OK", "X-Kept: yes\r\nX-Backend-Load: inflight=1\r\n", "a\0b"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let got = sidecar.request(safe_with_id("9b1f"));
    assert_eq!((got.status(), got.body.as_slice()), (200, &b"a\0b"[..]));
    assert_eq!((got.header("x-kept"), got.header("x-backend-load")), (Some("yes"), None));
    let request = receive(&seen).message;
    assert_eq!(request.first, "GET /look/1?q=2 HTTP/1.1");
    assert_eq!(request.header("x-correlation-id"), Some("9b1f"));
    let left: u64 = request.header("x-time-left-ms").unwrap().parse().unwrap();
    assert!((1..=900).contains(&left));
}

/// A server that resets a connection at the first byte of its nth request, counted from 1.
fn server_that_resets_at(nth: usize) -> (Server, RequestLog) {
    let (log, _) = RequestLog::new();
    let server_log = log.clone();
    let server = Server::start(move |mut conn| {
        for _ in 1..nth {
            if server_log.read_request(&mut conn).is_none() {
                return;
            }
            conn.send(ok("fine"));
        }
        if conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            conn.reset();
        }
    });
    (server, log)
}

/// Guards against losing a request to an idle connection that is reset at the first byte written to
/// it. The sidecar waits a few milliseconds for the reset, so a busy machine may miss it, but not
/// every time. A connection that has been idle for a shorter time is not checked.
#[test]
fn a_reset_at_the_first_byte_costs_only_the_connection() {
    let (server, log) = server_that_resets_at(2);
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    let ask = |_: &i32| {
        std::thread::sleep(Duration::from_millis(10));
        sidecar.request(unsafe_with("x")).status() == 200
    };
    let served = (0..8).filter(ask).count();
    // Without the check every other request is lost.
    assert!(served > 5, "{served} of 8");
    assert!(log.count() <= 8);
}

/// Guards against a failure for a request whose connection is reset while it is sent, so that it
/// never started, also if it would have fit into one write. It is refused, which says that it never
/// ran.
#[test]
fn a_short_request_reset_while_it_is_sent_never_ran() {
    let refused = (0..5).any(|_| {
        let (server, _) = server_that_resets_at(1);
        let (sidecar, _agent) = Sidecar::with_servers(&[server]);
        sidecar.request(unsafe_with("x")).status() == 503
    });
    assert!(refused);
}

#[test]
fn a_silently_closed_connection_is_not_reused() {
    let (list, log, _) = servers(1, |mut conn, _| {
        conn.send(ok("fine"));
        None
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let mut client = sidecar.client();
    for n in 1..=10 {
        client.send(unsafe_with("x"));
        let status = client.message().unwrap().status();
        // The close may cross the next request, which then may have run and is not sent again.
        assert!(status == 200 || status == 502, "{status}");
        assert!(log.count() <= n);
    }
    assert!(log.count() >= 5);
}

/// A request for which no attempt is left is answered at once, however late it is, rather than at
/// the end of its client's time; as a failure if it may have run. A refusal says when to retry:
/// with different times for different clients, and no later than the settings allow.
#[test]
fn final_outcomes_are_answered_at_once() {
    let with_long_time = |request: String| request.replace("Left-Ms: 900", "Left-Ms: 15000");
    let (list, log, _) = servers(1, |conn, _| {
        // Longer than every aim.
        std::thread::sleep(Duration::from_millis(400));
        conn.reset();
        None
    });
    let agent = Agent::start(hosts(&list));
    let start = || {
        Sidecar::start(&config(agent.address, |c| {
            let settings = &mut c["settings"];
            settings["limits"]["retryAfter"] = true.into();
            settings["limits"]["maxRetryAfter"] = 400_000.into();
            for class in settings["classes"].as_array_mut().unwrap() {
                class["deadline"] = 15_000_000.into();
            }
        }))
    };
    let before = Instant::now();
    let got = start().request(with_long_time(unsafe_with("x")));
    assert_eq!((got.status(), got.header("retry-after"), log.count()), (502, None, 1));
    let sidecar = start();
    let retry_times: std::collections::BTreeSet<String> = (0..6)
        .map(|_| {
            let got = sidecar.request(with_long_time(safe()));
            assert_eq!(got.status(), 503);
            got.header("retry-after").expect("a time").to_owned()
        })
        .collect();
    assert!(before.elapsed() < Duration::from_secs(14), "{:?}", before.elapsed());
    assert!(log.count() >= 2, "at least one of these was sent");
    let seconds = |t: &String| t.parse::<f64>().unwrap();
    assert!(retry_times.iter().map(seconds).all(|t| t > 0.1 && t <= 0.4), "{retry_times:?}");
    assert!(retry_times.len() > 3, "{retry_times:?}");
}

/// Guards against loss of a client's time: if a client waits only a few tens of milliseconds,
/// holding back a request's last byte and stopping early take a fifth of that.
#[test]
fn a_hurried_clients_time_is_left_to_the_server() {
    let (pieces_sender, pieces_receiver) = channel();
    // Each answer differs, as connections with equal answers are not reused for many requests.
    let count = AtomicUsize::new(0);
    let server = Server::start(move |mut conn| {
        let mut buf = [0; 4096];
        for nth in 0.. {
            let (mut head, mut pieces) = (Vec::new(), 0);
            while !head.ends_with(b"\r\n\r\n") {
                match conn.socket.read(&mut buf) {
                    Ok(n) if n > 0 => head.extend_from_slice(&buf[..n]),
                    _ => return,
                }
                pieces += 1;
            }
            let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
            let names = head.lines().skip(1).filter_map(|l| Some(l.split_once(':')?.0));
            if let Some(name) = repeated_field(names) {
                return record_violation(format!("{name} is repeated: {head}"));
            }
            let left = head.lines().find_map(|l| l.strip_prefix("x-time-left-ms: "));
            let left: u64 = left.unwrap().parse().unwrap();
            if nth > 0 && pieces_sender.send((pieces, left)).is_err() {
                return;
            }
            conn.send(ok(&format!("fine {}", count.fetch_add(1, Ordering::SeqCst))));
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    let mut seen: Vec<(i32, u64)> = Vec::new();
    // The connection is idle between two requests.
    wait_until("twenty requests on idle connections", || {
        sidecar.request(safe().replace("Left-Ms: 900", "Left-Ms: 40"));
        seen.extend(pieces_receiver.try_iter());
        seen.len() >= 20
    });
    let in_one_piece = seen.iter().filter(|s| s.0 == 1).count();
    assert!(in_one_piece >= 10, "{in_one_piece} of {} came in one piece", seen.len());
    let most = seen.iter().map(|s| s.1).max();
    assert!(most >= Some(36), "{most:?} of 40 ms");
}
