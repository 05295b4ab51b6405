//! Load on a server from many sidecars: open connections, handshakes, and the burst of handshakes when a zone returns.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use super::ScaleError;
use super::backend::Backend;
use super::bench::{Bench, Measurement, Point, ZONES, listed, measurement};
use super::callers::{Pool, RequestOutcomes};
use super::daemon::{Daemon, stop_all};
use super::registry::{ListedServer, Registry};
use super::row::Unit;
use crate::plan::stream;

/// Servers of the mean service, two in each zone.
const SERVERS: usize = 12;
/// Requests per second of each sidecar.
const RATE: f64 = 10.0;
/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(10);
/// How long a zone's servers are removed from the list.
const ZONE_ABSENCE: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);
const SIZE_OF: &str = "sidecars";

impl Bench {
    /// Measures a service of 12 servers in 6 zones by the number of sidecars that use it. One zone's servers leave
    /// the list and return.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn servers(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[8, 30, 60, 120, 300]) {
            for seed in self.options.seeds.clone() {
                self.servers_of(Point { size, seed }).await?;
            }
        }
        Ok(())
    }

    async fn servers_of(&mut self, at: Point) -> Result<(), ScaleError> {
        let backends = self.backends(SERVERS, WORK).await?;
        let all = listed(SERVERS, &backends);
        let registry = self.registry(all.clone()).await?;
        let daemons = self.independent_daemons(at.size, &registry, at.seed, &|_| {}).await?;
        let load = self.watch(&daemons);
        // Warm-up, what is counted, and the zone's way out and back.
        let mut callers = send_requests_through(
            &daemons,
            RATE,
            at.seed,
            SECOND + self.options.span + ZONE_ABSENCE + 3 * SECOND,
        );
        sleep(SECOND).await;
        let before = accepted(&backends);
        sleep(self.options.span).await;
        let steady: u64 =
            accepted(&backends).iter().zip(&before).map(|(now, then)| now - then).sum();
        let open: Vec<u64> =
            backends.iter().map(|b| b.counters.open.load(Ordering::Relaxed)).collect();
        let zone = at.seed as usize % ZONES;
        let leaving: Vec<_> = all.iter().filter(|s| s.zone == zone).copied().collect();
        let first = zone_returns(&registry, &leaving, &backends).await;
        let mut outcomes = RequestOutcomes::default();
        while let Some(done) = callers.join_next().await {
            outcomes.extend(done.unwrap_or_default());
        }
        let load = load.mean();
        let most = open.iter().max().copied().unwrap_or(0) as f64;
        let mean = open.iter().sum::<u64>() as f64 / SERVERS as f64;
        let handshakes = steady as f64 / SERVERS as f64 / self.options.span.as_secs_f64();
        self.record(count("server.connections.mean"), at, mean, load)?;
        self.record(count("server.connections.max"), at, most, load)?;
        self.record(count("server.handshakes_per_second.mean"), at, handshakes, load)?;
        let name = "server.zone_returns.handshakes_first_second";
        self.record(count(name), at, first as f64, load)?;
        self.record(count("server.calls_failed"), at, outcomes.failed as f64, load)?;
        let served = outcomes.times_us.len() as f64;
        self.record(count("server.calls_served"), at, served, load)?;
        stop_all(daemons).await
    }
}

fn count(name: &'static str) -> Measurement {
    measurement(name, Unit::Count, SIZE_OF)
}

/// Starts sending `rate` requests per second through each daemon for `span`.
pub fn send_requests_through<'a>(
    daemons: impl IntoIterator<Item = &'a Daemon>,
    rate: f64,
    seed: u64,
    span: Duration,
) -> JoinSet<RequestOutcomes> {
    let mut callers = JoinSet::new();
    for (number, daemon) in daemons.into_iter().enumerate() {
        let pool = Pool::new(daemon.listen);
        let mut random = stream(seed, "callers", number as u64);
        callers.spawn(async move { pool.run(rate, span, &mut random).await });
    }
    callers
}

/// Removes these servers from the list for a while. Returns the most handshakes that one of them gets in the first
/// second after its return.
async fn zone_returns(registry: &Registry, leaving: &[ListedServer], backends: &[Backend]) -> u64 {
    registry.leave(leaving);
    sleep(ZONE_ABSENCE).await;
    let before = accepted(backends);
    registry.join(leaving);
    sleep(SECOND).await;
    let after = accepted(backends);
    leaving.iter().map(|s| after[s.number] - before[s.number]).max().unwrap_or(0)
}

fn accepted(backends: &[Backend]) -> Vec<u64> {
    backends.iter().map(|b| b.counters.accepted.load(Ordering::Relaxed)).collect()
}
