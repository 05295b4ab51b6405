//! What a fleet is: its servers, its classes, its limits.
//!
//! One form lies beneath all others, the object that the daemon reads from `LB_CONFIG`; a builder
//! writes it, a file holds it, and two fleets are the same if theirs is.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use coppercart::settings::Settings;
use millethook_config::Product;
use millethook_connect::Begins;
use millethook_connect::pool::Limits;
use millethook_engine::fleet::FleetSettings;
use millethook_engine::keeper::KeeperConfig;
use millethook_engine::list::List;
use millethook_engine::names::Names;
use millethook_engine::product;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::budget::Budget;
use crate::error::OpenError;

/// Connections to servers, where the configuration says nothing.
const SOCKETS: usize = 256;
/// Requests that may be open at once, where it says nothing.
const OPEN: usize = 1024;
/// Bytes of bodies of requests, where it says nothing.
const BODY_BYTES: usize = 16 << 20;

/// Whether a request may be sent again once it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Sent twice, it does no harm. Its method is `GET`.
    Safe,
    /// It carries an idempotency key by which servers drop repeats for a time. Its method is `POST`.
    Keyed,
    /// Sent twice, it takes effect twice. Its method is `POST`.
    Unsafe,
}

/// A class of requests: what they are worth, and how they may be treated.
#[derive(Clone, Debug)]
pub struct ClassConfig(Value);

impl ClassConfig {
    fn new(name: &str, repeat: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        let (aim, deadline) = (aim.as_micros() as u64, deadline.as_micros() as u64);
        ClassConfig(json!({"name": name, "aim": aim, "deadline": deadline, "repeat": repeat}))
    }

    /// Requests that do no harm when they are sent twice. Answers within `aim` count in full; no
    /// caller waits for longer than `deadline`.
    pub fn safe(name: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        ClassConfig::new(name, "idempotent", aim, deadline)
    }

    /// Requests with an idempotency key, by which servers drop repeats for `window`.
    pub fn keyed(name: &str, aim: Duration, deadline: Duration, window: Duration) -> ClassConfig {
        let mut class = ClassConfig::new(name, "deduplicated", aim, deadline);
        class.0["window"] = (window.as_micros() as u64).into();
        class
    }

    /// Requests that must not be sent twice.
    pub fn at_most_once(name: &str, aim: Duration, deadline: Duration) -> ClassConfig {
        ClassConfig::new(name, "at_most_once", aim, deadline)
    }

    /// What an answer in time is worth beside those of other classes (1 if not set). In an overload
    /// the class that earns least for its work is turned away first.
    pub fn worth(mut self, worth: f64) -> ClassConfig {
        self.0["credit"] = worth.into();
        self
    }

    /// Answers may be long: they are passed on as they come.
    pub fn streaming(mut self) -> ClassConfig {
        self.0["streaming"] = true.into();
        self
    }

    /// Only servers of one zone drop each other's repeats (all do if not set).
    pub fn dedup_by_zone(mut self) -> ClassConfig {
        self.0["dedupScope"] = "zone".into();
        self
    }
}

