//! Measures what watching a list costs discovery and the sidecars, without changes and when a zone leaves.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::ScaleError;
use super::bench::{Bench, Measurement, Point, ZONES, listed, measurement};
use super::daemon::{Daemon, stop_all};
use super::memory::processor_time_of;
use super::process::processor_time;
use super::registry::Registry;
use super::row::Unit;

/// Length of the list: long enough for a zone's removal to be measurable, short enough for any sidecar.
const SERVERS: usize = 1_200;
const BACKENDS: usize = 16;
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Delay between a zone's removal and the reading of its cost. Watches on request are held for 3 s.
const DELAY_AFTER_REMOVAL: Duration = Duration::from_secs(4);
const SIZE_OF: &str = "sidecars_that_watch";

/// How sidecars learn of changes, as the platform's settings name it, and the names of its measurements.
struct WatchMode {
    how: &'static str,
    calls: &'static str,
    bytes: &'static str,
    processor: &'static str,
    source: &'static str,
    start: &'static str,
    zone_bytes: &'static str,
    zone_processor: &'static str,
}

const WATCH_MODES: [WatchMode; 2] = [
    WatchMode {
        how: "pushed",
        calls: "discovery.pushed.calls_each",
        bytes: "discovery.pushed.bytes_each",
        processor: "sidecar.watch.pushed.processor",
        source: "discovery.pushed.stand_in_processor",
        start: "discovery.pushed.start_bytes_each",
        zone_bytes: "discovery.pushed.zone_leaves.bytes_each",
        zone_processor: "sidecar.watch.pushed.zone_leaves.processor",
    },
    WatchMode {
        how: "on_request",
        calls: "discovery.asked.calls_each",
        bytes: "discovery.asked.bytes_each",
        processor: "sidecar.watch.asked.processor",
        source: "discovery.asked.stand_in_processor",
        start: "discovery.asked.start_bytes_each",
        zone_bytes: "discovery.asked.zone_leaves.bytes_each",
        zone_processor: "sidecar.watch.asked.zone_leaves.processor",
    },
];

impl Bench {
    /// Measures requests, bytes and processor time of discovery and of each sidecar that watches it.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn discovery(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[8, 30, 60, 120, 300]) {
            for seed in self.options.seeds.clone() {
                for mode in &WATCH_MODES {
                    self.measure_watch(Point { size, seed }, mode).await?;
                }
            }
        }
        Ok(())
    }

    async fn measure_watch(&mut self, at: Point, mode: &WatchMode) -> Result<(), ScaleError> {
        let backends = self.backends(BACKENDS, Duration::ZERO).await?;
        let all = listed(SERVERS, &backends);
        let registry = self.registry(all.clone()).await?;
        let change = |config: &mut Value| config["settings"]["discovery"] = json!(mode.how);
        let daemons = self.independent_daemons(at.size, &registry, at.seed, &change).await?;
        sleep(SETTLE_TIME).await;
        let started = registry.traffic().bytes as f64 / at.size as f64;
        let load = self.watch(&daemons).mean();
        self.record(row(mode.start, Unit::Bytes), at, started, load)?;
        let quiet = self.quiet_watch(at, mode, &registry, &daemons).await?;
        let zone = at.seed as usize % ZONES;
        let leaving: Vec<_> = all.iter().filter(|s| s.zone == zone).copied().collect();
        let load = self.watch(&daemons);
        let before = Usage::of(&registry, &daemons)?;
        registry.leave(&leaving);
        sleep(DELAY_AFTER_REMOVAL).await;
        let loss = Usage::of(&registry, &daemons)?.since(&before);
        let (each, seconds, load) =
            (at.size as f64, DELAY_AFTER_REMOVAL.as_secs_f64(), load.mean());
        let bytes = (loss.bytes - quiet.bytes * seconds) / each;
        self.record(row(mode.zone_bytes, Unit::Bytes), at, bytes, load)?;
        let used = (loss.daemons_us - quiet.daemons_us * seconds) / each;
        self.record(row(mode.zone_processor, Unit::Microseconds), at, used, load)?;
        stop_all(daemons).await
    }

    /// Measures the cost per second while the list does not change.
    async fn quiet_watch(
        &mut self,
        at: Point,
        mode: &WatchMode,
        registry: &Registry,
        daemons: &[Daemon],
    ) -> Result<Usage, ScaleError> {
        // This process plays discovery, so sampling the load of hundreds of daemons would count as discovery's cost.
        let load = self.watch(daemons).mean();
        let before = Usage::of(registry, daemons)?;
        sleep(self.options.span).await;
        let spent = Usage::of(registry, daemons)?.since(&before);
        let load = (load + self.watch(daemons).mean()) / 2.0;
        let second = spent.per_second(self.options.span);
        let each = at.size as f64;
        self.record(row(mode.calls, Unit::Count), at, second.calls / each, load)?;
        self.record(row(mode.bytes, Unit::BytesPerSecond), at, second.bytes / each, load)?;
        let unit = Unit::MicrosecondsPerSecond;
        self.record(row(mode.processor, unit), at, second.daemons_us / each, load)?;
        self.record(row(mode.source, unit), at, second.source_us, load)?;
        Ok(second)
    }
}

fn row(name: &'static str, unit: Unit) -> Measurement {
    measurement(name, unit, SIZE_OF)
}

/// What discovery and the sidecars have used so far, or per second.
#[derive(Clone, Copy, Debug)]
struct Usage {
    calls: f64,
    bytes: f64,
    /// Processor time of the daemons, in microseconds.
    daemons_us: f64,
    /// Processor time of this process, which plays discovery and does nothing else meanwhile, in microseconds.
    source_us: f64,
}

impl Usage {
    fn of(registry: &Registry, daemons: &[Daemon]) -> Result<Usage, ScaleError> {
        let traffic = registry.traffic();
        let source = processor_time(std::process::id() as i32).unwrap_or_default();
        Ok(Usage {
            calls: traffic.calls as f64,
            bytes: traffic.bytes as f64,
            daemons_us: processor_time_of(daemons)?.as_secs_f64() * 1e6,
            source_us: source.as_secs_f64() * 1e6,
        })
    }

    fn since(&self, before: &Usage) -> Usage {
        Usage {
            calls: self.calls - before.calls,
            bytes: self.bytes - before.bytes,
            daemons_us: self.daemons_us - before.daemons_us,
            source_us: self.source_us - before.source_us,
        }
    }

    fn per_second(&self, span: Duration) -> Usage {
        let seconds = span.as_secs_f64();
        Usage {
            calls: self.calls / seconds,
            bytes: self.bytes / seconds,
            daemons_us: self.daemons_us / seconds,
            source_us: self.source_us / seconds,
        }
    }
}
