//! Processing of facts about other members: which are accepted, and what follows.

use super::{Event, MAX_EVENTS, View};
use crate::Micros;
use crate::fact::{Fact, Status};
use crate::message::{HEADER_BYTES, LONGEST_FACT, MessageKind, NO_MEMBER};
use crate::mutant::{self, Mutant};
use crate::probe::{Suspicion, below};
use crate::table::Member;

/// The mean number of members that probe a suspect as soon as they learn of the suspicion.
const IMMEDIATE_PROBERS: usize = 4;
/// The maximum number of members that are notified in one period that they are suspected.
const MAX_NOTICES: usize = 8;

impl View {
    /// Applies a fact, if it ranks higher than the known one.
    pub(super) fn apply_fact(&mut self, fact: &Fact, now: Micros) {
        if fact.number == self.config.me {
            return self.apply_fact_about_self(fact, now);
        }
        let Some(member) = self.table.get(fact.number).copied() else {
            self.figures.malformed += 1;
            return;
        };
        let revives = mutant::is(Mutant::LeftComesBack)
            && (member.status, fact.status) == (Status::Left, Status::Alive);
        if member.status != Status::Unknown && fact.rank() <= member.rank() && !revives {
            let same = fact.rank() == member.rank() && fact.status == Status::Suspect;
            let suspicion = self.suspicions.get_mut(&fact.number).filter(|_| same);
            if suspicion.is_some_and(|s| s.confirm(fact.reported_by)) {
                // A confirmation by another member is an update, too.
                let member = Fact { reported_by: fact.reported_by, ..*fact };
                self.table.set(&member);
                self.updates.add(fact.number);
            }
            return;
        }
        self.table.set(fact);
        match fact.status {
            Status::Alive => self.updates.add_first(fact.number),
            _ => self.updates.add(fact.number),
        }
        match fact.status {
            Status::Suspect => {
                self.suspicions.insert(fact.number, Suspicion::new(now, fact.reported_by));
                // A few members probe the suspect at once, so that the suspicion is soon confirmed or refuted.
                let members = self.table.counts.alive + self.table.counts.suspect;
                if below(&mut self.random, members) < IMMEDIATE_PROBERS {
                    self.order.probe_next(fact.number);
                }
            }
            _ => {
                self.suspicions.remove(&fact.number);
            }
        }
        let restarted = member.epoch > 0 && member.epoch != fact.epoch;
        if member.status != fact.status || restarted {
            let Fact { number, epoch, .. } = *fact;
            self.events.push_back(Event {
                number,
                epoch,
                old_status: member.status,
                new_status: fact.status,
            });
            if self.events.len() > MAX_EVENTS {
                self.events.pop_front();
            }
        }
        self.notify(fact, &member, now);
    }

    /// Notifies a member at once that it is reported as suspect or dead although its last message is recent, so that it
    /// can refute the report before many members accept it.
    pub(super) fn notify(&mut self, fact: &Fact, before: &Member, now: Micros) {
        let since = ((now / 1_000) as u32).wrapping_sub(before.last_message_ms);
        let recently = u64::from(since) * 1_000 < 4 * self.config.period;
        let accused = matches!(fact.status, Status::Suspect | Status::Dead)
            && fact.reported_by != self.config.me;
        let alive = before.status.is_present() && before.epoch == fact.epoch;
        if accused && alive && recently && self.notices < MAX_NOTICES {
            self.notices += 1;
            self.send(fact.number, MessageKind::Gossip, 0, NO_MEMBER, HEADER_BYTES + LONGEST_FACT);
        }
    }
}