/// A fleet's configuration, checked.
#[derive(Clone)]
pub struct FleetConfig {
    pub(crate) name: String,
    pub(crate) seed: u64,
    pub(crate) discovery: Option<SocketAddr>,
    pub(crate) known: Option<List>,
    pub(crate) begins: Begins,
    pub(crate) connections: Limits,
    pub(crate) keeper: Option<KeeperConfig>,
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

/// The file's form. Keys that only the daemon needs (`listen`) are passed over.
#[derive(Deserialize)]
struct File {
    name: String,
    discovery: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    limits: FileLimits,
    known: Option<List>,
    begins: Option<String>,
    #[serde(default)]
    connections: Connections,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    settings: Value,
}

/// What bounds connections to one server.
#[derive(Deserialize, Default)]
struct Connections {
    per_server: Option<usize>,
    opening: Option<usize>,
    spare: Option<usize>,
}

#[derive(Deserialize, Default)]
struct FileLimits {
    sockets: Option<usize>,
    open: Option<usize>,
    body_bytes: Option<usize>,
    memory_mb: Option<usize>,
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
            keeper: None,
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
        let product = Product::from_file(path.as_ref());
        let product = product.map_err(|e| OpenError::Config(e.to_string()))?;
        let keeper = product::keeper(&product, &self.name).map_err(OpenError::Config)?;
        self.keeper = keeper;
        self.view = product::fleet(&product);
        self.connections = product::connections(&product, self.connections);
        product::retune(&product, &mut self.settings);
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

/// The first place in which two values differ.
fn difference(at: &str, a: &Value, b: &Value) -> Option<(String, String, String)> {
    match (a, b) {
        (Value::Object(x), Value::Object(y)) => {
            let keys = x.keys().chain(y.keys().filter(|k| !x.contains_key(*k)));
            let (dot, null) = (if at.is_empty() { "" } else { "." }, Value::Null);
            keys.filter_map(|key| {
                let of = |side: &serde_json::Map<String, Value>| side.get(key).cloned();
                let (left, right) = (of(x), of(y));
                let (left, right) =
                    (left.as_ref().unwrap_or(&null), right.as_ref().unwrap_or(&null));
                difference(&format!("{at}{dot}{key}"), left, right)
            })
            .next()
        }
        (Value::Array(x), Value::Array(y)) if x.len() == y.len() => {
            let pairs = x.iter().zip(y).enumerate();
            pairs.filter_map(|(i, (x, y))| difference(&format!("{at}[{i}]"), x, y)).next()
        }
        _ if a == b => None,
        _ => Some((at.to_owned(), a.to_string(), b.to_string())),
    }
}

/// A seed that no other process has, most likely.
pub(crate) fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// Puts a [`FleetConfig`] together in code.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    name: String,
    discovery: Option<SocketAddr>,
    seed: Option<u64>,
    peers: Option<(SocketAddr, Vec<SocketAddr>)>,
    hosts: Vec<Value>,
    classes: Vec<Value>,
    tenants: Vec<Value>,
    zones: Vec<String>,
    zone: String,
    limits: Value,
    connections: Value,
    begins: Option<Begins>,
    settings: Value,
}

impl FleetBuilder {
    fn new(name: &str) -> FleetBuilder {
        let settings = json!({
            "goal": {"whole": 1.0},
            "instances": 1,
            "me": 0,
            "limits": {"cancel": true, "connIdle": 10_000_000, "connectTimeout": 250_000,
                       "maxAttempts": 4, "mayDuplicate": true, "retryAfter": true,
                       "maxRetryAfter": 2_000_000},
            "report": {"columns": ["q", "rif"], "how": "piggyback"},
            "failover": {"copyAtAim": true, "slowExponent": 6.0},
            "rules": {"answerSlack": 8000, "cold": 20_000_000, "coldShare": 0.2,
                      "fallMultiple": 3.0, "mustAskIn": 10_000_000, "stopSendingWithin": 500_000,
                      "tipAfter": 2_000_000},
        });
        FleetBuilder {
            name: name.to_owned(),
            discovery: None,
            seed: None,
            peers: None,
            hosts: Vec::new(),
            classes: Vec::new(),
            tenants: Vec::new(),
            zones: vec![String::new()],
            zone: String::new(),
            limits: json!({}),
            connections: json!({}),
            begins: None,
            settings,
        }
    }

    /// Where discovery is; it keeps the list of servers.
    pub fn discovery(mut self, at: SocketAddr) -> FleetBuilder {
        self.discovery = Some(at);
        self
    }

    /// A server of the fleet. Without discovery these are all there are; with it, they are used until
    /// it has answered.
    pub fn server(self, name: &str, at: SocketAddr) -> FleetBuilder {
        self.server_in("", name, at)
    }

    /// A server that stands in this zone.
    pub fn server_in(mut self, zone: &str, name: &str, at: SocketAddr) -> FleetBuilder {
        if !self.zones.iter().any(|z| z == zone) {
            self.zones.push(zone.to_owned());
        }
        self.hosts.push(json!({
            "host": name, "dial": at.to_string(), "site": zone, "health": "active",
        }));
        self
    }

