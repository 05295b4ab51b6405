//! Random interleavings of requests, cancellations, answers, timeouts and changes of the list, from seeds.
//! The four rules are checked against what the servers saw.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use millethook::{Error, Fleet};
use millethook_testkit::*;
use serde_json::json;

use crate::common::*;

const SERVERS: usize = 4;
const STEPS: usize = 120;
/// Index of the server that has just started, with a twentieth of its later speed.
const COLD: usize = SERVERS - 1;

/// How servers treat the nth request. Only `TurnAway` proves that it never ran.
fn fault(seed: u64, nth: usize) -> Fault {
    let mut random = Random::new(seed ^ (nth as u64) << 8);
    match random.below(12) {
        0 | 1 => Fault::Reject,
        2 => Fault::Error,
        3 => Fault::Reset,
        4 => Fault::Garbage,
        5 => Fault::Stall,
        6 => Fault::Truncated,
        7 | 8 => {
            Fault::Delayed(Delay::Uniform(Duration::ZERO, Duration::from_millis(20)), "late".into())
        }
        _ => Fault::Serve("fine".into()),
    }
}

/// How one request ended for its caller.
#[derive(Debug)]
enum Outcome {
    Served,
    Refused { never_ran: bool },
    Failed,
    Dropped,
}

fn run_seed(seed: u64) {
    let stage = ServerGroup::new(SERVERS, move |a| fault(seed, a.nth));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    // Two zones with two servers each. Servers of one zone drop each other's keyed repeats.
    let listed = |states: &[&str; SERVERS]| {
        let mut hosts = stage.hosts();
        for (i, host) in hosts.iter_mut().enumerate() {
            host["site"] = json!(if i < 2 { "a" } else { "b" });
            host["health"] = json!(states[i]);
            // The last server has just started and stays cold during the whole test.
            host["born_ms"] = json!(if i == COLD { born } else { 0 });
        }
        hosts
    };
    let mut states = ["active"; SERVERS];
    let agent = Agent::start(listed(&states));
    let mut config = config(agent.address, |c| c["name"] = json!(name()));
    config["settings"]["limits"]["cancel"] = json!(true);
    config["settings"]["rules"]["cold"] = json!(3_600_000_000u64);
    config["settings"]["rules"]["coldShare"] = json!(0.05);
    let config = millethook::FleetConfig::from_json(&config.to_string()).expect("valid");
    let fleet = Fleet::open(config).expect("open");
    let runtime = runtime();
    let outcomes = Arc::new(Mutex::new(HashMap::new()));
    let mut random = Random::new(seed);
    runtime.block_on(async {
        assert!(fleet.ready().await);
        let mut tasks = tokio::task::JoinSet::new();
        for step in 0..STEPS {
            if random.below(8) == 0 {
                // At least two servers stay active. Without any, every request would be refused and
                // nothing would be tested.
                let one = random.below(SERVERS as u64) as usize;
                states[one] = if states[one] == "active" { "leaving" } else { "active" };
                if states.iter().filter(|s| **s == "active").count() >= 2 {
                    agent.set_hosts(listed(&states));
                } else {
                    states[one] = "active";
                }
            }
            let class = ["look", "keep", "order"][random.below(3) as usize];
            let left = Duration::from_millis(20 + random.below(150));
            let dropped = (random.below(4) == 0).then(|| Duration::from_micros(random.below(9000)));
            let (fleet, outcomes) = (fleet.clone(), outcomes.clone());
            let id = format!("i{seed}-{step}");
            tasks.spawn(async move {
                let mut request = timed(class, left);
                let headers = request.headers_mut();
                headers.insert("x-correlation-id", id.parse().expect("a value"));
                headers.insert("x-account", "acme".parse().expect("a value"));
                let began = Instant::now();
                let call = fleet.call(request);
                let end = match dropped {
                    Some(after) => tokio::time::timeout(after, call).await.ok(),
                    None => Some(call.await),
                };
                let outcome = match end {
                    None => Outcome::Dropped,
                    Some(Ok(_)) => Outcome::Served,
                    Some(Err(Error::Refused { execution, .. })) => {
                        Outcome::Refused { never_ran: execution == millethook::Execution::NeverRan }
                    }
                    Some(Err(Error::Failed { .. })) => Outcome::Failed,
                    Some(Err(other)) => panic!("{other:?}"),
                };
                // Rule 1, with a margin for a busy machine.
                assert!(began.elapsed() < left + Duration::from_secs(2), "{:?}", began.elapsed());
                outcomes.lock().expect("no panic").insert(id, (class, outcome));
            });
            if random.below(3) == 0 {
                tokio::time::sleep(Duration::from_micros(random.below(6000))).await;
            }
        }
        while let Some(task) = tasks.join_next().await {
            task.expect("no task panics");
        }
        wait_until_idle(&fleet).await;
        // Rule 3: after a drain is known, the server gets nothing new. It is known when the agent has
        // answered a call that arrived after the change, and the next call has arrived.
        let leaving = states.iter().position(|s| *s == "active").expect("two are active");
        states[leaving] = "leaving";
        agent.set_hosts(listed(&states));
        let (calls, count) =
            (agent.calls(), || stage.seen().iter().filter(|a| a.server == leaving).count());
        tokio::task::block_in_place(|| {
            wait_until("the drain is known", || agent.calls() >= calls + 2)
        });
        let before = count();
        for n in 0..30 {
            let class = ["look", "keep", "order"][n % 3];
            let mut request = timed(class, Duration::from_millis(100));
            request.headers_mut().insert("x-account", "acme".parse().expect("a value"));
            let _ = fleet.call(request).await;
        }
        assert_eq!(count(), before, "seed {seed}: draining server {leaving} got new requests");
    });
    check_rules(seed, &stage.seen(), &outcomes.lock().expect("no panic"));
}

