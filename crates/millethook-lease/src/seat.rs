//! The side that grants.

use std::collections::BTreeMap;

use crate::mutant::{self, Mutant};
use crate::token::Token;
use crate::{JobId, Micros};

/// Jobs that one seat keeps, at most. Of more, what is free goes first; what is granted never does.
pub const MOST_JOBS: usize = 4096;

/// What a seat knows of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Job {
    /// No token up to this one is granted again.
    pub highest: Token,
    /// Who has it, and until when by the own clock.
    pub granted: Option<(Token, Micros)>,
}

/// What a seat says to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Granted,
    Held(Token, Micros),
    Low(Token),
    /// Nothing: it has just started, or it is full.
    Silence,
}

/// Jobs that this member grants.
#[derive(Clone, Debug)]
pub(crate) struct Seat {
    pub jobs: BTreeMap<JobId, Job>,
    /// Of jobs that are not in the table.
    pub floor: Token,
    /// It grants nothing before: what a process before it granted is over by then.
    pub silent_until: Micros,
}

impl Seat {
    pub fn new(epoch: u64, silent_until: Micros) -> Seat {
        let floor = Token { epoch, counter: 0, owner: 0 };
        Seat { jobs: BTreeMap::new(), floor, silent_until }
    }

    /// The highest token that is known of a job.
    pub fn highest(&self, job: JobId) -> Token {
        self.jobs.get(&job).map_or(self.floor, |known| known.highest)
    }

    /// A token was heard of: nothing below it is granted from now on.
    pub fn heard(&mut self, job: JobId, token: Token) {
        if let Some(known) = self.jobs.get_mut(&job) {
            known.highest = known.highest.max(token);
        }
    }

    pub fn claim(&mut self, now: Micros, job: JobId, token: Token, lease: Micros) -> Verdict {
        if now < self.silent_until && !mutant::is(Mutant::NoSilence) {
            // Whoever goes on with a lease tells how high tokens are, whatever the own clock says.
            self.floor = self.floor.max(token);
            return Verdict::Silence;
        }
        if !self.jobs.contains_key(&job) && !self.make_room(now) {
            return Verdict::Silence;
        }
        let floor = self.floor;
        let known = self.jobs.entry(job).or_insert(Job { highest: floor, granted: None });
        match known.granted.filter(|(_, until)| now < *until) {
            Some((mine, _)) if mine == token => {}
            Some((other, until)) if !mutant::is(Mutant::GrantsTwice) => {
                return Verdict::Held(other, until - now);
            }
            _ => {
                // Its own token again, where nothing came between: a lease that was over here for a moment.
                let again = known.granted.is_some_and(|(t, _)| t == token && t == known.highest);
                if token <= known.highest && !again && !mutant::is(Mutant::TokensStay) {
                    return Verdict::Low(known.highest);
                }
            }
        }
        known.highest = known.highest.max(token);
        known.granted = Some((token, now + lease));
        Verdict::Granted
    }

    pub fn release(&mut self, job: JobId, token: Token) {
        if let Some(known) = self.jobs.get_mut(&job)
            && known.granted.is_some_and(|(granted, _)| granted == token)
        {
            known.granted = None;
        }
        if !mutant::is(Mutant::ReleasedComesBack) {
            // A claim under this token may still be on its way.
            self.heard(job, token);
        } else if let Some(known) = self.jobs.get_mut(&job) {
            known.highest = Token { counter: token.counter.saturating_sub(1), ..token };
        }
    }

    /// Whether there is room for one more job. What is free is forgotten; the floor remembers its token.
    fn make_room(&mut self, now: Micros) -> bool {
        if self.jobs.len() < MOST_JOBS {
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
        self.jobs.len() < MOST_JOBS
    }

    /// How many jobs are granted now.
    pub fn granted(&self, now: Micros) -> usize {
        self.jobs.values().filter(|j| j.granted.is_some_and(|(_, until)| now < until)).count()
    }
}
