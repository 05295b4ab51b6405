//! The owner's side: rounds of claims to the acceptors of a job, for a first lease and for each renewal.

use std::collections::BTreeSet;

use rand_core::RngCore;

use super::{Event, Lease, MAX_WANTED};
use crate::message::{MAX_EARLIER_LISTS, Message, Record};
use crate::owner::{Round, Wanted};
use crate::token::Token;
use crate::{JobId, Micros};

/// The first wait, in microseconds, until acceptors that have not answered are asked again. It doubles with each attempt.
const RETRY_INTERVAL: Micros = 250_000;
/// A round fails after this share of the lease that it asks for.
const ROUND_SHARE: f64 = 0.25;
/// How often the wait for acceptors, and the wait after a failed round, doubles at most.
pub(super) const MAX_DOUBLINGS: u32 = 5;
/// After a collision with a short budget, one claim in so many goes out.
const ONE_CLAIM_IN: u32 = 4;
/// How often in a row a claim is put off at most, each time for a quarter of the lease.
const MAX_PUT_OFF: u32 = 8;
/// How many of the failed rounds count that found the owner. The first wait after a collision behind its end is then an
/// eighth to a quarter of the lease: many candidates have to be spread further than two.
const FAILURES_BEHIND_OWNER: u32 = 2;

/// How long a round lasts at most that asks for a lease of this length.
pub(super) fn round_length(lease: Micros) -> Micros {
    (lease as f64 * ROUND_SHARE) as Micros
}

impl Lease {
    /// Asks for a job, in leases of `lease` microseconds, with the first claim after `wait` microseconds.
    ///
    /// False: this member asks for [`MAX_WANTED`] jobs already, or there is no member. True also if the job was asked
    /// for before; then nothing changes.
    pub fn request(&mut self, now: Micros, job: JobId, lease: Micros, wait: Micros) -> bool {
        if self.jobs.contains_key(&job) {
            return true;
        }
        if self.jobs.len() >= MAX_WANTED || self.members.is_empty() {
            return false;
        }
        let mut wanted = Wanted {
            lease: lease.clamp(1_000, self.config.max_lease),
            acceptors: self.members.acceptors(job, self.config.acceptors),
            earlier_acceptors: Vec::new(),
            round: None,
            owned: None,
            // Without the wait after a start, a process that started in the middle of a change of members, and so knows
            // the new list alone, could be granted what an owner by the list before still holds.
            next_round_at: now.saturating_add(wait).max(self.startup_until),
            unreleased_token: None,
            failures: 0,
            collided: false,
            put_off: 0,
            highest_token: Token::default(),
            held: None,
            given_up: None,
        };
        for (before, _) in &self.earlier_members {
            wanted.members_changed(job, self.config.acceptors, before, &self.members);
        }
        self.jobs.insert(job, wanted);
        true
    }

    /// Starts a round: a claim to each acceptor, for a new lease or to renew the one that is held.
    pub(super) fn start_round(&mut self, now: Micros, job: JobId) {
        self.nonce = self.nonce.wrapping_add(1);
        let (nonce, me) = (self.nonce, self.config.me);
        let floor = self.acceptor.highest(job);
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let owned = wanted.owned.as_ref().map(|owned| owned.token);
        // After a collision where many want the job, such as the writer's, acceptors that are short of bytes could not answer all
        // of them before their rounds end. Only a collision counts: a claim that collides with none is never put off.
        let crowded = wanted.collided && wanted.put_off < MAX_PUT_OFF;
        if owned.is_none()
            && self.congested
            && crowded
            && !self.random.next_u32().is_multiple_of(ONE_CLAIM_IN)
        {
            wanted.put_off += 1;
            wanted.next_round_at = now + wanted.lease / 4;
            return;
        }
        wanted.put_off = 0;
        if owned.is_none() && now < self.unknown_members_until {
            wanted.next_round_at = self.unknown_members_until;
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

    /// Sends a claim to each acceptor that has not granted this round, and before it a release of the last token that
    /// may still be granted there.
    pub(super) fn send_claims(&mut self, now: Micros, job: JobId) {
        let (members, congested) = (self.members.id(), self.congested);
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let lease = wanted.lease;
        // Without this, the small side of a partition would spend its budget on claims that cannot succeed, and leases
        // that are held would expire for want of renewals; and answers that are late for want of bytes would be asked for
        // twice more. Where a datagram of the one claim is lost, and the majority with it, the job waits for a round.
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

    /// Ends a round without a lease, and chooses when the next one starts. What acceptors have granted is released, unless
    /// it renews a lease that is held.
    pub(super) fn fail_round(&mut self, now: Micros, job: JobId) {
        let random = u64::from(self.random.next_u32());
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let Some(round) = wanted.round.take() else { return };
        let all_acceptors = wanted.all_acceptors();
        let owned = wanted.owned.is_some();
        self.figures.failed += 1;
        let some = |of: Micros| of / 2 + random % (of / 2).max(1);
        let owner = wanted.owner_named(&round);
        let release_pending = wanted.release_pending(&round);
        wanted.collided = owner.is_none() && !release_pending && !round.held_by.is_empty();
        wanted.failures = match owner {
            // Without this bound, candidates that wait for their turn would wait for a lease more after the first collision
            // behind the owner's end.
            Some(_) => (wanted.failures + 1).min(FAILURES_BEHIND_OWNER),
            // Only the heir asks before a lost release has run out, so it need not spread its claims.
            None if release_pending => (wanted.failures + 1).min(FAILURES_BEHIND_OWNER),
            None => (wanted.failures + 1).min(MAX_DOUBLINGS),
        };
        wanted.next_round_at = match owner {
            // Soon, because a lease may be lost.
            _ if owned => now + some(wanted.lease / 16),
            Some((_, until)) => until.max(now) + some(wanted.lease / 8),
            None => now + some((wanted.lease / 32) << wanted.failures),
        };
        wanted.held = owner.or(wanted.held);
        if !owned {
            wanted.unreleased_token = Some(round.token);
            self.release_at_acceptors(job, &all_acceptors, round.token);
        }
        if let Some((token, _)) = owner {
            self.push_event(Event::Held(job, token));
        }
    }
}
