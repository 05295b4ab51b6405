//! Applies the action at the beginning of a step.

use millethook_machine::hash::mix;

use super::tally::Tally;
use super::{Host, Slot, unix_ms};
use crate::Micros;
use crate::plan::Action;
use crate::protocol::Phase;

impl Host {
    /// Ends the current step, begins the next one and applies its action.
    pub(super) fn step(&mut self, step: usize, action: &Action) -> Phase {
        let phase = self.end_phase(self.now());
        // The clock is read again, so that time spent on ending the last step does not count in this one.
        let now = self.now();
        self.tally = Tally::begin(step, now, self.cumulative_counts());
        self.slots.iter_mut().for_each(|slot| slot.sent = 0);
        self.apply_action(step, action, now);
        self.truth.count(&self.links);
        for slot in 0..self.slots.len() {
            self.slots[slot].settled = None;
            self.update_settled(slot, now);
        }
        phase
    }

    fn apply_action(&mut self, step: usize, action: &Action, now: Micros) {
        match action {
            Action::Start => {
                let all: Vec<u16> = (0..self.setup.plan.topology().members()).collect();
                self.start(&all, self.setup.plan.start_over_s, step, now);
            }
            Action::Quiet => {}
            Action::Kill(target) => {
                let numbers = self.truth.targets(target, step);
                self.truth.set(&numbers, false);
                self.for_each_slot(&numbers, |slot| (slot.node, slot.due) = (None, Micros::MAX));
            }
            Action::Restart { over_s } => {
                let absent = self.truth.absent();
                self.truth.set(&absent, true);
                self.start(&absent, *over_s, step, now);
            }
            Action::Pause(target) => {
                let numbers = self.truth.targets(target, step);
                self.truth.set(&numbers, false);
                self.for_each_slot(&numbers, |slot| slot.paused = true);
            }
            Action::Resume => self.resume(now),
            Action::Cut { groups } => self.links.cut(groups),
            Action::Heal => self.links.heal(),
            Action::Loss { share } => self.links.set_loss(*share),
            Action::Lead { node } => self.make_writer(self.setup.plan.size + *node, now),
            Action::Publish(publish) => {
                let publications = self.truth.publish(publish, now);
                if let Some(writer) = self.slot_of(self.truth.writer) {
                    self.with_control(writer, |control| control.publish(publications));
                    self.schedule(writer, now);
                }
            }
        }
    }

    /// Makes a control node the writer.
    pub(super) fn make_writer(&mut self, number: u16, now: Micros) {
        self.truth.writer = number;
        if let Some(slot) = self.slot_of(number) {
            let epoch = unix_ms();
            self.with_control(slot, |control| control.become_writer(now, epoch));
            self.schedule(slot, now);
        }
    }

    fn resume(&mut self, now: Micros) {
        let paused: Vec<usize> =
            (0..self.slots.len()).filter(|slot| self.slots[*slot].paused).collect();
        for slot in paused {
            self.slots[slot].paused = false;
            self.backlogged.push(slot);
            self.schedule(slot, now);
        }
        let absent = self.truth.absent();
        self.truth.set(&absent, true);
    }

    fn for_each_slot(&mut self, numbers: &[u16], mut change: impl FnMut(&mut Slot)) {
        for number in numbers {
            if let Some(slot) = self.slot_of(*number).and_then(|n| self.slots.get_mut(n)) {
                change(slot);
            }
        }
    }

    /// Starts members: sidecars at random times within `over_s` seconds, control nodes immediately.
    fn start(&mut self, numbers: &[u16], over_s: f64, step: usize, now: Micros) {
        let span = (over_s.max(0.0) * 1e6) as u64;
        self.restarting_until = now + span;
        let salt = mix(self.setup.plan.seed ^ mix(0x57a7 ^ step as u64));
        for number in numbers {
            let Some(slot) = self.slot_of(*number) else { continue };
            let delay_bound = if self.setup.plan.topology().is_control(*number) { 0 } else { span };
            let at = now + mix(salt ^ u64::from(*number)) % delay_bound.max(1);
            self.schedule(slot, at);
        }
    }
}
