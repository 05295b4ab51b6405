//! The command line of `millethook-lab`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use tracing_subscriber::EnvFilter;

use crate::compare::compare;
use crate::report;
use crate::single_run::{DaemonArgs, SingleRun, Verdict};
use crate::soak::command::Soak;
use crate::timeline::Timeline;
use crate::world::daemon::guard;

/// The environment variable that sets the lab's log levels.
const LOG_VARIABLE: &str = "MILLETHOOK_LAB_LOG";

/// Plays timelines of faults on many daemons at once and checks the behaviour of the whole fleet.
///
/// Exit codes: 0 all rules and expectations hold, 1 one does not, 2 the file or the command is wrong, 3 the run
/// does not count because the host was too slow.
#[derive(Parser, Debug)]
#[command(name = "millethook-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Check timelines and print all errors in them
    Check {
        /// The timeline files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Play a timeline on real processes
    Run(Run),
    /// Play timelines that are generated from seeds
    Soak(Soak),
    /// Compare two folders of runs, paired by timeline, size and seed
    Compare {
        /// Runs of one build or configuration
        first: PathBuf,
        /// Runs of the other build or configuration
        second: PathBuf,
    },
    /// Write one HTML page that shows all runs in a folder
    Report {
        /// The folder of runs
        folder: PathBuf,
    },
    /// Run a daemon that ends when the lab ends (internal)
    #[command(hide = true)]
    Guard {
        parent: i32,
        program: PathBuf,
        #[arg(last = true)]
        args: Vec<String>,
    },
}

#[derive(clap::Args, Debug)]
struct Run {
    /// The timeline file
    file: PathBuf,
    /// The number of daemons, in place of the file's; the number of servers scales with it
    #[arg(long)]
    processes: Option<usize>,
    /// The seed of the random arrivals and faults
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The folder to write the run's results to; without it only the verdict is printed
    #[arg(long)]
    out: Option<PathBuf>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// Runs the command line and returns its exit code.
pub fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .with_env_filter(filter)
        .init();
    let verdict = match Cli::parse().command {
        Command::Check { files } => check(&files),
        Command::Run(run) => run.carry_out(),
        Command::Soak(soak) => soak.execute(),
        Command::Compare { first, second } => compare_folders(&first, &second),
        Command::Report { folder } => {
            let written = report::read(&folder).and_then(|runs| report::write_page(&folder, &runs));
            report_result(&folder, written, |()| {
                println!("{}", folder.join(report::PAGE_FILE).display())
            })
        }
        Command::Guard { parent, program, args } => {
            eprintln!("{}: {}", program.display(), guard(parent, &program, &args));
            Verdict::Wrong
        }
    };
    verdict.into()
}

fn report_result<T>(of: &Path, result: std::io::Result<T>, on_success: impl FnOnce(T)) -> Verdict {
    match result {
        Ok(value) => {
            on_success(value);
            Verdict::Holds
        }
        Err(e) => {
            eprintln!("{}: {e}", of.display());
            Verdict::Wrong
        }
    }
}

fn check(files: &[PathBuf]) -> Verdict {
    let mut verdict = Verdict::Holds;
    for file in files {
        match Timeline::from_file(file) {
            Ok(timeline) => println!("{}: sound: {}", file.display(), timeline.run.about),
            Err(e) => {
                eprintln!("{e}");
                verdict = Verdict::Wrong;
            }
        }
    }
    verdict
}

fn compare_folders(first: &Path, second: &Path) -> Verdict {
    let mut sets = Vec::new();
    for folder in [first, second] {
        match report::read(folder) {
            Ok(runs) if !runs.is_empty() => sets.push(runs),
            Ok(_) => {
                eprintln!(
                    "{}: no runs found; expected a folder written by run --out",
                    folder.display()
                );
                return Verdict::Wrong;
            }
            Err(e) => {
                eprintln!("{}: {e}", folder.display());
                return Verdict::Wrong;
            }
        }
    }
    let differences = compare(&sets[0], &sets[1]);
    if differences.is_empty() {
        eprintln!(
            "the folders have no run in common: expected runs of the same timeline, number of processes and seed"
        );
        return Verdict::Wrong;
    }
    println!(
        "| run | figure | pairs | first | second | difference at 95% |\n| --- | --- | --- | --- | --- | --- |"
    );
    for d in differences {
        let [a, b] = d.means;
        println!("| {} | {} | {} | {a:.4} | {b:.4} | {} |", d.of, d.figure, d.pairs, d.verdict());
    }
    Verdict::Holds
}

impl Run {
    fn carry_out(&self) -> Verdict {
        let timeline = match Timeline::from_file(&self.file) {
            Ok(timeline) => timeline,
            Err(e) => {
                eprintln!("{e}");
                return Verdict::Wrong;
            }
        };
        let timeline = match self.processes {
            Some(n @ 1..=2_000) => timeline.with_processes(n),
            Some(n) => {
                eprintln!("--processes: expected 1 to 2000, got {n}");
                return Verdict::Wrong;
            }
            None => timeline,
        };
        let name = self.file.file_stem().map_or("timeline".into(), |s| s.to_string_lossy());
        let run = SingleRun {
            name: &name,
            seed: self.seed,
            out: self.out.as_deref(),
            daemon: &self.daemon,
        };
        run.execute(timeline).verdict
    }
}
