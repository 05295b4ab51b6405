//! Server selection: cold, slow, remote and key-warm servers.

use coppercart::api::*;
use serde_json::json;

use crate::common::*;

/// Slow start over many sidecars that all apply the same limit: a cold server's share of sends must
/// stay below the multiple of its share of the current capacity.
#[test]
fn all_sidecars_together_limit_the_sends_to_a_cold_server() {
    let n = 10;
    let mut cold = server(n);
    cold.started = START;
    let (mut to_cold, mut all) = (0, 0);
    for seed in 0..300 {
        let servers: Vec<_> = (0..n).map(server).collect();
        let settings = settings(|s| {
            s["instances"] = 300.into();
            s["me"] = seed.into();
        });
        let mut harness = Harness::new(settings, seed, &servers);
        for _ in 0..10 {
            harness.round(0, 1.0);
        }
        harness.now = START + S;
        harness.servers(ListKind::Changes, &[cold.clone()]);
        for _ in 0..10 {
            all += 1;
            to_cold += u32::from(harness.round(0, 1.0) == Some(cold.id));
        }
    }
    let share = f64::from(to_cold) / f64::from(all);
    // The cold server has 0.2 to 0.25 of a server's capacity, ten others are warm, and the multiple
    // is 3.
    let expected_share = 0.25 / 10.25;
    assert!(share < 2.5 * expected_share, "share {share}, expected {expected_share}");
    assert!(share > 0.2 * expected_share, "the cold server must warm up: {share}");
}

/// Guards against slow servers that still answer, keep most of their share and make it late.
#[test]
fn a_server_slower_than_the_others_is_avoided() {
    let servers: Vec<_> = (0..4).map(server).collect();
    let mut harness = Harness::new(settings(|_| {}), 4, &servers);
    let slow = ServerId(0);
    let mut to_slow = 0;
    for i in 0..400 {
        let (id, out) = harness.request(0);
        let to = sent(&out).expect("sent");
        if i >= 200 {
            to_slow += u32::from(to == slow);
        }
        let latency = if to == slow { 90 * MS } else { 20 * MS };
        harness.now += latency;
        harness.event(Event::Answer {
            id,
            attempt: 0,
            server: to,
            outcome: Outcome::Served,
            latency,
            finished: true,
            report: report(0.0),
        });
    }
    assert!(to_slow < 20, "{to_slow} of 200 sends to the slow one of four");
}

/// Guards against too many connections where they have a price: each sidecar kept four or more
/// open, and servers outside of its subset kept one each after a single retry.
#[test]
fn expensive_connections_are_few_and_closed() {
    let servers: Vec<_> = (0..30).map(server).collect();
    let expensive_connections = settings(|s| {
        s["instances"] = 600.into();
        s["prices"] = serde_json::json!({"connection": 0.075});
    });
    let mut harness = Harness::new(expensive_connections, 5, &servers);
    let mut kept = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let (id, out) = harness.request(0);
        let to = sent(&out).expect("sent");
        harness.now += 20 * MS;
        let out = harness.answer(id, 0, to, Outcome::Served, 0.0);
        if !out.contains(&Action::CloseIdle { server: to }) {
            kept.insert(to.0);
        }
        harness.now += 2 * S;
    }
    // 0.05 x 100 x 30 servers / (0.075 x 600 instances) = 3.3
    assert!(kept.len() <= 3, "{kept:?}");
}

/// Guards against overloaded cold servers during a release with short queues: requests that full
/// servers refused were retried on cold ones, which collapsed.
#[test]
fn a_cold_server_gets_no_retry() {
    for seed in 0..50 {
        let cold = ServerEntry { started: START - S, ..server(0) };
        let mut harness =
            Harness::new(settings(|_| {}), seed, &[cold.clone(), server(1), server(2)]);
        let (id, mut out) = harness.request(0);
        for attempt in 0.. {
            let Some(to) = sent(&out) else { break };
            assert!(attempt == 0 || to != cold.id, "attempt {attempt} went to the cold server");
            harness.now += MS;
            out = harness.answer(id, attempt, to, Outcome::Full, 0.0);
        }
    }
}

