//! Application of server lists: a list takes effect at once, or it is suspect and held back.

use std::collections::hash_map::Entry;

use rustc_hash::FxHashSet;

use super::{KnownServer, Membership, Source, Trust, Update};
use crate::UnixMs;
use crate::list::{List, ListedState};
use crate::mutant::{self, Mutant};

/// Lists are never suspect while fewer servers than this are usable.
const MIN_USABLE_FOR_SUSPICION: usize = 4;

impl Membership {
    /// Applies a full list or changes to one, and returns the changes for the balancer.
    pub fn apply_list(&mut self, now: UnixMs, source: Source, list: &List) -> Update {
        if !source.is_live() {
            return self.apply_platform_list(now, list);
        }
        self.source_lost_since = None;
        if self.is_outdated(source, list) {
            return Update::changes(Vec::new());
        }
        (self.live_source, self.seq) = (Some(source), list.seq);
        if !list.whole {
            if let Some((held, ..)) = &mut self.held {
                // Without this, the held list would add servers again that have left since, and remove those that have
                // joined.
                if !mutant::is(Mutant::HeldUndoesChanges) {
                    held.overlay(list);
                }
            }
            return self.apply(now, source, list, false);
        }
        if self.is_suspect(list) && self.held.as_ref().is_none_or(|held| now < held.2) {
            // Without this, a registry that has lost its content would remove all servers. Entries of the list take
            // effect at once, including those that are leaving or have left. Only the removal of missing servers waits.
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

    /// Records that the live source does not answer. From now on its entries age.
    pub fn source_lost(&mut self, now: UnixMs) {
        self.source_lost_since.get_or_insert(now);
    }

    /// Applies the held suspect list once its hold time has passed. None: no list is held, or its time has not passed.
    pub fn apply_due_list(&mut self, now: UnixMs) -> Option<Update> {
        let (.., until) = self.held.as_ref()?;
        if now < *until {
            return None;
        }
        let (list, source, _) = self.held.take()?;
        Some(self.apply(now, source, &list, true))
    }

    /// Applies the list of the platform's configuration. That list may be old and has no timestamp, so it is used only
    /// until a live source sends a list.
    pub(super) fn apply_platform_list(&mut self, now: UnixMs, list: &List) -> Update {
        if self.live_source.is_some() && !mutant::is(Mutant::KnownAfterLive) {
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

    /// Whether `list` holds changes of an earlier version than the list that was applied last. Without this check, late
    /// or repeated changes would make a server usable that has begun to drain since. A full list of a lower version is
    /// accepted: its source has restarted and counts from there.
    fn is_outdated(&self, source: Source, list: &List) -> bool {
        let same_source = self.live_source == Some(source);
        !list.whole && same_source && list.seq < self.seq && !mutant::is(Mutant::OldChangesTaken)
    }

    /// Whether too many of the usable servers are missing from a full list.
    pub(super) fn is_suspect(&self, list: &List) -> bool {
        if mutant::is(Mutant::NoSuspicion) {
            return false;
        }
        let usable = self.usable().count();
        let listed = list.hosts.iter().filter(|host| host.health == ListedState::Active).count();
        usable >= MIN_USABLE_FOR_SUSPICION
            && (listed as f64) < self.config.suspect_share * usable as f64
    }

    /// Applies the entries of a list and records departures in the history. If `whole`, servers without an entry are
    /// removed.
    pub(super) fn apply(
        &mut self,
        now: UnixMs,
        source: Source,
        list: &List,
        whole: bool,
    ) -> Update {
        // Servers of a snapshot have aged since they were confirmed, so their mean age counts if there was no list
        // before. Otherwise the time since the last list counts.
        let ages = self.servers.values().map(|k| now.saturating_sub(k.confirmed_ms));
        let mean_age_ms = ages.sum::<u64>() / (self.servers.len().max(1) as u64);
        let present = self.servers.len();
        let mut departed = 0;
        for host in &list.hosts {
            if host.is_gone() && !mutant::is(Mutant::LeftInLiveList) {
                departed += usize::from(self.servers.remove(&host.host).is_some());
                continue;
            }
            let known_server = KnownServer::new(host.clone(), source, now);
            match self.servers.entry(host.host.clone()) {
                Entry::Occupied(mut known) => {
                    // A restart under the same name counts as a departure.
                    departed += usize::from(known.get().host.born_ms < host.born_ms);
                    known.insert(known_server);
                }
                Entry::Vacant(vacant) => {
                    vacant.insert(known_server);
                }
            }
        }
        if whole && !mutant::is(Mutant::WholeRemovesNothing) {
            let listed: FxHashSet<&str> = list.hosts.iter().map(|h| h.host.as_str()).collect();
            let before = self.servers.len();
            self.servers.retain(|name, _| listed.contains(name.as_str()));
            departed += before - self.servers.len();
        }
        let updated_ms = self.history_updated_ms.replace(now);
        let elapsed_ms =
            updated_ms.map_or(mean_age_ms, |updated_ms| now.saturating_sub(updated_ms));
        self.history.observe(elapsed_ms, present, departed);
        Update { whole, hosts: list.hosts.clone() }
    }
}
