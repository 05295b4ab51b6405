//! Lists of servers, as discovery writes them.

use std::net::SocketAddr;

use coppercart::api::{Health, ServerId};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};

/// A list of servers, or what changed in it, as discovery writes it.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct List {
    /// The version of the list.
    pub seq: u64,
    /// Whether this is all of it.
    pub whole: bool,
    /// The entries.
    pub hosts: Vec<Host>,
}

impl List {
    /// Adds changes that came after this list: their entries take the place of those of the same servers.
    pub fn overlay(&mut self, changes: &List) {
        let changed: FxHashSet<&str> = changes.hosts.iter().map(|h| h.host.as_str()).collect();
        self.hosts.retain(|host| !changed.contains(host.host.as_str()));
        self.hosts.extend_from_slice(&changes.hosts);
        self.seq = changes.seq;
    }
}

/// One server of a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// The name, the same at every sidecar.
    pub host: String,
    /// Its address for this process; None is allowed for a server that has left.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// The state of its process.
    pub health: ListedState,
    /// Its relative capacity, as the settings define it.
    #[serde(default = "one")]
    pub share: f32,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// The state of a server's process in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It takes requests.
    Active,
    /// It finishes the requests that it has and takes no new ones.
    Leaving,
    /// It has left.
    Left,
    /// A state that this version does not know. Its server gets no new requests. Without this variant one such entry
    /// would make the whole list unreadable.
    #[serde(other)]
    Unknown,
}

fn one() -> f32 {
    1.0
}

/// The same number for the same bytes in every build and at every sidecar (FNV-1a).
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

    /// The state of its process in the balancer's terms.
    pub fn state(&self) -> Health {
        match self.health {
            ListedState::Active => Health::Ready,
            ListedState::Leaving | ListedState::Unknown => Health::Draining,
            ListedState::Left => Health::Gone,
        }
    }

    /// Whether it has left.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, ListedState::Left)
    }
}