fn check_rules(seed: u64, seen: &[Attempt], outcomes: &HashMap<String, (&'static str, Outcome)>) {
    assert_eq!(outcomes.len(), STEPS, "seed {seed}: each request has one outcome");
    let turned_away = |a: &Attempt| matches!(fault(seed, a.nth), Fault::Reject);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    seen.iter().for_each(|a| by_id.entry(&a.id).or_default().push(a));
    // Rule 4: a cold server gets about its share, a twentieth, whatever happens at the others.
    let cold = seen.iter().filter(|a| a.server == COLD).count();
    assert!(cold <= seen.len() / 4, "seed {seed}: {cold} of {} at a cold server", seen.len());
    for (id, attempts) in by_id {
        // Requests sent after the drain at the end are not recorded.
        let Some((class, outcome)) = outcomes.get(id) else { continue };
        let ran: Vec<_> = attempts.iter().filter(|a| !turned_away(a)).collect();
        // Rule 2: an unsafe request that may have run is not repeated, and a keyed one only in its zone.
        match *class {
            "order" => assert!(ran.len() <= 1, "seed {seed}: twice: {ran:?}"),
            "keep" => {
                let zones =
                    ran.iter().map(|a| a.server < 2).collect::<std::collections::HashSet<_>>();
                assert!(zones.len() <= 1, "seed {seed}: in two zones: {ran:?}");
            }
            _ => {}
        }
        // Rule 2: a request is refused only if it did not run, or if it is safe.
        if let Outcome::Refused { never_ran } = outcome {
            assert!(
                !never_ran || ran.is_empty(),
                "seed {seed}: ran, but reported as never run: {ran:?}"
            );
            assert!(*class == "look" || ran.is_empty(), "seed {seed}: refused, but ran: {ran:?}");
        }
        // Rule 1: a served request was answered by a server.
        if matches!(outcome, Outcome::Served) {
            let answered =
                |a: &&&Attempt| matches!(fault(seed, a.nth), Fault::Serve(_) | Fault::Delayed(..));
            assert!(ran.iter().any(answered), "seed {seed}: served by no server: {ran:?}");
        }
    }
}

#[test]
fn the_rules_hold_in_random_interleavings() {
    for seed in 1..=6 {
        run_seed(seed);
    }
}

/// The same with a thousand seeds: `cargo test -p millethook --release -- --ignored soak`.
#[test]
#[ignore = "takes minutes"]
fn soak_the_rules_hold_in_random_interleavings() {
    for seed in 1_000..2_000 {
        run_seed(seed);
    }
}
