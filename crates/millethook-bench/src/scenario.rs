//! Measures what clients see: an open loop of requests to servers with slots and queues, during faults.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clap::ValueEnum;

use crate::contestant::{Contestant, RunningContestant};
use crate::fleet::{Fleet, ServerBehavior};
use crate::report::{Table, plot};
use crate::{BenchError, load, pin};

/// A healthy server: two slots and a mean service time of 4 ms, so about 500 requests per second.
const HEALTHY: ServerBehavior = ServerBehavior {
    slots: 2,
    queue: 100,
    mean: Some(Duration::from_millis(4)),
    errs: false,
    silent: false,
};
const SERVERS: usize = 8;

/// A load or fault scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// No fault, at half of the servers' capacity.
    Well,
    /// No fault, at 90% of the servers' capacity.
    Load90,
    /// No fault, at 1.3 times the servers' capacity.
    Load130,
    /// One server of eight takes ten times as long.
    Slow,
    /// One server of eight answers 500 immediately, and so appears to be the fastest and least loaded.
    Errs,
    /// One server of eight accepts, reads and never answers.
    Silent,
    /// Three servers of ten are replaced by new ones, one at a time.
    Replaced,
}

impl Scenario {
    /// Returns the given scenarios, or all if none is given.
    pub fn or_all(named: Vec<Scenario>) -> Vec<Scenario> {
        if named.is_empty() { Scenario::value_variants().to_vec() } else { named }
    }

    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }

    fn behaviors(self) -> Vec<ServerBehavior> {
        let mut behaviors = vec![HEALTHY; if self == Scenario::Replaced { 10 } else { SERVERS }];
        match self {
            Scenario::Slow => behaviors[0].mean = Some(Duration::from_millis(40)),
            Scenario::Errs => behaviors[0].errs = true,
            Scenario::Silent => behaviors[0].silent = true,
            _ => {}
        }
        behaviors
    }

    /// Returns the rate in requests per second.
    fn rate(self) -> f64 {
        let share = match self {
            Scenario::Load90 => 0.9,
            Scenario::Load130 => 1.3,
            _ => 0.5,
        };
        // The capacity of faulty servers is not counted.
        let healthy = self
            .behaviors()
            .iter()
            .filter(|w| !w.errs && !w.silent && w.mean == HEALTHY.mean)
            .count();
        share * HEALTHY.capacity() * healthy as f64
    }
}

/// Runs every scenario with every contestant.
///
/// # Errors
/// Fails if a part of a run does not start, or a file cannot be written.
pub fn run(
    seconds: u64,
    scenarios: &[Scenario],
    contestants: &[Contestant],
    seed: u64,
    out: Option<PathBuf>,
) -> Result<(), BenchError> {
    let span = Duration::from_secs(seconds);
    let mut table = Table::new(&[
        "scenario",
        "contestant",
        "due/s",
        "served %",
        "in aim %",
        "refused %",
        "failed %",
        "p50 ms",
        "p90 ms",
        "p99 ms",
        "p99.9 ms",
        "CPU us",
    ]);
    if let Some(out) = &out {
        std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    }
    for &scenario in scenarios {
        let mut lines = Vec::new();
        for &contestant in contestants {
            let (outcomes, cpu) = run_load(scenario, contestant, span, seed)?;
            let due = outcomes.due.max(1) as f64;
            let share = |n: u64| 100.0 * n as f64 / due;
            let figures = [
                due / span.as_secs_f64(),
                share(outcomes.served),
                share(outcomes.in_aim),
                share(outcomes.refused),
                share(outcomes.failed),
                outcomes.ms(0.5),
                outcomes.ms(0.9),
                outcomes.ms(0.99),
                outcomes.ms(0.999),
                cpu.as_secs_f64() * 1e6 / due,
            ];
            table.row(&scenario.name(), &contestant.name(), &figures);
            lines.push((contestant.name(), outcomes.times));
        }
        if let Some(out) = &out {
            let name = scenario.name();
            plot(&out.join(format!("{name}.svg")), &format!("{name}: answer times"), &lines)?;
        }
    }
    table.print();
    match out {
        Some(out) => table.save(&out.join("faults.csv")),
        None => Ok(()),
    }
}

fn run_load(
    scenario: Scenario,
    contestant: Contestant,
    span: Duration,
    seed: u64,
) -> Result<(load::Outcomes, Duration), BenchError> {
    let mut fleet = Fleet::start(&scenario.behaviors())?;
    let running = RunningContestant::start(contestant, fleet.agent.address)?;
    let to = running.as_ref().map_or_else(|| fleet.addresses(), |running| vec![running.at]);
    let targets = Arc::new(Mutex::new(to));
    let run_load = |rate: f64, span, seed| {
        let targets = targets.clone();
        std::thread::spawn(move || load::open(&targets, rate, span, seed))
    };
    let panicked = |_| "a caller's thread panicked";
    // A warm-up at low rate that is not counted: it opens connections, and balancers learn capacities and answer
    // times.
    run_load(scenario.rate() / 2.0, span / 5, seed + 1).join().map_err(panicked)??;
    let used = || running.as_ref().and_then(|r| pin::cpu(r.pid())).unwrap_or_default();
    let before = used();
    let load_thread = run_load(scenario.rate(), span, seed);
    if scenario == Scenario::Replaced {
        for _ in 0..3 {
            std::thread::sleep(span / 4);
            fleet.replace_one(HEALTHY)?;
            if running.is_none() {
                *targets.lock().unwrap_or_else(PoisonError::into_inner) = fleet.addresses();
            }
        }
    }
    let outcomes = load_thread.join().map_err(panicked)??;
    Ok((outcomes, used() - before))
}
