//! Depth-first search over all orders of steps of a task, within bounds, and the distribution of many tasks over
//! threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::judge::Finding;
use crate::mutant::Mutant;
use crate::scenario::{Bounds, Scenario};
use crate::step::Step;
use crate::world::World;

/// One exploration to run.
#[derive(Clone, Debug)]
pub struct Task {
    /// The servers, requests and settings.
    pub scenario: Arc<Scenario>,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The injected fault.
    pub mutant: Option<Mutant>,
}

impl Task {
    /// Returns a task for every scenario and every seed from 1 to `seeds`.
    pub fn all(scenarios: Vec<Scenario>, seeds: u64) -> Vec<Task> {
        let scenarios: Vec<_> = scenarios.into_iter().map(Arc::new).collect();
        let of = |seed| {
            let task = move |scenario: &Arc<Scenario>| Task {
                scenario: scenario.clone(),
                seed,
                mutant: None,
            };
            scenarios.iter().map(task)
        };
        (1..=seeds).flat_map(of).collect()
    }
}

/// A violated rule and the steps that led to it.
#[derive(Clone, Debug)]
pub struct FoundViolation {
    /// The task in which it was found.
    pub task: Task,
    /// The steps; [`World::run_until_idle`] follows them.
    pub steps: Vec<Step>,
    /// The violation.
    pub finding: Finding,
}

/// The result of an exploration.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of steps executed.
    pub steps: usize,
    /// Steps that led to a state that was visited before with at least as much of the bounds left.
    pub merged: usize,
    /// Number of paths that were run until the world was idle.
    pub paths: usize,
    /// Length of the longest path.
    pub longest: usize,
    /// Number of tasks whose exploration stopped at the maximum number of states and so is not exhaustive.
    pub cut: usize,
    /// Run time, summed over threads.
    pub time: Duration,
    /// Violations: the first of each task.
    pub found: Vec<FoundViolation>,
}

impl Report {
    /// Adds another report to this one.
    pub fn add(&mut self, other: Report) {
        self.states += other.states;
        self.steps += other.steps;
        self.merged += other.merged;
        self.paths += other.paths;
        self.longest = self.longest.max(other.longest);
        self.cut += other.cut;
        self.time += other.time;
        self.found.extend(other.found);
    }
}

/// Explores one task, up to the first violation.
pub fn explore(task: &Task, bounds: &Bounds) -> Report {
    let started = Instant::now();
    let mut explorer = Explorer {
        bounds,
        visited: FxHashMap::default(),
        path: Vec::new(),
        report: Report::default(),
    };
    let start = World::new(task.scenario.clone(), task.seed, task.mutant);
    let result = start.and_then(|world| explorer.visit(&world));
    let mut report = explorer.report;
    if let Err(finding) = result {
        report.found.push(FoundViolation { task: task.clone(), steps: explorer.path, finding });
    }
    report.time = started.elapsed();
    report
}

/// Explores one task with 0, 1, 2 and more counted events, so that the first finding needs as few as possible.
pub fn find_smallest(task: &Task, bounds: &Bounds) -> Option<FoundViolation> {
    let with = |events| Bounds { events, ..*bounds };
    (0..=bounds.events).find_map(|events| explore(task, &with(events)).found.pop())
}

/// Explores all tasks on several threads. Except for the time, the sum does not depend on the number of threads.
pub fn explore_all(tasks: &[Task], bounds: &Bounds, threads: usize) -> Report {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut reports_of_thread = Vec::new();
        while let Some((n, task)) = {
            let n = next.fetch_add(1, Ordering::Relaxed);
            tasks.get(n).map(|task| (n, task))
        } {
            reports_of_thread.push((n, explore(task, bounds)));
        }
        reports_of_thread
    };
    let mut reports: Vec<(usize, Report)> = std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("the explorer does not panic"))
            .collect()
    });
    reports.sort_by_key(|(n, _)| *n);
    let mut sum = Report::default();
    reports.into_iter().for_each(|(_, report)| sum.add(report));
    sum
}

struct Explorer<'a> {
    bounds: &'a Bounds,
    /// Visited states, each with the largest number of counted events that were left there, plus one.
    visited: FxHashMap<u64, u8>,
    path: Vec<Step>,
    report: Report,
}

impl Explorer<'_> {
    /// Explores everything that can follow this state. On an error, `path` holds the steps that lead to it.
    fn visit(&mut self, world: &World) -> Result<(), Finding> {
        self.report.longest = self.report.longest.max(self.path.len());
        let steps = world.steps(self.bounds);
        if steps.is_empty() {
            self.report.paths += 1;
            return world.clone().run_until_idle();
        }
        for step in steps {
            if self.report.states >= self.bounds.states {
                self.report.cut = 1;
                return Ok(());
            }
            let mut next = world.clone();
            self.path.push(step);
            self.report.steps += 1;
            next.play(step)?;
            if self.is_new(&next) {
                self.visit(&next)?;
            }
            self.path.pop();
        }
        Ok(())
    }

    /// Returns whether this state was not visited before, or only with less of the bounds left.
    fn is_new(&mut self, world: &World) -> bool {
        let left = self.bounds.events - world.used().events + 1;
        let most = self.visited.entry(world.fingerprint()).or_insert(0);
        if *most >= left {
            self.report.merged += 1;
            return false;
        }
        self.report.states += usize::from(*most == 0);
        *most = left;
        true
    }
}
