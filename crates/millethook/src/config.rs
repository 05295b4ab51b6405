//! The configuration of a fleet: its servers, classes and limits.
//!
//! All configurations have the JSON format that the daemon reads from `LB_CONFIG`: a builder makes such
//! an object, a file holds one, and two configurations are compared by their objects.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use coppercart::settings::Settings;
use millethook_config::ProductConfig;
use millethook_connect::Begins;
use millethook_connect::pool::{Limits, Reuse};
use millethook_engine::fleet::FleetSettings;
use millethook_engine::list::List;
use millethook_engine::membership_store::MembershipStoreConfig;
use millethook_engine::names::Names;
use millethook_engine::product;
use serde_json::Value;

use crate::budget::Budget;
use crate::error::OpenError;

mod builder;
mod class;
mod difference;
mod file;

pub use builder::FleetBuilder;
pub use class::{ClassConfig, Repeat};
use difference::difference;
use file::File;

/// Default limit on connections to servers.
const DEFAULT_SOCKETS: usize = 256;
/// Default limit on open requests.
const DEFAULT_OPEN_REQUESTS: usize = 1024;
/// Default limit on bytes in request bodies.
const DEFAULT_BODY_BYTES: usize = 16 << 20;

/// A checked configuration of a fleet.
#[derive(Clone)]
pub struct FleetConfig {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) discovery: Option<SocketAddr>,
    pub(crate) known: Option<List>,
    pub(crate) begins: Begins,
    pub(crate) connections: Limits,
    /// None if the settings decide by the price of a handshake.
    pub(crate) reuse: Option<Reuse>,
    pub(crate) membership_store: Option<MembershipStoreConfig>,
    pub(crate) peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    pub(crate) view: Option<FleetSettings>,
    pub(crate) settings: Settings,
    pub(crate) names: Arc<Names>,
    pub(crate) sockets: usize,
    pub(crate) open: usize,
    pub(crate) body_bytes: usize,
    pub(crate) budget: Option<Budget>,
    /// The whole configuration as given, for the comparison with another one.
    given: Value,
}

impl std::fmt::Debug for FleetConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("FleetConfig").field(&self.given).finish()
    }
}

impl FleetConfig {
    /// Starts a configuration in code.
    pub fn builder(name: &str) -> FleetBuilder {
        FleetBuilder::new(name)
    }

    /// Reads a file in the daemon's format.
    ///
    /// # Errors
    /// Names the file, the key and the expected value.
    pub fn from_file(path: impl AsRef<Path>) -> Result<FleetConfig, OpenError> {
        let path = path.as_ref();
        let with_path =
            |e: &dyn std::fmt::Display| OpenError::Config(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| with_path(&e))?;
        FleetConfig::from_json(&text).map_err(|e| with_path(&e))
    }

    /// Reads text in the daemon's format.
    ///
    /// # Errors
    /// Names the key and the expected value.
    pub fn from_json(text: &str) -> Result<FleetConfig, OpenError> {
        let given = serde_json::from_str(text).map_err(|e| OpenError::Config(e.to_string()))?;
        FleetConfig::from_value(given)
    }

