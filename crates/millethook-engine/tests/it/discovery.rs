//! A fleet of callers against a simulated discovery that processes calls in a queue, on a virtual clock; and the
//! limits of each caller's waits.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use millethook_engine::discovery::call_timing::{CallLimits, CallTiming};
use millethook_engine::discovery::list_fetch::{ListFetch, Step};
use proptest::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The longest wait between two calls that the platform's settings allow.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// The first back-off is at least a quarter of this.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);

fn limits(fleet: u32) -> CallLimits {
    CallLimits { fleet, max_wait: MAX_WAIT }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The platform treats updates as known after this.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// A connection counts as lost after this long without an acknowledgement (`ACK_TIMEOUT` of the calls).
const ACK_TIMEOUT: Duration = Duration::from_secs(4);
/// A new connection may take this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A queued call.
struct QueuedCall {
    caller: usize,
    /// Its connection is silently dead: the call is processed, but its answer reaches nobody.
    dead: bool,
}

/// Processes calls in order. A cancelled call is processed all the same.
struct DiscoveryService {
    service_time: Duration,
    /// The most queued calls.
    queue_limit: usize,
    /// Queued calls; the first one is being processed.
    calls: VecDeque<QueuedCall>,
    /// Number of processed calls.
    processed: u32,
    /// Before this, it answers nothing and refuses all calls.
    down_until: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Answer,
    /// All connections die silently.
    ConnectionLoss,
    /// The caller's system detects that a connection is dead.
    LossDetected(usize),
    Caller(usize),
}

struct Caller {
    timing: CallTiming,
    fetch: ListFetch,
    /// When the caller got the list.
    listed_at: Option<Instant>,
    placed: u32,
    /// Since then all its queued calls are on dead connections.
    dead_since: Option<Instant>,
}

/// The result of a simulated fleet.
struct Simulation {
    /// Time until all callers had the list; `None` if not all got it in time.
    all_listed: Option<Duration>,
    /// The most calls placed by one caller.
    max_placed: u32,
    /// Calls that were queued on connections that died.
    lost: u32,
    /// Calls that were processed until all callers had the list.
    processed: u32,
    /// The longest time from the death of all connections of a queued caller until it placed another call.
    longest_gap: Duration,
}

/// Simulates a fleet that starts together while discovery is down.
fn simulate(
    fleet: usize,
    service_time: Duration,
    queue_limit: usize,
    outage: Duration,
    seed: u64,
) -> Simulation {
    simulate_connection_losses(fleet, service_time, queue_limit, outage, &[], seed)
}

/// The same; in addition all connections die silently at these times after the start.
fn simulate_connection_losses(
    fleet: usize,
    service_time: Duration,
    queue_limit: usize,
    outage: Duration,
    loss_times: &[Duration],
    seed: u64,
) -> Simulation {
    let start = Instant::now();
    let mut random = Pcg32::seed_from_u64(seed);
    let mut draw = || f64::from(random.next_u32()) / 4_294_967_296.0;
    let mut service = DiscoveryService {
        service_time,
        queue_limit,
        calls: VecDeque::new(),
        processed: 0,
        down_until: start + outage,
    };
    let mut callers: Vec<Caller> = (0..fleet)
        .map(|_| Caller {
            timing: CallTiming::new(limits(fleet as u32)),
            fetch: ListFetch::new(start),
            listed_at: None,
            placed: 0,
            dead_since: None,
        })
        .collect();
    let mut events: BinaryHeap<Reverse<(Instant, Event)>> = BinaryHeap::new();
    (0..fleet).for_each(|n| events.push(Reverse((start, Event::Caller(n)))));
    loss_times
        .iter()
        .for_each(|after| events.push(Reverse((start + *after, Event::ConnectionLoss))));
    let (mut missing, mut lost, mut longest_gap) = (fleet, 0, Duration::ZERO);
    let end = start + outage + Duration::from_secs(3_600);
    while let Some(Reverse((now, event))) = events.pop() {
        if missing == 0 || now > end {
            break;
        }
        match event {
            Event::Answer => {
                let Some(call) = service.calls.pop_front() else { continue };
                service.processed += 1;
                let caller = &mut callers[call.caller];
                if !call.dead && caller.listed_at.is_none() {
                    caller.listed_at = Some(now);
                    missing -= 1;
                }
                if !service.calls.is_empty() {
                    events.push(Reverse((now + service.service_time, Event::Answer)));
                }
            }
            Event::ConnectionLoss => {
                for call in service.calls.iter_mut().filter(|call| !call.dead) {
                    call.dead = true;
                    let caller = &mut callers[call.caller];
                    if caller.listed_at.is_none() {
                        lost += 1;
                        caller.dead_since.get_or_insert(now);
                        events.push(Reverse((now + ACK_TIMEOUT, Event::LossDetected(call.caller))));
                    }
                }
            }
            Event::LossDetected(n) => {
                callers[n].fetch.on_lost(now, draw());
                events.push(Reverse((now, Event::Caller(n))));
            }
            Event::Caller(n) if callers[n].listed_at.is_none() => {
                let caller = &mut callers[n];
                match caller.fetch.poll(now, &caller.timing) {
                    Step::PlaceCall => {
                        caller.placed += 1;
                        caller.fetch.on_placed(now, &caller.timing, draw());
                        if let Some(since) = caller.dead_since.take() {
                            longest_gap = longest_gap.max(now - since);
                        }
                        if now < service.down_until || service.calls.len() >= service.queue_limit {
                            caller.fetch.on_refused(now, &mut caller.timing, draw());
                        } else {
                            service.calls.push_back(QueuedCall { caller: n, dead: false });
                            if service.calls.len() == 1 {
                                events.push(Reverse((now + service.service_time, Event::Answer)));
                            }
                        }
                    }
                    Step::GiveUp => {
                        caller.timing.on_give_up();
                        caller.fetch = ListFetch::new(now);
                    }
                    Step::Wait(_) => {}
                }
                let due = match caller.fetch.poll(now, &caller.timing) {
                    Step::Wait(until) => until,
                    Step::PlaceCall | Step::GiveUp => now,
                };
                events.push(Reverse((due.max(now + ms(1)), Event::Caller(n))));
            }
            Event::Caller(_) => {}
        }
    }
    let last = callers.iter().map(|c| c.listed_at).max().flatten().filter(|_| missing == 0);
    Simulation {
        all_listed: last.map(|at| at - start - outage),
        max_placed: callers.iter().map(|c| c.placed).max().unwrap_or(0),
        lost,
        processed: service.processed,
        longest_gap,
    }
}

/// Guards against a metastable failure: callers that give up before their turn and come again create more load than
/// discovery can process, forever. All callers must have the list within one and a half times the total processing
/// time, plus a caller's last wait after an outage.
#[test]
fn a_fleet_that_starts_together_gets_its_lists_without_congestion_collapse() {
    for fleet in [8, 32, 60, 300] {
        for service_time in [ms(50), ms(200), ms(500)] {
            for queue_limit in [4, 16, 1_000] {
                for outage in [Duration::ZERO, Duration::from_secs(10)] {
                    for seed in 1..=3 {
                        let bound = service_time * fleet as u32;
                        let simulation = simulate(fleet, service_time, queue_limit, outage, seed);
                        let elapsed = simulation.all_listed.expect("a list for all");
                        let last_wait = if outage.is_zero() { outage } else { MAX_WAIT };
                        let label = format!(
                            "{fleet} callers, {service_time:?}, queue limit {queue_limit}, outage {outage:?}"
                        );
                        let Simulation { max_placed, processed, .. } = simulation;
                        println!(
                            "{label}: {elapsed:?} of {bound:?}, {processed} calls processed, {max_placed} of one caller"
                        );
                        assert!(elapsed <= bound.mul_f64(1.5) + last_wait, "{label}: {elapsed:?}");
                    }
                }
            }
        }
    }
}

/// Guards against calls that wait on a silently dead connection: a caller cannot tell this from a full queue. It must
/// call again within the 6 s after which the platform treats updates as known. All callers must have the list within
/// one and a half times the processing time, including that of the lost calls, because one host or middlebox may take
/// all connections at once.
#[test]
fn calls_on_silently_dead_connections_are_replaced_in_time() {
    for fleet in [8, 32, 60, 300] {
        for service_time in [ms(50), ms(200), ms(500)] {
            for queue_limit in [16, 1_000] {
                for loss_times in [&[ms(900)][..], &[ms(3_100), ms(11_300)][..]] {
                    for seed in 1..=3 {
                        let simulation = simulate_connection_losses(
                            fleet,
                            service_time,
                            queue_limit,
                            Duration::ZERO,
                            loss_times,
                            seed,
                        );
                        let elapsed = simulation.all_listed.expect("a list for all");
                        let bound = service_time * (fleet as u32 + simulation.lost);
                        let label = format!(
                            "{fleet} callers, {service_time:?}, queue limit {queue_limit}, {loss_times:?}"
                        );
                        let Simulation { lost, processed, longest_gap, .. } = simulation;
                        println!(
                            "{label}: {elapsed:?} of {bound:?}, {processed} calls processed, {lost} lost, \
                             called again after {longest_gap:?}"
                        );
                        assert!(
                            longest_gap + CONNECT_TIMEOUT < DELIVERY_DEADLINE,
                            "{label}: {longest_gap:?}"
                        );
                        // If discovery has less work than that, detecting the loss takes longest.
                        let noticed = (ACK_TIMEOUT + ms(1_000)) * loss_times.len() as u32;
                        assert!(
                            elapsed <= bound.mul_f64(1.5).max(bound + noticed),
                            "{label}: {elapsed:?}"
                        );
                    }
                }
            }
        }
    }
}

/// A call that is lost behind a live connection is followed by a second one in time, also after refusals, unless
/// recent answers took longer. Those answers are forgotten in the time that such a queue takes to be processed.
#[test]
fn a_second_call_comes_in_time_after_refusals_and_after_a_long_queue() {
    for fleet in [1, 8, 48, 60, 300, 16_000] {
        for refusals in [0, 1, 10] {
            let mut timing = CallTiming::new(limits(fleet));
            timing.on_answer(Duration::from_secs(60));
            assert!(timing.second_call_delay() > DELIVERY_DEADLINE);
            (0..20).for_each(|_| timing.on_watch_answer(Duration::from_secs(3)));
            (0..refusals).for_each(|_| {
                timing.on_refusal(Duration::ZERO, 1.0);
            });
            for random in [0.0, 0.5, 1.0] {
                let now = Instant::now();
                let mut fetch = ListFetch::new(now);
                fetch.on_placed(now, &timing, random);
                let Step::Wait(second) = fetch.poll(now, &timing) else {
                    panic!("expected a wait")
                };
                assert!(second - now >= ms(1_500), "{fleet}, {refusals}: {:?}", second - now);
                assert!(
                    second - now + CONNECT_TIMEOUT < DELIVERY_DEADLINE,
                    "{fleet}, {refusals}: {:?}",
                    second - now
                );
            }
        }
    }
}

/// If discovery never answers and refuses all calls, they become rarer, down to a limit that depends on the fleet.
#[test]
fn a_permanently_dead_discovery_gets_bounded_load() {
    for fleet in [8, 300, 16_000] {
        let mut timing = CallTiming::new(limits(fleet));
        let waits: Vec<Duration> =
            (0..20).map(|n| timing.on_refusal(Duration::from_secs(4 * n), 1.0)).collect();
        let max_backoff = (ms(10) * fleet).max(MAX_WAIT.min(ms(100) * fleet));
        assert_eq!(waits[19], max_backoff, "{fleet}");
        // While updates can still be timely, no wait is longer than the settings allow.
        assert!(waits[..2].iter().all(|wait| *wait <= MAX_WAIT), "{fleet}: {waits:?}");
    }
}

/// A silently dead connection costs one second call, within the 6 s after which the platform treats updates as known.
#[test]
fn a_call_on_a_dead_connection_is_followed_by_a_second_one_in_time() {
    for fleet in [1, 8, 32, 300] {
        let now = Instant::now();
        let timing = CallTiming::new(limits(fleet));
        let mut fetch = ListFetch::new(now);
        fetch.on_placed(now, &timing, 0.0);
        let Step::Wait(second) = fetch.poll(now, &timing) else { panic!("expected a wait") };
        assert!(second - now <= ms(2_500));
        assert_eq!(fetch.poll(second, &timing), Step::PlaceCall);
        fetch.on_placed(second, &timing, 0.0);
        let Step::Wait(end) = fetch.poll(second, &timing) else { panic!("expected no third call") };
        assert_eq!(fetch.poll(end, &timing), Step::GiveUp);
    }
}

#[derive(Clone, Copy, Debug)]
enum Incident {
    TimePasses(u64),
    Refused(f64),
    Broken(f64),
    Lost(f64),
    GivenUp,
    Answered(u64),
    WatchAnswered(u64),
}

fn incident() -> impl Strategy<Value = Incident> {
    prop_oneof![
        4 => (0..20_000_u64).prop_map(Incident::TimePasses),
        3 => (0.0..1.0).prop_map(Incident::Refused),
        1 => (0.0..1.0).prop_map(Incident::Broken),
        1 => (0.0..1.0).prop_map(Incident::Lost),
        1 => Just(Incident::GivenUp),
        1 => (0..5_000_u64).prop_map(Incident::WatchAnswered),
        1 => (0..100_000_u64).prop_map(Incident::Answered),
    ]
}

proptest! {
    /// For any sequence of events: at most two calls are queued, and each wait ends and is bounded.
    #[test]
    fn waits_are_bounded_and_at_most_two_calls_are_queued(
        fleet in 1..20_000_u32,
        events in prop::collection::vec(incident(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut timing = CallTiming::new(limits(fleet));
        let mut fetch = ListFetch::new(now);
        let mut queued_calls = 0;
        let max_backoff = MAX_WAIT.max(ms(10) * fleet);
        for event in events {
            match fetch.poll(now, &timing) {
                Step::PlaceCall => {
                    fetch.on_placed(now, &timing, 0.5);
                    queued_calls += 1;
                    prop_assert!(queued_calls <= 2);
                }
                Step::GiveUp => {
                    prop_assert!(queued_calls > 0);
                    timing.on_give_up();
                    (fetch, queued_calls) = (ListFetch::new(now), 0);
                }
                Step::Wait(until) => {
                    prop_assert!(until > now);
                    let max_delay = timing.give_up_after().max(max_backoff);
                    prop_assert!(until - now <= max_delay, "{:?}", until - now);
                }
            }
            prop_assert!(timing.second_call_delay() < timing.give_up_after());
            prop_assert!(timing.give_up_after() <= Duration::from_secs(300));
            match event {
                Incident::TimePasses(by) => now += ms(by),
                Incident::Refused(random) if queued_calls > 0 => {
                    let mut other = timing.clone();
                    let wait = other.on_refusal(Duration::ZERO, random);
                    prop_assert!(wait >= FIRST_BACKOFF / 4 && wait <= MAX_WAIT, "{wait:?}");
                    fetch.on_refused(now, &mut timing, random);
                    queued_calls -= 1;
                }
                Incident::Broken(random) if queued_calls > 0 => {
                    queued_calls -= 1;
                    prop_assert_eq!(fetch.on_broken(now, &mut timing, random), queued_calls > 0);
                    if queued_calls == 0 {
                        fetch = ListFetch::new(now);
                    }
                }
                Incident::Lost(random) if queued_calls > 0 => {
                    queued_calls -= 1;
                    fetch.on_lost(now, random);
                    let delay = match fetch.poll(now, &timing) {
                        Step::Wait(until) => until - now,
                        Step::PlaceCall | Step::GiveUp => Duration::ZERO,
                    };
                    // Whatever happened before, a caller without a queued call places one in time.
                    let is_in_time = ACK_TIMEOUT + delay + CONNECT_TIMEOUT < DELIVERY_DEADLINE;
                    prop_assert!(queued_calls > 0 || is_in_time, "{delay:?}");
                }
                Incident::WatchAnswered(elapsed) => timing.on_watch_answer(ms(elapsed)),
                Incident::Answered(elapsed) if queued_calls > 0 => {
                    timing.on_answer(ms(elapsed));
                    (fetch, queued_calls) = (ListFetch::new(now), 0);
                }
                Incident::GivenUp => timing.on_give_up(),
                Incident::Refused(_)
                | Incident::Broken(_)
                | Incident::Lost(_)
                | Incident::Answered(_) => {}
            }
        }
    }
}
