//! Timers: work that is due, and when the next is due.

use super::Lease;
use super::rounds::round_length;
use crate::owner::WantedJob;
use crate::{JobId, Micros};

impl Lease {
    /// When [`Lease::tick`] must be called next, in microseconds. [`Micros::MAX`]: nothing is due.
    pub fn poll_timeout(&self) -> Micros {
        let next_due = |wanted: &WantedJob| {
            let round = wanted.round.as_ref().map_or(wanted.next_round_at, |r| r.retry_at);
            wanted.owned.as_ref().map_or(round, |owned| round.min(owned.until))
        };
        let next = self.jobs.values().map(next_due).min().unwrap_or(Micros::MAX);
        self.final_messages.poll_timeout().map_or(next, |at| next.min(at))
    }

    /// Does the work that is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        self.repeat_final_messages(now);
        self.drop_earlier_members(now);
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.expire(now, job);
            self.advance_round(now, job);
        }
    }

    /// Starts a round that is due, resends claims in an active one, and fails one that took too long.
    fn advance_round(&mut self, now: Micros, job: JobId) {
        let Some(wanted) = self.jobs.get(&job) else { return };
        match &wanted.round {
            None if wanted.next_round_at <= now => self.start_round(now, job),
            Some(round) if round.retry_at <= now => {
                if now >= round.started_at + round_length(wanted.lease) {
                    self.fail_round(now, job);
                } else {
                    self.send_claims(now, job);
                }
            }
            _ => {}
        }
    }
}
