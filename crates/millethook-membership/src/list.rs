//! Server lists in the format of discovery.

use std::net::SocketAddr;

use coppercart::api::{Health, ServerId};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};

/// A server list, or changes to one, as discovery writes it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is the full list; if not, it holds only changes.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

impl List {
    /// Applies later changes to this list: their entries replace those of the same servers.
    pub fn overlay(&mut self, changes: &List) {
        let changed: FxHashSet<&str> = changes.hosts.iter().map(|h| h.host.as_str()).collect();
        self.hosts.retain(|host| !changed.contains(host.host.as_str()));
        self.hosts.extend_from_slice(&changes.hosts);
        self.seq = changes.seq;
    }
}

/// One server in a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// The server's name, which is the same at every sidecar.
    pub host: String,
    /// The address at which this process reaches the server. May be None for a server that has left.
    pub dial: Option<SocketAddr>,
    /// The server's zone.
    #[serde(default)]
    pub site: String,
    /// The server's machine type.
    #[serde(default)]
    pub class: String,
    /// The server's cell.
    #[serde(default)]
    pub block: u16,
    /// The state of the server's process.
    pub health: ListedState,
    /// The server's relative capacity, as the settings define it.
    #[serde(default = "one")]
    pub share: f32,
    /// When the server last started, in Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// The state of a server's process in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The server takes requests.
    Active,
    /// The server finishes its current requests and takes no new ones.
    Leaving,
    /// The server has left.
    Left,
    /// A state that this version does not know. The server gets no new requests. Without this variant, one such entry
    /// would make the whole list unreadable.
    #[serde(other)]
    Unknown,
}

fn one() -> f32 {
    1.0
}

/// Hashes bytes with FNV-1a. The result is the same in every build and at every sidecar.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

impl Host {
    /// The balancer's identifier of this server.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.host.as_bytes()))
    }

    /// The state of the server's process in the balancer's terms.
    pub fn state(&self) -> Health {
        match self.health {
            ListedState::Active => Health::Ready,
            ListedState::Leaving | ListedState::Unknown => Health::Draining,
            ListedState::Left => Health::Gone,
        }
    }

    /// Whether the server has left.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, ListedState::Left)
    }
}