    /// The zone of this process.
    pub fn zone(mut self, zone: &str) -> FleetBuilder {
        self.zone = zone.to_owned();
        self
    }

    /// A class of requests. It is the first part of their paths, unless a request says otherwise.
    pub fn class(mut self, class: ClassConfig) -> FleetBuilder {
        self.classes.push(class.0);
        self
    }

    /// A tenant. Once there is one, each request has to name its own.
    pub fn tenant(mut self, name: &str) -> FleetBuilder {
        self.tenants.push(json!({"name": name}));
        self
    }

    /// The most connections to servers (256 if not set).
    pub fn sockets(mut self, most: usize) -> FleetBuilder {
        self.limits["sockets"] = most.into();
        self
    }

    /// The most requests that may be open at once (1,024 if not set); more are refused at once.
    pub fn open(mut self, most: usize) -> FleetBuilder {
        self.limits["open"] = most.into();
        self
    }

    /// The bytes that bodies of requests may take together (16 MiB if not set); more wait.
    pub fn body_bytes(mut self, most: usize) -> FleetBuilder {
        self.limits["body_bytes"] = most.into();
        self
    }

    /// The other instances of the fleet, this one among them: where their datagrams arrive here, the own number
    /// and the address of each by its number. They are told of nothing unless the product's file has `[fleet]`
    /// ([`FleetConfig::with_product`]); then they keep a view of who is alive.
    pub fn peers(mut self, listen: SocketAddr, me: u32, peers: &[SocketAddr]) -> FleetBuilder {
        self.peers = Some((listen, peers.to_vec()));
        self.settings["me"] = me.into();
        self.settings["instances"] = peers.len().into();
        self.settings["limits"]["mayTell"] = true.into();
        self
    }

    /// The seed of random numbers, for runs that are to be alike (a random one if not set).
    pub fn seed(mut self, seed: u64) -> FleetBuilder {
        self.seed = Some(seed);
        self
    }

    /// The most attempts of one request (4 if not set).
    pub fn attempts(mut self, most: usize) -> FleetBuilder {
        self.settings["limits"]["maxAttempts"] = most.into();
        self
    }

    /// How long a connection may take to come up (250 ms if not set).
    pub fn connect_timeout(mut self, timeout: Duration) -> FleetBuilder {
        self.settings["limits"]["connectTimeout"] = (timeout.as_micros() as u64).into();
        self
    }

    /// When servers may begin with a request ([`Begins::Head`] if not set: any HTTP server).
    /// [`Begins::Whole`] is a promise of all servers of the fleet; where one does not keep it, what
    /// must not run twice may.
    pub fn begins(mut self, begins: Begins) -> FleetBuilder {
        self.begins = Some(begins);
        self
    }

    /// Whether a safe or keyed request gets another attempt once its aim is over and its server has said nothing
    /// since the request went there (yes, if not set): a server that accepts and never answers costs an aim, not
    /// the request. Such attempts are within the retry budget (a tenth of the requests), and none is made in an
    /// overload. A request that must not run twice is never sent again for this.
    pub fn copy_at_aim(mut self, copy: bool) -> FleetBuilder {
        self.settings["failover"]["copyAtAim"] = copy.into();
        self
    }

    /// The most connections to one server (1,024 if not set).
    pub fn connections_per_server(mut self, most: usize) -> FleetBuilder {
        self.connections["per_server"] = most.into();
        self
    }

    /// The most handshakes with one server at once (8 if not set).
    pub fn handshakes_per_server(mut self, most: usize) -> FleetBuilder {
        self.connections["opening"] = most.into();
        self
    }

    /// The most connections to one server that are opened ahead of need while use rises (0 if not
    /// set).
    pub fn spare_connections(mut self, most: usize) -> FleetBuilder {
        self.connections["spare"] = most.into();
        self
    }

