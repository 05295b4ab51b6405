//! Measures fleets of views on a virtual clock: time to detect and to converge, false alarms, bytes. Prints Markdown
//! tables.
//!
//!     cargo run --release -p millethook-view --example view_scale [sizes of fleets]
//!     cargo run --release -p millethook-view --example view_scale alarms [sizes of fleets]

#[path = "../tests/it/common/mod.rs"]
mod common;

use std::collections::{HashMap, HashSet};

use common::{PERIOD, SECOND, Sim};
use millethook_view::Status;

fn seconds(of: Option<u64>) -> String {
    of.map_or("-".into(), |t| format!("{:.1}", t as f64 / SECOND as f64))
}

fn median(mut of: Vec<Option<u64>>) -> Option<u64> {
    of.sort_by_key(|t| t.unwrap_or(u64::MAX));
    of[of.len() / 2]
}

/// The measurements of one fleet with one seed.
struct Run {
    started: Option<u64>,
    first_dead: Option<u64>,
    all_dead: Option<u64>,
    joined: Option<u64>,
    whole: Option<u64>,
    left: Option<u64>,
    healed: Option<u64>,
    quiet: f64,
    busiest: u64,
}

/// Larger fleets start with full tables, and are not partitioned: 20,000 tables that change completely would take this
/// program hours.
const MAX_STARTED_FLEET: u16 = 2_000;

fn run(size: u16, seed: u64) -> Run {
    let (mut sim, started) = match size {
        0..=MAX_STARTED_FLEET => {
            let mut sim = Sim::new(size, seed);
            sim.record_events = false;
            (0..size).for_each(|n| sim.start(n));
            let started = sim.run_until(1_200 * SECOND, Sim::agree);
            (sim, started)
        }
        _ => (Sim::with_full_tables(size, seed), None),
    };
    sim.run(30 * SECOND);
    sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
    sim.run(20 * SECOND);
    let all: u64 = sim.nodes.iter().map(|n| n.bytes).sum();
    let killed = size / 3;
    sim.kill(killed);
    let dead =
        |v: &millethook_view::View| v.member(killed).is_some_and(|m| m.status == Status::Dead);
    let first_dead = sim.run_until(120 * SECOND, |sim| sim.views().any(dead));
    let rest = sim.run_until(120 * SECOND, Sim::agree);
    sim.start(killed);
    // The time at the new member itself is measured separately: it fetches the table.
    let known =
        |sim: &Sim| sim.views().all(|v| v.member(killed).is_some_and(|m| m.status.is_present()));
    let joined = sim.run_until(120 * SECOND, known);
    let whole = sim.run_until(900 * SECOND, Sim::agree).map(|t| t + joined.unwrap_or(0));
    sim.leave(killed);
    let left = sim.run_until(120 * SECOND, Sim::agree);
    let (healed, busiest) = if size <= MAX_STARTED_FLEET { heal(&mut sim) } else { (None, 0) };
    let quiet = all as f64 / f64::from(size) / 20.0;
    let all_dead = first_dead.zip(rest).map(|(a, b)| a + b);
    Run { started, first_dead, all_dead, joined, whole, left, healed, quiet, busiest }
}

/// Partitions a third of the fleet for 30 s. Returns the time to agreement after that, and the most bytes that one
/// member sends in a second of it.
fn heal(sim: &mut Sim) -> (Option<u64>, u64) {
    let side = sim.nodes.len() as u16 / 3;
    sim.passes = Box::new(move |a, b| (a < side) == (b < side));
    sim.run(30 * SECOND);
    sim.passes = Box::new(|_, _| true);
    let bytes = |sim: &Sim| sim.nodes.iter().map(|n| n.bytes).collect::<Vec<u64>>();
    let (begin, mut last, mut busiest) = (sim.now, bytes(sim), 0);
    while sim.now < begin + 120 * SECOND {
        sim.run(SECOND / 10);
        if (sim.now - begin).is_multiple_of(SECOND) {
            let now = bytes(sim);
            busiest = now.iter().zip(&last).map(|(a, b)| a - b).max().unwrap_or(0).max(busiest);
            last = now;
        }
        if sim.agree() {
            return (Some(sim.now - begin), busiest);
        }
    }
    (None, busiest)
}

