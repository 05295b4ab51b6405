//! Clients that arrive in crowds, stop in the middle of a request, or leave.

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use millethook_testkit::*;

/// The number of descriptors that a sidecar may hold in a crowd.
const MAX_SOCKETS: usize = 256;

fn sidecar_with_two_servers() -> (Sidecar, Agent) {
    let (list, _, _) = servers(2, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    sidecar_with_few_sockets(&list)
}

fn sidecar_with_few_sockets(list: &[Server]) -> (Sidecar, Agent) {
    let agent = Agent::start(hosts(list));
    let limited = config(agent.address, |c| c["limits"]["sockets"] = MAX_SOCKETS.into());
    (Sidecar::start(&limited), agent)
}

#[test]
fn a_crowd_of_silent_and_half_finished_clients_does_not_block_others() {
    let (sidecar, _agent) = sidecar_with_two_servers();
    let mut crowd = Vec::new();
    for n in 0..400 {
        let mut client = sidecar.client();
        match n % 4 {
            0 => {}
            1 => client.send("GET /look HTTP/1.1\r\nHo"),
            2 => client.send(&unsafe_with("never whole")[..100]),
            _ => {
                client.send(safe());
                assert_eq!(client.message().unwrap().status(), 200, "client {n}");
            }
        }
        assert!(sidecar.descriptors() < MAX_SOCKETS);
        crowd.push(client.socket);
    }
    let before = Instant::now();
    assert_eq!(sidecar.request(safe()).status(), 200);
    assert!(before.elapsed() < Duration::from_secs(1));
    drop(crowd);
    wait_until("descriptors are released", || sidecar.descriptors() < 40);
    assert!(sidecar.memory_mb() < 40);
}

/// Guards against keeping the idle connections of clients that send each request on a new
/// connection and close none: such clients run out of connections of their own while the sidecar
/// still has free descriptors, so that no crowd makes it close an idle connection.
#[test]
fn idle_clients_with_one_request_do_not_hold_all_client_connections() {
    let (sidecar, _agent) = sidecar_with_two_servers();
    let mut regular_client = sidecar.client();
    let mut ask_again = || {
        regular_client.send(safe());
        assert_eq!(regular_client.message().unwrap().status(), 200);
    };
    ask_again();
    ask_again();
    // Clients may hold at most a third of the descriptors, and there is room for more than these.
    let mut idle_clients: Vec<Conn> = (0..MAX_SOCKETS / 3 - 5)
        .map(|_| {
            let mut client = sidecar.client();
            client.send(safe());
            assert_eq!(client.message().unwrap().status(), 200);
            client.socket.set_nonblocking(true).unwrap();
            client
        })
        .collect();
    let before = Instant::now();
    let mut closed_count = 0;
    while closed_count < 25 {
        assert!(before.elapsed() < Duration::from_secs(10), "{closed_count} gone");
        // One at a time, so that the limit is never reached.
        let mut new = sidecar.client();
        new.send("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assert!(new.closed_by_peer());
        closed_count +=
            idle_clients.extract_if(.., |c| matches!(c.socket.peek(&mut [0]), Ok(0))).count();
    }
    assert!(idle_clients.len() >= 25, "{} left though places are free", idle_clients.len());
    // A client that has sent several requests keeps its connection.
    ask_again();
}

/// Guards against clients that never close connections that the sidecar has ended: they would hold
/// all client connections for seconds.
#[test]
fn clients_that_do_not_close_ended_connections_do_not_block_others() {
    let (sidecar, _agent) = sidecar_with_two_servers();
    let before = Instant::now();
    let mut crowd = Vec::new();
    for _ in 0..500 {
        let mut client = sidecar.client();
        client.send(safe().replace("Host:", "Connection: close\r\nHost:"));
        assert_eq!(client.message().unwrap().status(), 200);
        assert!(sidecar.descriptors() < MAX_SOCKETS);
        crowd.push(client.socket);
    }
    // Waiting for these clients to close would take two seconds for every hundred.
    assert!(before.elapsed() < Duration::from_secs(8), "{:?}", before.elapsed());
}

#[test]
fn an_accepted_request_is_not_dropped_for_a_crowd() {
    let (arrived, arrivals) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        let (release, released) = channel::<()>();
        let _ = arrived.send(release);
        let _ = released.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("late"));
        Some(conn)
    });
    let (sidecar, _agent) = sidecar_with_few_sockets(&list);
    let mut client = sidecar.client();
    client.send(safe().replace("Left-Ms: 900", "Left-Ms: 19000"));
    let release = receive(&arrivals);
    let crowd: Vec<_> = (0..300).map(|_| sidecar.client().socket).collect();
    assert!(sidecar.descriptors() < MAX_SOCKETS);
    release.send(()).unwrap();
    assert_eq!(client.message().unwrap().body, b"late");
    drop(crowd);
}

