//! Faults that a plan schedules.

use serde::{Deserialize, Serialize};

/// A fault: its kind, its time and its targets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds. For `crash` and `restart`: how long the process is down.
    pub for_ms: u64,
    /// What the fault does.
    pub kind: FaultKind,
    /// The sidecars that it affects. For `cut`, `loss` and `delay`, an empty list means all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub sidecars: Vec<usize>,
    /// The servers that it affects. For `cut`, `loss` and `delay`, an empty list means all.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<usize>,
    /// For `loss` and `errors` a share, for `delay` milliseconds in one direction, for `slow` a factor.
    #[serde(skip_serializing_if = "is_zero")]
    pub amount: f64,
}

fn is_zero(amount: &f64) -> bool {
    *amount == 0.0
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Servers: the process ends, its connections are reset, and it restarts cold with the same identity.
    #[default]
    Crash,
    /// Servers: they hang and answer neither the requests that they hold nor new ones.
    Hang,
    /// Servers: they drain for `for_ms` and are removed; cold servers with new identities are added when the drain
    /// begins.
    Replace,
    /// Servers: they are removed without a drain; cold servers with new identities are added `for_ms` later.
    Vanish,
    /// Servers: work takes `amount` times as long.
    Slow,
    /// Servers: a share of requests is executed and answered with an error.
    Errors,
    /// Sidecars: the process is paused; events that arrive meanwhile wait.
    Pause,
    /// Sidecars: the process ends, loses the requests that it holds, and restarts.
    Restart,
    /// Nothing passes between `sidecars` and `servers`.
    Cut,
    /// A share of the messages between `sidecars` and `servers` is lost, in each direction.
    Loss,
    /// Messages between `sidecars` and `servers` take longer.
    Delay,
    /// Discovery sends no updates, and calls to it fail.
    DiscoveryDown,
}

impl FaultKind {
    /// All kinds of faults.
    pub const ALL: [FaultKind; 12] = [
        FaultKind::Crash,
        FaultKind::Hang,
        FaultKind::Replace,
        FaultKind::Vanish,
        FaultKind::Slow,
        FaultKind::Errors,
        FaultKind::Pause,
        FaultKind::Restart,
        FaultKind::Cut,
        FaultKind::Loss,
        FaultKind::Delay,
        FaultKind::DiscoveryDown,
    ];

    /// Returns whether the fault lists the servers that it affects.
    pub fn affects_servers(self) -> bool {
        use FaultKind::{Crash, Errors, Hang, Replace, Slow, Vanish};
        matches!(self, Crash | Hang | Replace | Vanish | Slow | Errors)
    }

    /// Returns whether the fault lists the sidecars that it affects.
    pub fn affects_sidecars(self) -> bool {
        matches!(self, FaultKind::Pause | FaultKind::Restart)
    }

    /// Returns whether the fault affects the network between sidecars and servers.
    pub fn affects_network(self) -> bool {
        matches!(self, FaultKind::Cut | FaultKind::Loss | FaultKind::Delay)
    }
}
