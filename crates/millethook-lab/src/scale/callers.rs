//! Open-loop load generators that send requests over a connection pool, to a daemon or directly to a server.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::world::http::{HttpConnection, IdleState};

/// Timeout of a request, which is also sent as its time left.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit of concurrent requests of one pool. Requests beyond it are counted as failed.
const MAX_CONCURRENT_REQUESTS: usize = 2_000;

static IDS: AtomicU64 = AtomicU64::new(0);

/// Outcomes of requests.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcomes {
    /// The latency of each answer with status 200, in microseconds from the first byte written.
    pub times_us: Vec<f64>,
    /// Requests with any other outcome.
    pub failed: u64,
}

impl RequestOutcomes {
    /// Adds other outcomes to these.
    pub fn extend(&mut self, other: RequestOutcomes) {
        self.times_us.extend(other.times_us);
        self.failed += other.failed;
    }

    /// The quantile `share` of the latencies; 0 if there are none.
    pub fn quantile(&mut self, share: f64) -> f64 {
        self.times_us.sort_by(f64::total_cmp);
        let last = self.times_us.len().saturating_sub(1);
        let nth = (share * last as f64).round() as usize;
        self.times_us.get(nth).copied().unwrap_or(0.0)
    }
}

/// A pool of connections to one address.
pub struct Pool {
    to: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(to: SocketAddr) -> Arc<Pool> {
        Arc::new(Pool { to, idle: Mutex::default() })
    }

    /// Sends one request on a pooled or new connection. Returns its latency, or `None` if it was not served.
    pub async fn send_request(&self) -> Option<Duration> {
        let mut wire = self.connection().await.ok()?;
        let begun = Instant::now();
        let served = timeout(REQUEST_TIMEOUT, exchange(&mut wire)).await.ok()?.ok()?;
        let took = begun.elapsed();
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(wire);
        served.then_some(took)
    }

    async fn connection(&self) -> io::Result<HttpConnection> {
        loop {
            let kept = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let Some(mut wire) = kept else { return connect(self.to).await };
            if wire.idle_state() == IdleState::Clean {
                return Ok(wire);
            }
        }
    }

    /// Sends requests as a Poisson process of `rate` per second for `span`. Returns when all have ended.
    pub async fn run(
        self: &Arc<Pool>,
        rate: f64,
        span: Duration,
        random: &mut ChaCha8Rng,
    ) -> RequestOutcomes {
        let begun = Instant::now();
        let mut due = begun;
        let mut in_flight = JoinSet::new();
        let mut outcomes = RequestOutcomes::default();
        loop {
            let gap: f64 = random.sample(Exp1);
            due += Duration::from_secs_f64(gap / rate);
            if due >= begun + span {
                break;
            }
            sleep_until(due).await;
            while let Some(done) = in_flight.try_join_next() {
                outcomes.record_outcome(done.ok().flatten());
            }
            if in_flight.len() >= MAX_CONCURRENT_REQUESTS {
                outcomes.failed += 1;
                continue;
            }
            let pool = self.clone();
            in_flight.spawn(async move { pool.send_request().await });
        }
        while let Some(done) = in_flight.join_next().await {
            outcomes.record_outcome(done.ok().flatten());
        }
        outcomes
    }
}

impl RequestOutcomes {
    fn record_outcome(&mut self, took: Option<Duration>) {
        match took {
            Some(took) => self.times_us.push(took.as_secs_f64() * 1e6),
            None => self.failed += 1,
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// The connection fails or is not established within the timeout.
pub async fn connect(to: SocketAddr) -> io::Result<HttpConnection> {
    let stream = timeout(REQUEST_TIMEOUT, TcpStream::connect(to)).await;
    Ok(HttpConnection::new(stream.map_err(|_| io::ErrorKind::TimedOut)??))
}

/// Sends one request and reads its answer. Returns whether it was served.
///
/// # Errors
/// The connection broke.
pub async fn exchange(wire: &mut HttpConnection) -> io::Result<bool> {
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: s{id:x}\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {}\r\n\r\n",
        REQUEST_TIMEOUT.as_millis()
    );
    wire.send(request.as_bytes()).await?;
    Ok(wire.answer().await?.is_some_and(|answer| answer.status == 200))
}
