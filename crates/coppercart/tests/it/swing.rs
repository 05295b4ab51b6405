//! An overload in which all balancers oscillate together: they let in too much, all of it is late,
//! then they refuse nearly everything for seconds while the servers are idle. The parameters are
//! those of the site short-notice, with the times of its short days.

use std::ops::Range;

use coppercart::api::*;
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use serde_json::{Value, json};

use crate::common::fleet::*;
use crate::common::*;

const BALANCERS: u32 = 6;
/// The servers that are left of twelve after a drain.
const SERVERS: u64 = 9;
const CORES: usize = 2;
const SEEDS: Range<u64> = 1..9;
/// The offered load as a share of the servers' capacity, before retries: at first, and from
/// [`OVERLOAD_START`] on.
const INITIAL_UTILIZATION: f64 = 0.6;
const OVERLOAD_UTILIZATION: f64 = 1.2;
const OVERLOAD_START: Micros = START + 10 * S;
/// The measured period, which begins long after the overload did.
const MEASURED: Range<Micros> = START + 16 * S..START + 50 * S;

/// A request class of the site.
struct SiteClass {
    name: &'static str,
    share: f64,
    work: Micros,
    aim: Micros,
    deadline: Micros,
    repeat: &'static str,
    credit: f64,
}

const CLASSES: [SiteClass; 3] = [
    SiteClass {
        name: "seat-hold",
        share: 0.45,
        work: 110 * MS,
        aim: 900 * MS,
        deadline: 2_600 * MS,
        repeat: "at_most_once",
        credit: 6.0,
    },
    SiteClass {
        name: "fare-look",
        share: 0.33,
        work: 80 * MS,
        aim: 700 * MS,
        deadline: 2_000 * MS,
        repeat: "idempotent",
        credit: 1.0,
    },
    SiteClass {
        name: "seat-pay",
        share: 0.22,
        work: 140 * MS,
        aim: 1_200 * MS,
        deadline: 4_000 * MS,
        repeat: "deduplicated",
        credit: 9.0,
    },
];

impl SiteClass {
    fn json(&self) -> Value {
        json!({"name": self.name, "aim": self.aim, "deadline": self.deadline, "repeat": self.repeat,
               "dedupScope": "cell", "window": 1_500 * MS, "credit": self.credit, "lateWorth": 0.2})
    }

    fn client_class(&self) -> Class {
        let client_timeout = self.deadline * 3 / 5;
        Class { share: self.share, work: self.work, client_timeout, aim: self.aim }
    }
}

fn balancer_settings(me: u32) -> Settings {
    settings(|s| {
        s["classes"] = CLASSES.iter().map(SiteClass::json).collect();
        s["instances"] = BALANCERS.into();
        s["me"] = me.into();
        s["limits"]["cancel"] = false.into();
        s["limits"]["maxAttempts"] = 4.into();
        s["limits"]["retryAfter"] = true.into();
        s["limits"]["maxRetryAfter"] = (2 * S).into();
        s["worthBy"] = "request".into();
    })
}

/// Returns the mean time between two operations at which the offered load is this share of the
/// capacity.
fn arrival_interval(load: f64) -> Micros {
    let work: f64 = CLASSES.iter().map(|class| class.share * class.work as f64).sum();
    (work / (SERVERS as f64 * CORES as f64) / load) as Micros
}

/// Creates the balancers of the decision module.
fn balancers(seed: u64) -> Vec<Box<dyn LoadBalancer>> {
    let seed_of = |me: u32| seed + (u64::from(me) << 32);
    let balancer = |me| Box::new(Balancer::new(balancer_settings(me), seed_of(me), START));
    (0..BALANCERS).map(|me| balancer(me) as Box<dyn LoadBalancer>).collect()
}

/// A reference policy that shows that the bounds can be met: it only limits its own requests in
/// flight per server. Six balancers with one request each leave four waiting at a server of two
/// cores, which takes about a quarter of a second.
#[derive(Default)]
struct FixedConcurrencyLimit {
    in_flight: Vec<usize>,
    next: usize,
}

const MAX_IN_FLIGHT: usize = 1;

