//! The fault scenarios of which a drawn timeline consists. Each adds one event or a few related events.

use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::reservations::{Resource, Span};
use super::{Draft, hundredths};
use crate::timeline::{Event, EventKind, Select, Timeline};

/// Time from the start of a process until the next event on it, in seconds, in which it becomes ready.
const START_TIME_S: f64 = 3.0;
/// Maximum duration of a planned exit, in seconds: the longest deadline plus the lab's margin.
const EXIT_TIME_S: f64 = 4.0;
/// Time of high load before a sidecar's exit, in seconds: clients open connections and use them until the exit.
const BUSY_BEFORE_S: f64 = 1.0;
/// Time without further events on a server after it leaves or starts, in seconds.
const SERVER_SETTLE_S: f64 = 4.0;
/// Time without further events on a sidecar after a change of its discovery address, in seconds.
const RELOAD_SETTLE_S: f64 = 2.0;
/// Maximum number of sidecars with high load at once, limited by the machine.
const MAX_BUSY_SIDECARS: usize = 3;
/// Gap between events on targets other than processes, in seconds.
const GAP_S: f64 = 0.5;

/// A fault or a planned operation in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FaultScenario {
    /// Some sidecars are killed at once and restart.
    Kills,
    /// Sidecars are restarted by SIGTERM, at once or one after another.
    RollingRestart,
    /// Sidecars get a new discovery address by SIGHUP.
    Reloads,
    /// Sidecars get several signals within tens of milliseconds, SIGHUP while they drain, or SIGTERM as soon as they
    /// are ready.
    SignalSeries,
    /// Processes are paused or throttled.
    Pauses,
    /// Servers drain and leave, and cold ones replace them.
    Drains,
    /// Servers drain and leave while sidecars are restarted.
    DrainsAndRestarts,
    /// Servers stop answering.
    Hangs,
    /// Servers stop answering, and sidecars shut down meanwhile.
    HangsThroughShutdown,
    /// Sidecars shut down while their clients use many open connections, and some servers may hang.
    BusyShutdown,
    /// Servers answer errors, reset connections, reject requests, refuse connections, or are slow.
    FailingServers,
    /// Servers crash and restart cold.
    Crashes,
    /// Discovery does not answer for a long time, in which servers or sidecars change.
    DiscoveryOutage,
    /// Discovery serves an old list, stops answering its watches, or restarts its version numbers.
    DiscoveryWrong,
    /// Streams from some sidecars to servers are cut or delayed.
    StreamCuts,
    /// A zone is cut off.
    ZoneCut,
    /// Datagrams between sidecars are lost, duplicated, reordered, or cut in one direction.
    BadDatagrams,
    /// The load rises for a time.
    Burst,
}

const ALL: [FaultScenario; 18] = [
    FaultScenario::Kills,
    FaultScenario::RollingRestart,
    FaultScenario::Reloads,
    FaultScenario::SignalSeries,
    FaultScenario::Pauses,
    FaultScenario::Drains,
    FaultScenario::DrainsAndRestarts,
    FaultScenario::Hangs,
    FaultScenario::HangsThroughShutdown,
    FaultScenario::BusyShutdown,
    FaultScenario::FailingServers,
    FaultScenario::Crashes,
    FaultScenario::DiscoveryOutage,
    FaultScenario::DiscoveryWrong,
    FaultScenario::StreamCuts,
    FaultScenario::ZoneCut,
    FaultScenario::BadDatagrams,
    FaultScenario::Burst,
];

impl FaultScenario {
    /// Draws a scenario.
    pub(super) fn draw(random: &mut ChaCha8Rng) -> FaultScenario {
        ALL[random.random_range(0..ALL.len())]
    }

