//! Stand-in servers that answer any request with 200, at once or after a set time, and count connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::world::http::{HttpConnection, answer};

/// What one server got.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections so far: handshakes.
    pub accepted: AtomicU64,
    /// Connections that are open.
    pub open: AtomicU64,
    /// Requests so far.
    pub requests: AtomicU64,
}

/// One server; it dies with this value: it refuses connections, and those that are open end.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it got.
    pub counters: Arc<Counters>,
    task: AbortHandle,
}

impl Backend {
    /// One that takes `delay` for each request.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(at: SocketAddr, delay: Duration) -> io::Result<Backend> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let counters: Arc<Counters> = Arc::default();
        let task = tokio::spawn(accept(listener, counters.clone(), delay)).abort_handle();
        Ok(Backend { address, counters, task })
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, counters: Arc<Counters>, delay: Duration) {
    // What is open ends with this task.
    let mut open = JoinSet::new();
    loop {
        while open.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        counters.accepted.fetch_add(1, Ordering::Relaxed);
        let counters = counters.clone();
        open.spawn(async move {
            counters.open.fetch_add(1, Ordering::Relaxed);
            // A client that breaks its connection off is an end like any other.
            let _ = serve(HttpConnection::new(stream), &counters, delay).await;
            counters.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(mut wire: HttpConnection, counters: &Counters, delay: Duration) -> io::Result<()> {
    let reply = answer("200 OK", "X-Backend-Load: inflight=1,queue=0\r\n", "ok");
    while wire.request().await?.is_some() {
        counters.requests.fetch_add(1, Ordering::Relaxed);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        wire.send(reply.as_bytes()).await?;
    }
    Ok(())
}
