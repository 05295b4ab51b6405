//! The proposer's side: answers of acceptors, and the lease that follows from a majority of them.

use rand_core::RngCore;

use super::rounds::MAX_DOUBLINGS;
use super::{Event, Lease};
use crate::mutant::{self, Mutant};
use crate::owner::{Owned, Round};
use crate::{JobId, Micros};

/// A lease is renewed when this share of it is left.
const RENEW_AT_REMAINING: f64 = 2.0 / 3.0;

impl Lease {
    /// Processes the answer of an acceptor. `members` identifies the member list that the acceptor uses.
    /// `record_answer` records the answer in the round with this `nonce`, if that round is still active and the sender
    /// is an acceptor of the job.
    pub(super) fn handle_answer(
        &mut self,
        now: Micros,
        from: u16,
        job: JobId,
        nonce: u32,
        members: u32,
        record_answer: impl FnOnce(&mut Round),
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
        record_answer(round);
        self.conclude_round(now, job);
    }

    /// Ends the active round, if its answers so far decide it.
    fn conclude_round(&mut self, now: Micros, job: JobId) {
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        let Some(round) = &wanted.round else { return };
        if wanted.is_quorum(&round.granted) {
            if let Some(round) = wanted.round.take() {
                self.acquire_lease(now, job, round);
            }
            return;
        }
        // Of several claims that have some acceptors each, none with a majority, the one with the greatest token
        // proceeds, and the others release what they have at once. Otherwise each would keep its acceptors until the
        // end of its round and all would fail, repeatedly where an acceptor is silent or datagrams are lost. If the
        // sender of the greater token is gone, this claim is retried with a token above it.
        let outbid = wanted.owned.is_none() && round.is_outbid();
        if !outbid && !wanted.quorum_impossible(round) {
            return;
        }
        let only_token_too_low = round.held_by.is_empty() && wanted.owned.is_none();
        let retry_at_once = only_token_too_low && wanted.failures < MAX_DOUBLINGS;
        self.fail_round(now, job);
        if retry_at_once && let Some(wanted) = self.jobs.get_mut(&job) {
            // A token above the ones in the answers may succeed without a wait.
            wanted.next_round_at = now;
        }
    }

    /// A majority has granted the round: the lease runs from the time at which its first claim was sent.
    pub(super) fn acquire_lease(&mut self, now: Micros, job: JobId, round: Round) {
        let drift = if mutant::is(Mutant::NoDrift) { 0.0 } else { self.config.max_drift };
        let random = u64::from(self.random.next_u32());
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        // Acceptors count from when they received the claim, which is later than when it was sent. The bound on drift
        // allows the owner's clock to be that much slower than true time, and the acceptors' clocks that much faster.
        let length = (wanted.lease as f64 * (1.0 - drift) / (1.0 + drift)) as Micros;
        let counted_from =
            if mutant::is(Mutant::CountsFromAnswer) { now } else { round.started_at };
        let until = counted_from + length;
        let acquired = wanted.owned.is_none();
        if until <= now {
            // The answers took longer than the lease.
            wanted.round = Some(round);
            return self.fail_round(now, job);
        }
        wanted.owned = Some(Owned { token: round.token, until, granted_by: round.granted });
        (wanted.failures, wanted.other_owner, wanted.unreleased_token) = (0, None, None);
        // Renewals are spread randomly, so that an owner of many jobs does not renew all of them at once.
        let renewal_delay = (length as f64 * (1.0 - RENEW_AT_REMAINING)) as Micros;
        wanted.next_round_at =
            counted_from + renewal_delay.saturating_sub(random % (renewal_delay / 8).max(1));
        wanted.next_round_at = wanted.next_round_at.max(now);
        if acquired {
            self.figures.granted += 1;
            self.push_event(Event::Granted(job, round.token));
        }
    }

    /// Ends a lease that has expired.
    pub(super) fn expire(&mut self, now: Micros, job: JobId) {
        let Some(wanted) = self.jobs.get_mut(&job) else { return };
        if mutant::is(Mutant::NoLook) {
            return;
        }
        if let Some(owned) = wanted.owned.take_if(|owned| owned.until <= now) {
            // Otherwise a late grant of the active round would restore the same token as if it had never been lost.
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
