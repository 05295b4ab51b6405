//! A client's connection that goes while its client sends.

use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// After SIGTERM, requests are taken for less than this.
const LAST_TAKEN: Duration = Duration::from_millis(700);

fn signal(sidecar: &Sidecar, which: &str) {
    let pid = sidecar.child.id().to_string();
    assert!(Command::new("kill").args([which, &pid]).status().unwrap().success());
}

/// Waits until `n` bytes have come on a connection, and leaves them there.
fn arrived(conn: &Conn, n: usize) {
    let mut buf = vec![0; n];
    wait_until("bytes", || conn.socket.peek(&mut buf).unwrap() == n);
}

/// A client whose system takes a few bytes at a time, so that most of an answer waits in the sidecar's system.
fn little_room(sidecar: &Sidecar) -> Conn {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&sidecar.address.into()).unwrap();
    Conn::new(socket.into())
}

/// Danger: a close over bytes that nobody read resets the connection, and the reset takes away an answer that the
/// sidecar's system has taken and the client has not read yet.
#[test]
fn an_answer_outlives_what_is_sent_behind_it_as_its_connection_is_closed() {
    let long = "first".repeat(12_000);
    let body = long.clone();
    let (servers, log, _) = servers(1, move |mut conn, _| {
        conn.send(ok(&body));
        Some(conn)
    });
    let (mut sidecar, _agent) = Sidecar::with_servers(&servers);
    let (mut witness, mut client) = (sidecar.client(), little_room(&sidecar));
    witness.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(witness.message().is_some());
    client.send(safe());
    arrived(&client, 60);
    sidecar.terminate();
    // Both rest, so both are closed in one go: this one's end tells of the other's.
    assert!(witness.closed_by_peer());
    client.send(safe());
    let first = client.message().expect("the answer that was here before the close");
    assert_eq!((first.complete, first.body == long.as_bytes()), (true, true));
    // The second one crossed the close: it was read before it and is answered, or never was.
    let second = client.message();
    assert_eq!(log.count(), 1 + usize::from(second.is_some_and(|m| m.status() == 200)));
    assert_eq!(sidecar.exit_code(), Some(0));
}

/// Danger: in a crowd, the connection that makes room may have a request on it by now that nobody has read. The
/// process stands still while both come, so that it meets them at once.
#[test]
fn a_request_that_came_before_its_connection_makes_room_is_answered() {
    let a = Server::named("a");
    let agent = Agent::start(vec![host("s-a", a.address)]);
    // 42 places for clients: four ninths of what is left beside 32 for other ends.
    let sidecar = Sidecar::start(&config(agent.address, |c| {
        c["limits"]["sockets"] = json!(128);
    }));
    let mut clients: Vec<_> = (0..40).map(|_| sidecar.client()).collect();
    for client in &mut clients {
        client.send(safe());
        assert_eq!(client.message().unwrap().status(), 200);
    }
    signal(&sidecar, "-STOP");
    // The one that has rested longest is the first to go.
    clients[0].send(safe());
    let mut newcomers: Vec<_> = (0..42).map(|_| sidecar.client()).collect();
    signal(&sidecar, "-CONT");
    let answer = clients[0].message().expect("a request that was taken has an answer");
    assert_eq!(answer.status(), 200);
    newcomers[41].send(safe());
    assert_eq!(newcomers[41].message().unwrap().status(), 200);
}

/// At the planned end, a request whose last byte came before the last ones are taken is answered; one whose last
/// byte comes after that is refused, and is not sent on. For the latter the process stands still beyond that moment,
/// so that it meets the byte and the moment at once.
#[test]
fn a_last_byte_on_either_side_of_the_last_moment() {
    for late in [false, true] {
        let (servers, log, _) = servers(1, |mut conn, _| {
            conn.send(ok("a"));
            Some(conn)
        });
        let (mut sidecar, _agent) = Sidecar::with_servers(&servers);
        let (mut witness, mut client) = (sidecar.client(), sidecar.client());
        let request = unsafe_with("body");
        let (begin, last) = request.split_at(request.len() - 1);
        client.send(begin);
        witness.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        assert!(witness.message().is_some());
        let told = Instant::now();
        sidecar.terminate();
        // Those that rest are closed first, those that have begun last.
        assert!(witness.closed_by_peer());
        if late {
            signal(&sidecar, "-STOP");
            std::thread::sleep(LAST_TAKEN.saturating_sub(told.elapsed()));
        }
        client.send(last);
        if late {
            signal(&sidecar, "-CONT");
        }
        let answer = client.message().expect("taken, so there is an answer");
        assert_eq!(answer.status(), if late { 503 } else { 200 });
        assert_eq!(log.count(), usize::from(!late));
        assert_eq!(sidecar.exit_code(), Some(0));
    }
}

/// An HTTP/1.0 answer of unknown length ends with its connection: where it breaks off, the end is a reset.
/// Everywhere else a client can tell, and an orderly end lets it read what has come.
#[test]
fn only_an_answer_that_the_end_delimits_breaks_off_by_a_reset() {
    for version in ["HTTP/1.0", "HTTP/1.1"] {
        let (go, going) = channel::<()>();
        let going = std::sync::Arc::new(std::sync::Mutex::new(going));
        let server = Server::start(move |mut conn| {
            if conn.message().is_some() {
                conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                // Long enough to be passed on before its end.
                for _ in 0..12 {
                    conn.send(format!("{:x}\r\n{}\r\n", 8192, "x".repeat(8192)));
                }
                let _ = going.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
                conn.reset();
            }
        });
        let (sidecar, _agent) = Sidecar::with_servers(&[server]);
        let mut client = sidecar.client();
        client.send(safe().replace("HTTP/1.1", version));
        arrived(&client, 8192);
        go.send(()).unwrap();
        use std::io::Read;
        let mut all = Vec::new();
        let end = client.socket.read_to_end(&mut all);
        match version {
            "HTTP/1.0" => assert!(end.is_err(), "it looks whole: {} bytes", all.len()),
            _ => assert!(end.is_ok() && !all.ends_with(b"0\r\n\r\n"), "{end:?}"),
        }
    }
}
