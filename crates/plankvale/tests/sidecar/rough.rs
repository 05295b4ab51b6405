//! Clients that send what can't be read, and servers whose answers come spoilt.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use millethook_testkit::*;

fn echo(n: usize) -> (Sidecar, Agent, RequestLog) {
    let (list, log, _) = servers(n, |mut conn, seen| {
        conn.send(ok(&String::from_utf8_lossy(&seen.message.body)));
        Some(conn)
    });
    let (sidecar, agent) = Sidecar::with_servers(&list);
    (sidecar, agent, log)
}

/// The first request that any server sees is answered with `first` and nothing more, others well.
fn first_spoilt(first: &'static str) -> (Sidecar, Agent, RequestLog) {
    let (list, log, _) = servers(3, move |mut conn, seen| {
        if seen.nth == 1 {
            conn.send(first);
            conn.closed_by_peer();
            return None;
        }
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, agent) = Sidecar::with_servers(&list);
    (sidecar, agent, log)
}

/// Danger: of a length and chunks one reader may take the one, the next the other, and see a
/// request where the first saw a body. hyper drops the length without a word.
#[test]
fn a_request_with_two_framings_goes_nowhere() {
    let (sidecar, _agent, log) = echo(1);
    let hidden = "GET /look HTTP/1.1\r\nHost: a\r\n\r\n";
    for fields in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "transfer-encoding: chunked\r\nX-Between: 1\r\ncOnTeNt-LeNgTh:4\r\n",
    ] {
        let mut client = sidecar.client();
        client.send(format!(
            "POST /order HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 5\r\nX-Account: acme\r\n\
             X-Time-Left-Ms: 900\r\n{fields}\r\n0\r\n\r\n{hidden}"
        ));
        assert_eq!(client.message().unwrap().status(), 400, "{fields}");
        assert!(client.closed_by_peer(), "{fields}");
    }
    assert_eq!(log.count(), 0);
}

/// Every such client is done with long before a patient one would give up.
#[test]
fn clients_that_never_finish_are_let_go() {
    let (sidecar, _agent, log) = echo(1);
    let begun = Instant::now();
    let mut silent = sidecar.client();
    let mut half = sidecar.client();
    half.send("GET /look HTTP/1.1\r\nHost: a\r\nX-");
    let mut short = sidecar.client();
    short.send(unsafe_with("four").replace("Length: 4", "Length: 400"));
    // A byte now and then is no progress.
    let mut slow = sidecar.client();
    slow.send("GET /look HTTP/1.1\r\n");
    let mut dribbling = slow.socket.try_clone().unwrap();
    std::thread::spawn(move || {
        use std::io::Write;
        while dribbling.write_all(b"a").is_ok() {
            std::thread::sleep(Duration::from_millis(50));
        }
    });
    for client in [&mut silent, &mut half, &mut short, &mut slow] {
        assert!(client.closed_by_peer());
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    assert_eq!(log.count(), 0);
}

/// Danger: a length that is too great, or a head without end, keeps its request until it is too
/// late for another attempt.
#[test]
fn an_answer_that_stands_still_is_a_failed_attempt() {
    for first in [
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsome",
        "HTTP/1.1 200 OK\r\nX-No-End: a",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\nsome",
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nsome",
    ] {
        let (sidecar, _agent, log) = first_spoilt(first);
        let got = sidecar.request(safe());
        assert_eq!((got.status(), got.body.as_slice(), log.count()), (200, &b"fine"[..], 2));
        let (sidecar, _agent, log) = first_spoilt(first);
        assert_eq!((sidecar.request(unsafe_with("x")).status(), log.count()), (502, 1), "{first}");
    }
}

/// It keeps coming, and is not kept. Nothing tells it from a long one until it is longer than any; then
/// its client sees that it is not whole.
#[test]
fn an_answer_without_end_costs_no_memory() {
    let (list, log, _) = servers(2, |mut conn, seen| {
        if seen.nth == 1 {
            use std::io::Write;
            conn.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            let piece = format!("10000\r\n{}\r\n", "z".repeat(1 << 16));
            while conn.socket.write_all(piece.as_bytes()).is_ok() {}
            return None;
        }
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    let answer = sidecar.request(safe());
    assert!(!answer.complete && answer.body.len() <= 32 << 20);
    assert_eq!((sidecar.request(safe()).body.as_slice(), log.count()), (&b"fine"[..], 2));
    assert!(sidecar.memory_mb() < 30, "{} MB", sidecar.memory_mb());
}

#[test]
fn a_late_answer_behind_an_interim_one_is_waited_for() {
    let (list, log, _) = servers(1, |mut conn, _| {
        conn.send("HTTP/1.1 100 Continue\r\n\r\n");
        // Longer than an answer that has begun may stand still.
        std::thread::sleep(Duration::from_millis(250));
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    assert_eq!((sidecar.request(unsafe_with("x")).body.as_slice(), log.count()), (&b"fine"[..], 1));
}

/// Servers name the fields of their reports as the settings do.
#[test]
fn load_reports_are_read() {
    let served = [Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0))];
    let list: Vec<Server> = ["q=0,rif=0", "rif=40,q=40"]
        .into_iter()
        .zip(served.clone())
        .map(|(report, count)| {
            Server::start(move |mut conn| {
                while conn.message().is_some() {
                    count.fetch_add(1, Ordering::SeqCst);
                    let load = format!("X-Backend-Load: {report}\r\n");
                    conn.send(answer("200 OK", &load, "fine"));
                }
            })
        })
        .collect();
    let (sidecar, _agent) = Sidecar::with_servers(&list);
    for _ in 0..60 {
        assert_eq!(sidecar.request(safe()).status(), 200);
    }
    let [idle, loaded] = served.map(|count| count.load(Ordering::SeqCst));
    assert!(idle > 4 * loaded, "{idle} where nothing waits, {loaded} where much does");
}
