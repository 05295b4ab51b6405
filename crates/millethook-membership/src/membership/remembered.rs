//! Loading a snapshot at the start, and creating the snapshot that is written to disk.

use super::{KnownServer, Membership, Source, Trust, Update};
use crate::UnixMs;
use crate::list::ListedState;
use crate::mutant::{self, Mutant};
use crate::snapshot::{Remembered, Snapshot};

impl Membership {
    /// Applies a snapshot: each server becomes usable or doubtful or is dropped, depending on the probability that it
    /// still exists. After the first list of a live source this changes nothing. If a server is already known, the entry
    /// that was confirmed later is kept, and a server that is already in use or on trial does not become doubtful.
    pub fn load_snapshot(&mut self, now: UnixMs, snapshot: Snapshot) -> Update {
        if self.live_source.is_some() && !mutant::is(Mutant::SnapshotAfterLive) {
            return Update::changes(Vec::new());
        }
        self.history = snapshot.history;
        self.seq = self.seq.max(snapshot.seq);
        let mut usable = Vec::new();
        for Remembered { confirmed_ms, host } in snapshot.servers {
            if host.health != ListedState::Active || host.dial.is_none() {
                continue;
            }
            let known = self.servers.get(&host.host);
            if known.is_some_and(|known| known.confirmed_ms >= confirmed_ms) {
                continue;
            }
            // A server cannot have been confirmed after the file was written. If it was, the age is unknown.
            let age_known =
                confirmed_ms <= snapshot.written_ms || mutant::is(Mutant::FutureTrusted);
            let survival = if age_known { self.history.survival(confirmed_ms, now) } else { 0.0 };
            // If the clock was set back, since the write or before it, a trial decides. Without the second condition,
            // nothing of a snapshot that was written under a wrong clock would be used once the clock is right again.
            let clock_set_back = (now < confirmed_ms && !mutant::is(Mutant::ClockSetBackDrops))
                || !age_known && !mutant::is(Mutant::FutureDropped);
            let trust = if survival >= self.config.usable_above {
                usable.push(host.clone());
                Trust::Remembered
            } else if survival >= self.config.dropped_below || clock_set_back {
                Trust::Doubtful
            } else {
                self.totals.dropped += 1;
                continue;
            };
            // Without this, a failed trial would remove a server that gets requests because of the platform's list, and
            // the balancer would not be told.
            let replaces = trust == Trust::Doubtful && self.servers.contains_key(&host.host);
            if replaces && !mutant::is(Mutant::DoubtfulReplacesUsed) {
                continue;
            }
            let next_trial_ms = now + self.random_below(self.config.spread_ms);
            let known_server = KnownServer {
                confirmed_ms,
                trust,
                next_trial_ms,
                ..KnownServer::new(host, Source::Snapshot, now)
            };
            self.servers.insert(known_server.host.host.clone(), known_server);
        }
        Update::changes(usable)
    }

    /// Returns the snapshot to be written to disk: all active servers.
    pub fn snapshot(&self, fleet: &str, now: UnixMs) -> Snapshot {
        let live_ms = self.source_lost_since.unwrap_or(now).min(now);
        let active = self.servers.values().filter(|k| k.host.health == ListedState::Active);
        let mut servers: Vec<Remembered> = active
            .map(|k| {
                let live = k.trust == Trust::Live && k.source.is_live();
                let confirmed_ms = if live { live_ms } else { k.confirmed_ms };
                Remembered { confirmed_ms, host: k.host.clone() }
            })
            .collect();
        servers.sort_unstable_by(|a, b| a.host.host.cmp(&b.host.host));
        let (fleet, seq, history) = (fleet.to_owned(), self.seq, self.history);
        Snapshot { fleet, written_ms: now, seq, history, servers }
    }
}
