//! What followed each event of a timeline: loss and recovery of service, herds, and agreement of the sidecars.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::lists::{self, ListFigures};
use super::operations::{Operation, served};
use super::views;
use super::windows::WINDOW;
use crate::ledger::Micros;
use crate::plan::Plan;
use crate::timeline::Timeline;
use crate::world::Outcome;

/// Microseconds between two looks at the service after an event.
const STEP: Micros = 250_000;
/// Microseconds before an event that give the service to compare with.
const BEFORE: Micros = 5_000_000;
/// Service counts as recovered at this share of what it was before.
const BACK: f64 = 0.95;
/// Microseconds after an event in which herds are looked for.
const HERD: Micros = 5_000_000;
/// Lengths of the windows in which arrivals are counted for herds, in microseconds.
const HERD_WINDOWS: [Micros; 2] = [50_000, 250_000];

/// An event and what followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventFigures {
    /// The kind of the event.
    pub name: String,
    /// When it began, in seconds of the run.
    pub at_s: f64,
    /// When it ended.
    pub end_s: f64,
    /// The share of worth served within its aim before the event.
    pub before: f64,
    /// The least share in a window of 1 s after it.
    pub worst: f64,
    /// Seconds from its beginning until 95% of the service before was back; None: it was not before the next event.
    pub back_s: Option<f64>,
    /// The most arrivals at one server in 50 ms and in 250 ms, over the mean.
    pub herds: [f64; 2],
    /// Seconds from its end until all sidecars that run had the same view, and it was right; None: not before the next
    /// event, or there were no views.
    #[serde(default)]
    pub view_agrees_s: Option<f64>,
    /// Seconds from its end until all sidecars that run held the same evidence, where it is shared.
    pub evidence_agrees_s: Option<f64>,
    /// Calls of discovery, where it is asked.
    #[serde(default)]
    pub lists: Option<ListFigures>,
}

/// Figures of each event, in the order in which they began.
pub(super) fn events(
    timeline: &Timeline,
    plan: &Plan,
    outcome: &Outcome,
    operations: &[Operation],
) -> Vec<EventFigures> {
    let begins: Vec<(Micros, usize)> =
        outcome.marks.iter().filter(|m| m.2).map(|m| (m.0, m.1)).collect();
    let length = plan.length.as_micros() as Micros;
    let warm_up = plan.warm_up.as_micros() as Micros;
    let one = |&(at, event): &(Micros, usize)| {
        let ended = outcome.marks.iter().find(|m| m.1 == event && !m.2);
        let end = ended.map_or(at, |m| m.0);
        // What is lost until the next event begins counts for this one.
        let next = begins.iter().map(|b| b.0).find(|b| *b > at.max(end)).unwrap_or(length);
        let service = service_after(timeline, operations, warm_up, at, next);
        let since = |at: Option<Micros>| at.map(|at| at.saturating_sub(end) as f64 / 1e6);
        EventFigures {
            name: format!("{:?}", timeline.events[event].kind),
            at_s: at as f64 / 1e6,
            end_s: end as f64 / 1e6,
            before: service.before,
            worst: service.worst,
            back_s: service.back.map(|back| (back - at) as f64 / 1e6),
            herds: HERD_WINDOWS.map(|w| herd(outcome, plan.server_zones.len(), at, w)),
            view_agrees_s: since(views::agrees(outcome, end, next)),
            evidence_agrees_s: since(views::evidence_agrees(outcome, end, next)),
            lists: timeline.discovery.asked.then(|| {
                let (sidecars, work_s) = (plan.sidecars.len(), timeline.discovery.work_s);
                lists::after(outcome, &timeline.events[event], sidecars, work_s, (at, end, next))
            }),
        }
    };
    begins.iter().map(one).collect()
}

/// The service around an event, as shares of worth served within its aim.
struct Service {
    /// Before the event.
    before: f64,
    /// The least in a window after it.
    worst: f64,
    /// The beginning of the first window, from the worst one on, that is as good as before.
    back: Option<Micros>,
}

/// The service after an event that began at `at`, until `next`.
fn service_after(
    timeline: &Timeline,
    operations: &[Operation],
    warm_up: Micros,
    at: Micros,
    next: Micros,
) -> Service {
    let from = at.saturating_sub(BEFORE).max(warm_up);
    let before = served(timeline, operations, from, at).unwrap_or(1.0);
    let windows: Vec<(Micros, f64)> = (0..)
        .map(|n| at + n * STEP)
        .take_while(|t| t + WINDOW <= next)
        .filter_map(|t| Some((t, served(timeline, operations, t, t + WINDOW)?)))
        .collect();
    let worst = windows.iter().enumerate().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
    let good = |w: &&(Micros, f64)| w.1 >= BACK * before;
    let back = match worst {
        None => Some(at),
        Some((_, w)) if good(&w) => Some(at),
        Some((n, _)) => windows[n..].iter().find(good).map(|w| w.0),
    };
    Service { before, worst: worst.map_or(before, |w| w.1.1), back }
}

/// The most arrivals at one server in a window, over the mean of all servers and windows.
fn herd(outcome: &Outcome, servers: usize, at: Micros, window: Micros) -> f64 {
    let mut counts: HashMap<(usize, Micros), u64> = HashMap::new();
    for a in outcome.records.attempts.iter().filter(|a| (at..at + HERD).contains(&a.arrived)) {
        *counts.entry((a.server, (a.arrived - at) / window)).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0) as f64;
    let all: u64 = counts.values().sum();
    let mean = all as f64 / (servers as f64 * (HERD / window) as f64);
    if mean > 0.0 { most / mean } else { 0.0 }
}
