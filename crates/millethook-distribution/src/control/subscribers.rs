//! The sidecars that ask this control node, and what each of them has.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use super::lists::{ListsHeard, ListsMirror};
use crate::lists::{is_for, list_of};
use crate::message::{Digest, Lists, State, Status};
use crate::mutant::{self, Mutant};
use crate::report::MOST_NAMED;
use crate::status::hash_of;
use crate::{DocumentId, DocumentKey, Identity, Limits, Rollout, Version};

/// A sidecar that has said nothing for so many times the interval of digests counts as silent...
const SILENT: Micros = 5;
/// ...is forgotten if this control node is not its first one...
const FORGET_SECOND: Micros = 15;
/// ...and in any case after so many.
const FORGET: Micros = 600;
/// Of one that has come to another control node it is believed that it has left, if it was silent for so many times.
const LEFT: Micros = 2;
/// Times that it is told to the others that a sidecar has come.
const TOLD: u32 = 5;
/// A sidecar that has come from elsewhere is counted after so long, and not before it has been silent at the one before for
/// so long that that one believes it is gone, and has told the writer so. One that is gone itself is not counted by the
/// writer any more by then ([`crate::writer::REPORTS_HOLD`]). Without the wait a sidecar counts at two for a while, and a
/// change that one sidecar refuses is stopped as if two had refused it.
const SETTLED: Micros = crate::writer::REPORTS_HOLD;
/// What it takes from there until the writer knows: another one is told once a second, and reports once a second.
const TOLD_WITHIN: Micros = 2_000_000;

/// What a sidecar has, as it said last.
#[derive(Clone, Debug)]
pub(crate) struct Mirror {
    pub who: Identity,
    /// 0: this control node is its first one.
    pub rank: u8,
    pub heard: Micros,
    pub hash: u64,
    /// None: it has not been told yet.
    pub statuses: Option<Vec<Status>>,
    /// None: it has told of none.
    pub lists: Option<ListsMirror>,
    /// When it came to count this control node as its first.
    pub came: Micros,
}

impl Mirror {
    /// How it stands to the latest document of a key that it knows.
    fn status(&self, key: DocumentKey) -> Option<(Version, &State)> {
        if let Some(service) = list_of(key) {
            let status = self.lists.as_ref()?.statuses.get(service)?;
            return Some((status.version, &status.state));
        }
        let status = self.statuses.iter().flatten().find(|status| status.key == key)?;
        Some((status.version, &status.state))
    }

    /// The latest version of a key that it knows.
    pub fn version(&self, key: DocumentKey) -> Version {
        self.status(key).map(|(version, _)| version).unwrap_or_default()
    }

    /// Whether a document of this key is for it.
    fn gets(&self, key: DocumentKey) -> bool {
        let wants =
            |service| self.lists.as_ref().is_some_and(|lists| lists.statuses.wants(service));
        is_for(key, &self.who, wants)
    }

    /// Whether it has said that it knows lists: a build that does knows deltas, too.
    pub fn takes_deltas(&self) -> bool {
        self.lists.is_some()
    }
}

/// What a digest has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Heard {
    /// There is no room for another sidecar.
    TurnedAway,
    /// It has asked only whether this control node is there.
    Probe,
    /// What it has is known; `new`: it was not known before.
    Known { new: bool },
    /// It has to tell what it has.
    Unknown,
}

/// All of them.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers {
    table: BTreeMap<u16, Mirror>,
    /// Sidecars that have come to count this control node as their first, and how often that was told.
    came: BTreeMap<u16, u32>,
    most: usize,
    every: Micros,
}

impl Subscribers {
    pub fn new(limits: &Limits) -> Subscribers {
        let (most, every) = (limits.subscribers, limits.digest_interval.max(1));
        Subscribers { table: BTreeMap::new(), came: BTreeMap::new(), most, every }
    }

    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Sidecars that count this control node as their first.
    pub fn first_of(&self) -> usize {
        self.table.values().filter(|mirror| mirror.rank == 0).count()
    }

    pub fn get(&self, number: u16) -> Option<&Mirror> {
        self.table.get(&number)
    }

    /// Those that a document of this key is for.
    pub fn covered(&self, key: DocumentKey) -> impl Iterator<Item = (u16, &Mirror)> {
        let covered = self.table.iter().filter(move |(_, mirror)| mirror.gets(key));
        covered.map(|(number, mirror)| (*number, mirror))
    }

    /// Those that a document of this key has to come into force at.
    fn expected(&self, key: DocumentKey) -> impl Iterator<Item = (u16, &Mirror)> {
        let of_all = list_of(key).is_some() && mutant::is(Mutant::ListsExpectedOfAll);
        let expected = self.table.iter().filter(move |(_, mirror)| of_all || mirror.gets(key));
        expected.map(|(number, mirror)| (*number, mirror))
    }

