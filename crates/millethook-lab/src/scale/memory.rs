//! Measures the memory of a sidecar by the number of objects that it holds.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::ScaleError;
use super::bench::{Bench, Point, listed, measurement};
use super::callers::{Pool, connect, exchange};
use super::daemon::{Daemon, DaemonSpec, Peers, stop_all};
use super::fleet::{SharedState, product};
use super::process::memory;
use super::row::Unit;

const RESIDENT: &str = "sidecar.memory.resident";
const PEAK: &str = "sidecar.memory.peak";
const PROPORTIONAL: &str = "sidecar.memory.proportional";
/// The number of stand-in servers, whose addresses the servers of a long list share.
const BACKENDS: usize = 16;
/// Listed servers of the mean service, where something else is varied.
const MEAN_SERVICE: usize = 12;
/// Requests sent before memory is read, so that it includes what the first requests allocate.
const WARM_CALLS: usize = 200;
/// Delay between the last change and the reading of memory.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
async fn warm_up(daemon: &Daemon) {
    let pool = Pool::new(daemon.listen);
    for _ in 0..WARM_CALLS {
        pool.send_request().await;
    }
}

impl Bench {
    fn record_memory(
        &mut self,
        size_of: &'static str,
        at: Point,
        daemon: &Daemon,
    ) -> Result<(), ScaleError> {
        let load = self.watch([daemon]).mean();
        let Some(used) = memory(daemon.pid) else { return Ok(()) };
        let row = |name| measurement(name, Unit::Bytes, size_of);
        self.record(row(RESIDENT), at, used.resident as f64, load)?;
        self.record(row(PEAK), at, used.peak as f64, load)
    }

    /// Measures memory by the number of listed servers.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_listed_servers(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[12, 100, 1_000, 4_000, 16_000]) {
            for seed in self.options.seeds.clone() {
                self.memory_of("listed_servers", Point { size, seed }, size, &|_| {}).await?;
            }
        }
        Ok(())
    }

    /// Measures memory by the number of classes in the settings.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_classes(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[1, 10, 50, 200]) {
            for seed in self.options.seeds.clone() {
                let change = |config: &mut Value| set_classes(config, size);
                self.memory_of("classes", Point { size, seed }, MEAN_SERVICE, &change).await?;
            }
        }
        Ok(())
    }

    /// Measures memory by the number of tenants in the settings.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_tenants(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[1, 100, 1_000, 10_000]) {
            for seed in self.options.seeds.clone() {
                let change = |config: &mut Value| set_tenants(config, size);
                self.memory_of("tenants", Point { size, seed }, MEAN_SERVICE, &change).await?;
            }
        }
        Ok(())
    }

    async fn memory_of(
        &mut self,
        size_of: &'static str,
        at: Point,
        servers: usize,
        change: &dyn Fn(&mut Value),
    ) -> Result<(), ScaleError> {
        let backends = self.backends(BACKENDS, Duration::ZERO).await?;
        let registry = self.registry(listed(servers, &backends)).await?;
        let daemon = self.daemon(&registry, at.seed, change).await?;
        warm_up(&daemon).await;
        sleep(SETTLE_TIME).await;
        self.record_memory(size_of, at, &daemon)?;
        daemon.stop().await
    }

    /// Measures memory by the number of configured fleet members. None of them answers, so the view probes and
    /// suspects them.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_members(&mut self) -> Result<(), ScaleError> {
        let product = product(SharedState::Leases, self.options.period);
        for size in self.options.sizes_or(&[60, 300, 1_800, 16_000]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(BACKENDS, Duration::ZERO).await?;
                let registry = self.registry(listed(MEAN_SERVICE, &backends)).await?;
                let daemon_spec = DaemonSpec {
                    number: 0,
                    instances: size,
                    discovery: registry.address,
                    seed,
                    product: &product,
                    peers: Some(unreachable_peers(size, self.stand_in())),
                    change: &|_| {},
                };
                let daemon = self.launcher.start(&daemon_spec).await?;
                warm_up(&daemon).await;
                sleep(self.options.span).await;
                self.record_memory("members", Point { size, seed }, &daemon)?;
                daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Measures memory by the number of idle client connections, each of which has carried one request.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_client_connections(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[0, 100, 500, 1_000, 2_000]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(BACKENDS, Duration::ZERO).await?;
                let registry = self.registry(listed(MEAN_SERVICE, &backends)).await?;
                let daemon = self.daemon(&registry, seed, &|_| {}).await?;
                warm_up(&daemon).await;
                let mut open = Vec::new();
                while open.len() < size {
                    let wire = connect(daemon.listen).await;
                    let mut wire = wire.map_err(crate::world::machine_error("a connection"))?;
                    if exchange(&mut wire).await.unwrap_or(false) {
                        open.push(wire);
                    }
                }
                sleep(SETTLE_TIME.min(Duration::from_millis(500))).await;
                self.record_memory("client_connections", Point { size, seed }, &daemon)?;
                daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Measures memory by the number of concurrent requests. Each holds a client connection, a server connection and a
    /// request.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_open_calls(&mut self) -> Result<(), ScaleError> {
        const WORK: Duration = Duration::from_millis(900);
        for size in self.options.sizes_or(&[10, 100, 250, 500]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(BACKENDS, WORK).await?;
                let registry = self.registry(listed(MEAN_SERVICE, &backends)).await?;
                let daemon = self.daemon(&registry, seed, &raise_aims).await?;
                let mut in_flight = JoinSet::new();
                for n in 0..size {
                    let pool = Pool::new(daemon.listen);
                    in_flight.spawn(async move { pool.send_request().await });
                    // The sidecar limits concurrent handshakes with one server.
                    if n % 50 == 49 {
                        sleep(Duration::from_millis(20)).await;
                    }
                }
                sleep(Duration::from_millis(300)).await;
                let open = |b: &super::backend::Backend| {
                    b.counters.open.load(std::sync::atomic::Ordering::Relaxed)
                };
                let held: u64 = backends.iter().map(open).sum();
                self.record_memory("open_calls", Point { size, seed }, &daemon)?;
                let count = measurement("sidecar.server_connections", Unit::Count, "open_calls");
                let load = self.watch([&daemon]).mean();
                self.record(count, Point { size, seed }, held as f64, load)?;
                while in_flight.join_next().await.is_some() {}
                daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Measures memory by the number of services. A daemon balances over one list, so there is one daemon per
    /// service, and the values are sums over all daemons.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn memory_by_services(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[1, 5, 20, 60]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(BACKENDS, Duration::ZERO).await?;
                let registry = self.registry(listed(MEAN_SERVICE, &backends)).await?;
                let daemons = self.independent_daemons(size, &registry, seed, &|_| {}).await?;
                for daemon in &daemons {
                    warm_up(daemon).await;
                }
                sleep(SETTLE_TIME).await;
                let load = self.watch(&daemons);
                let before = processor_time_of(&daemons)?;
                sleep(self.options.span).await;
                let used = processor_time_of(&daemons)? - before;
                let each: Vec<_> = daemons.iter().filter_map(|d| memory(d.pid)).collect();
                let resident: u64 = each.iter().map(|m| m.resident).sum();
                let proportional: u64 = each.iter().map(|m| m.proportional).sum();
                let (at, load) = (Point { size, seed }, load.mean());
                let row = |name| measurement(name, Unit::Bytes, "services");
                self.record(row(RESIDENT), at, resident as f64, load)?;
                self.record(row(PROPORTIONAL), at, proportional as f64, load)?;
                let rate = used.as_secs_f64() * 1e6 / self.options.span.as_secs_f64();
                let idle =
                    measurement("sidecar.processor.idle", Unit::MicrosecondsPerSecond, "services");
                self.record(idle, at, rate, load)?;
                stop_all(daemons).await?;
            }
        }
        Ok(())
    }
}