    /// Adds the scenario's events. If an earlier scenario has reserved its targets, it adds fewer events or none.
    pub(super) fn add(self, draft: &mut Draft, at_s: f64) {
        match self {
            FaultScenario::Kills => kills(draft, at_s),
            FaultScenario::RollingRestart => restarts(draft, at_s),
            FaultScenario::Reloads => reloads(draft, at_s),
            FaultScenario::SignalSeries => signal_series(draft, at_s),
            FaultScenario::Pauses => pauses(draft, at_s),
            FaultScenario::Drains => drains(draft, at_s),
            FaultScenario::DrainsAndRestarts => {
                drains(draft, at_s);
                let at_s = at_s + draft.between(0.0, GAP_S);
                restarts(draft, at_s);
            }
            FaultScenario::Hangs => hangs(draft, at_s),
            FaultScenario::HangsThroughShutdown => {
                hangs(draft, at_s);
                let at_s = at_s + draft.between(0.05, GAP_S);
                restarts(draft, at_s);
            }
            FaultScenario::BusyShutdown => busy_shutdown(draft, at_s),
            FaultScenario::FailingServers => failing_servers(draft, at_s),
            FaultScenario::Crashes => crashes(draft, at_s),
            FaultScenario::DiscoveryOutage => discovery_outage(draft, at_s),
            FaultScenario::DiscoveryWrong => discovery_wrong(draft, at_s),
            FaultScenario::StreamCuts => stream_cuts(draft, at_s),
            FaultScenario::ZoneCut => zone_cut(draft, at_s),
            FaultScenario::BadDatagrams => bad_datagrams(draft, at_s),
            FaultScenario::Burst => burst(draft, at_s),
        }
    }
}

/// Reserves a random number of targets for an event, at most `most`.
fn reserve_some(draft: &mut Draft, resource: Resource, span: Span, most: usize) -> Option<Select> {
    let wanted = draft.random.random_range(1..=most.max(1));
    draft.reservations.reserve(&mut draft.random, resource, span, wanted)
}

/// Half of the servers, the maximum for server events, so that some stay warm and healthy.
fn half_of_servers(draft: &Draft) -> usize {
    draft.timeline.servers.count / 2
}

fn kills(draft: &mut Draft, at_s: f64) {
    let back_s = draft.between(0.0, 1.5);
    let most = draft.timeline.sidecars.count;
    let span = Span { at_s, length_s: back_s + START_TIME_S };
    if let Some(who) = reserve_some(draft, Resource::Process, span, most) {
        let back_after_s = Some(back_s);
        draft.push(Event { at_s, kind: EventKind::Kill, who, back_after_s, ..Event::default() });
    }
}

fn restarts(draft: &mut Draft, at_s: f64) {
    let over_s = if draft.random.random_bool(0.5) { 0.0 } else { draft.between(0.5, 6.0) };
    let back_s = draft.between(0.0, 0.5);
    let most = draft.timeline.sidecars.count;
    let span = Span { at_s, length_s: over_s + EXIT_TIME_S + back_s + START_TIME_S };
    if let Some(who) = reserve_some(draft, Resource::Process, span, most) {
        let kind = EventKind::Terminate;
        let back_after_s = Some(back_s);
        draft.push(Event { at_s, kind, who, over_s, back_after_s, ..Event::default() });
    }
}

fn busy_shutdown(draft: &mut Draft, at_s: f64) {
    let back_s = draft.between(0.0, 0.5);
    let busy_s = BUSY_BEFORE_S + EXIT_TIME_S;
    let span = Span { at_s, length_s: busy_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Load, span) {
        return;
    }
    let span = Span { at_s, length_s: busy_s + back_s + START_TIME_S };
    let Some(who) = reserve_some(draft, Resource::Process, span, MAX_BUSY_SIDECARS) else { return };
    if draft.random.random_bool(0.5) {
        hangs(draft, at_s);
    }
    let for_s = draft.lasting(at_s, busy_s, busy_s);
    let amount = Some(draft.between(3.0, 8.0));
    let (kind, busy) = (EventKind::Load, who.clone());
    draft.push(Event { at_s, kind, who: busy, for_s, amount, ..Event::default() });
    let (at_s, back_after_s) = (at_s + BUSY_BEFORE_S, Some(back_s));
    draft.push(Event { at_s, kind: EventKind::Terminate, who, back_after_s, ..Event::default() });
}

