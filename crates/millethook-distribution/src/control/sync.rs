//! How a control node learns what another one stores: it lists the buckets that differ and fetches newer documents.
//! This happens once a second with a random other control node, when a writer starts, and after the start of a process.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use crate::control::store::Store;
use crate::message::{Buckets, ListEntry, Message};
use crate::{DocumentKey, Version};

/// An unanswered request is sent again after this time.
const RETRY_INTERVAL: Micros = 200_000;
/// The maximum number of consecutive unanswered requests; after that the session ends.
const MAX_TRIES: u32 = 25;
/// The maximum number of documents that are fetched at the same time.
const MAX_PARALLEL_FETCHES: usize = 16;

/// A session that learns what one control node stores.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    round: u32,
    /// Buckets that have to be listed, and the key after which the list of the first one continues.
    buckets: BTreeSet<u8>,
    after: Option<DocumentKey>,
    /// Versions that have to be fetched, and whether the other control node knows that they are committed.
    wanted: BTreeMap<DocumentKey, (Version, bool)>,
    /// Whether documents that are only accepted there are learned, too.
    accepted: bool,
    retry_at: Micros,
    tries: u32,
}

impl Session {
    /// Starts a session with a control node whose bucket hashes are `theirs`.
    pub fn new(round: u32, mine: &Buckets, theirs: &Buckets, accepted: bool) -> Session {
        let differ =
            mine.iter().zip(theirs).enumerate().filter(|(_, (mine, theirs))| mine != theirs);
        let buckets = differ.map(|(n, _)| n as u8).collect();
        let wanted = BTreeMap::new();
        Session { round, buckets, after: None, wanted, accepted, retry_at: 0, tries: 0 }
    }

    /// Handles the list of a bucket. Returns the versions that are already accepted here and committed there.
    pub fn on_entries(
        &mut self,
        store: &Store,
        (round, bucket, more): (u32, u8, bool),
        entries: &[ListEntry],
    ) -> Vec<(DocumentKey, Version)> {
        if round != self.round || self.buckets.first() != Some(&bucket) {
            return Vec::new();
        }
        (self.tries, self.retry_at) = (0, 0);
        let mut committed = Vec::new();
        for entry in entries {
            let key = entry.key;
            if entry.committed > store.committed_version(key) {
                if store.latest_version(key) == entry.committed {
                    committed.push((key, entry.committed));
                } else {
                    self.wanted.insert(key, (entry.committed, true));
                }
            }
            if self.accepted && entry.accepted > store.latest_version(key) {
                self.wanted.insert(key, (entry.accepted, false));
            }
        }
        match entries.last().filter(|_| more) {
            Some(last) => self.after = Some(last.key),
            None => {
                self.buckets.remove(&bucket);
                self.after = None;
            }
        }
        committed
    }

    /// Whether this version has to be fetched.
    pub fn wants(&self, key: DocumentKey, version: Version) -> bool {
        self.wanted.get(&key).is_some_and(|(wanted, _)| *wanted == version)
    }

    /// Removes the versions that have arrived; returns whether everything that the other control node stores is known
    /// here.
    pub fn is_done(&mut self, store: &Store) -> bool {
        let before = self.wanted.len();
        self.wanted.retain(|key, (version, committed)| {
            let local_version =
                if *committed { store.committed_version(*key) } else { store.latest_version(*key) };
            local_version < *version
        });
        if self.wanted.len() < before {
            (self.tries, self.retry_at) = (0, 0);
        }
        self.buckets.is_empty() && self.wanted.is_empty()
    }

    /// Whether documents that are only accepted there are learned, too.
    pub fn learns_accepted(&self) -> bool {
        self.accepted
    }

    /// Whether too many requests in a row were not answered.
    pub fn has_timed_out(&self) -> bool {
        self.tries > MAX_TRIES
    }

    /// The time at which [`Session::due`] has to be called next.
    pub fn next_at(&self) -> Micros {
        self.retry_at
    }

    /// Requests that are due; versions for which `is_in_transit` is true are not requested.
    pub fn due(&mut self, now: Micros, is_in_transit: impl Fn(Version) -> bool) -> Vec<Message> {
        if self.retry_at > now {
            return Vec::new();
        }
        self.retry_at = now + RETRY_INTERVAL;
        self.tries += 1;
        let list = self.buckets.first().map(|bucket| Message::ListBucket {
            bucket: *bucket,
            after: self.after,
            round: self.round,
        });
        let wanted = self.wanted.iter().take(MAX_PARALLEL_FETCHES);
        let wanted = wanted.filter(|(_, (version, _))| !is_in_transit(*version));
        let fetch = wanted.map(|(key, (version, _))| Message::Fetch {
            of: crate::message::Role::ControlNode,
            key: Some(*key),
            version: *version,
            wanted: crate::chunks::Wanted::All,
        });
        list.into_iter().chain(fetch).collect()
    }
}
