//! Callers: an open loop at a rate over kept connections, to a daemon or to a server directly.

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

/// What a caller waits for an answer, and tells as its time.
const PATIENCE: Duration = Duration::from_secs(1);
/// Calls of one pool that may be out at once; arrivals beyond are counted as failed.
const MAX_OUT: usize = 2_000;

static IDS: AtomicU64 = AtomicU64::new(0);

/// What came of calls.
#[derive(Clone, Debug, Default)]
pub struct Calls {
    /// The time of each answer with 200, in microseconds from the first byte written.
    pub times_us: Vec<f64>,
    /// Calls with another end.
    pub failed: u64,
}

impl Calls {
    /// Adds others.
    pub fn extend(&mut self, other: Calls) {
        self.times_us.extend(other.times_us);
        self.failed += other.failed;
    }

    /// The time that a share of the answers stayed under; 0 if there is none.
    pub fn quantile(&mut self, share: f64) -> f64 {
        self.times_us.sort_by(f64::total_cmp);
        let last = self.times_us.len().saturating_sub(1);
        let nth = (share * last as f64).round() as usize;
        self.times_us.get(nth).copied().unwrap_or(0.0)
    }
}

/// Connections to one address.
pub struct Pool {
    to: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl Pool {
    /// None yet.
    pub fn new(to: SocketAddr) -> Arc<Pool> {
        Arc::new(Pool { to, idle: Mutex::default() })
    }

    /// One call on a kept connection, or a new one; its time, None unless it was served.
    pub async fn call(&self) -> Option<Duration> {
        let mut wire = self.connection().await.ok()?;
        let begun = Instant::now();
        let served = timeout(PATIENCE, exchange(&mut wire)).await.ok()?.ok()?;
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

    /// Calls at random moments, `rate` a second, for `span`; returns when all have ended.
    pub async fn run(
        self: &Arc<Pool>,
        rate: f64,
        span: Duration,
        random: &mut ChaCha8Rng,
    ) -> Calls {
        let begun = Instant::now();
        let mut due = begun;
        let mut out = JoinSet::new();
        let mut calls = Calls::default();
        loop {
            let gap: f64 = random.sample(Exp1);
            due += Duration::from_secs_f64(gap / rate);
            if due >= begun + span {
                break;
            }
            sleep_until(due).await;
            while let Some(done) = out.try_join_next() {
                calls.note(done.ok().flatten());
            }
            if out.len() >= MAX_OUT {
                calls.failed += 1;
                continue;
            }
            let pool = self.clone();
            out.spawn(async move { pool.call().await });
        }
        while let Some(done) = out.join_next().await {
            calls.note(done.ok().flatten());
        }
        calls
    }
}

impl Calls {
    fn note(&mut self, took: Option<Duration>) {
        match took {
            Some(took) => self.times_us.push(took.as_secs_f64() * 1e6),
            None => self.failed += 1,
        }
    }
}

/// Opens a connection.
///
/// # Errors
/// It does not come up in time.
pub async fn connect(to: SocketAddr) -> io::Result<HttpConnection> {
    let stream = timeout(PATIENCE, TcpStream::connect(to)).await;
    Ok(HttpConnection::new(stream.map_err(|_| io::ErrorKind::TimedOut)??))
}

/// One request and its answer; whether it was served.
///
/// # Errors
/// The connection broke.
pub async fn exchange(wire: &mut HttpConnection) -> io::Result<bool> {
    let id = IDS.fetch_add(1, Ordering::Relaxed);
    let request = format!(
        "GET /look/1 HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: s{id:x}\r\nX-Account: acme\r\n\
         X-Time-Left-Ms: {}\r\n\r\n",
        PATIENCE.as_millis()
    );
    wire.send(request.as_bytes()).await?;
    Ok(wire.answer().await?.is_some_and(|answer| answer.status == 200))
}