fn reloads(draft: &mut Draft, at_s: f64) {
    let over_s = draft.between(0.0, 2.0);
    let most = draft.timeline.sidecars.count;
    let span = Span { at_s, length_s: over_s + RELOAD_SETTLE_S };
    if let Some(who) = reserve_some(draft, Resource::Process, span, most) {
        draft.push(Event { at_s, kind: EventKind::Reload, who, over_s, ..Event::default() });
    }
}

/// Adds signals to the same sidecars in close succession.
fn signal_series(draft: &mut Draft, at_s: f64) {
    let back_s = draft.between(0.0, 0.5);
    let most = draft.timeline.sidecars.count;
    let span = Span { at_s, length_s: 2.0 * (EXIT_TIME_S + back_s + START_TIME_S) };
    let Some(who) = reserve_some(draft, Resource::Process, span, most) else { return };
    let signal = |after_s: f64, kind: EventKind| Event {
        at_s: at_s + after_s,
        kind,
        who: who.clone(),
        back_after_s: kind.restarts_process().then_some(back_s),
        ..Event::default()
    };
    let gap_s = draft.between(0.0, 0.05);
    let while_draining_s = draft.between(0.01, 0.6);
    let series = match draft.random.random_range(0..3) {
        0 => vec![
            signal(0.0, EventKind::HangUp),
            signal(gap_s, EventKind::HangUp),
            signal(2.0 * gap_s, EventKind::Terminate),
        ],
        1 => vec![signal(0.0, EventKind::TerminateAtReady), signal(0.01, EventKind::Kill)],
        _ => vec![
            signal(0.0, EventKind::Terminate),
            signal(while_draining_s, EventKind::HangUp),
            signal(while_draining_s + gap_s, EventKind::HangUp),
        ],
    };
    series.into_iter().for_each(|event| draft.push(event));
}

fn pauses(draft: &mut Draft, at_s: f64) {
    let throttle = draft.random.random_bool(0.3);
    let for_s = draft.lasting(at_s, 0.1, 3.0);
    let most = draft.timeline.sidecars.count / 2;
    let span = Span { at_s, length_s: for_s + GAP_S };
    let Some(who) = reserve_some(draft, Resource::Process, span, most) else { return };
    let (kind, amount) = match throttle {
        true => (EventKind::Throttle, Some(draft.between(2.0, 8.0))),
        false => (EventKind::Pause, None),
    };
    draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
}

fn drains(draft: &mut Draft, at_s: f64) {
    let over_s = draft.between(0.0, 3.0);
    let most = half_of_servers(draft);
    let span = Span { at_s, length_s: over_s + SERVER_SETTLE_S };
    if let Some(who) = reserve_some(draft, Resource::ServerLife, span, most) {
        draft.push(Event { at_s, kind: EventKind::Replace, who, over_s, ..Event::default() });
    }
}

fn crashes(draft: &mut Draft, at_s: f64) {
    let back_s = draft.between(0.1, 2.0);
    let most = half_of_servers(draft);
    let span = Span { at_s, length_s: back_s + SERVER_SETTLE_S };
    if let Some(who) = reserve_some(draft, Resource::ServerLife, span, most) {
        let back_after_s = Some(back_s);
        draft.push(Event { at_s, kind: EventKind::Crash, who, back_after_s, ..Event::default() });
    }
}

fn hangs(draft: &mut Draft, at_s: f64) {
    let for_s = draft.lasting(at_s, 2.0, 10.0);
    server_condition(draft, at_s, for_s, EventKind::Silent, None);
}

fn failing_servers(draft: &mut Draft, at_s: f64) {
    let kinds = [
        EventKind::Errors,
        EventKind::Slow,
        EventKind::Reset,
        EventKind::BreakAnswers,
        EventKind::Full,
        EventKind::Refuse,
    ];
    let kind = kinds[draft.random.random_range(0..kinds.len())];
    let amount = match kind {
        EventKind::Slow => Some(draft.between(2.0, 30.0)),
        EventKind::Full | EventKind::Refuse => None,
        _ => Some(draft.between(0.05, 1.0)),
    };
    let for_s = draft.lasting(at_s, 0.5, 8.0);
    server_condition(draft, at_s, for_s, kind, amount);
}

