//! Read-only views of the decision state for operators.

mod check;
#[cfg(feature = "explore")]
mod snapshot;

use super::*;

/// Server counts as the decisions see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers on the list, in any state.
    pub listed: usize,
    /// Listed servers that currently get no ordinary requests: they drain or are unhealthy.
    pub avoided: usize,
}

impl Balancer {
    /// Counts the listed and the avoided servers. Looks at every server.
    pub fn server_counts(&self) -> ServerCounts {
        let listed = self.servers.iter().filter(|s| s.health != Health::Gone);
        let avoided = |s: &&Server| s.health != Health::Ready || !self.healthy(s);
        ServerCounts { listed: listed.clone().count(), avoided: listed.filter(avoided).count() }
    }

    /// Returns the number of requests without a final answer or with open attempts.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether requests of the class at this index are open.
    pub fn uses_class(&self, class: usize) -> bool {
        self.requests.values().any(|request| request.class == class)
    }
}
