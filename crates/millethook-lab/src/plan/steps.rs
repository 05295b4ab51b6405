//! Converts the events of a timeline to steps, one for each target.

use std::time::Duration;

use super::{Action, Step};
use crate::timeline::event::Target;
use crate::timeline::{Event, EventKind, Timeline};

/// Period of throttling: a throttled process is stopped for a part of each period.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);
/// Time until the restart of a crashed server, if the event has no `back_after_s`.
const DEFAULT_CRASH_DURATION: Duration = Duration::from_millis(500);

/// All steps, sorted by time. `drawn` holds the targets of each event.
pub(super) fn steps(timeline: &Timeline, drawn: &[Vec<usize>], warm_up: Duration) -> Vec<Step> {
    let mut steps = Vec::new();
    for (nth, (event, who)) in timeline.events.iter().zip(drawn).enumerate() {
        let begin = warm_up + Duration::from_secs_f64(event.at_s);
        let lasting = event.kind.has_duration() && event.for_s > 0.0;
        let length = Duration::from_secs_f64(event.for_s);
        let spread = Duration::from_secs_f64(event.over_s);
        let mut add = |at, action| steps.push(Step { at, action });
        add(begin, Action::Mark { event: nth, begins: true });
        for (position, &n) in who.iter().enumerate() {
            let at = begin + spread.mul_f64(position as f64 / who.len().max(1) as f64);
            add_target_steps(event, n, at, &mut add);
        }
        if event.kind.target() == Target::Network {
            add(begin, Action::Network { event: nth, on: true });
            if lasting {
                add(begin + length, Action::Network { event: nth, on: false });
            }
        }
        if event.kind == EventKind::Publish {
            let count = event.amount.unwrap_or(0.0).round() as usize;
            for document in 0..count {
                let at = begin + spread.mul_f64(document as f64 / count.max(1) as f64);
                add(at, Action::Publish { event: nth, nth: document });
            }
        }
        let end = if lasting { length } else { spread };
        if end > Duration::ZERO {
            add(begin + end, Action::Mark { event: nth, begins: false });
        }
    }
    steps.sort_by_key(|step| step.at);
    steps
}

/// Adds the steps of an event for one of its targets, from a time on.
fn add_target_steps(event: &Event, n: usize, at: Duration, add: &mut impl FnMut(Duration, Action)) {
    let lasting = event.kind.has_duration() && event.for_s > 0.0;
    let length = Duration::from_secs_f64(event.for_s);
    let amount = event.amount.unwrap_or(0.0);
    let back = event.back_after_s.map(Duration::from_secs_f64);
    let on_off = |make: &dyn Fn(bool) -> Action, add: &mut dyn FnMut(Duration, Action)| {
        add(at, make(true));
        if lasting {
            add(at + length, make(false));
        }
    };
    match event.kind {
        EventKind::Kill => add(at, Action::Kill { sidecar: n, back }),
        EventKind::Terminate => add(at, Action::Terminate { sidecar: n, back }),
        EventKind::Pause => {
            add(at, Action::Pause { sidecar: n });
            add(at + length, Action::Resume { sidecar: n });
        }
        EventKind::Throttle => throttle(event, n, at, add),
        EventKind::Reload => add(at, Action::Reload { sidecar: n }),
        EventKind::HangUp => add(at, Action::HangUp { sidecar: n }),
        EventKind::TerminateAtReady => add(at, Action::TerminateAtReady { sidecar: n, back }),
        EventKind::Start => add(at, Action::Start { sidecar: n }),
        EventKind::Twin => add(at, Action::Twin { sidecar: n }),
        EventKind::Replace => add(at, Action::Replace { server: n }),
        EventKind::Crash => {
            add(at, Action::Crash { server: n, back: back.unwrap_or(DEFAULT_CRASH_DURATION) })
        }
        EventKind::IdleClients => {
            let count = amount.round() as usize;
            on_off(&|on| Action::IdleClients { sidecar: n, count, on }, add);
        }
        kind if kind.target() == Target::Servers => {
            on_off(&|on| Action::Server { server: n, kind, amount, on }, add);
        }
        kind if kind.target() == Target::Discovery => {
            on_off(&|on| Action::Discovery { sidecar: n, kind, amount, on }, add);
        }
        // Load is part of the arrivals, and the caller adds one step for each network event.
        _ => {}
    }
}

/// Simulates a slower host: the process is stopped for most of each period.
fn throttle(event: &Event, n: usize, at: Duration, add: &mut impl FnMut(Duration, Action)) {
    let stopped = THROTTLE_PERIOD.mul_f64(1.0 - 1.0 / event.amount.unwrap_or(0.0).max(1.0));
    let slices = (event.for_s / THROTTLE_PERIOD.as_secs_f64()) as u32;
    for from in (0..slices).map(|nth| at + THROTTLE_PERIOD * nth) {
        add(from, Action::Pause { sidecar: n });
        add(from + stopped, Action::Resume { sidecar: n });
    }
}
