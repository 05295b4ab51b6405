//! Timers: work that is due, and when the next is due.

use super::probing::{ABSENT_PROBE_PERIODS, STALL_PENALTY, WORST_HEALTH};
use super::{GOSSIPS_PER_PERIOD, View};
use crate::Micros;
use crate::fact::{Fact, Status};
use crate::mutant::{self, Mutant};
use crate::probe::Suspicion;

impl View {
    /// When [`View::tick`] must be called next, in microseconds.
    pub fn poll_timeout(&self) -> Micros {
        let mut next = self.next_period.min(self.next_absent_probe);
        if let Some(probe) = self.probe.filter(|p| !p.answered) {
            next = probe.indirect_at.unwrap_or(next).min(next).min(probe.repeat_at);
        }
        if self.has_gossip(self.next_gossip) {
            next = next.min(self.next_gossip);
        }
        if let Some(pull) = self.pull {
            next = next.min(pull.next);
        }
        if self.pending_epoch > 0 {
            next = next.min(self.next_epoch_raise);
        }
        let ends = self.suspicions.values().map(|s| self.suspicion_ends(s));
        ends.fold(next, Micros::min)
    }

    /// When a suspicion expires, for the current size of the fleet.
    pub(super) fn suspicion_ends(&self, suspicion: &Suspicion) -> Micros {
        let counts = self.table.counts;
        suspicion.ends_at(self.config.period, counts.alive + counts.suspect)
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        // Only the periodic timers show a stall: a suspicion that is confirmed may expire in the past at once.
        let late = now.saturating_sub(self.next_period.min(self.next_absent_probe));
        if late > self.config.period {
            self.stalled(now, late);
        }
        self.repeat_suspicions(now);
        let expired: Vec<u16> = (self.suspicions.iter())
            .filter(|(_, s)| self.suspicion_ends(s) <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in expired.into_iter().filter(|_| !mutant::is(Mutant::SuspectForEver)) {
            let Some(fact) = self.table.fact(number) else { continue };
            self.apply_fact(
                &Fact { status: Status::Dead, reported_by: self.config.me, ..fact },
                now,
            );
        }
        if self.pending_epoch > 0 && self.next_epoch_raise <= now {
            self.raise_epoch(now);
        }
        if self.probe.is_some_and(|p| p.indirect_at.is_some_and(|at| at <= now)) {
            self.send_indirect_probes();
        }
        if self.next_period <= now {
            self.start_period(now);
        } else if self.probe.is_some_and(|p| !p.answered && p.repeat_at <= now) {
            self.repeat_probe(now);
        }
        if self.next_absent_probe <= now {
            self.next_absent_probe = now + ABSENT_PROBE_PERIODS * self.config.period;
            self.probe_absent_member();
        }
        if self.next_gossip <= now && self.has_gossip(now) {
            // A comparison is answered with as many bytes, so it takes the place of two messages.
            let slots = if self.differs(now) { 2 } else { 1 };
            self.next_gossip = now + slots * self.config.period / GOSSIPS_PER_PERIOD;
            if !self.congested {
                self.gossip(now);
            }
        }
        if self.pull.is_some_and(|p| p.next <= now) {
            self.request_table(now);
        }
    }

    /// Sends each suspicion once more after half of its time. A member that has missed a refutation cannot know that,
    /// and those that have the refutation answer.
    pub(super) fn repeat_suspicions(&mut self, now: Micros) {
        let (period, counts) = (self.config.period, self.table.counts);
        for (number, suspicion) in &mut self.suspicions {
            let end = suspicion.ends_at(period, counts.alive + counts.suspect);
            if !suspicion.repeated
                && now >= suspicion.started_at + end.saturating_sub(suspicion.started_at) / 2
            {
                suspicion.repeated = true;
                self.updates.add_first(*number);
            }
        }
    }

    /// Handles a stall: this process did not run for a while. Answers may have come meanwhile, and others may believe
    /// it dead, so it drops its own probe, extends its suspicions, and fetches changes.
    pub(super) fn stalled(&mut self, now: Micros, late: Micros) {
        self.figures.stalls += 1;
        self.health = (self.health + STALL_PENALTY).min(WORST_HEALTH);
        self.probe = None;
        self.next_period = now;
        self.suspicions.values_mut().for_each(|s| s.started_at += late);
        self.start_pull(now);
    }
}
