//! Measures what a change costs a sidecar: of its list, of its settings, or the removal of a zone.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::{sleep, timeout};

use super::ScaleError;
use super::backend::Backend;
use super::bench::{Bench, Measurement, Point, ZONES, listed, measurement};
use super::daemon::Daemon;
use super::registry::{ListedServer, Registry};
use super::row::Unit;

/// The number of stand-in servers, whose addresses the servers of a long list share.
const BACKENDS: usize = 16;
/// Delay between the start and the first measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Time limit for a daemon to receive a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after a change, for work that the change leaves behind.
const DELAY_AFTER_CHANGE: Duration = Duration::from_millis(20);
/// Number of list changes and of settings changes per row.
const LIST_CHANGES: usize = 20;
const SETTINGS_CHANGES: usize = 5;
/// Delay after SIGHUP until the settings must be in force.
const SETTINGS_DELAY: Duration = Duration::from_millis(400);

fn by_listed(name: &'static str, unit: Unit) -> Measurement {
    measurement(name, unit, "listed_servers")
}

/// Processor time and wall time.
#[derive(Clone, Copy, Debug)]
struct Cost {
    used: Duration,
    took: Duration,
}

impl Cost {
    /// Microseconds of processor time beyond what an idle daemon uses in the same time.
    fn beyond_idle(&self, idle_us_per_s: f64) -> f64 {
        self.used.as_secs_f64() * 1e6 - idle_us_per_s * self.took.as_secs_f64()
    }
}

/// An idle daemon with its list.
struct Subject {
    // Held so that the servers run as long as the daemon.
    _backends: Vec<Backend>,
    registry: Registry,
    daemon: Daemon,
    listed: Vec<ListedServer>,
    idle: f64,
}

impl Bench {
    async fn subject(&self, size: usize, seed: u64) -> Result<Subject, ScaleError> {
        let backends = self.backends(BACKENDS, Duration::ZERO).await?;
        let listed = listed(size, &backends);
        let registry = self.registry(listed.clone()).await?;
        let daemon = self.daemon(&registry, seed, &|_| {}).await?;
        sleep(SETTLE_TIME).await;
        let idle = self.idle_rate(&daemon).await?;
        Ok(Subject { _backends: backends, registry, daemon, listed, idle })
    }

