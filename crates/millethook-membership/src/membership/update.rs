//! Changes that are passed on to the balancer.

use crate::list::Host;

/// Servers that have changed, or all servers. An empty update need not be passed on.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Whether `hosts` are all servers. If not, only these servers have changed.
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

impl Update {
    pub(super) fn changes(hosts: Vec<Host>) -> Update {
        Update { whole: false, hosts }
    }

    /// Whether nothing has changed.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.hosts.is_empty()
    }
}