/// The sum of the processor times of some daemons.
pub fn processor_time_of(daemons: &[Daemon]) -> Result<Duration, ScaleError> {
    daemons.iter().map(Daemon::processor_time).sum()
}

/// Raises aims and deadlines, since the servers here are slower than a class's default aim and slow requests would be
/// sent a second time.
fn raise_aims(config: &mut Value) {
    for class in config["settings"]["classes"].as_array_mut().into_iter().flatten() {
        class["aim"] = json!(5_000_000);
        class["deadline"] = json!(6_000_000);
    }
}

fn set_classes(config: &mut Value, count: usize) {
    let first = config["settings"]["classes"][0].clone();
    let others = (1..count).map(|n| {
        let mut class = first.clone();
        class["name"] = json!(format!("class-{n}"));
        class
    });
    config["settings"]["classes"] = std::iter::once(first.clone()).chain(others).collect();
}

fn set_tenants(config: &mut Value, count: usize) {
    let tenant = |n: usize| {
        let name = if n == 0 { "acme".into() } else { format!("tenant-{n}") };
        json!({"name": name, "quotaPerS": 1e6, "share": 1.0 / count as f64})
    };
    config["settings"]["tenants"] = (0..count).map(tenant).collect();
}

/// Peers at addresses on which nothing listens.
fn unreachable_peers(count: usize, everyone: SocketAddr) -> Peers {
    let SocketAddr::V4(base) = everyone else { return Peers { each: Vec::new(), everyone } };
    let second = base.ip().octets()[1];
    let at = |n: usize| {
        let ip = Ipv4Addr::new(127, second, 100 + (n / 250) as u8, (n % 250) as u8 + 1);
        SocketAddr::from((ip, 7946))
    };
    Peers { each: (0..count).map(at).collect(), everyone: at(count) }
}
