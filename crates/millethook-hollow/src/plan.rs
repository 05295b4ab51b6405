//! The plan of a run, read from TOML: the number of sidecars, their settings, and the steps.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::distribution::DistributionPlan;
use crate::error::HollowError;
use crate::link::LinkConfig;
use crate::sidecar::SidecarConfig;
use crate::topology::Topology;

/// Maximum number of hosts in a run.
pub const MAX_HOSTS: usize = 16;
/// Maximum number of sidecars in a run. Member numbers are 16 bits wide, and some are reserved for control nodes.
pub const MAX_SIDECARS: u16 = 32_000;
/// Maximum number of steps in a run.
const MAX_STEPS: usize = 64;
/// Maximum number of seconds of the machine's clock per second of the run.
const MAX_DILATION: f64 = 100.0;
/// Maximum duration of a step.
const MAX_STEP_S: f64 = 900.0;

/// The state machines that run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Machines {
    /// Channel, full view, and the components enabled in [`SidecarConfig`].
    #[default]
    View,
    /// Channel and subscriber without a view, and control nodes in separate hosts.
    Distribution,
}

/// A plan.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Number of sidecars.
    pub size: u16,
    /// Number of host processes for sidecars.
    #[serde(default = "Plan::default_hosts")]
    pub hosts: usize,
    /// The state machines that run.
    #[serde(default)]
    pub machines: Machines,
    /// Random seed.
    #[serde(default)]
    pub seed: u64,
    /// Number of regions.
    #[serde(default = "Plan::default_regions")]
    pub regions: u8,
    /// Number of zones in each region.
    #[serde(default = "Plan::default_zones_per_region")]
    pub zones_per_region: u8,
    /// Number of sidecars in a rack.
    #[serde(default = "Plan::default_rack")]
    pub rack: u16,
    /// All sidecars start at random times within this period.
    #[serde(default = "Plan::default_start_over_s")]
    pub start_over_s: f64,
    /// Seconds of the machine's clock per second of the run (time dilation: Gupta et al., NSDI 2006). With a value
    /// above 1 the machine has more time for each second of the run, as if its processors were faster by this factor.
    /// All times and rates of the run are in its own seconds.
    #[serde(default = "Plan::default_dilation")]
    pub dilation: f64,
    /// Link delays and loss.
    #[serde(default)]
    pub links: LinkConfig,
    /// Settings of sidecars with a view.
    #[serde(default)]
    pub sidecar: SidecarConfig,
    /// Settings of control nodes and subscribers, for [`Machines::Distribution`].
    #[serde(default)]
    pub distribution: DistributionPlan,
    /// The steps, in order.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
}

/// One step: an action, followed by a wait until all sidecars agree or the time limit is reached.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Its name in figures.
    pub name: String,
    /// The action.
    #[serde(rename = "do")]
    pub action: Action,
    /// Minimum duration of the step, in seconds.
    #[serde(default)]
    pub at_least_s: f64,
    /// Maximum duration of the step, in seconds.
    pub at_most_s: f64,
}

/// The action at the beginning of a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub enum Action {
    /// All sidecars start.
    Start,
    /// Does nothing.
    Quiet,
    /// Members stop and lose their state.
    Kill(Target),
    /// Killed members start with empty state.
    Restart {
        /// They start at random times within this period.
        #[serde(default)]
        over_s: f64,
    },
    /// Members neither run nor receive, and keep their state.
    Pause(Target),
    /// Paused members continue.
    Resume,
    /// Groups of regions are partitioned from one another.
    Cut {
        /// Regions by group. A region that is in no group is partitioned from all others.
        groups: Vec<Vec<u8>>,
    },
    /// The partition ends.
    Heal,
    /// Changes the share of datagrams that are lost.
    Loss {
        /// The share.
        share: f64,
    },
    /// A control node becomes the writer.
    Lead {
        /// The index of the control node, from 0.
        node: u16,
    },
    /// The writer publishes documents.
    Publish(Publish),
}

/// The documents to publish in a step.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Publish {
    /// Number of documents.
    pub count: u32,
    /// They are published at even intervals within this time.
    #[serde(default)]
    pub over_s: f64,
    /// Size of each body.
    #[serde(default = "Publish::default_bytes")]
    pub bytes: usize,
    /// Their scope.
    #[serde(default)]
    pub scope: PublishScope,
}

/// The scope of the documents of a step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PublishScope {
    /// All sidecars. A later document replaces the earlier ones.
    #[default]
    All,
    /// One zone per document, in turn.
    Zones,
    /// One service per document, in turn.
    Services,
}

impl Publish {
    fn default_bytes() -> usize {
        1_024
    }
}

/// Selects members. All given fields must match. A zone or region includes its control nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// A random share of all running members.
    pub share: Option<f64>,
    /// A zone's members; zones are numbered over all regions.
    pub zone: Option<u8>,
    /// The members of a rack in that zone, or in zone 0 if no zone is given.
    pub rack: Option<u16>,
    /// A region's members.
    pub region: Option<u8>,
    /// The last so many control nodes. The other fields are then ignored.
    pub control: Option<u16>,
}

impl Plan {
    fn default_hosts() -> usize {
        4
    }
    fn default_regions() -> u8 {
        3
    }
    fn default_zones_per_region() -> u8 {
        2
    }
    fn default_rack() -> u16 {
        40
    }
    fn default_dilation() -> f64 {
        1.0
    }
    fn default_start_over_s() -> f64 {
        5.0
    }

