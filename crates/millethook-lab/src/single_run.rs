//! One run of a timeline on real processes: run, judged, printed, and written to files if requested.

use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use indicatif::{ProgressBar, ProgressDrawTarget};

use crate::figures::lists::ListFigures;
use crate::figures::{Figures, figures, missed};
use crate::ledger::judge::{Breach, judge};
use crate::plan::Plan;
use crate::report;
use crate::timeline::{RunKeys, Timeline};
use crate::world::{Options, Outcome, play};

/// The result of a command; the number is its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All rules and expectations hold.
    Holds = 0,
    /// A rule or an expectation does not hold.
    Broken = 1,
    /// The timeline file or the command line is invalid.
    Wrong = 2,
    /// The run does not count.
    DoesNotCount = 3,
}

impl From<Verdict> for ExitCode {
    fn from(verdict: Verdict) -> ExitCode {
        ExitCode::from(verdict as u8)
    }
}

/// Options of the daemon to run.
#[derive(clap::Args, Debug)]
pub struct DaemonArgs {
    /// Path of the daemon's executable; default: plankvale in the directory of this program
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// An argument for the daemon; may be given several times
    #[arg(long = "daemon-arg", allow_hyphen_values = true)]
    daemon_args: Vec<String>,
}

impl DaemonArgs {
    /// The daemon's executable; prints an error if it is missing.
    fn program(&self) -> Option<PathBuf> {
        let Some(program) = self.daemon.clone().or_else(sibling_daemon) else {
            eprintln!(
                "no plankvale beside this program: build it (cargo build -p plankvale), or name it by --daemon"
            );
            return None;
        };
        if !program.is_file() {
            eprintln!("--daemon: {}: a program expected", program.display());
            return None;
        }
        Some(program)
    }
}

/// A run to be made.
#[derive(Debug)]
pub struct SingleRun<'r> {
    /// The timeline's name in the figures.
    pub name: &'r str,
    /// Seed of arrivals and faults.
    pub seed: u64,
    /// Directory for the run's files; `None` prints only the verdict.
    pub out: Option<&'r Path>,
    /// Options of the daemon to run.
    pub daemon: &'r DaemonArgs,
}

/// The result of a run.
#[derive(Debug)]
pub struct RunResult {
    /// The verdict.
    pub verdict: Verdict,
    /// The run's figures; `None` if the run was aborted.
    pub figures: Option<Figures>,
}

impl RunResult {
    fn without_figures(verdict: Verdict) -> RunResult {
        RunResult { verdict, figures: None }
    }
}

impl SingleRun<'_> {
    /// Runs the timeline, judges it and prints the verdict. This must be called on the main thread, since the daemons
    /// end with the thread that starts them.
    pub fn execute(&self, timeline: Timeline) -> RunResult {
        let Some(program) = self.daemon.program() else {
            return RunResult::without_figures(Verdict::Wrong);
        };
        let temporary = std::env::temp_dir().join(format!("millethook-lab-{}", std::process::id()));
        let folder = self.out.unwrap_or(&temporary);
        let args = self.daemon.daemon_args.clone();
        let options = Options { program, args, folder: folder.join("logs") };
        let plan = Arc::new(Plan::new(&timeline, self.seed));
        let timeline = Arc::new(timeline);
        let played = run_to_end(&timeline, &plan, &options);
        let result = match played {
            Ok(outcome) => self.judge(&timeline, &plan, &outcome),
            Err(e) => {
                eprintln!("the run does not count: {e}");
                RunResult::without_figures(Verdict::DoesNotCount)
            }
        };
        if self.out.is_none() {
            // The temporary directory is best removed; if that fails, it is left to the system's cleanup.
            let _ = std::fs::remove_dir_all(&temporary);
        }
        result
    }

    fn judge(&self, timeline: &Timeline, plan: &Plan, outcome: &Outcome) -> RunResult {
        let breaches = judge(&outcome.records, &timeline.classes, &timeline.rules);
        let mut figures = figures(self.name, timeline, plan, outcome);
        figures.faults.extend(outcome.records.findings.iter().cloned());
        figures.faults.extend(breaches.iter().map(|b| match b.request {
            Some(id) => format!("{}: request {}: {}", b.rule, id.to_hex(), b.text),
            None => format!("{}: {}", b.rule, b.text),
        }));
        // A run that ended early does not have complete figures, so expectations are not checked.
        if outcome.records.findings.is_empty() {
            figures.faults.extend(missed(timeline, &figures));
        }
        let late = breaches.iter().filter(|b| b.timing_only).count();
        let timing_only = late > 0 && late == figures.faults.len();
        figures.void = too_slow(&timeline.run, &figures, timing_only);
        print(&figures, &breaches);
        if let Some(folder) = self.out
            && let Err(e) = report::write(folder, &figures, outcome, &breaches)
        {
            eprintln!("--out: {}: {e}", folder.display());
            return RunResult::without_figures(Verdict::Wrong);
        }
        let verdict = match (&figures.void, figures.faults.is_empty()) {
            (Some(_), _) => Verdict::DoesNotCount,
            (None, true) => Verdict::Holds,
            (None, false) => Verdict::Broken,
        };
        RunResult { verdict, figures: Some(figures) }
    }
}

