//! Lists of servers: which take effect at once, which are suspect and wait, and what changes by them.

use std::collections::hash_map::Entry;

use rustc_hash::FxHashSet;

use super::{KnownServer, Membership, Source, Trust, Update};
use crate::UnixMs;
use crate::list::{List, ListedState};
use crate::mutant::{self, Mutant};

/// Lists are never suspect while fewer servers than this are usable.
const GUARDED_FROM: usize = 4;

impl Membership {
    /// Applies a list, or changes of one; returns what has changed for the balancer.
    pub fn apply_list(&mut self, now: UnixMs, source: Source, list: &List) -> Update {
        if !source.is_live() {
            return self.apply_platform_list(now, list);
        }
        self.lost_since = None;
        if self.is_old(source, list) {
            return Update::changes(Vec::new());
        }
        (self.live, self.seq) = (Some(source), list.seq);
        if !list.whole {
            if let Some((held, ..)) = &mut self.held {
                // Without this, the held list would bring back what has left since, and remove what has come.
                if !mutant::is(Mutant::HeldUndoesChanges) {
                    held.overlay(list);
                }
            }
            return self.apply(now, source, list, false);
        }
        if self.is_suspect(list) && self.held.as_ref().is_none_or(|held| now < held.2) {
            // Without this, a registry that has lost its content would remove all servers. Entries that are in the list
            // (also those that leave or have left) take effect at once; only the removal of missing ones waits.
            let until = match &self.held {
                Some((.., until)) if !mutant::is(Mutant::EndlessSuspicion) => *until,
                Some(_) => now.saturating_add(self.config.suspect_hold_ms),
                None => {
                    self.totals.suspect_lists += 1;
                    now.saturating_add(self.config.suspect_hold_ms)
                }
            };
            self.held = Some((list.clone(), source, until));
            return self.apply(now, source, list, false);
        }
        self.held = None;
        self.apply(now, source, list, true)
    }

    /// The source of live lists does not answer: the age of its entries counts from now on.
    pub fn source_lost(&mut self, now: UnixMs) {
        self.lost_since.get_or_insert(now);
    }

    /// Applies the suspect list if its time is over; None: there is none, or it still waits.
    pub fn apply_due_list(&mut self, now: UnixMs) -> Option<Update> {
        let (.., until) = self.held.as_ref()?;
        if now < *until {
            return None;
        }
        let (list, source, _) = self.held.take()?;
        Some(self.apply(now, source, &list, true))
    }

    /// Applies the list of the platform's configuration. It may be old and has no time, so it is used only until a live
    /// source sends a list.
    pub(super) fn apply_platform_list(&mut self, now: UnixMs, list: &List) -> Update {
        if self.live.is_some() && !mutant::is(Mutant::KnownAfterLive) {
            return Update::changes(Vec::new());
        }
        self.seq = self.seq.max(list.seq);
        for host in &list.hosts {
            if host.is_gone() && !mutant::is(Mutant::LeftInKnownList) {
                self.servers.remove(&host.host);
                continue;
            }
            let known = KnownServer {
                trust: Trust::Remembered,
                ..KnownServer::new(host.clone(), Source::PlatformConfig, now)
            };
            self.servers.insert(host.host.clone(), known);
        }
        Update { whole: list.whole, hosts: list.hosts.clone() }
    }

    /// Whether these are changes of an earlier version than the list that was taken last. A whole list of a lower version
    /// is of a source that has started anew and counts from there. Without this, changes that come late or again would
    /// make a server usable that has begun to drain since.
    fn is_old(&self, source: Source, list: &List) -> bool {
        let same_source = self.live == Some(source);
        !list.whole && same_source && list.seq < self.seq && !mutant::is(Mutant::OldChangesTaken)
    }

    /// Whether too many of the usable servers are missing from a whole list.
    pub(super) fn is_suspect(&self, list: &List) -> bool {
        if mutant::is(Mutant::NoSuspicion) {
            return false;
        }
        let believed = self.usable().count();
        let listed = list.hosts.iter().filter(|host| host.health == ListedState::Active).count();
        believed >= GUARDED_FROM && (listed as f64) < self.config.suspect_share * believed as f64
    }

    /// Applies entries; if `whole`, servers without an entry are removed. Departures go into the history.
    pub(super) fn apply(
        &mut self,
        now: UnixMs,
        source: Source,
        list: &List,
        whole: bool,
    ) -> Update {
        // Servers of a snapshot have aged since they were confirmed, all others since the last list.
        let ages = self.servers.values().map(|k| now.saturating_sub(k.confirmed_ms));
        let remembered = ages.sum::<u64>() / (self.servers.len().max(1) as u64);
        let present = self.servers.len();
        let mut departed = 0;
        for host in &list.hosts {
            if host.is_gone() && !mutant::is(Mutant::LeftInLiveList) {
                departed += usize::from(self.servers.remove(&host.host).is_some());
                continue;
            }
            let fresh = KnownServer::new(host.clone(), source, now);
            match self.servers.entry(host.host.clone()) {
                Entry::Occupied(mut known) => {
                    // A restart under the same name counts as a departure.
                    departed += usize::from(known.get().host.born_ms < host.born_ms);
                    known.insert(fresh);
                }
                Entry::Vacant(vacant) => {
                    vacant.insert(fresh);
                }
            }
        }
        if whole && !mutant::is(Mutant::WholeRemovesNothing) {
            let listed: FxHashSet<&str> = list.hosts.iter().map(|h| h.host.as_str()).collect();
            let before = self.servers.len();
            self.servers.retain(|name, _| listed.contains(name.as_str()));
            departed += before - self.servers.len();
        }
        let since = self.observed_ms.replace(now);
        let elapsed = since.map_or(remembered, |since| now.saturating_sub(since));
        self.history.observe(elapsed, present, departed);
        Update { whole, hosts: list.hosts.clone() }
    }
}
