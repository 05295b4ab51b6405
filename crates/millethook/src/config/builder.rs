//! Builds a fleet's configuration in code.

use std::net::SocketAddr;
use std::time::Duration;

use millethook_connect::Begins;
use millethook_connect::pool::Reuse;
use serde_json::{Value, json};

use super::{ClassConfig, FleetConfig};
use crate::error::OpenError;

/// Builds a [`FleetConfig`] in code.
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
    pub(super) fn new(name: &str) -> FleetBuilder {
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

    /// Address of discovery, which provides the list of servers.
    pub fn discovery(mut self, at: SocketAddr) -> FleetBuilder {
        self.discovery = Some(at);
        self
    }

    /// Adds a server. Without discovery, these are all servers of the fleet; with it, they are used
    /// until it has answered.
    pub fn server(self, name: &str, at: SocketAddr) -> FleetBuilder {
        self.server_in("", name, at)
    }

    /// Adds a server in this zone.
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

    /// Adds a class of requests. The class of a request is the first segment of its path, unless the
    /// request names another one.
    pub fn class(mut self, class: ClassConfig) -> FleetBuilder {
        self.classes.push(class.0);
        self
    }

    /// Adds a tenant. If there are tenants, each request has to name one.
    pub fn tenant(mut self, name: &str) -> FleetBuilder {
        self.tenants.push(json!({"name": name}));
        self
    }

    /// Maximum number of connections to servers (default 256).
    pub fn sockets(mut self, most: usize) -> FleetBuilder {
        self.limits["sockets"] = most.into();
        self
    }

    /// Maximum number of open requests (default 1,024); further ones are refused immediately.
    pub fn open(mut self, most: usize) -> FleetBuilder {
        self.limits["open"] = most.into();
        self
    }

    /// Maximum number of bytes in all request bodies (default 16 MiB); further bodies wait.
    pub fn body_bytes(mut self, most: usize) -> FleetBuilder {
        self.limits["body_bytes"] = most.into();
        self
    }

    /// The instances of the fleet: the local address for datagrams, the number of this instance, and the
    /// addresses of all instances by number. They exchange datagrams only if the product's file has a
    /// section `[fleet]` ([`FleetConfig::with_product`]); then they keep a view of which are alive.
    pub fn peers(mut self, listen: SocketAddr, me: u32, peers: &[SocketAddr]) -> FleetBuilder {
        self.peers = Some((listen, peers.to_vec()));
        self.settings["me"] = me.into();
        self.settings["instances"] = peers.len().into();
        self.settings["limits"]["mayTell"] = true.into();
        self
    }

    /// Seed of the random numbers, for reproducible runs (default: a random seed).
    pub fn seed(mut self, seed: u64) -> FleetBuilder {
        self.seed = Some(seed);
        self
    }

    /// Maximum number of attempts of one request (default 4).
    pub fn attempts(mut self, most: usize) -> FleetBuilder {
        self.settings["limits"]["maxAttempts"] = most.into();
        self
    }

    /// Time limit for connecting to a server (default 250 ms).
    pub fn connect_timeout(mut self, timeout: Duration) -> FleetBuilder {
        self.settings["limits"]["connectTimeout"] = (timeout.as_micros() as u64).into();
        self
    }

    /// The point at which servers may begin to process a request (default [`Begins::Head`], which holds
    /// for any HTTP server). [`Begins::Whole`] must hold for all servers of the fleet; with a server that
    /// begins earlier, an unsafe request may run twice.
    pub fn begins(mut self, begins: Begins) -> FleetBuilder {
        self.begins = Some(begins);
        self
    }

    /// Whether a safe or keyed request gets another attempt when its aim has passed and its server has sent
    /// nothing since the request was sent (default yes). A server that accepts and never answers then
    /// delays the request by its aim rather than failing it. These attempts count against the retry
    /// budget (a tenth of the requests), and none is made in an overload. Unsafe requests get no such
    /// attempt.
    pub fn copy_at_aim(mut self, copy: bool) -> FleetBuilder {
        self.settings["failover"]["copyAtAim"] = copy.into();
        self
    }

    /// Maximum number of connections to one server (default 1,024).
    pub fn connections_per_server(mut self, most: usize) -> FleetBuilder {
        self.connections["per_server"] = most.into();
        self
    }

    /// Maximum number of concurrent handshakes with one server (default 8).
    pub fn handshakes_per_server(mut self, most: usize) -> FleetBuilder {
        self.connections["opening"] = most.into();
        self
    }

    /// Maximum number of connections to one server that are opened in advance while use rises
    /// (default 0).
    pub fn spare_connections(mut self, most: usize) -> FleetBuilder {
        self.connections["spare"] = most.into();
        self
    }

    /// When a connection is reused for further requests. With [`Reuse::Proven`], the default, no caller
    /// gets an answer made for another one, at the cost of one handshake for two requests.
    /// [`Reuse::Compared`] costs hardly any handshakes if answers differ, and misses a second answer with
    /// another body. [`Reuse::Unlimited`] trusts the servers if answers do not differ.
    pub fn reuse(mut self, reuse: Reuse) -> FleetBuilder {
        self.connections["reuse"] = reuse.to_string().into();
        self
    }

    /// How long servers keep an idle connection open (default 10 s).
    pub fn server_idle(mut self, idle: Duration) -> FleetBuilder {
        self.settings["limits"]["connIdle"] = (idle.as_micros() as u64).into();
        self
    }

    /// Checks and returns the configuration.
    ///
    /// # Errors
    /// Names the key and the expected value.
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
