//! The settings that an instance gets at its start, as JSON. Unknown keys are skipped; what the
//! decisions need is checked here, so that they can rely on it.

use serde::Deserialize;

use crate::api::Micros;

mod class;
mod limits;

pub use class::{Class, DedupScope, RetrySafety};
pub use limits::{Failover, Limits};

/// How servers tell of their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportMode {
    /// With each answer, and with answers to probes.
    #[serde(rename = "piggyback")]
    Answers,
    /// With answers to probes only.
    #[serde(rename = "pull")]
    Probes,
    /// Not at all.
    #[serde(rename = "silent")]
    Silent,
}

/// How the list of servers comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
pub enum Discovery {
    /// Changes come by themselves.
    #[default]
    #[serde(rename = "pushed")]
    Pushed,
    /// Changes come only after [`Action::Subscribe`](crate::api::Action::Subscribe) or `FetchList`.
    #[serde(rename = "on_request")]
    OnRequest,
}

/// What the list's figure of a server's power is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum PowerMeans {
    /// Nothing: it is 1 for all.
    #[default]
    Silent,
    /// The registered size of the machine.
    Nominal,
    /// About the size of the machine.
    Rough,
    /// The size, divided by the load of a moment ago.
    Live,
}

/// What the worth of a class is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WorthBy {
    /// Each request earns its class's credit.
    #[default]
    Request,
    /// Each unit of work earns it.
    Work,
}

/// How parts of the result are weighted against each other. The decisions do not read it.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    /// The weight of the whole run.
    pub whole: f64,
    /// The weight of the class that fares worst.
    pub worst_class: f64,
    /// The weight of the tenant that fares worst, within its share.
    pub worst_tenant: f64,
    /// The weight of the worst 10 seconds.
    pub worst_window: f64,
}

/// Points that are taken off the result, for each unit of what is named. 0: it costs nothing.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    /// For open connections: mean number, divided by 100 times the number of servers.
    pub connection: f64,
    /// For attempts that cross zones, as a share of first attempts.
    pub cross_zone: f64,
    /// For new connections, for each first attempt.
    pub handshake: f64,
    /// For worth that was not served by its aim and is lost.
    pub late_fail: f64,
    /// For bytes between sidecars: number, divided by 256 times the number of first attempts.
    pub peer: f64,
    /// For probes, for each first attempt.
    pub probe: f64,
    /// For work of servers that served no answer, as a share of the work offered.
    pub waste: f64,
}

/// Load reports of servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The names of their values, four at most. The decisions know `q` (queue) and `rif` (requests held).
    #[serde(default)]
    pub columns: Vec<String>,
    /// How they come.
    pub how: ReportMode,
}

/// Figures of the four rules. Times are in microseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Micros,
    /// The time after its start by which a server is warm.
    pub cold: Micros,
    /// The share of its full capacity that a server has at its start, above 0 and up to 1.
    pub cold_share: f64,
    /// A cold server falls over under this many times its present capacity.
    pub fall_multiple: f64,
    /// Where lists come on request: what is listed counts as told after this time without a subscription.
    #[serde(default)]
    pub must_ask_in: Micros,
    /// How long after it was told sends to a draining or gone server have to cease.
    pub stop_sending_within: Micros,
    /// How long a cold server bears too much before it falls over.
    pub tip_after: Micros,
}

/// What discovery has to tell counts as told so long after it had it and could be reached, whatever has failed before.
const TOLD_AFTER: Micros = 6_000_000;
/// The longest that a call may take which comes to nothing.
const FUTILE_CALL: Micros = 2_000_000;

impl Rules {
    /// Where discovery is asked, the longest that a sidecar puts off a call, as a share of what the settings leave:
    /// one that hung before it and one that is slow behind it still come in time.
    pub fn max_discovery_delay(&self, share: u64) -> Micros {
        (self.must_ask_in.max(4) / 2 / share).min(TOLD_AFTER - 2 * FUTILE_CALL)
    }
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Requests per second within its share, over all sidecars.
    #[serde(default)]
    pub quota_per_s: f64,
    /// Its share of the service, from 0 to 1.
    #[serde(default)]
    pub share: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    /// They mark their own repeats.
    pub marks_retry: bool,
}

/// Facts of this kind of service.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    /// A server does less work for a key that it has served lately.
    pub warm_keys: bool,
}