fn main() {
    let mut sizes: Vec<u16> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    if std::env::args().nth(1).as_deref() == Some("alarms") {
        return measure_false_alarms(&sizes);
    }
    if sizes.is_empty() {
        sizes = vec![8, 60, 300, 1_800];
    }
    println!(
        "| sidecars | seeds | agree after the start s | a crash: first dead s | dead for all s | a join known to all s | the newcomer knows all s \
         | a leave known to all s | quiet B/s | after a cut of a third: agree s | most B/s of one then |"
    );
    println!("|{}", " --- |".repeat(11));
    let (mut leaves, mut deaths) = (Vec::new(), Vec::new());
    for size in sizes {
        let seeds = match size {
            0..=300 => 10,
            301..=2_000 => 3,
            _ => 1,
        };
        let runs: Vec<Run> = (0..seeds).map(|seed| run(size, seed)).collect();
        let of = |what: fn(&Run) -> Option<u64>| median(runs.iter().map(what).collect());
        let quiet = runs.iter().map(|r| r.quiet).sum::<f64>() / runs.len() as f64;
        let busiest = runs.iter().map(|r| r.busiest).max().unwrap_or(0);
        let left = of(|r| r.left);
        let periods = |time: Option<u64>| time.unwrap_or(0) as f64 / PERIOD as f64;
        leaves.push((f64::from(size).ln(), periods(left)));
        let spread = of(|r| r.all_dead.zip(r.first_dead).map(|(all, first)| all - first));
        deaths.push((f64::from(size).ln(), periods(spread)));
        println!(
            "| {size} | {seeds} | {} | {} | {} | {} | {} | {} | {quiet:.0} | {} | {busiest} |",
            seconds(of(|r| r.started)),
            seconds(of(|r| r.first_dead)),
            seconds(of(|r| r.all_dead)),
            seconds(of(|r| r.joined)),
            seconds(of(|r| r.whole)),
            seconds(left),
            seconds(of(|r| r.healed)),
        );
    }
    print_fit("A leave is known to all", &leaves);
    print_fit("From the first that calls it dead, a crash is known to all", &deaths);
}

/// Prints a least-squares fit.
fn print_fit(what: &str, points: &[(f64, f64)]) {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>()
        / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>();
    println!("\n{what} after {:.2} + {slope:.2} ln(n) periods.", y - slope * x);
}

/// Measures an hour under loss, and in large fleets as much of it as is practical; no member dies.
fn measure_false_alarms(requested: &[u16]) {
    println!(
        "| sidecars | loss | s | members called dead | longest s | bytes a second of one |\n|{}",
        " --- |".repeat(6)
    );
    let sizes = [(8u16, 3_600), (60, 3_600), (300, 3_600), (1_800, 600), (20_000, 60)];
    let is_requested = |size: &u16| requested.is_empty() || requested.contains(size);
    for (size, length) in sizes.into_iter().filter(|(size, _)| is_requested(size)) {
        for loss in [0.0, 0.05, 0.2, 0.3] {
            let mut sim = if size > MAX_STARTED_FLEET {
                Sim::with_full_tables(size, 1)
            } else {
                Sim::converged(size, 1)
            };
            // Updates from the start are disseminated for a while.
            sim.run(60 * SECOND);
            sim.events.clear();
            sim.nodes.iter_mut().for_each(|n| n.bytes = 0);
            (sim.loss, sim.record_events) = (loss, true);
            sim.run(length * SECOND);
            let (mut since, mut longest, mut called) = (HashMap::new(), 0, HashSet::new());
            for (at, observer, event) in &sim.events {
                if event.new_status == Status::Dead {
                    since.insert((*observer, event.number), *at);
                    // Reports within 10 s belong to one alarm.
                    called.insert((event.number, at / (10 * SECOND)));
                } else if let Some(dead) = since.remove(&(*observer, event.number)) {
                    longest = longest.max(at - dead);
                }
            }
            let bytes = sim.nodes.iter().map(|n| n.bytes).sum::<u64>() / length / u64::from(size);
            let (called, longest) = (called.len(), seconds(Some(longest)));
            println!("| {size} | {loss} | {length} | {called} | {longest} | {bytes} |");
        }
    }
}
