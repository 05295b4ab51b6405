//! What the owner's side knows of each job that it asks for: the round under way, the lease, and the acceptors.

use std::collections::{BTreeMap, BTreeSet};

use crate::membership::Members;
use crate::mutant::{self, Mutant};
use crate::token::Token;
use crate::{JobId, Micros};

/// How a member stands to a job that it has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStatus {
    /// It has no lease, and knows of no other owner.
    Waiting,
    /// It owns the job under this token until this time at the latest.
    Owner(Token, Micros),
    /// Another member owned the job under this token when the acceptors were last asked, until this time at the latest.
    Held(Token, Micros),
}

/// One round of claims to all acceptors of a job.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Names the round in answers.
    pub nonce: u32,
    /// The token that is claimed.
    pub token: Token,
    /// When the first claim was sent. The lease runs from then.
    pub started_at: Micros,
    /// Acceptors that have granted the claim.
    pub granted: BTreeSet<u16>,
    /// Acceptors that have answered in any way.
    pub answered: BTreeSet<u16>,
    /// When acceptors that have not answered are asked again.
    pub retry_at: Micros,
    /// How often claims were sent in this round.
    pub attempts: u32,
    /// What acceptors that refused the claim last named: the token that holds the job, and the end of its lease.
    pub held_by: BTreeMap<u16, (Token, Micros)>,
}

impl Round {
    /// How many acceptors name this token as the holder.
    fn naming(&self, token: Token) -> usize {
        self.held_by.values().filter(|(held, _)| *held == token).count()
    }

    /// The latest end of a token's lease that an acceptor names.
    fn end_of(&self, token: Token) -> Option<Micros> {
        self.held_by.values().filter(|(held, _)| *held == token).map(|(_, until)| *until).max()
    }

    /// Whether an acceptor is held by a claim with a greater token than this round's.
    pub fn is_outbid(&self) -> bool {
        self.held_by.values().any(|(token, _)| *token > self.token)
    }
}

/// A job that this member asks for.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    /// The length of each lease, in microseconds.
    pub lease: Micros,
    /// The acceptors by the present list of members.
    pub acceptors: Vec<u16>,
    /// The acceptors by earlier lists, the latest last, each until nobody can be granted the job by it alone any more.
    pub earlier_acceptors: Vec<EarlierAcceptors>,
    /// The round under way.
    pub round: Option<Round>,
    /// The lease that is held.
    pub owned: Option<Owned>,
    /// When the next round starts.
    pub next_round_at: Micros,
    /// The token of the last round that failed, or of the lease that expired. Its release may have been lost, so it is
    /// sent again before each claim.
    pub unreleased_token: Option<Token>,
    /// Rounds in a row that failed and found no owner.
    pub failures: u32,
    /// In the last round acceptors were held by claims of others, none of which is known to own the job.
    pub collided: bool,
    /// How often in a row the next round was put off for want of bytes.
    pub put_off: u32,
    /// The highest token of the job that is known.
    pub highest_token: Token,
    /// Another owner, and the end of its lease.
    pub held: Option<(Token, Micros)>,
    /// The token whose owner has invited this member to claim the job. Acceptors may name it until its release arrives.
    pub given_up: Option<Token>,
}

/// A lease that is held.
#[derive(Clone, Debug)]
pub(crate) struct Owned {
    /// Its token.
    pub token: Token,
    /// Its end, by the own clock.
    pub until: Micros,
    /// The acceptors that granted it last.
    pub by: BTreeSet<u16>,
}

/// The acceptors of a job by a list of members that was replaced.
#[derive(Clone, Debug)]
pub(crate) struct EarlierAcceptors {
    /// The name of the list.
    pub id: u32,
    /// The acceptors.
    pub acceptors: Vec<u16>,
    /// Those that go by a later list.
    pub followed: BTreeSet<u16>,
    /// Since when a majority of them does.
    pub since: Option<Micros>,
}

/// Whether `granted` contains a majority of these acceptors.
pub(crate) fn is_majority(acceptors: &[u16], granted: &BTreeSet<u16>) -> bool {
    let have = acceptors.iter().filter(|acceptor| granted.contains(acceptor)).count();
    let less = usize::from(mutant::is(Mutant::NoMajority));
    have + less > acceptors.len() / 2
}

