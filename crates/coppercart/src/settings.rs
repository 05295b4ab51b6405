//! The settings of an instance, as JSON. Unknown keys are ignored. The settings are validated here,
//! so that the decision module can rely on them.

use serde::Deserialize;

use crate::api::Micros;

mod class;
mod limits;

pub use class::{Class, DedupScope, RetrySafety};
pub use limits::{Failover, Limits};

/// How servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub enum ReportMode {
    /// With each answer, including answers to probes.
    #[serde(rename = "piggyback")]
    Answers,
    /// Only with answers to probes.
    #[serde(rename = "pull")]
    Probes,
    /// Not at all.
    #[serde(rename = "silent")]
    Silent,
}

/// How the server list is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
pub enum Discovery {
    /// Discovery pushes changes.
    #[default]
    #[serde(rename = "pushed")]
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](crate::api::Action::Subscribe) or
    /// `FetchList`.
    #[serde(rename = "on_request")]
    OnRequest,
}

/// The meaning of a server's `power` in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WeightKind {
    /// No meaning: every server counts as 1.
    #[default]
    Silent,
    /// The registered size of the machine.
    Nominal,
    /// The approximate size of the machine.
    Rough,
    /// The size divided by a recent load.
    Live,
}

/// The unit for which a class earns its credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Default)]
#[serde(rename_all = "lowercase")]
pub enum WorthUnit {
    /// Each request earns the credit of its class.
    #[default]
    Request,
    /// Each unit of work earns the credit of its class.
    Work,
}

/// The weights of the parts of the simulator's score. The decision module does not read them.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Goal {
    /// The weight of the whole run.
    pub whole: f64,
    /// The weight of the class with the worst result.
    pub worst_class: f64,
    /// The weight of the tenant with the worst result within its share.
    pub worst_tenant: f64,
    /// The weight of the worst 10 seconds.
    pub worst_window: f64,
}

/// Points deducted from the score per unit of each cost; 0 if it is free.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Prices {
    /// Open connections: their mean number, divided by 100 times the number of servers.
    pub connection: f64,
    /// Attempts that cross zones, as a share of first attempts.
    pub cross_zone: f64,
    /// New connections, per first attempt.
    pub handshake: f64,
    /// Value that was not served within its aim and is lost.
    pub late_fail: f64,
    /// Bytes between sidecars, divided by 256 times the number of first attempts.
    pub peer: f64,
    /// Probes, per first attempt.
    pub probe: f64,
    /// Server work that did not lead to a served answer, as a share of the work offered.
    pub waste: f64,
}

/// The load reports of servers.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The names of the reported values, four at most. The decision module knows `q` (queue length)
    /// and `rif` (requests held).
    #[serde(default)]
    pub columns: Vec<String>,
    /// How the reports are delivered.
    pub how: ReportMode,
}

/// Parameters of the four rules. Times are in microseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Rules {
    /// How long after the client's deadline a final answer still counts.
    pub answer_slack: Micros,
    /// The slow start period: how long after its start a server is fully warm.
    pub cold: Micros,
    /// The share of its full capacity that a server has at its start; above 0, at most 1.
    pub cold_share: f64,
    /// A cold server collapses under this many times its current capacity.
    pub fall_multiple: f64,
    /// With lists on request: changes count as delivered after this time without a subscription.
    #[serde(default)]
    pub must_ask_in: Micros,
    /// How long after the notice sends to a draining or removed server have to stop.
    pub stop_sending_within: Micros,
    /// How long a cold server withstands overload before it collapses.
    pub tip_after: Micros,
}

/// List changes count as delivered this long after discovery had them and was reachable, regardless
/// of earlier failures.
const UPDATE_DEADLINE_US: Micros = 6_000_000;
/// The longest duration of a discovery call that fails.
const MAX_FAILED_CALL_US: Micros = 2_000_000;

impl Rules {
    /// Returns the maximum random delay before a discovery call, where lists come on request;
    /// `divisor` divides the time that the settings allow. A call that hung before the delay and a
    /// slow call after it still finish in time.
    pub fn max_discovery_delay(&self, divisor: u64) -> Micros {
        (self.must_ask_in.max(4) / 2 / divisor).min(UPDATE_DEADLINE_US - 2 * MAX_FAILED_CALL_US)
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

/// Client behaviour.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Clients {
    /// Whether clients mark their retries.
    pub marks_retry: bool,
}

/// Properties of this kind of service.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct FamilyInfo {
    /// Whether a server does less work for a key that it served recently.
    pub warm_keys: bool,
}

