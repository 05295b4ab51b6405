//! Checks of a timeline's values beyond their types.

use std::collections::HashSet;

use super::event::{EventKind, Select, Target};
use super::read::{Faults, SectionSpans};
use super::*;

type Read<T> = (T, SectionSpans);

/// Sections of a file, as read.
pub(super) struct Parts<'p> {
    pub run: &'p Read<RunKeys>,
    pub sidecars: &'p Read<Sidecars>,
    pub load: &'p Read<Load>,
    pub servers: &'p Read<Servers>,
    pub discovery: &'p Read<Discovery>,
    pub network: &'p Read<Network>,
    pub distribution: &'p Read<Distribution>,
    pub rules: &'p Read<Rules>,
    pub expect: &'p Read<Expect>,
    pub classes: &'p [Read<Class>],
    pub events: &'p [Read<Event>],
}

/// Keys of one section with their values, minima and maxima.
type Bounds<'b> = &'b [(&'b str, f64, f64, f64)];

fn check_bounds(faults: &mut Faults<'_>, spans: &SectionSpans, of: Bounds<'_>) {
    for &(key, value, least, most) in of {
        if !(least..=most).contains(&value) {
            faults.at(spans, key, format!("{least} to {most} expected, not {value}"));
        }
    }
}

/// Maximum length of a run, in seconds, so that a mistake in a file does not occupy a machine for a night.
const MAX_RUN_S: f64 = 3_600.0;

pub(super) fn check(f: &mut Faults<'_>, parts: &Parts<'_>) {
    let (run, at) = parts.run;
    if run.about.trim().is_empty() {
        f.at(at, "about", "a line on what the timeline is for expected");
    }
    let times = [
        ("duration_s", run.duration_s, 1.0, MAX_RUN_S),
        ("warm_up_s", run.warm_up_s, 0.0, 600.0),
        ("late_p99_ms", run.late_p99_ms, 1.0, 10_000.0),
        ("processor_wait_ms", run.processor_wait_ms, 0.0, 10_000.0),
    ];
    check_bounds(f, at, &times);
    let (s, at) = parts.sidecars;
    let sizes = [
        ("count", s.count as f64, 1.0, 2_000.0),
        ("zones", s.zones as f64, 1.0, 26.0),
        ("memory_mb", s.memory_mb as f64, 16.0, 65_536.0),
        ("descriptors", s.descriptors as f64, 128.0, 1_048_576.0),
        ("view_period_s", s.view_period_s, 0.0, 60.0),
        ("views", s.views as f64, 0.0, 64.0),
        ("edge_host", s.edge_host as f64, 0.0, 2_000.0),
    ];
    check_bounds(f, at, &sizes);
    let (l, at) = parts.load;
    let load = [
        ("per_sidecar", l.per_sidecar, 0.01, 1_000.0),
        ("uneven", l.uneven, 0.0, 2.0),
        ("retries", f64::from(l.retries), 0.0, 10.0),
        ("backoff_ms", l.backoff_ms, 1.0, 60_000.0),
    ];
    check_bounds(f, at, &load);
    let (v, at) = parts.servers;
    let servers = [
        ("count", v.count as f64, 1.0, 2_000.0),
        ("slots", v.slots as f64, 1.0, 1_024.0),
        ("queue", v.queue as f64, 0.0, 65_536.0),
        ("connections", v.connections as f64, 1.0, 65_536.0),
        ("cold_share", v.cold_share, 0.01, 1.0),
        ("cold_s", v.cold_s, 0.0, 600.0),
    ];
    check_bounds(f, at, &servers);
    let (d, at) = parts.discovery;
    let discovery = [
        ("late_s", d.late_s, 0.0, 6.0),
        ("work_s", d.work_s, 0.001, 60.0),
        ("line", d.line as f64, 1.0, 65_536.0),
    ];
    check_bounds(f, at, &discovery);
    let (n, at) = parts.network;
    let network = [
        ("delay_ms", n.delay_ms, 0.0, 60_000.0),
        ("jitter_ms", n.jitter_ms, 0.0, 60_000.0),
        ("loss", n.loss, 0.0, 1.0),
    ];
    check_bounds(f, at, &network);
    let (r, at) = parts.rules;
    let rules = [
        ("answer_slack_ms", r.answer_slack_ms, 0.0, 1_000.0),
        ("stop_sending_ms", r.stop_sending_ms, 1.0, 60_000.0),
        ("fall_multiple", r.fall_multiple, 1.0, 100.0),
        ("tip_after_s", r.tip_after_s, 0.1, 60.0),
        ("socket_slack_ms", r.socket_slack_ms, 0.0, 1_000.0),
    ];
    check_bounds(f, at, &rules);
    if s.view_period_s > 0.0 && !n.may_tell {
        f.at(&parts.network.1, "may_tell", "true expected, as view_period_s is set");
    }
    if s.share_evidence && s.view_period_s == 0.0 {
        f.at(&parts.sidecars.1, "share_evidence", "view_period_s expected beside it");
    }
    check_distribution(f, parts);
    let (e, at) = parts.expect;
    if e.lists_within.is_some() && !parts.discovery.0.on_request {
        f.at(&parts.discovery.1, "asked", "true expected, as lists_within is set");
    }
    let expected = [
        ("served", e.served, 1.0),
        ("back_within_s", e.back_within_s, MAX_RUN_S),
        ("imbalance", e.imbalance, 1_000.0),
        ("handshakes", e.handshakes, 1_000.0),
        ("unanswered", e.unanswered, 1e9),
        ("kept_open", e.kept_open, 1e9),
        ("kept", e.kept, 1e9),
        ("owned_at_end", e.owned_at_end, 1e6),
        ("trials_by_others", e.trials_by_others, 1e9),
        ("in_force_within_s", e.in_force_within_s, MAX_RUN_S),
        ("committed", e.committed, 1e6),
        ("stopped", e.stopped, 1e6),
        ("view_agrees_within_s", e.view_agrees_within_s, MAX_RUN_S),
        ("evidence_agrees_within_s", e.evidence_agrees_within_s, MAX_RUN_S),
        ("lists_within", e.lists_within, 1_000.0),
    ];
    for (key, value, most) in expected {
        if let Some(value) = value {
            check_bounds(f, at, &[(key, value, 0.0, most)]);
        }
    }
    check_classes(f, parts.classes);
    for (event, at) in parts.events {
        check_event(f, parts, event, at);
    }
}

fn check_distribution(f: &mut Faults<'_>, parts: &Parts<'_>) {
    let (d, at) = parts.distribution;
    let sidecars = &parts.sidecars.0;
    let most_writers = if d.writers == 0 { d.control_nodes } else { d.writers };
    let sizes = [
        ("control_nodes", d.control_nodes as f64, 0.0, sidecars.count as f64),
        ("writers", d.writers as f64, 0.0, d.control_nodes as f64),
        ("regions", d.regions as f64, 1.0, sidecars.zones as f64),
        ("lists_from", d.lists_from as f64, 0.0, most_writers as f64),
    ];
    check_bounds(f, at, &sizes);
    if d.lists_from > 0 && !parts.discovery.0.on_request {
        f.at(&parts.discovery.1, "asked", "true expected, as distribution.lists_from is set");
    }
    let streams = |kind| {
        matches!(kind, EventKind::Partition | EventKind::CutStreams | EventKind::DelayStreams)
    };
    for (_, at) in parts.events.iter().filter(|(e, _)| d.lists_from > 0 && streams(e.kind)) {
        // With these events, server addresses differ between sidecars, so a shared list cannot hold them.
        f.at(at, "do", "not expected beside distribution.lists_from");
    }
    if d.control_nodes > 0 && sidecars.view_period_s == 0.0 {
        f.at(at, "control_nodes", "sidecars.view_period_s expected beside it");
    }
    if d.control_nodes > 0 && sidecars.edge_host > 0 {
        f.at(at, "control_nodes", "not expected beside sidecars.edge_host");
    }
    if d.control_nodes > 0 && !sidecars.product.contains("[lease]") {
        f.at(at, "control_nodes", "a section [lease] in sidecars.product expected beside it");
    }
}

fn check_classes(f: &mut Faults<'_>, classes: &[Read<Class>]) {
    let mut names = HashSet::new();
    for (c, at) in classes {
        let figures = [
            ("window_ms", c.window_ms, 1.0, 600_000.0),
            ("share", c.share, 0.0, 1e6),
            ("aim_ms", c.aim_ms, 1.0, 60_000.0),
            ("deadline_ms", c.deadline_ms, 1.0, 60_000.0),
            ("work_ms", c.work_ms, 0.1, 60_000.0),
            ("worth", c.worth, 0.0, 1e6),
            ("chain", c.chain as f64, 0.0, 2_000.0),
        ];
        check_bounds(f, at, &figures);
        if c.aim_ms > c.deadline_ms {
            f.at(at, "aim_ms", format!("{} at most expected, as deadline_ms says", c.deadline_ms));
        }
        let is_name_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
        if c.name.is_empty() || !c.name.bytes().all(is_name_byte) {
            f.at(at, "name", "small letters, digits and dashes expected");
        }
        if !names.insert(&c.name) {
            f.at(at, "name", format!("a name of its own expected, not {:?} again", c.name));
        }
    }
    if let Some((_, at)) = classes.first()
        && classes.iter().map(|(c, _)| c.share).sum::<f64>() <= 0.0
    {
        f.at(at, "share", "more than 0 expected, over all classes");
    }
}

fn check_event(f: &mut Faults<'_>, parts: &Parts<'_>, event: &Event, at: &SectionSpans) {
    let duration = parts.run.0.duration_s;
    let times = [
        ("at_s", event.at_s, 0.0, duration),
        ("for_s", event.for_s, 0.0, MAX_RUN_S),
        ("over_s", event.over_s, 0.0, MAX_RUN_S),
        ("back_after_s", event.back_after_s.unwrap_or(0.0), 0.0, MAX_RUN_S),
    ];
    check_bounds(f, at, &times);
    let kind = event.kind;
    match (kind.amount_bounds(), event.amount) {
        (None, None) => {}
        (None, Some(_)) => f.at(at, "amount", "not expected for this event"),
        (Some((what, least, most)), given) => {
            if !given.is_some_and(|given| (least..=most).contains(&given)) {
                f.at(at, "amount", format!("{what} from {least} to {most} expected"));
            }
        }
    }
    if event.for_s > 0.0 && !kind.has_duration() {
        f.at(at, "for_s", "not expected: this event is over at once");
    }
    if matches!(kind, EventKind::Pause | EventKind::Throttle) && event.for_s <= 0.0 {
        f.at(at, "for_s", "how long it lasts expected");
    }
    if event.back_after_s.is_some() && !kind.restarts_process() {
        f.at(at, "back_after_s", "not expected for this event");
    }
    let has_two_sides = matches!(kind, EventKind::CutOneWay | EventKind::Partition);
    if event.from.is_some() && !has_two_sides {
        f.at(at, "from", "expected only with cut_one_way and partition");
    }
    let publishes = kind == EventKind::Publish;
    if publishes && parts.distribution.0.control_nodes == 0 {
        f.at(at, "do", "distribution.control_nodes expected beside it");
    }
    if !publishes && (event.scope.is_some() || event.document.is_some()) {
        f.at(at, "do", "scope and document expected only with publish");
    }
    let of_clients = matches!(kind, EventKind::Load | EventKind::IdleClients);
    let staggers = publishes
        || matches!(kind.target(), Target::Sidecars) && !of_clients
        || matches!(kind, EventKind::Replace | EventKind::Crash);
    if event.over_s > 0.0 && !staggers {
        f.at(at, "over_s", "not expected for this event");
    }
    let of = match kind.target() {
        Target::Servers => parts.servers.0.count,
        _ => parts.sidecars.0.count,
    };
    check_select(f, parts, at, "who", &event.who, of);
    if let Some(from) = &event.from {
        check_select(f, parts, at, "from", from, parts.sidecars.0.count);
    }
}

fn check_select(
    f: &mut Faults<'_>,
    parts: &Parts<'_>,
    at: &SectionSpans,
    key: &str,
    who: &Select,
    of: usize,
) {
    if let Some(id) = who.ids.iter().flatten().find(|id| **id >= of) {
        f.at(at, key, format!("ids from 0 to {} expected, not {id}", of.saturating_sub(1)));
    }
    let zones = parts.sidecars.0.zones;
    let known = |zone: &str| (0..zones).any(|z| Timeline::zone_name(z) == zone);
    if let Some(zone) = who.zone.as_deref().filter(|zone| !known(zone)) {
        let last = Timeline::zone_name(zones.saturating_sub(1));
        f.at(at, key, format!("a zone from \"a\" to {last:?} expected, not {zone:?}"));
    }
    if let Some(share) = who.share.filter(|share| !(0.0..=1.0).contains(share)) {
        f.at(at, key, format!("a share from 0 to 1 expected, not {share}"));
    }
    if who.share.is_some() && who.count.is_some() {
        f.at(at, key, "share or count expected, not both");
    }
}
