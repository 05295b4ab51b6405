//! Measures fleets of replicas on a virtual clock: the age of a report when all members have it, the bytes sent, and
//! how long a started member needs to catch up. Prints a Markdown table.
//!
//!     cargo run --release -p millethook-replica --example ages [sizes of fleets]

#[path = "../tests/it/common/mod.rs"]
mod common;

use common::{SECOND, SERVER_EPOCH, Sim};
use millethook_replica::{Departure, ObservedOutcome, ServerStatus};

fn seconds(of: Option<u64>) -> String {
    of.map_or("-".into(), |t| format!("{:.2}", t as f64 / SECOND as f64))
}

fn median(mut of: Vec<Option<u64>>) -> Option<u64> {
    of.sort_by_key(|t| t.unwrap_or(u64::MAX));
    of[of.len() / 2]
}

struct Run {
    ages: [Option<u64>; 3],
    bytes: f64,
    quiet: f64,
    caught_up: Option<u64>,
}

fn run(size: u16, seed: u64, loss: f64) -> Run {
    let mut sim = Sim::new(size, 480, seed);
    sim.loss = loss;
    sim.run(2 * SECOND);
    // Two members have failed attempts at a server: the second report makes it suspected.
    sim.end_two_attempts(0, 1, ObservedOutcome::TimedOut);
    sim.run(SECOND);
    sim.nodes.iter_mut().for_each(|n| n.sent.0 = 0);
    sim.end_two_attempts(size / 2, 1, ObservedOutcome::Broken);
    let begun = sim.now;
    let mut ages = [None; 3];
    for (age, share) in ages.iter_mut().zip([0.5, 0.99, 1.0]) {
        let required = (f64::from(size) * share).ceil() as usize;
        let known = |sim: &Sim| sim.count_with_status(1, ServerStatus::Suspected) >= required;
        *age = sim.run_until(8 * SECOND, known).map(|_| sim.now - begun);
    }
    let passed = (sim.now - begun).max(SECOND) as f64 / SECOND as f64;
    let sum = |sim: &Sim| sim.nodes.iter().map(|n| n.sent.0).sum::<u64>() as f64;
    let bytes = sum(&sim) / passed / f64::from(size);
    // After the reports have expired nothing is sent.
    sim.run(30 * SECOND);
    sim.nodes.iter_mut().for_each(|n| n.sent.0 = 0);
    sim.run(20 * SECOND);
    let quiet = sum(&sim) / 20.0 / f64::from(size);
    // 8 KiB: all lists report that 480 servers leave.
    for n in 0..size {
        sim.with(n, |r, now| {
            (1..=480)
                .for_each(|server| r.on_departure(now, server, SERVER_EPOCH, Departure::Leaving));
        });
    }
    sim.run(5 * SECOND);
    sim.restart(size / 3);
    let all = |sim: &Sim| sim.replica(size / 3).figures().entries == 480;
    let caught_up = sim.run_until(20 * SECOND, all);
    Run { ages, bytes, quiet, caught_up }
}

fn main() {
    let mut sizes: Vec<u16> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if sizes.is_empty() {
        sizes = vec![8, 60, 300, 1_800];
    }
    println!(
        "| sidecars | loss | seeds | half know it after s | 99 of 100 | all | bytes a second of one until then | quiet | \
         8 KiB are caught up after s |\n|{}",
        " --- |".repeat(9)
    );
    for (size, loss) in sizes.into_iter().flat_map(|size| [0.0, 0.2].map(|loss| (size, loss))) {
        let seeds = if size > 300 { 3 } else { 9 };
        let runs: Vec<Run> = (0..seeds).map(|seed| run(size, seed, loss)).collect();
        let of = |n: usize| seconds(median(runs.iter().map(|r| r.ages[n]).collect()));
        let mean = |of: fn(&Run) -> f64| runs.iter().map(of).sum::<f64>() / runs.len() as f64;
        println!(
            "| {size} | {loss} | {seeds} | {} | {} | {} | {:.0} | {:.0} | {} |",
            of(0),
            of(1),
            of(2),
            mean(|r| r.bytes),
            mean(|r| r.quiet),
            seconds(median(runs.iter().map(|r| r.caught_up).collect()))
        );
    }
}
