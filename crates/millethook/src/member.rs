//! Servers that the application's own code tells the fleet of while it runs.

use std::net::SocketAddr;

use millethook_engine::list::{Host, List, ListedState};

use crate::fleet::Fleet;
use crate::thread::Command;

/// A server of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    name: String,
    address: SocketAddr,
    zone: String,
}

impl Member {
    /// A server by its name, which has to be the same wherever the fleet is used, and its address.
    pub fn new(name: impl Into<String>, address: SocketAddr) -> Member {
        Member { name: name.into(), address, zone: String::new() }
    }

    /// The zone in which it stands.
    pub fn zone(mut self, zone: impl Into<String>) -> Member {
        self.zone = zone.into();
        self
    }

    fn entry(self, health: ListedState) -> Host {
        Host {
            host: self.name,
            dial: Some(self.address),
            site: self.zone,
            class: String::new(),
            block: 0,
            health,
            share: 1.0,
            born_ms: 0,
        }
    }
}

/// The fleet has been closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

impl std::fmt::Display for Closed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the fleet has been closed")
    }
}

impl std::error::Error for Closed {}

/// Lists from code hold like those of discovery; where the fleet has discovery too, the later word holds. A
/// server that goes on being listed keeps what was learned of it and its connections. One that is not listed
/// any more gets nothing new, and what it has it finishes. Calls return before the engine has taken the list.
impl Fleet {
    /// Puts this list in the place of the one in force.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn update(&self, members: impl IntoIterator<Item = Member>) -> Result<(), Closed> {
        let hosts = members.into_iter().map(|m| m.entry(ListedState::Active)).collect();
        self.tell(true, hosts)
    }

    /// Adds a server, or changes where it is.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn insert(&self, member: Member) -> Result<(), Closed> {
        self.tell(false, vec![member.entry(ListedState::Active)])
    }

    /// Sends nothing new to a server, as it is about to end. It stays on the list.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn drain_member(&self, member: Member) -> Result<(), Closed> {
        self.tell(false, vec![member.entry(ListedState::Leaving)])
    }

    /// Takes a server off the list by its name.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn remove(&self, name: &str) -> Result<(), Closed> {
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        self.tell(false, vec![Member::new(name, nowhere).entry(ListedState::Left)])
    }

    fn tell(&self, whole: bool, hosts: Vec<Host>) -> Result<(), Closed> {
        let list = List { seq: 0, whole, hosts };
        self.command(Command::Servers(list)).map_err(|_| Closed)
    }
}
