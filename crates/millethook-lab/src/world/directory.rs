//! The history of server lists in a run.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use super::server::Server;
use crate::ledger::{Clock, Ledger, Micros};

/// A server in a list.
#[derive(Clone)]
pub(super) struct Entry {
    /// The server's name.
    pub name: String,
    /// The server's process.
    pub server: Arc<Server>,
    /// Whether the server is draining.
    pub leaving: bool,
}

/// One version of the list.
pub(super) struct Version {
    /// Time from which on it is valid.
    pub at: Micros,
    /// The listed servers.
    pub entries: Arc<Vec<Entry>>,
}

/// All versions of the server list. Bounded by the steps of the timeline.
pub struct Directory {
    pub(super) clock: Clock,
    pub(super) ledger: Arc<Ledger>,
    pub(super) versions: Mutex<Vec<Version>>,
    pub(super) changed: watch::Sender<usize>,
    /// Number of versions before the last restart of discovery.
    version_offset: AtomicUsize,
}

impl Directory {
    /// Creates a directory with an empty list.
    pub fn new(clock: Clock, ledger: Arc<Ledger>) -> Directory {
        let versions = Mutex::new(vec![Version { at: 0, entries: Arc::default() }]);
        Directory {
            clock,
            ledger,
            versions,
            changed: watch::Sender::new(1),
            version_offset: AtomicUsize::new(0),
        }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Entry>)) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut entries = versions.last().map(|v| v.entries.to_vec()).unwrap_or_default();
        change(&mut entries);
        versions.push(Version { at: self.clock.now(), entries: Arc::new(entries) });
        let count = versions.len();
        drop(versions);
        self.changed.send_replace(count);
    }

    /// Adds a server to the list; replaces another process of the same name.
    pub fn list(&self, name: &str, server: &Arc<Server>) {
        let entry = Entry { name: name.to_owned(), server: server.clone(), leaving: false };
        self.change(|entries| match entries.iter_mut().find(|e| e.name == name) {
            Some(old) => *old = entry,
            None => entries.push(entry),
        });
    }

    /// Marks a server as leaving.
    pub fn mark_leaving(&self, name: &str) {
        self.change(|entries| {
            entries.iter_mut().filter(|e| e.name == name).for_each(|e| e.leaving = true);
        });
    }

    /// Removes a server from the list.
    pub fn remove(&self, name: &str) {
        self.change(|entries| entries.retain(|e| e.name != name));
    }

    /// Simulates a restart of discovery: callers see the present list as version 1.
    pub fn restart_versions(&self) {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let count = versions.len();
        drop(versions);
        self.version_offset.store(count - 1, Ordering::SeqCst);
        // Wakes the open watches.
        self.changed.send_replace(count);
    }

    /// Number of versions before the last restart of discovery, which is subtracted from the versions shown to
    /// callers.
    pub(super) fn version_offset(&self) -> usize {
        self.version_offset.load(Ordering::SeqCst)
    }

    /// The list of a version, counted from 1.
    pub(super) fn version(&self, nth: usize) -> Arc<Vec<Entry>> {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.get(nth - 1).map(|v| v.entries.clone()).unwrap_or_default()
    }

    /// The latest version visible at `now` to an agent that gets each version `lag(version)` later, and the time at
    /// which the next one becomes visible to it.
    pub(super) fn visible(
        &self,
        now: Micros,
        lag: impl Fn(usize) -> Micros,
    ) -> (usize, Option<Micros>) {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = 1;
        for (n, version) in versions.iter().enumerate().skip(1) {
            // Versions from before the load began are visible at once.
            let visible_from = if version.at == 0 { 0 } else { version.at + lag(n + 1) };
            if visible_from > now {
                return (last, Some(visible_from));
            }
            last = n + 1;
        }
        (last, None)
    }

    /// The version that was current at a time, counted from 1.
    pub(super) fn at(&self, time: Micros) -> usize {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.iter().rposition(|v| v.at <= time).unwrap_or(0) + 1
    }
}
