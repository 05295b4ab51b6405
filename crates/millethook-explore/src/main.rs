//! Command-line entry point: runs the exploration and prints its extent and its findings.

use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use millethook_explore::mutant::Mutant;
use millethook_explore::scenario::{Bounds, Scenario};
use millethook_explore::search::{Report, Task, explore_all, find_smallest};
use millethook_explore::shrink::{describe, shrink};

/// Explores all orders of events of a few requests and servers against the production decisions.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Number of servers: 2 or 3.
    #[arg(long, default_value_t = 2)]
    servers: usize,
    /// Number of requests: 1 to 4.
    #[arg(long, default_value_t = 2)]
    requests: usize,
    /// Number of seeds for the balancer's random numbers, counted from 1.
    #[arg(long, default_value_t = 2)]
    seeds: u64,
    /// Number of threads.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Maximum counted events of a path: answers, first bytes, list changes, client departures, late timers and
    /// outcomes.
    #[arg(long, default_value_t = 2)]
    events: u8,
    /// Maximum list changes among these.
    #[arg(long, default_value_t = 1)]
    list_changes: u8,
    /// Maximum number of times among these that a due timer or outcome is late.
    #[arg(long, default_value_t = 1)]
    late: u8,
    /// Maximum states of one scenario and seed; its exploration stops there.
    #[arg(long, default_value_t = 10_000_000)]
    states: usize,
    /// Explores only scenarios whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,
    /// Injects each mutant in turn, and reports whether and how it is found.
    #[arg(long)]
    mutants: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let scenarios = match Scenario::all(arguments.servers, arguments.requests) {
        Ok(scenarios) => scenarios,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let named = scenarios.into_iter().filter(|scenario| scenario.name.contains(&arguments.only));
    let tasks = Task::all(named.collect(), arguments.seeds);
    let bounds = Bounds {
        events: arguments.events,
        list_changes: arguments.list_changes,
        late: arguments.late,
        states: arguments.states,
    };
    let passed = if arguments.mutants {
        run_mutants(&tasks, &bounds)
    } else {
        run_exploration(&tasks, &bounds, arguments.threads)
    };
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Explores all tasks; returns whether nothing was found.
fn run_exploration(tasks: &[Task], bounds: &Bounds, threads: usize) -> bool {
    let started = Instant::now();
    let Report { states, steps, merged, paths, longest, cut, time, found } =
        explore_all(tasks, bounds, threads);
    println!("starts {} (scenarios by seeds), cut {cut}", tasks.len());
    println!("states {states}, steps {steps}, merged {merged}, paths {paths}, longest {longest}");
    let (all, each) = (started.elapsed().as_secs_f64(), time.as_secs_f64());
    println!("time {all:.1} s on {threads} threads, {each:.1} s of threads");
    println!("findings {}", found.len());
    let smallest = found.iter().map(shrink).min_by_key(|found| found.steps.len());
    if let Some(found) = smallest {
        println!("{}", describe(&found));
    }
    found.is_empty()
}

/// Injects each mutant; returns whether all were found.
fn run_mutants(tasks: &[Task], bounds: &Bounds) -> bool {
    let mut missed = 0;
    for mutant in Mutant::ALL {
        let with = |task: &Task| Task { mutant: Some(mutant), ..task.clone() };
        let found = tasks.iter().map(with).find_map(|task| find_smallest(&task, bounds));
        match found {
            Some(found) => println!("{mutant:?}: found\n{}", describe(&shrink(&found))),
            None => {
                missed += 1;
                println!("{mutant:?}: MISSED");
            }
        }
    }
    println!("mutants {}, missed {missed}", Mutant::ALL.len());
    missed == 0
}
