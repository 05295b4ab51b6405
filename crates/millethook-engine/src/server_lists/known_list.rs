//! The list of servers as known from one source, with all changes applied.

use std::collections::BTreeMap;

use super::position::ListPosition;
use super::published::PublishedList;
use crate::list::{Host, List};

/// The list of servers as known from one source. It holds no entries that have left.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KnownList {
    position: ListPosition,
    hosts: BTreeMap<String, Host>,
}

impl KnownList {
    /// Returns how new the list is.
    pub fn position(&self) -> ListPosition {
        self.position
    }

    /// Applies a list from discovery, or changes to it.
    pub fn apply(&mut self, whole: bool, list: &List) {
        self.position = self.position.next(whole, list.seq);
        if whole {
            self.hosts.clear();
        }
        for host in &list.hosts {
            if host.is_gone() {
                self.hosts.remove(&host.host);
            } else {
                self.hosts.insert(host.host.clone(), host.clone());
            }
        }
    }

    /// Adds `generation` to the generation of this list, which does not know of earlier restarts of discovery.
    pub fn add_generations(&mut self, generation: u32) {
        self.position.generation = self.position.generation.saturating_add(generation);
    }

    /// Adopts the generation of a published list that equals this list. Returns false if it is a different list.
    ///
    /// Without this, a process that missed a restart of discovery's versions, or that mistook a lagging replica of
    /// discovery for a restart, would count generations differently from the others for good. Adopting is harmless,
    /// since the list is the same.
    pub fn adopt_generation(&mut self, published: &PublishedList) -> bool {
        let same = published.position.seq == self.position.seq
            && published.hosts.len() == self.hosts.len()
            && published.hosts.iter().all(|host| self.hosts.get(&host.host) == Some(host));
        if same {
            self.position = published.position;
        }
        same
    }

    /// Returns the list in its published form.
    pub fn to_published(&self) -> PublishedList {
        PublishedList { position: self.position, hosts: self.hosts.values().cloned().collect() }
    }
}

impl From<&PublishedList> for KnownList {
    fn from(published: &PublishedList) -> KnownList {
        let hosts = published.hosts.iter().map(|host| (host.host.clone(), host.clone()));
        KnownList { position: published.position, hosts: hosts.collect() }
    }
}
