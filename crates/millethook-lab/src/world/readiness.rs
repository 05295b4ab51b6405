//! Readiness checks of daemons over their client address.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::http::HttpConnection;

/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a daemon until it is ready.
pub async fn wait_until_ready(at: SocketAddr) {
    while !is_ready(at).await {
        sleep(POLL_INTERVAL).await;
    }
}

/// Whether a daemon answers the readiness check with status 200.
async fn is_ready(at: SocketAddr) -> bool {
    let response = timeout(Duration::from_secs(1), async {
        let mut connection = HttpConnection::new(TcpStream::connect(at).await.ok()?);
        connection.send(b"GET /health/ready HTTP/1.1\r\nHost: app\r\n\r\n").await.ok()?;
        connection.answer().await.ok()?
    });
    matches!(response.await, Ok(Some(answer)) if answer.status == 200)
}
