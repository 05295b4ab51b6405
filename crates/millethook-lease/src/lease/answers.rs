//! The owner's side: answers of acceptors, and the lease that follows from a majority of them.

use rand_core::RngCore;

use super::asking::MAX_DOUBLINGS;
use super::{Event, Lease};
use crate::mutant::{self, Mutant};
use crate::owner::{Owned, Round};
use crate::{JobId, Micros};

/// A lease is renewed when this share of its time is left.
const RENEW_AT_REMAINING: f64 = 2.0 / 3.0;

impl Lease {
    /// Takes the answer of an acceptor. `members` names the list that the acceptor goes by; `note` enters the answer into the
    /// round with this `nonce`, if that one still runs and the sender is an acceptor of the job.
    pub(super) fn handle_answer(
        &mut self,
        now: Micros,
        from: u16,
        job: JobId,
        nonce: u32,
        members: u32,
        note: impl FnOnce(&mut Round),
    ) {
        self.expire(now, job);
        let (own, longest) = (self.members.id(), self.config.max_lease);
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        if members == own || wanted.earlier_acceptors.iter().any(|before| before.id == members) {
            wanted.note_members_of_acceptor(now, from, members, longest);
        }
        let acceptors = wanted.all_acceptors();
        let Some(round) = wanted.round.as_mut().filter(|round| round.nonce == nonce) else {
            return;
        };
        if !acceptors.contains(&from) {
            return;
        }
        round.answered.insert(from);
        note(round);
        self.conclude_round(now, job);
    }

    /// Ends the round that is under way, if its answers so far decide it.
    fn conclude_round(&mut self, now: Micros, job: JobId) {
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let Some(round) = &wanted.round else { return };
        if wanted.is_quorum(&round.granted) {
            if let Some(round) = wanted.round.take() {
                self.acquire_lease(now, job, round);
            }
            return;
        }
        // Of several claims that have some acceptors each, none with a majority, the greatest token has its way, and the others
        // give back at once what they have. Without this each would keep its acceptors until the end of its round, and all
        // would fail, again and again where an acceptor is silent or datagrams are lost. Where the greater token is that of a
        // claim whose sender is gone, this one comes back with a token above it.
        let outbid = wanted.owned.is_none() && round.is_outbid();
        if !outbid && !wanted.quorum_impossible(round) {
            return;
        }
        let only_token_too_low = round.held_by.is_empty() && wanted.owned.is_none();
        let at_once = only_token_too_low && wanted.failures < MAX_DOUBLINGS;
        self.fail_round(now, job);
        if at_once && let Some(wanted) = self.jobs.get_mut(&job) {
            // With a token above the ones that were heard of it may be had without a wait.
            wanted.next_round_at = now;
        }
    }

    /// A majority has granted the round: the lease runs from when its first claim was sent.
    pub(super) fn acquire_lease(&mut self, now: Micros, job: JobId, round: Round) {
        let drift = if mutant::is(Mutant::NoDrift) { 0.0 } else { self.config.max_drift };
        let random = u64::from(self.random.next_u32());
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        // Acceptors count from when they received the claim, which is later than when it was sent. The owner's clock may
        // be as much slower than true time, and theirs as much faster, as the bound on drift allows.
        let length = (wanted.lease as f64 * (1.0 - drift) / (1.0 + drift)) as Micros;
        let from = if mutant::is(Mutant::CountsFromAnswer) { now } else { round.started_at };
        let until = from + length;
        let acquired = wanted.owned.is_none();
        if until <= now {
            // The answers took longer than the lease.
            wanted.round = Some(round);
            return self.fail_round(now, job);
        }
        wanted.owned = Some(Owned { token: round.token, until, by: round.granted });
        (wanted.failures, wanted.held, wanted.unreleased_token) = (0, None, None);
        // Renewals are spread at random, so that an owner of many jobs does not renew all of them at once.
        let early = (length as f64 * (1.0 - RENEW_AT_REMAINING)) as Micros;
        wanted.next_round_at = from + early.saturating_sub(random % (early / 8).max(1));
        wanted.next_round_at = wanted.next_round_at.max(now);
        if acquired {
            self.figures.granted += 1;
            self.push_event(Event::Granted(job, round.token));
        }
    }

    /// Ends a lease that has run out.
    pub(super) fn expire(&mut self, now: Micros, job: JobId) {
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        if mutant::is(Mutant::NoLook) {
            return;
        }
        if let Some(owned) = wanted.owned.take_if(|owned| owned.until <= now) {
            // Without this, a late grant of the round that runs would bring the same token back as if it had never
            // been lost.
            wanted.round = None;
            wanted.unreleased_token = Some(owned.token);
            wanted.next_round_at = now;
            let all_acceptors = wanted.all_acceptors();
            self.figures.lost += 1;
            self.release_at_acceptors(job, &all_acceptors, owned.token);
            self.push_event(Event::Lost(job, owned.token));
        }
    }
}
