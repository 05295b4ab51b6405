//! All forms of HTTP/1.1 framing, from clients and servers, in pieces of any size.

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use millethook_testkit::*;

fn sidecar_with_echo_server() -> (Sidecar, Agent, RequestLog) {
    let (list, log, _) = servers(1, |mut conn, seen| {
        let body = String::from_utf8_lossy(&seen.message.body).into_owned();
        conn.send(ok(&body));
        Some(conn)
    });
    let (sidecar, agent) = Sidecar::with_servers(&list);
    (sidecar, agent, log)
}

/// A sidecar whose only server answers with these bytes and closes the connection.
fn sidecar_with_answer(bytes: Vec<u8>) -> (Sidecar, Agent) {
    let (list, _, _) = servers(1, move |mut conn, _| {
        conn.send(&bytes);
        None
    });
    Sidecar::streaming(&list)
}

const COMMON_HEADERS: &str = "X-Correlation-ID: 77\r\nx-account:acme\r\nX-TIME-LEFT-MS: 5000\r\n";

#[test]
fn a_request_byte_by_byte() {
    let (sidecar, _agent, _) = sidecar_with_echo_server();
    let mut client = sidecar.client();
    for byte in unsafe_with("in pieces").bytes() {
        client.send([byte]);
    }
    assert_eq!(client.message().unwrap().body, b"in pieces");
}

#[test]
fn a_request_in_chunks_with_extensions_and_trailers() {
    let (sidecar, _agent, _) = sidecar_with_echo_server();
    let got = sidecar.request(format!(
        "POST /order HTTP/1.1\r\nhost: a\r\n{COMMON_HEADERS}tRANSFER-eNCODING: chunked\r\nTrailer: X-Sum\r\n\r\n\
         3;a=b;c=\"d e\"\r\none\r\n004\r\ntwo!\r\n0;last\r\nX-Sum: 9\r\n\r\n"
    ));
    assert_eq!((got.status(), got.body.as_slice()), (200, &b"onetwo!"[..]));
}

