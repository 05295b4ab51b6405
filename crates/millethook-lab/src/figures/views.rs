//! Whether the sidecars' views of the fleet agree and are correct.

use std::collections::BTreeMap;

use crate::ledger::Micros;
use crate::world::{Outcome, ViewSample};

/// How long a sample counts at least; it counts for two sampling intervals if these are longer.
const MIN_SAMPLE_VALIDITY_US: Micros = 700_000;

/// The number of sidecars that were running at a time.
fn running(outcome: &Outcome, at: Micros) -> usize {
    let before = outcome.running.iter().take_while(|r| r.0 <= at);
    before.last().map_or(0, |r| r.1)
}

/// The first time in `from..until` at which all running sidecars have the same view, with exactly these present.
pub(super) fn views_agree_at(outcome: &Outcome, from: Micros, until: Micros) -> Option<Micros> {
    first_agreement(outcome, from, until, |s, alive| (s.present == alive).then_some(s.hash))
}

/// The first time in `from..until` at which all running sidecars hold the same evidence.
pub(super) fn evidence_agrees_at(outcome: &Outcome, from: Micros, until: Micros) -> Option<Micros> {
    first_agreement(outcome, from, until, |s, _| s.evidence.map(|(hash, _)| hash))
}

/// The share of samples in which a sidecar suspected some server.
pub(super) fn doubting(outcome: &Outcome) -> f64 {
    let with = outcome.views.iter().filter_map(|s| s.evidence);
    let all = with.clone().count().max(1) as f64;
    with.filter(|(_, doubted)| *doubted > 0).count() as f64 / all
}

/// The first time at which `reported` gives the same value for all running sidecars.
fn first_agreement(
    outcome: &Outcome,
    from: Micros,
    until: Micros,
    reported: impl Fn(&ViewSample, usize) -> Option<u64>,
) -> Option<Micros> {
    let validity = 2 * sampling_interval(&outcome.views).max(MIN_SAMPLE_VALIDITY_US / 2);
    let mut last: BTreeMap<usize, &ViewSample> = BTreeMap::new();
    for sample in outcome.views.iter().take_while(|s| s.at < until) {
        last.insert(sample.sidecar, sample);
        if sample.at < from {
            continue;
        }
        // An earlier sample counts until it is too old.
        last.retain(|_, s| s.at + validity > sample.at);
        let alive = running(outcome, sample.at);
        let same = reported(sample, alive);
        let right = |s: &&ViewSample| s.at >= from && same.is_some() && reported(s, alive) == same;
        if last.len() == alive && last.values().all(right) {
            return Some(sample.at);
        }
    }
    None
}

/// The shortest mean interval between two samples of one sidecar.
fn sampling_interval(views: &[ViewSample]) -> Micros {
    let mut spans: BTreeMap<usize, (Micros, Micros, u64)> = BTreeMap::new();
    for s in views {
        let seen = spans.entry(s.sidecar).or_insert((s.at, s.at, 0));
        (seen.1, seen.2) = (s.at, seen.2 + 1);
    }
    let rounds = spans.values().map(|(a, b, n)| (b - a) / (*n).max(1));
    rounds.min().unwrap_or(0)
}

/// Counts how often a job had two owners: a sidecar reported it with the same token before and after another one did.
pub(super) fn two_owners(outcome: &Outcome) -> u64 {
    type Span = (Micros, Micros);
    let mut owners: BTreeMap<u64, BTreeMap<(usize, &str), Vec<Span>>> = BTreeMap::new();
    for sample in &outcome.views {
        for (job, token) in &sample.owned {
            let by = owners.entry(*job).or_default();
            let spans = by.entry((sample.sidecar, token.as_str())).or_default();
            spans.push((sample.requested_at, sample.at));
        }
    }
    let mut count = 0;
    for by in owners.values() {
        for (owner, spans) in by {
            // A sidecar that reports the same token twice owned the job during the whole time between.
            let Some((first, last)) = spans.first().zip(spans.last()) else { continue };
            let others = by.iter().filter(|(other, _)| *other != owner).flat_map(|(_, s)| s);
            count += others.filter(|s| s.0 > first.1 && s.1 < last.0).count() as u64;
        }
    }
    count
}

/// The number of jobs with an owner in the last samples of the sidecars.
pub(super) fn owned_at_end(outcome: &Outcome) -> usize {
    let end = outcome.views.last().map_or(0, |s| s.at);
    let mut last: BTreeMap<usize, &ViewSample> = BTreeMap::new();
    let late = 2 * sampling_interval(&outcome.views).max(MIN_SAMPLE_VALIDITY_US / 2);
    for sample in outcome.views.iter().filter(|s| s.at + late > end) {
        last.insert(sample.sidecar, sample);
    }
    let jobs = last.values().flat_map(|s| s.owned.iter().map(|(job, _)| *job));
    jobs.collect::<std::collections::BTreeSet<u64>>().len()
}

/// Counts samples in which a sidecar listed more members as dead than were not running.
pub(super) fn samples_with_excess_dead(outcome: &Outcome, sidecars: usize) -> u64 {
    let not_running = |at| sidecars.saturating_sub(running(outcome, at));
    outcome.views.iter().filter(|s| s.dead > not_running(s.at)).count() as u64
}