    /// A digest has come.
    pub fn hear(&mut self, now: Micros, from: u16, digest: Digest) -> Heard {
        if digest.rank > 1 {
            return Heard::Probe;
        }
        let known = self.table.get(&from).is_some_and(|mirror| mirror.who == digest.who);
        if !known && self.table.len() >= self.most {
            return Heard::TurnedAway;
        }
        let Digest { who, rank, hash, statuses, .. } = digest;
        let statuses = match statuses.filter(|statuses| hash_of(statuses) == hash) {
            Some(statuses) => Some(statuses),
            None => {
                let before = self.table.get(&from).filter(|mirror| known && mirror.hash == hash);
                before.and_then(|mirror| mirror.statuses.clone())
            }
        };
        let was_first = self.table.get(&from).filter(|mirror| mirror.rank == 0);
        let came = was_first.map_or(now, |mirror| mirror.came);
        if rank > 0 {
            self.came.remove(&from);
        } else if was_first.is_none() {
            self.came.insert(from, 0);
        }
        let told = statuses.is_some();
        let lists = self.table.remove(&from).filter(|_| known).and_then(|mirror| mirror.lists);
        let lists = lists.filter(|lists| !lists.is_over(now));
        self.table.insert(from, Mirror { who, rank, heard: now, hash, statuses, lists, came });
        if told { Heard::Known { new: !known } } else { Heard::Unknown }
    }

    /// A sidecar has told of its lists; None: it is not known here.
    pub fn hear_lists(&mut self, now: Micros, from: u16, lists: Lists) -> Option<ListsHeard> {
        let mirror = self.table.get_mut(&from)?;
        mirror.heard = now;
        Some(mirror.lists.get_or_insert_default().hear(now, lists))
    }

    /// Sidecars that the other control nodes have to be told of. Each is counted at one of them only.
    pub fn news(&mut self) -> Vec<u16> {
        self.came.values_mut().for_each(|told| *told += 1);
        self.came.retain(|_, told| *told <= TOLD);
        self.came.keys().copied().collect()
    }

    /// Sidecars that count this control node as their first and have said so within the last interval but one. Where
    /// another one has heard of them later than that, it does not believe it: see [`Subscribers::moved`].
    pub fn firsts_heard_lately(&self, now: Micros) -> Vec<u16> {
        let lately = |mirror: &Mirror| mirror.rank == 0 && now <= mirror.heard + LEFT * self.every;
        let firsts = self.table.iter().filter(|(_, mirror)| lately(mirror));
        firsts.map(|(number, _)| *number).collect()
    }

    /// Whether a sidecar that counts this control node as its first is silent.
    pub fn has_silent_first(&self, now: Micros) -> bool {
        let silent = |mirror: &Mirror| now > mirror.heard + SILENT * self.every;
        self.table.values().any(|mirror| mirror.rank == 0 && silent(mirror))
    }

    /// These count another control node as their first one now, unless they have just said otherwise here.
    pub fn moved(&mut self, now: Micros, members: &[u16]) {
        let every = self.every;
        let members: BTreeSet<u16> = members.iter().copied().collect();
        self.table.retain(|number, mirror| {
            let left = mirror.rank == 0 && now > mirror.heard + LEFT * every;
            !(left && members.contains(number))
        });
    }

    /// Forgets those that have been silent for long; which.
    pub fn expire(&mut self, now: Micros) -> Vec<u16> {
        let every = self.every;
        let gone = self.table.iter().filter(|(_, mirror)| {
            let most = if mirror.rank == 0 { FORGET } else { FORGET_SECOND };
            now > mirror.heard + most * every
        });
        let gone: Vec<u16> = gone.map(|(number, _)| *number).collect();
        gone.iter().for_each(|number| drop(self.table.remove(number)));
        gone
    }

    /// How far a document has come at those that count this control node as their first.
    pub fn rollout(&self, now: Micros, id: DocumentId) -> Rollout {
        let mut rollout = Rollout::default();
        for (number, mirror) in self.expected(id.key).filter(|(_, mirror)| mirror.rank == 0) {
            if now < mirror.came + SETTLED.max(LEFT * self.every + TOLD_WITHIN) {
                rollout.moving += 1;
                continue;
            }
            rollout.expected += 1;
            let status = mirror.status(id.key).filter(|(version, _)| *version == id.version);
            let silent = now > mirror.heard + SILENT * self.every;
            match status.map(|(_, state)| state) {
                Some(State::InForce) => rollout.in_force += 1,
                // A silent one may count at another control node, where this one could not hear of it: a refusal that is
                // told there, too, would be two.
                Some(State::Refused(refusal)) if !silent => {
                    rollout.refused += 1;
                    rollout.first_refusal.get_or_insert_with(|| (number, refusal.clone()));
                }
                _ if silent => {
                    rollout.not_heard += 1;
                    if rollout.not_heard_members.len() < MOST_NAMED {
                        rollout.not_heard_members.push(number);
                    }
                }
                _ => {}
            }
        }
        rollout
    }
}