impl LoadBalancer for FixedConcurrencyLimit {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Servers { entries, .. } => self.in_flight = vec![0; entries.len()],
            Event::Answer { server, .. } => self.in_flight[server.0 as usize] -= 1,
            Event::Request(NewRequest { id, time_left, .. }) => {
                self.next += 1;
                let servers =
                    (0..self.in_flight.len()).map(|n| (self.next + n) % self.in_flight.len());
                let least_loaded =
                    servers.min_by_key(|&n| self.in_flight[n]).expect("servers are listed");
                if self.in_flight[least_loaded] >= MAX_IN_FLIGHT {
                    return actions.push(Action::Refuse { id, retry_after: S });
                }
                self.in_flight[least_loaded] += 1;
                let server = ServerId(least_loaded as u64);
                actions.push(Action::Send {
                    id,
                    server,
                    timeout: time_left,
                    commit_within: time_left,
                });
            }
            _ => {}
        }
    }
}

fn fixed_concurrency_limits(_: u64) -> Vec<Box<dyn LoadBalancer>> {
    (0..BALANCERS)
        .map(|_| Box::new(FixedConcurrencyLimit::default()) as Box<dyn LoadBalancer>)
        .collect()
}

fn simulate(seed: u64, balancers: Vec<Box<dyn LoadBalancer>>) -> Fleet {
    let scenario = Scenario {
        servers: SERVERS,
        cores: CORES,
        queue: 960,
        classes: CLASSES.iter().map(SiteClass::client_class).collect(),
        arrivals: vec![
            (START, arrival_interval(INITIAL_UTILIZATION)),
            (OVERLOAD_START, arrival_interval(OVERLOAD_UTILIZATION)),
        ],
        max_client_attempts: 3,
        retry_pause: 300 * MS,
        retry_after_compliance: 0.8,
        reports: Some(Reports { period: 900 * MS, delay: 250 * MS }),
        hang: None,
        end: MEASURED.end,
    };
    let mut fleet = Fleet::new(scenario, balancers, seed);
    fleet.run();
    fleet
}

/// The time of all cores within one [`INTERVAL`].
const CORE_TIME: Micros = INTERVAL * SERVERS * CORES as Micros;
/// A day on which 0.2 or more of the possible work is lost counts as lost
/// (docs/incidents/open-days-that-lose-a-quarter.md).
const MIN_USEFUL_SHARE: f64 = 0.8;
/// Servers may be idle despite refusals for about as long as the slowest request that is in time: a
/// balancer that relies on answers cannot know earlier that the queues are empty.
const MAX_IDLE_TIME: Micros = S;
/// Cores that are busy for a smaller share of the time count as idle.
const MIN_BUSY_SHARE: f64 = 0.5;

/// Checks all seeds before it fails, so that a failure reports each of them.
fn assert_all(
    balancers: fn(u64) -> Vec<Box<dyn LoadBalancer>>,
    measure: fn(&Fleet) -> (bool, String),
) {
    let all = SEEDS.map(|seed| (seed, measure(&simulate(seed, balancers(seed)))));
    let failed = all.filter(|(_, (ok, _))| !ok);
    let messages: Vec<String> =
        failed.map(|(seed, (_, text))| format!("seed {seed}: {text}")).collect();
    assert!(messages.is_empty(), "{}", messages.join("; "));
}

/// Work counts if its answer came within the aim of its request.
fn useful(fleet: &Fleet) -> (bool, String) {
    let intervals = fleet.intervals(MEASURED);
    let useful: Micros = intervals.iter().map(|interval| interval.useful).sum();
    let share = useful as f64 / (CORE_TIME * intervals.len() as Micros) as f64;
    (share >= MIN_USEFUL_SHARE, format!("{share:.2} in time"))
}

fn idle(fleet: &Fleet) -> (bool, String) {
    let is_wasted = |interval: &IntervalCounts| {
        interval.refused > 0 && (interval.busy as f64) < MIN_BUSY_SHARE * CORE_TIME as f64
    };
    let runs = fleet.intervals(MEASURED).split(|interval| !is_wasted(interval));
    let longest = runs.map(|run| run.len() as Micros * INTERVAL).max().unwrap_or(0);
    (longest <= MAX_IDLE_TIME, format!("idle for {:.1} s", longest as f64 / S as f64))
}

/// Guards against overload days with low yield: on short days 0.42 to 0.77 of the value was served,
/// where a policy with delayed knowledge of the servers reached 0.85 to 0.93.
#[test]
fn balancers_together_serve_most_of_what_the_servers_can_do_in_an_overload() {
    assert_all(balancers, useful);
}

/// Guards against idle servers in an overload: balancers refused nearly everything for 3 to 5 s on
/// end while the servers had no work.
#[test]
fn servers_do_not_stand_idle_while_balancers_refuse() {
    assert_all(balancers, idle);
}

#[test]
fn a_fixed_concurrency_limit_meets_both_bounds() {
    assert_all(fixed_concurrency_limits, useful);
    assert_all(fixed_concurrency_limits, idle);
}
