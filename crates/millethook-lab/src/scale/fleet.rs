//! Many daemons at once: some that only share discovery, or a fleet that keeps a view over the lab's relay.

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

/// What a sidecar may send in a period of a second: the product's default.
const BYTES_A_PERIOD: f64 = 1_500.0;

/// What sidecars tell one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// Who is alive.
    View,
    /// That, and what they meet at servers.
    Evidence,
    /// All that, and who owns which job.
    Leases,
}

/// The product's file of a fleet with so much time between two probes. What may be said in a period stays the same.
pub fn product(told: Told, period: Duration) -> String {
    let seconds = period.as_secs_f64();
    let bytes = (BYTES_A_PERIOD / seconds).round();
    let mut text =
        format!("[fleet]\nname = \"scale\"\nperiod_s = {seconds}\nbytes_per_second = {bytes}\n");
    if told != Told::View {
        text += "share_evidence = true\n";
    }
    if told == Told::Leases {
        text += "\n[lease]\n";
    }
    text
}

impl Bench {
    /// Starts daemons that tell one another nothing, and waits until all are ready.
    ///
    /// # Errors
    /// One does not start.
    pub async fn strangers(
        &self,
        count: usize,
        registry: &Registry,
        seed: u64,
        change: &dyn Fn(&mut Value),
    ) -> Result<Vec<Daemon>, ScaleError> {
        let mut daemons = Vec::new();
        for number in 0..count {
            let spec = DaemonSpec {
                number,
                instances: count,
                discovery: registry.address,
                seed: seed + number as u64,
                product: "",
                peers: None,
                change,
            };
            daemons.push(self.launcher.launch(&spec)?);
        }
        for daemon in &mut daemons {
            daemon.ready().await?;
        }
        Ok(daemons)
    }

    /// Starts daemons that keep a view of one another.
    ///
    /// # Errors
    /// One does not start, or the relay has no sockets.
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

/// Daemons that keep a view of one another; they end with this value.
pub struct Fleet {
    /// The only way from one to another.
    pub relay: Arc<Relay>,
    daemons: Vec<Option<Daemon>>,
    discovery: std::net::SocketAddr,
    product: String,
    seed: u64,
}

impl Fleet {
    /// Starts those that do not run, and waits until they are ready.
    ///
    /// # Errors
    /// One does not start.
    pub async fn start(&mut self, bench: &Bench, numbers: &[usize]) -> Result<(), ScaleError> {
        for &number in numbers {
            let (each, everyone) =
                self.relay.peers(number).map_err(machine_error("the relay's addresses"))?;
            let spec = DaemonSpec {
                number,
                instances: self.daemons.len(),
                discovery: self.discovery,
                seed: self.seed + number as u64,
                product: &self.product,
                peers: Some(Peers { each, everyone }),
                change: &|_| {},
            };
            self.daemons[number] = Some(bench.launcher.launch(&spec)?);
            self.relay.admit(number, bench.launcher.addresses.datagrams(number, 0));
        }
        for &number in numbers {
            if let Some(daemon) = &mut self.daemons[number] {
                daemon.ready().await?;
            }
        }
        Ok(())
    }

    /// Kills these.
    ///
    /// # Errors
    /// One does not end.
    pub async fn kill(&mut self, numbers: &[usize]) -> Result<(), ScaleError> {
        let killed = numbers.iter().filter_map(|number| self.daemons[*number].take());
        stop_all(killed.collect::<Vec<_>>()).await
    }

    /// Ends all.
    ///
    /// # Errors
    /// One does not end.
    pub async fn stop(self) -> Result<(), ScaleError> {
        stop_all(self.daemons.into_iter().flatten()).await
    }

    /// Those that run.
    pub fn alive(&self) -> impl Iterator<Item = &Daemon> {
        self.daemons.iter().flatten()
    }

    /// Bytes that all have sent to others so far.
    pub fn bytes(&self) -> u64 {
        self.relay.traffic.iter().map(|t| t.bytes.load(Ordering::Relaxed)).sum()
    }

    /// Datagrams that all have sent to others so far.
    pub fn datagrams(&self) -> u64 {
        self.relay.traffic.iter().map(|t| t.sent.load(Ordering::Relaxed)).sum()
    }

    /// Processor time of all that run.
    ///
    /// # Errors
    /// One has ended.
    pub fn processor_time(&self) -> Result<Duration, ScaleError> {
        self.alive().map(Daemon::processor_time).sum()
    }

    /// Looks at all views every `look` until all that run have the same and count as many as run; None: not within
    /// `limit`.
    pub async fn agreed(&self, look: Duration, limit: Duration) -> Option<Duration> {
        let begun = Instant::now();
        loop {
            let looked = Instant::now();
            if self.agrees().await {
                return Some(begun.elapsed());
            }
            if begun.elapsed() > limit {
                return None;
            }
            sleep(look.saturating_sub(looked.elapsed())).await;
        }
    }

    async fn agrees(&self) -> bool {
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

/// What a fleet has sent and used by a moment.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// When.
    pub at: Instant,
    /// Bytes of all datagrams.
    pub bytes: f64,
    /// Datagrams.
    pub datagrams: f64,
    /// Processor time of those that run, in microseconds.
    pub used_us: f64,
}

/// What a fleet sends and uses in a second, or in another span.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
    /// Bytes of all datagrams.
    pub bytes: f64,
    /// Datagrams.
    pub datagrams: f64,
    /// Processor time, in microseconds.
    pub used_us: f64,
}

impl Moment {
    /// Now.
    ///
    /// # Errors
    /// A daemon has ended.
    pub fn of(fleet: &Fleet) -> Result<Moment, ScaleError> {
        Ok(Moment {
            used_us: fleet.processor_time()?.as_secs_f64() * 1e6,
            bytes: fleet.bytes() as f64,
            datagrams: fleet.datagrams() as f64,
            at: Instant::now(),
        })
    }

    /// In the mean of a second since an earlier moment.
    pub fn rates_since(&self, earlier: Moment) -> Rates {
        let seconds = (self.at - earlier.at).as_secs_f64();
        Rates {
            bytes: (self.bytes - earlier.bytes) / seconds,
            datagrams: (self.datagrams - earlier.datagrams) / seconds,
            used_us: (self.used_us - earlier.used_us) / seconds,
        }
    }
}

impl Rates {
    /// In so much time.
    pub fn for_span(&self, span: Duration) -> Rates {
        let seconds = span.as_secs_f64();
        Rates {
            bytes: self.bytes * seconds,
            datagrams: self.datagrams * seconds,
            used_us: self.used_us * seconds,
        }
    }
}
