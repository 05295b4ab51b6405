//! A fleet that does not come back by itself: servers hang for some seconds, clients ask again, and all that is asked from
//! then on is late. One balancer, queues of servers and clients that retry, on a virtual clock.

use coppercart::api::*;
use coppercart::decide::Balancer;

use crate::common::fleet::*;
use crate::common::*;

const SERVERS: u64 = 6;
const CORES: usize = 2;
/// Requests that wait at a server. In both forms far more than clients wait for.
const QUEUES: [usize; 2] = [400, 40];
/// The mean work of a request.
const WORK: Micros = 30 * MS;
/// Between two operations of clients: 40% of what the servers can do.
const ARRIVAL_INTERVAL: Micros = WORK / (CORES as Micros * SERVERS) * 5 / 2;
/// Each client waits so long for each of its tries. The aim of the class is 200 ms.
const CLIENT_TIMEOUT: Micros = 150 * MS;
const AIM: Micros = 200 * MS;
/// Tries of a client, one right after the other.
const MAX_CLIENT_ATTEMPTS: u32 = 4;
const HANG: std::ops::Range<Micros> = START + 5 * S..START + 9 * S;
/// These servers work on nothing in that time.
const HUNG: std::ops::Range<u64> = 0..3;
const END: Micros = START + 40 * S;
/// Service is looked at from here on, 11 s after the hang.
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

/// Seeds, and queues of servers.
fn cases() -> impl Iterator<Item = (u64, usize)> {
    (0..8).flat_map(|seed| QUEUES.map(|queue| (seed, queue)))
}

/// What callers saw: on one short day (roll, seed 347 of long-haul) 18% of the work was served where 96% could have been.
/// Servers hung for some seconds, clients that got no answer asked again, and from then on all attempts timed out at
/// servers with long queues, long after the hang. Each client waits for less than the aim there (946 ms of 1852, 584 of
/// 1088), and how late answers are was looked at when the aim had passed, so nobody looked. Refusals of full servers also
/// counted as answers that had overtaken what waits, which took that for a fault of its connection. What showed it: by
/// half seconds a sidecar had 0 answers, 60 time-outs and 70 refusals, and a lateness of 0.02 where shedding begins at
/// 0.06. Looked at the end of an attempt's time, lateness rises, what cannot be served is refused, and queues empty.
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

/// What was seen: with the lateness from above a sidecar refused all for 4 s and more, long after the queues were empty.
/// Who sheds all hears of no answer, and believes what it saw until that has faded. Some of each second go out.
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
