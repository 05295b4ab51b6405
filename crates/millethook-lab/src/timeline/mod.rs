//! A timeline: the fleet, its load, the faults with their times, and the expectations. One TOML file.

pub mod check;
mod distribution;
pub mod event;
mod read;
mod write;

use std::path::Path;

use serde::{Deserialize, Serialize};

pub use distribution::Distribution;
pub use event::{Event, EventKind, Select};
/// One fault in a file, and the error of reading a file; the same types as for the product configuration.
pub use millethook_config::{Error as FileError, Fault};

/// A complete timeline file. `docs/lab.md` is the reference of its keys.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Keys outside of sections.
    pub run: RunKeys,
    /// `[sidecars]`
    pub sidecars: Sidecars,
    /// `[load]`
    pub load: Load,
    /// `[servers]`
    pub servers: Servers,
    /// `[discovery]`
    pub discovery: Discovery,
    /// `[network]`
    pub network: Network,
    /// `[distribution]`
    pub distribution: Distribution,
    /// `[rules]`
    pub rules: Rules,
    /// `[expect]`
    pub expect: Expect,
    /// `[[class]]`; has at least one entry.
    pub classes: Vec<Class>,
    /// `[[event]]`, sorted by time.
    pub events: Vec<Event>,
}

/// Keys outside of sections.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunKeys {
    /// One line on the purpose of the timeline.
    pub about: String,
    /// Duration of the load, in seconds.
    pub duration_s: f64,
    /// Duration of the load before the clock of the timeline starts, in seconds. Only the rules are judged in it.
    pub warm_up_s: f64,
    /// The run does not count if more than one arrival in a hundred starts later than this after its planned time, in
    /// milliseconds.
    pub late_p99_ms: f64,
    /// A run whose only faults are late answers, late sends to draining servers, or overloaded cold servers does not
    /// count if a daemon waited longer than this for a processor within a second, in milliseconds; 0: it counts in
    /// any case.
    pub processor_wait_ms: f64,
}

impl Default for RunKeys {
    fn default() -> RunKeys {
        RunKeys {
            about: String::new(),
            duration_s: 20.0,
            warm_up_s: 2.0,
            late_p99_ms: 25.0,
            processor_wait_ms: 0.0,
        }
    }
}

/// The daemons.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Sidecars {
    /// Number of sidecars; `--processes` overrides it.
    pub count: usize,
    /// Number of zones; sidecars and servers are assigned to them round-robin.
    pub zones: usize,
    /// Memory limit in each sidecar's configuration, in MB.
    pub memory_mb: usize,
    /// Limit on file descriptors in each sidecar's configuration.
    pub descriptors: usize,
    /// Product configuration file of each sidecar, in addition to `LB_CONFIG`; empty: none.
    pub product: String,
    /// Probe period of the sidecars' view of the fleet, in seconds; 0: they keep no view. Needs `network.may_tell`.
    pub view_period_s: f64,
    /// Whether sidecars share evidence on servers with one another. Needs a view.
    pub share_evidence: bool,
    /// Number of sidecars on one host, which share a directory of stored writes (`[edge]`); 0: no writes are stored.
    /// Needs a lease in `product`.
    pub edge_host: usize,
    /// Number of address sets under which sidecars see one another, so the number of distinct views of the fleet. 0:
    /// one for each sidecar with up to 16 sidecars, otherwise 2.
    pub views: usize,
}

impl Default for Sidecars {
    fn default() -> Sidecars {
        let product = String::new();
        Sidecars {
            count: 8,
            zones: 1,
            memory_mb: 48,
            descriptors: 384,
            product,
            view_period_s: 0.0,
            share_evidence: false,
            edge_host: 0,
            views: 0,
        }
    }
}

