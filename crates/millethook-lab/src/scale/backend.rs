//! Stand-in servers that answer any request with 200, immediately or after a delay, and count connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::world::http::{HttpConnection, answer};

/// Counters of one server.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections accepted so far.
    pub accepted: AtomicU64,
    /// Connections that are open now.
    pub open: AtomicU64,
    /// Requests received so far.
    pub requests: AtomicU64,
}

/// A stand-in server. When it is dropped it refuses new connections and closes the open ones.
pub struct Backend {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its counters.
    pub counters: Arc<Counters>,
    task: AbortHandle,
}

impl Backend {
    /// Starts a server that takes `delay` per request.
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
    // Open connections are closed when this task ends.
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
            // A connection that the client resets is treated like one that it closes.
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
