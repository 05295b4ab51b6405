//! Invariants of a placement.

use std::collections::BTreeSet;

use millethook_machine::Violation;

use super::{Assignment, Placement};

/// Number of items whose servers are checked.
const ITEMS: u64 = 64;

impl Placement {
    /// Checks every invariant of the placement.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        let ids: BTreeSet<u64> = self.servers.iter().map(|server| server.id).collect();
        rule(ids.len() == self.servers.len(), "a server is in a placement once", &|| {
            format!("{} names, {} servers", ids.len(), self.servers.len())
        })?;
        if let Assignment::Map(map) = &self.assignment {
            let outside = map.iter().find(|place| usize::from(**place) >= self.servers.len());
            rule(outside.is_none(), "a slice is assigned to a server of the list", &|| {
                format!("{outside:?} of {}", self.servers.len())
            })?;
        }
        for item in 0..ITEMS {
            let of = self.servers_for(item);
            rule(of.is_empty() == self.servers.is_empty(), "an item has a server", &|| {
                format!("{item}: {of:?}")
            })?;
            let places: BTreeSet<&usize> = of.iter().collect();
            rule(
                places.len() == of.len() && of.iter().all(|place| *place < self.servers.len()),
                "the servers of an item are distinct and in the list",
                &|| format!("{item}: {of:?}"),
            )?;
        }
        Ok(())
    }
}
