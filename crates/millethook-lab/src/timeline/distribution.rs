//! `[distribution]`: distribution of configuration documents while the fleet runs.

use serde::{Deserialize, Serialize};

/// How documents are distributed.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Distribution {
    /// Number of control nodes, which are the first sidecars; 0: no distribution.
    pub control_nodes: usize,
    /// Number of control nodes, from the first, that may be the writer; 0: all.
    pub writers: usize,
    /// Number of regions; zones are assigned to them round-robin.
    pub regions: usize,
    /// Number of control nodes, from the first, that poll discovery and publish its list, which all other sidecars
    /// take from them; 0: each sidecar polls discovery.
    pub lists_from: usize,
    /// Additional lines of `[distribution]` in each product configuration file.
    pub product: String,
}

impl Default for Distribution {
    fn default() -> Distribution {
        Distribution {
            control_nodes: 0,
            writers: 0,
            regions: 1,
            lists_from: 0,
            product: String::new(),
        }
    }
}

impl Distribution {
    /// Whether a member may be the writer.
    pub fn may_write(&self, member: usize) -> bool {
        let writers = if self.writers == 0 { self.control_nodes } else { self.writers };
        member < writers.min(self.control_nodes)
    }

    /// Whether a member takes the list of servers from the control nodes.
    pub fn takes_list(&self, member: usize) -> bool {
        self.lists_from > 0 && member >= self.lists_from
    }

    /// The name of the region of a zone.
    pub fn region(&self, zone: usize) -> String {
        format!("r{}", zone % self.regions.max(1))
    }
}
