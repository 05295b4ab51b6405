//! Table transfer: a started process fetches the table part by part, from any member.

use millethook_machine::codec::write_header;

use super::{PULLS_PER_PERIOD, View};
use crate::Micros;
use crate::fact::Status;
use crate::message::{HEADER_BYTES, LONGEST, MessageHeader, MessageKind, NO_MEMBER, write_fact};
use crate::probe::pick_random;

/// A table transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pull {
    /// The member at which the next part starts.
    pub cursor: u16,
    /// When the next part is requested.
    pub next: Micros,
    /// The current wait between two requests, in microseconds.
    pub wait: Micros,
}

/// The longest wait between two requests, in periods.
const MAX_PULL_PERIODS: u64 = 2;

impl View {
    /// Starts a table transfer, unless one is in progress.
    pub(super) fn start_pull(&mut self, now: Micros) {
        self.pull.get_or_insert(Pull {
            cursor: 0,
            next: now,
            wait: self.config.period / PULLS_PER_PERIOD,
        });
    }

    /// Requests the next part from a random member. Without an answer another member is asked, after twice the wait.
    pub(super) fn request_table(&mut self, now: Micros) {
        let Some(pull) = &mut self.pull else { return };
        // An answer advances the transfer at once; without one another member is asked, after ever longer waits.
        pull.wait = (pull.wait * 2).min(MAX_PULL_PERIODS * self.config.period);
        pull.next = now + pull.wait;
        if self.congested {
            return;
        }
        let cursor = pull.cursor;
        let me = self.config.me;
        let present = |n: u16, s: Status| s.is_present() && n != me;
        let absent = |n: u16, s: Status| s != Status::Left && n != me;
        let number = pick_random(&self.table, &mut self.random, present)
            .or_else(|| pick_random(&self.table, &mut self.random, absent));
        if let Some(number) = number {
            let sequence = self.next_sequence();
            self.send(number, MessageKind::Pull, sequence, cursor, LONGEST);
        }
    }

    /// Answers a request with facts from `cursor` on, in at most `length` bytes.
    pub(super) fn send_table_part(&mut self, to: u16, sequence: u16, cursor: u16, length: usize) {
        if length < HEADER_BYTES {
            return;
        }
        let epoch = self.config.epoch;
        let own = self.table.fact(self.config.me).into_iter();
        let contradicts = self.table.fact(to).filter(|f| f.status != Status::Alive);
        let later = self.table.facts_from(cursor).take_while(|f| f.number >= cursor);
        let header = self.header(MessageKind::PullReply, sequence, NO_MEMBER);
        let mut bytes = write_header(&header);
        for fact in contradicts.into_iter().chain(own) {
            write_fact(&mut bytes, &fact, epoch, length);
        }
        let next = later.into_iter().find(|f| !write_fact(&mut bytes, f, epoch, length));
        if let Some(next) = next {
            let subject = next.number;
            bytes.splice(..HEADER_BYTES, write_header(&MessageHeader { subject, ..header }));
        }
        self.enqueue_message(to, bytes);
    }
}
