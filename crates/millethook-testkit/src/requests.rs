//! Requests as clients write them.

use std::sync::atomic::{AtomicUsize, Ordering};

static IDS: AtomicUsize = AtomicUsize::new(0);

/// The header lines that all requests have, with a unique correlation id.
pub fn common_headers() -> String {
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    format!("X-Correlation-Id: {id:04x}\r\nX-Account: acme\r\nX-Time-Left-Ms: 900\r\n")
}

/// A request that is safe to repeat.
pub fn safe() -> String {
    format!("GET /look/1?q=2 HTTP/1.1\r\nHost: app.svc\r\n{}\r\n", common_headers())
}

/// A request that is safe to repeat, with this correlation id.
pub fn safe_with_id(id: &str) -> String {
    let other_headers = "X-Account: acme\r\nX-Time-Left-Ms: 900\r\n";
    format!(
        "GET /look/1?q=2 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: {id}\r\n{other_headers}\r\n"
    )
}

/// A request that is unsafe to repeat.
pub fn unsafe_with(body: &str) -> String {
    let (headers, length) = (common_headers(), body.len());
    format!(
        "POST /order HTTP/1.1\r\nHost: app.svc\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// A request with an idempotency key.
pub fn keyed() -> String {
    let headers = common_headers();
    format!(
        "POST /keep HTTP/1.1\r\nHost: app.svc\r\n{headers}Idempotency-Key: 5c0f\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}