    /// Reads and checks a plan.
    ///
    /// # Errors
    /// Fails if the file cannot be read or is invalid; names the key, the value found, and the expected values.
    pub fn read(path: &Path) -> Result<Plan, HollowError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| HollowError::Read { path: path.to_owned(), source })?;
        let plan: Plan = toml::from_str(&text).map_err(|e| HollowError::Plan {
            path: path.display().to_string(),
            found: e.to_string(),
            expected: "a plan",
        })?;
        plan.check()?;
        Ok(plan)
    }

    /// Checks whether the plan can be run.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn check(&self) -> Result<(), HollowError> {
        let require = |holds: bool, path: &str, found: String, expected: &'static str| match holds {
            true => Ok(()),
            false => Err(HollowError::Plan { path: path.to_owned(), found, expected }),
        };
        let size = self.size;
        require((1..=MAX_SIDECARS).contains(&size), "size", size.to_string(), "1 to 32000")?;
        let hosts = self.hosts;
        let all = hosts + self.control_hosts();
        let hosts_valid = hosts > 0 && all <= MAX_HOSTS;
        require(hosts_valid, "hosts", all.to_string(), "1 to 16 with those of control nodes")?;
        let nodes = self.distribution.control_nodes;
        require(
            (1..=64).contains(&nodes),
            "distribution.control_nodes",
            nodes.to_string(),
            "1 to 64",
        )?;
        let zones = u32::from(self.regions) * u32::from(self.zones_per_region);
        require((1..=64).contains(&zones), "regions", zones.to_string(), "1 to 64 zones in all")?;
        let dilation = self.dilation;
        let dilation_valid = (1.0..=MAX_DILATION).contains(&dilation);
        require(dilation_valid, "dilation", dilation.to_string(), "1 to 100")?;
        let share = |share: f64| (0.0..=1.0).contains(&share);
        let loss = self.links.loss;
        require(share(loss), "links.loss", loss.to_string(), "0 to 1")?;
        let steps = self.steps.len();
        require(steps <= MAX_STEPS, "step", steps.to_string(), "64 at most")?;
        for step in &self.steps {
            let path = format!("step {}", step.name);
            let action_valid = match step.action {
                Action::Lead { node } => node < nodes,
                Action::Publish(publish) => (4..=65_536).contains(&publish.bytes),
                _ => true,
            };
            let found = format!("{:?}", step.action);
            require(
                action_valid,
                &path,
                found,
                "a control node below their count; 4 to 65536 bytes",
            )?;
            let times_valid =
                (0.0..=step.at_most_s).contains(&step.at_least_s) && step.at_most_s <= MAX_STEP_S;
            let found = format!("{} to {} s", step.at_least_s, step.at_most_s);
            require(times_valid, &path, found, "at_least_s below at_most_s, 900 s at most")?;
            match &step.action {
                Action::Loss { share: s } => require(share(*s), &path, s.to_string(), "0 to 1")?,
                Action::Kill(target) | Action::Pause(target) => {
                    let found = format!("{target:?}");
                    require(target.is_valid(), &path, found, "a share of 0 to 1, a zone, a rack")?;
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Returns the topology of the fleet.
    pub fn topology(&self) -> Topology {
        let Plan { size, regions, zones_per_region, rack, .. } = *self;
        let control = if self.has_control_nodes() { self.distribution.control_nodes } else { 0 };
        Topology { size, regions, zones_per_region, rack, control }
    }

    /// Returns whether control nodes run.
    pub fn has_control_nodes(&self) -> bool {
        self.machines == Machines::Distribution
    }

    /// Returns the number of hosts for control nodes. They follow the hosts of sidecars.
    pub fn control_hosts(&self) -> usize {
        if self.has_control_nodes() { self.distribution.hosts } else { 0 }
    }

    /// Returns the members of a host, by slot.
    pub fn members_of(&self, host: usize) -> Vec<u16> {
        let topology = self.topology();
        match host.checked_sub(self.hosts) {
            None => (0..self.size).filter(|n| usize::from(*n) % self.hosts == host).collect(),
            Some(host) => (self.size..topology.members())
                .filter(|n| usize::from(*n - self.size) % self.control_hosts().max(1) == host)
                .collect(),
        }
    }

    /// Returns the slot of a member at a host, or `None` if another host has it.
    pub fn slot_of(&self, host: usize, number: u16) -> Option<usize> {
        let (nth, hosts, first) = match number.checked_sub(self.size) {
            None => (usize::from(number), self.hosts, 0),
            Some(nth) => (usize::from(nth), self.control_hosts(), self.hosts),
        };
        let hosts = hosts.max(1);
        (first + nth % hosts == host).then_some(nth / hosts)
    }

    /// Returns the maximum duration of the run, in seconds of the machine's clock.
    pub fn max_duration_s(&self) -> f64 {
        self.steps.iter().map(|step| step.at_most_s).sum::<f64>() * self.dilation
    }
}

impl Target {
    fn is_valid(&self) -> bool {
        let named = self.zone.is_some() || self.rack.is_some() || self.region.is_some();
        let named = named || self.control.is_some();
        match self.share {
            Some(share) => (0.0..=1.0).contains(&share),
            None => named,
        }
    }

    /// Returns whether this selects a member, apart from the random share.
    pub fn covers(&self, topology: &Topology, number: u16) -> bool {
        let control = topology.is_control(number);
        if let Some(last) = self.control {
            return control && number >= topology.members().saturating_sub(last);
        }
        if control && self.zone.is_none() && self.region.is_none() {
            return false;
        }
        let rack = self.rack.map(|rack| (self.zone.unwrap_or(0), rack));
        self.zone.is_none_or(|zone| topology.zone(number) == zone)
            && self.region.is_none_or(|region| topology.region(number) == region)
            && rack.is_none_or(|rack| topology.rack(number) == Some(rack))
    }
}
