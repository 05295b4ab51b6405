//! What the decisions show of themselves to operators. Nothing here changes anything.

mod check;
#[cfg(feature = "explore")]
mod snapshot;

use super::*;

/// Servers as the decisions see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// On the list, whatever they do.
    pub listed: usize,
    /// Of these, those that get no ordinary request at present: they drain, or give no sign of life.
    pub avoided: usize,
}

impl Balancer {
    /// How many servers are listed and avoided now. Costs a look at each.
    pub fn server_counts(&self) -> ServerCounts {
        let listed = self.servers.iter().filter(|s| s.health != Health::Gone);
        let avoided = |s: &&Server| s.health != Health::Ready || !self.healthy(s);
        ServerCounts { listed: listed.clone().count(), avoided: listed.filter(avoided).count() }
    }

    /// How many requests have no end yet, or attempts whose outcome is awaited.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether requests of the class at this place are open.
    pub fn uses_class(&self, class: usize) -> bool {
        self.requests.values().any(|request| request.class == class)
    }
}
