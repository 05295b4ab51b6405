//! The proposer's state of each requested job: the active round, the lease, and the acceptors.

use std::collections::{BTreeMap, BTreeSet};

use crate::membership::Members;
use crate::mutant::{self, Mutant};
use crate::token::Token;
use crate::{JobId, Micros};

/// The state of a requested job, as one member sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// This member has no lease, and knows of no other owner.
    Waiting,
    /// This member owns the job under this token until this time at the latest.
    Owner(Token, Micros),
    /// Another member owned the job under this token, until this time at the latest, when the acceptors last answered.
    Held(Token, Micros),
}

/// One round of claims to all acceptors of a job.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Identifies the round in answers.
    pub nonce: u32,
    /// The token that is claimed.
    pub token: Token,
    /// When the first claim was sent. The lease runs from this time.
    pub started_at: Micros,
    /// Acceptors that have granted the claim.
    pub granted: BTreeSet<u16>,
    /// Acceptors that have answered in any way.
    pub answered: BTreeSet<u16>,
    /// When acceptors that have not answered are sent a claim again.
    pub retry_at: Micros,
    /// How often claims were sent in this round.
    pub attempts: u32,
    /// By acceptor that refused the claim: the token that holds the job, and the end of its lease.
    pub held_by: BTreeMap<u16, (Token, Micros)>,
}

impl Round {
    /// The number of acceptors that report this token as the holder.
    fn count_naming(&self, token: Token) -> usize {
        self.held_by.values().filter(|(held, _)| *held == token).count()
    }

    /// The latest end of a token's lease that an acceptor reports.
    fn latest_end_of(&self, token: Token) -> Option<Micros> {
        self.held_by.values().filter(|(held, _)| *held == token).map(|(_, until)| *until).max()
    }

    /// Whether an acceptor is held by a claim with a greater token than this round's.
    pub fn is_outbid(&self) -> bool {
        self.held_by.values().any(|(token, _)| *token > self.token)
    }
}

/// A job that this member requests.
#[derive(Clone, Debug)]
pub(crate) struct WantedJob {
    /// The length of each lease, in microseconds.
    pub lease: Micros,
    /// The acceptors by the current member list.
    pub acceptors: Vec<u16>,
    /// The acceptors by earlier member lists, the latest last, each kept until nobody can be granted the job by that
    /// list alone.
    pub earlier_acceptors: Vec<EarlierAcceptors>,
    /// The active round.
    pub round: Option<Round>,
    /// The lease that is held.
    pub owned: Option<Owned>,
    /// When the next round starts.
    pub next_round_at: Micros,
    /// The token of the last failed round, or of the expired lease. Its release may have been lost, so it is sent again
    /// before each claim.
    pub unreleased_token: Option<Token>,
    /// Consecutive rounds that failed and found no owner.
    pub failures: u32,
    /// Whether, in the last round, acceptors were held by claims of others, none of which is known to own the job.
    pub collided: bool,
    /// Consecutive postponements of the next round because the send budget was short.
    pub postponements: u32,
    /// The highest token of the job that is known.
    pub highest_token: Token,
    /// Another owner's token, and the end of its lease.
    pub other_owner: Option<(Token, Micros)>,
    /// The token whose owner has invited this member to claim the job. Acceptors may report it as the holder until its
    /// release arrives.
    pub invitation_token: Option<Token>,
}

/// A lease that is held.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    /// Its token.
    pub token: Token,
    /// Its end, by the own clock.
    pub until: Micros,
    /// The acceptors that granted it last.
    pub granted_by: BTreeSet<u16>,
}

/// The acceptors of a job by a replaced member list.
#[derive(Clone, Debug)]
pub(crate) struct EarlierAcceptors {
    /// The identifier of the member list.
    pub id: u32,
    /// The acceptors.
    pub acceptors: Vec<u16>,
    /// Acceptors that use a later list.
    pub moved_on: BTreeSet<u16>,
    /// Since when a majority of the acceptors does.
    pub majority_since: Option<Micros>,
}

/// Whether `granted` contains a majority of these acceptors.
pub(crate) fn is_majority(acceptors: &[u16], granted: &BTreeSet<u16>) -> bool {
    let granted_count = acceptors.iter().filter(|acceptor| granted.contains(acceptor)).count();
    let missing_allowed = usize::from(mutant::is(Mutant::NoMajority));
    granted_count + missing_allowed > acceptors.len() / 2
}

