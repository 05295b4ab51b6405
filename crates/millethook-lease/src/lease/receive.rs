//! Messages of other members: the acceptor answers claims, the proposer processes answers.

use millethook_machine::codec::Reader;

use super::Lease;
use crate::acceptor::ClaimDecision;
use crate::message::{Message, Record};
use crate::mutant::{self, Mutant};
use crate::token::Token;
use crate::{JobId, Micros};

/// A claim of a member that uses a known member list.
struct Claim {
    job: JobId,
    nonce: u32,
    token: Token,
    /// Microseconds.
    lease: Micros,
}

impl Lease {
    /// Processes a message of the member `from`. Reading stops at the first bytes that are not a record, which are
    /// counted in [`Figures::malformed`](super::Figures::malformed).
    pub fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        let mut reader = Reader::new(content);
        let records: Vec<Record> = reader.records(Record::read).collect();
        if !reader.remaining().is_empty() || content.is_empty() {
            self.figures.malformed += 1;
        }
        records.into_iter().for_each(|record| self.handle_record(now, from, record));
    }

    /// Processes one record. A claim or a release in the name of another member is counted and has no effect.
    pub(super) fn handle_record(&mut self, now: Micros, from: u16, record: Record) {
        let job = record.job;
        match record.message {
            Message::Claim { nonce, members, before, token, lease } => {
                if !self.knows_members(now, members, &before) {
                    return;
                }
                if token.owner == from {
                    self.answer_claim(now, from, &Claim { job, nonce, token, lease });
                } else {
                    self.figures.malformed += 1;
                }
            }
            Message::Granted { nonce, members, token } => {
                self.handle_answer(now, from, job, nonce, members, |round| {
                    if token == round.token {
                        round.granted.insert(from);
                        round.held_by.remove(&from);
                    }
                })
            }
            Message::Held { nonce, members, token, left } => {
                let until = now.saturating_add(left);
                self.handle_answer(now, from, job, nonce, members, |round| {
                    round.held_by.insert(from, (token, until));
                    // Otherwise the acceptor would be sent a claim again only after a doubled wait, which may outlast
                    // the round. A job would then have no owner for several rounds, although it is known when the
                    // acceptor becomes free.
                    round.retry_at = round.retry_at.min(until + 1);
                });
                self.observe_token(job, token);
            }
            Message::TokenTooLow { nonce, members, token } => {
                self.observe_token(job, token);
                self.handle_answer(now, from, job, nonce, members, |_| {});
            }
            Message::Release { token } if token.owner == from => self.acceptor.release(job, token),
            Message::Release { .. } => self.figures.malformed += 1,
            Message::Invite { token } => self.handle_invitation(now, job, token),
        }
    }
    /// Whether a claim uses the own member list, or one that its sender has since replaced by the own one.
    ///
    /// A member with another list has other acceptors, and two majorities of different acceptors need not overlap. A
    /// claim by an unknown list is counted and not answered.
    fn knows_members(&mut self, now: Micros, members: u32, before: &[u32]) -> bool {
        let own = self.members.id();
        if members == own || before.contains(&own) || mutant::is(Mutant::AnyMembers) {
            return true;
        }
        self.figures.strangers += 1;
        let since = self.earlier_members.iter().any(|(list, _)| list.id() == members);
        if self.list_unchanged && !since {
            self.unknown_list_until = now.saturating_add(self.config.max_lease);
        }
        false
    }

    /// Answers a claim as an acceptor.
    fn answer_claim(&mut self, now: Micros, from: u16, claim: &Claim) {
        let Claim { job, nonce, token, lease } = *claim;
        let members = self.members.id();
        let lease = lease.min(self.config.max_lease);
        let message = match self.acceptor.claim(now, job, token, lease) {
            ClaimDecision::Granted => Message::Granted { nonce, members, token },
            ClaimDecision::Held(token, left) => Message::Held { nonce, members, token, left },
            ClaimDecision::TokenTooLow(token) => Message::TokenTooLow { nonce, members, token },
            ClaimDecision::NoAnswer => return,
        };
        self.deliver(now, from, Record { job, message });
    }

    /// Handles an invitation: the owner has released a job, and names this member as the next to claim it.
    fn handle_invitation(&mut self, now: Micros, job: JobId, token: Token) {
        self.observe_token(job, token);
        if let Some(wanted) = self.jobs.get_mut(&job).filter(|w| w.owned.is_none()) {
            wanted.other_owner = None;
            wanted.invitation_token = Some(token);
            if wanted.round.is_none() {
                wanted.next_round_at = now.max(self.startup_until);
            }
        }
    }

    /// Records a token that was seen elsewhere, at a resource that the job changes. The next claim of this member uses
    /// a token above it.
    pub fn observe_token(&mut self, job: JobId, token: Token) {
        if let Some(wanted) = self.jobs.get_mut(&job) {
            wanted.highest_token = wanted.highest_token.max(token);
        }
        self.acceptor.observe_token(job, token);
    }
}
