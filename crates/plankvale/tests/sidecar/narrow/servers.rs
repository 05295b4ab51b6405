//! Bytes and ends of servers in the instant in which a connection changes hands.

use std::io::Read;
use std::sync::mpsc::channel;

use millethook_testkit::*;

/// A reset is no end: an answer that says nothing of its length is whole once its server ends it, and not when the
/// connection breaks.
#[test]
fn an_answer_without_length_that_is_reset_is_not_whole() {
    for reset in [false, true] {
        let (log, _seen) = RequestLog::new();
        let counted = log.clone();
        let server = Server::start(move |mut conn| {
            if counted.read_request(&mut conn).is_none() {
                return;
            }
            conn.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning");
            // What was sent has to be read before the reset: the sidecar's end of the answer is awaited here.
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

/// Half a status line on a connection that rests is nobody's answer: the connection goes as soon as it comes, and the
/// next request takes another one. That the two cross is for the library's tests of strays.
#[test]
fn what_comes_on_a_resting_connection_is_nobodys_answer() {
    let (tell, told) = channel();
    let (log, _seen) = RequestLog::new();
    let counted = log.clone();
    let server = Server::start(move |mut conn| {
        while counted.read_request(&mut conn).is_some() {
            conn.send(ok("a"));
            let (go, going) = channel::<()>();
            let _ = tell.send(go);
            if going.recv_timeout(WAIT_TIMEOUT).is_err() {
                // Nothing comes on this one.
                continue;
            }
            conn.send("HTTP/1.1 200 O");
            let _ = tell.send(channel().0);
            assert!(conn.closed_by_peer(), "the connection stays");
            let _ = tell.send(channel().0);
            return;
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    for n in 0..4 {
        assert_eq!(sidecar.request(unsafe_with(&n.to_string())).body, b"a");
        let go = receive(&told);
        if n % 2 == 0 {
            go.send(()).unwrap();
            // Sent, and then seen to be gone.
            receive(&told);
            receive(&told);
        }
    }
    assert_eq!(log.count(), 4, "each ran once");
}

/// Clients that send a flood and go: all of it is let go of, and whoever comes then is served.
#[test]
fn floods_whose_clients_go_leave_nothing_behind() {
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
    // One byte, 60 MB that are announced, and noise.
    for begin in
        ["G", "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\nx", "\0\r\n\r\n"]
    {
        let mut client = sidecar.client();
        client.send(begin);
    }
    wait_until("nothing left", || sidecar.descriptors() <= before + 2);
    assert_eq!(sidecar.request(safe()).status(), 200);
    assert!(sidecar.memory_mb() < 32, "{} MB", sidecar.memory_mb());
    assert!(log.count() < 60 * 200);
    let mut rest = Vec::new();
    let mut last = sidecar.client();
    last.send("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    assert!(last.socket.read_to_end(&mut rest).is_ok());
}