/// Guards against a key that is spread over the whole fleet where servers keep recent keys warm.
/// Most sidecars send a key to one server; a hot key, seen again at once, goes to any server.
#[test]
fn a_key_goes_to_its_server_unless_it_is_hot() {
    let servers: Vec<_> = (0..16).map(server).collect();
    let largest_share = |warm: bool, times: u64| {
        let mut sends = std::collections::BTreeMap::new();
        for me in 0..60 {
            let settings = settings(|s| {
                s["instances"] = 60.into();
                s["me"] = me.into();
                s["familyInfo"] = serde_json::json!({"warmKeys": warm});
            });
            let mut harness = Harness::new(settings, me, &servers);
            for _ in 0..times {
                let (id, out) = harness.request_for(77);
                let to = sent(&out).expect("sent");
                harness.now += S;
                harness.answer(id, 0, to, Outcome::Served, 0.0);
                *sends.entry(to).or_insert(0_u64) += 1;
            }
        }
        *sends.values().max().expect("some were sent") as f64 / (60 * times) as f64
    };
    assert!(largest_share(true, 1) > 0.9, "{}", largest_share(true, 1));
    assert!(largest_share(false, 1) < 0.3, "{}", largest_share(false, 1));
    assert!(largest_share(true, 40) < 0.3, "{}", largest_share(true, 40));
}

/// Guards against remote requests at low load with five zones: each remote server had a low weight,
/// but all of them together got a third of the draws and won ties.
#[test]
fn low_load_stays_in_its_zone() {
    let servers: Vec<_> =
        (0..40).map(|n| ServerEntry { zone: u8::from(n >= 8), ..server(n) }).collect();
    let settings = settings(|s| s["prices"] = serde_json::json!({"crossZone": 0.08}));
    let mut harness = Harness::new(settings, 6, &servers);
    let mut remote = 0;
    for _ in 0..1000 {
        let to = harness.round(0, 0.0).expect("sent");
        remote += u32::from(to.0 >= 8);
    }
    assert!(remote < 60, "{remote} of 1000 crossed");
}

/// A busy sidecar gets about a hundred answers before the effect of its adjustment shows. A short
/// slowdown of local servers must not move all of its load to other zones, and back a moment later.
#[test]
fn the_cross_zone_share_does_not_follow_single_answers() {
    let list: Vec<_> = (0..6).map(server).collect();
    let mut harness =
        Harness::new(settings(|s| s["prices"] = serde_json::json!({"crossZone": 0.06})), 6, &list);
    // 300 requests a second, each answered before the next but one.
    let round = |harness: &mut Harness, local_latency: Micros| {
        let (id, out) = harness.request(0);
        let server = sent(&out)?;
        harness.now += 3_300;
        let remote = server.0 % 2 == 1;
        harness.event(Event::Answer {
            id,
            attempt: 0,
            server,
            outcome: Outcome::Served,
            latency: if remote { 20 * MS } else { local_latency },
            finished: true,
            report: report(0.0),
        });
        Some(remote)
    };
    let crossed = |harness: &mut Harness, n: usize, local_latency: Micros| {
        (0..n).filter(|_| round(harness, local_latency) == Some(true)).count()
    };
    crossed(&mut harness, 3000, 20 * MS);
    let calm = crossed(&mut harness, 300, 20 * MS);
    assert!(calm < 60, "{calm} of 300 crossed before");
    let after = crossed(&mut harness, 100, 150 * MS);
    assert!(after < 30, "{after} of 100 crossed within a third of a second");
}

/// The setting determines how strongly slow servers are avoided.
#[test]
fn the_slow_exponent_sets_how_often_a_slow_server_is_chosen() {
    let to_slow = |exponent: f64| {
        let with =
            |json: &mut serde_json::Value| json["failover"] = json!({"slowExponent": exponent});
        let servers: Vec<_> = (0..4).map(server).collect();
        let mut harness = Harness::new(settings(with), 4, &servers);
        let mut slow = 0;
        let mut open: Vec<(Micros, RequestId, ServerId, Micros)> = Vec::new();
        for _ in 0..4000 {
            let (id, out) = harness.request(0);
            let server = sent(&out).expect("sent");
            slow += u32::from(server == ServerId(0));
            let latency = if server == ServerId(0) { 90 * MS } else { 20 * MS };
            open.push((harness.now + latency, id, server, latency));
            harness.now += 2 * MS;
            while let Some(at) = open.iter().position(|(due, ..)| *due <= harness.now) {
                let (_, id, server, latency) = open.swap_remove(at);
                let (outcome, report) = (Outcome::Served, report(0.0));
                harness.event(Event::Answer {
                    id,
                    attempt: 0,
                    server,
                    outcome,
                    latency,
                    finished: true,
                    report,
                });
            }
        }
        slow
    };
    let (usual, steep) = (to_slow(2.0), to_slow(4.0));
    assert!(steep * 3 < usual * 2, "{usual} of 4,000, then {steep}");
}
