//! Applies what the sidecars of a fleet conclude about a server, where they share their evidence.

use super::*;

impl Balancer {
    /// Applies the fleet's verdict on a server.
    ///
    /// Other sidecars may be wrong, or right only for themselves. A verdict therefore only removes
    /// a server and never adds one; a recent answer to this sidecar overrides it; and verdicts
    /// never remove half of the servers or more.
    pub(super) fn apply_verdict(&mut self, server: ServerId, verdict: ServerVerdict) {
        let Some(&slot) = self.by_id.get(&server) else { return };
        // Without the first condition, a repeated verdict counts its own server twice and has no
        // effect.
        let is_unavailable = |&&other: &&Slot| other != slot && !self.healthy(&self.servers[other]);
        let unavailable = self.ready.slots.iter().filter(is_unavailable).count();
        let (now, room_left) = (self.now, 2 * (unavailable + 1) < self.ready.slots.len());
        let s = &mut self.servers[slot];
        let fresh =
            s.latest_answered_send > 0 && now - s.latest_answered_send < self.longest_aim as Micros;
        match verdict {
            ServerVerdict::Suspected if room_left && !fresh => {
                s.ejected_until = s.ejected_until.max(now + self.reset_interval);
                (s.failures, s.failed_at, s.chips) = (s.failures.max(1), now, 0);
            }
            ServerVerdict::Leaving if room_left && s.health == Health::Ready => {
                (s.health, s.draining_by_verdict) = (Health::Draining, true);
                self.choose_subset();
            }
            // A server that was removed from the list in the meantime stays removed.
            ServerVerdict::Trusted if s.draining_by_verdict && s.health == Health::Draining => {
                (s.health, s.draining_by_verdict) = (Health::Ready, false);
                self.choose_subset();
            }
            // Allows one trial at a time, since all sidecars get this verdict at once. Without
            // lowering the slowness that its silence caused, the server loses every tie.
            ServerVerdict::Trusted => {
                (s.ejected_until, s.slowness) = (s.ejected_until.min(now), s.slowness.min(1.0));
            }
            _ => {}
        }
    }
}
