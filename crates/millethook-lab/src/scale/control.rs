//! Measures the traffic between sidecars, in bytes and processor time, in a quiet fleet and after events.

use std::time::Duration;

use tokio::time::sleep;

use super::ScaleError;
use super::bench::{Bench, Point, ZONES, listed, measurement};
use super::fleet::{Fleet, FleetUsage, Rates, SharedState, product};
use super::process::memory;
use super::row::Unit;
use crate::plan::Sides;
use crate::timeline::EventKind;

/// Listed servers of the mean service.
const SERVERS: usize = 12;
/// Time limit for all views to agree.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Periods for which a region is partitioned from the others.
const PARTITION_PERIODS: u32 = 20;
/// Periods after all views agreed on a start for which updates about it are still sent.
pub const SETTLING_PERIODS: u32 = 10;
/// Periods after all views agreed on an event for which messages still count as caused by the event.
const TRAILING_PERIODS: u32 = 5;
/// The number of regions of the design's fleet.
const REGIONS: usize = 3;
/// The number of racks of the fleet: one sidecar in this many fails with its rack, and at least two do.
const RACK_COUNT: usize = 20;
const SIZE_OF: &str = "members";

/// What quiet fleets exchange, and its name in measurements.
const QUIET_FLEETS: [(SharedState, &str); 3] = [
    (SharedState::View, "view"),
    (SharedState::Evidence, "view_evidence"),
    (SharedState::Leases, "all"),
];

/// An event in a fleet.
struct Event {
    /// The name in its measurements: `fleet.event.NAME.bytes`, `.processor`, and `.time` until views agree.
    name: String,
    what: EventAction,
}

/// The kind of an event, with the numbers of the affected sidecars.
enum EventAction {
    Kill(Vec<usize>),
    Start(Vec<usize>),
    Heal,
}

