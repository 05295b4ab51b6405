//! The figures of a run, computed from its ledger and samples. The module reads no clock and does no I/O.

mod classes;
pub mod distribution;
mod events;
mod expectations;
mod kept;
pub mod lists;
mod load;
mod operations;
mod processes;
mod trials;
mod views;
mod windows;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ledger::{Fate, Micros};
use crate::plan::Plan;
use crate::timeline::Timeline;
use crate::world::Outcome;
use classes::classes;
use events::events;
use kept::{kept, replayed_s};
use load::{idle_while_queued, imbalance};
use operations::{operations, served};
use processes::processes;
use windows::windows;

pub use classes::ClassFigures;
pub use distribution::DistributionFigures;
pub use events::EventFigures;
pub use expectations::missed;
pub use processes::ProcessFigures;
pub use windows::Window;

/// All figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// The name of the timeline.
    pub timeline: String,
    /// What the timeline is for.
    pub about: String,
    /// The seed of the run.
    pub seed: u64,
    /// The digest of the plan that the seed gave.
    pub digest: String,
    /// The number of sidecars.
    pub sidecars: usize,
    /// The number of servers at the same time.
    pub servers: usize,
    /// The share of all operations, weighted by worth, that was served within the aim of their class.
    pub served: f64,
    /// Figures of each class, by name.
    pub classes: BTreeMap<String, ClassFigures>,
    /// Attempts sent to servers per operation.
    pub attempts: f64,
    /// Writes that the sidecars stored while no server could take them.
    #[serde(default)]
    pub kept: u64,
    /// Stored writes that had not been replayed by the end of the run.
    #[serde(default)]
    pub kept_open: u64,
    /// Seconds from the end of the last event until the last stored write was replayed.
    #[serde(default)]
    pub replayed_s: f64,
    /// Attempts that no server answered.
    #[serde(default)]
    pub unanswered: u64,
    /// New connections to servers per operation.
    pub handshakes: f64,
    /// The highest mean load of a server, divided by the mean load of all servers.
    pub imbalance: f64,
    /// The coefficient of variation of arrivals across the servers in windows of 1 s, averaged over the windows.
    pub cv: f64,
    /// The same if servers were chosen at random.
    pub cv_random: f64,
    /// The most work that a cold server was sent in a window, divided by its capacity; above 1 it is overloaded.
    #[serde(default)]
    pub cold_peak: f64,
    /// Server-seconds without work while another server had requests queued.
    pub idle_while_queued_s: f64,
    /// Datagrams that the sidecars sent to one another.
    pub datagrams: u64,
    /// The bytes of these datagrams.
    pub datagram_bytes: u64,
    /// The most datagram bytes that one sidecar sent.
    pub most_bytes: u64,
    /// Datagrams that the relay dropped: by random loss or a rate cap, by cuts and partitions, from unknown senders or
    /// oversized, and because too many were in flight.
    pub relay: [u64; 4],
    /// The 99th percentile of the delay between a request's due time and its sending, in milliseconds.
    pub late_p99_ms: f64,
    /// Milliseconds in which the lab itself did not run.
    pub stalls_ms: f64,
    /// Requests that were not sent because the sidecar of their client was restarting.
    pub not_offered: u64,
    /// The effects of each event.
    pub events: Vec<EventFigures>,
    /// Windows of 1 s.
    pub windows: Vec<Window>,
    /// Samples in which a sidecar listed more members as dead than were not running.
    #[serde(default)]
    pub views_too_dead: u64,
    /// How often a job of the fleet had two owners at the same time.
    #[serde(default)]
    pub two_owners: u64,
    /// Jobs with an owner at the end.
    #[serde(default)]
    pub owned_at_end: usize,
    /// Attempts sent to unresponsive servers by sidecars that did not own the trial while another sidecar did.
    #[serde(default)]
    pub trials_by_others: u64,
    /// The share of samples in which a sidecar suspected some server.
    pub doubting: f64,
    /// Figures of the distribution of documents; `None` if the timeline distributes none.
    #[serde(default)]
    pub distribution: Option<DistributionFigures>,
    /// Processor time and memory of the daemons and the lab.
    pub processes: ProcessFigures,
    /// Broken rules, findings and missed expectations, as text.
    pub faults: Vec<String>,
    /// Why the run does not count; `None` if it counts.
    pub void: Option<String>,
}

/// Computes the figures of a run.
pub fn figures(name: &str, timeline: &Timeline, plan: &Plan, outcome: &Outcome) -> Figures {
    let warm_up = plan.warm_up.as_micros() as Micros;
    let operations = operations(&outcome.records, warm_up);
    let count = operations.len().max(1) as f64;
    let measured = outcome.records.attempts.iter().filter(|a| a.arrived >= warm_up).count();
    let handshakes: u64 = outcome.records.servers.iter().map(|s| s.connections).sum();
    let all = outcome.records.requests.iter().map(|r| r.id.operation());
    let all = all.collect::<std::collections::HashSet<_>>().len().max(1);
    let windows = windows(timeline, plan, outcome, &operations);
    let mean = |of: fn(&Window) -> f64| {
        let used: Vec<f64> = windows.iter().filter(|w| w.attempts > 0).map(of).collect();
        used.iter().sum::<f64>() / used.len().max(1) as f64
    };
    let kept = kept(&outcome.records);
    let (cv, cv_random) = (mean(|w| w.cv), mean(|w| w.cv_random));
    Figures {
        timeline: name.to_owned(),
        about: timeline.run.about.clone(),
        seed: plan.seed,
        digest: format!("{:016x}", plan.digest()),
        sidecars: plan.sidecars.len(),
        servers: plan.server_zones.len(),
        served: served(timeline, &operations, 0, Micros::MAX).unwrap_or(0.0),
        classes: classes(timeline, &operations),
        attempts: measured as f64 / count,
        kept: kept.len() as u64,
        kept_open: kept.iter().filter(|at| at.is_none()).count() as u64,
        replayed_s: replayed_s(timeline, plan, &kept),
        unanswered: (outcome.records.attempts.iter())
            .filter(|a| matches!(a.fate, Fate::Silent | Fate::Open))
            .count() as u64,
        handshakes: handshakes as f64 / all as f64,
        imbalance: imbalance(outcome, warm_up),
        cv,
        cv_random,
        cold_peak: outcome.records.servers.iter().map(|s| s.cold_peak).fold(0.0, f64::max),
        idle_while_queued_s: idle_while_queued(outcome, warm_up),
        datagrams: outcome.traffic.iter().map(|t| t.0).sum(),
        datagram_bytes: outcome.traffic.iter().map(|t| t.1).sum(),
        most_bytes: outcome.traffic.iter().map(|t| t.1).max().unwrap_or(0),
        relay: outcome.relay,
        late_p99_ms: outcome.late_p99.as_secs_f64() * 1e3,
        stalls_ms: outcome.records.stalls.iter().map(|s| s.1 - s.0).sum::<Micros>() as f64 / 1e3,
        not_offered: outcome.records.not_sent,
        events: events(timeline, plan, outcome, &operations),
        windows,
        views_too_dead: views::samples_with_excess_dead(outcome, plan.sidecars.len()),
        two_owners: views::two_owners(outcome),
        owned_at_end: views::owned_at_end(outcome),
        trials_by_others: trials::trials_by_others(timeline, outcome),
        doubting: views::doubting(outcome),
        distribution: distribution::distribution(timeline, outcome),
        processes: processes(outcome),
        faults: Vec::new(),
        void: None,
    }
}
