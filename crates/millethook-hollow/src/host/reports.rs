//! The reports of a host to its conductor.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::Host;
use super::tally::CumulativeCounts;
use crate::Micros;
use crate::protocol::{AgreementClass, Phase, RolloutStatus, Sample};

/// Maximum number of classes in a sample.
const MAX_CLASSES: usize = 8;
/// Maximum number of violations that a host reports per step.
const MAX_VIOLATIONS: usize = 4;

impl Host {
    /// Samples the current state.
    pub(super) fn sample(&mut self) -> Sample {
        let rollout = self.rollout();
        let topology = self.setup.plan.topology();
        let mut classes: HashMap<(u8, u64), usize> = HashMap::new();
        for (slot, node) in self.live().filter(|(slot, _)| !topology.is_control(slot.number)) {
            let key = (self.links.side(slot.number), node.state_summary().hash);
            *classes.entry(key).or_default() += usize::from(slot.settled.is_some());
        }
        let class = |((side, hash), settled)| AgreementClass { side, hash, settled };
        let mut classes: Vec<AgreementClass> = classes.into_iter().map(class).collect();
        classes.sort_by_key(|class| (Reverse(class.settled), class.hash));
        classes.truncate(MAX_CLASSES);
        let runs = |number: u16| self.truth.runs(number) && !topology.is_control(number);
        let live = self.slots.iter().filter(|slot| runs(slot.number)).count();
        Sample { step: self.tally.step, live, classes, rollout }
    }

    fn rollout(&mut self) -> Option<RolloutStatus> {
        let (slot, now) = (self.slot_of(self.truth.writer)?, self.now());
        let rollout = self.with_control(slot, |control| control.rollout(now))??;
        Some(RolloutStatus {
            expected: rollout.expected,
            in_force: rollout.in_force,
            refused: rollout.refused,
            not_heard: rollout.not_heard,
            control_nodes_missing: rollout.control_nodes_missing,
        })
    }

    /// Returns the counters that are not reset between steps.
    pub(super) fn cumulative_counts(&self) -> CumulativeCounts {
        let stalls = self.live().map(|(_, node)| node.stalls()).sum();
        CumulativeCounts { refused: self.sockets.refused, stalls }
    }

    /// Returns the report of the current step.
    pub(super) fn end_phase(&self, now: Micros) -> Phase {
        let mut phase = self.tally.end(now, self.cumulative_counts(), self.resident_before);
        let begun = self.tally.begun;
        for (slot, node) in self.live() {
            let since = |from| slot.settled.map(|at: Micros| at.saturating_sub(from) as f64 / 1e3);
            phase.sent.push(slot.sent);
            phase.settled_ms.push(since(begun));
            if slot.started >= begun {
                phase.joined_ms.push(since(slot.started));
            }
            if let Err(violation) = node.check(now) {
                phase.violations.push(format!("{}: {violation}", slot.number));
            }
        }
        phase.violations.truncate(MAX_VIOLATIONS);
        phase
    }
}
