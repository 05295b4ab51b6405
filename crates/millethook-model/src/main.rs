//! Command-line entry point: runs one plan, or searches many generated ones.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::{Args, Parser, Subcommand};
use millethook_model::fleet::play;
use millethook_model::generate;
use millethook_model::injected_fault::InjectedFault;
use millethook_model::plan::Plan;
use millethook_model::search::Search;

/// Simulates a whole fleet on a virtual clock, with the production decisions, under random faults.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one plan and checks it. Exit code 0: all rules hold. 1: a rule is violated. 2: the plan cannot be run.
    Run(Run),
    /// Runs the generated plans of many seeds and shrinks those that violate a rule. Exit codes as for `run`.
    Search(SearchArguments),
}

#[derive(Args)]
struct Run {
    /// The plan, a TOML file; `docs/model.md` describes its keys.
    #[arg(required_unless_present = "generated")]
    plan: Option<PathBuf>,
    /// Uses the plan that a search generates from this seed, instead of a file.
    #[arg(long, conflicts_with = "plan")]
    generated: Option<u64>,
    /// Overrides the plan's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Prints the plan before the run.
    #[arg(long)]
    show: bool,
    /// Prints run time and peak memory on standard error.
    #[arg(long)]
    cost: bool,
    /// Name of a fault to inject between the fleet and the decisions.
    #[arg(long = "wrong", value_name = "WRONG", value_parser = InjectedFault::named)]
    injected: Option<InjectedFault>,
}

#[derive(Args)]
struct SearchArguments {
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1_000)]
    count: u64,
    /// Number of threads.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// Starts no new seed after this many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// Does not shrink findings.
    #[arg(long)]
    whole: bool,
    /// Name of a fault to inject between the fleet and the decisions.
    #[arg(long = "wrong", value_name = "WRONG", value_parser = InjectedFault::named)]
    injected: Option<InjectedFault>,
    /// Writes each plan that violates a rule into this directory, as `seed-N.toml`.
    #[arg(long)]
    out: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Run(run) => run.run(),
        Command::Search(search) => search.run(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("millethook-model: {error}");
            ExitCode::from(2)
        }
    }
}

type BoxedError = Box<dyn std::error::Error>;

impl Run {
    /// Runs the plan and returns whether all rules hold.
    fn run(self) -> Result<bool, BoxedError> {
        let mut plan = match (&self.plan, self.generated) {
            (Some(path), _) => Plan::read(path)?,
            (None, seed) => generate::plan(seed.unwrap_or_default()),
        };
        plan.seed = self.seed.unwrap_or(plan.seed);
        if self.show {
            println!("{}", plan.to_toml());
        }
        let started = Instant::now();
        let report = play(&plan, self.injected)?;
        print!("{report}");
        if self.cost {
            let seconds = started.elapsed().as_secs_f64();
            eprintln!("{seconds:.2} s, {} kB at most", peak_memory_kb()?);
        }
        Ok(report.found == 0)
    }
}

/// Returns the peak resident memory of this process (`VmHWM`).
fn peak_memory_kb() -> Result<u64, BoxedError> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let text = line.ok_or("/proc/self/status: a line VmHWM expected, found none")?;
    Ok(text.trim().trim_end_matches(" kB").parse()?)
}

impl SearchArguments {
    /// Runs the search and returns whether no plan violated a rule.
    fn run(self) -> Result<bool, BoxedError> {
        let search = Search {
            seeds: self.from..self.from.saturating_add(self.count),
            threads: self.threads,
            injected: self.injected,
            time: self.seconds.map(Duration::from_secs),
            shrink: !self.whole,
            first_only: false,
        };
        if let Some(out) = &self.out {
            std::fs::create_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
        }
        let outcome = search.run()?;
        for found in &outcome.found {
            println!("# seed {}: {}", found.seed, found.finding);
            println!("{}", found.plan.to_toml());
            if let Some(out) = &self.out {
                let path = out.join(format!("seed-{}.toml", found.seed));
                std::fs::write(&path, found.plan.to_toml())
                    .map_err(|error| format!("{}: {error}", path.display()))?;
            }
        }
        let (played, found) = (outcome.played, outcome.found.len());
        println!(
            "{played} plans, {} requests, {} events: {found} break a rule; go on with --from {}",
            outcome.requests, outcome.events, outcome.next
        );
        Ok(outcome.found.is_empty())
    }
}
