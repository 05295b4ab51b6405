//! What a fleet is: its servers, its classes, its limits.
//!
//! One form lies beneath all others, the object that the daemon reads from `LB_CONFIG`; a builder
//! writes it, a file holds it, and two fleets are the same if theirs is.

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

/// Connections to servers, where the configuration says nothing.
const SOCKETS: usize = 256;
/// Requests that may be open at once, where it says nothing.
const OPEN: usize = 1024;
/// Bytes of bodies of requests, where it says nothing.
const BODY_BYTES: usize = 16 << 20;

/// A fleet's configuration, checked.
#[derive(Clone)]
pub struct FleetConfig {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) discovery: Option<SocketAddr>,
    pub(crate) known: Option<List>,
    pub(crate) begins: Begins,
    pub(crate) connections: Limits,
    /// None: as the settings price a handshake.
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
    /// All of it as it was given, for the comparison with another one.
    given: Value,
}

impl std::fmt::Debug for FleetConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("FleetConfig").field(&self.given).finish()
    }
}

impl FleetConfig {
    /// Begins a configuration in code.
    pub fn builder(name: &str) -> FleetBuilder {
        FleetBuilder::new(name)
    }

    /// Reads a file of the daemon's form.
    ///
    /// # Errors
    /// Names the file, the key and what was expected.
    pub fn from_file(path: impl AsRef<Path>) -> Result<FleetConfig, OpenError> {
        let path = path.as_ref();
        let at = |e: &dyn std::fmt::Display| OpenError::Config(format!("{}: {e}", path.display()));
        let text = std::fs::read_to_string(path).map_err(|e| at(&e))?;
        FleetConfig::from_json(&text).map_err(|e| at(&e))
    }

    /// Reads the daemon's form from text.
    ///
    /// # Errors
    /// Names the key and what was expected.
    pub fn from_json(text: &str) -> Result<FleetConfig, OpenError> {
        let given = serde_json::from_str(text).map_err(|e| OpenError::Config(e.to_string()))?;
        FleetConfig::from_value(given)
    }

    fn from_value(given: Value) -> Result<FleetConfig, OpenError> {
        let wrong = |text: String| OpenError::Config(text);
        let file: File = serde_json::from_value(given.clone()).map_err(|e| wrong(e.to_string()))?;
        if file.name.is_empty() {
            return Err(wrong("name: one that is not empty expected".into()));
        }
        let address = |text: String| {
            let parsed = text.parse();
            parsed.map_err(|_| {
                wrong(format!("discovery: an address and a port expected, not {text:?}"))
            })
        };
        let discovery = file.discovery.map(address).transpose()?;
        let seed = match &file.seed {
            Some(text) => u64::from_str_radix(text, 16).map_err(|_| {
                wrong(format!("seed: 16 hexadecimal digits expected, not {text:?}"))
            })?,
            None => random(),
        };
        if discovery.is_none() && file.known.as_ref().is_none_or(|list| list.hosts.is_empty()) {
            return Err(wrong("discovery: expected, or servers in its place".into()));
        }
        let limits = file.limits;
        let at_least = |key: &str, value: usize, least: usize| {
            let text = format!("limits.{key}: {least} or more expected");
            if value < least { Err(wrong(text)) } else { Ok(value) }
        };
        let begins = file.begins.map_or(Ok(Begins::Head), |text| text.parse());
        let begins = begins.map_err(|e| wrong(format!("begins: {e}")))?;
        let (given_ones, usual) = (file.connections, Limits::default());
        let one = |key: &str, value: Option<usize>, usual: usize| match value {
            Some(0) => Err(wrong(format!("connections.{key}: 1 or more expected"))),
            other => Ok(other.unwrap_or(usual)),
        };
        let connections = Limits {
            per_server: one("per_server", given_ones.per_server, usual.per_server)?,
            opening: one("opening", given_ones.opening, usual.opening)?,
            spare: given_ones.spare.unwrap_or(usual.spare),
            ..usual
        };
        let reuse = given_ones.reuse.map(|text| text.parse()).transpose();
        let reuse = reuse.map_err(|e| wrong(format!("connections.reuse: {e}")))?;
        let settings = Settings::from_json(file.settings.to_string().as_bytes()).map_err(wrong)?;
        let names = Names::new(&settings, &file.settings).map_err(wrong)?;
        // Of a file that is the daemon's, too: the share of its memory that is for bodies there.
        let of_memory = limits.memory_mb.map(|mb| (mb << 20) / 5 * 2);
        let body_bytes = limits.body_bytes.or(of_memory).unwrap_or(BODY_BYTES);
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
            sockets: at_least("sockets", limits.sockets.unwrap_or(SOCKETS), 1)?,
            open: at_least("open", limits.open.unwrap_or(OPEN), 1)?,
            body_bytes: at_least("body_bytes", body_bytes, 64 << 10)?,
            budget: None,
            given,
        })
    }

    /// Has the fleet share `budget` with others in place of limits of its own.
    pub fn within(mut self, budget: &Budget) -> FleetConfig {
        self.budget = Some(budget.clone());
        self
    }

    /// Adds what the product's own file says: how the list of servers is kept, limits on connections, what is
    /// done about slow servers, and the view of the fleet, where there are [`FleetBuilder::peers`]. `[log]` is the host's affair and passed over. Limits that the file names go
    /// before those set in code.
    ///
    /// # Errors
    /// Names the file, and each key that is wrong with its line.
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
        // Another opening of the fleet has to have the same file.
        self.given["product"] = format!("{product:?}").into();
        Ok(self)
    }

    /// The fleet's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first key in which another configuration differs, with its value here and there.
    pub(crate) fn difference(&self, other: &FleetConfig) -> Option<(String, String, String)> {
        let found = difference("", &self.given, &other.given);
        let shared = |c: &FleetConfig| if c.budget.is_some() { "shared" } else { "its own" };
        found.or_else(|| match (&self.budget, &other.budget) {
            (None, None) => None,
            (Some(a), Some(b)) if a.is(b) => None,
            (Some(_), Some(_)) => Some(("budget".into(), "one".into(), "another one".into())),
            _ => Some(("budget".into(), shared(self).into(), shared(other).into())),
        })
    }
}

/// A seed that no other process has, most likely.
pub(crate) fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

#[cfg(test)]
#[path = "../tests/unit/config.rs"]
mod tests;