/// The load of the clients.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Mean rate of requests for each sidecar, per second.
    pub per_sidecar: f64,
    /// Spread of the sidecars' rates: sigma of a log-normal distribution; 0: all equal.
    pub uneven: f64,
    /// Maximum number of retries of a client, where a retry is allowed.
    pub retries: u32,
    /// Backoff before the first retry, in milliseconds; it doubles for each further one.
    pub backoff_ms: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load { per_sidecar: 10.0, uneven: 0.7, retries: 1, backoff_ms: 50.0 }
    }
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// Idempotent: a repetition does no harm.
    #[default]
    Safe,
    /// Only within its group and window, in which servers drop duplicates.
    Keyed,
    /// Not after it may have run.
    Unsafe,
}

/// The servers that drop duplicates of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// The class's name, which is the first segment of its request path.
    pub name: String,
    /// Whether its requests may be sent again.
    pub effect: Effect,
    /// For a keyed class: the servers that drop duplicates.
    pub group: Group,
    /// For a keyed class: how long duplicates are dropped, in milliseconds.
    pub window_ms: f64,
    /// Weight of the class among the arrivals, relative to the other classes.
    pub share: f64,
    /// Target time of an answer (aim), in milliseconds.
    pub aim_ms: f64,
    /// Deadline of the clients, in milliseconds.
    pub deadline_ms: f64,
    /// Mean processing time at a warm server, in milliseconds.
    pub work_ms: f64,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Whether its clients accept a receipt instead of an answer (`Prefer: respond-async`).
    pub receipts: bool,
    /// Number of sidecars whose clients pass the last receipt on to one another, so that each write comes after the
    /// previous one; 0: no receipt is passed on.
    pub chain: usize,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: "look".into(),
            effect: Effect::Safe,
            group: Group::All,
            window_ms: 5_000.0,
            share: 1.0,
            aim_ms: 200.0,
            deadline_ms: 1_000.0,
            work_ms: 20.0,
            worth: 1.0,
            receipts: false,
            chain: 0,
        }
    }
}

/// The stand-in servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Whether `--processes` scales the number of servers in proportion to the sidecars.
    pub scale: bool,
    /// Number of requests that a server processes concurrently.
    pub slots: usize,
    /// Length of a server's queue; further requests are rejected.
    pub queue: usize,
    /// Limit on open connections; further ones are reset.
    pub connections: usize,
    /// Share of its capacity that a server has when it starts cold.
    pub cold_share: f64,
    /// Time until a cold server is warm, in seconds.
    pub cold_s: f64,
}

impl Default for Servers {
    fn default() -> Servers {
        Servers {
            count: 4,
            scale: true,
            slots: 2,
            queue: 8,
            connections: 512,
            cold_share: 0.2,
            cold_s: 10.0,
        }
    }
}

/// The stand-in for discovery: an agent for each sidecar, or one polled service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Maximum delay until a change reaches an agent, in seconds; the delay is drawn from 0 to this for each agent.
    pub late_s: f64,
    /// Whether discovery is one service that all sidecars poll (`on_request`) and that processes calls in order.
    #[serde(rename = "asked")]
    pub on_request: bool,
    /// Processing time of a call, in seconds. Calls that continue a watch take none.
    pub work_s: f64,
    /// Number of calls that may wait besides the one in processing; further calls are answered 503 at once.
    pub line: usize,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { late_s: 0.0, on_request: false, work_s: 0.05, line: 16 }
    }
}

/// Permanent properties of the network between the sidecars.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Whether sidecars may send one another datagrams.
    pub may_tell: bool,
    /// Minimum delay of a datagram, in milliseconds.
    pub delay_ms: f64,
    /// Maximum additional random delay, in milliseconds.
    pub jitter_ms: f64,
    /// Share of datagrams that is lost.
    pub loss: f64,
}

