//! A timeline: the fleet, its load, the faults and when they come, and what is expected. One TOML file.

pub mod check;
mod distribution;
pub mod event;
mod read;
mod write;

use std::path::Path;

use serde::{Deserialize, Serialize};

pub use distribution::Distribution;
pub use event::{Event, EventKind, Select};
/// One thing that is wrong with a file, and why there is no timeline: as of the product's file.
pub use millethook_config::{Error as FileError, Fault};

/// A whole file. `docs/lab.md` is the reference of its keys.
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
    /// `[[class]]`; never empty.
    pub classes: Vec<Class>,
    /// `[[event]]`, by time.
    pub events: Vec<Event>,
}

/// Keys outside of sections.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunKeys {
    /// What the timeline is for, in a line.
    pub about: String,
    /// For how long load comes, in seconds.
    pub duration_s: f64,
    /// Load comes for so long before the clock of the timeline begins, in seconds. Nothing of it is judged
    /// but the rules.
    pub warm_up_s: f64,
    /// The run does not count if one arrival in a hundred is later than this, in milliseconds.
    pub late_p99_ms: f64,
    /// A run whose only faults are late answers, late sends to draining servers, or cold servers pushed over does not
    /// count if a daemon waited longer than this for a processor within a second, in milliseconds; 0: it counts.
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
    /// How many; `--processes` goes before it.
    pub count: usize,
    /// Zones of the fleet; sidecars and servers are dealt out to them in turn.
    pub zones: usize,
    /// The memory that each is told to keep within, in MB.
    pub memory_mb: usize,
    /// The descriptors that each is told to keep within.
    pub descriptors: usize,
    /// The product's file for each, beside `LB_CONFIG`; empty: none.
    pub product: String,
    /// Sidecars keep a view of the fleet, with a probe each so many seconds; 0: they do not. Needs
    /// `network.may_tell`.
    pub view_period_s: f64,
    /// They tell one another what they meet at servers. Needs a view.
    pub share_evidence: bool,
    /// Sidecars of one host: they share a folder of kept writes (`[edge]`); 0: none is kept. Needs a lease in `product`.
    pub edge_host: usize,
    /// Addresses under which one sidecar is seen by others: so many views of the fleet. 0: as many as there
    /// are sidecars up to 16, else 2.
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

/// What clients ask for.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// Requests a second of the mean sidecar.
    pub per_sidecar: f64,
    /// Spread of the sidecars' rates: sigma of a log-normal distribution; 0: all alike.
    pub uneven: f64,
    /// Further tries of a client, where trying again is allowed.
    pub retries: u32,
    /// The wait before the first of them in milliseconds; it doubles.
    pub backoff_ms: f64,
}

impl Default for Load {
    fn default() -> Load {
        Load { per_sidecar: 10.0, uneven: 0.7, retries: 1, backoff_ms: 50.0 }
    }
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    /// It does no harm.
    #[default]
    Safe,
    /// Within its group and window, where servers drop repeats.
    Keyed,
    /// Never, once it may have run.
    Unsafe,
}

/// The servers that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// The first part of its path.
    pub name: String,
    /// Whether it may be repeated.
    pub effect: Effect,
    /// For a keyed class: who drops repeats.
    pub group: Group,
    /// For a keyed class: for how long repeats are dropped, in milliseconds.
    pub window_ms: f64,
    /// Its part of the arrivals, beside the other classes' parts.
    pub share: f64,
    /// Answers within this time are served in aim, in milliseconds.
    pub aim_ms: f64,
    /// Clients wait so long, in milliseconds.
    pub deadline_ms: f64,
    /// Mean work at a server, in milliseconds.
    pub work_ms: f64,
    /// What an answer in aim is worth.
    pub worth: f64,
    /// Its clients take a receipt for an answer (`Prefer: respond-async`).
    pub receipts: bool,
    /// Clients of so many sidecars pass the last receipt on among them, each write after the one before; 0: none does.
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
    /// How many.
    pub count: usize,
    /// With `--processes`, their number follows the sidecars', by the file's proportion.
    pub scale: bool,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait; one more is turned away.
    pub queue: usize,
    /// Connections held open; one more is reset.
    pub connections: usize,
    /// What a server can do in its first moment.
    pub cold_share: f64,
    /// It is warm after so many seconds.
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

