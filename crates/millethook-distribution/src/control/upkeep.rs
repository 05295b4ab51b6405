//! What a control node does as time passes.

use std::collections::BTreeMap;

use millethook_machine::Micros;
use rand_core::RngCore;

use super::ControlNode;
use crate::message::{MAX_MOVED_MEMBERS, Message, Role};
use crate::transfer::Request;
use crate::{DocumentId, DocumentKey};

/// Another control node is compared with once in this time, and so is each in answer to it. It is told which sidecars
/// are counted here, too.
const COMPARE_INTERVAL: Micros = 1_000_000;
/// Reports go to the writer once in this time, if they have changed, and that on the latest document in any case...
const REPORT_INTERVAL: Micros = 1_000_000;
/// ...the others in any case once in this one...
const REPORT_REFRESH_INTERVAL: Micros = 2_000_000;
/// ...for so long after a document was committed; those before it in turn, one each time.
const RECENT_PERIOD: Micros = 60_000_000;
/// Reports that go out together, at most.
const MAX_REPORTS: usize = 128;

/// When something is due next.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    compare_at: Micros,
    report_at: Micros,
    /// When this control node last told another one what it keeps.
    compared: BTreeMap<u16, Micros>,
    /// The control node that was asked last, in turn, which sidecars it counts.
    last_asked: Option<u16>,
    /// The last old document that was reported on.
    last_reported: Option<DocumentKey>,
}

impl Timers {
    pub fn new(now: Micros, random: u64) -> Timers {
        let compare_at = now + random % COMPARE_INTERVAL;
        let report_at = now + (random >> 32) % REPORT_INTERVAL;
        Timers {
            compare_at,
            report_at,
            compared: BTreeMap::new(),
            last_asked: None,
            last_reported: None,
        }
    }

    /// Whether it is time again to tell another one what is kept.
    pub fn may_compare(&mut self, now: Micros, to: u16) -> bool {
        let last = self.compared.get(&to).copied();
        let may = last.is_none_or(|last| now >= last + COMPARE_INTERVAL / 2);
        if may {
            self.compared.insert(to, now);
        }
        may
    }
}

impl ControlNode {
    /// Does what is due.
    pub fn tick(&mut self, now: Micros) {
        self.query_others(now);
        self.retry_announcement(now);
        self.retry_proposals(now);
        self.poll_sessions(now);
        for Request { to, key, version, wanted } in self.incoming.due(now, &[]) {
            self.send(to, &Message::Fetch { of: Role::ControlNode, key, version, wanted });
        }
        if self.timers.compare_at <= now {
            self.compare_with_one(now);
        }
        if self.timers.report_at <= now {
            self.timers.report_at = now + REPORT_INTERVAL;
            self.subscribers.expire(now).into_iter().for_each(|number| {
                self.outgoing
                    .drop_receiver(crate::outgoing::Receiver { number, role: Role::Sidecar });
            });
            self.announce_arrivals();
            self.send_reports(now);
            self.stop_refused(now);
        }
        self.outgoing.send_due(now);
    }

    /// When [`ControlNode::tick`] has to be called next.
    pub fn poll_timeout(&self) -> Micros {
        let timers = self.timers.compare_at.min(self.timers.report_at);
        let sessions = self.sessions.values().map(|session| session.next_at()).min();
        let recovery = self.recovery.as_ref().map(|recovery| recovery.next_at());
        timers
            .min(sessions.unwrap_or(Micros::MAX))
            .min(recovery.unwrap_or(Micros::MAX))
            .min(self.next_round_end())
            .min(self.incoming.next_at())
            .min(self.outgoing.next_at())
    }

    /// Asks the others what they hold, before it votes.
    fn query_others(&mut self, now: Micros) {
        let Some(recovery) = &mut self.recovery else { return };
        if !recovery.is_due(now) {
            return;
        }
        let message = Message::Recover { round: recovery.round };
        for other in self.other_control_nodes() {
            let answered =
                self.recovery.as_ref().is_some_and(|recovery| recovery.has_answer(other));
            let learning =
                self.sessions.get(&other).is_some_and(|session| session.learns_accepted());
            if !answered && !learning {
                self.send(other, &message);
            }
        }
        self.finish_sessions(now);
    }

    /// Asks for what is being learned.
    fn poll_sessions(&mut self, now: Micros) {
        let mut messages = Vec::new();
        for (from, session) in &mut self.sessions {
            let due = session.due(now, |version| self.incoming.contains(version));
            messages.extend(due.into_iter().map(|message| (*from, message)));
        }
        messages.into_iter().for_each(|(to, message)| self.send(to, &message));
        if self.sessions.values().any(|session| session.has_timed_out()) {
            self.finish_sessions(now);
        }
    }

