//! Measures the latency that a sidecar adds to a request, and its processor time per request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand_chacha::ChaCha8Rng;
use tokio::time::sleep;

use super::ScaleError;
use super::bench::{Bench, Measurement, Point, listed, measurement};
use super::callers::{Pool, RequestOutcomes};
use super::daemon::Daemon;
use super::load::LoadWatch;
use super::row::Unit;
use super::spinner::Spinner;
use crate::plan::stream;

/// Servers of the mean service.
const SERVERS: usize = 12;
/// Length of a block of requests that take the same path.
const BLOCK_LENGTH: Duration = Duration::from_millis(500);
/// Length of the warm-up, in which connections are opened.
const WARM_UP: Duration = Duration::from_millis(700);
/// One in this many pairs of blocks counts as calmest.
const CALMEST_DIVISOR: usize = 4;

/// Whether a process that keeps a core busy runs beside the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackgroundLoad {
    /// No such process.
    Nothing,
    /// One process that keeps a core busy. No affinity is set, so the kernel places it.
    Spinner,
}

impl BackgroundLoad {
    /// The prefix of the measurements' names.
    fn prefix(self) -> &'static str {
        match self {
            BackgroundLoad::Nothing => "sidecar.data_path",
            BackgroundLoad::Spinner => "sidecar.data_path.busy_core",
        }
    }
}

/// Two adjacent blocks of requests: one directly to the server and one through the daemon.
struct Pair {
    direct: RequestOutcomes,
    through: RequestOutcomes,
    /// The mean number of runnable threads of other programs meanwhile.
    load: f64,
    /// Processor time of the daemon during its block.
    used: Duration,
    /// Time in which the daemon was runnable but had no core.
    waited: Duration,
    /// The length of the block through the daemon.
    span: Duration,
}

/// A daemon, and connection pools through it and directly to a server.
struct Subject {
    daemon: Daemon,
    through: Arc<Pool>,
    direct: Arc<Pool>,
    rate: f64,
    random: ChaCha8Rng,
}