impl Wanted {
    /// Whether `granted` suffices for a lease: a majority of the acceptors, and of those by each earlier list that counts.
    pub fn is_quorum(&self, granted: &BTreeSet<u16>) -> bool {
        let heeded = !mutant::is(Mutant::OldMajorityForgotten);
        let mut before = self.earlier_acceptors.iter().filter(|_| heeded);
        is_majority(&self.acceptors, granted) && before.all(|b| is_majority(&b.acceptors, granted))
    }

    /// Whether the acceptors that have not answered are too few to complete a quorum.
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
    /// It is the one that a majority of the acceptors by the present list names. A majority of the answers does not suffice,
    /// since a round ends as soon as a quorum is impossible: of several members that claim at the same time each may
    /// have some acceptors for a moment, and whoever waited for the end of those leases would wait for nobody.
    ///
    /// The owner that was known before counts also where a minority names it, as long as the other answers are too few
    /// for a quorum: without that, candidates would collide until its lease is over at the acceptors that answer.
    ///
    /// A token that its owner has given up does not count. An invitation can overtake the releases, and without this the
    /// heir would wait for the end of a lease that nobody has.
    pub fn owner_named(&self, round: &Round) -> Option<(Token, Micros)> {
        let tokens = round.held_by.values().map(|(token, _)| *token);
        let tokens = tokens.filter(|token| Some(*token) != self.given_up);
        let named = tokens.max_by_key(|token| round.naming(*token))?;
        if 2 * round.naming(named) > self.acceptors.len() {
            return Some((named, round.end_of(named)?));
        }
        let known = self.held.map(|(token, _)| token)?;
        let names_known =
            |acceptor: &u16| round.held_by.get(acceptor).is_some_and(|(t, _)| *t == known);
        let others: BTreeSet<u16> =
            round.answered.iter().copied().filter(|acceptor| !names_known(acceptor)).collect();
        (!self.is_quorum(&others)).then_some((known, round.end_of(known)?))
    }

    /// Whether an acceptor names the token that its owner has given up.
    pub fn release_pending(&self, round: &Round) -> bool {
        round.held_by.values().any(|(token, _)| Some(*token) == self.given_up)
    }

    /// All acceptors, those by earlier lists included.
    pub fn all_acceptors(&self) -> Vec<u16> {
        let mut all = self.acceptors.clone();
        let before = self.earlier_acceptors.iter().flat_map(|b| &b.acceptors);
        let more: Vec<u16> = before.copied().filter(|acceptor| !all.contains(acceptor)).collect();
        all.extend(more);
        all
    }

    /// Draws the acceptors anew after the list of members has changed from `old` to `new`.
    pub fn members_changed(&mut self, job: JobId, count: usize, old: &Members, new: &Members) {
        self.acceptors = new.acceptors(job, count);
        let acceptors = old.acceptors(job, count);
        self.earlier_acceptors.push(EarlierAcceptors {
            id: old.id(),
            acceptors,
            followed: BTreeSet::new(),
            since: None,
        });
    }

    /// Notes that an acceptor goes by the list with this name.
    ///
    /// An earlier list does not count any more once a majority of its acceptors goes by a later one, because these refuse
    /// claims by the earlier one alone, and the leases that they granted before have expired.
    pub fn note_members_of_acceptor(
        &mut self,
        now: Micros,
        acceptor: u16,
        list: u32,
        longest: Micros,
    ) {
        let at = self.earlier_acceptors.iter().position(|before| before.id == list);
        for before in self.earlier_acceptors.iter_mut().take(at.unwrap_or(usize::MAX)) {
            before.followed.insert(acceptor);
            if before.since.is_none() && is_majority(&before.acceptors, &before.followed) {
                before.since = Some(now);
            }
        }
        self.earlier_acceptors
            .retain(|before| before.since.is_none_or(|since| now < since + longest));
    }
}

/// Jobs that a member asks for.
pub(crate) type Jobs = BTreeMap<JobId, Wanted>;
