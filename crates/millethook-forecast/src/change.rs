//! Changes of placement.

use crate::mutant::{self, Mutant};
use crate::placement::{Assignment, Placement, Server};

/// A change of placement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change; the present placement continues.
    Nothing,
    /// A server is added.
    Added(Server),
    /// A server's process is replaced by a new one without warm state.
    Replaced(u64),
    /// Several servers are replaced.
    ManyReplaced(Vec<u64>),
    /// A server is removed.
    Removed(u64),
    /// All servers of a zone are removed.
    ZoneLost(u8),
    /// The subset size changes.
    SubsetSize(usize),
    /// The slices are mapped to other servers.
    Map(Vec<u16>),
}

/// The reason why a change does not apply to a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidChange {
    /// The placement has no server with this id, zone or index.
    UnknownServer,
    /// The server to add is already in the placement.
    AlreadyPresent,
    /// No server would remain.
    NoServerLeft,
    /// The placement has no subsets, or no map.
    WrongKind,
}

impl Change {
    /// Whether the map assigns each slice to a server of the placement.
    fn is_map_of(map: &[u16], placement: &Placement) -> bool {
        let servers = placement.servers.len();
        let within = map.iter().all(|place| usize::from(*place) < servers);
        !map.is_empty() && within || mutant::is(Mutant::AnyMap)
    }

    /// Returns the placement after the change, and the ids of the servers without warm state.
    ///
    /// # Errors
    /// The change does not apply to this placement.
    pub fn apply(&self, before: &Placement) -> Result<(Placement, Vec<u64>), InvalidChange> {
        let mut after = before.clone();
        let known = |id: &u64| before.servers.iter().any(|s| s.id == *id);
        let mut cold = Vec::new();
        match self {
            Change::Nothing => {}
            Change::Added(server) if known(&server.id) && !mutant::is(Mutant::AddedTwice) => {
                return Err(InvalidChange::AlreadyPresent);
            }
            Change::Added(server) => {
                after.servers.push(*server);
                cold.push(server.id);
            }
            Change::Replaced(id) => cold.push(*id),
            Change::ManyReplaced(ids) => cold.extend_from_slice(ids),
            Change::Removed(id) => after.servers.retain(|s| s.id != *id),
            Change::ZoneLost(zone) => after.servers.retain(|s| s.zone != *zone),
            Change::SubsetSize(size) => match &mut after.assignment {
                Assignment::Subset(of) => *of = *size,
                Assignment::Map(_) => return Err(InvalidChange::WrongKind),
            },
            Change::Map(map) if !Change::is_map_of(map, before) => {
                let other = matches!(before.assignment, Assignment::Subset(_));
                return Err(if other {
                    InvalidChange::WrongKind
                } else {
                    InvalidChange::UnknownServer
                });
            }
            Change::Map(map) => match &mut after.assignment {
                Assignment::Map(of) => of.clone_from(map),
                Assignment::Subset(_) => return Err(InvalidChange::WrongKind),
            },
        }
        let replaced = matches!(self, Change::Replaced(_) | Change::ManyReplaced(_));
        let same = after.servers.len() == before.servers.len();
        if replaced && !cold.iter().all(known)
            || matches!(self, Change::Removed(_) | Change::ZoneLost(_)) && same
        {
            return Err(InvalidChange::UnknownServer);
        }
        if after.servers.is_empty() {
            return Err(InvalidChange::NoServerLeft);
        }
        // A map holds indexes into the server list. If the list has changed, slices are assigned by weight again.
        if !same && matches!(after.assignment, Assignment::Map(_)) {
            after = Placement::by_weight(after.servers);
        }
        Ok((after, cold))
    }
}
