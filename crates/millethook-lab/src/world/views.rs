//! Samples of the sidecars' views of the fleet, read from their metrics.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use super::ViewSample;
use super::http::HttpConnection;
use crate::ledger::Clock;
use crate::timeline::Timeline;

/// Minimum interval between samples of one sidecar.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
const MAX_REQUESTS_PER_SECOND: f64 = 240.0;

/// Samples the views of all sidecars over time.
pub struct Views {
    clock: Clock,
    enabled: bool,
    interval: Duration,
    samples: Arc<Mutex<Vec<ViewSample>>>,
}

impl Views {
    /// Creates a sampler without samples. It is disabled if the timeline has no views.
    pub fn new(clock: &Clock, timeline: &Timeline) -> Views {
        let interval =
            Duration::from_secs_f64(timeline.sidecars.count as f64 / MAX_REQUESTS_PER_SECOND)
                .max(MIN_INTERVAL);
        let enabled = timeline.sidecars.view_period_s > 0.0;
        Views { clock: clock.clone(), enabled, interval, samples: Arc::default() }
    }

    /// Starts a task for each sidecar that samples its admin address until aborted.
    pub fn watch(&self, admins: impl Iterator<Item = SocketAddr>) -> Vec<AbortHandle> {
        let one = |(sidecar, at)| {
            let (clock, samples, interval) =
                (self.clock.clone(), self.samples.clone(), self.interval);
            let task = tokio::spawn(async move {
                loop {
                    sleep(interval).await;
                    // A sidecar that is paused or not running does not answer.
                    let requested_at = clock.now();
                    let Ok(Some(text)) = timeout(interval, fetch_metrics(at)).await else {
                        continue;
                    };
                    if let Some(sample) = sample(&text, (requested_at, clock.now()), sidecar) {
                        samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
                    }
                }
            });
            task.abort_handle()
        };
        admins.enumerate().filter(|_| self.enabled).map(one).collect()
    }

    /// Takes the samples, sorted by time.
    pub fn take(&self) -> Vec<ViewSample> {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let mut samples = std::mem::take(&mut *samples);
        samples.sort_by_key(|s| (s.at, s.sidecar));
        samples
    }
}

/// Fetches the metrics from an admin address; `None` if it does not answer.
pub async fn fetch_metrics(at: SocketAddr) -> Option<String> {
    let mut connection = HttpConnection::new(TcpStream::connect(at).await.ok()?);
    connection.send(b"GET /v1/metrics HTTP/1.1\r\nHost: lab\r\n\r\n").await.ok()?;
    let answer = connection.answer().await.ok()??;
    String::from_utf8(answer.body).ok()
}

fn sample(text: &str, (requested_at, at): (u64, u64), sidecar: usize) -> Option<ViewSample> {
    let metric = |name: &str| -> Option<u64> {
        let line = text.lines().find_map(|l| l.strip_prefix("sidecar.fleet.")?.strip_prefix(name));
        line?.strip_prefix(':')?.split('|').next()?.parse().ok()
    };
    let present = (metric("alive")? + metric("suspect")?) as usize;
    let evidence = metric("evidence.hash").zip(metric("evidence.doubted"));
    let owned = text.lines().filter_map(|line| {
        let (job, rest) = line.strip_prefix("sidecar.lease.job.")?.split_once('.')?;
        let token = rest.split(':').next()?.to_owned();
        Some((u64::from_str_radix(job, 16).ok()?, token))
    });
    Some(ViewSample {
        requested_at,
        owned: owned.collect(),
        at,
        sidecar,
        present,
        dead: metric("dead")? as usize,
        hash: metric("hash")?,
        evidence: evidence.map(|(hash, doubted)| (hash, doubted as usize)),
    })
}
