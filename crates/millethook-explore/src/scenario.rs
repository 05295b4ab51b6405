//! Scenarios: servers, requests and settings, and the bounds of the exploration.

use coppercart::api::{Health, Micros, ServerEntry, ServerId};
use coppercart::settings::{RetrySafety, Settings};
use serde_json::json;

/// Microseconds per millisecond.
pub const MS: Micros = 1_000;
/// Start of the exploration on the balancer's clock, after the warm-up.
pub const START: Micros = 1_000_000 * MS;
/// Maximum delay of a timer: the platform's tick.
pub const MAX_TIMER_DELAY: Micros = 2 * MS;
/// How long after its deadline a final answer may come: `rules.answerSlack`.
pub const ANSWER_SLACK: Micros = 8 * MS;
/// Maximum delay of an attempt's outcome after its timeout. Longer than the slack, because a final answer must not
/// depend on the outcome.
pub const MAX_OUTCOME_DELAY: Micros = 20 * MS;
/// Maximum delay of the confirmation of a cancellation, in which the driver drops the attempt's task.
pub const MAX_CANCEL_DELAY: Micros = 2 * MS;
/// How long a draining server may still get requests after discovery has reported it: `rules.stopSendingWithin`.
pub const DRAIN_GRACE: Micros = 100 * MS;
/// How long a server counts as cold after its start: `rules.cold`.
pub const COLD: Micros = 20_000 * MS;
/// The share of its capacity that a server has when it starts: `rules.coldShare`.
pub const COLD_SHARE: f64 = 0.2;
/// The multiple of its current capacity that a cold server tolerates: `rules.fallMultiple`.
pub const FALL_MULTIPLE: f64 = 3.0;
/// The target latency of all classes.
pub const TARGET_LATENCY: Micros = 200 * MS;
/// How long the servers of a zone remember a keyed request.
pub const WINDOW: Micros = 300 * MS;
/// How long the clients wait.
pub const DEADLINE: Micros = 500 * MS;

/// The kinds of requests, in the order of the settings' classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// It may be executed any number of times.
    Safe,
    /// Servers of its zone discard duplicates within [`WINDOW`].
    Keyed,
    /// It must not be executed twice.
    Unsafe,
}

impl RequestKind {
    /// All kinds, in the order of the settings' classes.
    pub const ALL: [RequestKind; 3] = [RequestKind::Safe, RequestKind::Keyed, RequestKind::Unsafe];

    /// Returns its index among the settings' classes.
    pub fn class(self) -> usize {
        self as usize
    }

    /// Returns its letter in the names of scenarios.
    fn letter(self) -> char {
        match self {
            RequestKind::Safe => 's',
            RequestKind::Keyed => 'k',
            RequestKind::Unsafe => 'u',
        }
    }
}

impl From<RequestKind> for RetrySafety {
    fn from(kind: RequestKind) -> RetrySafety {
        match kind {
            RequestKind::Safe => RetrySafety::Safe,
            RequestKind::Keyed => RetrySafety::Keyed,
            RequestKind::Unsafe => RetrySafety::Unsafe,
        }
    }
}

/// The state of a server at the start of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InitialState {
    /// Ready, and started long ago.
    Warm,
    /// Ready, and started at the start of the exploration.
    Cold,
    /// Draining since the start of the exploration.
    Draining,
}

/// Settings that differ between scenarios. All others are those of [`Scenario::settings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// `limits.mayDuplicate`: several attempts of a request may be in flight.
    pub may_duplicate: bool,
    /// `failover.copyAtAim`.
    pub copy_at_aim: bool,
    /// `limits.cancel`: attempts in flight can be cancelled.
    pub cancel: bool,
    /// Answers may be streamed and bodies forwarded, so that first-byte events occur.
    pub streaming: bool,
    /// `limits.maxAttempts`: maximum attempts of a request.
    pub max_attempts: usize,
}

impl Options {
    /// The name and the options of each variant that is explored.
    pub const ALL: [(&str, Options); 4] = [
        ("platform", Options::PLATFORM),
        ("copies", Options { copy_at_aim: true, ..Options::PLATFORM }),
        (
            "single",
            Options { may_duplicate: false, cancel: false, max_attempts: 2, ..Options::PLATFORM },
        ),
        ("streams", Options { copy_at_aim: true, streaming: true, ..Options::PLATFORM }),
    ];

    /// The platform's settings, without streaming answers.
    pub const PLATFORM: Options = Options {
        may_duplicate: true,
        copy_at_aim: false,
        cancel: true,
        streaming: false,
        max_attempts: 4,
    };
}

/// Bounds of the exploration. Advancing time, timers in order, arrivals and due outcomes (timeouts, confirmed
/// cancellations) are not counted, since the scenario itself bounds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum counted steps of a path: outcomes before the timeout, first bytes, list changes, client departures, and
    /// late timers or outcomes. After the last one, the path runs until the world is idle.
    pub events: u8,
    /// Maximum list changes among these.
    pub list_changes: u8,
    /// Maximum number of times among these that a due timer or outcome is late.
    pub late: u8,
    /// Maximum states of one scenario and seed. The exploration stops there and reports that it was cut.
    pub states: usize,
}

