//! Clients of a sidecar that connect and send no request.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of one connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens `count` connections, one after another, and holds them until the future is dropped. A connection that fails,
/// or that the sidecar closes, is not reopened.
pub async fn hold_idle_connections(at: SocketAddr, count: usize) {
    let mut held = Vec::with_capacity(count);
    for _ in 0..count {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await {
            held.push(stream);
        }
    }
    std::future::pending::<()>().await;
    drop(held);
}
