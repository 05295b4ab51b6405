//! Who sent requests to a silent server while one sidecar owned its trial.

use std::collections::BTreeMap;

use crate::ledger::{Attempt, Fate, Micros};
use crate::timeline::Timeline;
use crate::world::Outcome;

/// Seconds that the sidecars may need to agree on an owner, beside the longest lease.
const BEYOND_LEASE_S: f64 = 2.0;
/// The longest lease where the product's file does not tell.
const USUAL_LEASE_S: f64 = 6.0;

/// The longest lease of the daemons, in seconds.
fn longest_lease_s(timeline: &Timeline) -> f64 {
    let product: Option<toml::Table> = toml::from_str(&timeline.sidecars.product).ok();
    let longest = product.as_ref().and_then(|p| p.get("lease")?.get("longest_s"));
    let seconds = longest.and_then(|s| s.as_float().or(s.as_integer().map(|n| n as f64)));
    seconds.unwrap_or(USUAL_LEASE_S)
}

/// One sidecar named one token of a job from the first to the last time.
struct Ownership {
    sidecar: usize,
    first: Micros,
    last: Micros,
}

/// Spans in which a sidecar owned a job, by its own word.
fn ownerships(outcome: &Outcome) -> Vec<Ownership> {
    let mut spans: BTreeMap<(u64, &str, usize), Ownership> = BTreeMap::new();
    for sample in &outcome.views {
        for (job, token) in &sample.owned {
            let sidecar = sample.sidecar;
            let first = Ownership { sidecar, first: sample.at, last: sample.asked };
            let span = spans.entry((*job, token.as_str(), sidecar)).or_insert(first);
            span.last = sample.asked;
        }
    }
    spans.into_values().collect()
}

/// Attempts that a server never answered, by sidecars that did not own its trial although another one had owned it for a
/// lease and 2 s. In that time no event may have begun or ended: on the small side of a partition, for example, each
/// sidecar tries by itself. Jobs of different servers are not told apart, so this is for timelines with one silent server
/// and one zone.
pub(super) fn trials_by_others(timeline: &Timeline, outcome: &Outcome) -> u64 {
    let settled = ((longest_lease_s(timeline) + BEYOND_LEASE_S) * 1e6) as Micros;
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
