//! Simulates or runs chains and prints rows for `docs/capacity/depth.csv`.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use millethook_depth::chain::{AIM_IN_WORK, Chain};
use millethook_depth::{model, processes, rows};

/// Counts the attempts that one call at the root of a chain of services causes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulates chains of several depths on a virtual clock, with the balancer's decision module.
    Model {
        /// Depths of the chains.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3,5,8,11")]
        depths: Vec<usize>,
        /// Loads, as shares of the capacity of one tier.
        #[arg(long, value_delimiter = ',', default_value = "0.1,0.9,1.05,1.3")]
        loads: Vec<f64>,
        /// Target answer time of one tier, in mean processing times.
        #[arg(long, default_value_t = AIM_IN_WORK, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        aim_in_work: u64,
        /// Number of runs; the seeds are 1 to this number.
        #[arg(long, default_value_t = 5)]
        seeds: u64,
    },
    /// Runs chains of daemons on loopback. The program `plankvale` must be in the same directory as this one.
    Processes {
        /// Depths of the chains, 3 at most.
        #[arg(long, value_delimiter = ',', default_value = "3")]
        depths: Vec<usize>,
        /// Loads, as shares of the capacity of one tier.
        #[arg(long, value_delimiter = ',', default_value = "0.1,0.9,1.05,1.3")]
        loads: Vec<f64>,
        /// Number of runs; the seeds are 1 to this number.
        #[arg(long, default_value_t = 2)]
        seeds: u64,
    },
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Model { depths, loads, aim_in_work, seeds } => {
            run_model(&depths, &loads, aim_in_work, seeds)
        }
        Command::Processes { depths, loads, seeds } => run_processes(&depths, &loads, seeds),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// Maximum depth with processes: nine daemons, and a few hundred threads for each tier.
const MAX_PROCESS_DEPTH: usize = 3;

/// Returns three chains for each load: all tiers healthy, the last one bad, and the last one down.
fn cases(depth: usize, loads: &[f64], seed: u64) -> Vec<Chain> {
    let chains_of_load = |load: &f64| {
        let healthy = Chain::with_defaults(depth, *load, seed);
        let bad = healthy.clone().with_bad_tier(depth - 1);
        let down = Chain { error_share: 1.0, ..bad.clone() };
        [healthy, bad, down]
    };
    loads.iter().flat_map(chains_of_load).collect()
}

fn run_model(depths: &[usize], loads: &[f64], aim_in_work: u64, seeds: u64) -> Result<(), String> {
    check_loads(loads)?;
    print!("{}", rows::HEADER);
    for depth in depths.iter().copied().filter(|depth| *depth > 0) {
        for seed in 1..=seeds {
            for chain in cases(depth, loads, seed) {
                let chain = Chain { aim_in_work, ..chain };
                let tally = model::play(&chain)?;
                print!("{}", rows::rows(&chain, &tally, "model", "virtual clock"));
            }
        }
    }
    Ok(())
}

fn run_processes(depths: &[usize], loads: &[f64], seeds: u64) -> Result<(), String> {
    if let Some(depth) = depths.iter().find(|depth| !(1..=MAX_PROCESS_DEPTH).contains(*depth)) {
        return Err(format!("depths: 1 to {MAX_PROCESS_DEPTH} expected, found {depth}"));
    }
    check_loads(loads)?;
    print!("{}", rows::HEADER);
    for depth in depths.iter().copied() {
        for seed in 1..=seeds {
            for chain in cases(depth, loads, seed) {
                let tally = processes::run(&chain);
                print!("{}", rows::rows(&chain, &tally, "processes", &machine_load()));
            }
        }
    }
    Ok(())
}

/// The clients here cannot generate more than ten times the capacity of a tier.
const MAX_LOAD: f64 = 10.0;

fn check_loads(loads: &[f64]) -> Result<(), String> {
    let fits = |load: &f64| *load > 0.0 && *load <= MAX_LOAD;
    match loads.iter().find(|load| !fits(load)) {
        Some(load) => Err(format!("loads: above 0, up to {MAX_LOAD} expected, found {load}")),
        None => Ok(()),
    }
}

/// Describes other load on the machine by its load average over one minute.
fn machine_load() -> String {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let load = text.split(' ').next().unwrap_or_default();
    if load.is_empty() { "unknown".to_owned() } else { format!("load average {load}") }
}
