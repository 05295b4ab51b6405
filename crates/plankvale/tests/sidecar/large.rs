//! Bodies and answers that are too long to be buffered: they are streamed with little memory.

use std::sync::mpsc::channel;
use std::thread;

use millethook_testkit::*;
use serde_json::json;

/// Bytes that differ by position, so that lost, repeated or swapped bytes are detected.
fn bytes(n: usize) -> Vec<u8> {
    (0..n).map(|i| (i / 251 + i * 7) as u8).collect()
}

fn head(class: &str, framing: &str) -> String {
    let key = if class == "keep" { "Idempotency-Key: 5c0f\r\n" } else { "" };
    format!("POST /{class} HTTP/1.1\r\nHost: app.svc\r\n{}{key}{framing}\r\n\r\n", common_headers())
}

fn with_length(class: &str, body: &[u8]) -> Vec<u8> {
    let mut request = head(class, &format!("Content-Length: {}", body.len())).into_bytes();
    request.extend_from_slice(body);
    request
}

fn in_chunks(class: &str, body: &[u8], size: usize) -> Vec<u8> {
    let mut request = head(class, "Transfer-Encoding: chunked").into_bytes();
    for piece in body.chunks(size) {
        request.extend_from_slice(format!("{:x};ext=1\r\n", piece.len()).as_bytes());
        request.extend_from_slice(piece);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    request
}

#[test]
fn long_bodies_arrive_unchanged() {
    let (servers, log, seen) = servers(2, |mut conn, seen| {
        conn.send(ok(&seen.message.body.len().to_string()));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&servers);
    let mut client = sidecar.client();
    for n in [64 << 10, (64 << 10) + 1, 100_000, 3 << 20] {
        let body = bytes(n);
        for request in [with_length("order", &body), in_chunks("keep", &body, 30_011)] {
            let answer = client.request(&request).expect("an answer");
            assert_eq!((answer.status(), answer.body), (200, n.to_string().into_bytes()));
            let got = receive(&seen).message;
            assert!(got.body == body, "{n} bytes changed on the way");
        }
    }
    assert_eq!(log.count(), 8);
}

#[test]
fn long_answers_arrive_unchanged_in_every_class() {
    let body = bytes(2 << 20);
    let served = body.clone();
    let server = Server::start(move |mut conn| {
        let mut nth = 0;
        while conn.message().is_some() {
            nth += 1;
            if nth % 2 == 0 {
                conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", served.len()));
                conn.send(&served);
            } else {
                conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for piece in served.chunks(70_001) {
                    conn.send(format!("{:x}\r\n", piece.len()));
                    conn.send(piece);
                    conn.send("\r\n");
                }
                conn.send("0\r\n\r\n");
            }
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    let mut client = sidecar.client();
    for request in [safe(), keyed(), unsafe_with("x"), safe()] {
        let answer = client.request(request).expect("an answer");
        assert!(answer.status() == 200 && answer.complete && answer.body == body);
    }
}

/// Far more data than the memory limit is forwarded at once, read and written by slow peers.
#[test]
fn memory_use_is_limited_to_data_in_flight() {
    const SIZE: usize = 8 << 20;
    const CLIENTS: usize = 12;
    let server = Server::start(move |mut conn| {
        while let Some(message) = conn.message() {
            assert_eq!(message.body.len(), SIZE);
            conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {SIZE}\r\n\r\n"));
            conn.send(&message.body);
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let sidecar = Sidecar::start(&config(agent.address, |c| c["limits"]["memory_mb"] = json!(32)));
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let body = bytes(SIZE);
                let answer = sidecar.request(with_length("order", &body));
                assert!(answer.status() == 200 && answer.complete && answer.body == body);
            });
        }
    });
    assert!(sidecar.memory_mb() < 32, "{} MB", sidecar.memory_mb());
}

#[test]
fn a_body_that_is_still_buffered_may_go_to_another_server() {
    let body = bytes(300_000);
    // One server refuses connections.
    let dead = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let alive = Server::start(|mut conn| {
        while let Some(message) = conn.message() {
            conn.send(ok(&message.body.len().to_string()));
        }
    });
    let agent = Agent::start(vec![host("s-dead", dead), host("s-b", alive.address)]);
    let sidecar = Sidecar::start(&config(agent.address, |_| {}));
    for _ in 0..10 {
        assert_eq!(sidecar.request(with_length("order", &body)).body, b"300000");
    }
}

/// A server that leaves in the middle of a body never received the last byte, so the request did
/// not run; nor is the half-read body sent to another server.
#[test]
fn a_long_body_that_breaks_off_never_ran() {
    let (results, result_receiver) = channel();
    let server = Server::start(move |mut conn| {
        if conn.head().is_some() {
            let got = conn.body(200_000);
            let _ = results.send(got.is_some());
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    for class in ["order", "keep"] {
        let mut client = sidecar.client();
        client.send(head(class, "Content-Length: 10000000"));
        client.send(bytes(9_000_000));
        assert_eq!(client.message().expect("an answer").status(), 503, "{class}");
        assert!(receive(&result_receiver), "the server had a part of it");
        assert!(result_receiver.try_recv().is_err(), "another attempt");
    }
}

#[test]
fn a_rejected_long_body_is_refused() {
    let server = Server::start(|mut conn| {
        while conn.head().is_some() {
            conn.send(answer("503 Full", "X-Unprocessed: 1\r\n", ""));
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    let mut client = sidecar.client();
    client.send(head("order", "Content-Length: 10000000"));
    client.send(bytes(200_000));
    assert_eq!(client.message().expect("an answer").status(), 503);
}

#[test]
fn a_client_that_leaves_during_its_body_leaves_no_request() {
    let (results, result_receiver) = channel();
    let server = Server::start(move |mut conn| {
        let message = conn.message();
        let _ = results.send(message.is_some_and(|m| m.complete));
    });
    let agent = Agent::start(hosts(&[server]));
    let sidecar = Sidecar::start(&config(agent.address, |c| c["admin"] = json!("127.0.0.1:0")));
    for framing in ["Content-Length: 300000", "Transfer-Encoding: chunked"] {
        let mut client = sidecar.client();
        client.send(head("order", framing));
        if framing.contains("chunked") {
            client.send("30d40\r\n");
        }
        client.send(bytes(200_000));
        wait_until("the body is being forwarded", || sidecar.metric("sidecar.outstanding") == 1);
        drop(client);
        assert!(!receive(&result_receiver), "the server received a complete request");
        wait_until("the request is no longer open", || sidecar.metric("sidecar.outstanding") == 0);
    }
    assert_eq!(sidecar.metric("sidecar.forwards"), 0);
}

/// The deadline runs from the last byte on, and then there is an answer whatever the server does.
#[test]
fn a_long_body_without_an_answer_ends_in_time() {
    let server = Server::start(|mut conn| while conn.message().is_some() {});
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    assert_eq!(sidecar.request(with_length("order", &bytes(500_000))).status(), 502);
}

#[test]
fn a_body_that_is_too_long_is_rejected_at_once() {
    let (servers, log, _) = servers(1, |mut conn, _| {
        conn.send(ok("served"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&servers);
    let too_long = head("order", &format!("Content-Length: {}", (32 << 20) + 1));
    assert_eq!(sidecar.request(too_long).status(), 413);
    // A body without an announced length is cut off where it becomes too long.
    let mut client = sidecar.client();
    client.send(head("order", "Transfer-Encoding: chunked"));
    let piece = bytes(1 << 20);
    for _ in 0..40 {
        client.send("100000\r\n");
        client.send(&piece);
        client.send("\r\n");
    }
    assert!(client.message().is_none_or(|m| m.status() == 413));
    assert_eq!(log.count(), 0);
}

#[test]
fn a_stalled_body_is_rejected() {
    let (servers, log, _) = servers(1, |mut conn, _| {
        conn.send(ok("served"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&servers);
    for sent in [0, 10, 100_000] {
        let mut client = sidecar.client();
        client.send(head("order", "Content-Length: 200000"));
        client.send(bytes(sent));
        assert_eq!(client.message().expect("an answer").status(), 408, "after {sent} bytes");
        assert!(client.closed_by_peer());
    }
    assert_eq!(log.count(), 0);
}

/// An answer that announces more than the maximum length is invalid, and one that never ends is cut
/// off in a way that its client can detect.
#[test]
fn answers_of_excessive_or_endless_length_are_not_served_completely() {
    let announced = Server::start(|mut conn| {
        while conn.message().is_some() {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
            conn.send(bytes(100_000));
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[announced]);
    assert_eq!(sidecar.request(unsafe_with("x")).status(), 502);
    let endless = Server::start(|mut conn| {
        if conn.message().is_some() {
            conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let piece = bytes(1 << 20);
            for _ in 0..40 {
                conn.send("100000\r\n");
                conn.send(&piece);
                conn.send("\r\n");
            }
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[endless]);
    let answer = sidecar.request(unsafe_with("x"));
    assert!(!answer.complete && answer.body.len() <= 32 << 20);
}

/// Any server may answer after the head. That is the answer; the rest of the body is not needed.
#[test]
fn an_early_answer_to_a_long_body_is_its_answer() {
    let large_body = "long ".repeat(40_000);
    let served = large_body.clone();
    let server = Server::start(move |mut conn| {
        if conn.head().is_some() {
            conn.send(ok(&served));
            // The sent bytes are read, as closing with unread bytes would discard the answer.
            conn.body(200_000);
        }
    });
    let agent = Agent::start(hosts(&[server]));
    let sidecar = Sidecar::start(&config(agent.address, |c| c["begins"] = json!("head")));
    let mut client = sidecar.client();
    client.send(head("order", "Content-Length: 400000"));
    client.send(bytes(200_000));
    let answer = client.message().expect("an answer");
    assert_eq!((answer.status(), answer.complete), (200, true));
    assert_eq!(answer.body, large_body.into_bytes());
}

/// The first bytes of a long answer are buffered. A slow answer without a length is passed on
/// before it is known to be long.
#[test]
fn a_slow_answer_without_a_length_is_passed_on_as_it_comes() {
    let (release, released) = channel::<()>();
    let released = std::sync::Mutex::new(released);
    let server = Server::start(move |mut conn| {
        while conn.message().is_some() {
            conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for _ in 0..6 {
                conn.send("400\r\n");
                conn.send(bytes(1024));
                conn.send("\r\n");
                // A fifth of the aim in total.
                thread::sleep(std::time::Duration::from_millis(10));
            }
            // The rest is sent once the client has read the beginning.
            let _ = released.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
            conn.send("0\r\n\r\n");
        }
    });
    let (sidecar, _agent) = Sidecar::with_servers(&[server]);
    let mut client = sidecar.client();
    client.send(unsafe_with("x"));
    let head = client.head().expect("the head, ahead of the answer's end");
    assert_eq!(head.status(), 200);
    release.send(()).unwrap();
    let rest = client.rest_of(head);
    assert!(rest.complete && rest.body.len() == 6 << 10);
}
