//! The periodic work of a control node.

use std::collections::BTreeMap;

use millethook_machine::Micros;
use rand_core::RngCore;

use super::ControlNode;
use crate::message::{MAX_MOVED_MEMBERS, Message, Role};
use crate::transfer::Request;
use crate::{DocumentId, DocumentKey};

/// The interval at which the bucket hashes are sent to a random other control node. Answers to such a message are
/// limited in the same way. The other control node is also told which sidecars are counted here.
const COMPARE_INTERVAL: Micros = 1_000_000;
/// The interval of reports to the writer; they include changed reports, and the report on the latest document in any
/// case...
const REPORT_INTERVAL: Micros = 1_000_000;
/// ...unchanged reports are repeated at this interval...
const REPORT_REFRESH_INTERVAL: Micros = 2_000_000;
/// ...for this time after the document was committed. Older documents are reported in turn, one each time.
const RECENT_PERIOD: Micros = 60_000_000;
/// The maximum number of reports sent at once.
const MAX_REPORTS: usize = 128;

/// The times at which periodic work is due.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    compare_at: Micros,
    report_at: Micros,
    /// When this control node last sent its bucket hashes to each other one.
    compared: BTreeMap<u16, Micros>,
    /// The control node that was last asked, in turn, which sidecars it counts.
    last_asked: Option<u16>,
    /// The last older document that was reported on.
    last_reported: Option<DocumentKey>,
}

impl Timers {
    /// Creates timers that are spread over their intervals by a random number.
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

    /// Whether enough time has passed to send the bucket hashes to another control node again.
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
    /// Does the work that is due.
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

    /// The time at which [`ControlNode::tick`] has to be called next.
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

    /// Asks the other control nodes what they store, before this one votes.
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

    /// Sends the requests of all sessions.
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

    /// Sends the bucket hashes to a random other control node.
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

    /// Asks the next of the other control nodes, in turn, which sidecars it counts: a sidecar that is silent here may
    /// have moved there while neither of them could be reached from here. Each is asked within as many rounds as there
    /// are others. Without the question, the answer comes by chance ([`ControlNode::compare_with_one`]), and a control
    /// node may be left out for minutes, in which a sidecar is counted twice.
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

    /// Another control node reports which sidecars it counts, or asks which are counted here.
    pub(super) fn on_moved(&mut self, now: Micros, from: u16, members: &[u16]) {
        if members.is_empty() {
            self.send_firsts(now, from);
        } else {
            self.subscribers.drop_moved(now, members);
        }
    }

    /// Tells another control node which sidecars are counted here. One that was unreachable when they moved here has
    /// missed the notices.
    pub(super) fn send_firsts(&mut self, now: Micros, other: u16) {
        let firsts = self.subscribers.recent_firsts(now);
        for members in firsts.chunks(MAX_MOVED_MEMBERS) {
            self.send(other, &Message::Moved { members: members.to_vec() });
        }
    }

    /// Sends the bucket hashes of the committed documents to another control node.
    pub(super) fn compare_with(&mut self, other: u16) {
        let (highest, buckets) = (self.fence.highest(), self.store.buckets(false));
        self.send(other, &Message::Compare { highest, buckets });
    }

    /// Notifies the other control nodes of the sidecars that have moved here.
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

    /// Reports to the writer the rollout of documents among the sidecars that this control node counts.
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
            // The first report tells the writer that this control node is up.
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