/// Limits of the rules, as in the platform's settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Tolerance of a final answer after the client's deadline, in milliseconds.
    pub answer_slack_ms: f64,
    /// Time limit for sends to a draining server to stop, in milliseconds.
    pub stop_sending_ms: f64,
    /// Multiple of its capacity at which a cold server falls over,
    pub fall_multiple: f64,
    /// over a window of this length, in seconds.
    pub tip_after_s: f64,
    /// Tolerance for the delays of real sockets, added to each of these times, in milliseconds.
    pub socket_slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            answer_slack_ms: 8.0,
            stop_sending_ms: 500.0,
            fall_multiple: 4.0,
            tip_after_s: 3.0,
            socket_slack_ms: 50.0,
        }
    }
}

/// Expectations on a run in addition to the rules. Missing keys are not checked.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// Minimum share of worth served within the aim.
    pub served: Option<f64>,
    /// Maximum time from the end of an event until service is back at 95% of its previous level, in seconds.
    pub back_within_s: Option<f64>,
    /// Maximum load of a server relative to the mean, over the whole run.
    pub imbalance: Option<f64>,
    /// Maximum number of new connections to servers per request.
    pub handshakes: Option<f64>,
    /// Maximum number of stored writes that are not done at the end.
    pub kept_open: Option<f64>,
    /// Minimum number of stored writes.
    pub kept: Option<f64>,
    /// Maximum number of attempts that no server answers.
    pub unanswered: Option<f64>,
    /// Minimum number of jobs of the fleet that have an owner at the end.
    pub owned_at_end: Option<f64>,
    /// Maximum number of attempts at a silent server by sidecars that did not own its trial while another one did.
    pub trials_by_others: Option<f64>,
    /// Maximum time from a publish request until the change is in force at all running sidecars, in seconds.
    pub in_force_within_s: Option<f64>,
    /// Minimum number of documents that a majority of the control nodes accepts.
    pub committed: Option<f64>,
    /// Minimum number of documents that are stopped because too many sidecars refuse them.
    pub stopped: Option<f64>,
    /// Maximum time from an event's end until all running sidecars have the same view, in seconds.
    pub view_agrees_within_s: Option<f64>,
    /// Maximum time from the start of processes, or the end of an outage, until all sidecars have a list, as a
    /// multiple of calls x work. Only with a polled discovery.
    pub lists_within: Option<f64>,
    /// Maximum time from an event's end until all running sidecars hold the same evidence, in seconds.
    pub evidence_agrees_within_s: Option<f64>,
}

impl Timeline {
    /// The mean work of a request, in microseconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work_ms * 1e3).sum();
        work / shares.max(f64::MIN_POSITIVE)
    }

    /// Reads a timeline file.
    ///
    /// # Errors
    /// The file cannot be read, or has faults; the error lists all of them by line.
    pub fn from_file(path: &Path) -> Result<Timeline, FileError> {
        let io = |cause| FileError::Io { path: path.to_owned(), cause };
        let text = std::fs::read_to_string(path).map_err(io)?;
        let faults = |faults| FileError::Faults { path: path.to_owned(), faults };
        Timeline::from_toml(&text).map_err(faults)
    }

    /// The timeline with another number of sidecars; the number of servers is scaled if `servers.scale` is set.
    pub fn with_processes(mut self, count: usize) -> Timeline {
        if self.servers.scale {
            let ratio = count as f64 / self.sidecars.count as f64;
            let scaled = (self.servers.count as f64 * ratio).round() as usize;
            self.servers.count = scaled.max(self.sidecars.zones).max(2);
        }
        self.sidecars.count = count;
        self
    }

    /// Number of views of the fleet; see [`Sidecars::views`].
    pub fn views(&self) -> usize {
        match (self.sidecars.views, self.sidecars.count) {
            (0, n @ 0..=16) => n,
            (0, _) => 2,
            (views, n) => views.min(n),
        }
    }

    /// The name of a zone by its number.
    pub fn zone_name(zone: usize) -> String {
        let letter = char::from(b'a' + (zone % 26) as u8);
        letter.to_string()
    }
}
