//! What sidecars say at their operators' addresses of the fleet.

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

/// Each sidecar is asked so often, and in large fleets less: so many questions a second in all.
const EVERY: Duration = Duration::from_millis(250);
const QUESTIONS: f64 = 240.0;

/// The views over time.
pub struct Views {
    clock: Clock,
    on: bool,
    every: Duration,
    samples: Arc<Mutex<Vec<ViewSample>>>,
}

impl Views {
    /// Nothing yet. Where the timeline has no views, nobody is asked.
    pub fn new(clock: &Clock, timeline: &Timeline) -> Views {
        let every = Duration::from_secs_f64(timeline.sidecars.count as f64 / QUESTIONS).max(EVERY);
        let on = timeline.sidecars.view_period_s > 0.0;
        Views { clock: clock.clone(), on, every, samples: Arc::default() }
    }

    /// Asks the operators' address of each sidecar until aborted.
    pub fn watch(&self, admins: impl Iterator<Item = SocketAddr>) -> Vec<AbortHandle> {
        let one = |(sidecar, at)| {
            let (clock, samples, every) = (self.clock.clone(), self.samples.clone(), self.every);
            let task = tokio::spawn(async move {
                loop {
                    sleep(every).await;
                    // One that is paused or not there says nothing.
                    let asked = clock.now();
                    let Ok(Some(text)) = timeout(every, fetch_metrics(at)).await else { continue };
                    if let Some(sample) = sample(&text, (asked, clock.now()), sidecar) {
                        samples.lock().unwrap_or_else(PoisonError::into_inner).push(sample);
                    }
                }
            });
            task.abort_handle()
        };
        admins.enumerate().filter(|_| self.on).map(one).collect()
    }

    /// What was seen, by time.
    pub fn take(&self) -> Vec<ViewSample> {
        let mut samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let mut samples = std::mem::take(&mut *samples);
        samples.sort_by_key(|s| (s.at, s.sidecar));
        samples
    }
}

/// The figures at an operators' address; None: it does not answer.
pub async fn fetch_metrics(at: SocketAddr) -> Option<String> {
    let mut wire = HttpConnection::new(TcpStream::connect(at).await.ok()?);
    wire.send(b"GET /v1/metrics HTTP/1.1\r\nHost: lab\r\n\r\n").await.ok()?;
    let answer = wire.answer().await.ok()??;
    String::from_utf8(answer.body).ok()
}

fn sample(text: &str, (asked, at): (u64, u64), sidecar: usize) -> Option<ViewSample> {
    let figure = |name: &str| -> Option<u64> {
        let line = text.lines().find_map(|l| l.strip_prefix("sidecar.fleet.")?.strip_prefix(name));
        line?.strip_prefix(':')?.split('|').next()?.parse().ok()
    };
    let present = (figure("alive")? + figure("suspect")?) as usize;
    let evidence = figure("evidence.hash").zip(figure("evidence.doubted"));
    let owned = text.lines().filter_map(|line| {
        let (job, rest) = line.strip_prefix("sidecar.lease.job.")?.split_once('.')?;
        let token = rest.split(':').next()?.to_owned();
        Some((u64::from_str_radix(job, 16).ok()?, token))
    });
    Some(ViewSample {
        asked,
        owned: owned.collect(),
        at,
        sidecar,
        present,
        dead: figure("dead")? as usize,
        hash: figure("hash")?,
        evidence: evidence.map(|(hash, doubted)| (hash, doubted as usize)),
    })
}
