//! Outcomes of this process's attempts, and their reports to the fleet.

use super::{Replica, ReplicaConfig};
use crate::attempt_monitor::{EndedAttempt, ObservedOutcome};
use crate::entry::{EntryValue, Key, Verdict};
use crate::{Epoch, Micros};

/// After this many equal reports from members of the own zone, another report adds nothing.
const SUFFICIENT_REPORTS: usize = 4;

impl Replica {
    /// Records the end of an attempt of this process that was sent at `sent_at`.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        server: u64,
        sent_at: Micros,
        outcome: ObservedOutcome,
    ) {
        let Some(&server_epoch) = self.listed_servers.get(&server) else { return };
        let suspected = !self.verdict_ages(server, server_epoch, now).0.is_empty();
        let attempt = EndedAttempt { server, sent_at, outcome };
        if let Some(verdict) = self.attempt_monitor.on_attempt_ended(now, &attempt, suspected) {
            self.publish_verdict(now, server, server_epoch, verdict);
        }
    }

    /// Records that this process has sent an attempt.
    pub fn on_attempt_sent(&mut self, now: Micros, server: u64) {
        self.attempt_monitor.on_attempt_sent(now, server);
    }

    /// Records that an attempt of this process was cancelled; its outcome says nothing.
    pub fn on_attempt_cancelled(&mut self, server: u64) {
        self.attempt_monitor.on_attempt_cancelled(server);
    }

    /// Reports an observation, unless enough members have recently reported the same.
    pub(super) fn publish_verdict(
        &mut self,
        now: Micros,
        server: u64,
        server_epoch: Epoch,
        verdict: Verdict,
    ) {
        let (failures, answers) = self.verdict_ages(server, server_epoch, now);
        let key = Key::Evidence { server, author: self.config.me };
        let own = self.store.get(key, now).filter(|own| {
            let same = matches!(own.value, EntryValue::Evidence { verdict: v, server_epoch: e, .. }
                if v == verdict && e == server_epoch);
            same && own.age < key.lifetime() / 2
        });
        let fresh = |ages: &[Micros]| ages.iter().filter(|a| **a < key.lifetime() / 2).count();
        let enough = if verdict == Verdict::Well {
            // Enough answers were reported since the last failure.
            let last = failures.iter().min().copied().unwrap_or(Micros::MAX);
            answers.iter().filter(|age| **age < last).count() >= SUFFICIENT_REPORTS
        } else {
            fresh(&failures) >= SUFFICIENT_REPORTS
        };
        if own.is_some() || enough {
            return;
        }
        self.counter = self.counter.wrapping_add(1);
        let ReplicaConfig { epoch, zone, .. } = self.config;
        let value = EntryValue::Evidence {
            author_epoch: epoch,
            counter: self.counter,
            server_epoch,
            verdict,
            zone,
        };
        self.publish(key, value, now);
    }
}
