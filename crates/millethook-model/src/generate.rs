//! Generates plans from a seed: small fleets with a few random faults.

use crate::plan::{
    Class, Discovery, Effect, Fault, FaultKind, Load, Network, Plan, Rules, Servers, Sidecars,
};
use crate::random::{Stream, StreamKind};

/// Range of the number of sidecars.
const SIDECARS: (u64, u64) = (2, 30);
/// Range of the number of servers.
const SERVERS: (u64, u64) = (2, 12);
/// Range of the number of faults.
const FAULTS: (u64, u64) = (1, 6);
/// Range of the servers' utilization.
const UTILIZATION: (f64, f64) = (0.1, 0.75);
/// Maximum requests per second of a whole fleet. The decisions' invariant check visits each open request after each
/// event, so one plan with ten times this rate takes as long as all others of a search.
const MAX_RATE: f64 = 1_500.0;
/// Earliest begin of a fault: service before it is measured.
const EARLIEST_FAULT_MS: u64 = 4_000;
/// Latest begin of a fault.
const LATEST_FAULT_MS: u64 = 8_000;
/// Longest duration of a fault. After the latest begin, the longest fault, the warm-up and the recovery time, seconds
/// of load remain.
const LONGEST_FAULT_MS: u64 = 4_000;
/// Shortest drain, so that requests in progress can finish.
const MIN_DRAIN_MS: u64 = 2_000;
/// Range of the time until a server is warm.
const COLD_MS: (u64, u64) = (3_000, 6_000);
/// How long after the last fault service must have recovered; all servers are long warm by then.
const RECOVERY_MS: u64 = 8_000;
/// How long requests arrive.
const DURATION_MS: u64 = 24_000;
/// Events after which a run is aborted: many times what the largest of these fleets needs.
const MAX_EVENTS: u64 = 20_000_000;

/// Generates the plan of a seed.
pub fn plan(seed: u64) -> Plan {
    let mut random = Stream::new(seed, StreamKind::Plans, 0);
    let sidecars = sidecars(&mut random);
    let servers = servers(&mut random);
    let classes = classes(&mut random);
    let mut plan = Plan {
        seed,
        duration_ms: DURATION_MS,
        most_events: MAX_EVENTS,
        check_every: 1,
        load: Load { per_sidecar: 1.0, leave_early: pick(&mut random, &[0.0, 0.0, 0.05]) },
        network: network(&mut random),
        discovery: discovery(&mut random),
        rules: Rules {
            back_within_ms: RECOVERY_MS,
            fall_multiple: pick(&mut random, &[3.0, 4.0]),
            tip_after_ms: pick(&mut random, &[500, 1_000, 3_000]),
            ..Rules::default()
        },
        classes,
        faults: Vec::new(),
        sidecars,
        servers,
    };
    let target = UTILIZATION.0 + random.share() * (UTILIZATION.1 - UTILIZATION.0);
    let max_rate = MAX_RATE / plan.sidecars.count as f64;
    plan.load.per_sidecar = round((target / plan.utilization()).min(max_rate));
    let count = random.between(FAULTS.0, FAULTS.1);
    plan.faults = (0..count).map(|_| fault(&plan, &mut random)).collect();
    plan.faults.sort_by_key(|fault| fault.at_ms);
    plan
}

/// Rounds to three decimal places, which keeps the plan file readable.
fn round(value: f64) -> f64 {
    (value * 1e3).round().max(1.0) / 1e3
}

fn pick<T: Copy>(random: &mut Stream, choices: &[T]) -> T {
    choices[random.below(choices.len())]
}

fn sidecars(random: &mut Stream) -> Sidecars {
    Sidecars {
        count: random.between(SIDECARS.0, SIDECARS.1) as usize,
        zones: random.between(1, 3) as usize,
        copy_at_aim: random.chance(0.3),
        may_duplicate: !random.chance(0.2),
        max_attempts: random.between(2, 6) as usize,
    }
}

fn servers(random: &mut Stream) -> Servers {
    Servers {
        count: random.between(SERVERS.0, SERVERS.1) as usize,
        slots: random.between(2, 8) as usize,
        queue: random.between(4, 32) as usize,
        cold_share: pick(random, &[0.1, 0.2]),
        cold_ms: random.between(COLD_MS.0, COLD_MS.1),
        ..Servers::default()
    }
}

fn network(random: &mut Stream) -> Network {
    let rare_probabilities = [0.0, 0.0, 0.0, 0.001, 0.01];
    Network {
        delay_us: random.between(50, 2_000),
        jitter_us: random.between(0, 2_000),
        loss_before: pick(random, &rare_probabilities),
        loss_after: pick(random, &rare_probabilities),
        reset: pick(random, &rare_probabilities),
    }
}

fn discovery(random: &mut Stream) -> Discovery {
    Discovery {
        late_ms: pick(random, &[0, 100, 1_000]),
        on_request: random.chance(0.3),
        work_us: random.between(1_000, 20_000),
        max_pending_calls: random.between(4, 32) as usize,
    }
}

fn classes(random: &mut Stream) -> Vec<Class> {
    let mut class = |effect, worth| Class {
        effect,
        share: random.between(1, 6) as f64,
        work_us: random.between(5_000, 40_000),
        aim_ms: 250,
        deadline_ms: random.between(600, 1_500),
        window_ms: random.between(100, 1_000),
        worth,
    };
    vec![class(Effect::Safe, 1.0), class(Effect::Keyed, 2.0), class(Effect::Unsafe, 4.0)]
}

fn fault(plan: &Plan, random: &mut Stream) -> Fault {
    let kind = pick(random, &FaultKind::ALL);
    let min_duration = if kind == FaultKind::Replace { MIN_DRAIN_MS } else { 50 };
    let mut fault = Fault {
        at_ms: random.between(EARLIEST_FAULT_MS, LATEST_FAULT_MS),
        for_ms: random.between(min_duration, LONGEST_FAULT_MS),
        kind,
        amount: amount(kind, random),
        ..Fault::default()
    };
    if kind.affects_sidecars() || kind.affects_network() {
        fault.sidecars = random_targets(plan.sidecars.count, random);
    }
    if kind.affects_servers() || kind.affects_network() {
        fault.servers = random_targets(plan.servers.count, random);
    }
    fault
}

fn amount(kind: FaultKind, random: &mut Stream) -> f64 {
    match kind {
        FaultKind::Slow => pick(random, &[2.0, 5.0, 20.0]),
        FaultKind::Errors => pick(random, &[0.1, 0.5, 1.0]),
        FaultKind::Loss => pick(random, &[0.05, 0.3, 0.9]),
        FaultKind::Delay => pick(random, &[5.0, 50.0, 300.0]),
        _ => 0.0,
    }
}

/// Returns one index, some, or all.
fn random_targets(count: usize, random: &mut Stream) -> Vec<usize> {
    let share = pick(random, &[0.0, 0.3, 0.6, 1.0]);
    let one = random.below(count);
    (0..count).filter(|number| *number == one || random.chance(share)).collect()
}
