//! Release of leases, one by one or all at the end of the process.

use super::{Event, Lease};
use crate::message::{Message, Record};
use crate::token::Token;
use crate::{JobId, Micros};

/// Microseconds between repetitions of the final messages. They are repeated because a datagram may be lost and they
/// are not acknowledged.
const FINAL_REPEAT_INTERVAL: Micros = 50_000;
/// The number of repetitions of the final messages.
const FINAL_REPEATS: u32 = 3;

/// Releases and invitations of a member that has left, repeated because they are not acknowledged.
#[derive(Clone, Debug, Default)]
pub(super) struct FinalMessages {
    records: Vec<(u16, Record)>,
    next_at: Micros,
    repeats_left: u32,
}

impl FinalMessages {
    /// When they are sent again. None: never.
    pub fn poll_timeout(&self) -> Option<Micros> {
        (self.repeats_left > 0).then_some(self.next_at)
    }
}

impl Lease {
    /// Stops requesting a job, and releases its lease if it is held. Then `successor` is invited to claim it at once.
    pub fn release(&mut self, now: Micros, job: JobId, successor: Option<u16>) {
        let Some(wanted) = self.jobs.remove(&job) else { return };
        let token = wanted.owned.as_ref().map(|owned| owned.token);
        // A claim of the active round may have been granted somewhere.
        for token in [token, wanted.round.as_ref().map(|r| r.token)].into_iter().flatten() {
            self.release_at_acceptors(job, &wanted.all_acceptors(), token);
        }
        if let Some(token) = token {
            self.push_event(Event::Lost(job, token));
            if let Some(successor) = successor.filter(|successor| *successor != self.config.me) {
                self.deliver(now, successor, Record { job, message: Message::Invite { token } });
            }
        }
    }

    /// Releases all leases because this process is about to end. `successor` returns for each job the member that is
    /// invited to claim it. From now on this member grants nothing.
    pub fn shutdown(&mut self, now: Micros, successor: impl Fn(JobId) -> Option<u16>) {
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in &jobs {
            let Some(wanted) = self.jobs.get(job) else { continue };
            let Some(owned) = &wanted.owned else { continue };
            let token = owned.token;
            let release = Record { job: *job, message: Message::Release { token } };
            let acceptors =
                wanted.all_acceptors().into_iter().filter(|acceptor| *acceptor != self.config.me);
            self.final_messages.records.extend(acceptors.map(|acceptor| (acceptor, release)));
            let invite = Record { job: *job, message: Message::Invite { token } };
            self.final_messages
                .records
                .extend(successor(*job).map(|successor| (successor, invite)));
        }
        self.final_messages.next_at = now + FINAL_REPEAT_INTERVAL;
        self.final_messages.repeats_left = FINAL_REPEATS;
        jobs.into_iter().for_each(|job| self.release(now, job, successor(job)));
        // Granted leases keep their time, but no new ones are granted.
        self.acceptor.silent_until = Micros::MAX;
    }

    /// Tells acceptors that a token is no longer in use.
    pub(super) fn release_at_acceptors(&mut self, job: JobId, acceptors: &[u16], token: Token) {
        for acceptor in acceptors {
            if *acceptor == self.config.me {
                self.acceptor.release(job, token);
            } else {
                self.send(*acceptor, Record { job, message: Message::Release { token } });
            }
        }
    }

    /// Sends the final messages once more, if due.
    pub(super) fn repeat_final_messages(&mut self, now: Micros) {
        if self.final_messages.poll_timeout().is_none_or(|at| at > now) {
            return;
        }
        self.final_messages.next_at = now + FINAL_REPEAT_INTERVAL;
        self.final_messages.repeats_left -= 1;
        for (to, record) in self.final_messages.records.clone() {
            self.send(to, record);
        }
    }
}
