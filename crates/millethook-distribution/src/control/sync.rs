//! How a control node learns what another one keeps: buckets that differ are listed, and what is newer there is
//! fetched. Used once a second with a random other one, by a new writer, and after a start.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use crate::control::store::Store;
use crate::message::{Buckets, ListEntry, Message};
use crate::{DocumentKey, Version};

/// What was not answered is asked again after this time.
const RETRY_INTERVAL: Micros = 200_000;
/// Questions in a row that were not answered; then it is given up.
const MAX_TRIES: u32 = 25;
/// Documents that are fetched together.
const MAX_PARALLEL_FETCHES: usize = 16;

/// What is being learned from one control node.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    round: u32,
    /// Buckets that are to be listed, and behind which key the list of the first one goes on.
    buckets: BTreeSet<u8>,
    after: Option<DocumentKey>,
    /// Versions that are to be fetched; whether the other one knows that it is committed.
    wanted: BTreeMap<DocumentKey, (Version, bool)>,
    /// Whether what is only accepted there is learned, too.
    accepted: bool,
    retry_at: Micros,
    tries: u32,
}

impl Session {
    /// Begins to learn from one whose buckets are `theirs`.
    pub fn new(round: u32, mine: &Buckets, theirs: &Buckets, accepted: bool) -> Session {
        let differ =
            mine.iter().zip(theirs).enumerate().filter(|(_, (mine, theirs))| mine != theirs);
        let buckets = differ.map(|(n, _)| n as u8).collect();
        let wanted = BTreeMap::new();
        Session { round, buckets, after: None, wanted, accepted, retry_at: 0, tries: 0 }
    }

    /// The list of a bucket has come; versions that are known here already to be accepted, and there to be committed.
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

    /// Whether this version is to be fetched.
    pub fn wants(&self, key: DocumentKey, version: Version) -> bool {
        self.wanted.get(&key).is_some_and(|(wanted, _)| *wanted == version)
    }

    /// Leaves out what is here by now; whether all that is kept there is known here.
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

    /// Whether what is only accepted there is learned, too.
    pub fn learns_accepted(&self) -> bool {
        self.accepted
    }

    /// Whether the other one has not answered for long.
    pub fn has_timed_out(&self) -> bool {
        self.tries > MAX_TRIES
    }

    /// When [`Session::due`] has something to ask.
    pub fn next_at(&self) -> Micros {
        self.retry_at
    }

    /// Questions that are due; `is_coming` says of what nothing need be asked.
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
