//! Counts requests to an unresponsive server by sidecars that did not own its trial.

use std::collections::BTreeMap;

use crate::ledger::{Attempt, Fate, Micros};
use crate::timeline::Timeline;
use crate::world::Outcome;

/// Time that the sidecars may need to agree on an owner, in addition to the longest lease.
const AGREEMENT_MARGIN_S: f64 = 2.0;
/// The longest lease if the product's settings do not set it.
const DEFAULT_LEASE_S: f64 = 6.0;

/// The longest lease of the daemons, in seconds.
fn longest_lease_s(timeline: &Timeline) -> f64 {
    let product: Option<toml::Table> = toml::from_str(&timeline.sidecars.product).ok();
    let longest = product.as_ref().and_then(|p| p.get("lease")?.get("longest_s"));
    let seconds = longest.and_then(|s| s.as_float().or(s.as_integer().map(|n| n as f64)));
    seconds.unwrap_or(DEFAULT_LEASE_S)
}

/// The span from the first to the last sample in which a sidecar reported one token of a job.
struct Ownership {
    sidecar: usize,
    first: Micros,
    last: Micros,
}

/// Spans in which a sidecar reported that it owned a job.
fn ownerships(outcome: &Outcome) -> Vec<Ownership> {
    let mut spans: BTreeMap<(u64, &str, usize), Ownership> = BTreeMap::new();
    for sample in &outcome.views {
        for (job, token) in &sample.owned {
            let sidecar = sample.sidecar;
            let first = Ownership { sidecar, first: sample.at, last: sample.requested_at };
            let span = spans.entry((*job, token.as_str(), sidecar)).or_insert(first);
            span.last = sample.requested_at;
        }
    }
    spans.into_values().collect()
}

/// Counts attempts that a server never answered, by sidecars that did not own its trial although another sidecar had
/// owned it for at least a lease and 2 s. Attempts within that time of the beginning or end of an event do not count:
/// in the minority side of a partition, for example, each sidecar tries by itself. Jobs of different servers are not
/// distinguished, so the figure is meant for timelines with one unresponsive server and one zone.
pub(super) fn trials_by_others(timeline: &Timeline, outcome: &Outcome) -> u64 {
    let settled = ((longest_lease_s(timeline) + AGREEMENT_MARGIN_S) * 1e6) as Micros;
    let ownerships = ownerships(outcome);
    let calm =
        |at: Micros| outcome.marks.iter().all(|(mark, ..)| !(*mark..mark + settled).contains(&at));
    let by_other = |attempt: &&Attempt| {
        let (at, sender) = (attempt.first_byte, attempt.id.sidecar());
        let owned = |o: &&Ownership| o.first + settled <= at && at <= o.last;
        let owner = ownerships.iter().find(owned);
        calm(at) && owner.is_some_and(|owner| owner.sidecar != sender)
    };
    let silent = outcome.records.attempts.iter().filter(|a| a.fate == Fate::Silent);
    silent.filter(by_other).count() as u64
}
