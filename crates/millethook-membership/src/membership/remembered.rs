//! The snapshot on disk: what is used of it at the start, and what is written to it.

use super::{KnownServer, Membership, Source, Trust, Update};
use crate::UnixMs;
use crate::list::ListedState;
use crate::mutant::{self, Mutant};
use crate::snapshot::{Remembered, Snapshot};

impl Membership {
    /// Applies a snapshot: each server becomes usable or doubtful or is dropped, by the probability that it is still
    /// there. After the first list of a live source this changes nothing. Of a server that is known already the entry
    /// that was confirmed later is kept, and one that is used or tried already does not become doubtful anew.
    pub fn load_snapshot(&mut self, now: UnixMs, snapshot: Snapshot) -> Update {
        if self.live.is_some() && !mutant::is(Mutant::SnapshotAfterLive) {
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
            // No server can have been confirmed after the file was written, so the age is not known.
            let sound = confirmed_ms <= snapshot.written_ms || mutant::is(Mutant::FutureTrusted);
            let survival = if sound { self.history.survival(confirmed_ms, now) } else { 0.0 };
            // The clock was set back, now or when the file was written: a trial decides. Without the second, a process
            // that ran by a wrong clock would leave a list of which nothing is used once the clock is right again.
            let back = (now < confirmed_ms && !mutant::is(Mutant::ClockSetBackDrops))
                || !sound && !mutant::is(Mutant::FutureDropped);
            let trust = if survival >= self.config.usable_above {
                usable.push(host.clone());
                Trust::Remembered
            } else if survival >= self.config.dropped_below || back {
                Trust::Doubtful
            } else {
                self.totals.dropped += 1;
                continue;
            };
            // Without this, a server that gets requests by the platform's list would be removed here by a trial, and the
            // balancer would not hear of it.
            let replaces = trust == Trust::Doubtful && self.servers.contains_key(&host.host);
            if replaces && !mutant::is(Mutant::DoubtfulReplacesUsed) {
                continue;
            }
            let next_trial_ms = now + self.below(self.config.spread_ms);
            let knowledge = KnownServer {
                confirmed_ms,
                trust,
                next_trial_ms,
                ..KnownServer::new(host, Source::Snapshot, now)
            };
            self.servers.insert(knowledge.host.host.clone(), knowledge);
        }
        Update::changes(usable)
    }

    /// What is to be written to disk: all active servers.
    pub fn snapshot(&self, fleet: &str, now: UnixMs) -> Snapshot {
        let live_ms = self.lost_since.unwrap_or(now).min(now);
        let kept = self.servers.values().filter(|k| k.host.health == ListedState::Active);
        let mut servers: Vec<Remembered> = kept
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
