//! Groups of daemons: independent ones that share only discovery, or a fleet that keeps a view over the lab's relay.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::ScaleError;
use super::bench::Bench;
use super::daemon::{Daemon, DaemonSpec, Peers, figures, stop_all};
use super::registry::Registry;
use crate::ledger::Clock;
use crate::timeline::Network;
use crate::world::machine_error;
use crate::world::network::NetworkModel;
use crate::world::relay::Relay;

/// Bytes that a sidecar may send per period of 1 s, the product's default.
const BYTES_A_PERIOD: f64 = 1_500.0;

/// What sidecars exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharedState {
    /// The view of live members.
    View,
    /// The view, and evidence on servers.
    Evidence,
    /// The view, evidence on servers, and leases of jobs.
    Leases,
}

/// The product's settings file of a fleet with this time between two probes. The bytes per period stay the same.
pub fn product(shared_state: SharedState, period: Duration) -> String {
    let seconds = period.as_secs_f64();
    let bytes = (BYTES_A_PERIOD / seconds).round();
    let mut text =
        format!("[fleet]\nname = \"scale\"\nperiod_s = {seconds}\nbytes_per_second = {bytes}\n");
    if shared_state != SharedState::View {
        text += "share_evidence = true\n";
    }
    if shared_state == SharedState::Leases {
        text += "\n[lease]\n";
    }
    text
}

impl Bench {
    /// Starts daemons that exchange no messages, and waits until all are ready.
    ///
    /// # Errors
    /// A daemon does not start.
    pub async fn independent_daemons(
        &self,
        count: usize,
        registry: &Registry,
        seed: u64,
        change: &dyn Fn(&mut Value),
    ) -> Result<Vec<Daemon>, ScaleError> {
        let mut daemons = Vec::new();
        for number in 0..count {
            let daemon_spec = DaemonSpec {
                number,
                instances: count,
                discovery: registry.address,
                seed: seed + number as u64,
                product: "",
                peers: None,
                change,
            };
            daemons.push(self.launcher.launch(&daemon_spec)?);
        }
        for daemon in &mut daemons {
            daemon.ready().await?;
        }
        Ok(daemons)
    }

    /// Starts daemons that keep a view of one another.
    ///
    /// # Errors
    /// A daemon does not start, or the relay cannot open its sockets.
    pub async fn fleet(
        &self,
        count: usize,
        registry: &Registry,
        seed: u64,
        product: &str,
    ) -> Result<Fleet, ScaleError> {
        let clock = Clock::stopped();
        clock.begin();
        let model = NetworkModel::new(seed, count, Network::default());
        let relay = Relay::start(clock, model, count, 1, self.stand_in()).await;
        let relay = relay.map_err(machine_error("the relay"))?;
        let mut fleet = Fleet {
            relay,
            daemons: (0..count).map(|_| None).collect(),
            discovery: registry.address,
            product: product.to_owned(),
            seed,
        };
        fleet.start(self, &(0..count).collect::<Vec<_>>()).await?;
        Ok(fleet)
    }
}

/// Daemons that keep a view of one another. They are killed when this value is dropped.
pub struct Fleet {
    /// The relay that carries all datagrams between the daemons.
    pub relay: Arc<Relay>,
    daemons: Vec<Option<Daemon>>,
    discovery: std::net::SocketAddr,
    product: String,
    seed: u64,
}

impl Fleet {
    /// Starts the daemons with these numbers and waits until they are ready.
    ///
    /// # Errors
    /// A daemon does not start.
    pub async fn start(&mut self, bench: &Bench, numbers: &[usize]) -> Result<(), ScaleError> {
        for &number in numbers {
            let (each, everyone) =
                self.relay.peers(number).map_err(machine_error("the relay's addresses"))?;
            let daemon_spec = DaemonSpec {
                number,
                instances: self.daemons.len(),
                discovery: self.discovery,
                seed: self.seed + number as u64,
                product: &self.product,
                peers: Some(Peers { each, everyone }),
                change: &|_| {},
            };
            self.daemons[number] = Some(bench.launcher.launch(&daemon_spec)?);
            self.relay.admit(number, bench.launcher.addresses.datagrams(number, 0));
        }
        for &number in numbers {
            if let Some(daemon) = &mut self.daemons[number] {
                daemon.ready().await?;
            }
        }
        Ok(())
    }

