//! What answers are compared by: those that a connection has carried, and those that a class was seen to get.
//!
//! An answer does not name its request (RFC 9112, section 9.3.2: order alone tells), and a second copy of one may come
//! once the next request on its connection has begun. Such a copy has the status and the body of an answer that came
//! before it. Where each answer that a connection has carried was its request's own, one that equals none of them is no
//! copy of any, and so its request's own, too. That tells nothing where answers are rightly equal: [`SeenAnswers`] learns
//! where they are not.

use std::collections::VecDeque;
use std::hash::{BuildHasher, Hash, RandomState};

use http::StatusCode;
use rustc_hash::FxHashMap;

/// The bytes of a body by which answers are compared, from its first one on. A long answer is passed on behind them.
pub const COMPARED_BODY_BYTES: usize = 4 << 10;
/// The most answers that a connection carries. All of them are remembered: a copy of one that was forgotten would pass.
const MOST_CARRIED: usize = 256;
/// The answers of a class that are remembered: no fewer than one connection carries, so that answers that are rightly
/// equal are mostly seen on two connections before they are seen on one.
const RECENT: usize = MOST_CARRIED;
/// After so many answers in a row that differ from all recent ones, a class's answers are taken to differ: at first, if one
/// of them came from a server that had answered before, and behind two equal ones.
const DIFFERING: usize = 4;
const DIFFERING_AGAIN: usize = RECENT;

/// A keyed hash of an answer's status and of the first [`COMPARED_BODY_BYTES`] bytes of its body. Two answers that differ there have
/// the same one in one of 2^64 cases; then a right answer is refused, and never a wrong one taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

/// The key of fingerprints. Without it servers could choose bodies that collide.
#[derive(Clone, Debug, Default)]
pub struct FingerprintKey(RandomState);

impl FingerprintKey {
    /// That of an answer, `body` being all of its body or at least its first [`COMPARED_BODY_BYTES`] bytes.
    pub fn fingerprint(&self, status: StatusCode, body: &[u8]) -> Fingerprint {
        let compared = &body[..body.len().min(COMPARED_BODY_BYTES)];
        Fingerprint(self.0.hash_one((status.as_u16(), compared)))
    }
}

/// The answers that one connection has carried.
#[derive(Debug, Default)]
pub struct CarriedAnswers(Vec<Fingerprint>);

impl CarriedAnswers {
    /// Whether it has carried none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether it has carried an answer that equals this one.
    pub fn contains(&self, answer: Fingerprint) -> bool {
        self.0.contains(&answer)
    }

    /// It has carried this one, too.
    pub fn add(&mut self, answer: Fingerprint) {
        if !self.contains(answer) {
            self.0.push(answer);
        }
    }

    /// Whether there is no room for another one.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MOST_CARRIED
    }
}

/// Whether the answers of a class tell its requests apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variety {
    /// Too few were seen, and no two equal ones.
    Unknown,
    /// No two of many were equal.
    Distinct,
    /// Two were equal, and too few came since.
    Alike,
}

/// What was seen of the answers of all classes `C`, at all servers `S`. Whether bodies differ is a property of the
/// application and its class.
#[derive(Debug)]
pub struct SeenAnswers<C, S> {
    classes: FxHashMap<C, History<S>>,
    all: History<S>,
}

impl<C, S> Default for SeenAnswers<C, S> {
    fn default() -> SeenAnswers<C, S> {
        SeenAnswers { classes: FxHashMap::default(), all: History::default() }
    }
}

impl<C: Copy + Eq + Hash, S: Copy + PartialEq> SeenAnswers<C, S> {
    /// Whether the answers of a class tell its requests apart. Until enough of them were seen, those of all classes count
    /// where a request that runs twice does no harm (`repeatable`): a mistake costs a repeat there.
    pub fn variety(&self, class: C, repeatable: bool) -> Variety {
        match self.classes.get(&class).map_or(Variety::Unknown, History::variety) {
            Variety::Unknown if repeatable => self.all.variety(),
            own => own,
        }
    }

    /// A request of a class got this answer from `server`, and it was its own.
    pub fn observe(&mut self, class: C, answer: Fingerprint, server: S) {
        self.classes.entry(class).or_default().observe(answer, server);
        self.all.observe(answer, server);
    }

    /// Two answers of a class were equal.
    pub fn record_equal(&mut self, class: C) {
        self.classes.entry(class).or_default().record_equal();
    }

    /// The last two answers of a class that were equal have turned out to be one and its copy.
    pub fn record_copy(&mut self, class: C) {
        self.classes.entry(class).or_default().record_copy();
    }
}

/// What was seen of answers, at all servers `S`: of one class, or of all.
#[derive(Debug)]
struct History<S> {
    /// The latest and their servers, the oldest one first.
    recent: VecDeque<(Fingerprint, S)>,
    /// How many came in a row that differ from all recent ones.
    differing: usize,
    /// One of them came from a server that had answered before. Without this, a server's name in its answers would tell
    /// requests apart.
    same_server: bool,
    /// Two equal ones came before those.
    alike: bool,
}

impl<S> Default for History<S> {
    fn default() -> History<S> {
        History { recent: VecDeque::new(), differing: 0, same_server: false, alike: false }
    }
}

impl<S: Copy + PartialEq> History<S> {
    /// Whether answers tell requests apart.
    fn variety(&self) -> Variety {
        let (few, wanted) = match self.alike {
            true => (Variety::Alike, DIFFERING_AGAIN),
            false => (Variety::Unknown, DIFFERING),
        };
        if self.same_server && self.differing >= wanted { Variety::Distinct } else { few }
    }

    /// A request got this answer from `server`, and it was its own.
    fn observe(&mut self, answer: Fingerprint, server: S) {
        if self.recent.iter().any(|(earlier, _)| *earlier == answer) {
            return self.record_equal();
        }
        self.differing = self.differing.saturating_add(1);
        self.same_server |= self.recent.iter().any(|(_, earlier)| *earlier == server);
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((answer, server));
    }

    /// Two answers were equal.
    fn record_equal(&mut self) {
        *self =
            History { alike: true, recent: std::mem::take(&mut self.recent), ..History::default() };
    }

    /// The last two answers that were equal have turned out to be one and its copy. Answers were taken to differ until
    /// then, and are again.
    fn record_copy(&mut self) {
        self.alike = false;
        self.same_server = true;
        self.differing = DIFFERING;
    }
}
