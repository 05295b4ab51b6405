//! Facts of a process about itself: that it is alive, that it leaves, and that it is a later process than another one
//! with its number.

use super::probing::{INDIRECT_PROBERS, WORST_HEALTH};
use super::{GOSSIPS_PER_PERIOD, View};
use crate::Micros;
use crate::fact::{Fact, HIGHEST_EPOCH, Status};
use crate::mutant::{self, Mutant};

/// The longest wait, in periods, before a process that detects another one with its number raises its epoch. The wait
/// starts at one period and doubles each time.
const MAX_EPOCH_RAISE_PERIODS: u64 = 64;

impl View {
    /// Applies a fact about this process: a report that it is not alive is refuted.
    pub(super) fn apply_fact_about_self(&mut self, fact: &Fact, now: Micros) {
        let Some(own) = self.table.get(self.config.me).copied() else { return };
        if fact.rank() <= own.rank() {
            return;
        }
        if mutant::is(Mutant::NoContradiction) {
            return;
        }
        if fact.epoch > own.epoch && mutant::is(Mutant::NeverAbove) {
            return;
        }
        if fact.epoch > own.epoch || (fact.status == Status::Left && !self.has_left()) {
            // A later process with this number, or a clock that was set back before this one started. A member that has
            // left can only come back as another process.
            self.pending_epoch = self.pending_epoch.max(fact.epoch + 1);
            return;
        }
        match fact.status {
            Status::Alive => self.set_own_status(own.status, fact.incarnation),
            _ => {
                self.figures.refuted += 1;
                if fact.status == Status::Suspect {
                    self.health = (self.health + 1).min(WORST_HEALTH);
                }
                let step = u16::from(!mutant::is(Mutant::SameIncarnation));
                match fact.incarnation.checked_add(step) {
                    Some(next) => self.set_own_status(own.status, next),
                    None => self.pending_epoch = self.pending_epoch.max(own.epoch + 1),
                }
            }
        }
        self.next_gossip = self.next_gossip.min(now);
    }

    /// Takes a higher epoch than the other process with this number. The wait doubles each time; otherwise two
    /// processes that run under one number would raise their epochs without end.
    pub(super) fn raise_epoch(&mut self, now: Micros) {
        let epoch = std::mem::take(&mut self.pending_epoch).min(HIGHEST_EPOCH);
        if epoch <= self.config.epoch {
            return;
        }
        self.figures.superseded += 1;
        self.config.epoch = epoch;
        let status = self.table.status(self.config.me);
        self.set_own_status(status, 0);
        self.next_gossip = self.next_gossip.min(now);
        self.next_epoch_raise = now + self.epoch_raise_interval;
        self.epoch_raise_interval =
            (self.epoch_raise_interval * 2).min(MAX_EPOCH_RAISE_PERIODS * self.config.period);
    }

    /// Sets this process's own status, and sends it before all other updates.
    pub(super) fn set_own_status(&mut self, status: Status, incarnation: u16) {
        let (number, epoch) = (self.config.me, self.config.epoch);
        self.table.set(&Fact { number, epoch, incarnation, status, reported_by: number });
        self.updates.add_first(number);
    }

    /// Tells some members that this process is about to end.
    pub fn leave(&mut self, now: Micros) {
        let incarnation = self.table.get(self.config.me).map_or(0, |m| m.incarnation);
        self.set_own_status(Status::Left, incarnation);
        self.pull = None;
        for _ in 0..INDIRECT_PROBERS {
            self.gossip(now);
        }
        self.next_gossip = now + self.config.period / GOSSIPS_PER_PERIOD;
    }

    /// Whether this process has announced that it leaves.
    pub(super) fn has_left(&self) -> bool {
        self.table.status(self.config.me) == Status::Left
    }
}