fn server_condition(
    draft: &mut Draft,
    at_s: f64,
    for_s: f64,
    kind: EventKind,
    amount: Option<f64>,
) {
    let most = half_of_servers(draft);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if let Some(who) = reserve_some(draft, Resource::ServerAnswers, span, most) {
        draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
    }
}

fn discovery_outage(draft: &mut Draft, at_s: f64) {
    let for_s = draft.lasting(at_s, 4.0, 15.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Discovery, span) {
        return;
    }
    draft.push(Event { at_s, kind: EventKind::DiscoveryDown, for_s, ..Event::default() });
    let within = hundredths(at_s + draft.between(0.1, for_s.min(3.0)));
    match draft.random.random_range(0..4) {
        0 => drains(draft, within),
        1 => crashes(draft, within),
        2 => restarts(draft, within),
        _ => kills(draft, within),
    }
}

fn discovery_wrong(draft: &mut Draft, at_s: f64) {
    let for_s = draft.lasting(at_s, 1.0, 8.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Discovery, span) {
        return;
    }
    let event = Event { at_s, ..Event::default() };
    let event = match draft.random.random_range(0..3) {
        0 => {
            let amount = Some(draft.between(1.0, 10.0));
            Event { kind: EventKind::DiscoveryStale, for_s, amount, ..event }
        }
        1 => Event { kind: EventKind::WatchesSilent, ..event },
        _ => Event { kind: EventKind::DiscoveryRestart, ..event },
    };
    draft.push(event);
}

fn stream_cuts(draft: &mut Draft, at_s: f64) {
    let for_s = draft.lasting(at_s, 0.3, 5.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Streams, span) {
        return;
    }
    let count = Some(draft.random.random_range(1..=draft.timeline.sidecars.count / 2));
    let who = Select { count, ..Select::default() };
    let (kind, amount) = match draft.random.random_bool(0.6) {
        true => (EventKind::CutStreams, None),
        false => (EventKind::DelayStreams, Some(draft.between(5.0, 300.0))),
    };
    draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
}

fn zone_cut(draft: &mut Draft, at_s: f64) {
    let zones = draft.timeline.sidecars.zones;
    if zones < 2 {
        return stream_cuts(draft, at_s);
    }
    let for_s = draft.lasting(at_s, 0.5, 6.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Streams, span) {
        return;
    }
    let zone = Some(Timeline::zone_name(draft.random.random_range(0..zones)));
    let who = Select { zone, ..Select::default() };
    draft.push(Event { at_s, kind: EventKind::Partition, who, for_s, ..Event::default() });
}

fn bad_datagrams(draft: &mut Draft, at_s: f64) {
    if !draft.timeline.network.may_tell {
        return failing_servers(draft, at_s);
    }
    let for_s = draft.lasting(at_s, 1.0, 8.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Datagrams, span) {
        return;
    }
    let kinds = [EventKind::Loss, EventKind::Duplicate, EventKind::Reorder, EventKind::CutOneWay];
    let kind = kinds.choose(&mut draft.random).copied().unwrap_or(EventKind::Loss);
    let amount = kind.amount_bounds().map(|_| draft.between(0.1, 1.0));
    let count = Some(draft.random.random_range(1..=draft.timeline.sidecars.count / 2));
    let who = Select { count, ..Select::default() };
    draft.push(Event { at_s, kind, who, for_s, amount, ..Event::default() });
}

fn burst(draft: &mut Draft, at_s: f64) {
    let for_s = draft.lasting(at_s, 0.5, 4.0);
    let span = Span { at_s, length_s: for_s + GAP_S };
    if !draft.reservations.reserve_one(&mut draft.random, Resource::Load, span) {
        return;
    }
    let amount = Some(draft.between(2.0, 5.0));
    let who = Select::default();
    draft.push(Event { at_s, kind: EventKind::Load, who, for_s, amount, ..Event::default() });
}
