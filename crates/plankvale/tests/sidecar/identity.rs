//! Identity is single: what a request is, no two readers may tell differently.

use millethook_testkit::*;

const PLAIN: &str = "Host: app.svc\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\n";

fn echo() -> (Sidecar, Agent, Log) {
    let (list, log, _) = servers(1, |mut conn, _| {
        conn.send(ok("fine"));
        Some(conn)
    });
    let (sidecar, agent) = Sidecar::of(&list);
    (sidecar, agent, log)
}

/// Danger: of two headers one reader takes the first and the next the last. A server that reads the
/// other key drops no repeat, and a quota is escaped by a second account.
#[test]
fn a_doubled_header_is_turned_away() {
    let (sidecar, _agent, log) = echo();
    let cases = [
        ("Idempotency-Key: a\r\nIdempotency-Key: b\r\nX-Correlation-Id: d1\r\n", PLAIN),
        ("Idempotency-Key: a\r\nidempotency-key: a\r\nX-Correlation-Id: d2\r\n", PLAIN),
        ("Idempotency-Key: a\r\nX-Correlation-Id: d3\r\nX-Correlation-Id: d4\r\n", PLAIN),
        ("Idempotency-Key: a\r\nX-Correlation-Id: d5\r\nX-Account: other\r\n", PLAIN),
        ("Idempotency-Key: a\r\nX-Correlation-Id: d6\r\nHost: elsewhere\r\n", PLAIN),
        ("Idempotency-Key: a\r\nX-Correlation-Id: d7\r\nX-Time-Left-Ms: 5\r\n", PLAIN),
    ];
    for (fields, rest) in cases {
        let request = format!("POST /keep HTTP/1.1\r\n{rest}{fields}Content-Length: 0\r\n\r\n");
        assert_eq!(sidecar.ask(request).status(), 400, "{fields}");
    }
    assert_eq!(log.count(), 0);
    let one = "Idempotency-Key: a\r\nX-Correlation-Id: d8\r\n";
    let request = format!("POST /keep HTTP/1.1\r\n{PLAIN}{one}Content-Length: 0\r\n\r\n");
    assert_eq!((sidecar.ask(request).status(), log.count()), (200, 1));
}

/// Danger: a path that another reader resolves first is of another class there: a safe class's
/// rules would be laid upon unsafe work.
#[test]
fn a_path_with_two_readings_is_turned_away() {
    let (sidecar, _agent, log) = echo();
    for (n, path) in [
        "/look/../order/1",
        "/look/%2e%2e/order/1",
        "/look/..%2Forder/1",
        "/look/./1",
        "//order/1",
        "/look/..",
    ]
    .iter()
    .enumerate()
    {
        let request = format!("GET {path} HTTP/1.1\r\n{PLAIN}X-Correlation-Id: e{n}\r\n\r\n");
        assert_eq!(sidecar.ask(request).status(), 400, "{path}");
    }
    assert_eq!(log.count(), 0);
    let request =
        format!("GET /look/a..b/.x?q=/../ HTTP/1.1\r\n{PLAIN}X-Correlation-Id: e\r\n\r\n");
    assert_eq!((sidecar.ask(request).status(), log.count()), (200, 1));
}
