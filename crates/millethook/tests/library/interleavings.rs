//! Random interleavings of requests, cancellations, answers, time-outs and changes of the list, from
//! seeds, against a checker that keeps its own books of what servers saw.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use millethook::{Error, Fleet};
use millethook_testkit::*;
use serde_json::json;

use crate::common::*;

const SERVERS: usize = 4;
const STEPS: usize = 120;
/// The server that has just started, with a twentieth of its later speed.
const COLD: usize = SERVERS - 1;

/// What servers do with the nth request; only being turned away proves that it never ran.
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
enum Ending {
    Served,
    Refused { never_ran: bool },
    Failed,
    Dropped,
}

fn play(seed: u64) {
    let stage = ServerGroup::new(SERVERS, move |a| fault(seed, a.nth));
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    // Two zones of two: keyed repeats are dropped within one.
    let listed = |states: &[&str; SERVERS]| {
        let mut hosts = stage.hosts();
        for (i, host) in hosts.iter_mut().enumerate() {
            host["site"] = json!(if i < 2 { "a" } else { "b" });
            host["health"] = json!(states[i]);
            // The last one has just started, and stays cold for as long as the test runs.
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
    let config = millethook::FleetConfig::from_json(&config.to_string()).expect("sound");
    let fleet = Fleet::open(config).expect("open");
    let runtime = runtime();
    let endings = Arc::new(Mutex::new(HashMap::new()));
    let mut random = Random::new(seed);
    runtime.block_on(async {
        assert!(fleet.ready().await);
        let mut tasks = tokio::task::JoinSet::new();
        for step in 0..STEPS {
            if random.below(8) == 0 {
                // Without this, no server may be left, everything is refused, and nothing is tested.
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
            let (fleet, endings) = (fleet.clone(), endings.clone());
            let id = format!("i{seed}-{step}");
            tasks.spawn(async move {
                let mut request = timed(class, left);
                let headers = request.headers_mut();
                headers.insert("x-correlation-id", id.parse().expect("a value"));
                headers.insert("x-account", "acme".parse().expect("a value"));
                let began = Instant::now();
                let call = fleet.call(request);
                let end = match dropped {
                    Some(patience) => tokio::time::timeout(patience, call).await.ok(),
                    None => Some(call.await),
                };
                let ending = match end {
                    None => Ending::Dropped,
                    Some(Ok(_)) => Ending::Served,
                    Some(Err(Error::Refused { execution, .. })) => {
                        Ending::Refused { never_ran: execution == millethook::Execution::NeverRan }
                    }
                    Some(Err(Error::Failed { .. })) => Ending::Failed,
                    Some(Err(other)) => panic!("{other:?}"),
                };
                // Rule 1, with what a busy machine may take beyond it.
                assert!(began.elapsed() < left + Duration::from_secs(2), "{:?}", began.elapsed());
                endings.lock().expect("no panic").insert(id, (class, ending));
            });
            if random.below(3) == 0 {
                tokio::time::sleep(Duration::from_micros(random.below(6000))).await;
            }
        }
        while let Some(task) = tasks.join_next().await {
            task.expect("no task panics");
        }
        nothing_held(&fleet).await;
        // Rule 3: once a drain is told, the server gets nothing new. It is told when the agent has
        // answered a call that came after the change, and the next one has come.
        let leaving = states.iter().position(|s| *s == "active").expect("two are active");
        states[leaving] = "leaving";
        agent.set_hosts(listed(&states));
        let (calls, count) =
            (agent.calls(), || stage.seen().iter().filter(|a| a.server == leaving).count());
        tokio::task::block_in_place(|| {
            wait_until("the drain is told", || agent.calls() >= calls + 2)
        });
        let before = count();
        for n in 0..30 {
            let class = ["look", "keep", "order"][n % 3];
            let mut request = timed(class, Duration::from_millis(100));
            request.headers_mut().insert("x-account", "acme".parse().expect("a value"));
            let _ = fleet.call(request).await;
        }
        assert_eq!(count(), before, "seed {seed}: server {leaving} leaves, and gets more");
    });
    check(seed, &stage.seen(), &endings.lock().expect("no panic"));
}

fn check(seed: u64, seen: &[Attempt], endings: &HashMap<String, (&'static str, Ending)>) {
    assert_eq!(endings.len(), STEPS, "seed {seed}: each request has one end");
    let turned_away = |a: &Attempt| matches!(fault(seed, a.nth), Fault::Reject);
    let mut by_id: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    seen.iter().for_each(|a| by_id.entry(&a.id).or_default().push(a));
    // Rule 4: whatever becomes of the others, a cold server gets about its share, a twentieth.
    let cold = seen.iter().filter(|a| a.server == COLD).count();
    assert!(cold <= seen.len() / 4, "seed {seed}: {cold} of {} at a cold server", seen.len());
    for (id, attempts) in by_id {
        // Those of the drain at the end are not in the books.
        let Some((class, ending)) = endings.get(id) else { continue };
        let ran: Vec<_> = attempts.iter().filter(|a| !turned_away(a)).collect();
        // Rule 2: what may have run is not repeated where it is unsafe, and keyed only in its zone.
        match *class {
            "order" => assert!(ran.len() <= 1, "seed {seed}: twice: {ran:?}"),
            "keep" => {
                let zones =
                    ran.iter().map(|a| a.server < 2).collect::<std::collections::HashSet<_>>();
                assert!(zones.len() <= 1, "seed {seed}: in two zones: {ran:?}");
            }
            _ => {}
        }
        // Rule 2 again: a refusal says that nothing ran, or that it does no harm.
        if let Ending::Refused { never_ran } = ending {
            assert!(!never_ran || ran.is_empty(), "seed {seed}: ran, and never ran: {ran:?}");
            assert!(*class == "look" || ran.is_empty(), "seed {seed}: refused, but ran: {ran:?}");
        }
        // Rule 1: nobody is served what no server made for it.
        if matches!(ending, Ending::Served) {
            let well =
                |a: &&&Attempt| matches!(fault(seed, a.nth), Fault::Serve(_) | Fault::Delayed(..));
            assert!(ran.iter().any(well), "seed {seed}: served by nobody: {ran:?}");
        }
    }
}

#[test]
fn the_rules_hold_in_any_order_of_things() {
    for seed in 1..=6 {
        play(seed);
    }
}

/// The same with a thousand seeds: `cargo test -p millethook --release -- --ignored soak`.
#[test]
#[ignore = "takes minutes"]
fn soak_the_rules_hold_in_any_order_of_things() {
    for seed in 1_000..2_000 {
        play(seed);
    }
}
