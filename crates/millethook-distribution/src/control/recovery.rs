//! What a control node does before it votes: votes are kept in memory only, and one that has started has forgotten
//! those of the process before it.
//!
//! It waits until every round of a writer that may count a forgotten vote is over (`limits.silence`), and then learns
//! from a majority of others what they hold. What a majority accepted before is known to one of these at least. See
//! `docs/design/distribution.md` for the cases.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use crate::Limits;

/// Others are asked again after this time.
const RETRY_INTERVAL: Micros = 250_000;

/// What another control node has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    /// It has started, too, and does not vote yet.
    recovering: bool,
    /// All that it keeps is known here.
    learned: bool,
    /// It answered after the silence was over.
    after_silence: bool,
}

/// The state before the first vote.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    began: Micros,
    silence: Micros,
    /// After this time any majority is enough; 0: never.
    give_up_after: Micros,
    /// By which answers are known: another one after the silence.
    pub round: u32,
    after_silence: bool,
    next_ask_at: Micros,
    answers: BTreeMap<u16, Answer>,
    /// Those that have asked since this one has started what it holds.
    askers: BTreeSet<u16>,
}

impl Recovery {
    pub fn new(now: Micros, limits: &Limits, round: u32) -> Recovery {
        Recovery {
            began: now,
            silence: limits.silence,
            give_up_after: limits.give_up_after,
            round,
            after_silence: false,
            next_ask_at: now,
            answers: BTreeMap::new(),
            askers: BTreeSet::new(),
        }
    }

    /// Another control node asks what is held here, and knows by the answer that this one has started.
    pub fn on_asked(&mut self, by: u16) {
        self.askers.insert(by);
    }

    /// Whether a control node may be told what is held in a bucket. One that has not asked since the start goes by a
    /// promise, or an answer, of the process before this one: what that held and this one has forgotten would count as
    /// told, and a document that they both had accepted with others could be lost. It asks anew in its next round, or
    /// when it has not been answered 25 times. This also keeps back what is only being compared; that comes after the
    /// silence.
    pub fn may_list(&self, to: u16) -> bool {
        self.askers.contains(&to)
    }

    /// Whether the others have to be asked now.
    pub fn is_due(&mut self, now: Micros) -> bool {
        if !self.after_silence && now >= self.began + self.silence {
            self.after_silence = true;
            self.round = self.round.wrapping_add(1);
            self.next_ask_at = now;
        }
        let due = self.next_ask_at <= now;
        if due {
            self.next_ask_at = now + RETRY_INTERVAL;
        }
        due
    }

    /// When the others have to be asked next.
    pub fn next_at(&self) -> Micros {
        self.next_ask_at
    }

    /// Whether this one need not be asked any more.
    pub fn has_answer(&self, from: u16) -> bool {
        self.answers
            .get(&from)
            .is_some_and(|answer| answer.learned && answer.after_silence == self.after_silence)
    }

    /// Another one has answered.
    pub fn on_answer(&mut self, from: u16, recovering: bool) {
        let before =
            self.answers.get(&from).filter(|before| before.after_silence == self.after_silence);
        let learned = before.is_some_and(|before| before.learned);
        self.answers
            .insert(from, Answer { recovering, learned, after_silence: self.after_silence });
    }

    /// All that another one keeps is known here.
    pub fn learned(&mut self, from: u16) {
        if let Some(answer) = self.answers.get_mut(&from) {
            answer.learned = true;
        }
    }

    /// Whether it may vote, of so many control nodes in all.
    pub fn may_vote(&self, now: Micros, count: usize) -> bool {
        let learned = |a: &&Answer| a.learned;
        let answers = || self.answers.values().filter(learned);
        // All have started: no round is left that could count a vote of before.
        if answers().filter(|a| a.recovering).count() + 1 >= count {
            return true;
        }
        if !self.after_silence {
            return false;
        }
        let after_silence = || answers().filter(|a| a.after_silence);
        // Of a majority that accepted something those that have forgotten nothing are asked, up to one: see the note.
        let minority = (count - 1) / 2;
        let timed_out = self.give_up_after > 0 && now >= self.began + self.give_up_after;
        after_silence().filter(|a| !a.recovering).count() > minority
            || after_silence().count() + 1 >= count
            || timed_out && after_silence().count() + 1 > count / 2
    }
}
