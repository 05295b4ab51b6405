//! Timers: work that is due, and when the next is due.

use millethook_machine::codec::write_header;

use super::{Destination, Replica};
use crate::Micros;
use crate::entry::Verdict;
use crate::message::{LONGEST, MessageKind};
use crate::mutant::{self, Mutant};

/// Messages with updates per period.
const GOSSIPS_PER_PERIOD: u64 = 10;

impl Replica {
    /// When [`Replica::tick`] must be called next, in microseconds.
    pub fn poll_timeout(&self) -> Micros {
        let gossips = !self.updates.is_empty() || self.differs_until > self.next_gossip;
        let next =
            if gossips { self.next_compare.min(self.next_gossip) } else { self.next_compare };
        let silent = self.attempt_monitor.next_silence_at(self.config.silence);
        [self.next_expiry, silent].into_iter().flatten().fold(next, Micros::min)
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.expire_entries(now);
        self.report_silent_servers(now);
        self.compare_periodically(now);
        self.gossip(now);
    }

    fn expire_entries(&mut self, now: Micros) {
        if self.next_expiry.is_some_and(|at| at <= now) {
            for server in self.store.expire(now) {
                self.update_server_status(server, now);
            }
            self.next_expiry = self.store.next_expiry();
        }
    }

    fn report_silent_servers(&mut self, now: Micros) {
        for server in self.attempt_monitor.take_silent_servers(now, self.config.silence) {
            if let Some(&epoch) = self.listed_servers.get(&server) {
                self.publish_verdict(now, server, epoch, Verdict::Silent);
            }
        }
    }

    fn compare_periodically(&mut self, now: Micros) {
        if self.next_compare > now {
            return;
        }
        self.next_compare = now + self.config.period;
        if self.store.len() > 0 && !self.congested && !mutant::is(Mutant::NoRepair) {
            self.compare_with_anyone(now, 0);
        }
    }

    /// Sends updates to one more member, or a comparison if copies were recently found to differ.
    fn gossip(&mut self, now: Micros) {
        let differs = self.differs_until > now && !mutant::is(Mutant::NoRepair);
        if self.next_gossip > now || !differs && self.updates.is_empty() {
            return;
        }
        // A comparison is answered with as many bytes, so it takes the place of two messages.
        let slots = if differs { 2 } else { 1 };
        self.next_gossip = now + slots * self.config.period / GOSSIPS_PER_PERIOD;
        if self.congested {
            return;
        }
        if differs {
            self.compare_with_anyone(now, LONGEST);
        } else {
            let bytes = write_header(&self.header(MessageKind::Gossip, 0, now));
            self.send_with_updates(Destination::Anyone, bytes, LONGEST, now);
        }
    }
}
