//! Events of a timeline: kind, time and targets.

use serde::{Deserialize, Serialize};

/// One `[[event]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Event {
    /// Start time, in seconds after the warm-up.
    pub at_s: f64,
    /// Kind of the event.
    #[serde(rename = "do")]
    pub kind: EventKind,
    /// Targets; if missing, all.
    pub who: Select,
    /// The other side of a cut or a partition; if missing, all that are not in `who`.
    pub from: Option<Select>,
    /// Duration, in seconds; 0: until the end of the run, for kinds that have a duration.
    pub for_s: f64,
    /// Time over which the event is spread across its targets, one after another, in seconds.
    pub over_s: f64,
    /// Time until the process restarts, in seconds; if missing, it does not restart.
    pub back_after_s: Option<f64>,
    /// Strength: a share of requests or datagrams, a factor of time or load, milliseconds, bytes a second.
    pub amount: Option<f64>,
    /// Scope of a document: `all` (default), `region:NAME`, `zone:NAME`, `sidecar:NUMBER`.
    pub scope: Option<String>,
    /// Text of the document; if missing, a unique document that does not affect the measurements.
    pub document: Option<String>,
}

/// Kind of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// No effect; a mark in the plots.
    #[default]
    Mark,
    /// SIGKILL to sidecars.
    Kill,
    /// SIGTERM to sidecars, which then shut down.
    Terminate,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Pause,
    /// Simulates a host that is `amount` times slower: SIGSTOP for most of each tenth of a second, over `for_s`.
    Throttle,
    /// SIGHUP with a configuration that has a new discovery address.
    Reload,
    /// SIGHUP with an unchanged configuration, also to a process that is shutting down.
    HangUp,
    /// SIGTERM as soon as the process that starts next is ready.
    TerminateAtReady,
    /// Starts sidecars that are not started with the run.
    Start,
    /// Starts a second process of the sidecar with the same name and peers.
    Twin,
    /// Servers answer `amount` of the requests with 500.
    Errors,
    /// Servers take `amount` times as long for a request.
    Slow,
    /// Servers accept connections and do not answer.
    Silent,
    /// Servers process requests and, for `amount` of them, reset the connection instead of answering.
    Reset,
    /// Servers process requests and, for `amount` of them, reset the connection in the middle of the answer.
    BreakAnswers,
    /// Servers repeat the connection's previous answer before `amount` of the answers.
    AnswerTwice,
    /// Servers stop processing a request when its client closes the connection.
    DropWork,
    /// Servers reject all requests.
    Full,
    /// Servers refuse new connections and reset open ones.
    Refuse,
    /// Servers drain and leave, and cold ones replace them.
    Replace,
    /// Server processes end abruptly and restart cold under the same ids.
    Crash,
    /// Discovery does not answer.
    DiscoveryDown,
    /// Discovery serves the list as it was `amount` seconds before the event, for `for_s`.
    DiscoveryStale,
    /// Open watches are never answered; new calls are.
    WatchesSilent,
    /// Discovery restarts and counts its versions from 1; open watches get the full list.
    DiscoveryRestart,
    /// Datagrams: `amount` of them are lost.
    Loss,
    /// Datagrams: `amount` milliseconds of additional delay.
    Delay,
    /// Datagrams: `amount` of them arrive twice.
    Duplicate,
    /// Datagrams: `amount` of them arrive after later ones.
    Reorder,
    /// Datagrams: limits each sender to `amount` bytes a second.
    Cap,
    /// Datagrams from `who` to `from` are lost; the other direction works.
    CutOneWay,
    /// Cuts `who` and `from` off from each other: datagrams, and streams to servers in the other side's zones.
    Partition,
    /// Cuts the streams from sidecars `who` to all servers, without closing them.
    CutStreams,
    /// Delays answers of servers to sidecars `who` by `amount` milliseconds.
    DelayStreams,
    /// Multiplies the load by `amount`.
    Load,
    /// `amount` clients connect to each sidecar and send no request.
    IdleClients,
    /// Publishes `amount` documents, spread over `over_s`.
    Publish,
}

/// What an event affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// No process.
    Nobody,
    /// Daemons.
    Sidecars,
    /// Stand-in servers.
    Servers,
    /// The network between sidecars, or from them to servers.
    Network,
    /// Discovery agents.
    Discovery,
}

impl EventKind {
    /// The targets among which `who` selects.
    pub fn target(self) -> Target {
        use EventKind as K;
        match self {
            K::Mark | K::Publish => Target::Nobody,
            K::Kill
            | K::Terminate
            | K::Pause
            | K::Throttle
            | K::Reload
            | K::HangUp
            | K::TerminateAtReady
            | K::Start
            | K::Twin
            | K::Load
            | K::IdleClients => Target::Sidecars,
            K::Errors
            | K::Slow
            | K::Silent
            | K::Reset
            | K::BreakAnswers
            | K::AnswerTwice
            | K::DropWork
            | K::Full
            | K::Refuse
            | K::Replace
            | K::Crash => Target::Servers,
            K::DiscoveryDown | K::DiscoveryStale | K::WatchesSilent | K::DiscoveryRestart => {
                Target::Discovery
            }
            K::Loss
            | K::Delay
            | K::Duplicate
            | K::Reorder
            | K::Cap
            | K::CutOneWay
            | K::Partition
            | K::CutStreams
            | K::DelayStreams => Target::Network,
        }
    }

    /// Description and bounds of `amount`; `None` if the kind takes none.
    pub fn amount_bounds(self) -> Option<(&'static str, f64, f64)> {
        use EventKind as K;
        match self {
            K::Errors | K::Reset | K::BreakAnswers | K::AnswerTwice => {
                Some(("a share of requests", 0.0, 1.0))
            }
            K::Loss | K::Duplicate | K::Reorder => Some(("a share of datagrams", 0.0, 1.0)),
            K::Throttle => Some(("a factor of time", 1.0, 100.0)),
            K::Slow => Some(("a factor of time", 1.0, 1_000.0)),
            K::Load => Some(("a factor of load", 0.0, 100.0)),
            K::Delay | K::DelayStreams => Some(("milliseconds", 0.0, 60_000.0)),
            K::Cap => Some(("bytes a second", 1.0, 1e9)),
            K::IdleClients => Some(("clients", 1.0, 4_096.0)),
            K::Publish => Some(("documents", 1.0, 1_000.0)),
            K::DiscoveryStale => Some(("seconds", 0.0, 86_400.0)),
            _ => None,
        }
    }

    /// Whether the event has a duration.
    pub fn has_duration(self) -> bool {
        use EventKind as K;
        !matches!(
            self,
            K::Mark
                | K::Kill
                | K::Terminate
                | K::Reload
                | K::HangUp
                | K::TerminateAtReady
                | K::Start
                | K::Twin
                | K::Replace
                | K::Crash
                | K::WatchesSilent
                | K::DiscoveryRestart
                | K::Publish
        )
    }

    /// Whether the kind uses `back_after_s`.
    pub fn restarts_process(self) -> bool {
        use EventKind as K;
        matches!(self, K::Kill | K::Terminate | K::TerminateAtReady | K::Crash)
    }
}

/// Selects the sidecars or servers that meet all given conditions.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Select {
    /// Numbers, from 0.
    pub ids: Option<Vec<usize>>,
    /// Name of a zone, from `a`.
    pub zone: Option<String>,
    /// Share of them, drawn by the seed; a share above 0 gives at least one.
    pub share: Option<f64>,
    /// Number of them, drawn by the seed.
    pub count: Option<usize>,
}
