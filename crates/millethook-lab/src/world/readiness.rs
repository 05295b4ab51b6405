//! Whether a daemon is ready, as clients may ask it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::http::HttpConnection;

/// Between two questions whether a daemon is ready.
const ASK: Duration = Duration::from_millis(20);

/// Asks a daemon until it is ready.
pub async fn wait_until_ready(at: SocketAddr) {
    while !is_ready(at).await {
        sleep(ASK).await;
    }
}

/// Whether a daemon answers that it is ready.
async fn is_ready(at: SocketAddr) -> bool {
    let asked = timeout(Duration::from_secs(1), async {
        let mut wire = HttpConnection::new(TcpStream::connect(at).await.ok()?);
        wire.send(b"GET /health/ready HTTP/1.1\r\nHost: app\r\n\r\n").await.ok()?;
        wire.answer().await.ok()?
    });
    matches!(asked.await, Ok(Some(answer)) if answer.status == 200)
}
