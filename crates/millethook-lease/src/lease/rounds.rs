//! The proposer's side: rounds of claims to the acceptors of a job, for a first lease and for each renewal.

use std::collections::BTreeSet;

use rand_core::RngCore;

use super::{Event, Lease, MAX_WANTED_JOBS};
use crate::message::{MAX_EARLIER_LISTS, Message, Record};
use crate::owner::{Round, WantedJob};
use crate::token::Token;
use crate::{JobId, Micros};

/// Microseconds until acceptors that have not answered are sent a claim again. It doubles with each attempt.
const RETRY_INTERVAL: Micros = 250_000;
/// A round fails after this share of the requested lease.
const ROUND_SHARE: f64 = 0.25;
/// The maximum number of doublings of the wait for acceptors, and of the wait after a failed round.
pub(super) const MAX_DOUBLINGS: u32 = 5;
/// After a collision while congested, one of this many claims is sent.
const CONGESTED_CLAIM_DIVISOR: u32 = 4;
/// The maximum number of consecutive postponements of a claim, each by a quarter of the lease.
const MAX_POSTPONEMENTS: u32 = 8;
/// The maximum number of failed rounds that count while an owner is known. The first wait after a collision that
/// follows the owner's lease is then an eighth to a quarter of the lease, since many candidates need a wider spread
/// than two.
const MAX_FAILURES_WITH_OWNER: u32 = 2;

/// The maximum duration of a round that requests a lease of this length.
pub(super) fn round_length(lease: Micros) -> Micros {
    (lease as f64 * ROUND_SHARE) as Micros
}

impl Lease {
    /// Requests a job, in leases of `lease` microseconds, with the first claim after `wait` microseconds.
    ///
    /// Returns false if this member already requests [`MAX_WANTED_JOBS`] jobs, or if the member list is empty. Returns
    /// true also if the job was requested before; then nothing changes.
    pub fn request(&mut self, now: Micros, job: JobId, lease: Micros, wait: Micros) -> bool {
        if self.jobs.contains_key(&job) {
            return true;
        }
        if self.jobs.len() >= MAX_WANTED_JOBS || self.members.is_empty() {
            return false;
        }
        let mut wanted = WantedJob {
            lease: lease.clamp(1_000, self.config.max_lease),
            acceptors: self.members.acceptors(job, self.config.acceptors),
            earlier_acceptors: Vec::new(),
            round: None,
            owned: None,
            // Without the wait after a start, a process that started in the middle of a member change knows only the
            // new list, and could be granted a job that an owner by the previous list still holds.
            next_round_at: now.saturating_add(wait).max(self.startup_until),
            unreleased_token: None,
            failures: 0,
            collided: false,
            postponements: 0,
            highest_token: Token::default(),
            other_owner: None,
            invitation_token: None,
        };
        for (before, _) in &self.earlier_members {
            wanted.members_changed(job, self.config.acceptors, before, &self.members);
        }
        self.jobs.insert(job, wanted);
        true
    }

    /// Starts a round: sends a claim to each acceptor, for a new lease or to renew the current one.
    pub(super) fn start_round(&mut self, now: Micros, job: JobId) {
        self.nonce = self.nonce.wrapping_add(1);
        let (nonce, me) = (self.nonce, self.config.me);
        let floor = self.acceptor.highest(job);
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let owned = wanted.owned.as_ref().map(|owned| owned.token);
        // After a collision of many candidates, such as those for the writer's job, acceptors that are short of send
        // budget could not answer all claims before the rounds end. Only a collision counts: a claim that collides with
        // none is never postponed.
        let may_postpone = wanted.collided && wanted.postponements < MAX_POSTPONEMENTS;
        if owned.is_none()
            && self.congested
            && may_postpone
            && !self.random.next_u32().is_multiple_of(CONGESTED_CLAIM_DIVISOR)
        {
            wanted.postponements += 1;
            wanted.next_round_at = now + wanted.lease / 4;
            return;
        }
        wanted.postponements = 0;
        if owned.is_none() && now < self.unknown_list_until {
            wanted.next_round_at = self.unknown_list_until;
            return;
        }
        let token = owned.unwrap_or_else(|| wanted.highest_token.max(floor).next(me));
        wanted.highest_token = wanted.highest_token.max(token);
        wanted.round = Some(Round {
            nonce,
            token,
            started_at: now,
            granted: BTreeSet::new(),
            answered: BTreeSet::new(),
            retry_at: now,
            attempts: 0,
            held_by: Default::default(),
        });
        self.send_claims(now, job);
    }