impl Bench {
    /// Measures a fleet without events: with the view alone, with evidence, and with leases.
    ///
    /// # Errors
    /// A part does not start, or views never agree.
    pub async fn control_quiet(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[8, 60, 120, 300]) {
            for seed in self.options.seeds.clone() {
                for (shared_state, name) in QUIET_FLEETS {
                    self.quiet(Point { size, seed }, shared_state, name).await?;
                }
            }
        }
        Ok(())
    }

    async fn quiet(
        &mut self,
        at: Point,
        shared_state: SharedState,
        name: &str,
    ) -> Result<(), ScaleError> {
        let backends = self.backends(SERVERS, Duration::ZERO).await?;
        let registry = self.registry(listed(SERVERS, &backends)).await?;
        let fleet = self
            .fleet(at.size, &registry, at.seed, &product(shared_state, self.options.period))
            .await?;
        let settled = self.wait_for_agreement(&fleet).await?;
        let started = FleetUsage::of(&fleet)?;
        sleep(SETTLING_PERIODS * self.options.period).await;
        let load = self.watch(fleet.alive());
        let before = FleetUsage::of(&fleet)?;
        sleep(self.options.span).await;
        let rates = FleetUsage::of(&fleet)?.rates_since(before);
        let load = load.mean();
        let each = at.size as f64;
        let row = |what, unit| measurement(format!("sidecar.control.{name}.{what}"), unit, SIZE_OF);
        self.record(row("bytes", Unit::BytesPerSecond), at, rates.bytes / each, load)?;
        self.record(row("datagrams", Unit::Count), at, rates.datagrams / each, load)?;
        self.record(row("processor", Unit::MicrosecondsPerSecond), at, rates.used_us / each, load)?;
        if shared_state == SharedState::Leases {
            let row = measurement("fleet.start.time", Unit::Milliseconds, SIZE_OF);
            self.record(row, at, settled.as_secs_f64() * 1e3, load)?;
            let row = measurement("fleet.start.bytes_each", Unit::Bytes, SIZE_OF);
            self.record(row, at, started.bytes / each, load)?;
            let all: Vec<_> = fleet.alive().filter_map(|d| memory(d.pid)).collect();
            let mean = all.iter().map(|m| m.resident as f64).sum::<f64>() / each;
            let row = measurement("sidecar.memory.resident", Unit::Bytes, "members_that_answer");
            self.record(row, at, mean, load)?;
        }
        fleet.stop().await
    }

    /// The interval between two readings of all views.
    fn poll_interval(&self) -> Duration {
        self.options.period.min(Duration::from_secs(1))
    }

    /// Waits until all views agree. Returns how long that took.
    pub(super) async fn wait_for_agreement(&self, fleet: &Fleet) -> Result<Duration, ScaleError> {
        let late = || ScaleError::Late {
            what: "all views agree".into(),
            seconds: AGREEMENT_TIMEOUT.as_secs_f64(),
        };
        fleet.time_to_agreement(self.poll_interval(), AGREEMENT_TIMEOUT).await.ok_or_else(late)
    }

    /// Measures what a fleet sends after failures and returns, beyond a quiet fleet, until all views agree.
    ///
    /// # Errors
    /// A part does not start, or views never agree.
    pub async fn control_events(&mut self) -> Result<(), ScaleError> {
        let product = product(SharedState::Leases, self.options.period);
        for size in self.options.sizes_or(&[8, 60, 120, 300]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(SERVERS, Duration::ZERO).await?;
                let registry = self.registry(listed(SERVERS, &backends)).await?;
                let mut fleet = self.fleet(size, &registry, seed, &product).await?;
                self.wait_for_agreement(&fleet).await?;
                sleep(SETTLING_PERIODS * self.options.period).await;
                let quiet = self.quiet_while_looked_at(&fleet).await?;
                for event in events(size, seed as usize) {
                    self.event(Point { size, seed }, &mut fleet, &event, quiet).await?;
                }
                self.region_cut(Point { size, seed }, &mut fleet, quiet).await?;
                fleet.stop().await?;
            }
        }
        Ok(())
    }

    /// Rates of a quiet fleet whose views are read as often as after events.
    async fn quiet_while_looked_at(&self, fleet: &Fleet) -> Result<Rates, ScaleError> {
        let before = FleetUsage::of(fleet)?;
        while before.at.elapsed() < self.options.span {
            // The views agree already, so this reads them once.
            fleet.time_to_agreement(self.poll_interval(), Duration::ZERO).await;
            sleep(self.poll_interval()).await;
        }
        Ok(FleetUsage::of(fleet)?.rates_since(before))
    }

    async fn region_cut(
        &mut self,
        at: Point,
        fleet: &mut Fleet,
        quiet: Rates,
    ) -> Result<(), ScaleError> {
        const NUMBER: usize = 0;
        let who: Vec<bool> = (0..at.size).map(|n| n % REGIONS == 0).collect();
        let from = who.iter().map(|inside| !inside).collect();
        let sides = Sides { who, from, who_zones: Vec::new(), from_zones: Vec::new() };
        let (load, before) = (self.watch(fleet.alive()), FleetUsage::of(fleet)?);
        fleet.relay.model(|model| model.begin(NUMBER, EventKind::Partition, 0.0, sides));
        sleep(PARTITION_PERIODS * self.options.period).await;
        let rates = FleetUsage::of(fleet)?.rates_since(before);
        let (each, load) = (at.size as f64, load.mean());
        let row =
            |what, unit| measurement(format!("sidecar.control.region_cut.{what}"), unit, SIZE_OF);
        self.record(row("bytes", Unit::BytesPerSecond), at, rates.bytes / each, load)?;
        self.record(row("datagrams", Unit::Count), at, rates.datagrams / each, load)?;
        let unit = Unit::MicrosecondsPerSecond;
        self.record(row("processor", unit), at, rates.used_us / each, load)?;
        fleet.relay.model(|model| model.end(NUMBER));
        self.event(
            at,
            fleet,
            &Event { name: "region_heals".into(), what: EventAction::Heal },
            quiet,
        )
        .await
    }

    async fn event(
        &mut self,
        at: Point,
        fleet: &mut Fleet,
        event: &Event,
        quiet: Rates,
    ) -> Result<(), ScaleError> {
        let load = self.watch(fleet.alive());
        // The processor time of killed daemons can no longer be read, so only that of the others counts.
        if let EventAction::Kill(numbers) = &event.what {
            fleet.kill(numbers).await?;
        }
        let before = FleetUsage::of(fleet)?;
        if let EventAction::Start(numbers) = &event.what {
            fleet.start(self, numbers).await?;
        }
        let agreed = fleet.time_to_agreement(self.poll_interval(), AGREEMENT_TIMEOUT).await;
        sleep(TRAILING_PERIODS * self.options.period).await;
        let after = FleetUsage::of(fleet)?;
        let load = load.mean();
        // What a quiet fleet of the running daemons would have used in the same time.
        let alive = fleet.alive().count() as f64 / at.size as f64;
        let quiet = quiet.for_span(after.at - before.at);
        let bytes = after.bytes - before.bytes - quiet.bytes * alive;
        let datagrams = after.datagrams - before.datagrams - quiet.datagrams * alive;
        let used = after.used_us - before.used_us - quiet.used_us * alive;
        let row =
            |what, unit| measurement(format!("fleet.event.{}.{what}", event.name), unit, SIZE_OF);
        self.record(row("bytes", Unit::Bytes), at, bytes, load)?;
        self.record(row("datagrams", Unit::Count), at, datagrams, load)?;
        self.record(row("processor", Unit::Microseconds), at, used, load)?;
        // If the views never agreed, the row holds the time limit.
        let took = agreed.unwrap_or(AGREEMENT_TIMEOUT).as_secs_f64() * 1e3;
        self.record(row("time", Unit::Milliseconds), at, took, load)
    }
}

/// The failure and the return of a machine, a rack and a zone.
fn events(size: usize, seed: usize) -> Vec<Event> {
    let machine = vec![seed % size];
    let rack: Vec<usize> = (0..(size / RACK_COUNT).max(2)).map(|n| (n + seed * 7) % size).collect();
    let zone: Vec<usize> = (0..size).filter(|n| n % ZONES == seed % ZONES).collect();
    let groups = [("machine", machine), ("rack", rack), ("zone", zone)];
    let pair = |(name, who): (&str, Vec<usize>)| {
        [
            Event { name: format!("{name}_fails"), what: EventAction::Kill(who.clone()) },
            Event { name: format!("{name}_starts"), what: EventAction::Start(who) },
        ]
    };
    groups.into_iter().flat_map(pair).collect()
}