    fn compare_with_one(&mut self, now: Micros) {
        let jitter = self.random.next_u64() % (COMPARE_INTERVAL / 4);
        self.timers.compare_at = now + COMPARE_INTERVAL - jitter;
        let other_control_nodes = self.other_control_nodes();
        if other_control_nodes.is_empty() {
            return;
        }
        let other =
            other_control_nodes[self.random.next_u32() as usize % other_control_nodes.len()];
        if self.timers.may_compare(now, other) {
            self.compare_with(other);
        }
        self.send_firsts(now, other);
        if self.subscribers.has_silent_first(now) {
            self.ask_for_firsts();
        }
    }

    /// Asks the next of the other control nodes, in turn, which sidecars it counts: one that is silent here may have gone
    /// there while neither could be heard here. Each is asked within as many rounds as there are others. Without the
    /// question the answer comes by chance ([`ControlNode::compare_with_one`]), and one may be left out for minutes, in which
    /// a sidecar is counted twice.
    fn ask_for_firsts(&mut self) {
        let other_control_nodes = self.other_control_nodes();
        let last = self.timers.last_asked.unwrap_or(self.config.me);
        let next = other_control_nodes
            .iter()
            .find(|other| **other > last)
            .or(other_control_nodes.first())
            .copied();
        self.timers.last_asked = next;
        if let Some(next) = next {
            self.send(next, &Message::Moved { members: Vec::new() });
        }
    }

    /// Another control node tells which sidecars it counts, or asks which are counted here.
    pub(super) fn on_moved(&mut self, now: Micros, from: u16, members: &[u16]) {
        if members.is_empty() {
            self.send_firsts(now, from);
        } else {
            self.subscribers.drop_moved(now, members);
        }
    }

    /// Tells another control node which sidecars are counted here: one that was cut off while they came has not heard of
    /// it.
    pub(super) fn send_firsts(&mut self, now: Micros, other: u16) {
        let firsts = self.subscribers.recent_firsts(now);
        for members in firsts.chunks(MAX_MOVED_MEMBERS) {
            self.send(other, &Message::Moved { members: members.to_vec() });
        }
    }

    /// Tells another control node what is committed here.
    pub(super) fn compare_with(&mut self, other: u16) {
        let (highest, buckets) = (self.fence.highest(), self.store.buckets(false));
        self.send(other, &Message::Compare { highest, buckets });
    }

    /// Tells the other control nodes which sidecars have come.
    fn announce_arrivals(&mut self) {
        let arrivals = self.subscribers.take_arrivals();
        let other_control_nodes =
            if arrivals.is_empty() { Vec::new() } else { self.other_control_nodes() };
        for members in arrivals.chunks(MAX_MOVED_MEMBERS) {
            for other in &other_control_nodes {
                self.send(*other, &Message::Moved { members: members.to_vec() });
            }
        }
    }

    /// Tells the writer how far documents have come at those that this control node counts.
    fn send_reports(&mut self, now: Micros) {
        let writer = self.fence.highest().owner;
        self.reported.retain(|key, (version, ..)| self.store.committed_version(*key) == *version);
        if writer == self.config.me || !self.quorum.0.contains(&writer) {
            return;
        }
        let committed =
            |(_, slot): (_, &super::store::Slot)| slot.committed.as_ref().map(|d| d.id());
        let recent =
            self.store.slots.iter().filter(|(_, slot)| now < slot.committed_at + RECENT_PERIOD);
        let mut ids: Vec<_> = recent.filter_map(committed).collect();
        ids.sort_by_key(|id| std::cmp::Reverse(id.version));
        ids.truncate(MAX_REPORTS);
        let old = self.next_to_report().filter(|old| ids.iter().all(|id| id.key != old.key));
        ids.extend(old);
        for (place, id) in ids.into_iter().enumerate() {
            let rollout = self.rollout(now, id);
            let told = self.reported.get(&id.key);
            let same = told.is_some_and(|(version, before, at)| {
                *version == id.version && *before == rollout && now < *at + REPORT_REFRESH_INTERVAL
            });
            // By the first one the writer knows that this control node is there.
            if !same || place == 0 {
                self.reported.insert(id.key, (id.version, rollout.clone(), now));
                self.send(writer, &Message::Report { id, rollout });
            }
        }
    }

    /// The next document in turn, recent or not.
    fn next_to_report(&mut self) -> Option<DocumentId> {
        let slots = &self.store.slots;
        let behind = slots.keys().find(|key| {
            self.timers.last_reported.is_none_or(|last_reported| **key > last_reported)
        });
        self.timers.last_reported = behind.copied();
        Some(slots.get(&self.timers.last_reported?)?.committed.as_ref()?.id())
    }
}
