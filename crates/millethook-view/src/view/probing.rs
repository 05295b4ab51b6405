//! Probes: one member per period, with indirect probes if it does not answer, and occasionally an absent member.

use super::View;
use crate::Micros;
use crate::fact::{Fact, Status};
use crate::message::{LONGEST, MessageKind};
use crate::mutant::{self, Mutant};
use crate::probe::{Probe, below, pick_random};
use crate::table::Counts;

/// The worst local health (Lifeguard, section 3.1).
pub(super) const WORST_HEALTH: u32 = 8;
/// What a stall adds to the local health.
pub(super) const STALL_PENALTY: u32 = 2;
/// The number of members that are asked to probe on behalf of this one.
pub(super) const INDIRECT_PROBERS: usize = 3;
/// The fraction of a period after which others are asked to probe.
const DIRECT_PROBE_SHARE: (u64, u64) = (3, 10);
/// Periods between two chances of this process to probe an absent member.
pub(super) const ABSENT_PROBE_PERIODS: u64 = 1;
/// How often all processes together probe each absent member in a period.
const ABSENT_PROBES_PER_PERIOD: usize = 4;

impl View {
    /// Ends the probe of the last period, and starts the next one.
    pub(super) fn start_period(&mut self, now: Micros) {
        if let Some(probe) = self.probe.take() {
            if probe.answered {
                self.health = self.health.saturating_sub(1);
            } else {
                self.figures.probes_failed += 1;
                // If a helper has confirmed the request, messages of this process get through and the fault is not
                // local. The confirmation replaces Lifeguard's nack, which needs a timer at the helper. Unlike in the
                // paper, missing confirmations do not count one by one: that would slow all members down when several
                // die at once.
                if probe.helpers > 0 && !probe.acknowledged {
                    self.health = (self.health + 1).min(WORST_HEALTH);
                }
                self.suspect(probe.target, now);
            }
        }
        self.notices = 0;
        self.relayed.retain(|r| r.until > now);
        let slowdown = u64::from(1 + self.health);
        self.next_period = now + self.config.period * slowdown;
        let Some(target) = self.order.next(&self.table, self.config.me, &mut self.random) else {
            return;
        };
        let sequence = self.next_sequence();
        let wait = self.config.period * DIRECT_PROBE_SHARE.0 / DIRECT_PROBE_SHARE.1 * slowdown;
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: Some(now + wait),
            repeat_at: now + wait / 2,
            answered: false,
            helpers: 0,
            acknowledged: false,
        });
        self.ping(target, sequence);
    }

    /// Repeats a probe that has no answer yet, because a datagram may have been lost.
    pub(super) fn repeat_probe(&mut self, now: Micros) {
        let Some(probe) = &mut self.probe else { return };
        probe.repeat_at = now
            + self.config.period * DIRECT_PROBE_SHARE.0 / DIRECT_PROBE_SHARE.1 / 2
                * u64::from(1 + self.health);
        let (target, sequence) = (probe.target, probe.sequence);
        self.ping(target, sequence);
    }

    /// The next sequence number.
    pub(super) fn next_sequence(&mut self) -> u16 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Reports a member as suspect, if it is present.
    pub(super) fn suspect(&mut self, number: u16, now: Micros) {
        let Some(fact) = self.table.fact(number).filter(|f| f.status.is_present()) else { return };
        self.apply_fact(
            &Fact { status: Status::Suspect, reported_by: self.config.me, ..fact },
            now,
        );
    }

    /// Asks others to probe a member that has not answered.
    pub(super) fn send_indirect_probes(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.indirect_at = None;
        let (target, sequence, answered) = (probe.target, probe.sequence, probe.answered);
        if answered {
            return;
        }
        let me = self.config.me;
        let mut helpers: Vec<u16> = Vec::new();
        for _ in 0..INDIRECT_PROBERS {
            let predicate = |n: u16, s: Status| {
                s == Status::Alive && n != me && n != target && !helpers.contains(&n)
            };
            helpers.extend(pick_random(&self.table, &mut self.random, predicate));
        }
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers.len();
        }
        for helper in helpers {
            self.send(helper, MessageKind::PingReq, sequence, target, LONGEST);
        }
    }

    /// Probes a member that is dead, or of which no message was ever received. All processes together do so
    /// indefinitely, at a bounded rate.
    pub(super) fn probe_absent_member(&mut self) {
        let me = self.config.me;
        let absent = |n: u16, s: Status| matches!(s, Status::Dead | Status::Unknown) && n != me;
        let Counts { unknown, alive, suspect, dead, .. } = self.table.counts;
        // The share of the fleet that probes is bounded; otherwise a member that returns to a large fleet would spend
        // its whole budget on answers.
        let expected_probers =
            (dead + unknown) * ABSENT_PROBES_PER_PERIOD * ABSENT_PROBE_PERIODS as usize;
        let selected = below(&mut self.random, alive + suspect) < expected_probers;
        if !selected || mutant::is(Mutant::DeadAreForgotten) {
            return;
        }
        if let Some(number) = pick_random(&self.table, &mut self.random, absent) {
            let sequence = self.next_sequence();
            self.ping(number, sequence);
        }
    }

    /// Sends a probe.
    pub(super) fn ping(&mut self, to: u16, sequence: u16) {
        self.send(to, MessageKind::Ping, sequence, to, LONGEST);
    }
}
