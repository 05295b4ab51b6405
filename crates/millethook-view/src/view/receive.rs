//! Processing of messages of other members.

use millethook_machine::codec::{Malformed, Reader, read_message};

use super::{GOSSIPS_PER_PERIOD, MAX_RELAYED, PULLS_PER_PERIOD, View};
use crate::Micros;
use crate::fact::{Epoch, Fact, HIGHEST_EPOCH, Status};
use crate::message::{
    DIGEST_BYTES, HEADER_BYTES, LONGEST_FACT, MessageHeader, MessageKind, NO_MEMBER, read_fact,
};
use crate::probe::RelayedProbe;

impl View {
    /// Processes a message of the member `from`, whose frame carries the epoch of its process.
    ///
    /// # Errors
    /// The content is not a message. Nothing of it was used, and it is counted in
    /// [`Figures::malformed`](super::Figures::malformed).
    pub fn handle(
        &mut self,
        now: Micros,
        from: u16,
        epoch: Epoch,
        content: &[u8],
    ) -> Result<(), Malformed> {
        let (header, reader) = match read_message::<MessageHeader>(content) {
            Ok(read) => read,
            Err(e) => {
                self.figures.malformed += 1;
                return Err(e);
            }
        };
        let body = reader.remaining();
        let known = usize::from(from) < self.table.len() && from != self.config.me;
        if !known || !(1..=HIGHEST_EPOCH).contains(&epoch) {
            self.figures.malformed += 1;
            return Ok(());
        }
        let incarnation = header.incarnation;
        let alive =
            Fact { number: from, epoch, incarnation, status: Status::Alive, reported_by: from };
        self.apply_fact(&alive, now);
        let current = self.table.get(from).is_some_and(|m| m.epoch == epoch);
        if current {
            self.table.record_message(from, (now / 1_000) as u32);
        }
        let facts = if header.kind == MessageKind::Compare {
            body.get(DIGEST_BYTES..).unwrap_or(&[])
        } else {
            body
        };
        let mut higher_ranked: Vec<u16> = Vec::new();
        for fact in Reader::new(facts).records(|reader| read_fact(reader, header.epoch)) {
            let differ = header.kind == MessageKind::Differences
                || matches!(fact.status, Status::Suspect | Status::Dead);
            if differ && self.table.get(fact.number).is_some_and(|m| m.rank() > fact.rank()) {
                higher_ranked.push(fact.number);
            }
            self.apply_fact(&fact, now);
        }
        if matches!(header.kind, MessageKind::Differences | MessageKind::Gossip) {
            self.send_higher_ranked_facts(from, &higher_ranked, content.len());
        }
        self.note_agreement(now, &header);
        self.respond(now, from, current, &header, body);
        Ok(())
    }

    /// Answers a message, in no more bytes than it has. `current`: its sender is the latest process of its member.
    pub(super) fn respond(
        &mut self,
        now: Micros,
        from: u16,
        current: bool,
        header: &MessageHeader,
        body: &[u8],
    ) {
        let length = HEADER_BYTES + body.len();
        match header.kind {
            MessageKind::Ping => {
                self.send(from, MessageKind::Ack, header.sequence, self.config.me, length)
            }
            MessageKind::Ack => {
                let probe = self.probe.as_mut().filter(|p| p.sequence == header.sequence);
                if let Some(probe) = probe.filter(|p| p.target == header.subject && current) {
                    probe.answered = true;
                    probe.indirect_at = None;
                }
                let position = self
                    .relayed
                    .iter()
                    .position(|r| (r.sequence, r.target) == (header.sequence, from));
                if let Some(relayed) = position.and_then(|n| self.relayed.remove(n)) {
                    let RelayedProbe { requested_by, their_sequence, target, .. } = relayed;
                    self.send(requested_by, MessageKind::Ack, their_sequence, target, length);
                }
            }
            MessageKind::PingReq => {
                let target = header.subject;
                if usize::from(target) >= self.table.len() || target == self.config.me {
                    return;
                }
                let (sequence, until) = (self.next_sequence(), now + 2 * self.config.period);
                let relayed = RelayedProbe {
                    sequence,
                    target,
                    requested_by: from,
                    their_sequence: header.sequence,
                    until,
                };
                self.relayed.push_back(relayed);
                if self.relayed.len() > MAX_RELAYED {
                    self.relayed.pop_front();
                }
                self.send(target, MessageKind::Ping, sequence, target, length);
                self.send(from, MessageKind::PingReqAck, header.sequence, target, length);
            }
            MessageKind::PingReqAck => {
                if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == header.sequence) {
                    probe.acknowledged = true;
                }
            }
            MessageKind::Pull => {
                self.send_table_part(from, header.sequence, header.subject, length)
            }
            MessageKind::PullReply => {
                let Some(pull) = &mut self.pull else { return };
                // A part that does not continue the table was requested before a stall, and is ignored.
                if header.subject != NO_MEMBER && header.subject > pull.cursor {
                    pull.cursor = header.subject;
                    pull.wait = self.config.period / PULLS_PER_PERIOD;
                    pull.next = now + self.config.period / GOSSIPS_PER_PERIOD;
                } else if header.subject == NO_MEMBER {
                    self.pull = None;
                }
            }
            MessageKind::Compare | MessageKind::Refine => self.compare(from, header, body),
            MessageKind::Gossip | MessageKind::Differences => {}
        }
        // A sender that is believed dead has to learn it, even if its message needs no answer.
        let needs_no_answer = matches!(
            header.kind,
            MessageKind::Ack
                | MessageKind::Gossip
                | MessageKind::Differences
                | MessageKind::PullReply
                | MessageKind::PingReqAck
        );
        let sender_absent =
            !self.table.status(from).is_present() && self.table.status(from) != Status::Left;
        if needs_no_answer && sender_absent && length >= HEADER_BYTES + LONGEST_FACT {
            self.send(from, MessageKind::Gossip, 0, NO_MEMBER, HEADER_BYTES + LONGEST_FACT);
        }
    }
}