    /// Kills the daemons with these numbers.
    ///
    /// # Errors
    /// A daemon does not exit in time.
    pub async fn kill(&mut self, numbers: &[usize]) -> Result<(), ScaleError> {
        let killed = numbers.iter().filter_map(|number| self.daemons[*number].take());
        stop_all(killed.collect::<Vec<_>>()).await
    }

    /// Kills all daemons.
    ///
    /// # Errors
    /// A daemon does not exit in time.
    pub async fn stop(self) -> Result<(), ScaleError> {
        stop_all(self.daemons.into_iter().flatten()).await
    }

    /// The running daemons.
    pub fn alive(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().flatten()
    }

    /// Bytes that all daemons have sent to one another so far.
    pub fn bytes(&self) -> u64 {
        self.relay.traffic.iter().map(|t| t.bytes.load(Ordering::Relaxed)).sum()
    }

    /// Datagrams that all daemons have sent to one another so far.
    pub fn datagrams(&self) -> u64 {
        self.relay.traffic.iter().map(|t| t.sent.load(Ordering::Relaxed)).sum()
    }

    /// Processor time of all running daemons.
    ///
    /// # Errors
    /// A daemon has exited.
    pub fn processor_time(&self) -> Result<Duration, ScaleError> {
        self.alive().map(Daemon::processor_time).sum()
    }

    /// Reads all views every `poll_interval` until all running daemons have the same view and count as many members
    /// as run. Returns how long that took, or `None` if it took longer than `limit`.
    pub async fn time_to_agreement(
        &self,
        poll_interval: Duration,
        limit: Duration,
    ) -> Option<Duration> {
        let begun = Instant::now();
        loop {
            let read_at = Instant::now();
            if self.views_agree().await {
                return Some(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return None;
            }
            sleep(poll_interval.saturating_sub(read_at.elapsed())).await;
        }
    }

    async fn views_agree(&self) -> bool {
        let mut asked = JoinSet::new();
        let mut count = 0;
        for daemon in self.alive() {
            asked.spawn(figures(daemon.admin, ["fleet.alive", "fleet.hash"]));
            count += 1;
        }
        let mut hashes = HashSet::new();
        while let Some(answer) = asked.join_next().await {
            let Ok(Some([alive, hash])) = answer else { return false };
            if alive != count {
                return false;
            }
            hashes.insert(hash);
        }
        hashes.len() == 1
    }
}

/// What a fleet has sent and used up to a point in time.
#[derive(Clone, Copy, Debug)]
pub struct FleetUsage {
    /// The point in time.
    pub at: Instant,
    /// Bytes of all datagrams.
    pub bytes: f64,
    /// Datagrams.
    pub datagrams: f64,
    /// Processor time of the running daemons, in microseconds.
    pub used_us: f64,
}

/// What a fleet sends and uses per second, or in another span.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Bytes of all datagrams.
    pub bytes: f64,
    /// Datagrams.
    pub datagrams: f64,
    /// Processor time, in microseconds.
    pub used_us: f64,
}

impl FleetUsage {
    /// Reads the present values.
    ///
    /// # Errors
    /// A daemon has exited.
    pub fn of(fleet: &Fleet) -> Result<FleetUsage, ScaleError> {
        Ok(FleetUsage {
            used_us: fleet.processor_time()?.as_secs_f64() * 1e6,
            bytes: fleet.bytes() as f64,
            datagrams: fleet.datagrams() as f64,
            at: Instant::now(),
        })
    }

    /// The mean rates per second since an earlier snapshot.
    pub fn rates_since(&self, earlier: FleetUsage) -> Rates {
        let seconds = (self.at - earlier.at).as_secs_f64();
        Rates {
            bytes: (self.bytes - earlier.bytes) / seconds,
            datagrams: (self.datagrams - earlier.datagrams) / seconds,
            used_us: (self.used_us - earlier.used_us) / seconds,
        }
    }
}

impl Rates {
    /// The amounts in a span at these rates per second.
    pub fn for_span(&self, span: Duration) -> Rates {
        let seconds = span.as_secs_f64();
        Rates {
            bytes: self.bytes * seconds,
            datagrams: self.datagrams * seconds,
            used_us: self.used_us * seconds,
        }
    }
}
