//! What callers see: an open loop before servers with places and queues, while something goes wrong.

use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clap::ValueEnum;

use crate::contestant::{Contestant, Running};
use crate::fleet::{Fleet, Work};
use crate::report::{Table, plot};
use crate::{Fault, load, pin};

/// A server that is well: two places, 4 ms of work on the mean, so some 500 requests a second.
const WELL: Work =
    Work { slots: 2, queue: 100, mean: Some(Duration::from_millis(4)), errs: false, silent: false };
const SERVERS: usize = 8;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Nothing; half of what the servers can do.
    Well,
    /// Nothing; nine tenths of it.
    Load90,
    /// 1.3 times what the servers can do.
    Load130,
    /// One server of eight takes ten times as long.
    Slow,
    /// One server of eight answers 500 at once, and so looks the quickest and emptiest.
    Errs,
    /// One server of eight accepts, reads and never answers.
    BlackHole,
    /// Three servers of ten are replaced by new ones, one after the other.
    Replaced,
}

impl Scenario {
    /// The ones named, or all.
    pub fn or_all(named: Vec<Scenario>) -> Vec<Scenario> {
        if named.is_empty() { Scenario::value_variants().to_vec() } else { named }
    }

    fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }

    fn works(self) -> Vec<Work> {
        let mut works = vec![WELL; if self == Scenario::Replaced { 10 } else { SERVERS }];
        match self {
            Scenario::Slow => works[0].mean = Some(Duration::from_millis(40)),
            Scenario::Errs => works[0].errs = true,
            Scenario::BlackHole => works[0].silent = true,
            _ => {}
        }
        works
    }

    /// Requests a second.
    fn rate(self) -> f64 {
        let share = match self {
            Scenario::Load90 => 0.9,
            Scenario::Load130 => 1.3,
            _ => 0.5,
        };
        // What a sick server does not do is not counted on.
        let well =
            self.works().iter().filter(|w| !w.errs && !w.silent && w.mean == WELL.mean).count();
        share * WELL.capacity() * well as f64
    }
}

/// Plays every scenario with every contestant.
///
/// # Errors
/// A part of a run did not start, or a file could not be written.
pub fn run(
    seconds: u64,
    scenarios: &[Scenario],
    contestants: &[Contestant],
    seed: u64,
    out: Option<PathBuf>,
) -> Result<(), Fault> {
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
            let (outcomes, cpu) = play(scenario, contestant, span, seed)?;
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

fn play(
    scenario: Scenario,
    contestant: Contestant,
    span: Duration,
    seed: u64,
) -> Result<(load::Outcomes, Duration), Fault> {
    let mut fleet = Fleet::start(&scenario.works())?;
    let running = Running::start(contestant, fleet.agent.address)?;
    let to = running.as_ref().map_or_else(|| fleet.addresses(), |running| vec![running.at]);
    let targets = Arc::new(Mutex::new(to));
    let play = |rate: f64, span, seed| {
        let targets = targets.clone();
        std::thread::spawn(move || load::open(&targets, rate, span, seed))
    };
    let panicked = |_| "a caller's thread panicked";
    // A gentle start, not counted: connections, capacities and answer times are learned.
    play(scenario.rate() / 2.0, span / 5, seed + 1).join().map_err(panicked)??;
    let used = || running.as_ref().and_then(|r| pin::cpu(r.pid())).unwrap_or_default();
    let before = used();
    let playing = play(scenario.rate(), span, seed);
    if scenario == Scenario::Replaced {
        for _ in 0..3 {
            std::thread::sleep(span / 4);
            fleet.replace_one(WELL)?;
            if running.is_none() {
                *targets.lock().unwrap_or_else(PoisonError::into_inner) = fleet.addresses();
            }
        }
    }
    let outcomes = playing.join().map_err(panicked)??;
    Ok((outcomes, used() - before))
}
