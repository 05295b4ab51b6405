//! Measures the traffic between sidecars and its cost when one server of a service under load dies.

use std::time::Duration;

use tokio::time::sleep;

use super::ScaleError;
use super::bench::{Bench, Measurement, Point, listed, measurement};
use super::control::SETTLING_PERIODS;
use super::daemon::figures;
use super::fleet::{Fleet, FleetUsage, SharedState, product};
use super::row::Unit;
use super::server::send_requests_through;

/// Servers of the mean service.
const SERVERS: usize = 12;
/// Requests per second of each sidecar.
const RATE: f64 = 5.0;
const WORK: Duration = Duration::from_millis(5);
/// Length of the warm-up, in which connections are opened.
const WARM_UP: Duration = Duration::from_secs(2);
/// The setting that creates jobs for servers that the fleet suspects.
const DEAD_SERVERS: &str = "dead_servers = true\n";

impl Bench {
    /// Measures a fleet under load with evidence and leases, before and after one of 12 servers dies.
    ///
    /// # Errors
    /// A part does not start, or views never agree.
    pub async fn control_dead_server(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[8, 60, 120, 300]) {
            for seed in self.options.seeds.clone() {
                self.dead_server(Point { size, seed }).await?;
            }
        }
        Ok(())
    }

    async fn dead_server(&mut self, at: Point) -> Result<(), ScaleError> {
        let mut backends = self.backends(SERVERS, WORK).await?;
        let registry = self.registry(listed(SERVERS, &backends)).await?;
        let product = product(SharedState::Leases, self.options.period) + DEAD_SERVERS;
        let fleet = self.fleet(at.size, &registry, at.seed, &product).await?;
        self.wait_for_agreement(&fleet).await?;
        sleep(SETTLING_PERIODS * self.options.period).await;
        let span = WARM_UP + 2 * self.options.span + WARM_UP;
        let callers = send_requests_through(fleet.alive(), RATE, at.seed, span);
        sleep(WARM_UP).await;
        self.rates(at, &fleet, "under_load").await?;
        drop(backends.swap_remove(at.seed as usize % SERVERS));
        self.rates(at, &fleet, "server_dead").await?;
        let (mut suspecting, mut owned) = (0, 0);
        for daemon in fleet.alive() {
            let reported = figures(daemon.admin, ["fleet.evidence.doubted", "lease.owned"]).await;
            let [suspected, owns] = reported.unwrap_or_default();
            suspecting += u64::from(suspected > 0);
            owned += owns;
        }
        let load = self.watch(fleet.alive()).mean();
        self.record(row("server_dead.doubted_by", Unit::Count), at, suspecting as f64, load)?;
        self.record(row("server_dead.jobs_owned", Unit::Count), at, owned as f64, load)?;
        // The outcomes of the requests are not measured here.
        drop(callers);
        fleet.stop().await
    }

    /// Records bytes and processor time per sidecar and second. The processor time includes that of its requests.
    async fn rates(&mut self, at: Point, fleet: &Fleet, name: &str) -> Result<(), ScaleError> {
        let (load, before) = (self.watch(fleet.alive()), FleetUsage::of(fleet)?);
        sleep(self.options.span).await;
        let rates = FleetUsage::of(fleet)?.rates_since(before);
        let (each, load) = (at.size as f64, load.mean());
        let bytes = row(&format!("{name}.bytes"), Unit::BytesPerSecond);
        self.record(bytes, at, rates.bytes / each, load)?;
        let datagrams = row(&format!("{name}.datagrams"), Unit::Count);
        self.record(datagrams, at, rates.datagrams / each, load)?;
        let processor = row(&format!("{name}.processor"), Unit::MicrosecondsPerSecond);
        self.record(processor, at, rates.used_us / each, load)
    }
}

fn row(name: &str, unit: Unit) -> Measurement {
    measurement(format!("sidecar.control.{name}"), unit, "members")
}