    /// Sends a claim to each acceptor that has not granted this round, preceded by a release of the last token that may
    /// still be granted there.
    pub(super) fn send_claims(&mut self, now: Micros, job: JobId) {
        let (members, congested) = (self.members.id(), self.congested);
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let lease = wanted.lease;
        // Otherwise the minority side of a partition would spend its budget on claims that cannot succeed, and leases
        // that are held would expire because their renewals are not sent. Answers that are late for lack of budget
        // would be requested twice more. If a datagram of the single claim is lost, and the majority with it, the job
        // waits for the next round.
        let claims_once = congested && wanted.owned.is_none();
        let mut before = [0; MAX_EARLIER_LISTS];
        before.iter_mut().zip(&wanted.earlier_acceptors).for_each(|(id, of)| *id = of.id);
        let all_acceptors = wanted.all_acceptors();
        let Some(round) = &mut wanted.round else { return };
        let open: Vec<u16> = all_acceptors
            .into_iter()
            .filter(|acceptor| !round.granted.contains(acceptor))
            .collect();
        let retry_interval = RETRY_INTERVAL << round.attempts.min(MAX_DOUBLINGS);
        let longest_interval = round_length(lease);
        round.retry_at =
            now + if claims_once { longest_interval } else { retry_interval.min(longest_interval) };
        round.attempts += 1;
        let (nonce, token) = (round.nonce, round.token);
        let message = Message::Claim { nonce, members, before, token, lease };
        let unreleased_token =
            wanted.unreleased_token.filter(|unreleased_token| *unreleased_token != token);
        for acceptor in open {
            if let Some(token) = unreleased_token {
                self.deliver(now, acceptor, Record { job, message: Message::Release { token } });
            }
            self.deliver(now, acceptor, Record { job, message });
        }
    }

    /// Ends a round without a lease, and schedules the next one. Releases what acceptors have granted, unless the round
    /// renews a lease that is held.
    pub(super) fn fail_round(&mut self, now: Micros, job: JobId) {
        let random = u64::from(self.random.next_u32());
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let Some(round) = wanted.round.take() else { return };
        let all_acceptors = wanted.all_acceptors();
        let owned = wanted.owned.is_some();
        self.figures.failed += 1;
        let jittered = |of: Micros| of / 2 + random % (of / 2).max(1);
        let owner = wanted.named_owner(&round);
        let release_pending = wanted.release_pending(&round);
        wanted.collided = owner.is_none() && !release_pending && !round.held_by.is_empty();
        wanted.failures = match owner {
            // Without this bound, the first collision after the end of the owner's lease would delay waiting candidates
            // by another lease.
            Some(_) => (wanted.failures + 1).min(MAX_FAILURES_WITH_OWNER),
            // Only the successor sends claims before a lost release would have expired, so it need not spread its
            // claims.
            None if release_pending => (wanted.failures + 1).min(MAX_FAILURES_WITH_OWNER),
            None => (wanted.failures + 1).min(MAX_DOUBLINGS),
        };
        wanted.next_round_at = match owner {
            // Soon, because a lease may be lost.
            _ if owned => now + jittered(wanted.lease / 16),
            Some((_, until)) => until.max(now) + jittered(wanted.lease / 8),
            None => now + jittered((wanted.lease / 32) << wanted.failures),
        };
        wanted.other_owner = owner.or(wanted.other_owner);
        if !owned {
            wanted.unreleased_token = Some(round.token);
            self.release_at_acceptors(job, &all_acceptors, round.token);
        }
        if let Some((token, _)) = owner {
            self.push_event(Event::Held(job, token));
        }
    }
}
