//! A fleet of callers against a discovery that works through calls in turn, on a clock of its own; and the bounds of
//! each caller's patience.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use millethook_engine::discovery::call_timing::{CallLimits, CallTiming};
use millethook_engine::discovery::list_fetch::{ListFetch, Step};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// What the platform's settings leave between two calls.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Waits after a refusal begin with no less than a quarter of this.
const FIRST_WAIT: Duration = Duration::from_millis(250);

fn limits(fleet: u32) -> CallLimits {
    CallLimits { fleet, longest_wait: LONGEST_WAIT }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The platform's rule: news counts as told after so long.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A connection is lost after so long without an acknowledgement (`LOST_AFTER` of the calls),
const LOST_AFTER: Duration = Duration::from_secs(4);
/// and another one may take so long to come up.
const CONNECT: Duration = Duration::from_millis(500);

/// A call in line.
struct InLine {
    caller: usize,
    /// Its connection is silently dead: it is worked on, and nobody hears of that.
    dead: bool,
}

/// Works through calls in turn. A call that was hung up on is worked on all the same.
struct Registry {
    work: Duration,
    /// The most calls that wait.
    line: usize,
    /// Calls in line; the first is being worked on.
    calls: VecDeque<InLine>,
    /// Calls that were worked on.
    worked: u32,
    /// It answers nothing before this, and refuses what comes.
    down_until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer,
    /// All connections die silently.
    Silence,
    /// The caller's system finds out that a connection is dead.
    Lost(usize),
    Caller(usize),
}

struct Caller {
    patience: CallTiming,
    opening: ListFetch,
    /// When it had the list.
    listed: Option<Instant>,
    placed: u32,
    /// All its calls in line are on connections that are dead since then.
    silent_since: Option<Instant>,
}

/// What became of a fleet.
struct Played {
    /// Until all had the list; None: not all had within the time.
    all_listed: Option<Duration>,
    /// The most calls placed by one caller.
    most_placed: u32,
    /// Calls that were in line on connections that died.
    lost: u32,
    /// Calls that were worked on until all had the list.
    worked: u32,
    /// The longest time from a death of all connections of a caller in line until it placed another call.
    longest_silence: Duration,
}

/// Plays a fleet that starts together at a discovery that is down at first.
fn play(fleet: usize, work: Duration, line: usize, down: Duration, seed: u64) -> Played {
    play_silences(fleet, work, line, down, &[], seed)
}

/// The same, and at these times after the start all connections die silently.
fn play_silences(
    fleet: usize,
    work: Duration,
    line: usize,
    down: Duration,
    silences: &[Duration],
    seed: u64,
) -> Played {
    let start = Instant::now();
    let mut random = Pcg32::seed_from_u64(seed);
    let mut draw = || f64::from(random.next_u32()) / 4_294_967_296.0;
    let mut registry =
        Registry { work, line, calls: VecDeque::new(), worked: 0, down_until: start + down };
    let mut callers: Vec<Caller> = (0..fleet)
        .map(|_| Caller {
            patience: CallTiming::new(limits(fleet as u32)),
            opening: ListFetch::new(start),
            listed: None,
            placed: 0,
            silent_since: None,
        })
        .collect();
    let mut events: BinaryHeap<Reverse<(Instant, Event)>> = BinaryHeap::new();
    (0..fleet).for_each(|n| events.push(Reverse((start, Event::Caller(n)))));
    silences.iter().for_each(|after| events.push(Reverse((start + *after, Event::Silence))));
    let (mut missing, mut lost, mut longest_silence) = (fleet, 0, Duration::ZERO);
    let end = start + down + Duration::from_secs(3_600);
    while let Some(Reverse((now, event))) = events.pop() {
        if missing == 0 || now > end {
            break;
        }
        match event {
            Event::Answer => {
                let Some(call) = registry.calls.pop_front() else { continue };
                registry.worked += 1;
                let caller = &mut callers[call.caller];
                if !call.dead && caller.listed.is_none() {
                    caller.listed = Some(now);
                    missing -= 1;
                }
                if !registry.calls.is_empty() {
                    events.push(Reverse((now + registry.work, Event::Answer)));
                }
            }
            Event::Silence => {
                for call in registry.calls.iter_mut().filter(|call| !call.dead) {
                    call.dead = true;
                    let caller = &mut callers[call.caller];
                    if caller.listed.is_none() {
                        lost += 1;
                        caller.silent_since.get_or_insert(now);
                        events.push(Reverse((now + LOST_AFTER, Event::Lost(call.caller))));
                    }
                }
            }
            Event::Lost(n) => {
                callers[n].opening.on_lost(now, draw());
                events.push(Reverse((now, Event::Caller(n))));
            }
            Event::Caller(n) if callers[n].listed.is_none() => {
                let caller = &mut callers[n];
                match caller.opening.poll(now, &caller.patience) {
                    Step::Place => {
                        caller.placed += 1;
                        caller.opening.on_placed(now, &caller.patience, draw());
                        if let Some(since) = caller.silent_since.take() {
                            longest_silence = longest_silence.max(now - since);
                        }
                        if now < registry.down_until || registry.calls.len() >= registry.line {
                            caller.opening.on_refused(now, &mut caller.patience, draw());
                        } else {
                            registry.calls.push_back(InLine { caller: n, dead: false });
                            if registry.calls.len() == 1 {
                                events.push(Reverse((now + registry.work, Event::Answer)));
                            }
                        }
                    }
                    Step::GiveUp => {
                        caller.patience.on_give_up();
                        caller.opening = ListFetch::new(now);
                    }
                    Step::Wait(_) => {}
                }
                let due = match caller.opening.poll(now, &caller.patience) {
                    Step::Wait(until) => until,
                    Step::Place | Step::GiveUp => now,
                };
                events.push(Reverse((due.max(now + ms(1)), Event::Caller(n))));
            }
            Event::Caller(_) => {}
        }
    }
    let last = callers.iter().map(|c| c.listed).max().flatten().filter(|_| missing == 0);
    Played {
        all_listed: last.map(|at| at - start - down),
        most_placed: callers.iter().map(|c| c.placed).max().unwrap_or(0),
        lost,
        worked: registry.worked,
        longest_silence,
    }
}

/// Danger: whoever hangs up before its turn and comes again is more load than discovery can do, for good. All have
/// the list in one and a half times the work that it is, and after an outage a caller's last wait.
#[test]
fn a_fleet_that_starts_together_has_its_lists_in_turn() {
    for fleet in [8, 32, 60, 300] {
        for work in [ms(50), ms(200), ms(500)] {
            for line in [4, 16, 1_000] {
                for down in [Duration::ZERO, Duration::from_secs(10)] {
                    for seed in 1..=3 {
                        let bound = work * fleet as u32;
                        let played = play(fleet, work, line, down, seed);
                        let took = played.all_listed.expect("a list for all");
                        let last_wait = if down.is_zero() { down } else { LONGEST_WAIT };
                        let of = format!("{fleet} callers, {work:?}, line {line}, down {down:?}");
                        let Played { most_placed, worked, .. } = played;
                        println!(
                            "{of}: {took:?} of {bound:?}, {worked} calls worked on, {most_placed} of one caller"
                        );
                        assert!(took <= bound.mul_f64(1.5) + last_wait, "{of}: {took:?}");
                    }
                }
            }
        }
    }
}

/// Danger: a connection that dies silently while the line is full is not told from a long wait by whoever waits. Its
/// caller has asked again within the 6 s after which news counts as told, and all have the list in one and a half times
/// the work, that of the lost calls included, as one host or middlebox may take all connections at once.
#[test]
fn calls_whose_connections_die_silently_are_placed_anew_in_time_without_a_collapse() {
    for fleet in [8, 32, 60, 300] {
        for work in [ms(50), ms(200), ms(500)] {
            for line in [16, 1_000] {
                for silences in [&[ms(900)][..], &[ms(3_100), ms(11_300)][..]] {
                    for seed in 1..=3 {
                        let played =
                            play_silences(fleet, work, line, Duration::ZERO, silences, seed);
                        let took = played.all_listed.expect("a list for all");
                        let bound = work * (fleet as u32 + played.lost);
                        let of = format!("{fleet} callers, {work:?}, line {line}, {silences:?}");
                        let Played { lost, worked, longest_silence, .. } = played;
                        println!(
                            "{of}: {took:?} of {bound:?}, {worked} calls worked on, {lost} lost, \
                             asked again after {longest_silence:?}"
                        );
                        assert!(
                            longest_silence + CONNECT < TOLD_AFTER,
                            "{of}: {longest_silence:?}"
                        );
                        // Where discovery has less work than that, the loss itself is what takes longest.
                        let noticed = (LOST_AFTER + ms(1_000)) * silences.len() as u32;
                        assert!(took <= bound.mul_f64(1.5).max(bound + noticed), "{of}: {took:?}");
                    }
                }
            }
        }
    }
}

/// A call that is lost behind a connection that lives is followed by a second one in time, also after refusals, unless
/// answers of late took longer; and these are forgotten in the time that a line like theirs takes to be worked off.
#[test]
fn a_second_call_comes_in_time_after_refusals_and_once_a_long_line_is_over() {
    for fleet in [1, 8, 48, 60, 300, 16_000] {
        for refusals in [0, 1, 10] {
            let mut patience = CallTiming::new(limits(fleet));
            patience.on_answer(Duration::from_secs(60));
            assert!(patience.second_call_after() > TOLD_AFTER);
            (0..20).for_each(|_| patience.on_watch_answer(Duration::from_secs(3)));
            (0..refusals).for_each(|_| {
                patience.on_refusal(Duration::ZERO, 1.0);
            });
            for random in [0.0, 0.5, 1.0] {
                let now = Instant::now();
                let mut opening = ListFetch::new(now);
                opening.on_placed(now, &patience, random);
                let Step::Wait(second) = opening.poll(now, &patience) else { panic!("it waits") };
                assert!(second - now >= ms(1_500), "{fleet}, {refusals}: {:?}", second - now);
                assert!(
                    second - now + CONNECT < TOLD_AFTER,
                    "{fleet}, {refusals}: {:?}",
                    second - now
                );
            }
        }
    }
}

/// Discovery that never answers and refuses all is asked ever more seldom, down to a bound by the fleet.
#[test]
fn a_discovery_that_is_gone_for_good_gets_a_bounded_load() {
    for fleet in [8, 300, 16_000] {
        let mut patience = CallTiming::new(limits(fleet));
        let waits: Vec<Duration> =
            (0..20).map(|n| patience.on_refusal(Duration::from_secs(4 * n), 1.0)).collect();
        let most = (ms(10) * fleet).max(LONGEST_WAIT.min(ms(100) * fleet));
        assert_eq!(waits[19], most, "{fleet}");
        // In the time after which news counts as told, no wait is longer than the settings leave.
        assert!(waits[..2].iter().all(|wait| *wait <= LONGEST_WAIT), "{fleet}: {waits:?}");
    }
}

/// A connection that is silently dead costs one second call, in time for the 6 s after which news counts as told.
#[test]
fn a_call_on_a_dead_connection_is_followed_by_a_second_one_in_time() {
    for fleet in [1, 8, 32, 300] {
        let now = Instant::now();
        let patience = CallTiming::new(limits(fleet));
        let mut opening = ListFetch::new(now);
        opening.on_placed(now, &patience, 0.0);
        let Step::Wait(second) = opening.poll(now, &patience) else { panic!("it waits") };
        assert!(second - now <= ms(2_500));
        assert_eq!(opening.poll(second, &patience), Step::Place);
        opening.on_placed(second, &patience, 0.0);
        let Step::Wait(end) = opening.poll(second, &patience) else { panic!("no third one") };
        assert_eq!(opening.poll(end, &patience), Step::GiveUp);
    }
}

#[derive(Clone, Copy, Debug)]
enum Happens {
    Later(u64),
    Refused(f64),
    Broken(f64),
    Lost(f64),
    GivenUp,
    Answered(u64),
    WatchAnswered(u64),
}

fn happens() -> impl Strategy<Value = Happens> {
    prop_oneof![
        4 => (0..20_000_u64).prop_map(Happens::Later),
        3 => (0.0..1.0).prop_map(Happens::Refused),
        1 => (0.0..1.0).prop_map(Happens::Broken),
        1 => (0.0..1.0).prop_map(Happens::Lost),
        1 => Just(Happens::GivenUp),
        1 => (0..5_000_u64).prop_map(Happens::WatchAnswered),
        1 => (0..100_000_u64).prop_map(Happens::Answered),
    ]
}

proptest! {
    /// Whatever happens: at most two calls are in line, each wait has an end, and it is bounded.
    #[test]
    fn waits_are_bounded_and_at_most_two_calls_are_in_line(
        fleet in 1..20_000_u32,
        events in prop::collection::vec(happens(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut patience = CallTiming::new(limits(fleet));
        let mut opening = ListFetch::new(now);
        let mut in_line = 0;
        let most_wait = LONGEST_WAIT.max(ms(10) * fleet);
        for event in events {
            match opening.poll(now, &patience) {
                Step::Place => {
                    opening.on_placed(now, &patience, 0.5);
                    in_line += 1;
                    prop_assert!(in_line <= 2);
                }
                Step::GiveUp => {
                    prop_assert!(in_line > 0);
                    patience.on_give_up();
                    (opening, in_line) = (ListFetch::new(now), 0);
                }
                Step::Wait(until) => {
                    prop_assert!(until > now);
                    let longest = patience.give_up_after().max(most_wait);
                    prop_assert!(until - now <= longest, "{:?}", until - now);
                }
            }
            prop_assert!(patience.second_call_after() < patience.give_up_after());
            prop_assert!(patience.give_up_after() <= Duration::from_secs(300));
            match event {
                Happens::Later(by) => now += ms(by),
                Happens::Refused(random) if in_line > 0 => {
                    let mut other = patience.clone();
                    let wait = other.on_refusal(Duration::ZERO, random);
                    prop_assert!(wait >= FIRST_WAIT / 4 && wait <= LONGEST_WAIT, "{wait:?}");
                    opening.on_refused(now, &mut patience, random);
                    in_line -= 1;
                }
                Happens::Broken(random) if in_line > 0 => {
                    in_line -= 1;
                    prop_assert_eq!(opening.on_broken(now, &mut patience, random), in_line > 0);
                    if in_line == 0 {
                        opening = ListFetch::new(now);
                    }
                }
                Happens::Lost(random) if in_line > 0 => {
                    in_line -= 1;
                    opening.on_lost(now, random);
                    let after = match opening.poll(now, &patience) {
                        Step::Wait(until) => until - now,
                        Step::Place | Step::GiveUp => Duration::ZERO,
                    };
                    // Whatever was before: one that has no call in line any more has one in time.
                    let in_time = LOST_AFTER + after + CONNECT < TOLD_AFTER;
                    prop_assert!(in_line > 0 || in_time, "{after:?}");
                }
                Happens::WatchAnswered(took) => patience.on_watch_answer(ms(took)),
                Happens::Answered(took) if in_line > 0 => {
                    patience.on_answer(ms(took));
                    (opening, in_line) = (ListFetch::new(now), 0);
                }
                Happens::GivenUp => patience.on_give_up(),
                Happens::Refused(_)
                | Happens::Broken(_)
                | Happens::Lost(_)
                | Happens::Answered(_) => {}
            }
        }
    }
}
