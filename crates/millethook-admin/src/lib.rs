//! The admin address for operators: an HTTP/1.1 server with one request per connection that answers quickly under any
//! load.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /v1/readyz` | 200 once the process serves, 503 before and while it drains |
//! | `GET /v1/metrics` | 200 and the metrics, as StatsD lines |
//!
//! Other methods on these paths get 405, other paths 404.
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

/// The timeout for a request and for reading its response. Without it, clients that connect and send nothing would hold
/// their connections forever.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum number of open connections. A further one closes the oldest: a client that sends its request at once has
/// its response by then.
const MAX_CONNECTIONS: usize = 16;
/// The maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// The delay after an accept that failed because the process is out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The status of a process that operators can request.
pub trait ProcessStatus {
    /// Whether the process serves requests.
    fn is_ready(&self) -> bool;
    /// The metrics of the process, as StatsD lines.
    fn metrics(&self) -> String;
}

/// Serves requests of operators for as long as it is polled. Must run within a `LocalSet`.
pub async fn serve(listener: TcpListener, status: Rc<dyn ProcessStatus>) {
    let connections: Rc<RefCell<VecDeque<AbortHandle>>> = Rc::default();
    loop {
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(e) => {
                tracing::warn!(event = "accept_failed", "admin: accept: {e}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let mut connections = connections.borrow_mut();
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS
            && let Some(oldest) = connections.pop_front()
        {
            oldest.abort();
        }
        let task = spawn_local(serve_connection(socket, status.clone()));
        connections.push_back(task.abort_handle());
    }
}

async fn serve_connection(socket: TcpStream, status: Rc<dyn ProcessStatus>) {
    let service = service_fn(|request| {
        let response = respond(&request, &*status);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    // Errors are ignored: a client that disconnects or sends an invalid request has its response or gets none.
    let _ = timeout(REQUEST_TIMEOUT, connection).await;
}

fn respond<B>(request: &Request<B>, status: &dyn ProcessStatus) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    match request.uri().path() {
        "/v1/readyz" | "/v1/metrics" if request.method() != Method::GET => {
            *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
            response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
        }
        "/v1/readyz" if status.is_ready() => *response.body_mut() = "ready\n".into(),
        "/v1/readyz" => *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
        "/v1/metrics" => {
            let text = HeaderValue::from_static("text/plain; charset=utf-8");
            response.headers_mut().insert(CONTENT_TYPE, text);
            *response.body_mut() = status.metrics().into();
        }
        _ => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}
