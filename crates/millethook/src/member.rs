//! Lets the application add and remove servers while the fleet runs.

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
    /// A server with its name, which must be the same in all processes that use the fleet, and its address.
    pub fn new(name: impl Into<String>, address: SocketAddr) -> Member {
        Member { name: name.into(), address, zone: String::new() }
    }

    /// The server's zone.
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

/// Lists from code have the same effect as those of discovery; if the fleet also has discovery, the later
/// list applies. A server that stays listed keeps its statistics and connections. A server that is no
/// longer listed gets nothing new and finishes its open requests. These methods return before the engine
/// has applied the list.
impl Fleet {
    /// Replaces the list in force by this one.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn update(&self, members: impl IntoIterator<Item = Member>) -> Result<(), Closed> {
        let hosts = members.into_iter().map(|m| m.entry(ListedState::Active)).collect();
        self.send_list(true, hosts)
    }

    /// Adds a server or changes its address.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn insert(&self, member: Member) -> Result<(), Closed> {
        self.send_list(false, vec![member.entry(ListedState::Active)])
    }

    /// Sends nothing new to a server that is about to end. It stays on the list.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn drain_member(&self, member: Member) -> Result<(), Closed> {
        self.send_list(false, vec![member.entry(ListedState::Leaving)])
    }

    /// Removes a server from the list by its name.
    ///
    /// # Errors
    /// The fleet has been closed.
    pub fn remove(&self, name: &str) -> Result<(), Closed> {
        let no_address = SocketAddr::from(([0, 0, 0, 0], 0));
        self.send_list(false, vec![Member::new(name, no_address).entry(ListedState::Left)])
    }

    fn send_list(&self, whole: bool, hosts: Vec<Host>) -> Result<(), Closed> {
        let list = List { seq: 0, whole, hosts };
        self.command(Command::Servers(list)).map_err(|_| Closed)
    }
}
