//! Tests timelines that are generated from seeds: they are reproducible, valid and within their bounds.

use millethook_lab::plan::Plan;
use millethook_lab::soak::command::Seeds;
use millethook_lab::soak::draw;
use millethook_lab::timeline::event::Target;
use millethook_lab::timeline::{Event, EventKind, Timeline};

/// The number of seeds that are tested.
const SEEDS: u64 = 500;

fn text(seed: u64) -> String {
    draw(seed).to_toml().expect("a text")
}

/// The timeline of a seed as the command `run` reads it.
fn read(seed: u64) -> Timeline {
    let text = text(seed);
    Timeline::from_toml(&text).unwrap_or_else(|faults| panic!("seed {seed}: {faults:?}\n{text}"))
}

#[test]
fn equal_seeds_generate_equal_timelines_and_other_seeds_others() {
    for seed in 0..SEEDS {
        assert_eq!(text(seed), text(seed));
        assert_ne!(text(seed), text(seed + 1), "seed {seed}");
    }
}

#[test]
fn a_generated_timeline_survives_a_round_trip_through_toml() {
    for seed in 0..SEEDS {
        let (drawn, read) = (draw(seed), read(seed));
        assert_eq!(read.to_toml().expect("a text"), text(seed));
        assert_eq!(format!("{read:?}"), format!("{drawn:?}"), "seed {seed}");
    }
}

#[test]
fn a_generated_timeline_and_its_file_give_the_same_plan() {
    for seed in 0..50 {
        assert_eq!(Plan::new(&read(seed), seed).digest(), Plan::new(&draw(seed), seed).digest());
    }
}

/// When an event ends, in seconds.
fn end_s(event: &Event) -> f64 {
    event.at_s + event.for_s.max(event.over_s)
}

#[test]
fn fleet_sizes_and_times_are_within_their_bounds() {
    for seed in 0..SEEDS {
        let timeline = read(seed);
        let run = &timeline.run;
        assert!((4..=12).contains(&timeline.sidecars.count), "seed {seed}");
        assert!((15.0..=36.0).contains(&(run.warm_up_s + run.duration_s)), "seed {seed}");
        assert!(timeline.servers.count >= 2 * timeline.sidecars.zones, "seed {seed}");
        assert!(!timeline.events.is_empty(), "seed {seed}");
        let sidecars = &timeline.sidecars;
        assert!(
            sidecars.share_evidence || !sidecars.product.contains("dead_servers"),
            "seed {seed}"
        );
        for event in &timeline.events {
            assert!(end_s(event) <= run.duration_s + 6.0, "seed {seed}: {event:?}");
            let ends = event.kind.has_duration() && event.for_s == 0.0;
            assert!(!ends, "seed {seed}: it does not end: {event:?}");
        }
    }
}

/// Guards against overlapping events on one process or server: an event that hits it while it is down has no effect,
/// and the judge would excuse faults that it must report.
#[test]
fn no_process_or_server_is_ended_while_an_earlier_event_affects_it() {
    let affected_for_s = |event: &Event| match event.kind {
        EventKind::Pause | EventKind::Throttle => Some(event.for_s),
        // All signals of a series go to one process. It becomes ready and ends once more before another event may hit
        // it.
        EventKind::TerminateAtReady => Some(5.0),
        EventKind::Kill | EventKind::Crash => Some(event.back_after_s.unwrap_or(0.0) + 2.0),
        EventKind::Terminate => Some(event.over_s + event.back_after_s.unwrap_or(0.0) + 2.0),
        EventKind::Replace => Some(event.over_s + 2.0),
        _ => None,
    };
    for seed in 0..SEEDS {
        let timeline = read(seed);
        for (nth, event) in timeline.events.iter().enumerate() {
            let Some(held_s) = affected_for_s(event) else { continue };
            let ids = event.who.ids.as_ref().expect("ids");
            let conflicting = timeline.events[nth + 1..].iter().find(|later| {
                let of_series = matches!(
                    (event.kind, later.kind),
                    (EventKind::TerminateAtReady, EventKind::Kill)
                );
                let ends = affected_for_s(later).is_some() || later.kind == EventKind::Reload;
                let ends = ends && !(of_series && later.at_s < event.at_s + 0.02);
                let named = later.who.ids.iter().flatten().any(|id| ids.contains(id));
                let same = later.kind.target() == event.kind.target();
                ends && same && named && later.at_s < event.at_s + held_s
            });
            assert!(conflicting.is_none(), "seed {seed}: {event:?} meets {conflicting:?}");
        }
    }
}

#[test]
fn every_kind_of_fault_is_generated() {
    use EventKind as K;
    let kinds = [
        K::Kill,
        K::Terminate,
        K::Reload,
        K::HangUp,
        K::TerminateAtReady,
        K::Pause,
        K::Throttle,
        K::Replace,
        K::Crash,
        K::Silent,
        K::Errors,
        K::Slow,
        K::Reset,
        K::BreakAnswers,
        K::Full,
        K::Refuse,
        K::DiscoveryDown,
        K::DiscoveryStale,
        K::WatchesSilent,
        K::DiscoveryRestart,
        K::CutStreams,
        K::DelayStreams,
        K::Partition,
        K::Loss,
        K::Duplicate,
        K::Reorder,
        K::CutOneWay,
        K::Load,
        K::IdleClients,
        K::AnswerTwice,
        K::DropWork,
    ];
    let drawn: Vec<Event> = (0..300).flat_map(|seed| draw(seed).events).collect();
    for kind in kinds {
        assert!(drawn.iter().any(|event| event.kind == kind), "{kind:?} is never drawn");
    }
    assert!(drawn.iter().all(|event| event.kind.target() != Target::Nobody));
    let busy = |event: &Event| event.kind == K::Load && event.who.ids.is_some();
    assert!(drawn.iter().any(busy), "no sidecar's clients are busy alone");
}

#[test]
fn seeds_parse_as_a_number_or_an_inclusive_range() {
    for wrong in ["", "..", "1..", "..2", "2..1", "a", "-1", "1..2..3"] {
        assert!(wrong.parse::<Seeds>().is_err(), "{wrong:?}");
    }
    assert_eq!("7".parse::<Seeds>(), "7..7".parse());
    assert!("1..50".parse::<Seeds>().is_ok());
}