    fn from_value(given: Value) -> Result<FleetConfig, OpenError> {
        let config_error = |text: String| OpenError::Config(text);
        let file: File =
            serde_json::from_value(given.clone()).map_err(|e| config_error(e.to_string()))?;
        if file.name.is_empty() {
            return Err(config_error("name: a name that is not empty expected".into()));
        }
        let address = |text: String| {
            let parsed = text.parse();
            parsed.map_err(|_| {
                config_error(format!("discovery: an address and a port expected, not {text:?}"))
            })
        };
        let discovery = file.discovery.map(address).transpose()?;
        let seed = match &file.seed {
            Some(text) => u64::from_str_radix(text, 16).map_err(|_| {
                config_error(format!("seed: 16 hexadecimal digits expected, not {text:?}"))
            })?,
            None => random(),
        };
        if discovery.is_none() && file.known.as_ref().is_none_or(|list| list.hosts.is_empty()) {
            return Err(config_error("discovery: an address expected, or servers instead".into()));
        }
        let limits = file.limits;
        let at_least = |key: &str, value: usize, least: usize| {
            let text = format!("limits.{key}: {least} or more expected");
            if value < least { Err(config_error(text)) } else { Ok(value) }
        };
        let begins = file.begins.map_or(Ok(Begins::Head), |text| text.parse());
        let begins = begins.map_err(|e| config_error(format!("begins: {e}")))?;
        let (given_limits, defaults) = (file.connections, Limits::default());
        let at_least_one = |key: &str, value: Option<usize>, default: usize| match value {
            Some(0) => Err(config_error(format!("connections.{key}: 1 or more expected"))),
            other => Ok(other.unwrap_or(default)),
        };
        let connections = Limits {
            per_server: at_least_one("per_server", given_limits.per_server, defaults.per_server)?,
            opening: at_least_one("opening", given_limits.opening, defaults.opening)?,
            spare: given_limits.spare.unwrap_or(defaults.spare),
            ..defaults
        };
        let reuse = given_limits.reuse.map(|text| text.parse()).transpose();
        let reuse = reuse.map_err(|e| config_error(format!("connections.reuse: {e}")))?;
        let settings =
            Settings::from_json(file.settings.to_string().as_bytes()).map_err(config_error)?;
        let names = Names::new(&settings, &file.settings).map_err(config_error)?;
        // A file of the daemon gives a memory limit; two fifths of it are for request bodies, as there.
        let from_memory = limits.memory_mb.map(|mb| (mb << 20) / 5 * 2);
        let body_bytes = limits.body_bytes.or(from_memory).unwrap_or(DEFAULT_BODY_BYTES);
        Ok(FleetConfig {
            name: file.name,
            seed,
            discovery,
            known: file.known,
            begins,
            connections,
            reuse,
            membership_store: None,
            peers: file.peer_listen.map(|listen| (listen, file.peers)),
            view: None,
            settings,
            names: Arc::new(names),
            sockets: at_least("sockets", limits.sockets.unwrap_or(DEFAULT_SOCKETS), 1)?,
            open: at_least("open", limits.open.unwrap_or(DEFAULT_OPEN_REQUESTS), 1)?,
            body_bytes: at_least("body_bytes", body_bytes, 64 << 10)?,
            budget: None,
            given,
        })
    }

    /// Makes the fleet share `budget` with other fleets, instead of its own limits.
    pub fn with_budget(mut self, budget: &Budget) -> FleetConfig {
        self.budget = Some(budget.clone());
        self
    }

    /// Adds the product's own file: the snapshot of the list of servers, limits on connections, the
    /// handling of slow servers and, with [`FleetBuilder::peers`], the view of the fleet. The section
    /// `[log]` is ignored; logging is up to the host. Limits in the file override those set in code.
    ///
    /// # Errors
    /// Names the file, and each wrong key with its line.
    pub fn with_product(mut self, path: impl AsRef<Path>) -> Result<FleetConfig, OpenError> {
        let product = ProductConfig::from_file(path.as_ref());
        let product = product.map_err(|e| OpenError::Config(e.to_string()))?;
        let membership_store =
            product::membership_store_config(&product, &self.name).map_err(OpenError::Config)?;
        self.membership_store = membership_store;
        self.view = product::fleet_settings(&product);
        self.connections = product::connection_limits(&product, self.connections);
        self.reuse = product::configured_reuse(&product).or(self.reuse);
        product::apply_decision_settings(&product, &mut self.settings);
        // Another opening of the fleet must have the same file.
        self.given["product"] = format!("{product:?}").into();
        Ok(self)
    }

    /// The fleet's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first key whose value differs in another configuration, with its values here and there.
    pub(crate) fn difference(&self, other: &FleetConfig) -> Option<(String, String, String)> {
        let found = difference("", &self.given, &other.given);
        let shared = |c: &FleetConfig| if c.budget.is_some() { "shared" } else { "its own" };
        found.or_else(|| match (&self.budget, &other.budget) {
            (None, None) => None,
            (Some(a), Some(b)) if a.is_same(b) => None,
            (Some(_), Some(_)) => Some(("budget".into(), "one".into(), "another one".into())),
            _ => Some(("budget".into(), shared(self).into(), shared(other).into())),
        })
    }
}

/// A random seed, most likely unique to this process.
pub(crate) fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
