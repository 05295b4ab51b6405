//! The states of the documents that a sidecar knows.

use std::sync::Arc;

use super::Subscriber;
use crate::lists::{ListStatus, ListStatuses};
use crate::message::{State, Status};
use crate::status::hash_of_statuses;
use crate::{Document, DocumentKey, DocumentKind, Refusal, Version};

/// A document that is newer than the one in force.
#[derive(Clone, Debug)]
pub(super) enum Candidate {
    /// It waits for the host's decision.
    Offered(Arc<Document>),
    /// The host refused it.
    Refused(Version, Refusal),
}

impl Candidate {
    /// The candidate's version.
    pub fn version(&self) -> Version {
        match self {
            Candidate::Offered(document) => document.version,
            Candidate::Refused(version, _) => *version,
        }
    }

    /// The candidate's state in a report.
    fn state(&self) -> State {
        match self {
            Candidate::Offered(_) => State::Offered,
            Candidate::Refused(_, refusal) => State::Refused(refusal.clone()),
        }
    }
}

impl Subscriber {
    /// The latest known version of a key.
    pub(super) fn known_version(&self, key: DocumentKey) -> Option<Version> {
        let in_force = self.in_force.get(&key).map(|document| document.version);
        in_force.max(self.candidates.get(&key).map(Candidate::version))
    }

    /// Whether a version is in force, offered or refused.
    pub(super) fn is_known(&self, version: Version) -> bool {
        self.in_force.values().any(|document| document.version == version)
            || self.candidates.values().any(|candidate| candidate.version() == version)
    }

    /// The document that is offered under this version.
    pub(super) fn offered(&self, version: Version) -> Option<Arc<Document>> {
        self.candidates.values().find_map(|candidate| match candidate {
            Candidate::Offered(document) if document.version == version => Some(document.clone()),
            _ => None,
        })
    }

    /// The state of the latest document of a key.
    fn status(&self, key: DocumentKey) -> Option<(Version, State)> {
        match (self.candidates.get(&key), self.in_force.get(&key)) {
            (Some(candidate), _) => Some((candidate.version(), candidate.state())),
            (None, Some(document)) => Some((document.version, State::InForce)),
            (None, None) => None,
        }
    }

    /// The state of the latest document of each configuration key.
    pub(super) fn statuses(&self) -> Vec<Status> {
        let keys = self.in_force.keys().chain(self.candidates.keys());
        let mut keys: Vec<DocumentKey> =
            keys.filter(|key| key.kind == DocumentKind::Configuration).copied().collect();
        keys.sort_unstable();
        keys.dedup();
        let status = |key| self.status(key).map(|(version, state)| Status { key, version, state });
        keys.into_iter().filter_map(status).collect()
    }

    /// The hash of the statuses in a digest.
    pub(super) fn hash(&self) -> u64 {
        hash_of_statuses(&self.statuses())
    }

    /// The state of each list that it subscribes to.
    pub(super) fn list_statuses(&self) -> ListStatuses {
        let mut statuses = ListStatuses::default();
        for service in &self.lists {
            let status = self.status(DocumentKey::server_list(*service));
            let (version, state) = status.unwrap_or((Version::default(), State::InForce));
            statuses.insert(*service, ListStatus { version, state });
        }
        statuses
    }
}
