//! Runs many generated plans on several threads.

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::fleet::{PlayError, play};
use crate::generate;
use crate::injected_fault::InjectedFault;
use crate::judge::{Finding, Rule};
use crate::plan::Plan;
use crate::report::Report;
use crate::shrink::shrink;

/// Parameters of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// The seeds to run.
    pub seeds: Range<u64>,
    /// Number of threads; each runs one plan at a time.
    pub threads: usize,
    /// The fault to inject between the fleet and the decisions.
    pub injected: Option<InjectedFault>,
    /// No new seed is started after this time.
    pub time: Option<Duration>,
    /// The first finding of each seed is shrunk.
    pub shrink: bool,
    /// No new seed is started after the first finding.
    pub first_only: bool,
}

/// A seed whose plan violates a rule.
#[derive(Clone, Debug)]
pub struct SeedFinding {
    /// The seed.
    pub seed: u64,
    /// The rule that was violated first.
    pub rule: Rule,
    /// The plan, shrunk if [`Search::shrink`] is set.
    pub plan: Plan,
    /// The first finding of that plan for this rule.
    pub finding: Finding,
}

/// The result of a search.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Number of plans run.
    pub played: u64,
    /// Number of requests in these plans.
    pub requests: u64,
    /// Number of events in these plans.
    pub events: u64,
    /// The first seed that was not run; all seeds before it were.
    pub next: u64,
    /// Plans that violate a rule, ordered by seed.
    pub found: Vec<SeedFinding>,
}

impl Search {
    /// Runs the search.
    ///
    /// # Errors
    /// The decisions reject the settings of a plan.
    pub fn run(&self) -> Result<Outcome, PlayError> {
        let started = Instant::now();
        let next = AtomicU64::new(self.seeds.start);
        let stop = AtomicBool::new(false);
        let outcome = Mutex::new(Outcome::default());
        let failed = Mutex::new(None);
        let work = || {
            while !stop.load(Ordering::Relaxed) && self.time.is_none_or(|t| started.elapsed() < t) {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= self.seeds.end {
                    return;
                }
                match self.play(seed) {
                    Ok((report, found)) => {
                        let ends = self.first_only && found.is_some();
                        stop.fetch_or(ends, Ordering::Relaxed);
                        lock(&outcome).add(&report, found);
                    }
                    Err(error) => {
                        stop.store(true, Ordering::Relaxed);
                        *lock(&failed) = Some(error);
                    }
                }
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..self.threads.max(1) {
                scope.spawn(work);
            }
        });
        if let Some(error) = lock(&failed).take() {
            return Err(error);
        }
        let mut outcome = std::mem::take(&mut *lock(&outcome));
        outcome.found.sort_by_key(|found| found.seed);
        // Threads run every seed that they take, so the seeds run are contiguous.
        outcome.next = self.seeds.start + outcome.played;
        Ok(outcome)
    }

    fn play(&self, seed: u64) -> Result<(Report, Option<SeedFinding>), PlayError> {
        let mut plan = generate::plan(seed);
        let report = play(&plan, self.injected)?;
        let Some(rule) = report.first_rule() else { return Ok((report, None)) };
        let mut shrunk_report = report.clone();
        if self.shrink {
            plan = shrink(&plan, rule, self.injected);
            shrunk_report = play(&plan, self.injected)?;
        }
        let finding = shrunk_report.findings.into_iter().find(|finding| finding.rule == rule);
        Ok((report, finding.map(|finding| SeedFinding { seed, rule, plan, finding })))
    }
}

impl Outcome {
    fn add(&mut self, report: &Report, found: Option<SeedFinding>) {
        self.played += 1;
        self.requests += report.figures.requests;
        self.events += report.figures.events;
        self.found.extend(found);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
