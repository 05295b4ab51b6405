//! Writing of messages: a header, facts that the receiver has to refute, and as many updates as fit.

use millethook_machine::codec::write_header;

use super::{MAX_OUTGOING, View};
use crate::Micros;
use crate::fact::Status;
use crate::message::{
    HEADER_BYTES, LONGEST, LONGEST_FACT, MessageHeader, MessageKind, NO_MEMBER, write_fact,
};
use crate::probe::pick_random;

/// The maximum number of facts in a message while congested.
const FACTS_WHILE_CONGESTED: usize = 2;

impl View {
    /// Whether there are updates to be sent, or a difference to be repaired.
    pub(super) fn has_gossip(&self, now: Micros) -> bool {
        !self.updates.is_empty() || self.differs(now)
    }

    /// Sends updates, or a comparison, to a random member.
    pub(super) fn gossip(&mut self, now: Micros) {
        let me = self.config.me;
        let present = |n: u16, s: Status| s.is_present() && n != me;
        if let Some(number) = pick_random(&self.table, &mut self.random, present) {
            match self.differs(now) {
                true => self.request_comparison(number),
                false => self.send(number, MessageKind::Gossip, 0, NO_MEMBER, LONGEST),
            }
        }
    }

    /// The header of a message.
    pub(super) fn header(&self, kind: MessageKind, sequence: u16, subject: u16) -> MessageHeader {
        let incarnation = self.table.get(self.config.me).map_or(0, |m| m.incarnation);
        MessageHeader {
            kind,
            sequence,
            hash: self.table.hash,
            incarnation,
            subject,
            epoch: self.config.epoch,
        }
    }

    /// Sends a message of at most `longest` bytes: first the fact that its receiver has to refute, then updates.
    pub(super) fn send(
        &mut self,
        to: u16,
        kind: MessageKind,
        sequence: u16,
        subject: u16,
        longest: usize,
    ) {
        if longest < HEADER_BYTES {
            return;
        }
        // While views differ, a comparison repairs more with the same bytes, so probes are kept short.
        let probes =
            matches!(kind, MessageKind::Ping | MessageKind::Ack) && self.agreement.peer_differs();
        let brief = self.congested || probes;
        let longest = if brief {
            longest.min(HEADER_BYTES + FACTS_WHILE_CONGESTED * LONGEST_FACT)
        } else {
            longest
        };
        let bytes = write_header(&self.header(kind, sequence, subject));
        self.send_with_updates(to, kind, bytes, longest);
    }

    /// Appends the fact that the receiver has to refute and updates to a message, and queues it.
    pub(super) fn send_with_updates(
        &mut self,
        to: u16,
        kind: MessageKind,
        mut bytes: Vec<u8>,
        longest: usize,
    ) {
        let epoch = self.config.epoch;
        if let Some(fact) = self.table.fact(to).filter(|f| f.status != Status::Alive) {
            write_fact(&mut bytes, &fact, epoch, longest);
        }
        let table = &self.table;
        self.updates.send(|number| {
            let fact = table.fact(number);
            fact.is_none_or(|fact| write_fact(&mut bytes, &fact, epoch, longest))
        });
        let least = longest.min(HEADER_BYTES + LONGEST_FACT);
        if matches!(kind, MessageKind::Ping | MessageKind::PingReq) && bytes.len() < least {
            // The answer may be no longer than this message, and needs room for one fact.
            bytes.resize(least, 0xff);
        }
        if matches!(kind, MessageKind::Pull | MessageKind::Compare | MessageKind::Refine) {
            // The answer may be no longer than this message.
            bytes.resize(longest, 0xff);
        }
        self.enqueue_message(to, bytes);
    }

    /// Queues a message, unless the queue is full.
    pub(super) fn enqueue_message(&mut self, to: u16, bytes: Vec<u8>) {
        if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push_back((to, bytes));
        }
    }
}