#[test]
fn a_departed_clients_attempt_is_cancelled() {
    for reset in [false, true] {
        let (arrived, arrivals) = channel();
        let (closed, closes) = channel();
        let (list, _, _) = servers(1, move |mut conn, _| {
            let _ = arrived.send(());
            let _ = closed.send(conn.closed_by_peer());
            None
        });
        let (sidecar, _agent) = Sidecar::with_servers(&list);
        let mut client = sidecar.client();
        client.send(safe().replace("Left-Ms: 900", "Left-Ms: 60000"));
        receive(&arrivals);
        if reset {
            client.reset();
        } else {
            drop(client);
        }
        assert!(receive(&closes), "the server sees the close");
    }
}

#[test]
fn a_client_that_leaves_during_its_answer_ends_it_at_the_server() {
    let (closed, closes) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        conn.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        conn.send(vec![b'z'; 200_000]);
        let _ = closed.send(conn.closed_by_peer());
        None
    });
    let (sidecar, _agent) = Sidecar::streaming(&list);
    let mut client = sidecar.client();
    client.send(safe());
    assert_eq!(client.head().unwrap().status(), 200);
    drop(client);
    assert!(receive(&closes));
}

#[test]
fn clients_that_leave_at_any_byte_release_all_resources() {
    let (sidecar, _agent) = sidecar_with_two_servers();
    let before = sidecar.descriptors();
    let request = unsafe_with("a body");
    for cut in 0..request.len() {
        let mut client = sidecar.client();
        client.send(&request[..cut]);
        if cut % 2 == 0 {
            client.reset();
        }
    }
    assert_eq!(sidecar.request(safe()).status(), 200);
    wait_until("descriptors are released", || sidecar.descriptors() <= before + 4);
}

/// Guards against an ordinary close with the next request unread: this resets the connection and
/// discards what the client has not read yet.
#[test]
fn the_last_answer_survives_bytes_sent_after_its_request() {
    let body = "b".repeat(60_000);
    let sent = body.clone();
    let (list, _, _) = servers(1, move |mut conn, _| {
        conn.send(ok(&sent));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let mut client = sidecar.client();
    let last = safe().replace("Host:", "Connection: close\r\nHost:");
    client.send(last + &safe() + &"x".repeat(100_000));
    let got = client.message().unwrap();
    assert!(got.complete && got.body == body.as_bytes());
    assert!(client.closed_by_peer());
}

/// Guards against losing a request that arrives at the moment its connection is closed to make room
/// in a crowd. It is read and answered, or not read at all.
#[test]
fn no_request_is_read_from_a_connection_being_closed() {
    let (list, log, _) = servers(2, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, _agent) = sidecar_with_few_sockets(&list);
    // As many idle connections as there is room for, and new ones while each of them sends a
    // request.
    let mut idle_clients: Vec<_> = (0..80).map(|_| sidecar.client()).collect();
    let mut answered = 0;
    for round in 0..5 {
        for client in &mut idle_clients {
            let _newcomer = sidecar.client();
            client.send(safe());
            match client.message() {
                Some(answer) => {
                    assert_eq!((answer.status(), answer.complete), (200, true), "round {round}");
                    answered += 1;
                }
                None => *client = sidecar.client(),
            }
        }
    }
    assert!(answered > 100);
    assert_eq!(log.count(), answered);
}
