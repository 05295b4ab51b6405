//! The sidecars that use this control node, and the documents that each of them has.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use super::lists::{ListsOutcome, SidecarLists};
use crate::lists::{is_for, list_of};
use crate::message::{Digest, ListsUpdate, State, Status};
use crate::mutant::{self, Mutant};
use crate::report::MAX_NAMED_MEMBERS;
use crate::status::hash_of_statuses;
use crate::{DocumentId, DocumentKey, Identity, Limits, Rollout, Version};

/// A sidecar counts as silent after this many digest intervals without a message...
const SILENT_INTERVALS: Micros = 5;
/// ...is dropped after this many if this control node is not its first one...
const FORGET_SECOND_INTERVALS: Micros = 15;
/// ...and in any case after this many.
const FORGET_INTERVALS: Micros = 600;
/// Another control node's notice that a sidecar has moved there is believed if the sidecar has been silent here for
/// this many intervals.
const LEFT_INTERVALS: Micros = 2;
/// The number of times that the other control nodes are notified of a sidecar that has moved here.
const MOVE_ANNOUNCEMENTS: u32 = 5;
/// A sidecar that has moved here is counted after this time, and not before its previous control node has seen it
/// silent for long enough to believe that it is gone, and has reported that to the writer. If the previous control node
/// is down itself, the writer does not count it any more by then ([`crate::writer::REPORT_VALIDITY`]). Without the
/// wait, a sidecar would be counted twice for a while, and a change that one sidecar refuses would be stopped as if two
/// had refused it.
const SETTLING_TIME: Micros = crate::writer::REPORT_VALIDITY;
/// The additional time until the writer knows: other control nodes are notified once a second, and report once a
/// second.
const WRITER_UPDATE_DELAY: Micros = 2_000_000;

/// The state of a sidecar, as it last reported.
#[derive(Clone, Debug)]
pub(crate) struct SidecarState {
    /// The identity that the sidecar reported.
    pub identity: Identity,
    /// 0: this control node is its first one.
    pub rank: u8,
    /// When its last message arrived.
    pub last_heard: Micros,
    /// The hash of all its statuses.
    pub hash: u64,
    /// None: it has not reported them yet.
    pub statuses: Option<Vec<Status>>,
    /// None: it has reported no lists.
    pub lists: Option<SidecarLists>,
    /// When it started to use this control node as its first one.
    pub first_since: Micros,
}

impl SidecarState {
    /// The state of the latest document of a key that it knows.
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
    fn receives(&self, key: DocumentKey) -> bool {
        let wants =
            |service| self.lists.as_ref().is_some_and(|lists| lists.statuses.wants(service));
        is_for(key, &self.identity, wants)
    }

    /// Whether it has sent a lists update: a build that knows lists also knows deltas.
    pub fn takes_deltas(&self) -> bool {
        self.lists.is_some()
    }
}

/// The result of a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DigestOutcome {
    /// There is no room for another sidecar.
    NoRoom,
    /// The sidecar only checks whether this control node answers.
    Probe,
    /// The sidecar's state is known; `new`: the sidecar was not known before.
    Known { new: bool },
    /// The sidecar has to send its statuses.
    Unknown,
}

/// All sidecars of this control node.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers {
    table: BTreeMap<u16, SidecarState>,
    /// Sidecars that have started to use this control node as their first one, and how often the others were notified.
    arrivals: BTreeMap<u16, u32>,
    max_sidecars: usize,
    digest_interval: Micros,
}

impl Subscribers {
    /// Creates an empty table with these limits.
    pub fn new(limits: &Limits) -> Subscribers {
        let (max_sidecars, digest_interval) = (limits.subscribers, limits.digest_interval.max(1));
        Subscribers {
            table: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            max_sidecars,
            digest_interval,
        }
    }

    /// The number of sidecars.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// The number of sidecars that use this control node as their first.
    pub fn first_of(&self) -> usize {
        self.table.values().filter(|sidecar| sidecar.rank == 0).count()
    }

    /// The state of a sidecar.
    pub fn get(&self, number: u16) -> Option<&SidecarState> {
        self.table.get(&number)
    }

    /// The sidecars that a document of this key is for.
    pub fn covered(&self, key: DocumentKey) -> impl Iterator<Item = (u16, &SidecarState)> {
        let covered = self.table.iter().filter(move |(_, sidecar)| sidecar.receives(key));
        covered.map(|(number, sidecar)| (*number, sidecar))
    }

    /// The sidecars where a document of this key has to come into force.
    fn expected(&self, key: DocumentKey) -> impl Iterator<Item = (u16, &SidecarState)> {
        let of_all = list_of(key).is_some() && mutant::is(Mutant::ListsExpectedOfAll);
        let expected =
            self.table.iter().filter(move |(_, sidecar)| of_all || sidecar.receives(key));
        expected.map(|(number, sidecar)| (*number, sidecar))
    }

