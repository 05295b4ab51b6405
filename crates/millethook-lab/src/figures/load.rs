//! How the work of a whole run was distributed over the servers.

use crate::ledger::Micros;
use crate::world::Outcome;

/// The highest mean load of a server, divided by the mean of all servers.
pub(super) fn imbalance(outcome: &Outcome, warm_up: Micros) -> f64 {
    let mut sums: Vec<f64> = Vec::new();
    for sample in outcome.servers.iter().filter(|s| s.at >= warm_up) {
        sums.resize(sample.load.len(), 0.0);
        for (sum, load) in sums.iter_mut().zip(&sample.load) {
            *sum += load.map_or(0.0, |l| l.0 as f64);
        }
    }
    max_over_mean(&sums)
}

/// The maximum divided by the mean; 0 if all numbers are 0.
pub(super) fn max_over_mean(numbers: &[f64]) -> f64 {
    let sum: f64 = numbers.iter().sum();
    let most = numbers.iter().copied().fold(0.0, f64::max);
    if sum > 0.0 { most * numbers.len() as f64 / sum } else { 0.0 }
}

/// Server-seconds without work while another server had requests queued.
pub(super) fn idle_while_queued(outcome: &Outcome, warm_up: Micros) -> f64 {
    let mut idle = 0.0;
    for pair in outcome.servers.windows(2).filter(|p| p[0].at >= warm_up) {
        let queued = pair[0].load.iter().flatten().any(|l| l.1 > 0);
        let free = pair[0].load.iter().flatten().filter(|l| l.0 == 0).count();
        if queued {
            idle += free as f64 * (pair[1].at - pair[0].at) as f64 / 1e6;
        }
    }
    idle
}
