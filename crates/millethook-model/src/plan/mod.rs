//! Plans: one fleet, its load and its faults. A plan is a TOML file that reproduces a run exactly.

mod check;
mod fault;
mod settings;

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

pub use check::Problem;
pub use fault::{Fault, FaultKind};

use crate::Micros;

/// The definition of a run. `docs/model.md` is the reference of its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// The seed of all random numbers.
    pub seed: u64,
    /// How long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// The run is aborted after this many events, with a finding.
    pub most_events: u64,
    /// The decisions' own invariant check runs once per this many of their events; 0: never.
    pub check_every: u64,
    /// `[sidecars]`
    pub sidecars: Sidecars,
    /// `[servers]`
    pub servers: Servers,
    /// `[load]`
    pub load: Load,
    /// `[network]`
    pub network: Network,
    /// `[discovery]`
    pub discovery: Discovery,
    /// `[rules]`
    pub rules: Rules,
    /// `[[class]]`; at least one.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// `[[fault]]`
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
}

/// `[sidecars]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sidecars {
    /// Number of instances.
    pub count: usize,
    /// Number of zones; sidecars and servers are assigned to them round-robin.
    pub zones: usize,
    /// `failover.copyAtAim` of the decisions' settings.
    pub copy_at_aim: bool,
    /// `limits.mayDuplicate` of the decisions' settings.
    pub may_duplicate: bool,
    /// `limits.maxAttempts` of the decisions' settings.
    pub max_attempts: usize,
}

/// `[servers]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Number of instances.
    pub count: usize,
    /// Requests processed concurrently.
    pub slots: usize,
    /// Queue length; a request beyond it is rejected.
    pub queue: usize,
    /// Capacity of a server at its start, as a share of its warm capacity.
    pub cold_share: f64,
    /// Time until a server is warm, in milliseconds.
    pub cold_ms: u64,
    /// Upper bound of a request's work, as a multiple of the mean; 0: no limit.
    pub longest_work: f64,
}

/// `[load]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests per second at each sidecar (Poisson arrivals).
    pub per_sidecar: f64,
    /// The share of clients that leave before their deadline.
    pub leave_early: f64,
}

/// `[network]`: permanent conditions between sidecars and servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// The minimum delay in one direction, in microseconds.
    pub delay_us: u64,
    /// Maximum additional delay, in microseconds.
    pub jitter_us: u64,
    /// The share of attempts that are lost before they are executed.
    pub loss_before: f64,
    /// The share of attempts that are executed and whose answer is lost.
    pub loss_after: f64,
    /// The share of attempts that are executed and whose connection breaks instead of an answer.
    pub reset: f64,
}

/// `[discovery]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Maximum delay of a change, drawn per sidecar, in milliseconds.
    pub late_ms: u64,
    /// Sidecars request their first list from one registry, which handles calls one at a time.
    #[serde(rename = "asked")]
    pub on_request: bool,
    /// How long the registry takes for a call, in microseconds.
    pub work_us: u64,
    /// Calls that may wait at the registry; a call beyond that fails at once.
    #[serde(rename = "line")]
    pub max_pending_calls: usize,
}

/// `[rules]`: the same meaning as in the platform's settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// How long after the deadline a final answer may come, in milliseconds.
    pub answer_slack_ms: u64,
    /// How long after the notice a sidecar may still send to a draining or removed server, in milliseconds.
    pub stop_sending_ms: u64,
    /// A cold server tolerates work up to this multiple of its current capacity,
    pub fall_multiple: f64,
    /// sent within this many milliseconds.
    pub tip_after_ms: u64,
    /// How long after the last fault service must have recovered to 95% of its level before the first one, in
    /// milliseconds; 0: not checked.
    pub back_within_ms: u64,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// A retry does no harm.
    #[default]
    Safe,
    /// Servers of a zone drop duplicates within the window.
    Keyed,
    /// No retry once an attempt may have been executed.
    Unsafe,
}

