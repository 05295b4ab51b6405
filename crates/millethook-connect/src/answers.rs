//! Fingerprints of answers, the answers that a connection has carried, and the answers that each class was seen to get.
//!
//! An answer does not identify its request; only their order relates them (RFC 9112, section 9.3.2). A second copy of
//! an answer may come after the next request on its connection has begun. Such a copy has the status and the body of
//! an earlier answer. If each answer on a connection so far belonged to its request, an answer that equals none of
//! them is no copy and belongs to its request, too. This proves nothing where answers to different requests are
//! legitimately equal. [`SeenAnswers`] learns for which classes answers differ.

use std::collections::VecDeque;
use std::hash::{BuildHasher, Hash, RandomState};

use http::StatusCode;
use rustc_hash::FxHashMap;

/// The number of bytes at the start of a body by which answers are compared. A long answer may be forwarded once they
/// have come.
pub const COMPARED_BODY_BYTES: usize = 4 << 10;
/// The maximum number of answers that a connection carries. All of them are remembered, since a copy of a forgotten one
/// would be accepted.
const MAX_CARRIED_ANSWERS: usize = 256;
/// The number of a class's answers that are remembered. It is no less than what one connection carries, so that
/// legitimately equal answers are mostly seen on two connections before they are seen on the same one.
const MAX_RECENT_ANSWERS: usize = MAX_CARRIED_ANSWERS;
/// A class's answers are taken to differ after this many consecutive answers that differ from all recent ones, if one
/// of them came from a server that had answered before.
const MIN_DISTINCT: usize = 4;
/// The same after two equal answers.
const MIN_DISTINCT_AFTER_EQUAL: usize = MAX_RECENT_ANSWERS;

/// A keyed hash of an answer's status and of the first [`COMPARED_BODY_BYTES`] of its body. Two answers that differ
/// there have the same hash with a probability of 1 in 2^64. A collision refuses a correct answer and never accepts a
/// wrong one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

/// The secret key of the fingerprints. Without it servers could choose bodies that collide.
#[derive(Clone, Debug, Default)]
pub struct FingerprintKey(RandomState);

impl FingerprintKey {
    /// Returns the fingerprint of an answer. `body` is its body, or at least the first [`COMPARED_BODY_BYTES`] of it.
    pub fn fingerprint(&self, status: StatusCode, body: &[u8]) -> Fingerprint {
        let compared = &body[..body.len().min(COMPARED_BODY_BYTES)];
        Fingerprint(self.0.hash_one((status.as_u16(), compared)))
    }
}

/// The answers that one connection has carried.
#[derive(Debug, Default)]
pub struct CarriedAnswers(Vec<Fingerprint>);

impl CarriedAnswers {
    /// Whether the connection has carried no answer.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the connection has carried an answer that equals this one.
    pub fn contains(&self, answer: Fingerprint) -> bool {
        self.0.contains(&answer)
    }

    /// Adds an answer that the connection has carried.
    pub fn add(&mut self, answer: Fingerprint) {
        if !self.contains(answer) {
            self.0.push(answer);
        }
    }

    /// Whether the connection has carried the maximum number of answers.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_CARRIED_ANSWERS
    }
}

/// Whether different requests of a class get different answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variety {
    /// Too few answers were seen, and no two equal ones.
    Unknown,
    /// No two of many answers were equal.
    Distinct,
    /// Two answers were equal, and too few came since.
    Alike,
}

/// The answers that were seen, for each class `C` and from all servers `S` together: whether bodies differ depends on
/// the application and the class, not on the server.
#[derive(Debug)]
pub struct SeenAnswers<C, S> {
    classes: FxHashMap<C, AnswerHistory<S>>,
    all: AnswerHistory<S>,
}

impl<C, S> Default for SeenAnswers<C, S> {
    fn default() -> SeenAnswers<C, S> {
        SeenAnswers { classes: FxHashMap::default(), all: AnswerHistory::default() }
    }
}

impl<C: Copy + Eq + Hash, S: Copy + PartialEq> SeenAnswers<C, S> {
    /// Whether the answers of a class differ. Until enough of them were seen, the answers of all classes decide for a
    /// request that may run twice without harm (`repeatable`), where a wrong guess costs only a retry.
    pub fn variety(&self, class: C, repeatable: bool) -> Variety {
        match self.classes.get(&class).map_or(Variety::Unknown, AnswerHistory::variety) {
            Variety::Unknown if repeatable => self.all.variety(),
            own => own,
        }
    }

    /// Records that a request of a class got this answer from `server`, and that the answer belonged to it.
    pub fn observe(&mut self, class: C, answer: Fingerprint, server: S) {
        self.classes.entry(class).or_default().observe(answer, server);
        self.all.observe(answer, server);
    }

    /// Records that two answers of a class were equal.
    pub fn record_equal(&mut self, class: C) {
        self.classes.entry(class).or_default().record_equal();
    }

    /// Records that the last two equal answers of a class have turned out to be an answer and its copy.
    pub fn record_copy(&mut self, class: C) {
        self.classes.entry(class).or_default().record_copy();
    }
}

/// The answers that were seen from all servers `S`, of one class or of all classes.
#[derive(Debug)]
struct AnswerHistory<S> {
    /// The latest answers and their servers, the oldest first.
    recent: VecDeque<(Fingerprint, S)>,
    /// The number of consecutive answers that differ from all recent ones.
    distinct_in_a_row: usize,
    /// One of them came from a server that had answered before. Without this condition, answers that differ only by
    /// their server's name would count as distinct.
    has_repeated_server: bool,
    /// Two equal answers came before them.
    had_equal: bool,
}

impl<S> Default for AnswerHistory<S> {
    fn default() -> AnswerHistory<S> {
        AnswerHistory {
            recent: VecDeque::new(),
            distinct_in_a_row: 0,
            has_repeated_server: false,
            had_equal: false,
        }
    }
}

impl<S: Copy + PartialEq> AnswerHistory<S> {
    /// Whether the answers differ.
    fn variety(&self) -> Variety {
        let (too_few, needed) = match self.had_equal {
            true => (Variety::Alike, MIN_DISTINCT_AFTER_EQUAL),
            false => (Variety::Unknown, MIN_DISTINCT),
        };
        if self.has_repeated_server && self.distinct_in_a_row >= needed {
            Variety::Distinct
        } else {
            too_few
        }
    }

    /// Records that a request got this answer from `server`, and that the answer belonged to it.
    fn observe(&mut self, answer: Fingerprint, server: S) {
        if self.recent.iter().any(|(earlier, _)| *earlier == answer) {
            return self.record_equal();
        }
        self.distinct_in_a_row = self.distinct_in_a_row.saturating_add(1);
        self.has_repeated_server |= self.recent.iter().any(|(_, earlier)| *earlier == server);
        if self.recent.len() == MAX_RECENT_ANSWERS {
            self.recent.pop_front();
        }
        self.recent.push_back((answer, server));
    }

    /// Records that two answers were equal.
    fn record_equal(&mut self) {
        *self = AnswerHistory {
            had_equal: true,
            recent: std::mem::take(&mut self.recent),
            ..AnswerHistory::default()
        };
    }

    /// Records that the last two equal answers have turned out to be an answer and its copy. Answers are taken to
    /// differ again, as they were before.
    fn record_copy(&mut self) {
        self.had_equal = false;
        self.has_repeated_server = true;
        self.distinct_in_a_row = MIN_DISTINCT;
    }
}
