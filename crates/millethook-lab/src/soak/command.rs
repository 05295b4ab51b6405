//! `millethook-lab soak`: draws, runs and judges timelines by their seeds, one after another.

use std::path::{Path, PathBuf};
use std::str::FromStr;

use super::draw;
use crate::single_run::{DaemonArgs, RunResult, SingleRun, Verdict};
use crate::timeline::Timeline;

/// Name of the timeline file in a run's directory, for a repetition by `run`.
pub const TIMELINE_FILE: &str = "timeline.toml";

/// The arguments of `soak`.
#[derive(clap::Args, Debug)]
pub struct Soak {
    /// One seed, or the first and the last one of a range: `1..50`
    #[arg(long)]
    seed: Seeds,
    /// Print the timelines instead of running them
    #[arg(long)]
    print: bool,
    /// Directory for the files of each run and its timeline, in a subdirectory named by its seed
    #[arg(long)]
    out: Option<PathBuf>,
    #[command(flatten)]
    daemon: DaemonArgs,
}

/// A range of seeds, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seeds {
    first: u64,
    last: u64,
}

/// The error of parsing seeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a number, or the first and the last of several as in 1..50, expected")]
pub struct SeedsError;

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(text: &str) -> Result<Seeds, SeedsError> {
        let (first, last) = text.split_once("..").unwrap_or((text, text));
        let first = first.parse().map_err(|_| SeedsError)?;
        let last = last.parse().map_err(|_| SeedsError)?;
        if first > last {
            return Err(SeedsError);
        }
        Ok(Seeds { first, last })
    }
}

/// Number of seeds by verdict.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    held: usize,
    broken: usize,
    did_not_count: usize,
}

impl Soak {
    /// Runs all seeds. A broken rule takes precedence over a run that does not count.
    pub fn execute(&self) -> Verdict {
        let mut counts = Counts::default();
        for seed in self.seed.first..=self.seed.last {
            let (timeline, text) = match draw_file(seed) {
                Ok(drawn) => drawn,
                Err(e) => {
                    eprintln!("seed {seed}: {e}");
                    return Verdict::Wrong;
                }
            };
            if self.print {
                print!("{text}");
                continue;
            }
            match self.play(seed, timeline, &text) {
                Verdict::Holds => counts.held += 1,
                Verdict::Broken => counts.broken += 1,
                Verdict::DoesNotCount => counts.did_not_count += 1,
                Verdict::Wrong => return Verdict::Wrong,
            }
        }
        if !self.print {
            let Counts { held, broken, did_not_count } = counts;
            println!(
                "soak: {held} seeds held, {broken} broke a rule, {did_not_count} do not count"
            );
        }
        match counts {
            Counts { broken: 1.., .. } => Verdict::Broken,
            Counts { did_not_count: 1.., .. } => Verdict::DoesNotCount,
            Counts { .. } => Verdict::Holds,
        }
    }

    fn play(&self, seed: u64, timeline: Timeline, text: &str) -> Verdict {
        let folder = self.out.as_ref().map(|out| out.join(format!("seed-{seed}")));
        if let Some(folder) = &folder
            && let Err(e) = write(folder, text)
        {
            eprintln!("--out: {}: {e}", folder.display());
            return Verdict::Wrong;
        }
        let run = SingleRun { name: "drawn", seed, out: folder.as_deref(), daemon: &self.daemon };
        let result = run.execute(timeline);
        print_result(seed, &result);
        result.verdict
    }
}

/// The timeline of a seed, read back from its file's text, and that text.
fn draw_file(seed: u64) -> Result<(Timeline, String), String> {
    let text = draw(seed).to_toml().map_err(|e| e.to_string())?;
    let read = Timeline::from_toml(&text);
    let timeline = read.map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        faults.join("; ")
    })?;
    Ok((timeline, text))
}

fn write(folder: &Path, text: &str) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join(TIMELINE_FILE), text)
}

/// Prints one line of the soak's report.
fn print_result(seed: u64, result: &RunResult) {
    let verdict = match result.verdict {
        Verdict::Holds => "held",
        Verdict::Broken => "BROKE A RULE",
        Verdict::DoesNotCount => "does not count",
        Verdict::Wrong => "wrong",
    };
    match &result.figures {
        Some(f) => println!(
            "soak seed {seed}: {verdict}, {} faults, served {:.3}, arrivals late p99 {:.1} ms, \
             a daemon waited {:.0} ms for a processor",
            f.faults.len(),
            f.served,
            f.late_p99_ms,
            f.processes.daemon_waited_s * 1e3
        ),
        None => println!("soak seed {seed}: {verdict}"),
    }
}
