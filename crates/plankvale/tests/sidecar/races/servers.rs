//! Bytes and closes from servers at the moment in which a connection passes to another request.

use std::io::Read;
use std::sync::mpsc::channel;

use millethook_testkit::*;

/// A reset is not an orderly end: an answer without a length is complete once its server closes the
/// connection, and not when the connection is reset.
#[test]
fn an_answer_without_length_that_is_reset_is_incomplete() {
    for reset in [false, true] {
        let (log, _seen) = RequestLog::new();
        let counted = log.clone();
        let server = Server::start(move |mut conn| {
            if counted.read_request(&mut conn).is_none() {
                return;
            }
            conn.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning");
            // The sent bytes have to be read before the reset: this waits until the sidecar has
            // read them.
            if reset {
                conn.send(" and more");
                std::thread::sleep(std::time::Duration::from_millis(30));
                conn.reset();
            }
        });
        let (sidecar, _agent) = Sidecar::with_servers(&[server]);
        let answer = sidecar.request(unsafe_with("x"));
        let expected = if reset { (502, false) } else { (200, true) };
        assert_eq!((answer.status(), answer.body == b"the beginning"), expected);
        assert_eq!(log.count(), 1, "an unsafe request that may have run is not sent again");
    }
}

/// Half a status line on an idle connection is not an answer: the connection is closed as soon as
/// it arrives, and the next request uses another one. The library's tests of stray bytes cover the
/// case in which the two cross.
#[test]
fn bytes_on_an_idle_connection_are_no_answer() {
    let (events, event_receiver) = channel();
    let (log, _seen) = RequestLog::new();
    let counted = log.clone();
    let server = Server::start(move |mut conn| {
        while counted.read_request(&mut conn).is_some() {
            conn.send(ok("a"));
            let (release, released) = channel::<()>();
            let _ = events.send(release);
            if released.recv_timeout(WAIT_TIMEOUT).is_err() {
                // Nothing is sent on this connection.
                continue;
            }
            conn.send("HTTP/1.1 200 O");
            let _ = events.send(channel().0);
            assert!(conn.closed_by_peer(), "the connection stays");
            let _ = events.send(channel().0);
            return;
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    for n in 0..4 {
        assert_eq!(sidecar.request(unsafe_with(&n.to_string())).body, b"a");
        let release = receive(&event_receiver);
        if n % 2 == 0 {
            release.send(()).unwrap();
            // Sent, and then the close is observed.
            receive(&event_receiver);
            receive(&event_receiver);
        }
    }
    assert_eq!(log.count(), 4, "each ran once");
}

/// Clients that send many requests and leave: all of their resources are released, and later
/// clients are served.
#[test]
fn floods_of_departed_clients_release_all_resources() {
    let (servers, log, _) = servers(1, |mut conn, _| {
        conn.send(ok("a"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&servers);
    assert_eq!(sidecar.request(safe()).status(), 200);
    let before = sidecar.descriptors();
    for _ in 0..60 {
        let mut client = sidecar.client();
        let flood: String = (0..200).map(|_| safe()).collect();
        client.socket.set_nonblocking(true).unwrap();
        client.send(flood);
    }
    // One byte, 60 MB that are announced, and garbage.
    for beginning in
        ["G", "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\nx", "\0\r\n\r\n"]
    {
        let mut client = sidecar.client();
        client.send(beginning);
    }
    wait_until("all descriptors are released", || sidecar.descriptors() <= before + 2);
    assert_eq!(sidecar.request(safe()).status(), 200);
    assert!(sidecar.memory_mb() < 32, "{} MB", sidecar.memory_mb());
    assert!(log.count() < 60 * 200);
    let mut rest = Vec::new();
    let mut last = sidecar.client();
    last.send("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(last.socket.read_to_end(&mut rest).is_ok());
}