    /// How long servers keep a connection at rest (10 s if not set).
    pub fn server_idle(mut self, idle: Duration) -> FleetBuilder {
        self.settings["limits"]["connIdle"] = (idle.as_micros() as u64).into();
        self
    }

    /// Checks it all.
    ///
    /// # Errors
    /// Names the key and what was expected.
    pub fn build(self) -> Result<FleetConfig, OpenError> {
        let mut zones = self.zones;
        if !zones.contains(&self.zone) {
            zones.push(self.zone.clone());
        }
        let mut settings = self.settings;
        settings["zone"] = zones.iter().position(|z| *z == self.zone).unwrap_or(0).into();
        settings["zones"] = zones.into();
        settings["classes"] = self.classes.into();
        settings["tenants"] = self.tenants.into();
        let mut config = json!({"name": self.name, "limits": self.limits,
                               "connections": self.connections, "settings": settings});
        if let Some(begins) = self.begins {
            config["begins"] = begins.to_string().into();
        }
        if let Some(at) = self.discovery {
            config["discovery"] = at.to_string().into();
        }
        if let Some(seed) = self.seed {
            config["seed"] = format!("{seed:016x}").into();
        }
        if let Some((listen, peers)) = self.peers {
            let peers: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
            config["peer_listen"] = listen.to_string().into();
            config["peers"] = peers.into();
        }
        if !self.hosts.is_empty() {
            config["known"] = json!({"seq": 0, "whole": true, "hosts": self.hosts});
        }
        FleetConfig::from_value(config)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn builder() -> FleetBuilder {
        let second = Duration::from_secs(1);
        FleetConfig::builder("f")
            .server("a", "127.0.0.1:1".parse().expect("an address"))
            .class(ClassConfig::safe("look", second / 5, second))
    }

    #[test]
    fn a_sound_configuration_builds() {
        let config = builder().zone("east").tenant("acme").build().expect("sound");
        assert_eq!((config.name(), config.sockets, config.settings.zone), ("f", SOCKETS, 1));
        assert!(config.names.tenants.contains_key("acme"));
    }

    #[test]
    fn what_is_wrong_is_named() {
        let at = |b: FleetBuilder| b.build().expect_err("unsound").to_string();
        assert!(at(FleetConfig::builder("f")).contains("discovery"));
        assert!(at(builder().sockets(0)).contains("limits.sockets"));
        assert!(at(builder().open(0)).contains("limits.open"));
        let zero = ClassConfig::safe("x", Duration::ZERO, Duration::from_secs(1));
        assert!(at(builder().class(zero)).contains("classes[1].aim"));
        let twice = ClassConfig::safe("look", Duration::from_secs(1), Duration::from_secs(1));
        assert!(at(builder().class(twice)).contains("classes[1].name"));
        let text = FleetConfig::from_json("{").expect_err("no JSON").to_string();
        assert!(text.contains("line 1"), "{text}");
        let file = FleetConfig::from_file("/nowhere/at/all").expect_err("no file").to_string();
        assert!(file.starts_with("/nowhere/at/all: "), "{file}");
    }

    #[test]
    fn the_first_difference_is_named() {
        let same = || builder().build().expect("sound");
        assert_eq!(same().difference(&same()), None);
        let other = builder().attempts(2).build().expect("sound");
        let (key, a, b) = same().difference(&other).expect("one");
        assert_eq!((key.as_str(), &*a, &*b), ("settings.limits.maxAttempts", "4", "2"));
        let more = builder().server("b", "127.0.0.1:2".parse().expect("an address"));
        let (key, ..) = same().difference(&more.build().expect("sound")).expect("one");
        assert_eq!(key, "known.hosts");
        let budget = Budget::new(4, 1 << 20);
        let (key, ..) = same().difference(&same().within(&budget)).expect("one");
        assert_eq!(key, "budget");
        assert_eq!(same().within(&budget).difference(&same().within(&budget)), None);
        let another = Budget::new(4, 1 << 20);
        assert!(same().within(&budget).difference(&same().within(&another)).is_some());
    }
}