/// `[[class]]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Whether the request may be retried.
    pub effect: Effect,
    /// Its weight among the arrivals, relative to the other classes.
    pub share: f64,
    /// Mean work at a server, in microseconds (exponentially distributed).
    pub work_us: u64,
    /// Target latency, in milliseconds.
    pub aim_ms: u64,
    /// How long clients wait, in milliseconds.
    pub deadline_ms: u64,
    /// For keyed requests: how long servers drop duplicates, in milliseconds.
    pub window_ms: u64,
    /// The value of an answer.
    pub worth: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            seed: 1,
            duration_ms: 20_000,
            most_events: 200_000_000,
            check_every: 1,
            sidecars: Sidecars::default(),
            servers: Servers::default(),
            load: Load::default(),
            network: Network::default(),
            discovery: Discovery::default(),
            rules: Rules::default(),
            classes: Class::three(),
            faults: Vec::new(),
        }
    }
}

impl Default for Sidecars {
    fn default() -> Sidecars {
        Sidecars { count: 8, zones: 1, copy_at_aim: false, may_duplicate: true, max_attempts: 4 }
    }
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            count: 4,
            slots: 4,
            queue: 16,
            cold_share: 0.2,
            cold_ms: 4_000,
            longest_work: 5.0,
        }
    }
}

impl Default for Load {
    fn default() -> Load {
        Load { per_sidecar: 20.0, leave_early: 0.0 }
    }
}

impl Default for Network {
    fn default() -> Network {
        Network { delay_us: 200, jitter_us: 100, loss_before: 0.0, loss_after: 0.0, reset: 0.0 }
    }
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { late_ms: 0, on_request: false, work_us: 10_000, max_pending_calls: 16 }
    }
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack_ms: 8,
            stop_sending_ms: 500,
            fall_multiple: 4.0,
            tip_after_ms: 3_000,
            back_within_ms: 0,
        }
    }
}

impl Default for Class {
    fn default() -> Class {
        Class {
            effect: Effect::Safe,
            share: 1.0,
            work_us: 20_000,
            aim_ms: 200,
            deadline_ms: 1_000,
            window_ms: 700,
            worth: 1.0,
        }
    }
}

impl Class {
    /// Returns a safe, a keyed and an unsafe class.
    pub fn three() -> Vec<Class> {
        let class = |effect, share, worth| Class { effect, share, worth, ..Class::default() };
        vec![
            class(Effect::Safe, 6.0, 1.0),
            class(Effect::Keyed, 2.0, 2.0),
            class(Effect::Unsafe, 2.0, 4.0),
        ]
    }
}

/// Microseconds per millisecond.
pub const MS: Micros = 1_000;

/// Why a plan could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not a plan.
    #[error("{path}: {source}")]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parse error, with the position and what was expected.
        source: toml::de::Error,
    },
    /// The file holds invalid values.
    #[error("{path}: {}", .problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Unplayable {
        /// The file.
        path: PathBuf,
        /// All invalid values.
        problems: Vec<Problem>,
    },
}

impl Plan {
    /// Reads and validates a plan.
    ///
    /// # Errors
    /// The file cannot be read, is not a plan, or holds invalid values.
    pub fn read(path: &Path) -> Result<Plan, PlanError> {
        let unreadable = |source| PlanError::Unreadable { path: path.to_owned(), source };
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        let malformed = |source| PlanError::Malformed { path: path.to_owned(), source };
        let plan: Plan = toml::from_str(&text).map_err(malformed)?;
        let problems = plan.problems();
        if problems.is_empty() {
            return Ok(plan);
        }
        Err(PlanError::Unplayable { path: path.to_owned(), problems })
    }

    /// Returns the plan as TOML.
    pub fn to_toml(&self) -> String {
        // A plan consists of tables, numbers and strings only, all of which TOML can represent.
        toml::to_string(self).unwrap_or_else(|error| format!("# not written: {error}\n"))
    }

    /// Returns the zone of the sidecar or server with this number.
    pub fn zone(&self, number: usize) -> u8 {
        (number % self.sidecars.zones) as u8
    }

    /// Returns the longest time that clients wait.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline_ms * MS).max().unwrap_or(0)
    }

    /// Returns the mean work of a request, in microseconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &Class| class.share * class.work_us as f64;
        self.classes.iter().map(work).sum::<f64>() / shares
    }

    /// Returns the arriving work divided by the capacity of the servers when warm.
    pub fn utilization(&self) -> f64 {
        let arrives = self.load.per_sidecar * self.sidecars.count as f64 * self.mean_work() / 1e6;
        arrives / (self.servers.count * self.servers.slots) as f64
    }
}
