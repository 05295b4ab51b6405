//! The run second by second: service, and how arrivals and load were distributed over the servers.

use std::collections::{BTreeMap, HashMap};
use std::ops::Range;

use serde::{Deserialize, Serialize};

use super::load::max_over_mean;
use super::operations::{Operation, in_aim};
use crate::ledger::Micros;
use crate::plan::Plan;
use crate::timeline::{Class, Timeline};
use crate::world::Outcome;

/// Length of a window.
pub(super) const WINDOW_US: Micros = 1_000_000;

/// One second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// When it began, in seconds of the run.
    pub at_s: f64,
    /// The share of operations served within the aim, for each class that had operations.
    pub in_aim: BTreeMap<String, f64>,
    /// The highest load of a server, divided by the mean.
    pub imbalance: f64,
    /// The coefficient of variation of arrivals across the servers.
    pub cv: f64,
    /// The same for as many arrivals at randomly chosen servers.
    pub cv_random: f64,
    /// The mean load of a server: requests in progress and queued.
    pub load: f64,
    /// Attempts that arrived at servers.
    pub attempts: u64,
}

/// Windows from the end of the warm-up on.
pub(super) fn windows(
    timeline: &Timeline,
    plan: &Plan,
    outcome: &Outcome,
    operations: &[Operation],
) -> Vec<Window> {
    let count = plan.length.as_micros() as Micros / WINDOW_US;
    let first = plan.warm_up.as_micros() as Micros / WINDOW_US;
    let arrivals = arrivals_by_window(outcome, count as usize);
    let servers = plan.server_zones.len();
    let window = |n: Micros| {
        let span = n * WINDOW_US..(n + 1) * WINDOW_US;
        let (loads, samples) = summed_loads(outcome, servers, &span);
        let (cv, cv_random) = arrival_variation(&arrivals[n as usize], servers);
        Window {
            at_s: span.start as f64 / 1e6,
            in_aim: in_aim_by_class(timeline, operations, &span),
            imbalance: max_over_mean(&loads),
            cv,
            cv_random,
            load: loads.iter().sum::<f64>() / (loads.len() * samples.max(1)).max(1) as f64,
            attempts: arrivals[n as usize].values().sum(),
        }
    };
    (first..count).map(window).collect()
}

/// For each window, the number of attempts that arrived at each server.
fn arrivals_by_window(outcome: &Outcome, count: usize) -> Vec<HashMap<usize, u64>> {
    let mut arrivals: Vec<HashMap<usize, u64>> = vec![HashMap::new(); count];
    for attempt in &outcome.records.attempts {
        if let Some(window) = arrivals.get_mut((attempt.arrived / WINDOW_US) as usize) {
            *window.entry(attempt.server).or_default() += 1;
        }
    }
    arrivals
}

/// The share of operations served within the aim, by the name of their class.
fn in_aim_by_class(
    timeline: &Timeline,
    operations: &[Operation],
    span: &Range<Micros>,
) -> BTreeMap<String, f64> {
    let due: Vec<&Operation> = operations.iter().filter(|o| span.contains(&o.due)).collect();
    let share = |(n, class): (usize, &Class)| {
        let all: Vec<_> = due.iter().filter(|o| o.class == n).collect();
        let good = all.iter().filter(|o| in_aim(timeline, o)).count();
        (!all.is_empty()).then(|| (class.name.clone(), good as f64 / all.len() as f64))
    };
    timeline.classes.iter().enumerate().filter_map(share).collect()
}

/// The sum of the load of each server over the samples of a span, and the number of samples.
fn summed_loads(outcome: &Outcome, servers: usize, span: &Range<Micros>) -> (Vec<f64>, usize) {
    let (mut loads, mut samples) = (vec![0.0; servers], 0);
    for sample in outcome.servers.iter().filter(|s| span.contains(&s.at)) {
        samples += 1;
        for (sum, load) in loads.iter_mut().zip(&sample.load) {
            *sum += load.map_or(0.0, |l| l.0 as f64);
        }
    }
    (loads, samples)
}

/// The coefficient of variation of arrivals across the servers, and that of as many arrivals at random.
fn arrival_variation(by_server: &HashMap<usize, u64>, servers: usize) -> (f64, f64) {
    let attempts: u64 = by_server.values().sum();
    let servers = servers.max(by_server.len());
    let mean = attempts as f64 / servers as f64;
    let squares: f64 = by_server.values().map(|n| (*n as f64 - mean).powi(2)).sum();
    let squares = squares + (servers - by_server.len()) as f64 * mean * mean;
    let cv = if mean > 0.0 { (squares / servers as f64).sqrt() / mean } else { 0.0 };
    // With n arrivals at random over S servers, the count of each server is binomially distributed.
    let cv_random = match attempts {
        0 => 0.0,
        n => ((servers as f64 - 1.0) / n as f64).sqrt(),
    };
    (cv, cv_random)
}
