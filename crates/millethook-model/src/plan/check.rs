//! Validation of a plan's values.

use super::{Fault, FaultKind, Plan};

/// An invalid value in a plan.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {expected} expected, found {found}")]
pub struct Problem {
    /// The key of the value.
    pub key: String,
    /// What was expected.
    pub expected: &'static str,
    /// The value found.
    pub found: String,
}

/// Upper bound on sidecars: the fleet keeps a server list for each.
const MAX_SIDECARS: usize = 100_000;
/// Upper bound on servers.
const MAX_SERVERS: usize = 10_000;

struct Problems(Vec<Problem>);

impl Problems {
    fn require(
        &mut self,
        holds: bool,
        key: impl Into<String>,
        expected: &'static str,
        found: impl ToString,
    ) {
        if !holds {
            self.0.push(Problem { key: key.into(), expected, found: found.to_string() });
        }
    }

    fn share(&mut self, value: f64, key: impl Into<String>) {
        self.require((0.0..=1.0).contains(&value), key, "a share from 0 to 1", value);
    }

    fn above_zero(&mut self, value: f64, key: impl Into<String>) {
        self.require(value > 0.0 && value.is_finite(), key, "a figure above 0", value);
    }
}

impl Plan {
    /// Returns all invalid values; the plan can be run if there are none.
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = Problems(Vec::new());
        self.check_sizes(&mut problems);
        self.check_network(&mut problems);
        self.check_classes(&mut problems);
        for (n, fault) in self.faults.iter().enumerate() {
            self.check_fault(n, fault, &mut problems);
        }
        problems.0
    }

    fn check_sizes(&self, problems: &mut Problems) {
        let (sidecars, servers) = (&self.sidecars, &self.servers);
        let count = sidecars.count;
        problems.require(
            (1..=MAX_SIDECARS).contains(&count),
            "sidecars.count",
            "1 to 100000",
            count,
        );
        let zones = sidecars.zones;
        problems.require((1..=100).contains(&zones), "sidecars.zones", "1 to 100", zones);
        let attempts = sidecars.max_attempts;
        let key = "sidecars.max_attempts";
        problems.require((1..=100).contains(&attempts), key, "1 to 100", attempts);
        let count = servers.count;
        problems.require((1..=MAX_SERVERS).contains(&count), "servers.count", "1 to 10000", count);
        problems.require(servers.slots > 0, "servers.slots", "1 or more", servers.slots);
        problems.above_zero(servers.cold_share, "servers.cold_share");
        problems.share(servers.cold_share, "servers.cold_share");
        let longest = servers.longest_work;
        problems.require(longest >= 0.0, "servers.longest_work", "0 or more", longest);
        let max_duration = 3_600_000;
        let duration = self.duration_ms;
        problems.require(
            (1..=max_duration).contains(&duration),
            "duration_ms",
            "1 to 3600000",
            duration,
        );
        problems.above_zero(self.load.per_sidecar, "load.per_sidecar");
        let rate = self.load.per_sidecar * sidecars.count as f64;
        problems.require(
            rate <= 1e6,
            "load.per_sidecar",
            "a million requests a second in all",
            rate,
        );
        problems.share(self.load.leave_early, "load.leave_early");
        problems.above_zero(self.rules.fall_multiple, "rules.fall_multiple");
        let tip = self.rules.tip_after_ms;
        problems.require(tip > 0, "rules.tip_after_ms", "1 or more", tip);
    }

    fn check_network(&self, problems: &mut Problems) {
        let network = &self.network;
        problems.share(network.loss_before, "network.loss_before");
        problems.share(network.loss_after, "network.loss_after");
        problems.share(network.reset, "network.reset");
    }

    fn check_classes(&self, problems: &mut Problems) {
        let count = self.classes.len();
        problems.require((1..=16).contains(&count), "class", "1 to 16 classes", count);
        for (n, class) in self.classes.iter().enumerate() {
            problems.above_zero(class.share, format!("class[{n}].share"));
            problems.above_zero(class.work_us as f64, format!("class[{n}].work_us"));
            problems.above_zero(class.aim_ms as f64, format!("class[{n}].aim_ms"));
            problems.above_zero(class.deadline_ms as f64, format!("class[{n}].deadline_ms"));
            problems.require(
                class.worth >= 0.0,
                format!("class[{n}].worth"),
                "0 or more",
                class.worth,
            );
        }
    }

    fn check_fault(&self, n: usize, fault: &Fault, problems: &mut Problems) {
        let key = |name: &str| format!("fault[{n}].{name}");
        let kind = fault.kind;
        let out_of_range = fault.sidecars.iter().find(|number| **number >= self.sidecars.count);
        problems.require(
            out_of_range.is_none(),
            key("sidecars"),
            "numbers below sidecars.count",
            out_of_range.copied().unwrap_or_default(),
        );
        let out_of_range = fault.servers.iter().find(|number| **number >= self.servers.count);
        problems.require(
            out_of_range.is_none(),
            key("servers"),
            "numbers below servers.count",
            out_of_range.copied().unwrap_or_default(),
        );
        let missing = kind.affects_servers() && fault.servers.is_empty();
        problems.require(!missing, key("servers"), "at least one server", "none");
        let missing = kind.affects_sidecars() && fault.sidecars.is_empty();
        problems.require(!missing, key("sidecars"), "at least one sidecar", "none");
        match kind {
            FaultKind::Loss | FaultKind::Errors => problems.share(fault.amount, key("amount")),
            FaultKind::Delay | FaultKind::Slow => problems.above_zero(fault.amount, key("amount")),
            _ => problems.require(fault.amount == 0.0, key("amount"), "none", fault.amount),
        }
        let end_ms = fault.at_ms.saturating_add(fault.for_ms);
        problems.require(end_ms <= 3_600_000, key("for_ms"), "an end within 3600000", end_ms);
    }
}