/// The settings of one instance. Times are in microseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Settings {
    /// The request classes, at least one.
    pub classes: Vec<Class>,
    /// Client behaviour.
    #[serde(default)]
    pub clients: Clients,
    /// How the server list is delivered.
    #[serde(default)]
    pub discovery: Discovery,
    /// How to treat slow or silent servers.
    #[serde(default)]
    pub failover: Failover,
    /// Properties of this kind of service.
    #[serde(default)]
    pub family_info: FamilyInfo,
    /// The weights of the parts of the score.
    #[serde(default)]
    pub goal: Goal,
    /// The number of instances that send to these servers, at least 1.
    pub instances: u32,
    /// What an instance may do.
    #[serde(default)]
    pub limits: Limits,
    /// The number of this instance, from 0 and below `instances`.
    pub me: u32,
    /// The value of a request beyond its tenant's share, as a share of its class's value.
    #[serde(default = "one")]
    pub over_share_worth: f64,
    /// What costs points.
    #[serde(default)]
    pub prices: Prices,
    /// The load reports of servers.
    pub report: Report,
    /// Parameters of the four rules.
    pub rules: Rules,
    /// The tenants; may be empty.
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    /// The minimum time between two batches of events.
    #[serde(default)]
    pub tick: Micros,
    /// The meaning of a server's `power` in the list.
    #[serde(default)]
    pub weight_kind: WeightKind,
    /// The unit for which a class earns its credit.
    #[serde(default)]
    pub worth_by: WorthUnit,
    /// The zone of this instance, as an index into `zones`.
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
    /// Parses and validates the settings. An error names the key and what was expected.
    pub fn from_json(text: &[u8]) -> Result<Settings, String> {
        let s: Settings = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), String> {
        let require = |ok: bool, message: &str| {
            if ok { Ok(()) } else { Err(format!("settings: {message}")) }
        };
        require(!self.classes.is_empty(), "classes: at least one expected")?;
        for (i, c) in self.classes.iter().enumerate() {
            let field_error =
                |key: &str, expected: &str| format!("classes[{i}].{key}: {expected} expected");
            require(c.aim > 0, &field_error("aim", "a time above 0"))?;
            require(c.deadline > 0, &field_error("deadline", "a time above 0"))?;
            require(c.credit >= 0.0, &field_error("credit", "a worth of 0 or more"))?;
            require(
                (0.0..=1.0).contains(&c.late_worth),
                &field_error("lateWorth", "a share from 0 to 1"),
            )?;
        }
        require(self.limits.max_attempts > 0, "limits.maxAttempts: 1 or more expected")?;
        require(self.instances > 0, "instances: 1 or more expected")?;
        require(self.me < self.instances, "me: a number below instances expected")?;
        require(self.report.columns.len() <= 4, "report.columns: four names at most expected")?;
        require(
            self.zones.is_empty() || (self.zone as usize) < self.zones.len(),
            "zone: a position within zones expected",
        )?;
        require(
            self.rules.cold_share > 0.0 && self.rules.cold_share <= 1.0,
            "rules.coldShare: a share above 0, up to 1 expected",
        )?;
        require(
            (1.0..=8.0).contains(&self.failover.slow_exponent),
            "failover.slowExponent: a figure from 1 to 8 expected",
        )?;
        require(self.rules.fall_multiple > 0.0, "rules.fallMultiple: a figure above 0 expected")?;
        for (i, t) in self.tenants.iter().enumerate() {
            require(
                t.quota_per_s >= 0.0 && t.share >= 0.0,
                &format!("tenants[{i}]: quotaPerS and share of 0 or more expected"),
            )?;
        }
        Ok(())
    }

    /// Returns the maximum of a duration over all active classes.
    pub fn max_over_classes(&self, duration: fn(&Class) -> Micros) -> Micros {
        self.classes.iter().filter(|class| !class.retired).map(duration).max().unwrap_or(1)
    }

    /// Merges new settings into these, for use while requests are open.
    ///
    /// An unchanged class keeps its index. Any other class of `new` gets an unused index, or that
    /// of a retired class for which `in_use` returns false. Open requests refer to their class by
    /// its index, so each keeps the rules under which it arrived. Names that other state refers to
    /// by number (zones, the columns of load reports) stay unchanged.
    pub fn merged_with(&self, mut new: Settings, in_use: impl Fn(usize) -> bool) -> Settings {
        let mut classes = self.classes.clone();
        let unchanged = |class: &Class| new.classes.contains(class);
        for class in classes.iter_mut().filter(|class| !unchanged(class)) {
            // Without this, other classes are still shed by comparison with the retired class.
            (class.retired, class.credit) = (true, 0.0);
        }
        for class in new.classes {
            if classes.contains(&class) {
                continue;
            }
            let free = (0..classes.len()).find(|&index| classes[index].retired && !in_use(index));
            match free {
                Some(index) => classes[index] = class,
                None => classes.push(class),
            }
        }
        new.classes = classes;
        new.zones = self.zones.clone();
        new.zone = self.zone;
        new.report = self.report.clone();
        new
    }

    /// Returns the index of a column of the load report.
    pub fn report_column(&self, name: &str) -> Option<usize> {
        self.report.columns.iter().position(|c| c == name)
    }
}
