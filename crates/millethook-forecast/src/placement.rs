//! The assignment of items to servers.

mod check;

use millethook_machine::hash::{mix, weight};

/// Number of key slices in a map.
pub const SLICES: usize = 256;

/// A server, as far as placement is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Server {
    /// Hash of the server's name.
    pub id: u64,
    /// The server's zone.
    pub zone: u8,
}

/// How the server of an item is chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Assignment {
    /// Each item has a subset of this size, chosen by weight, and each access goes to a random server of it. This
    /// models a sidecar's connections.
    Subset(usize),
    /// Each slice of the items has one server, given by its index in the list, and each access goes there.
    Map(Vec<u16>),
}

/// A placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The servers, in any order.
    pub servers: Vec<Server>,
    /// How the server of an item is chosen.
    pub assignment: Assignment,
}

impl Placement {
    /// Assigns slices by weight (rendezvous hashing), so that a change of the servers moves as few slices as
    /// possible.
    pub fn by_weight(servers: Vec<Server>) -> Placement {
        let best = |slice: u64| {
            let weights = servers.iter().enumerate().map(|(n, s)| (weight(slice, s.id), n));
            weights.max().map_or(0, |(_, n)| n as u16)
        };
        let map = (0..SLICES as u64).map(best).collect();
        Placement { assignment: Assignment::Map(map), servers }
    }

    /// Returns the indexes of the servers that may get an item, the preferred one first.
    pub fn servers_for(&self, item: u64) -> Vec<usize> {
        if self.servers.is_empty() {
            return Vec::new();
        }
        match &self.assignment {
            Assignment::Subset(size) => {
                let mut all: Vec<(u64, usize)> =
                    self.servers.iter().enumerate().map(|(n, s)| (weight(item, s.id), n)).collect();
                all.sort_unstable_by(|a, b| b.cmp(a));
                all.truncate((*size).max(1));
                all.into_iter().map(|(_, n)| n).collect()
            }
            Assignment::Map(map) => {
                let slice = (mix(item ^ 0x51) % map.len().max(1) as u64) as usize;
                let index = map.get(slice).map_or(0, |n| usize::from(*n));
                vec![index.min(self.servers.len() - 1)]
            }
        }
    }
}
