//! Effects of each event of a timeline: loss and recovery of service, thundering herds, and agreement of the sidecars.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::lists::{self, ListFigures};
use super::operations::{Operation, served};
use super::views;
use super::windows::WINDOW_US;
use crate::ledger::Micros;
use crate::plan::Plan;
use crate::timeline::Timeline;
use crate::world::Outcome;

/// Distance between the starts of two windows in which service is measured after an event.
const STEP_US: Micros = 250_000;
/// Span before an event whose service is the baseline.
const BASELINE_SPAN_US: Micros = 5_000_000;
/// Service counts as recovered at this share of the baseline.
const RECOVERED_SHARE: f64 = 0.95;
/// Span after an event in which herds are counted.
const HERD_SPAN_US: Micros = 5_000_000;
/// Lengths of the windows in which arrivals are counted for herds.
const HERD_WINDOWS_US: [Micros; 2] = [50_000, 250_000];

/// An event and its effects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EventFigures {
    /// The kind of the event.
    pub name: String,
    /// When it began, in seconds of the run.
    pub at_s: f64,
    /// When it ended, in seconds of the run.
    pub end_s: f64,
    /// The share of worth served within its aim in the 5 s before the event.
    pub before: f64,
    /// The lowest share in a window of 1 s after it.
    pub worst: f64,
    /// Seconds from its beginning until service was back at 95% of that before; `None` if it was not before the next
    /// event.
    pub back_s: Option<f64>,
    /// The most arrivals at one server in 50 ms and in 250 ms, divided by the mean.
    pub herds: [f64; 2],
    /// Seconds from its end until all running sidecars had the same, correct view; `None` if they had not before the
    /// next event, or if there were no views.
    #[serde(default)]
    pub view_agrees_s: Option<f64>,
    /// Seconds from its end until all running sidecars held the same evidence, if evidence is shared.
    pub evidence_agrees_s: Option<f64>,
    /// Requests to discovery, if the sidecars query it.
    #[serde(default)]
    pub lists: Option<ListFigures>,
}

/// Computes the figures of each event, in the order in which the events began.
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
    let event_figures = |&(at, event): &(Micros, usize)| {
        let ended = outcome.marks.iter().find(|m| m.1 == event && !m.2);
        let end = ended.map_or(at, |m| m.0);
        // Loss of service is attributed to this event until the next one begins.
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
            herds: HERD_WINDOWS_US.map(|w| herd(outcome, plan.server_zones.len(), at, w)),
            view_agrees_s: since(views::views_agree_at(outcome, end, next)),
            evidence_agrees_s: since(views::evidence_agrees_at(outcome, end, next)),
            lists: timeline.discovery.on_request.then(|| {
                let (sidecars, work_s) = (plan.sidecars.len(), timeline.discovery.work_s);
                lists::after(outcome, &timeline.events[event], sidecars, work_s, (at, end, next))
            }),
        }
    };
    begins.iter().map(event_figures).collect()
}

/// Service around an event, as shares of worth served within its aim.
struct Service {
    /// Before the event.
    before: f64,
    /// The lowest share in a window after it.
    worst: f64,
    /// The beginning of the first window, from the worst one on, that is as good as the baseline.
    back: Option<Micros>,
}

/// Measures service after an event that began at `at`, until `next`.
fn service_after(
    timeline: &Timeline,
    operations: &[Operation],
    warm_up: Micros,
    at: Micros,
    next: Micros,
) -> Service {
    let from = at.saturating_sub(BASELINE_SPAN_US).max(warm_up);
    let before = served(timeline, operations, from, at).unwrap_or(1.0);
    let windows: Vec<(Micros, f64)> = (0..)
        .map(|n| at + n * STEP_US)
        .take_while(|t| t + WINDOW_US <= next)
        .filter_map(|t| Some((t, served(timeline, operations, t, t + WINDOW_US)?)))
        .collect();
    let worst = windows.iter().enumerate().min_by(|a, b| a.1.1.total_cmp(&b.1.1));
    let good = |w: &&(Micros, f64)| w.1 >= RECOVERED_SHARE * before;
    let back = match worst {
        None => Some(at),
        Some((_, w)) if good(&w) => Some(at),
        Some((n, _)) => windows[n..].iter().find(good).map(|w| w.0),
    };
    Service { before, worst: worst.map_or(before, |w| w.1.1), back }
}

/// The most arrivals at one server in a window, divided by the mean over all servers and windows.
fn herd(outcome: &Outcome, servers: usize, at: Micros, window: Micros) -> f64 {
    let mut counts: HashMap<(usize, Micros), u64> = HashMap::new();
    for a in
        outcome.records.attempts.iter().filter(|a| (at..at + HERD_SPAN_US).contains(&a.arrived))
    {
        *counts.entry((a.server, (a.arrived - at) / window)).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0) as f64;
    let all: u64 = counts.values().sum();
    let mean = all as f64 / (servers as f64 * (HERD_SPAN_US / window) as f64);
    if mean > 0.0 { most / mean } else { 0.0 }
}
