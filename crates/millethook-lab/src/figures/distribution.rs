//! Figures of the distribution of documents: how long they took to come into force, and whether a version went back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ledger::Micros;
use crate::timeline::{EventKind, Timeline};
use crate::world::Outcome;
use crate::world::documents::{DocumentEvent, DocumentEventKind as Kind, DocumentVersion};
use crate::world::publisher::Publication;

/// Figures of the documents that were published in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DistributionFigures {
    /// Publish requests that were handed to a writer.
    pub requested: usize,
    /// Requests that were given a version.
    pub published: usize,
    /// Versions that a majority of the control nodes accepted.
    pub committed: usize,
    /// Rollouts that were stopped and rolled back to the earlier version.
    pub stopped: usize,
    /// Documents that sidecars refused.
    pub refused: usize,
    /// The median time from a request to the document's being in force at a sidecar, in seconds, over all pairs of a
    /// fleet-wide change and a sidecar. Time in which a sidecar was down or cut off does not count.
    pub in_force_p50_s: f64,
    /// The 99th percentile of the same time.
    pub in_force_p99_s: f64,
    /// The longest of these times.
    pub in_force_all_s: f64,
    /// Pairs of a change and a sidecar at which it never came into force.
    pub never: usize,
    /// How often a sidecar replaced a version by an earlier one.
    pub went_back: usize,
    /// Sidecars whose version at the end of the run differed from the most common one.
    pub different_at_end: usize,
    /// Bytes per second of all messages to other sidecars: the mean over sidecars that are not control nodes.
    pub sidecar_bytes_per_s: f64,
    /// The maximum of the same over sidecars that are not control nodes.
    pub most_sidecar_bytes_per_s: f64,
    /// The maximum of the same over control nodes.
    pub most_control_bytes_per_s: f64,
}

