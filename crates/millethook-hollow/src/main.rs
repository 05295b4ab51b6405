//! `millethook-hollow`: runs plans with hollow sidecars.
#![forbid(unsafe_code)]

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use millethook_hollow::conductor::{self, StepResult};
use millethook_hollow::figures::{HEADER, csv, rows};
use millethook_hollow::plan::Plan;
use millethook_hollow::{HollowError, host};

/// Runs the control state machines of thousands of sidecars on this machine.
#[derive(Parser, Debug)]
#[command(name = "millethook-hollow", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Run a plan and print its figures
    Run(Run),
    /// Run as one of a run's host processes; commands are read from standard input
    Host,
}

#[derive(clap::Args, Debug)]
struct Run {
    /// Path of the plan (TOML)
    plan: PathBuf,
    /// Number of sidecars, instead of the plan's
    #[arg(long)]
    size: Option<u16>,
    /// Number of host processes for sidecars, instead of the plan's
    #[arg(long)]
    hosts: Option<usize>,
    /// Random seed, instead of the plan's
    #[arg(long)]
    seed: Option<u64>,
    /// Seconds of the machine's clock per second of the run, instead of the plan's
    #[arg(long)]
    dilation: Option<f64>,
    /// Bytes per second that each sidecar may send, instead of the plan's
    #[arg(long)]
    bytes_per_second: Option<u32>,
    /// Prefix for the names of all measurements
    #[arg(long)]
    label: Option<String>,
    /// CSV file to append rows to
    #[arg(long)]
    csv: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(run) => run_plan(&run),
        Command::Host => host::run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn run_plan(run: &Run) -> Result<(), HollowError> {
    let mut plan = Plan::read(&run.plan)?;
    plan.size = run.size.unwrap_or(plan.size);
    plan.hosts = run.hosts.unwrap_or(plan.hosts);
    plan.dilation = run.dilation.unwrap_or(plan.dilation);
    plan.seed = run.seed.unwrap_or(plan.seed);
    let rate = &mut plan.sidecar.bytes_per_second;
    *rate = run.bytes_per_second.unwrap_or(*rate);
    let program = std::env::current_exe().map_err(HollowError::system("find this program"))?;
    let mut failed = Ok(());
    conductor::run(&plan, &program, |done| {
        let written = print_step(run, &plan, done);
        if failed.is_ok() {
            failed = written;
        }
    })?;
    failed
}

/// Prints the rows of a step and appends them to the CSV file.
fn print_step(run: &Run, plan: &Plan, done: &StepResult) -> Result<(), HollowError> {
    let mut rows = rows(plan, done);
    if let Some(label) = &run.label {
        rows.iter_mut().for_each(|row| row.measurement = format!("{label}.{}", row.measurement));
    }
    for row in &rows {
        println!("{:<48} {:>14.3} {}", row.measurement, row.value, row.unit);
    }
    match &run.csv {
        Some(path) => append_rows(path, &csv(plan, &rows)),
        None => Ok(()),
    }
}

fn append_rows(path: &Path, lines: &str) -> Result<(), HollowError> {
    let new = !path.exists();
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.map_err(HollowError::system("open the CSV file"))?;
    let head = if new { format!("{HEADER}\n") } else { String::new() };
    file.write_all(format!("{head}{lines}").as_bytes())
        .map_err(HollowError::system("write the CSV file"))
}
