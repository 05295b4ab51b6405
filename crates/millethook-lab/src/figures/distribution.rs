//! How documents came into force: how long it took, and that no version ever went back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ledger::Micros;
use crate::timeline::{EventKind, Timeline};
use crate::world::Outcome;
use crate::world::documents::{DocumentEvent, DocumentEventKind as Kind, DocumentVersion};
use crate::world::publisher::Publication;

/// Documents of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DistributionFigures {
    /// Requests that were left with a writer.
    pub requested: usize,
    /// Those that got a version.
    pub published: usize,
    /// Those that a majority of the control nodes accepted.
    pub committed: usize,
    /// Those that were stopped, and what was before was put back.
    pub stopped: usize,
    /// Refusals by sidecars.
    pub refused: usize,
    /// From the request to being in force, in seconds, over changes for all and sidecars: of 50 in 100,
    pub in_force_p50_s: f64,
    /// of 99,
    pub in_force_p99_s: f64,
    /// and of all. Time in which a sidecar was not there or cut off does not count.
    pub in_force_all_s: f64,
    /// Pairs of a change and a sidecar where it never came into force.
    pub never: usize,
    /// Times that a version at a sidecar went back.
    pub went_back: usize,
    /// Sidecars that ended the run with another version than most.
    pub different_at_end: usize,
    /// Bytes a second that a sidecar sent to others, all kinds together: the mean of those that are no control nodes,
    pub sidecar_bytes_per_s: f64,
    /// and the most.
    pub most_sidecar_bytes_per_s: f64,
    /// The same of control nodes, the most.
    pub most_control_bytes_per_s: f64,
}

/// The figures; None: nothing is distributed.
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
        // What was stopped is in force nowhere; what was merged away is in force as its successor.
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
            match took(timeline, outcome, published, publication.at, sidecar) {
                Took::Within(time) => times.push(time as f64 / 1e6),
                Took::Never => figures.never += 1,
                Took::Excused => {}
            }
        }
    }
    times.sort_by(f64::total_cmp);
    let of = |share: f64| {
        let place = (times.len() as f64 * share).ceil() as usize;
        times.get(place.saturating_sub(1)).copied().unwrap_or(0.0)
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

/// Whether a document is for all. Requests are told by the names of their scopes, documents by their keys.
fn is_for_all(event: &DocumentEvent) -> bool {
    event.key.ends_with("All")
}

/// How long a change took at a sidecar.
enum Took {
    Within(Micros),
    Never,
    /// The sidecar was away or cut off to the end.
    Excused,
}

fn took(
    timeline: &Timeline,
    outcome: &Outcome,
    published: &DocumentEvent,
    from: Micros,
    sidecar: usize,
) -> Took {
    let applied = outcome.documents.iter().find(|event| {
        event.sidecar == sidecar
            && event.kind == Kind::Applied
            && event.version >= published.version
            && is_for_all(event)
    });
    let end = ((timeline.run.warm_up_s + timeline.run.duration_s) * 1e6) as Micros;
    let at = applied.map_or(Micros::MAX, |event| event.at);
    let (away, cut) = (away(outcome, sidecar), cuts(timeline));
    let meant = |spans: &[Span]| -> Vec<Micros> {
        spans.iter().filter(|s| s.0 < at && s.1 > from).map(|s| s.1).collect()
    };
    // A process that comes back takes documents before the lab has noticed that it is ready; a cut one may be cut off
    // from some only, and takes them in time.
    let returns = meant(&away).into_iter().map(|over| over.min(at));
    let healed = meant(&cut).into_iter().filter(|over| *over <= at);
    let from = returns.chain(healed).fold(from, Micros::max);
    match applied {
        Some(event) => Took::Within(event.at.saturating_sub(from)),
        None if away.iter().chain(&cut).any(|(_, over)| *over >= end) => Took::Excused,
        None => Took::Never,
    }
}

/// From when until when.
type Span = (Micros, Micros);

/// When a sidecar was not there, or stood still.
fn away(outcome: &Outcome, sidecar: usize) -> Vec<Span> {
    let away = outcome.records.absences.iter().filter(|absence| absence.sidecar == sidecar);
    away.map(|absence| (absence.from, absence.to)).collect()
}

/// When some were cut off from others.
fn cuts(timeline: &Timeline) -> Vec<Span> {
    let cuts = timeline
        .events
        .iter()
        .filter(|event| matches!(event.kind, EventKind::Partition | EventKind::CutOneWay));
    let span = |event: &crate::timeline::Event| {
        let begin = ((timeline.run.warm_up_s + event.at_s) * 1e6) as Micros;
        let length = (event.for_s * 1e6) as Micros;
        (begin, if length == 0 { Micros::MAX } else { begin + length })
    };
    cuts.map(span).collect()
}

/// Times that a sidecar put an earlier version of a key into force after a later one, over restarts too.
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

/// Sidecars whose last version of what is for all is another one than that of most.
fn different_at_end(sidecars: usize, events: &[DocumentEvent]) -> usize {
    let mut last: BTreeMap<usize, &DocumentVersion> = BTreeMap::new();
    let applied = events.iter().filter(|e| e.kind == Kind::Applied && is_for_all(e));
    last.extend(applied.map(|event| (event.sidecar, &event.version)));
    let mut by_version: BTreeMap<&DocumentVersion, usize> = BTreeMap::new();
    last.values().for_each(|version| *by_version.entry(*version).or_default() += 1);
    let most = by_version.values().max().copied().unwrap_or(0);
    if most == 0 { 0 } else { sidecars - most }
}

/// What the file expects of documents and the run does not show, in words.
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
