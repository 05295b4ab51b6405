//! The invariants over all members together.

use std::collections::{BTreeMap, BTreeSet};

use millethook_distribution::{
    ContentHash, ControlEvent, ControlNode, DocumentId, DocumentKey, Subscriber, Token, Version,
};

/// What is known of all documents that ever existed.
#[derive(Default)]
pub struct Oracle {
    /// The number of control nodes that are a majority.
    pub majority: usize,
    /// The document of each version.
    documents: BTreeMap<Version, (DocumentKey, ContentHash)>,
    /// The control nodes that have ever accepted a version.
    accepted: BTreeMap<Version, BTreeSet<u16>>,
    /// The latest document of a key that its writer has reported as committed.
    pub committed: BTreeMap<DocumentKey, Version>,
    all_committed: Vec<DocumentId>,
    /// What a writer knew when it became ready.
    ready: BTreeMap<Token, BTreeMap<DocumentKey, Version>>,
    /// The last version that a sidecar had in force, across its restarts.
    in_force: BTreeMap<(u16, DocumentKey), Version>,
    pub accepted_count: u64,
    pub refused: u64,
    pub failure: Option<String>,
}

impl Oracle {
    pub fn new(majority: usize) -> Oracle {
        Oracle { majority, ..Oracle::default() }
    }

    /// The number of documents that were committed.
    pub fn committed_count(&self) -> u64 {
        self.all_committed.len() as u64
    }

    fn record_failure(&mut self, what: impl FnOnce() -> String) {
        self.failure.get_or_insert_with(what);
    }

    fn record_document(&mut self, version: Version, key: DocumentKey, hash: ContentHash) {
        let first = *self.documents.entry(version).or_insert((key, hash));
        if first != (key, hash) {
            self.record_failure(|| {
                format!("two documents under version {version}: {first:?}, {key:?} {hash:?}")
            });
        }
    }

    pub fn on_control(&mut self, number: u16, node: &ControlNode) {
        for document in node.documents() {
            self.record_document(document.version, document.key, document.hash);
            self.accepted.entry(document.version).or_default().insert(number);
        }
        for id in node.accepted() {
            self.accepted.entry(id.version).or_default().insert(number);
        }
    }

    /// The latest version of each key that a control node knows.
    fn known_versions(node: &ControlNode) -> BTreeMap<DocumentKey, Version> {
        let mut known_versions: BTreeMap<DocumentKey, Version> = BTreeMap::new();
        let documents = node.documents().into_iter().map(|d| (d.key, d.version));
        for (key, version) in documents.chain(node.accepted().iter().map(|id| (id.key, id.version)))
        {
            let entry = known_versions.entry(key).or_default();
            *entry = (*entry).max(version);
        }
        known_versions
    }

    pub fn on_event(&mut self, number: u16, node: &ControlNode, event: &ControlEvent) {
        match event {
            ControlEvent::WriterReady(token) => {
                let known_versions = Oracle::known_versions(node);
                for id in self.all_committed.clone() {
                    self.check_writer_knows(*token, &known_versions, id);
                }
                self.ready.insert(*token, known_versions);
            }
            ControlEvent::Committed(id) => {
                let latest = self.committed.entry(id.key).or_default();
                *latest = (*latest).max(id.version);
                self.all_committed.push(*id);
                for (token, known_versions) in self.ready.clone() {
                    self.check_writer_knows(token, &known_versions, *id);
                }
                if id.version.token.owner != number {
                    self.record_failure(|| {
                        format!("{number} has committed {id:?} of another writer")
                    });
                }
            }
            _ => {}
        }
    }

    /// Checks that a writer, when it becomes ready, knows every document that is committed under a lower token, even if
    /// the commit is reported later.
    fn check_writer_knows(
        &mut self,
        token: Token,
        known_versions: &BTreeMap<DocumentKey, Version>,
        id: DocumentId,
    ) {
        let known_version = known_versions.get(&id.key).copied().unwrap_or_default();
        if id.version.token < token && known_version < id.version {
            self.record_failure(|| {
                format!("writer {token} became ready without {id:?}, which is committed")
            });
        }
    }

    pub fn on_sidecar(&mut self, number: u16, sidecar: &Subscriber, refused: &BTreeSet<Version>) {
        for document in sidecar.snapshot().documents {
            let (key, version) = (document.key, document.version);
            self.record_document(version, key, document.hash);
            let accepted = self.accepted.get(&version).map_or(0, BTreeSet::len);
            if accepted < self.majority {
                self.record_failure(|| {
                    format!("{number}: {key} {version} is in force, accepted by {accepted}")
                });
            }
            if refused.contains(&version) {
                self.record_failure(|| {
                    format!("{number}: {key} {version} is in force and was refused")
                });
            }
            let last = self.in_force.insert((number, key), version).unwrap_or_default();
            if version < last {
                self.record_failure(|| {
                    format!("{number}: {key} {version} is in force after {last}")
                });
            }
            self.accepted_count += u64::from(version > last);
        }
        self.refused = self.refused.max(refused.len() as u64);
    }
}
