//! One call to discovery over HTTP/1.1: a connection, a query, and the returned list.

use std::error::Error;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::list::List;

/// The longest answer, enough for some ten thousand servers.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Timeout of connecting to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a whole answer once it has begun. An answer that delivers a byte now and then would otherwise block
/// every later list.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// TCP keepalive probes are sent after this idle time, and at this interval. They cost discovery nothing: its
/// operating system answers them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The connection is lost after this many unanswered probes in a row. At 5% packet loss in each direction, one series
/// in a thousand fails although the peer is alive; with two probes it would be one in a hundred.
const KEEPALIVE_PROBES: u32 = 3;
/// The connection is lost when nothing sent on it, neither probes nor a call, was acknowledged for this long.
///
/// Without it, a call on a connection that ended without FIN or reset (its host vanished, or a middlebox dropped the
/// flow) looks like one that waits in a long queue. It also ends calls that were written to a connection that was
/// already lost. The cost: a network interruption longer than this makes each waiting call lose its place in the
/// queue.
pub(super) const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a call returned no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallError {
    /// The connection could not be established.
    Unreachable,
    /// Discovery refused the call (429 or 503): its queue is full, or it is down.
    Refused,
    /// The peer no longer acknowledges anything ([`ACK_TIMEOUT`]).
    Lost,
    /// The answer timed out, the connection ended, or the answer is invalid.
    Broken,
}

/// What a call requests.
#[derive(Clone, Copy, Debug)]
pub(super) enum Query {
    /// The complete list.
    Whole,
    /// Changes since the version `than`; discovery may hold the call for `hold` until there are any.
    Newer { than: u64, hold: Duration },
}

impl Query {
    fn path(self) -> String {
        match self {
            Query::Whole => "/registry/instances".to_owned(),
            Query::Newer { than, hold } => {
                format!("/registry/instances?from={than}&hold_ms={}", hold.as_millis())
            }
        }
    }
}

/// Timeouts of an answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerTimeouts {
    /// Until its head has arrived.
    pub head: Duration,
    /// Between two pieces of its body.
    pub piece: Duration,
}

/// A connection to discovery, closed when it is dropped.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    connection_task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connection_task.abort();
    }
}

impl Connection {
    async fn open(address: SocketAddr) -> Result<Connection, CallError> {
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(socket)) = connecting else { return Err(CallError::Unreachable) };
        configure(&socket).map_err(|_| CallError::Unreachable)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (sender, connection) = handshake.map_err(|_| CallError::Unreachable)?;
        let task = tokio::task::spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Connection { sender, connection_task: task.abort_handle() })
    }
}

/// Sets the socket options.
///
/// # Errors
/// The system rejects an option.
fn configure(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    // Keepalive probes cover a connection on which all data is acknowledged; this timeout covers unacknowledged data.
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

/// Whether the system closed the connection because its peer acknowledges nothing.
fn is_lost(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<io::Error>());
    let lost = [ErrorKind::TimedOut, ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable];
    cause.is_some_and(|cause| lost.contains(&cause.kind()))
}

/// Makes one call, on the connection of an earlier call if that is still open. Returns the list and the connection,
/// which is ready for the next call. Dropping the future cancels the call.
///
/// # Errors
/// The answer was incomplete, late or invalid.
pub(super) async fn call(
    connection: Option<Connection>,
    address: SocketAddr,
    query: Query,
    timeouts: AnswerTimeouts,
) -> Result<(Connection, List), CallError> {
    let mut connection = match connection.filter(|open| !open.sender.is_closed()) {
        Some(connection) => connection,
        None => Connection::open(address).await?,
    };
    let request = Request::get(query.path()).header(HOST, address.to_string());
    let request = request.body(Empty::new()).map_err(|_| CallError::Broken)?;
    let sender = &mut connection.sender;
    let exchange = timeout(timeouts.head, async {
        sender.ready().await?;
        sender.send_request(request).await
    });
    let answer = match exchange.await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if is_lost(&error) => return Err(CallError::Lost),
        Ok(Err(_)) | Err(_) => return Err(CallError::Broken),
    };
    match answer.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            return Err(CallError::Refused);
        }
        _ => return Err(CallError::Broken),
    }
    let body = timeout(ANSWER_TIMEOUT, read_body(answer, timeouts.piece)).await.ok().flatten();
    let list = body.and_then(|body| serde_json::from_slice(&body).ok());
    Ok((connection, list.ok_or(CallError::Broken)?))
}

/// Reads the body of an answer. Each piece has a timeout, because an answer may stop in the middle while its
/// connection stays open.
async fn read_body(answer: Response<Incoming>, piece_timeout: Duration) -> Option<Vec<u8>> {
    let mut limited_body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
    let mut body = Vec::new();
    while let Some(frame) = timeout(piece_timeout, limited_body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            body.extend_from_slice(&data);
        }
    }
    Some(body)
}
