//! Compares the expectations of a timeline with the figures of a run.

use super::{EventFigures, Figures, distribution};
use crate::timeline::{Expect, Timeline};

/// Lists the expectations of the timeline that the figures do not meet, as text.
pub fn missed(timeline: &Timeline, figures: &Figures) -> Vec<String> {
    let expect = &timeline.expect;
    let mut missed: Vec<String> =
        limits(expect, figures).iter().filter_map(Limit::missed).collect();
    let agreements: [(&str, Option<f64>, Agreement); 2] = [
        ("view_agrees_within_s", expect.view_agrees_within_s, |e| e.view_agrees_s),
        ("evidence_agrees_within_s", expect.evidence_agrees_within_s, |e| e.evidence_agrees_s),
    ];
    for (name, limit, agreement) in agreements {
        if let Some(limit) = limit {
            missed.extend(late_agreements(figures, name, limit, agreement));
        }
    }
    if let Some(factor) = expect.lists_within {
        missed.extend(late_lists(figures, factor));
    }
    missed.extend(figures.distribution.iter().flat_map(|d| distribution::missed(timeline, d)));
    if let Some(limit) = expect.back_within_s {
        missed.extend(late_recoveries(figures, limit));
    }
    missed
}

/// The seconds from the end of an event until the sidecars agreed.
type Agreement = fn(&EventFigures) -> Option<f64>;

/// Whether a limit is a lower or an upper bound.
enum Bound {
    AtLeast,
    AtMost,
}

/// A figure and its bound; `limit` is `None` if the timeline has no bound for it.
struct Limit {
    name: &'static str,
    bound: Bound,
    limit: Option<f64>,
    found: f64,
}

impl Limit {
    fn missed(&self) -> Option<String> {
        let (limit, found) = (self.limit?, self.found);
        let (missed, words) = match self.bound {
            Bound::AtLeast => (found < limit, "at least"),
            Bound::AtMost => (found > limit, "at most"),
        };
        missed.then(|| format!("{}: {words} {limit} expected, not {found:.3}", self.name))
    }
}

/// The bounds on figures of the whole run.
fn limits(expect: &Expect, figures: &Figures) -> [Limit; 9] {
    let at_least = |name, limit, found| Limit { name, bound: Bound::AtLeast, limit, found };
    let at_most = |name, limit, found| Limit { name, bound: Bound::AtMost, limit, found };
    [
        at_least("served", expect.served, figures.served),
        at_most("imbalance", expect.imbalance, figures.imbalance),
        at_most("handshakes", expect.handshakes, figures.handshakes),
        at_least("kept", expect.kept, figures.kept as f64),
        at_most("kept_open", expect.kept_open, figures.kept_open as f64),
        at_most("unanswered", expect.unanswered, figures.unanswered as f64),
        // Applies to every timeline: a job must never have two owners.
        at_most("two owners of a job", Some(0.0), figures.two_owners as f64),
        at_least("owned_at_end", expect.owned_at_end, figures.owned_at_end as f64),
        at_most("trials_by_others", expect.trials_by_others, figures.trials_by_others as f64),
    ]
}

/// Lists events after which the sidecars took longer than `limit` seconds to agree. Events that were followed by
/// another event within the limit are skipped.
fn late_agreements(figures: &Figures, name: &str, limit: f64, agreement: Agreement) -> Vec<String> {
    let next = figures.events.iter().skip(1).map(|e| e.at_s).chain([f64::INFINITY]);
    let late = (figures.events.iter().zip(next))
        .filter(|(e, next)| agreement(e).is_none_or(|s| s > limit) && next - e.end_s > limit);
    let line = |(event, _): (&EventFigures, f64)| {
        format!(
            "{name}: {limit} expected after {} that ended at {:.1} s, not {}",
            event.name,
            event.end_s,
            seconds(agreement(event))
        )
    };
    late.map(line).collect()
}

/// Lists events after which the sidecars got their lists later than `factor` times the least time that discovery needs.
fn late_lists(figures: &Figures, factor: f64) -> Vec<String> {
    let mut missed = Vec::new();
    for event in &figures.events {
        let Some(lists) = event.lists.as_ref().filter(|lists| lists.due) else { continue };
        let limit = factor * lists.bound_s;
        if lists.all_s.is_none_or(|took| took > limit) {
            missed.push(format!(
                "lists_within: {limit:.2} s expected after {} that ended at {:.1} s, not {}",
                event.name,
                event.end_s,
                seconds(lists.all_s)
            ));
        }
    }
    missed
}

/// Lists events after which service took longer than `limit` seconds from their end to recover.
fn late_recoveries(figures: &Figures, limit: f64) -> Vec<String> {
    let mut missed = Vec::new();
    for event in &figures.events {
        let took = event.back_s.map(|back| (event.at_s + back - event.end_s).max(0.0));
        if took.is_none_or(|took| took > limit) {
            missed.push(format!(
                "back_within_s: {limit} expected after {} at {:.1} s, not {}",
                event.name,
                event.at_s,
                seconds(took)
            ));
        }
    }
    missed
}

fn seconds(took: Option<f64>) -> String {
    took.map_or("not before the next event".into(), |took| format!("{took:.2} s"))
}
