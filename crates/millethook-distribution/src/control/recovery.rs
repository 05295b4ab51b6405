//! What a control node does before it votes. Votes are kept in memory only, so a control node that has started has
//! forgotten the votes of the previous process.
//!
//! It waits until every round of a writer that may count a forgotten vote has expired (`limits.silence`), and then
//! learns from a majority of the others what they store. At least one of these knows what a majority accepted before.
//! `docs/design/distribution.md` lists the cases.

use std::collections::{BTreeMap, BTreeSet};

use millethook_machine::Micros;

use crate::Limits;

/// The other control nodes are asked again after this time.
const RETRY_INTERVAL: Micros = 250_000;

/// The answer of another control node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Answer {
    /// It has started, too, and does not vote yet.
    recovering: bool,
    /// Everything that it stores is known here.
    learned: bool,
    /// It answered after the silence had ended.
    after_silence: bool,
}

/// The state before the first vote.
#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    began: Micros,
    silence: Micros,
    /// After this time any majority is enough; 0: never.
    give_up_after: Micros,
    /// Identifies the answers to a query; a new round starts after the silence.
    pub round: u32,
    after_silence: bool,
    next_ask_at: Micros,
    answers: BTreeMap<u16, Answer>,
    /// Control nodes that have asked, since this process started, what is stored here.
    askers: BTreeSet<u16>,
}

impl Recovery {
    /// Starts a recovery; `round` identifies the answers to its first query.
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

    /// Another control node asks what is stored here; the answer tells it that this process has started.
    pub fn on_asked(&mut self, by: u16) {
        self.askers.insert(by);
    }

    /// Whether a control node may be told what is stored in a bucket. A control node that has not asked since the start
    /// still relies on a promise, or an answer, of the previous process: documents that this process has forgotten
    /// would count as reported, and a document that both had accepted with others could be lost. It asks again in its
    /// next round, or after 25 unanswered requests. This also delays comparisons, which are made after the silence.
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

    /// Whether this control node does not have to be asked any more.
    pub fn has_answer(&self, from: u16) -> bool {
        self.answers
            .get(&from)
            .is_some_and(|answer| answer.learned && answer.after_silence == self.after_silence)
    }

    /// Another control node has answered.
    pub fn on_answer(&mut self, from: u16, recovering: bool) {
        let before =
            self.answers.get(&from).filter(|before| before.after_silence == self.after_silence);
        let learned = before.is_some_and(|before| before.learned);
        self.answers
            .insert(from, Answer { recovering, learned, after_silence: self.after_silence });
    }

    /// Everything that another control node stores is known here.
    pub fn learned(&mut self, from: u16) {
        if let Some(answer) = self.answers.get_mut(&from) {
            answer.learned = true;
        }
    }

    /// Whether it may vote; `count` is the number of all control nodes.
    pub fn may_vote(&self, now: Micros, count: usize) -> bool {
        let learned = |a: &&Answer| a.learned;
        let answers = || self.answers.values().filter(learned);
        // All have started: there is no round left that could count an earlier vote.
        if answers().filter(|a| a.recovering).count() + 1 >= count {
            return true;
        }
        if !self.after_silence {
            return false;
        }
        let after_silence = || answers().filter(|a| a.after_silence);
        // Every majority that accepted a document includes one of these control nodes at least, which has forgotten
        // nothing: see the design note.
        let minority = (count - 1) / 2;
        let timed_out = self.give_up_after > 0 && now >= self.began + self.give_up_after;
        after_silence().filter(|a| !a.recovering).count() > minority
            || after_silence().count() + 1 >= count
            || timed_out && after_silence().count() + 1 > count / 2
    }
}
