//! The operators' address: HTTP/1.1 with one call to a connection, and an answer soon whatever the load.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/readyz` | 200 once the process serves, 503 before and while it drains |
//! | `GET /v1/metrics` | 200 and the figures, as StatsD lines |
//!
//! Another method there is answered 405, another path 404.
#![forbid(unsafe_code)]

pub mod statsd;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// How long a caller may take for its call and for reading the answer. Danger: scripts that connect and
/// say nothing would hold their places for as long as they like.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Callers at once. One more makes the one that is here longest go: whoever has something to ask does
/// so at once, and has its answer by then.
const CALLERS: usize = 16;
/// The longest head of a call.
const LONGEST_HEAD: usize = 8 << 10;
/// After an accept that failed for want of descriptors.
const PAUSE: Duration = Duration::from_millis(20);

/// What operators may ask of a process.
pub trait ProcessStatus {
    /// Whether it serves.
    fn is_ready(&self) -> bool;
    /// Its figures, as StatsD lines.
    fn metrics(&self) -> String;
}

/// Answers operators for as long as it is polled. Must run within a `LocalSet`.
pub async fn serve(listener: TcpListener, operator: Rc<dyn ProcessStatus>) {
    let callers: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                tracing::warn!(event = "accept_failed", "admin: accept: {e}");
                sleep(PAUSE).await;
                continue;
            }
        };
        let mut callers = callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= CALLERS
            && let Some(longest) = callers.pop_front()
        {
            longest.abort();
        }
        let call = spawn_local(call(socket, operator.clone()));
        callers.push_back(call.abort_handle());
    }
}

async fn call(socket: TcpStream, operator: Rc<dyn ProcessStatus>) {
    let service = service_fn(|request| {
        let answer = answer(&request, &*operator);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .header_read_timeout(None)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(TokioIo::new(socket), service);
    // A caller that breaks off or says what cannot be read has had its answer, or is owed none.
    let _ = timeout(PATIENCE, connection).await;
}

fn answer<B>(request: &Request<B>, operator: &dyn ProcessStatus) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match request.uri().path() {
        "/v1/readyz" | "/v1/metrics" if request.method() != Method::GET => {
            *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
        }
        "/v1/readyz" if operator.is_ready() => *response.body_mut() = "ready\n".into(),
        "/v1/readyz" => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        "/v1/metrics" => {
            let text = HeaderValue::from_static("text/plain; charset=utf-8");
            response.headers_mut().insert(CONTENT_TYPE, text);
            *response.body_mut() = operator.metrics().into();
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
