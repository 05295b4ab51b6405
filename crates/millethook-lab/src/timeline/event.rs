//! What happens in a timeline, when, and to whom.

use serde::{Deserialize, Serialize};

/// One `[[event]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Event {
    /// When, in seconds after the warm-up.
    pub at_s: f64,
    /// What.
    #[serde(rename = "do")]
    pub kind: EventKind,
    /// To whom; all, if it is not there.
    pub who: Select,
    /// From whom a cut or a partition separates `who`; all others, if it is not there.
    pub from: Option<Select>,
    /// For how long, in seconds; 0: to the end, where the event has an end at all.
    pub for_s: f64,
    /// Those that are chosen come one after another, over so many seconds.
    pub over_s: f64,
    /// A process comes back after so many seconds; none: it stays away.
    pub back_after_s: Option<f64>,
    /// How much: a share of requests or datagrams, a factor of time or load, milliseconds, bytes a second.
    pub amount: Option<f64>,
    /// For whom a document is: `all`, if it is not there, `region:NAME`, `zone:NAME`, `sidecar:NUMBER`.
    pub scope: Option<String>,
    /// The document's text; if it is not there one that changes nothing that is measured, each time another one.
    pub document: Option<String>,
}

/// What an event does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// Nothing; a mark in the plots.
    #[default]
    Mark,
    /// SIGKILL to sidecars.
    Kill,
    /// SIGTERM to sidecars; they end by themselves.
    Terminate,
    /// SIGSTOP, and SIGCONT after `for_s`.
    Pause,
    /// A host that runs `amount` times slower: SIGSTOP for most of each tenth of a second, over `for_s`.
    Throttle,
    /// SIGHUP with a configuration that moves discovery.
    Reload,
    /// SIGHUP with the configuration as it is, also to a process that is ending.
    HangUp,
    /// SIGTERM as soon as the process that starts next is ready.
    TerminateAtReady,
    /// These sidecars start only now.
    Start,
    /// A second process under the same name and with the same peers, beside the first one.
    Twin,
    /// Servers answer `amount` of the requests with 500.
    Errors,
    /// Servers take `amount` times as long.
    Slow,
    /// Servers accept, and say nothing.
    Silent,
    /// Servers run `amount` of the requests and reset in place of an answer.
    Reset,
    /// Servers run `amount` of the requests and reset in the middle of the answer.
    BreakAnswers,
    /// Servers repeat the answer before on the same connection ahead of `amount` of the answers.
    AnswerTwice,
    /// Servers drop the work in hand once its client has ended its side of the connection.
    DropWork,
    /// Servers turn all requests away.
    Full,
    /// Connections to servers are refused, and open ones reset.
    Refuse,
    /// Servers leave (draining first) and new ones come in their place, cold.
    Replace,
    /// Server processes end at once and come back cold under their ids.
    Crash,
    /// Discovery says nothing.
    DiscoveryDown,
    /// Discovery tells the list as it was so many seconds (`amount`) before, until `for_s` is over.
    DiscoveryStale,
    /// Open watches fall silent, once; who asks anew is answered.
    WatchesSilent,
    /// Discovery starts anew and counts its versions from 1; whoever watches is told all of the list.
    DiscoveryRestart,
    /// Datagrams: `amount` of them are lost.
    Loss,
    /// Datagrams: so many milliseconds later.
    Delay,
    /// Datagrams: `amount` of them come twice.
    Duplicate,
    /// Datagrams: `amount` of them are overtaken by later ones.
    Reorder,
    /// Datagrams: a sender gets no more than `amount` bytes a second through.
    Cap,
    /// Datagrams from `who` to `from` are lost, not those the other way.
    CutOneWay,
    /// `who` and `from` hear nothing of each other: datagrams, and streams to servers in the other's zones.
    Partition,
    /// Streams from sidecars `who` to all servers are silent.
    CutStreams,
    /// Answers on streams to servers come `amount` milliseconds later, for sidecars `who`.
    DelayStreams,
    /// Load is `amount` times as high.
    Load,
    /// So many clients (`amount`) connect to each sidecar and ask for nothing.
    IdleClients,
    /// So many documents (`amount`) are published, over `over_s`.
    Publish,
}

/// What an event is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Nothing.
    Nobody,
    /// Daemons.
    Sidecars,
    /// Stand-in servers.
    Servers,
    /// The network between sidecars, or from them to servers.
    Network,
    /// Agents of discovery.
    Discovery,
}

impl EventKind {
    /// Whom `who` selects among.
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

    /// What `amount` is, with its bounds; None: it takes none.
    pub fn amount(self) -> Option<(&'static str, f64, f64)> {
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

    /// Whether it goes on for a time.
    pub fn lasts(self) -> bool {
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

    /// Whether `back_after_s` means something to it.
    pub fn comes_back(self) -> bool {
        use EventKind as K;
        matches!(self, K::Kill | K::Terminate | K::TerminateAtReady | K::Crash)
    }
}

/// Some of the sidecars or servers: those for which all that is given holds.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Select {
    /// These, by number from 0.
    pub ids: Option<Vec<usize>>,
    /// Those of a zone, by name from `a`.
    pub zone: Option<String>,
    /// So many of them, drawn by the seed, as a share; one at least.
    pub share: Option<f64>,
    /// So many of them, drawn by the seed.
    pub count: Option<usize>,
}
