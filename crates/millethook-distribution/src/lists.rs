//! Lists of servers: which ones a sidecar subscribes to, and the state of each at the sidecar.
//!
//! A list is for the sidecars that call the service, not for those that run beside it. [`is_for`] is the only place
//! that decides which sidecars a document is for.

use std::collections::BTreeMap;

use millethook_machine::hash::mix;

use crate::message::State;
use crate::mutant::{self, Mutant};
use crate::status::hash_of_version;
use crate::{DocumentKey, DocumentKind, Identity, MAX_LISTS, Scope, Version};

/// Whether a document of this key is for this sidecar; `wants` says whether the sidecar subscribes to the list of a
/// service.
pub(crate) fn is_for(key: DocumentKey, sidecar: &Identity, wants: impl Fn(u32) -> bool) -> bool {
    if key.kind == DocumentKind::Configuration || mutant::is(Mutant::ListsByIdentity) {
        return key.scope.covers(sidecar);
    }
    list_of(key).is_some_and(wants)
}

/// The service whose list has this key; None: it is not the key of a list that a sidecar can subscribe to.
pub(crate) fn list_of(key: DocumentKey) -> Option<u32> {
    match key {
        DocumentKey { kind: DocumentKind::ServerList, scope: Scope::Service(service) } => {
            Some(service)
        }
        _ => None,
    }
}

/// The state, at a sidecar, of the latest list of a service that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListStatus {
    /// The lowest version stands for: it subscribes to the list and has none.
    pub version: Version,
    /// Whether it is in force, offered or refused.
    pub state: State,
}

/// The lists that a sidecar subscribes to, by service, with the state of each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListStatuses(BTreeMap<u32, ListStatus>);

impl ListStatuses {
    /// Whether the sidecar subscribes to the list of a service.
    pub fn wants(&self, service: u32) -> bool {
        self.0.contains_key(&service)
    }

    /// The status of the list of a service.
    pub fn get(&self, service: u32) -> Option<&ListStatus> {
        self.0.get(&service)
    }

    /// Adds or replaces the status of a list. Lists beyond [`MAX_LISTS`] are ignored.
    pub fn insert(&mut self, service: u32, status: ListStatus) {
        if self.0.len() < MAX_LISTS || self.wants(service) {
            self.0.insert(service, status);
        }
    }

    /// Adds or replaces several.
    pub fn extend(&mut self, statuses: Vec<(u32, ListStatus)>) {
        statuses.into_iter().for_each(|(service, status)| self.insert(service, status));
    }

    /// All statuses in the order of the services.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &ListStatus)> {
        self.0.iter().map(|(service, status)| (*service, status))
    }

    /// The number of lists.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// A hash of all statuses, computed in the same way at the sidecar and at its control nodes.
    pub fn hash(&self) -> u64 {
        self.iter().fold(mix(self.len() as u64), |hash, (service, status)| {
            let of = u64::from(service) << 8 | u64::from(status.state.number());
            mix(hash ^ hash_of_version(status.version) ^ mix(of))
        })
    }
}