impl WantedJob {
    /// Whether `granted` suffices for a lease: a majority of the current acceptors, and of those by each earlier list
    /// that counts.
    pub fn is_quorum(&self, granted: &BTreeSet<u16>) -> bool {
        let earlier_lists_count = !mutant::is(Mutant::OldMajorityForgotten);
        let mut before = self.earlier_acceptors.iter().filter(|_| earlier_lists_count);
        is_majority(&self.acceptors, granted) && before.all(|b| is_majority(&b.acceptors, granted))
    }

    /// Whether the acceptors that have granted the claim or not answered yet are too few for a quorum.
    pub fn quorum_impossible(&self, round: &Round) -> bool {
        let open: BTreeSet<u16> = (self.all_acceptors().into_iter())
            .filter(|acceptor| {
                round.granted.contains(acceptor) || !round.answered.contains(acceptor)
            })
            .collect();
        !self.is_quorum(&open)
    }

    /// The other owner that has to be waited for, and the end of its lease.
    ///
    /// It is the one that a majority of the current acceptors reports. A majority of the answers does not suffice,
    /// since a round ends as soon as a quorum is impossible: each of several simultaneous claimants may have some
    /// acceptors for a moment, and waiting for the end of those leases would be waiting for no owner.
    ///
    /// The previously known owner counts also where a minority reports it, as long as the other answers are too few for
    /// a quorum. Otherwise candidates would collide until its lease has expired at the acceptors that answer.
    ///
    /// The invitation token does not count. An invitation can overtake the releases; the successor would then wait for
    /// the end of a lease that nobody holds.
    pub fn named_owner(&self, round: &Round) -> Option<(Token, Micros)> {
        let tokens = round.held_by.values().map(|(token, _)| *token);
        let tokens = tokens.filter(|token| Some(*token) != self.invitation_token);
        let named = tokens.max_by_key(|token| round.count_naming(*token))?;
        if 2 * round.count_naming(named) > self.acceptors.len() {
            return Some((named, round.latest_end_of(named)?));
        }
        let known = self.other_owner.map(|(token, _)| token)?;
        let names_known =
            |acceptor: &u16| round.held_by.get(acceptor).is_some_and(|(t, _)| *t == known);
        let others: BTreeSet<u16> =
            round.answered.iter().copied().filter(|acceptor| !names_known(acceptor)).collect();
        (!self.is_quorum(&others)).then_some((known, round.latest_end_of(known)?))
    }

    /// Whether an acceptor still reports the invitation token.
    pub fn release_pending(&self, round: &Round) -> bool {
        round.held_by.values().any(|(token, _)| Some(*token) == self.invitation_token)
    }

    /// All acceptors, including those by earlier lists.
    pub fn all_acceptors(&self) -> Vec<u16> {
        let mut all = self.acceptors.clone();
        let before = self.earlier_acceptors.iter().flat_map(|b| &b.acceptors);
        let more: Vec<u16> = before.copied().filter(|acceptor| !all.contains(acceptor)).collect();
        all.extend(more);
        all
    }

    /// Selects the acceptors again after the member list has changed from `old` to `new`.
    pub fn members_changed(&mut self, job: JobId, count: usize, old: &Members, new: &Members) {
        self.acceptors = new.acceptors(job, count);
        let acceptors = old.acceptors(job, count);
        self.earlier_acceptors.push(EarlierAcceptors {
            id: old.id(),
            acceptors,
            moved_on: BTreeSet::new(),
            majority_since: None,
        });
    }

    /// Records that an acceptor uses the list with this identifier.
    ///
    /// An earlier list no longer counts one maximum lease after a majority of its acceptors uses a later one: these
    /// refuse claims by the earlier list alone, and the leases that they granted before have expired.
    pub fn note_members_of_acceptor(
        &mut self,
        now: Micros,
        acceptor: u16,
        list: u32,
        longest: Micros,
    ) {
        let at = self.earlier_acceptors.iter().position(|before| before.id == list);
        for before in self.earlier_acceptors.iter_mut().take(at.unwrap_or(usize::MAX)) {
            before.moved_on.insert(acceptor);
            if before.majority_since.is_none() && is_majority(&before.acceptors, &before.moved_on) {
                before.majority_since = Some(now);
            }
        }
        self.earlier_acceptors
            .retain(|before| before.majority_since.is_none_or(|since| now < since + longest));
    }
}

/// The jobs that a member requests.
pub(crate) type Jobs = BTreeMap<JobId, WantedJob>;