/// Computes the figures; `None` if the timeline has no control nodes.
pub fn distribution(timeline: &Timeline, outcome: &Outcome) -> Option<DistributionFigures> {
    let control_nodes = timeline.distribution.control_nodes;
    if control_nodes == 0 {
        return None;
    }
    let events = &outcome.documents;
    let count = |kind: &Kind| events.iter().filter(|event| event.kind == *kind).count();
    let mut figures = DistributionFigures {
        requested: outcome.publications.len(),
        committed: count(&Kind::Committed),
        stopped: count(&Kind::Stopped),
        refused: count(&Kind::Refused),
        went_back: went_back(events),
        different_at_end: different_at_end(timeline.sidecars.count, events),
        ..DistributionFigures::default()
    };
    let mut times: Vec<f64> = Vec::new();
    for publication in &outcome.publications {
        let Some(published) = published(events, publication) else { continue };
        figures.published += 1;
        let is = |kind: &Kind| {
            let of = |e: &&DocumentEvent| e.kind == *kind && e.version == published.version;
            events.iter().any(|event| of(&event))
        };
        // A stopped version is in force nowhere. A version that a later one merged with comes into force as that
        // later one.
        if is(&Kind::Stopped) || publication.scope != "all" {
            continue;
        }
        let overtaken = events
            .iter()
            .any(|e| e.kind == Kind::Committed && is_for_all(e) && e.version > published.version);
        if !is(&Kind::Committed) && !overtaken {
            continue;
        }
        for sidecar in 0..timeline.sidecars.count {
            match apply_outcome(timeline, outcome, published, publication.at, sidecar) {
                ApplyOutcome::Within(time) => times.push(time as f64 / 1e6),
                ApplyOutcome::Never => figures.never += 1,
                ApplyOutcome::Unavailable => {}
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let of = |share: f64| {
        let rank = (times.len() as f64 * share).ceil() as usize;
        times.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
    };
    figures.in_force_p50_s = of(0.5);
    figures.in_force_p99_s = of(0.99);
    figures.in_force_all_s = of(1.0);
    let seconds = timeline.run.warm_up_s + timeline.run.duration_s;
    let rate = |sent: &[(u64, u64, u64)]| -> Vec<f64> {
        sent.iter().map(|t| t.1 as f64 / seconds).collect()
    };
    let split = control_nodes.min(outcome.traffic.len());
    let (control, sidecars) = outcome.traffic.split_at(split);
    let (control, sidecars) = (rate(control), rate(sidecars));
    let most = |rates: &[f64]| rates.iter().copied().fold(0.0, f64::max);
    figures.sidecar_bytes_per_s = sidecars.iter().sum::<f64>() / sidecars.len().max(1) as f64;
    figures.most_sidecar_bytes_per_s = most(&sidecars);
    figures.most_control_bytes_per_s = most(&control);
    Some(figures)
}

fn published<'e>(
    events: &'e [DocumentEvent],
    publication: &Publication,
) -> Option<&'e DocumentEvent> {
    let of = Kind::Published(publication.request.clone());
    events.iter().find(|event| event.kind == of)
}

/// Whether a document applies to the whole fleet. A request is recognised by its scope's name, a document by its key.
fn is_for_all(event: &DocumentEvent) -> bool {
    event.key.ends_with("All")
}

/// How long a change took to come into force at a sidecar.
enum ApplyOutcome {
    Within(Micros),
    Never,
    /// The sidecar was down or cut off until the end of the run.
    Unavailable,
}

fn apply_outcome(
    timeline: &Timeline,
    outcome: &Outcome,
    published: &DocumentEvent,
    from: Micros,
    sidecar: usize,
) -> ApplyOutcome {
    let applied = outcome.documents.iter().find(|event| {
        event.sidecar == sidecar
            && event.kind == Kind::Applied
            && event.version >= published.version
            && is_for_all(event)
    });
    let end = ((timeline.run.warm_up_s + timeline.run.duration_s) * 1e6) as Micros;
    let at = applied.map_or(Micros::MAX, |event| event.at);
    let (away, cut) = (absence_spans(outcome, sidecar), partition_spans(timeline));
    let overlapping_ends = |spans: &[Span]| -> Vec<Micros> {
        spans.iter().filter(|s| s.0 < at && s.1 > from).map(|s| s.1).collect()
    };
    // A restarted process applies documents before the lab has noticed that it is ready. A partitioned sidecar may be
    // cut off from only some members and apply documents before the partition ends.
    let returns = overlapping_ends(&away).into_iter().map(|span_end| span_end.min(at));
    let healed = overlapping_ends(&cut).into_iter().filter(|span_end| *span_end <= at);
    let from = returns.chain(healed).fold(from, Micros::max);
    match applied {
        Some(event) => ApplyOutcome::Within(event.at.saturating_sub(from)),
        None if away.iter().chain(&cut).any(|(_, span_end)| *span_end >= end) => {
            ApplyOutcome::Unavailable
        }
        None => ApplyOutcome::Never,
    }
}

/// The start and the end of a span of time.
type Span = (Micros, Micros);

/// The spans in which a sidecar was down or paused.
fn absence_spans(outcome: &Outcome, sidecar: usize) -> Vec<Span> {
    let absences = outcome.records.absences.iter().filter(|absence| absence.sidecar == sidecar);
    absences.map(|absence| (absence.from, absence.to)).collect()
}

/// The spans in which some sidecars were partitioned from others.
fn partition_spans(timeline: &Timeline) -> Vec<Span> {
    let partitions = timeline
        .events
        .iter()
        .filter(|event| matches!(event.kind, EventKind::Partition | EventKind::CutOneWay));
    let span = |event: &crate::timeline::Event| {
        let begin = ((timeline.run.warm_up_s + event.at_s) * 1e6) as Micros;
        let length = (event.for_s * 1e6) as Micros;
        (begin, if length == 0 { Micros::MAX } else { begin + length })
    };
    partitions.map(span).collect()
}

/// Counts how often a sidecar applied an earlier version of a key after a later one, restarts included.
fn went_back(events: &[DocumentEvent]) -> usize {
    let mut latest: BTreeMap<(usize, &str), &DocumentVersion> = BTreeMap::new();
    let mut count = 0;
    for event in events.iter().filter(|event| event.kind == Kind::Applied) {
        let known = latest.entry((event.sidecar, &event.key)).or_insert(&event.version);
        count += usize::from(event.version < **known);
        *known = (*known).max(&event.version);
    }
    count
}

/// Counts sidecars whose last version of the fleet-wide document differs from the most common one.
fn different_at_end(sidecars: usize, events: &[DocumentEvent]) -> usize {
    let mut last: BTreeMap<usize, &DocumentVersion> = BTreeMap::new();
    let applied = events.iter().filter(|e| e.kind == Kind::Applied && is_for_all(e));
    last.extend(applied.map(|event| (event.sidecar, &event.version)));
    let mut by_version: BTreeMap<&DocumentVersion, usize> = BTreeMap::new();
    last.values().for_each(|version| *by_version.entry(*version).or_default() += 1);
    let most = by_version.values().max().copied().unwrap_or(0);
    if most == 0 { 0 } else { sidecars - most }
}

/// Lists the timeline's expectations of documents that the figures do not meet, as text.
pub fn missed(timeline: &Timeline, figures: &DistributionFigures) -> Vec<String> {
    let mut missed = Vec::new();
    let expect = &timeline.expect;
    if figures.went_back > 0 {
        missed.push(format!("a version in force went back {} times", figures.went_back));
    }
    if let Some(limit) = expect.in_force_within_s {
        let got = figures.in_force_all_s;
        if got > limit {
            missed.push(format!("in_force_within_s: {limit} expected, not {got:.2}"));
        }
        if figures.never > 0 {
            missed.push(format!("{} times a change never came into force", figures.never));
        }
        if figures.different_at_end > 0 {
            let text = "sidecars ended with another version than most";
            missed.push(format!("{} {text}", figures.different_at_end));
        }
    }
    let least = [
        ("committed", expect.committed, figures.committed),
        ("stopped", expect.stopped, figures.stopped),
    ];
    for (what, limit, got) in least {
        if let Some(limit) = limit.filter(|limit| (got as f64) < *limit) {
            missed.push(format!("{what}: at least {limit} expected, not {got}"));
        }
    }
    missed
}