/// The stand-in for discovery: an agent beside each sidecar, or one service that is asked.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// A change reaches each agent after a time of its own, drawn from 0 to this, in seconds.
    pub late_s: f64,
    /// One service for all sidecars, which is asked (`on_request`) and works through calls in turn.
    pub asked: bool,
    /// What a call takes it, in seconds. A watch that goes on costs nothing.
    pub work_s: f64,
    /// Calls that wait, beside the one that is worked on; one more is answered 503 at once.
    pub line: usize,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { late_s: 0.0, asked: false, work_s: 0.05, line: 16 }
    }
}

/// The network between the sidecars, all the time.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Whether sidecars may send one another datagrams.
    pub may_tell: bool,
    /// The least delay of a datagram, in milliseconds.
    pub delay_ms: f64,
    /// Up to so much more, in milliseconds.
    pub jitter_ms: f64,
    /// The share of datagrams that is lost.
    pub loss: f64,
}

/// The figures of the rules, as in the platform's settings.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// A final answer may be so much later than the client's time, in milliseconds.
    pub answer_slack_ms: f64,
    /// Sends to a server that drains have to cease after this, in milliseconds.
    pub stop_sending_ms: f64,
    /// A cold server falls over at so many times what it can do,
    pub fall_multiple: f64,
    /// sent for so long, in seconds.
    pub tip_after_s: f64,
    /// What a real socket may add to each of these times, in milliseconds.
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

/// What a run has to show beside the rules. A key that is not there is not looked at.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// The least share of worth served in aim.
    pub served: Option<f64>,
    /// The longest time from the end of an event to 95% of the service before it, in seconds.
    pub back_within_s: Option<f64>,
    /// The highest load of a server over the mean, over the whole run.
    pub imbalance: Option<f64>,
    /// The most new connections to servers for each request.
    pub handshakes: Option<f64>,
    /// The most kept writes that have not been done by the end.
    pub kept_open: Option<f64>,
    /// The least writes that are kept.
    pub kept: Option<f64>,
    /// The most attempts that no server answers.
    pub unanswered: Option<f64>,
    /// The least jobs of the fleet that have an owner at the end.
    pub owned_at_end: Option<f64>,
    /// The most attempts at a silent server by sidecars that did not own its trial, though another one did.
    pub trials_by_others: Option<f64>,
    /// The longest time from a request to publish until the change is in force at all that are there, in seconds.
    pub in_force_within_s: Option<f64>,
    /// The least documents that a majority of the control nodes accepts.
    pub committed: Option<f64>,
    /// The least documents that are stopped because too many refuse them.
    pub stopped: Option<f64>,
    /// The longest time from an event's end until all sidecars that run have the same view, in seconds.
    pub view_agrees_within_s: Option<f64>,
    /// The longest time from the start of processes, or an outage's end, until all sidecars have a list, in times
    /// calls x work. Where discovery is asked.
    pub lists_within: Option<f64>,
    /// The longest time from an event's end until all that run hold the same evidence, in seconds.
    pub evidence_agrees_within_s: Option<f64>,
}

impl Timeline {
    /// The mean work of a request, in microseconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work_ms * 1e3).sum();
        work / shares.max(f64::MIN_POSITIVE)
    }

    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or has faults; all of them are told, by line.
    pub fn from_file(path: &Path) -> Result<Timeline, FileError> {
        let io = |cause| FileError::Io { path: path.to_owned(), cause };
        let text = std::fs::read_to_string(path).map_err(io)?;
        let faults = |faults| FileError::Faults { path: path.to_owned(), faults };
        Timeline::from_toml(&text).map_err(faults)
    }

    /// The timeline for so many sidecars; the number of servers follows.
    pub fn with_processes(mut self, count: usize) -> Timeline {
        if self.servers.scale {
            let ratio = count as f64 / self.sidecars.count as f64;
            let scaled = (self.servers.count as f64 * ratio).round() as usize;
            self.servers.count = scaled.max(self.sidecars.zones).max(2);
        }
        self.sidecars.count = count;
        self
    }

    /// Views of the fleet; see [`Sidecars::views`].
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
