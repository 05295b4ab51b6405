//! Congestion collapse: servers hang for some seconds, clients retry, and from then on all answers
//! are late. Simulates one balancer, servers with queues and retrying clients on a virtual clock.

use coppercart::api::*;
use coppercart::decide::Balancer;

use crate::common::fleet::*;
use crate::common::*;

const SERVERS: u64 = 6;
const CORES: usize = 2;
/// The queue lengths of the servers, one per variant. Both are far longer than clients wait for.
const QUEUES: [usize; 2] = [400, 40];
/// The mean work of a request.
const WORK: Micros = 30 * MS;
/// The mean time between two client operations: a load of 40% of the servers' capacity.
const ARRIVAL_INTERVAL: Micros = WORK / (CORES as Micros * SERVERS) * 5 / 2;
/// How long a client waits for each of its requests. The aim of the class is 200 ms.
const CLIENT_TIMEOUT: Micros = 150 * MS;
const AIM: Micros = 200 * MS;
/// The maximum number of requests per client operation, one right after the other.
const MAX_CLIENT_ATTEMPTS: u32 = 4;
const HANG: std::ops::Range<Micros> = START + 5 * S..START + 9 * S;
/// The servers that do no work during the hang.
const HUNG: std::ops::Range<u64> = 0..3;
const END: Micros = START + 40 * S;
/// The measurement starts here, 11 s after the hang.
const MEASURE_FROM: Micros = START + 20 * S;

fn simulate(seed: u64, queue: usize) -> Fleet {
    let scenario = Scenario {
        servers: SERVERS,
        cores: CORES,
        queue,
        classes: vec![Class { share: 1.0, work: WORK, client_timeout: CLIENT_TIMEOUT, aim: AIM }],
        arrivals: vec![(START, ARRIVAL_INTERVAL)],
        max_client_attempts: MAX_CLIENT_ATTEMPTS,
        retry_pause: 0,
        retry_after_compliance: 0.0,
        reports: None,
        hang: Some(Hang { servers: HUNG, time: HANG }),
        end: END,
    };
    let settings = settings(|s| s["limits"]["maxAttempts"] = 3.into());
    let mut fleet =
        Fleet::new(scenario, vec![Box::new(Balancer::new(settings, seed, START))], seed);
    fleet.run();
    fleet
}

/// Combinations of seeds and queue lengths.
fn cases() -> impl Iterator<Item = (u64, usize)> {
    (0..8).flat_map(|seed| QUEUES.map(|queue| (seed, queue)))
}

/// Guards against a collapse that outlasts its cause: on one simulated day (roll, seed 347 of
/// long-haul) 18% of the work was served where 96% was possible.
///
/// Servers hung for some seconds, clients without an answer retried, and all attempts timed out at
/// servers with long queues, long after the hang. Each client waited for less than the aim (946 ms
/// of 1852, 584 of 1088), and lateness was only measured when the aim had passed, so it was never
/// measured. Refusals by full servers also counted as answers that had overtaken the waiting
/// attempts, whose silence was then blamed on their connections. Per half second a sidecar saw 0
/// answers, 60 timeouts and 70 refusals, and its lateness was 0.02 where shedding begins at 0.06.
/// Measured at the end of each attempt's timeout, lateness rises, excess requests are refused, and
/// queues empty.
#[test]
fn a_fleet_recovers_after_a_hang_with_client_timeouts_below_the_aim() {
    for (seed, queue) in cases() {
        let fleet = simulate(seed, queue);
        let measured = fleet.intervals(MEASURE_FROM..END);
        let operations: u64 = measured.iter().map(|interval| interval.operations).sum();
        let served: u64 = measured.iter().map(|interval| interval.served).sum();
        let share = served as f64 / operations as f64;
        assert!(share > 0.9, "seed {seed}, queue {queue}: {share:.3} of {operations} served");
    }
}

/// Guards against shedding everything: with the lateness of the test above a sidecar refused all
/// requests for 4 s and more, long after the queues were empty. A sidecar that sheds all gets no
/// answers and keeps its lateness until that has decayed. Some requests of each second must be
/// sent.
#[test]
fn every_second_of_an_overload_has_an_attempt() {
    for (seed, queue) in cases() {
        let fleet = simulate(seed, queue);
        for second in START / S..END / S {
            let intervals = fleet.intervals(second * S..(second + 1) * S);
            let attempts: u64 = intervals.iter().map(|interval| interval.attempts).sum();
            let after = second - START / S;
            assert!(attempts > 0, "seed {seed}, queue {queue}: no attempt from {after} s on");
        }
    }
}
