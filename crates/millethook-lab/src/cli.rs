//! The command line.

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

/// The variable with the lab's log levels.
const LOG: &str = "MILLETHOOK_LAB_LOG";

/// Plays timelines of faults on many daemons at once and judges what they did together.
///
/// Exit codes: 0 all rules and expectations hold, 1 one does not, 2 the file or the command is wrong, 3 the run
/// does not count.
#[derive(Parser, Debug)]
#[command(name = "millethook-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand, Debug)]
enum Command {
    /// Tell all that is wrong with timelines
    Check {
        /// The files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Play a timeline on real processes
    Run(Run),
    /// Play timelines that are drawn from seeds
    Soak(Soak),
    /// Compare two folders of runs, paired by timeline, size and seed
    Compare {
        /// Runs of one build or configuration
        first: PathBuf,
        /// Runs of the other
        second: PathBuf,
    },
    /// Write one page over all runs in a folder
    Report {
        /// The folder
        folder: PathBuf,
    },
    /// Become a daemon that ends with the lab; for the lab itself
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
    /// The timeline
    file: PathBuf,
    /// So many daemons, in place of what the file says; servers follow
    #[arg(long)]
    processes: Option<usize>,
    /// What arrivals and faults are drawn by
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the run is written down; without it only the verdict is printed
    #[arg(long)]
    out: Option<PathBuf>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// The program.
pub fn main() -> ExitCode {
    let filter = EnvFilter::try_from_env(LOG).unwrap_or_else(|_| EnvFilter::new("warn"));
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
            let written = report::read(&folder).and_then(|runs| report::page(&folder, &runs));
            told(&folder, written, |()| println!("{}", folder.join(report::PAGE).display()))
        }
        Command::Guard { parent, program, args } => {
            eprintln!("{}: {}", program.display(), guard(parent, &program, &args));
            Verdict::Wrong
        }
    };
    verdict.into()
}

fn told<T>(of: &Path, result: std::io::Result<T>, tell: impl FnOnce(T)) -> Verdict {
    match result {
        Ok(value) => {
            tell(value);
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
                    "{}: no runs in it; a folder written by run --out expected",
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
            "no run of one folder has its pair in the other: same timeline, processes and seed expected"
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
                eprintln!("--processes: 1 to 2000 expected, not {n}");
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