/// The reason why the host was too slow for the run to count, if it was. A daemon's wait for a processor excuses only
/// a run whose faults are all about timing (`timing_only`).
fn too_slow(bounds: &RunKeys, figures: &Figures, timing_only: bool) -> Option<String> {
    if figures.late_p99_ms > bounds.late_p99_ms {
        return Some(format!(
            "the run does not count: the host was too slow, 1 arrival in 100 was over {:.1} ms late, \
             late_p99_ms allows {}",
            figures.late_p99_ms, bounds.late_p99_ms
        ));
    }
    let waited_ms = figures.processes.daemon_waited_s * 1e3;
    let bound_ms = bounds.processor_wait_ms;
    (timing_only && bound_ms > 0.0 && waited_ms > bound_ms).then(|| {
        format!(
            "the run does not count: the host was too slow, a daemon waited {waited_ms:.0} ms for a processor, \
             processor_wait_ms allows {bound_ms}"
        )
    })
}

/// Runs the plan on a runtime whose main task stays on this thread.
fn run_to_end(
    timeline: &Arc<Timeline>,
    plan: &Arc<Plan>,
    options: &Options,
) -> Result<Outcome, String> {
    let target = match std::io::stderr().is_terminal() {
        true => ProgressDrawTarget::stderr(),
        false => ProgressDrawTarget::hidden(),
    };
    let progress = ProgressBar::with_draw_target(None, target);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let outcome = runtime.block_on(async {
        let played = play(timeline.clone(), plan.clone(), options, &progress);
        tokio::select! {
            played = played => played.map_err(|e| e.to_string()),
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
        }
    });
    progress.finish_and_clear();
    // Dropping the process handles kills the daemons.
    runtime.shutdown_timeout(Duration::from_secs(1));
    outcome
}

/// The daemon's executable in the directory of this program.
fn sibling_daemon() -> Option<PathBuf> {
    let mut path = std::env::current_exe().ok()?;
    path.set_file_name("plankvale");
    path.is_file().then_some(path)
}

/// Formats the figures of calls to discovery.
fn format_lists(of: &ListFigures) -> String {
    let all = of.all_s.map_or("not all have a list".into(), |s| {
        format!("all have a list {s:.2} s after its end ({:.2} of calls x work)", s / of.bound_s)
    });
    let ListFigures { calls, refused, hung_up, .. } = of;
    format!(", {all}; {calls} calls, {refused} refused, {hung_up} hung up")
}

/// Number of breaches that are printed in full.
const PRINTED_BREACHES: usize = 5;

fn print(f: &Figures, breaches: &[Breach]) {
    println!(
        "{} seed {}: {} sidecars, {} servers: served {:.3}, attempts {:.2} ({} unanswered), kept {} ({} not done, replayed after {:.1} s), handshakes {:.3}, imbalance {:.2}, \
         cold servers {:.2} of what they bear, arrivals late p99 {:.1} ms",
        f.timeline,
        f.seed,
        f.sidecars,
        f.servers,
        f.served,
        f.attempts,
        f.unanswered,
        f.kept,
        f.kept_open,
        f.replayed_s,
        f.handshakes,
        f.imbalance,
        f.cold_peak,
        f.late_p99_ms
    );
    for event in &f.events {
        let back = event.back_s.map_or("not back".into(), |b| format!("back after {b:.2} s"));
        println!(
            "  {} at {:.1} s: {:.3} before, {:.3} at worst, {back}{}{}",
            event.name,
            event.at_s,
            event.before,
            event.worst,
            event
                .view_agrees_s
                .map_or(String::new(), |s| format!(", views agree {s:.2} s after its end")),
            event.lists.as_ref().map_or(String::new(), format_lists)
        );
    }
    if let Some(d) = &f.distribution {
        println!(
            "  documents: {} requested, {} published, {} committed, {} stopped, {} refusals; in force after {:.2} s \
             (50), {:.2} s (99), {:.2} s (100 of 100), never {}; sidecars sent {:.0} bytes a second, at most {:.0}, \
             control nodes at most {:.0}",
            d.requested,
            d.published,
            d.committed,
            d.stopped,
            d.refused,
            d.in_force_p50_s,
            d.in_force_p99_s,
            d.in_force_all_s,
            d.never,
            d.sidecar_bytes_per_s,
            d.most_sidecar_bytes_per_s,
            d.most_control_bytes_per_s
        );
    }
    f.faults.iter().take(4 * PRINTED_BREACHES).for_each(|fault| println!("FAULT {fault}"));
    for breach in breaches.iter().take(PRINTED_BREACHES) {
        println!("{}: {}", breach.rule, breach.text);
        breach.history.iter().for_each(|step| println!("    {step}"));
    }
    match &f.void {
        Some(why) => println!("{why}"),
        None if f.faults.is_empty() => println!("all rules and expectations hold"),
        None => println!("{} faults", f.faults.len()),
    }
}