/// The starting point of an exploration.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The name, composed of the names of settings, servers and requests.
    pub name: String,
    /// The zone and the initial state of each server. The ID of a server is its index plus 1.
    pub servers: Vec<(u8, InitialState)>,
    /// The requests, in order of arrival.
    pub requests: Vec<RequestKind>,
    /// The variant of the settings.
    pub options: Options,
    /// Number of requests served before the exploration begins. They fill the retry budget.
    pub warm_up: u64,
}

impl Scenario {
    /// Returns the settings that are passed to the balancer.
    ///
    /// # Panics
    /// Panics if the settings are invalid, which the tests of the exploration rule out.
    pub fn settings(&self) -> Settings {
        let class = |name: &str, repeat: &str, scope: &str| {
            json!({"name": name, "aim": TARGET_LATENCY, "deadline": DEADLINE, "repeat": repeat, "dedupScope": scope,
                   "window": WINDOW, "credit": 1.0, "lateWorth": 0.2, "streaming": self.options.streaming})
        };
        let settings = json!({
            "classes": [
                class("safe", "idempotent", "all"),
                class("keyed", "deduplicated", "zone"),
                class("unsafe", "at_most_once", "all"),
            ],
            "failover": {"copyAtAim": self.options.copy_at_aim, "slowExponent": 2.0},
            "instances": 3,
            "limits": {"cancel": self.options.cancel, "connIdle": 10_000_000, "connectTimeout": 75_000,
                       "maxAttempts": self.options.max_attempts, "mayDuplicate": self.options.may_duplicate},
            "me": 0,
            "report": {"columns": ["q", "rif"], "how": "piggyback"},
            "rules": {"answerSlack": ANSWER_SLACK, "cold": COLD, "coldShare": COLD_SHARE,
                      "fallMultiple": FALL_MULTIPLE, "mustAskIn": 10_000_000,
                      "stopSendingWithin": DRAIN_GRACE, "tipAfter": 2_000_000},
            "tick": MAX_TIMER_DELAY,
            "zone": 0,
            "zones": ["a", "b"]
        });
        Settings::from_json(settings.to_string().as_bytes())
            .expect("the scenario's settings are valid")
    }

    /// Returns the list entry of a server.
    pub fn entry(id: ServerId, zone: u8, health: Health, started: Micros) -> ServerEntry {
        ServerEntry { id, zone, kind: 0, cell: u16::from(zone), health, power: 1.0, started }
    }

    /// Returns the scenarios with this number of servers (2 or 3) and requests (1 to 4): each combination of a variant
    /// of the settings, a set of servers and a set of requests.
    ///
    /// # Errors
    /// There are no scenarios for one of the numbers.
    pub fn all(servers: usize, requests: usize) -> Result<Vec<Scenario>, String> {
        let servers = server_sets(servers)?;
        let requests = request_sets(requests)?;
        let mut all = Vec::new();
        for (option, options) in Options::ALL {
            for (server_set, servers) in &servers {
                for requests in &requests {
                    let letters: String = requests.iter().map(|kind| kind.letter()).collect();
                    all.push(Scenario {
                        name: format!("{option}/{server_set}/{letters}"),
                        servers: servers.clone(),
                        requests: requests.clone(),
                        options,
                        warm_up: 30,
                    });
                }
            }
        }
        Ok(all)
    }
}

type ServerSet = (&'static str, Vec<(u8, InitialState)>);

fn server_sets(count: usize) -> Result<Vec<ServerSet>, String> {
    use InitialState::{Cold, Draining, Warm};
    match count {
        2 => Ok(vec![
            ("one-zone", vec![(0, Warm), (0, Warm)]),
            ("two-zones", vec![(0, Warm), (1, Warm)]),
            ("one-cold", vec![(0, Warm), (0, Cold)]),
        ]),
        3 => Ok(vec![
            ("two-zones", vec![(0, Warm), (0, Warm), (1, Warm)]),
            ("one-cold", vec![(0, Warm), (1, Warm), (0, Cold)]),
            ("one-drains", vec![(0, Warm), (0, Draining), (1, Warm)]),
        ]),
        other => Err(format!("{other} servers: 2 or 3 expected")),
    }
}

fn request_sets(count: usize) -> Result<Vec<Vec<RequestKind>>, String> {
    use RequestKind::{Keyed, Safe, Unsafe};
    match count {
        1 => Ok(vec![vec![Safe], vec![Keyed], vec![Unsafe]]),
        2 => {
            Ok(vec![vec![Keyed, Unsafe], vec![Unsafe, Safe], vec![Keyed, Keyed], vec![Safe, Keyed]])
        }
        3 => Ok(vec![vec![Safe, Keyed, Unsafe], vec![Unsafe, Keyed, Keyed]]),
        4 => Ok(vec![vec![Safe, Keyed, Unsafe, Keyed], vec![Unsafe, Unsafe, Safe, Keyed]]),
        other => Err(format!("{other} requests: 1 to 4 expected")),
    }
}