/// The settings of one instance. Times are in microseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// How the list of servers comes.
    #[serde(default)]
    pub discovery: Discovery,
    /// What is done about servers that are slow or silent.
    #[serde(default)]
    pub failover: Failover,
    /// Facts of this kind of service.
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// How parts of the result are weighted.
    #[serde(default)]
    pub goal: Goal,
    /// How many instances send to these servers, 1 or more.
    pub instances: u32,
    /// What an instance may do.
    #[serde(default)]
    pub limits: Limits,
    /// This instance's number, from 0 and below `instances`.
    pub me: u32,
    /// The worth of a request beyond its tenant's share, as a share of its class's worth.
    #[serde(default = "one")]
    pub over_share_worth: f64,
    /// What costs points.
    #[serde(default)]
    pub prices: Prices,
    /// Load reports of servers.
    pub report: Report,
    /// Figures of the four rules.
    pub rules: Rules,
    /// The tenants; there may be none.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The shortest time between two batches of events.
    #[serde(default)]
    pub tick: Micros,
    /// What the list's figure of a server's power is.
    #[serde(default)]
    pub weight_kind: PowerMeans,
    /// What worth is counted by.
    #[serde(default)]
    pub worth_by: WorthBy,
    /// This instance's zone, as a position within `zones`.
    #[serde(default)]
    pub zone: u8,
    /// The names of the zones.
    #[serde(default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

impl Settings {
    /// Reads and checks the settings. The error names the key and what was expected.
    pub fn from_json(text: &[u8]) -> Result<Settings, String> {
        let s: Settings = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), String> {
        let need = |ok: bool, what: &str| {
            if ok { Ok(()) } else { Err(format!("settings: {what}")) }
        };
        need(!self.classes.is_empty(), "classes: at least one expected")?;
        for (i, c) in self.classes.iter().enumerate() {
            let key = |k: &str, want: &str| format!("classes[{i}].{k}: {want} expected");
            need(c.aim > 0, &key("aim", "a time above 0"))?;
            need(c.deadline > 0, &key("deadline", "a time above 0"))?;
            need(c.credit >= 0.0, &key("credit", "a worth of 0 or more"))?;
            need((0.0..=1.0).contains(&c.late_worth), &key("lateWorth", "a share from 0 to 1"))?;
        }
        need(self.limits.max_attempts > 0, "limits.maxAttempts: 1 or more expected")?;
        need(self.instances > 0, "instances: 1 or more expected")?;
        need(self.me < self.instances, "me: a number below instances expected")?;
        need(self.report.columns.len() <= 4, "report.columns: four names at most expected")?;
        need(
            self.zones.is_empty() || (self.zone as usize) < self.zones.len(),
            "zone: a position within zones expected",
        )?;
        need(
            self.rules.cold_share > 0.0 && self.rules.cold_share <= 1.0,
            "rules.coldShare: a share above 0, up to 1 expected",
        )?;
        need(
            (1.0..=8.0).contains(&self.failover.slow_exponent),
            "failover.slowExponent: a figure from 1 to 8 expected",
        )?;
        need(self.rules.fall_multiple > 0.0, "rules.fallMultiple: a figure above 0 expected")?;
        for (i, t) in self.tenants.iter().enumerate() {
            need(
                t.quota_per_s >= 0.0 && t.share >= 0.0,
                &format!("tenants[{i}]: quotaPerS and share of 0 or more expected"),
            )?;
        }
        Ok(())
    }

    /// The greatest of such a figure of the classes in force.
    pub fn max_over_classes(&self, of: fn(&Class) -> Micros) -> Micros {
        self.classes.iter().filter(|class| !class.retired).map(of).max().unwrap_or(1)
    }

    /// These settings, followed by `new` while requests are open.
    ///
    /// A class that stays as it was keeps its place; any other of `new` gets one that no class has, or one of
    /// a retired class that is not `held` any more. Open requests name their class by its place, so each goes
    /// on under the rules that it came under. Names that stand for numbers elsewhere (zones, the columns of
    /// load reports) stay as they are.
    pub fn merged_with(&self, mut new: Settings, held: impl Fn(usize) -> bool) -> Settings {
        let mut classes = self.classes.clone();
        let stays = |class: &Class| new.classes.contains(class);
        for class in classes.iter_mut().filter(|class| !stays(class)) {
            // Without this, other classes are still shed by comparison with what it was worth.
            (class.retired, class.credit) = (true, 0.0);
        }
        for class in new.classes {
            if classes.contains(&class) {
                continue;
            }
            let free = (0..classes.len()).find(|&place| classes[place].retired && !held(place));
            match free {
                Some(place) => classes[place] = class,
                None => classes.push(class),
            }
        }
        new.classes = classes;
        new.zones = self.zones.clone();
        new.zone = self.zone;
        new.report = self.report.clone();
        new
    }

    /// The position of a column of the load report.
    pub fn column(&self, name: &str) -> Option<usize> {
        self.report.columns.iter().position(|c| c == name)
    }
}
