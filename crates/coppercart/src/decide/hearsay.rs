//! What the sidecars of a fleet make of a server together, where they share that.

use super::*;

impl Balancer {
    /// Others may be wrong, or right for themselves alone. A verdict takes a server away and adds none,
    /// an own answer that is fresh counts before it, and it never leaves half of the servers out.
    pub(super) fn apply_verdict(&mut self, server: ServerId, standing: ServerVerdict) {
        let Some(&slot) = self.by_id.get(&server) else { return };
        // Without the first condition a verdict that is repeated counts its own server twice, and has no effect.
        let is_out = |&&other: &&Slot| other != slot && !self.healthy(&self.servers[other]);
        let out = self.ready.slots.iter().filter(is_out).count();
        let (now, room) = (self.now, 2 * (out + 1) < self.ready.slots.len());
        let s = &mut self.servers[slot];
        let fresh = s.answered > 0 && now - s.answered < self.longest_aim as Micros;
        match standing {
            ServerVerdict::Suspected if room && !fresh => {
                s.ejected_until = s.ejected_until.max(now + self.reset_interval);
                (s.failures, s.failed_at, s.chips) = (s.failures.max(1), now, 0);
            }
            ServerVerdict::Leaving if room && s.health == Health::Ready => {
                (s.health, s.leaving) = (Health::Draining, true);
                self.choose_subset();
            }
            // What has gone off the list meanwhile stays so.
            ServerVerdict::Trusted if s.leaving && s.health == Health::Draining => {
                (s.health, s.leaving) = (Health::Ready, false);
                self.choose_subset();
            }
            // One trial at a time: all hear it at once. While it looks slow for its silence, it loses each tie.
            ServerVerdict::Trusted => {
                (s.ejected_until, s.slowness) = (s.ejected_until.min(now), s.slowness.min(1.0));
            }
            _ => {}
        }
    }
}
