//! Clients of a sidecar that connect and ask for nothing.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long one connection may take to come up.
const CONNECT: Duration = Duration::from_millis(200);

/// Opens so many connections, one after another, and holds them until it is dropped. One that does not come up, or
/// that the sidecar closes, is not opened again.
pub async fn idle_clients(at: SocketAddr, count: usize) {
    let mut held = Vec::with_capacity(count);
    for _ in 0..count {
        if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await {
            held.push(stream);
        }
    }
    std::future::pending::<()>().await;
    drop(held);
}