impl Bench {
    /// Measures the processor time of a daemon without requests, which only watches its list.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn idle(&mut self) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[12, 100, 1_000, 4_000, 16_000]) {
            for seed in self.options.seeds.clone() {
                let backends = self.backends(SERVERS, Duration::ZERO).await?;
                let registry = self.registry(listed(size, &backends)).await?;
                let daemon = self.daemon(&registry, seed, &|_| {}).await?;
                sleep(WARM_UP).await;
                let load = self.watch([&daemon]);
                let rate = self.idle_rate(&daemon).await?;
                let unit = Unit::MicrosecondsPerSecond;
                let idle = measurement("sidecar.processor.idle", unit, "listed_servers");
                self.record(idle, Point { size, seed }, rate, load.mean())?;
                daemon.stop().await?;
            }
        }
        Ok(())
    }

    /// Processor time per second of an idle daemon, in microseconds.
    pub(super) async fn idle_rate(&self, daemon: &Daemon) -> Result<f64, ScaleError> {
        let before = daemon.processor_time()?;
        sleep(self.options.span).await;
        let used = daemon.processor_time()? - before;
        Ok(used.as_secs_f64() * 1e6 / self.options.span.as_secs_f64())
    }

    /// Sends requests through a daemon and directly to a server, in alternating blocks.
    ///
    /// # Errors
    /// A part does not start.
    pub async fn data_path(&mut self, background: BackgroundLoad) -> Result<(), ScaleError> {
        for size in self.options.sizes_or(&[45, 450, 1_500, 4_500]) {
            for seed in self.options.seeds.clone() {
                let at = Point { size, seed };
                let backends = self.backends(SERVERS, Duration::ZERO).await?;
                let registry = self.registry(listed(SERVERS, &backends)).await?;
                let daemon = self.daemon(&registry, seed, &|_| {}).await?;
                let server = &backends[seed as usize % SERVERS];
                let mut subject = Subject {
                    through: Pool::new(daemon.listen),
                    direct: Pool::new(server.address),
                    rate: size as f64,
                    random: stream(seed, "calls", size as u64),
                    daemon,
                };
                subject.warm_up().await;
                let idle = self.idle_rate(&subject.daemon).await?;
                let (spinner, load) = self.background(&subject.daemon, background)?;
                let pairs = subject.pairs(self.options.span, load).await?;
                drop(spinner);
                self.record_processor(background, at, &pairs, idle)?;
                self.record_latency(background, at, pairs)?;
                subject.daemon.stop().await?;
            }
        }
        Ok(())
    }

    fn background(
        &self,
        daemon: &Daemon,
        background: BackgroundLoad,
    ) -> Result<(Option<Spinner>, LoadWatch), ScaleError> {
        if background == BackgroundLoad::Nothing {
            return Ok((None, self.watch([daemon])));
        }
        // The blocks of both paths take two spans; the rest allows for their ends.
        let span = 3 * self.options.span + Duration::from_secs(5);
        let spinner = Spinner::start(self.folder().to_owned(), span)?;
        let load = LoadWatch::start(vec![daemon.pid, spinner.pid()]);
        Ok((Some(spinner), load))
    }

    /// Records processor time per request, and failures, over all blocks.
    fn record_processor(
        &mut self,
        background: BackgroundLoad,
        at: Point,
        pairs: &[Pair],
        idle: f64,
    ) -> Result<(), ScaleError> {
        let load = pairs.iter().map(|p| p.load).sum::<f64>() / pairs.len().max(1) as f64;
        let idle = idle * pairs.iter().map(|p| p.span.as_secs_f64()).sum::<f64>();
        let used = pairs.iter().map(|p| p.used.as_secs_f64() * 1e6).sum::<f64>();
        let served = pairs.iter().map(|p| p.through.times_us.len()).sum::<usize>().max(1);
        let failed = pairs.iter().map(|p| p.through.failed).sum::<u64>();
        let waited = pairs.iter().map(|p| p.waited.as_secs_f64() * 1e6).sum::<f64>();
        let each = (used - idle) / served as f64;
        self.record(row(background, "processor", Unit::Microseconds), at, each, load)?;
        let waited = waited / served as f64;
        self.record(row(background, "without_a_core", Unit::Microseconds), at, waited, load)?;
        self.record(row(background, "failed", Unit::Count), at, failed as f64, load)
    }

    /// Records latency over all pairs of blocks, and over those with the lowest load by other programs.
    fn record_latency(
        &mut self,
        background: BackgroundLoad,
        at: Point,
        mut pairs: Vec<Pair>,
    ) -> Result<(), ScaleError> {
        pairs.sort_by(|a, b| a.load.total_cmp(&b.load));
        let calmest = pairs.len().div_ceil(CALMEST_DIVISOR);
        for (kept, suffix) in [(calmest, ".calmest"), (pairs.len(), "")] {
            let (mut direct, mut through, mut load) =
                (RequestOutcomes::default(), RequestOutcomes::default(), 0.0);
            for pair in pairs.iter().take(kept) {
                direct.extend(pair.direct.clone());
                through.extend(pair.through.clone());
                load += pair.load / kept as f64;
            }
            for (quantile, share) in [("p50", 0.5), ("p99", 0.99)] {
                let (past, by) = (direct.quantile(share), through.quantile(share));
                for (what, value) in [("direct", past), ("through", by), ("added", by - past)] {
                    let name = format!("{what}.{quantile}{suffix}");
                    self.record(row(background, &name, Unit::Microseconds), at, value, load)?;
                }
            }
        }
        Ok(())
    }
}

fn row(background: BackgroundLoad, name: &str, unit: Unit) -> Measurement {
    measurement(format!("{}.{name}", background.prefix()), unit, "calls_per_second")
}

impl Subject {
    /// Opens connections on both paths.
    async fn warm_up(&mut self) {
        self.through.run(self.rate, WARM_UP, &mut self.random).await;
        self.direct.run(self.rate, WARM_UP, &mut self.random).await;
    }

    /// Runs alternating blocks for `span` on each path. Which path comes first alternates, too.
    async fn pairs(&mut self, span: Duration, load: LoadWatch) -> Result<Vec<Pair>, ScaleError> {
        let block = BLOCK_LENGTH.min(span);
        let count = (span.as_secs_f64() / block.as_secs_f64()).round() as u32;
        let mut pairs = Vec::new();
        for nth in 0..count {
            load.take();
            let mut pair = Pair {
                direct: RequestOutcomes::default(),
                through: RequestOutcomes::default(),
                load: 0.0,
                used: Duration::ZERO,
                waited: Duration::ZERO,
                span: Duration::ZERO,
            };
            for way in 0..2 {
                if (nth + way) % 2 == 0 {
                    pair.direct = self.direct.run(self.rate, block, &mut self.random).await;
                } else {
                    let (before, begun) = (self.daemon.scheduled()?, Instant::now());
                    pair.through = self.through.run(self.rate, block, &mut self.random).await;
                    let after = self.daemon.scheduled()?;
                    pair.used = after.ran - before.ran;
                    pair.waited = after.waited - before.waited;
                    pair.span = begun.elapsed();
                }
            }
            pair.load = load.take();
            pairs.push(pair);
        }
        Ok(pairs)
    }
}
