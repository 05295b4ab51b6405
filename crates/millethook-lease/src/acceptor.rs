//! The acceptor: which claims are granted.

use std::collections::BTreeMap;

use crate::mutant::{self, Mutant};
use crate::token::Token;
use crate::{JobId, Micros};

/// The maximum number of jobs in an acceptor's table. Beyond it, jobs without a lease are dropped; a lease never is.
pub const MAX_JOBS: usize = 4096;

/// An acceptor's state of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AcceptorJob {
    /// The highest known token. No token up to this one is granted again.
    pub highest: Token,
    /// The lease that was granted last, and its end.
    pub granted: Option<(Token, Micros)>,
}

/// An acceptor's answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// The lease is granted, or renewed.
    Granted,
    /// Another token holds the job for this many microseconds.
    Held(Token, Micros),
    /// This higher token is known.
    TokenTooLow(Token),
    /// No answer: the process has just started, or its table is full.
    NoAnswer,
}

/// The leases that this member has granted.
#[derive(Clone, Debug)]
pub(crate) struct Acceptor {
    /// The jobs with known state.
    pub jobs: BTreeMap<JobId, AcceptorJob>,
    /// The highest token of all jobs that are not in the table.
    pub floor: Token,
    /// Nothing is granted before this time. Leases that an earlier process granted have expired by then.
    pub silent_until: Micros,
}

impl Acceptor {
    /// An acceptor without any known lease.
    pub fn new(epoch: u64, silent_until: Micros) -> Acceptor {
        let floor = Token { epoch, counter: 0, owner: 0 };
        Acceptor { jobs: BTreeMap::new(), floor, silent_until }
    }

    /// The highest known token of a job.
    pub fn highest(&self, job: JobId) -> Token {
        self.jobs.get(&job).map_or(self.floor, |job_state| job_state.highest)
    }

    /// Records a token that was seen elsewhere: no lower token is granted from now on.
    pub fn observe_token(&mut self, job: JobId, token: Token) {
        if let Some(job_state) = self.jobs.get_mut(&job) {
            job_state.highest = job_state.highest.max(token);
        }
    }

    /// Decides on a claim for `lease` microseconds.
    pub fn claim(&mut self, now: Micros, job: JobId, token: Token, lease: Micros) -> ClaimDecision {
        if now < self.silent_until && !mutant::is(Mutant::NoSilence) {
            // Renewals that arrive in this time show how high tokens are, even if the own clock was set back.
            self.floor = self.floor.max(token);
            return ClaimDecision::NoAnswer;
        }
        if !self.jobs.contains_key(&job) && !self.make_room(now) {
            return ClaimDecision::NoAnswer;
        }
        let floor = self.floor;
        let job_state =
            self.jobs.entry(job).or_insert(AcceptorJob { highest: floor, granted: None });
        match job_state.granted.filter(|(_, until)| now < *until) {
            Some((held, _)) if held == token => {}
            Some((other, until)) if !mutant::is(Mutant::GrantsTwice) => {
                return ClaimDecision::Held(other, until - now);
            }
            _ => {
                // The same token again is a renewal, even after the lease has expired here, as long as no other token
                // was granted in between.
                let late_renewal =
                    job_state.granted.is_some_and(|(t, _)| t == token && t == job_state.highest);
                if token <= job_state.highest && !late_renewal && !mutant::is(Mutant::TokensStay) {
                    return ClaimDecision::TokenTooLow(job_state.highest);
                }
            }
        }
        job_state.highest = job_state.highest.max(token);
        job_state.granted = Some((token, now + lease));
        ClaimDecision::Granted
    }

    /// Ends the lease with this token. The token itself is not granted again, because a claim with it may still be in
    /// transit.
    pub fn release(&mut self, job: JobId, token: Token) {
        if let Some(job_state) = self.jobs.get_mut(&job)
            && job_state.granted.is_some_and(|(granted, _)| granted == token)
        {
            job_state.granted = None;
        }
        if !mutant::is(Mutant::ReleasedComesBack) {
            self.observe_token(job, token);
        } else if let Some(job_state) = self.jobs.get_mut(&job) {
            job_state.highest = Token { counter: token.counter.saturating_sub(1), ..token };
        }
    }

    /// Whether there is room for one more job. Jobs without a lease are dropped; the floor keeps their tokens.
    fn make_room(&mut self, now: Micros) -> bool {
        if self.jobs.len() < MAX_JOBS {
            return true;
        }
        let floor = &mut self.floor;
        self.jobs.retain(|_, job| {
            let kept = job.granted.is_some_and(|(_, until)| now < until);
            if !kept {
                *floor = (*floor).max(job.highest);
            }
            kept
        });
        self.jobs.len() < MAX_JOBS
    }

    /// The number of jobs with a lease that has not expired.
    pub fn granted_jobs(&self, now: Micros) -> usize {
        self.jobs.values().filter(|j| j.granted.is_some_and(|(_, until)| now < until)).count()
    }
}
