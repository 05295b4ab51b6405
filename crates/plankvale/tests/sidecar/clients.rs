//! Clients that come in crowds, stop in the middle, or go away.

use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use millethook_testkit::*;

/// Descriptors that a sidecar in a crowd may hold.
const SOCKETS: usize = 256;

fn fine() -> (Sidecar, Agent) {
    let (list, _, _) = servers(2, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    few_sockets(&list)
}

fn few_sockets(list: &[Server]) -> (Sidecar, Agent) {
    let agent = Agent::start(hosts(list));
    let limited = config(agent.address, |c| c["limits"]["sockets"] = SOCKETS.into());
    (Sidecar::start(&limited), agent)
}

#[test]
fn a_crowd_of_silent_and_half_finished_clients_keeps_nobody_out() {
    let (sidecar, _agent) = fine();
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
        assert!(sidecar.descriptors() < SOCKETS);
        crowd.push(client.socket);
    }
    let before = Instant::now();
    assert_eq!(sidecar.request(safe()).status(), 200);
    assert!(before.elapsed() < Duration::from_secs(1));
    drop(crowd);
    wait_until("descriptors given back", || sidecar.descriptors() < 40);
    assert!(sidecar.memory_mb() < 40);
}

/// Danger: clients that ask on ever new connections and keep each have no connection left when all of
/// theirs rest, though places are free here; nothing then drives any of these out.
#[test]
fn clients_that_ask_once_and_stay_do_not_hold_all_that_clients_may_hold() {
    let (sidecar, _agent) = fine();
    let mut often = sidecar.client();
    let mut ask_again = || {
        often.send(safe());
        assert_eq!(often.message().unwrap().status(), 200);
    };
    ask_again();
    ask_again();
    // Clients hold a third of the descriptors at most, and there are more places than that.
    let mut stayed: Vec<Conn> = (0..SOCKETS / 3 - 5)
        .map(|_| {
            let mut client = sidecar.client();
            client.send(safe());
            assert_eq!(client.message().unwrap().status(), 200);
            client.socket.set_nonblocking(true).unwrap();
            client
        })
        .collect();
    let before = Instant::now();
    let mut gone = 0;
    while gone < 25 {
        assert!(before.elapsed() < Duration::from_secs(10), "{gone} gone");
        // One at a time: never are all places taken.
        let mut new = sidecar.client();
        new.send("GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        assert!(new.closed_by_peer());
        gone += stayed.extract_if(.., |c| matches!(c.socket.peek(&mut [0]), Ok(0))).count();
    }
    assert!(stayed.len() >= 25, "{} left though places are free", stayed.len());
    // Who has shown to ask again stays.
    ask_again();
}

/// Danger: clients that never close what was ended here would hold all places for seconds.
#[test]
fn clients_that_do_not_close_ended_connections_keep_nobody_out() {
    let (sidecar, _agent) = fine();
    let before = Instant::now();
    let mut crowd = Vec::new();
    for _ in 0..500 {
        let mut client = sidecar.client();
        client.send(safe().replace("Host:", "Connection: close\r\nHost:"));
        assert_eq!(client.message().unwrap().status(), 200);
        assert!(sidecar.descriptors() < SOCKETS);
        crowd.push(client.socket);
    }
    // Waiting for them would take two seconds for every hundred.
    assert!(before.elapsed() < Duration::from_secs(8), "{:?}", before.elapsed());
}

#[test]
fn a_request_that_is_taken_is_not_given_up_for_a_crowd() {
    let (asked, told) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        let (go, gone) = channel::<()>();
        let _ = asked.send(go);
        let _ = gone.recv_timeout(WAIT_TIMEOUT);
        conn.send(ok("late"));
        Some(conn)
    });
    let (sidecar, _agent) = few_sockets(&list);
    let mut client = sidecar.client();
    client.send(safe().replace("Left-Ms: 900", "Left-Ms: 19000"));
    let go = receive(&told);
    let crowd: Vec<_> = (0..300).map(|_| sidecar.client().socket).collect();
    assert!(sidecar.descriptors() < SOCKETS);
    go.send(()).unwrap();
    assert_eq!(client.message().unwrap().body, b"late");
    drop(crowd);
}

#[test]
fn a_client_that_goes_calls_its_attempt_off() {
    for reset in [false, true] {
        let (came, coming) = channel();
        let (gone, going) = channel();
        let (list, _, _) = servers(1, move |mut conn, _| {
            let _ = came.send(());
            let _ = gone.send(conn.closed_by_peer());
            None
        });
        let (sidecar, _agent) = Sidecar::with_servers(&list);
        let mut client = sidecar.client();
        client.send(safe().replace("Left-Ms: 900", "Left-Ms: 60000"));
        receive(&coming);
        if reset {
            client.reset();
        } else {
            drop(client);
        }
        assert!(receive(&going), "the server sees its end");
    }
}

#[test]
fn a_client_that_goes_within_its_answer_ends_it_at_the_server() {
    let (gone, going) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        conn.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        conn.send(vec![b'z'; 200_000]);
        let _ = gone.send(conn.closed_by_peer());
        None
    });
    let (sidecar, _agent) = Sidecar::streaming(&list);
    let mut client = sidecar.client();
    client.send(safe());
    assert_eq!(client.head().unwrap().status(), 200);
    drop(client);
    assert!(receive(&going));
}

#[test]
fn clients_that_go_anywhere_leave_nothing_behind() {
    let (sidecar, _agent) = fine();
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
    wait_until("descriptors given back", || sidecar.descriptors() <= before + 4);
}

/// Danger: with the next request unread, an ordinary close would reset the connection, and take
/// away what the client has not yet read.
#[test]
fn the_last_answer_survives_what_comes_behind_it() {
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

/// Danger: a connection that has to go for a crowd may bring a request in that instant. It is read
/// and answered, or not read at all.
#[test]
fn no_request_is_read_from_a_connection_that_goes() {
    let (list, log, _) = servers(2, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, _agent) = few_sockets(&list);
    // As many at rest as there is room for, and more coming while each of them asks.
    let mut resting: Vec<_> = (0..80).map(|_| sidecar.client()).collect();
    let mut answered = 0;
    for round in 0..5 {
        for client in &mut resting {
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