#[test]
fn expect_is_answered_and_the_body_may_be_sent_without_waiting() {
    let (sidecar, _agent, _) = sidecar_with_echo_server();
    let head = format!(
        "POST /order HTTP/1.1\r\nHost: a\r\n{COMMON_HEADERS}Expect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    );
    let mut waiting_client = sidecar.client();
    waiting_client.send(&head);
    assert_eq!(waiting_client.head().unwrap().status(), 100);
    waiting_client.send("body");
    assert_eq!(waiting_client.message().unwrap().body, b"body");

    let mut eager_client = sidecar.client();
    eager_client.send(head.replace("77", "78") + "body");
    let first = eager_client.head().unwrap();
    let answer = if first.status() == 100 { eager_client.message().unwrap() } else { first };
    assert_eq!(answer.status(), 200);
}

#[test]
fn long_headers_pass() {
    let (sidecar, _agent, _) = sidecar_with_echo_server();
    let large_value = "v".repeat(30_000);
    let got = sidecar.request(format!(
        "GET /look HTTP/1.1\r\nHost: a\r\nX-Long: {large_value}\r\n{COMMON_HEADERS}\r\n"
    ));
    assert_eq!(got.status(), 200);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (list, log, _) = servers(2, |mut conn, seen| {
        conn.send(ok(&format!("{}:{}", seen.nth, String::from_utf8_lossy(&seen.message.body))));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let mut client = sidecar.client();
    client.send(unsafe_with("a") + &unsafe_with("b") + &safe() + &unsafe_with("c"));
    for expected in ["1:a", "2:b", "3:", "4:c"] {
        assert_eq!(String::from_utf8_lossy(&client.message().unwrap().body), expected);
    }
    assert_eq!(log.count(), 4);
}

#[test]
fn answers_in_every_framing() {
    let forms = [
        "HTTP/1.1 200 OK\r\ncontent-LENGTH: 4\r\n\r\nfine",
        "HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n2;x=\"y\"\r\nfi\r\n2\r\nne\r\n0\r\nA: b\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nfine",
        "HTTP/1.0 200 OK\r\n\r\nfine",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
        "HTTP/1.1 200 OK\r\nX-Folded: a\r\n b\r\nContent-Length: 4\r\n\r\nfine",
    ];
    for form in forms {
        let (sidecar, _agent) = sidecar_with_answer(form.into());
        let got = sidecar.request(unsafe_with("x"));
        assert_eq!(
            (got.status(), got.body.as_slice(), got.complete),
            (200, &b"fine"[..], true),
            "{form}"
        );
    }
}

#[test]
fn an_answer_byte_by_byte_with_any_bytes() {
    let mut bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 256\r\n\r\n".to_vec();
    bytes.extend(0..=255u8);
    let (list, _, _) = servers(1, move |mut conn, _| {
        bytes.iter().for_each(|&b| conn.send([b]));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    assert_eq!(sidecar.request(safe()).body, (0..=255u8).collect::<Vec<_>>());
}

#[test]
fn long_bodies_pass_both_ways_with_flat_memory() {
    let body = "0123456789abcdef".repeat(4 << 10);
    let (list, _, _) = servers(1, |mut conn, seen| {
        let body = seen.message.body;
        conn.send(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()));
        conn.send(&body);
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    thread::scope(|s| {
        for _ in 0..60 {
            s.spawn(|| {
                let got = sidecar.request(unsafe_with(&body));
                assert_eq!((got.status(), got.complete), (200, true));
                assert!(got.body == body.as_bytes());
            });
        }
    });
    let memory = sidecar.memory_mb();
    assert!(memory < 32, "{memory} MB");
}

/// Guards against an answer that breaks off after it was partly passed on and looks complete to the
/// client.
#[test]
fn a_long_answer_that_breaks_off_is_visibly_incomplete() {
    let part = "x".repeat(200_000);
    for head in ["Content-Length: 900000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n61a80\r\n"] {
        let (sidecar, _agent) =
            sidecar_with_answer(format!("HTTP/1.1 200 OK\r\n{head}{part}").into());
        let got = sidecar.request(unsafe_with("x"));
        assert_eq!((got.status(), got.complete), (200, false), "{head}");
    }
}

/// The same for a client that receives neither a length nor chunks, for which a close means the
/// end.
#[test]
fn an_http_1_0_client_sees_a_break_as_a_reset() {
    use std::io::Read;
    let part = "x".repeat(200_000);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n";
    let (sidecar, _agent) = sidecar_with_answer(format!("{head}{part}").into());
    let mut client = sidecar.client();
    client.send(unsafe_with("x").replace("HTTP/1.1", "HTTP/1.0"));
    assert!(client.socket.read_to_end(&mut Vec::new()).is_err());
}

#[test]
fn a_long_answer_outlives_the_clients_time() {
    let (list, _, _) = servers(1, |mut conn, _| {
        conn.send("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
        for _ in 0..3 {
            conn.send("y".repeat(100_000));
            // The pace of a slow server; the client's time is over before the end.
            thread::sleep(Duration::from_millis(400));
        }
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::streaming(&list);
    let got = sidecar.request(safe());
    assert_eq!((got.status(), got.complete, got.body.len()), (200, true, 300_000));
}

#[test]
fn a_client_that_does_not_read_holds_the_server_back() {
    let (bytes_sender, bytes_receiver) = channel();
    let (list, _, _) = servers(1, move |mut conn, _| {
        use std::io::Write;
        conn.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        conn.socket.set_write_timeout(Some(Duration::from_millis(500))).unwrap();
        let mut sent = 0;
        while sent < 32 << 20 && conn.socket.write_all(&[b'z'; 1 << 16]).is_ok() {
            sent += 1 << 16;
        }
        let _ = bytes_sender.send(sent);
        None
    });
    let (sidecar, _agent) = Sidecar::streaming(&list);
    let mut client = sidecar.client();
    client.send(safe());
    assert_eq!(client.head().unwrap().status(), 200);
    assert!(receive(&bytes_receiver) < 32 << 20);
    assert!(sidecar.memory_mb() < 40);
}

#[test]
fn invalid_requests_get_a_4xx_and_reach_no_server() {
    let (sidecar, _agent, log) = sidecar_with_echo_server();
    let get = |path: &str, head: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\n{head}\r\n");
    let post = |path: &str, head: &str| {
        format!("POST {path} HTTP/1.1\r\nHost: a\r\n{head}Content-Length: 0\r\n\r\n")
    };
    let without = |name: &str| {
        let kept = COMMON_HEADERS.lines().filter(|l| !l.to_ascii_lowercase().starts_with(name));
        kept.map(|l| format!("{l}\r\n")).collect::<String>()
    };
    let invalid = [
        (404, get("/unknown/1", COMMON_HEADERS)),
        (404, get("/", COMMON_HEADERS)),
        (405, post("/look", COMMON_HEADERS)),
        (405, get("/order", COMMON_HEADERS)),
        (400, post("/keep", COMMON_HEADERS)),
        (400, post("/order", &format!("{COMMON_HEADERS}Idempotency-Key: 1\r\n"))),
        (400, get("/look", &without("x-time-left"))),
        (400, get("/look", &(without("x-time-left") + "X-Time-Left-Ms: soon\r\n"))),
        (400, get("/look", &(without("x-account") + "X-Account: nobody\r\n"))),
        (400, get("/look", &without("x-account"))),
        (400, get("/look", &without("x-correlation"))),
    ];
    let mut client = sidecar.client();
    for (status, request) in invalid {
        client.send(&request);
        assert_eq!(client.message().unwrap().status(), status, "{request}");
        if status == 400 {
            assert!(client.closed_by_peer(), "{request}");
            client = sidecar.client();
        }
    }
    client.send(safe());
    assert_eq!(client.message().unwrap().status(), 200, "the connection goes on");
    assert_eq!(log.count(), 1);

    let large_value = "v".repeat(200_000);
    for (status, request) in [
        (400, "what is this\r\n\r\n".to_owned()),
        (431, get("/look", &format!("{COMMON_HEADERS}X-Long: {large_value}\r\n"))),
    ] {
        let got = sidecar.request(request);
        assert_eq!(got.status(), status);
    }
    assert_eq!(sidecar.request(safe()).status(), 200);
}

#[test]
fn a_body_that_is_too_long_is_rejected() {
    let (sidecar, _agent, log) = sidecar_with_echo_server();
    let mut client = sidecar.client();
    client.send(format!(
        "POST /order HTTP/1.1\r\nHost: a\r\n{COMMON_HEADERS}Content-Length: 90000000\r\n\r\n"
    ));
    let piece = vec![b'x'; 1 << 20];
    thread::scope(|s| {
        let mut socket = client.socket.try_clone().unwrap();
        s.spawn(move || {
            use std::io::Write;
            for _ in 0..85 {
                if socket.write_all(&piece).is_err() {
                    break;
                }
            }
        });
        assert_eq!(client.message().unwrap().status(), 413);
        let _ = client.socket.shutdown(std::net::Shutdown::Both);
    });
    assert_eq!(log.count(), 0);
}
