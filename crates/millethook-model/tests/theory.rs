//! Runs queues with a known mean wait through the production decisions.

use millethook_model::erlang;
use millethook_model::fleet::play;
use millethook_model::plan::{Class, Load, Network, Plan, Servers, Sidecars};

/// Returns a plan of one server with `slots` workers, Poisson arrivals through `sidecars` sidecars, and exponential
/// work of 1 ms without an upper bound. Target latencies and deadlines are far away, so that nothing is shed or
/// retried.
fn queue(slots: usize, load: f64, sidecars: usize, duration_ms: u64) -> Plan {
    let class = Class { work_us: 1_000, aim_ms: 60_000, deadline_ms: 120_000, ..Class::default() };
    let per_second = load * slots as f64 * 1e3;
    Plan {
        duration_ms,
        check_every: 0,
        sidecars: Sidecars { count: sidecars, ..Sidecars::default() },
        servers: Servers {
            count: 1,
            slots,
            queue: 1_000_000,
            longest_work: 0.0,
            ..Servers::default()
        },
        load: Load { per_sidecar: per_second / sidecars as f64, leave_early: 0.0 },
        network: Network { delay_us: 0, jitter_us: 0, ..Network::default() },
        classes: vec![class],
        ..Plan::default()
    }
}

/// Returns the relative error of the measured mean wait against the Erlang C value.
fn error(slots: usize, load: f64, sidecars: usize, duration_ms: u64) -> f64 {
    let report =
        play(&queue(slots, load, sidecars, duration_ms), None).expect("the plan is playable");
    assert_eq!(report.findings, []);
    let expected = erlang::mean_wait(slots as u32, load) * 1e3;
    report.figures.mean_wait() / expected - 1.0
}

#[test]
fn erlang_c_matches_known_values() {
    // One server: the share that waits is the load, and the wait is load / (1 - load).
    assert!((erlang::wait_probability(1, 0.7) - 0.7).abs() < 1e-12);
    assert!((erlang::mean_wait(1, 0.5) - 1.0).abs() < 1e-12);
    // Two servers: 2 load^2 / (1 + load).
    assert!((erlang::wait_probability(2, 0.75) - 2.0 * 0.5625 / 1.75).abs() < 1e-12);
}

#[test]
fn the_mean_wait_is_that_of_erlang_c() {
    // A million arrivals, because with 240,000 the mean was off by more than 3% by chance. The long test below requires
    // 1%.
    let error = error(4, 0.6, 3, 416_000);
    assert!(error.abs() < 0.03, "{error}");
}

#[test]
#[ignore = "some 20 million arrivals: minutes in debug; run it in release"]
fn the_mean_wait_is_within_one_percent() {
    for (slots, load) in [(1, 0.5), (2, 0.6), (4, 0.7), (8, 0.7)] {
        let arrivals = 5e6;
        let duration_ms = (arrivals / (load * slots as f64)) as u64;
        let error = error(slots, load, 4, duration_ms.min(3_600_000));
        println!("{slots} workers at {load}: {:+.2}%", 100.0 * error);
        assert!(error.abs() < 0.01, "{slots} workers at {load}: {error}");
    }
}
