//! Client connections that the daemon closes while the client sends.

use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// After SIGTERM, requests are accepted for less than this time.
const LAST_ACCEPTED: Duration = Duration::from_millis(700);

fn signal(sidecar: &Sidecar, which: &str) {
    let pid = sidecar.child.id().to_string();
    assert!(Command::new("kill").args([which, &pid]).status().unwrap().success());
}

/// Waits until `n` bytes have arrived on a connection, without consuming them.
fn wait_for_bytes(conn: &Conn, n: usize) {
    let mut buf = vec![0; n];
    wait_until("bytes", || conn.socket.peek(&mut buf).unwrap() == n);
}

/// A client with a small receive buffer, so that most of an answer stays in the send buffer of the
/// sidecar's kernel.
fn client_with_small_buffer(sidecar: &Sidecar) -> Conn {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&sidecar.address.into()).unwrap();
    Conn::new(socket.into())
}

/// Guards against closing a connection with unread bytes: this resets the connection, and the reset
/// discards an answer that the sidecar's kernel has accepted and the client has not read yet.
#[test]
fn an_answer_survives_bytes_that_arrive_as_its_connection_is_closed() {
    let large_body = "first".repeat(12_000);
    let body = large_body.clone();
    let (servers, log, _) = servers(1, move |mut conn, _| {
        conn.send(ok(&body));
        Some(conn)
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&servers);
    let (mut witness, mut client) = (sidecar.client(), client_with_small_buffer(&sidecar));
    witness.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(witness.message().is_some());
    client.send(safe());
    wait_for_bytes(&client, 60);
    sidecar.terminate();
    // Both connections are idle, so both are closed at once, and the close of this one shows the
    // close of the other.
    assert!(witness.closed_by_peer());
    client.send(safe());
    let first = client.message().expect("the answer that had arrived before the close");
    assert_eq!((first.complete, first.body == large_body.as_bytes()), (true, true));
    // The second request crossed the close: either it was read before and is answered, or it was
    // never read.
    let second = client.message();
    assert_eq!(log.count(), 1 + usize::from(second.is_some_and(|m| m.status() == 200)));
    assert_eq!(sidecar.exit_code(), Some(0));
}

/// Guards against loss of a request on an idle connection that is closed to make room in a crowd,
/// and that nobody has read yet. The process is paused while the request and the new connections
/// arrive, so that it handles them at once.
#[test]
fn a_request_on_a_connection_closed_to_make_room_is_answered() {
    let a = Server::named("a");
    let agent = Agent::start(vec![host("s-a", a.address)]);
    // There is room for 42 clients: four ninths of the descriptors beyond the 32 for other uses.
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["limits"]["sockets"] = json!(128);
    }));
    let mut clients: Vec<_> = (0..40).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        client.send(safe());
        assert_eq!(client.message().unwrap().status(), 200);
    }
    signal(&sidecar, "-STOP");
    // The connection that has been idle longest is closed first.
    clients[0].send(safe());
    let mut newcomers: Vec<_> = (0..42).map(|_| sidecar.client()).collect();
    signal(&sidecar, "-CONT");
    let answer = clients[0].message().expect("an accepted request has an answer");
    assert_eq!(answer.status(), 200);
    newcomers[41].send(safe());
    assert_eq!(newcomers[41].message().unwrap().status(), 200);
}

/// During graceful shutdown, a request whose last byte arrives before the last requests are
/// accepted is answered; one whose last byte arrives later is refused and not forwarded. In the
/// latter case the process is paused past that moment, so that it handles the byte and the moment
/// at once.
#[test]
fn a_last_byte_before_or_after_the_end_of_acceptance() {
    for late in [false, true] {
        let (servers, log, _) = servers(1, |mut conn, _| {
            conn.send(ok("a"));
            Some(conn)
        });
        let (mut sidecar, _agent) = Sidecar::with_servers(&servers);
        let (mut witness, mut client) = (sidecar.client(), sidecar.client());
        let request = unsafe_with("body");
        let (first_part, last) = request.split_at(request.len() - 1);
        client.send(first_part);
        witness.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(witness.message().is_some());
        let signalled_at = Instant::now();
        sidecar.terminate();
        // Idle connections are closed first, those with a partial request last.
        assert!(witness.closed_by_peer());
        if late {
            signal(&sidecar, "-STOP");
            std::thread::sleep(LAST_ACCEPTED.saturating_sub(signalled_at.elapsed()));
        }
        client.send(last);
        if late {
            signal(&sidecar, "-CONT");
        }
        let answer = client.message().expect("an accepted request has an answer");
        assert_eq!(answer.status(), if late { 503 } else { 200 });
        assert_eq!(log.count(), usize::from(!late));
        assert_eq!(sidecar.exit_code(), Some(0));
    }
}

/// An HTTP/1.0 answer of unknown length ends with its connection, so an answer that breaks off ends
/// with a reset. In all other cases the client can tell, and an orderly close lets it read what has
/// arrived.
#[test]
fn only_a_close_delimited_answer_breaks_off_with_a_reset() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        let (release, released) = channel::<()>();
        let released = std::sync::Arc::new(std::sync::Mutex::new(released));
        let server = Server::start(move |mut conn| {
            if conn.message().is_some() {
                conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                // Long enough to be forwarded before its end.
                for _ in 0..12 {
                    conn.send(format!("{:x}\r\n{}\r\n", 8192, "x".repeat(8192)));
                }
                let _ = released.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
                conn.reset();
            }
        });
        let (sidecar, _agent) = Sidecar::with_servers(&[server]);
        let mut client = sidecar.client();
        client.send(safe().replace("HTTP/1.1", version));
        wait_for_bytes(&client, 8192);
        release.send(()).unwrap();
        use std::io::Read;
        let mut all = Vec::new();
        let end = client.socket.read_to_end(&mut all);
        match version {
            "HTTP/1.0" => assert!(end.is_err(), "it looks whole: {} bytes", all.len()),
            _ => assert!(end.is_ok() && !all.ends_with(b"0\r\n\r\n"), "{end:?}"),
        }
    }
}
