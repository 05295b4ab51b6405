//! Anti-entropy: two members compare hashes of ranges of the table, and only the ranges that differ are sent (a Merkle
//! tree that is not stored, walked by two).

use millethook_machine::codec::write_header;

use super::View;
use super::span::{RANGES, Span};
use crate::Micros;
use crate::fact::{Fact, Status};
use crate::message::{HEADER_BYTES, LONGEST, MessageHeader, MessageKind, NO_MEMBER, write_fact};
use crate::mutant::{self, Mutant};
use crate::probe::below;
use crate::table::Member;

/// Ranges of up to this many members are sent whole, starting from a random member.
const MAX_WHOLE_RANGE: usize = 64;
/// If more ranges than this differ, some of them are sent whole, however long they are.
const MAX_REFINED_RANGES: usize = 8;
/// After this many consecutive messages with the own hash, all members are assumed to have the updates.
const AGREEMENTS_UNTIL_QUIET: u32 = 4;
/// Views are compared once they have differed for a period divided by this.
const DIFFERENCE_SHARE: u64 = 5;

/// Whether other views agree with the own one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Agreement {
    /// The own hash at the last message.
    hash: u32,
    /// Consecutive messages with the same hash.
    equal: u32,
    /// Since when messages had another hash. None: the last one had the same.
    differs_since: Option<Micros>,
}

impl Agreement {
    /// Whether the last message had another hash.
    pub fn peer_differs(&self) -> bool {
        self.differs_since.is_some()
    }
}

impl View {
    /// Compares the hash of a message with the own one. After enough equal ones the updates are dropped.
    pub(super) fn note_agreement(&mut self, now: Micros, header: &MessageHeader) {
        let hash = self.table.hash;
        if self.agreement.hash != hash {
            self.agreement = Agreement { hash, equal: 0, ..self.agreement };
        }
        if header.hash == hash {
            self.agreement.equal += 1;
            self.agreement.differs_since = None;
            if self.agreement.equal == AGREEMENTS_UNTIL_QUIET {
                // Suspicions and refutations are not part of the hash, so it is not known whether others have them.
                let table = &self.table;
                let open = |m: &Member| m.status == Status::Suspect || m.incarnation > 0;
                self.updates.drop_where(|n| !table.get(n).is_some_and(open));
            }
            return;
        }
        self.agreement.equal = 0;
        self.agreement.differs_since.get_or_insert(now);
    }

    /// Whether views have differed for longer than an update takes.
    pub(super) fn differs(&self, now: Micros) -> bool {
        let since = self.agreement.differs_since;
        let persists =
            since.is_some_and(|since| now >= since + self.config.period / DIFFERENCE_SHARE);
        persists && self.pull.is_none() && !mutant::is(Mutant::NoRepair)
    }

    /// Sends hashes of the whole table, and updates.
    pub(super) fn request_comparison(&mut self, to: u16) {
        let all = Span { first: 0, width: self.table.len().div_ceil(RANGES) as u16 };
        self.send_digest(to, MessageKind::Compare, all, LONGEST);
    }

    /// Sends hashes of the ranges of a span, and updates.
    pub(super) fn send_digest(&mut self, to: u16, kind: MessageKind, span: Span, longest: usize) {
        let sequence = self.next_sequence();
        let mut bytes = write_header(&self.header(kind, sequence, span.first));
        span.write(&self.table, sequence, &mut bytes);
        self.send_with_updates(to, kind, bytes, longest);
    }

    /// Answers hashes of another member: with the facts of ranges that differ, or with hashes of the parts of a long
    /// range.
    pub(super) fn compare(&mut self, from: u16, header: &MessageHeader, body: &[u8]) {
        let Some((span, theirs)) = Span::read(header.subject, body) else { return };
        if self.congested {
            return;
        }
        let length = HEADER_BYTES + body.len();
        let differ: Vec<Span> = (span.parts(self.table.len()).zip(theirs))
            .filter(|(part, theirs)| part.digest(&self.table, header.sequence) != *theirs)
            .map(|(part, _)| part)
            .collect();
        if differ.is_empty() {
            return;
        }
        let first = below(&mut self.random, differ.len());
        let part = Span { width: differ[first].width.div_ceil(RANGES as u16), ..differ[first] };
        if header.kind == MessageKind::Refine {
            return self.send_digest(from, MessageKind::Compare, part, length);
        }
        if usize::from(span.width) > MAX_WHOLE_RANGE && differ.len() <= MAX_REFINED_RANGES {
            // The other member has to request a part. If this one compared the parts, the facts would come from the
            // member that lacks them.
            return self.send_digest(from, MessageKind::Refine, part, length);
        }
        let sequence = self.next_sequence();
        let epoch = self.config.epoch;
        let mut bytes = write_header(&self.header(MessageKind::Differences, sequence, NO_MEMBER));
        let mut facts: Vec<Fact> = differ.iter().flat_map(|part| part.facts(&self.table)).collect();
        // If not all facts fit, a different part is sent each time.
        let count = facts.len();
        facts.rotate_left(below(&mut self.random, count).min(count));
        let (alive, others): (Vec<Fact>, Vec<Fact>) =
            facts.into_iter().partition(|fact| fact.status == Status::Alive);
        for fact in alive.into_iter().chain(others) {
            if !write_fact(&mut bytes, &fact, epoch, length) {
                break;
            }
        }
        self.send_with_updates(from, MessageKind::Differences, bytes, length);
    }

    /// Answers facts with those that rank higher here, in at most `length` bytes.
    pub(super) fn send_higher_ranked_facts(
        &mut self,
        to: u16,
        higher_ranked: &[u16],
        length: usize,
    ) {
        if higher_ranked.is_empty() || self.congested {
            return;
        }
        let epoch = self.config.epoch;
        let mut bytes = write_header(&self.header(MessageKind::Gossip, 0, NO_MEMBER));
        for fact in higher_ranked.iter().filter_map(|number| self.table.fact(*number)) {
            write_fact(&mut bytes, &fact, epoch, length);
        }
        self.enqueue_message(to, bytes);
    }
}
