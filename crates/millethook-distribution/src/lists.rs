//! Lists of servers: which ones a sidecar wants, and how it stands to each of them.
//!
//! A list is for the sidecars that call the service, not for those that stand beside it. [`is_for`] is the one place
//! that says for whom a document is.

use std::collections::BTreeMap;

use millethook_machine::hash::mix;

use crate::message::State;
use crate::mutant::{self, Mutant};
use crate::status::hash_of_version;
use crate::{DocumentKey, DocumentKind, Identity, MAX_LISTS, Scope, Version};

/// Whether a document of this key is for a sidecar that stands there and wants the lists that `wants` says.
pub(crate) fn is_for(key: DocumentKey, sidecar: &Identity, wants: impl Fn(u32) -> bool) -> bool {
    if key.kind == DocumentKind::Configuration || mutant::is(Mutant::ListsByIdentity) {
        return key.scope.covers(sidecar);
    }
    list_of(key).is_some_and(wants)
}

/// The service whose list is known by this key; None: it is not the key of a list that can be wanted.
pub(crate) fn list_of(key: DocumentKey) -> Option<u32> {
    match key {
        DocumentKey { kind: DocumentKind::ServerList, scope: Scope::Service(service) } => {
            Some(service)
        }
        _ => None,
    }
}

/// How a sidecar stands to the latest list of a service that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListStatus {
    /// The lowest version: it wants the list and has none.
    pub version: Version,
    pub state: State,
}

/// The lists that a sidecar wants, by service, and how it stands to each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ListStatuses(BTreeMap<u32, ListStatus>);

impl ListStatuses {
    /// Whether the list of a service is wanted.
    pub fn wants(&self, service: u32) -> bool {
        self.0.contains_key(&service)
    }

    pub fn get(&self, service: u32) -> Option<&ListStatus> {
        self.0.get(&service)
    }

    /// Adds one, or takes it in the place of the one before. Those above [`MAX_LISTS`] are left out.
    pub fn insert(&mut self, service: u32, status: ListStatus) {
        if self.0.len() < MAX_LISTS || self.wants(service) {
            self.0.insert(service, status);
        }
    }

    /// Adds several.
    pub fn extend(&mut self, statuses: Vec<(u32, ListStatus)>) {
        statuses.into_iter().for_each(|(service, status)| self.insert(service, status));
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &ListStatus)> {
        self.0.iter().map(|(service, status)| (*service, status))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// A hash of all of it, the same at the sidecar and at its control nodes.
    pub fn hash(&self) -> u64 {
        self.iter().fold(mix(self.len() as u64), |hash, (service, status)| {
            let of = u64::from(service) << 8 | u64::from(status.state.number());
            mix(hash ^ hash_of_version(status.version) ^ mix(of))
        })
    }
}
