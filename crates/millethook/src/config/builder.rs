//! A fleet's configuration, put together in code.

use std::net::SocketAddr;
use std::time::Duration;

use millethook_connect::Begins;
use millethook_connect::pool::Reuse;
use serde_json::{Value, json};

use super::{ClassConfig, FleetConfig};
use crate::error::OpenError;

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

    /// For how many requests a connection is used ([`Reuse::Proven`] if not set: no caller gets an answer that was made for
    /// another one, at a handshake for two requests). [`Reuse::Compared`] costs next to none where answers differ, and
    /// misses a second answer with another body. [`Reuse::Unlimited`] trusts servers where answers do not differ.
    pub fn reuse(mut self, reuse: Reuse) -> FleetBuilder {
        self.connections["reuse"] = reuse.to_string().into();
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