    /// Handles a digest.
    pub fn on_digest(&mut self, now: Micros, from: u16, digest: Digest) -> DigestOutcome {
        if digest.rank > 1 {
            return DigestOutcome::Probe;
        }
        let known =
            self.table.get(&from).is_some_and(|sidecar| sidecar.identity == digest.identity);
        if !known && self.table.len() >= self.max_sidecars {
            return DigestOutcome::NoRoom;
        }
        let Digest { identity, rank, hash, statuses, .. } = digest;
        let statuses = match statuses.filter(|statuses| hash_of_statuses(statuses) == hash) {
            Some(statuses) => Some(statuses),
            None => {
                let before = self.table.get(&from).filter(|sidecar| known && sidecar.hash == hash);
                before.and_then(|sidecar| sidecar.statuses.clone())
            }
        };
        let was_first = self.table.get(&from).filter(|sidecar| sidecar.rank == 0);
        let first_since = was_first.map_or(now, |sidecar| sidecar.first_since);
        if rank > 0 {
            self.arrivals.remove(&from);
        } else if was_first.is_none() {
            self.arrivals.insert(from, 0);
        }
        let is_known = statuses.is_some();
        let lists = self.table.remove(&from).filter(|_| known).and_then(|sidecar| sidecar.lists);
        let lists = lists.filter(|lists| !lists.has_expired(now));
        self.table.insert(
            from,
            SidecarState { identity, rank, last_heard: now, hash, statuses, lists, first_since },
        );
        if is_known { DigestOutcome::Known { new: !known } } else { DigestOutcome::Unknown }
    }

    /// Handles a sidecar's report of its lists; None: the sidecar is not known here.
    pub fn on_lists_update(
        &mut self,
        now: Micros,
        from: u16,
        lists: ListsUpdate,
    ) -> Option<ListsOutcome> {
        let sidecar = self.table.get_mut(&from)?;
        sidecar.last_heard = now;
        Some(sidecar.lists.get_or_insert_default().on_update(now, lists))
    }

    /// The sidecars that the other control nodes have to be notified of, so that each is counted at one control node
    /// only. Counts a notice for each of them.
    pub fn take_arrivals(&mut self) -> Vec<u16> {
        self.arrivals.values_mut().for_each(|notices| *notices += 1);
        self.arrivals.retain(|_, notices| *notices <= MOVE_ANNOUNCEMENTS);
        self.arrivals.keys().copied().collect()
    }

    /// Sidecars that use this control node as their first and have sent a digest within the last two intervals. A
    /// control node that has received a later digest of them ignores the notice: see [`Subscribers::drop_moved`].
    pub fn recent_firsts(&self, now: Micros) -> Vec<u16> {
        let is_recent = |sidecar: &SidecarState| {
            sidecar.rank == 0 && now <= sidecar.last_heard + LEFT_INTERVALS * self.digest_interval
        };
        let firsts = self.table.iter().filter(|(_, sidecar)| is_recent(sidecar));
        firsts.map(|(number, _)| *number).collect()
    }

    /// Whether a sidecar that uses this control node as its first is silent.
    pub fn has_silent_first(&self, now: Micros) -> bool {
        let silent = |sidecar: &SidecarState| {
            now > sidecar.last_heard + SILENT_INTERVALS * self.digest_interval
        };
        self.table.values().any(|sidecar| sidecar.rank == 0 && silent(sidecar))
    }

    /// These members use another control node as their first one now; they are dropped unless they have sent a digest
    /// here recently.
    pub fn drop_moved(&mut self, now: Micros, members: &[u16]) {
        let interval = self.digest_interval;
        let members: BTreeSet<u16> = members.iter().copied().collect();
        self.table.retain(|number, sidecar| {
            let left = sidecar.rank == 0 && now > sidecar.last_heard + LEFT_INTERVALS * interval;
            !(left && members.contains(number))
        });
    }

    /// Drops the sidecars that have been silent for long, and returns them.
    pub fn expire(&mut self, now: Micros) -> Vec<u16> {
        let interval = self.digest_interval;
        let gone = self.table.iter().filter(|(_, sidecar)| {
            let most = if sidecar.rank == 0 { FORGET_INTERVALS } else { FORGET_SECOND_INTERVALS };
            now > sidecar.last_heard + most * interval
        });
        let gone: Vec<u16> = gone.map(|(number, _)| *number).collect();
        gone.iter().for_each(|number| drop(self.table.remove(number)));
        gone
    }

    /// The rollout of a document at the sidecars that use this control node as their first.
    pub fn rollout(&self, now: Micros, id: DocumentId) -> Rollout {
        let mut rollout = Rollout::default();
        for (number, sidecar) in self.expected(id.key).filter(|(_, sidecar)| sidecar.rank == 0) {
            if now
                < sidecar.first_since
                    + SETTLING_TIME.max(LEFT_INTERVALS * self.digest_interval + WRITER_UPDATE_DELAY)
            {
                rollout.moving += 1;
                continue;
            }
            rollout.expected += 1;
            let status = sidecar.status(id.key).filter(|(version, _)| *version == id.version);
            let silent = now > sidecar.last_heard + SILENT_INTERVALS * self.digest_interval;
            match status.map(|(_, state)| state) {
                Some(State::InForce) => rollout.in_force += 1,
                // A silent sidecar may be counted at another control node already: if it reported a refusal there, too,
                // the refusal would count twice.
                Some(State::Refused(refusal)) if !silent => {
                    rollout.refused += 1;
                    rollout.first_refusal.get_or_insert_with(|| (number, refusal.clone()));
                }
                _ if silent => {
                    rollout.not_heard += 1;
                    if rollout.not_heard_members.len() < MAX_NAMED_MEMBERS {
                        rollout.not_heard_members.push(number);
                    }
                }
                _ => {}
            }
        }
        rollout
    }
}
