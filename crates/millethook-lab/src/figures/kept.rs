//! Writes that sidecars stored while no server could take them, and when they were replayed.

use std::collections::HashMap;

use crate::ledger::{End, Micros, RunRecords};
use crate::plan::Plan;
use crate::timeline::Timeline;

/// For each stored write, when it first took effect; `None` if it never did.
pub(super) fn kept(records: &RunRecords) -> Vec<Option<Micros>> {
    let mut ran: HashMap<crate::ledger::RequestId, Micros> = HashMap::new();
    for attempt in &records.attempts {
        if let Some(at) = attempt.ran {
            let first = ran.entry(attempt.id).or_insert(at);
            *first = at.min(*first);
        }
    }
    let kept = records.requests.iter().filter(|r| r.end == End::Kept);
    kept.map(|r| ran.get(&r.id).copied()).collect()
}

/// Seconds from the end of the last event of the timeline until the last stored write took effect.
pub(super) fn replayed_s(timeline: &Timeline, plan: &Plan, kept: &[Option<Micros>]) -> f64 {
    let ends = timeline.events.iter().map(|e| e.at_s + e.for_s.max(e.over_s));
    let end = plan.warm_up.as_secs_f64() + ends.fold(0.0, f64::max);
    let last = kept.iter().flatten().max().map_or(0.0, |at| *at as f64 / 1e6);
    (last - end).max(0.0)
}