    /// Measures the removal or addition of one server, by the length of the list.
    ///
    /// # Errors
    /// A part does not start, or the daemon does not get a list in time.
    pub async fn list_change(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[12, 100, 1_000, 4_000, 16_000]) {
            for seed in self.options.seeds.clone() {
                let subject = self.subject(size, seed).await?;
                let load = self.watch([&subject.daemon]);
                let (mut used, mut time_to_list) = (0.0, Duration::ZERO);
                for n in 0..LIST_CHANGES {
                    let server = subject.listed[(n / 2 * 7 + seed as usize) % size];
                    let (cost, time) = subject.change(&[server], n % 2 == 0).await?;
                    used += cost.beyond_idle(subject.idle) / LIST_CHANGES as f64;
                    time_to_list += time / LIST_CHANGES as u32;
                }
                let (at, load) = (Point { size, seed }, load.mean());
                let row = by_listed("sidecar.list_change.processor", Unit::Microseconds);
                self.record(row, at, used, load)?;
                let row = by_listed("sidecar.list_change.time", Unit::Milliseconds);
                self.record(row, at, time_to_list.as_secs_f64() * 1e3, load)?;
                subject.daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Measures the removal of a sixth of the list, in one change or one server after another.
    ///
    /// # Errors
    /// A part does not start, or the daemon does not get a list in time.
    pub async fn zone_leaves(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[96, 960, 4_800, 16_000]) {
            for seed in self.options.seeds.clone() {
                self.zone_leaves_at_once(size, seed).await?;
                self.zone_leaves_one_by_one(size, seed).await?;
            }
        }
        Ok(())
    }

    async fn zone_leaves_at_once(&mut self, size: usize, seed: u64) -> Result<(), ScaleError> {
        let subject = self.subject(size, seed).await?;
        let load = self.watch([&subject.daemon]);
        let zone = subject.zone(seed);
        for (leaves, names) in [
            (true, ["sidecar.zone_leaves.at_once.processor", "sidecar.zone_leaves.at_once.time"]),
            (
                false,
                ["sidecar.zone_returns.at_once.processor", "sidecar.zone_returns.at_once.time"],
            ),
        ] {
            let (cost, time_to_list) = subject.change(&zone, leaves).await?;
            let (at, load) = (Point { size, seed }, load.mean());
            let used = cost.beyond_idle(subject.idle);
            self.record(by_listed(names[0], Unit::Microseconds), at, used, load)?;
            let time_to_list = time_to_list.as_secs_f64() * 1e3;
            self.record(by_listed(names[1], Unit::Milliseconds), at, time_to_list, load)?;
        }
        subject.daemon.stop().await
    }

    async fn zone_leaves_one_by_one(&mut self, size: usize, seed: u64) -> Result<(), ScaleError> {
        let subject = self.subject(size, seed).await?;
        let load = self.watch([&subject.daemon]);
        let (before, begun) = (subject.daemon.processor_time()?, Instant::now());
        for server in subject.zone(seed) {
            subject.change_list(&[server], true).await?;
        }
        let took = begun.elapsed();
        sleep(DELAY_AFTER_CHANGE).await;
        let used = subject.daemon.processor_time()? - before;
        let used = Cost { used, took: begun.elapsed() }.beyond_idle(subject.idle);
        let (at, load) = (Point { size, seed }, load.mean());
        let row = by_listed("sidecar.zone_leaves.one_by_one.processor", Unit::Microseconds);
        self.record(row, at, used, load)?;
        let row = by_listed("sidecar.zone_leaves.one_by_one.time", Unit::Milliseconds);
        self.record(row, at, took.as_secs_f64() * 1e3, load)?;
        subject.daemon.stop().await
    }

    /// Measures a new configuration by SIGHUP that changes one class, by the length of the list.
    ///
    /// # Errors
    /// A part does not start, or the settings are not in force in time.
    pub async fn settings_change(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[12, 100, 1_000, 4_000, 16_000]) {
            for seed in self.options.seeds.clone() {
                let mut subject = self.subject(size, seed).await?;
                let load = self.watch([&subject.daemon]);
                let mut used = 0.0;
                for n in 0..SETTINGS_CHANGES {
                    used += subject.settings_change(n).await? / SETTINGS_CHANGES as f64;
                }
                let mut config = subject.daemon.config.clone();
                config["settings"]["classes"][0]["aim"] = json!(250_000);
                let took = subject.daemon.reload(config).await?;
                let (at, load) = (Point { size, seed }, load.mean());
                let row = by_listed("sidecar.settings_change.processor", Unit::Microseconds);
                self.record(row, at, used, load)?;
                let row = by_listed("sidecar.settings_change.time", Unit::Milliseconds);
                self.record(row, at, took.as_secs_f64() * 1e3, load)?;
                subject.daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Measures receiving the whole list again after discovery moved, by the length of the list. The cost includes
    /// that of the change of settings.
    ///
    /// # Errors
    /// A part does not start, or the daemon does not get a list in time.
    pub async fn whole_list(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[12, 100, 1_000, 4_000, 16_000]) {
            for seed in self.options.seeds.clone() {
                let subject = self.subject(size, seed).await?;
                let load = self.watch([&subject.daemon]);
                let moved = self.registry(subject.listed.clone()).await?;
                let mut config = subject.daemon.config.clone();
                config["discovery"] = json!(moved.address.to_string());
                let (before, begun) = (subject.daemon.processor_time()?, Instant::now());
                subject.daemon.send_configuration(&config)?;
                with_list_timeout("the whole list", moved.wait_until_received(1)).await?;
                let time_to_list = begun.elapsed();
                sleep(DELAY_AFTER_CHANGE).await;
                let used = subject.daemon.processor_time()? - before;
                let used = Cost { used, took: begun.elapsed() }.beyond_idle(subject.idle);
                let (at, load) = (Point { size, seed }, load.mean());
                let row = by_listed("sidecar.whole_list.processor", Unit::Microseconds);
                self.record(row, at, used, load)?;
                let row = by_listed("sidecar.whole_list.time", Unit::Milliseconds);
                self.record(row, at, time_to_list.as_secs_f64() * 1e3, load)?;
                subject.daemon.stop().await?;
            }
        }
        Ok(())
    }
}

impl Subject {
    /// Returns the servers of one zone, which the seed selects.
    fn zone(&self, seed: u64) -> Vec<ListedServer> {
        let zone = seed as usize % ZONES;
        self.listed.iter().filter(|server| server.zone == zone).copied().collect()
    }

    /// Changes the list in one step and waits until the daemon has it. Returns how long that took.
    async fn change_list(
        &self,
        servers: &[ListedServer],
        leave: bool,
    ) -> Result<Duration, ScaleError> {
        let begun = Instant::now();
        let version = match leave {
            true => self.registry.leave(servers),
            false => self.registry.join(servers),
        };
        with_list_timeout("a change of the list", self.registry.wait_until_received(version))
            .await?;
        Ok(begun.elapsed())
    }

    async fn change(
        &self,
        servers: &[ListedServer],
        leave: bool,
    ) -> Result<(Cost, Duration), ScaleError> {
        let (before, begun) = (self.daemon.processor_time()?, Instant::now());
        let time_to_list = self.change_list(servers, leave).await?;
        sleep(DELAY_AFTER_CHANGE).await;
        let used = self.daemon.processor_time()? - before;
        Ok((Cost { used, took: begun.elapsed() }, time_to_list))
    }

    /// Microseconds of processor time for one change of settings.
    async fn settings_change(&mut self, nth: usize) -> Result<f64, ScaleError> {
        let mut config = self.daemon.config.clone();
        config["settings"]["classes"][0]["aim"] = json!(200_001 + nth);
        let applied = self.daemon.applied().await;
        let (before, begun) = (self.daemon.processor_time()?, Instant::now());
        self.daemon.send_configuration(&config)?;
        sleep(SETTINGS_DELAY).await;
        let used = self.daemon.processor_time()? - before;
        let cost = Cost { used, took: begun.elapsed() };
        // On a busy machine the signal may not have been handled by then, and the measured cost would not include it.
        if self.daemon.applied().await == applied {
            let (what, seconds) = ("new settings".into(), SETTINGS_DELAY.as_secs_f64());
            return Err(ScaleError::Late { what, seconds });
        }
        Ok(cost.beyond_idle(self.idle))
    }
}

async fn with_list_timeout(
    what: &str,
    condition: impl Future<Output = ()>,
) -> Result<(), ScaleError> {
    let late = |_| ScaleError::Late { what: what.into(), seconds: LIST_TIMEOUT.as_secs_f64() };
    timeout(LIST_TIMEOUT, condition).await.map_err(late)
}
