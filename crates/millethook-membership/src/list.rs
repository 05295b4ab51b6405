//! Lists of servers, as discovery writes them.

use std::net::SocketAddr;

use coppercart::api::{Health, ServerId};
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

/// One server of a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Host {
    /// The name, the same at every sidecar.
    pub host: String,
    /// Where it listens for this sidecar; one that is gone need not say.
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
    /// What its process does.
    pub health: Listed,
    /// Its power; the settings tell what it means.
    #[serde(default = "one")]
    pub share: f32,
    /// When it last started, Unix time in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: u64,
}

/// What a list says of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Listed {
    /// It takes requests.
    Active,
    /// It finishes what it has, and wants nothing new.
    Leaving,
    /// It is gone.
    Left,
    /// A word that is not known here. Danger: one such entry would void every list that holds it;
    /// its server gets nothing new, and all others are as the list says.
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
    /// The module's name for it.
    pub fn id(&self) -> ServerId {
        ServerId(stable_hash(self.host.as_bytes()))
    }

    /// What the module is told of its process.
    pub fn state(&self) -> Health {
        match self.health {
            Listed::Active => Health::Ready,
            Listed::Leaving | Listed::Unknown => Health::Draining,
            Listed::Left => Health::Gone,
        }
    }

    /// Whether it has left for good.
    pub fn is_gone(&self) -> bool {
        matches!(self.health, Listed::Left)
    }
}
