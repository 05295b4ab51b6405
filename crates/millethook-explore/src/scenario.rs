//! What is explored: servers, requests, settings, and the bounds of the exploration.

use coppercart::api::{Health, Micros, ServerEntry, ServerId};
use coppercart::settings::{RetrySafety, Settings};
use serde_json::json;

/// A thousand microseconds.
pub const MS: Micros = 1_000;
/// When the exploration begins, on the balancer's clock, after the warm-up.
pub const START: Micros = 1_000_000 * MS;
/// Within so long of its instant a timer runs out: the platform's tick.
pub const TIMER_LATE: Micros = 2 * MS;
/// A final answer may come so long after its deadline: `rules.answerSlack`.
pub const ANSWER_SLACK: Micros = 8 * MS;
/// An attempt's outcome is told at the latest so long after its time is over. Longer than the slack: a final answer
/// must not depend on it.
pub const OUTCOME_LATE: Micros = 20 * MS;
/// A cancellation is confirmed at the latest so long after it was asked for: the driver drops the attempt's task.
pub const CANCEL_LATE: Micros = 2 * MS;
/// A draining server may be sent to for so long after discovery has told of it: `rules.stopSendingWithin`.
pub const DRAIN_GRACE: Micros = 100 * MS;
/// How long a server that has started counts as cold: `rules.cold`.
pub const COLD: Micros = 20_000 * MS;
/// The share of its capacity that a server has when it starts: `rules.coldShare`.
pub const COLD_SHARE: f64 = 0.2;
/// How many times its present capacity a cold server bears: `rules.fallMultiple`.
pub const FALL_MULTIPLE: f64 = 3.0;
/// The classes' aim.
pub const AIM: Micros = 200 * MS;
/// How long a keyed request is remembered in its zone.
pub const WINDOW: Micros = 300 * MS;
/// How long the clients wait.
pub const DEADLINE: Micros = 500 * MS;

/// The kinds of requests. Their order is that of the settings' classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// May run any number of times.
    Safe,
    /// Repeats are discarded by the servers of its zone within [`WINDOW`].
    Keyed,
    /// Must not run twice.
    Unsafe,
}

impl Kind {
    /// All, in the order of the settings' classes.
    pub const ALL: [Kind; 3] = [Kind::Safe, Kind::Keyed, Kind::Unsafe];

    /// Its place among the settings' classes.
    pub fn class(self) -> usize {
        self as usize
    }

    /// Its letter in the names of scenarios.
    fn letter(self) -> char {
        match self {
            Kind::Safe => 's',
            Kind::Keyed => 'k',
            Kind::Unsafe => 'u',
        }
    }
}

impl From<Kind> for RetrySafety {
    fn from(kind: Kind) -> RetrySafety {
        match kind {
            Kind::Safe => RetrySafety::Safe,
            Kind::Keyed => RetrySafety::Keyed,
            Kind::Unsafe => RetrySafety::Unsafe,
        }
    }
}

/// A server as the exploration begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Begins {
    /// Ready, for long.
    Warm,
    /// Ready, and started as the exploration begins.
    Cold,
    /// Draining since the exploration began.
    Draining,
}

/// Settings that differ between scenarios. All others are those of [`Scenario::settings`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// `limits.mayDuplicate`: several attempts of a request may be out.
    pub may_duplicate: bool,
    /// `failover.copyAtAim`.
    pub copy_at_aim: bool,
    /// `limits.cancel`: attempts that are out can be cancelled.
    pub cancel: bool,
    /// Answers may be long, and bodies passed on: a first byte may come.
    pub streaming: bool,
    /// `limits.maxAttempts`: attempts that a request may have.
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

    /// As on the platform, without long answers.
    pub const PLATFORM: Options = Options {
        may_duplicate: true,
        copy_at_aim: false,
        cancel: true,
        streaming: false,
        max_attempts: 4,
    };
}

/// How far the exploration goes. Time passing, timers in their order, arrivals and the ends that the world owes
/// (time-outs, confirmed cancellations) are not counted: they are bounded by what is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Counted steps of a path: outcomes before the time-out, first bytes, list changes, clients that go, moments
    /// in which something due is late. After the last one, the quiet course is played to its end.
    pub events: u8,
    /// Of these, list changes.
    pub list_changes: u8,
    /// Of these, moments in which a timer or an outcome that is due is late.
    pub late: u8,
    /// States after which the exploration of one scenario and seed is cut, and says so.
    pub states: usize,
}

/// One start of the exploration.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Of settings, servers and requests.
    pub name: String,
    /// The servers: each one's zone and how it begins. Its id is its place and 1.
    pub servers: Vec<(u8, Begins)>,
    /// The requests, in the order in which they come.
    pub requests: Vec<Kind>,
    /// The settings' variant.
    pub options: Options,
    /// Served requests before the exploration begins. They save up the budget of retries.
    pub warm_up: u64,
}

impl Scenario {
    /// The settings that the balancer gets.
    ///
    /// # Panics
    /// If they are not sound, which a test shows not to be so.
    pub fn settings(&self) -> Settings {
        let class = |name: &str, repeat: &str, scope: &str| {
            json!({"name": name, "aim": AIM, "deadline": DEADLINE, "repeat": repeat, "dedupScope": scope,
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
            "tick": TIMER_LATE,
            "zone": 0,
            "zones": ["a", "b"]
        });
        Settings::from_json(settings.to_string().as_bytes())
            .expect("the scenario's settings are sound")
    }

    /// A server's line of the list.
    pub fn entry(id: ServerId, zone: u8, health: Health, started: Micros) -> ServerEntry {
        ServerEntry { id, zone, kind: 0, cell: u16::from(zone), health, power: 1.0, started }
    }

    /// The scenarios of so many servers (2 or 3) and requests (1 to 4): each variant of the settings, each set of
    /// servers, each set of requests.
    ///
    /// # Errors
    /// A number that there are no scenarios for.
    pub fn all(servers: usize, requests: usize) -> Result<Vec<Scenario>, String> {
        let servers = server_sets(servers)?;
        let requests = request_sets(requests)?;
        let mut all = Vec::new();
        for (option, options) in Options::ALL {
            for (place, servers) in &servers {
                for requests in &requests {
                    let letters: String = requests.iter().map(|kind| kind.letter()).collect();
                    all.push(Scenario {
                        name: format!("{option}/{place}/{letters}"),
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

type ServerSet = (&'static str, Vec<(u8, Begins)>);

fn server_sets(count: usize) -> Result<Vec<ServerSet>, String> {
    use Begins::{Cold, Draining, Warm};
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

fn request_sets(count: usize) -> Result<Vec<Vec<Kind>>, String> {
    use Kind::{Keyed, Safe, Unsafe};
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
