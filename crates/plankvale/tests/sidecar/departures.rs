//! Clients that leave while much of what they sent is still unread, and one client that floods the others.

use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;

/// A client that closes has gone after this long.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// Sends `requests` on one connection, as far as the buffers take them, and closes it when a server has the first one.
/// No request may arrive at a server later than that.
fn leave_with_unread_requests(
    request: fn() -> String,
    requests: usize,
    script: impl Fn(Conn, SeenRequest) -> Option<Conn> + Clone + Send + Sync + 'static,
) {
    let (list, _, seen) = servers(3, script);
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let mut client = sidecar.client();
    client.socket.set_nonblocking(true).unwrap();
    for _ in 0..requests {
        if client.socket.write_all(request().as_bytes()).is_err() {
            break;
        }
    }
    receive(&seen);
    drop(client);
    let closed = Instant::now();
    while closed.elapsed() < Duration::from_secs(2) {
        if let Ok(late) = seen.recv_timeout(Duration::from_millis(50)) {
            let after = closed.elapsed();
            assert!(after < DEPARTURE_GRACE, "{} {after:?} after the close", late.message.first);
        }
    }
}

const REQUEST_KINDS: [(usize, fn() -> String); 3] =
    [(300, || unsafe_with(&"x".repeat(20_000))), (5000, safe), (5000, keyed)];

/// Guards against a close that the system reports only once everything before it has been read.
#[test]
fn requests_in_front_of_a_close_that_is_not_seen_yet_are_not_sent() {
    for (requests, request) in REQUEST_KINDS {
        leave_with_unread_requests(request, requests, |mut conn, _| {
            thread::sleep(3 * DEPARTURE_GRACE);
            conn.send(ok("fine"));
            Some(conn)
        });
    }
}

#[test]
fn a_request_of_a_client_that_left_is_not_tried_again_though_the_close_is_not_seen_yet() {
    for (requests, request) in REQUEST_KINDS {
        leave_with_unread_requests(request, requests, |conn, _| {
            thread::sleep(3 * DEPARTURE_GRACE);
            conn.reset();
            None
        });
    }
}

/// The longest time that ordinary requests take while `flood` is written on one connection at full speed.
fn longest_answer_beside(sidecar: &Sidecar, flood: impl Fn(usize) -> String + Sync) -> Duration {
    let end = Instant::now() + Duration::from_secs(3);
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut n = 0;
            while Instant::now() < end {
                let client = sidecar.client();
                let mut answers = client.socket.try_clone().unwrap();
                let reader =
                    scope.spawn(
                        move || {
                            while matches!(answers.read(&mut [0; 65536]), Ok(n) if n > 0) {}
                        },
                    );
                let mut socket = &client.socket;
                while Instant::now() < end && socket.write_all(flood(n).as_bytes()).is_ok() {
                    n += 1;
                }
                let _ = client.socket.shutdown(std::net::Shutdown::Both);
                reader.join().unwrap();
            }
        });
        let ordinary = || {
            let (mut client, mut longest) = (sidecar.client(), Duration::ZERO);
            while Instant::now() < end {
                let asked = Instant::now();
                client.send(unsafe_with("small"));
                let answer = client.message();
                longest = longest.max(asked.elapsed());
                if answer.is_none() {
                    client = sidecar.client();
                }
                thread::sleep(Duration::from_millis(20));
            }
            longest
        };
        let clients: Vec<_> = (0..4).map(|_| scope.spawn(ordinary)).collect();
        clients.into_iter().map(|client| client.join().unwrap()).max().unwrap()
    })
}

#[test]
fn a_flood_on_one_connection_does_not_delay_other_clients() {
    let (list, _, _) = servers(2, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let floods: [fn(usize) -> String; 4] = [
        |_| "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(),
        |n| format!("GET /c{n} HTTP/1.1\r\nHost: a\r\nX-Account: t{n}\r\nCookie: k={n}\r\n\r\n"),
        |_| safe(),
        |_| "what is this\r\n\r\n".to_owned(),
    ];
    for flood in floods {
        let longest = longest_answer_beside(&sidecar, flood);
        assert!(longest < Duration::from_millis(900), "{:?}: {longest:?}", flood(7));
        assert!(sidecar.memory_mb() < 32, "{:?}: {} MB", flood(7), sidecar.memory_mb());
    }
}

/// An unsafe request with this id.
fn unsafe_with_id(id: &str) -> String {
    let headers = "X-Account: acme\r\nX-Time-Left-Ms: 900\r\nContent-Length: 1\r\n";
    format!("POST /order HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n{headers}\r\nx")
}

/// Guards against ids that are forgotten by the clock while their requests are still being answered.
#[test]
fn an_id_stays_in_use_for_as_long_as_its_answer_takes() {
    const ANSWER_TIME: Duration = Duration::from_secs(7);
    let (list, _, seen) = servers(2, |mut conn, seen| {
        let is_long = seen.message.header("x-correlation-id") == Some("long");
        if !is_long {
            conn.send(ok("fine"));
            return Some(conn);
        }
        conn.send("HTTP/1.1 200 OK\r\nContent-Length: 280000\r\n\r\n");
        for _ in 0..28 {
            conn.send("y".repeat(10_000));
            thread::sleep(ANSWER_TIME / 28);
        }
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let mut client = sidecar.client();
    client.send(unsafe_with_id("long"));
    let head = client.head().expect("an answer");
    let begun = Instant::now();
    while begun.elapsed() < ANSWER_TIME * 6 / 7 {
        assert_eq!(sidecar.request(safe()).status(), 200);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(sidecar.request(unsafe_with_id("long")).status(), 409);
    assert!(client.rest_of(head).complete);
    let runs = seen.try_iter().filter(|r| r.message.header("x-correlation-id") == Some("long"));
    assert_eq!(runs.count(), 1);
}
