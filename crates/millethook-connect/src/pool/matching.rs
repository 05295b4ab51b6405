//! How to prove that an answer on a reused connection belongs to its request.

use std::hash::Hash;
use std::time::Instant;

use super::{Pool, Reuse};
use crate::answers::Variety;
use crate::request::Persistence;

/// How to prove that an answer on a reused connection belongs to its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Matching {
    /// Without a proof: the server is trusted.
    Trust,
    /// The answer differs from each answer that the connection has carried.
    DistinctContent,
    /// The answer announces the close of the connection, for which its request has asked.
    AnnouncedClose,
    /// The request is sent on a new connection, which has carried no other answer.
    NewConnection,
}

impl<K: Copy + Eq + Hash, C> Pool<K, C> {
    /// How the answer to a request is matched. `variety` is that of the answers of the request's class.
    pub fn matching(&self, key: K, variety: Variety, now: Instant) -> Matching {
        if self.answers_need_proof(key, now) {
            return Matching::AnnouncedClose;
        }
        match (variety, self.reuse) {
            (Variety::Distinct, _) => Matching::DistinctContent,
            (Variety::Unknown | Variety::Alike, Reuse::Unlimited) => Matching::Trust,
            // The new connection can be reused by later requests.
            (Variety::Unknown, _) => Matching::NewConnection,
            (Variety::Alike, _) => Matching::AnnouncedClose,
        }
    }

    /// Whether a request needs a new connection, since its answer could not be proven on a reused one. If all answers
    /// of the server need a proof, this is false: [`Pool::checkout`] then closes the idle connections that cannot
    /// give one.
    pub fn needs_new(&self, key: K, matching: Matching, now: Instant) -> bool {
        match matching {
            Matching::Trust | Matching::DistinctContent => false,
            Matching::AnnouncedClose => {
                !self.answers_need_proof(key, now) && !self.announces_close(key, now)
            }
            Matching::NewConnection => true,
        }
    }

    /// Whether a request asks to close its connection. Where the answer has to announce the close, all but the first
    /// request on a connection ask for it, and so does every request to a server that is not known to announce it.
    /// `used`: the connection has carried an answer.
    pub fn persistence(&self, key: K, matching: Matching, used: bool, now: Instant) -> Persistence {
        if matching == Matching::AnnouncedClose && (used || !self.announces_close(key, now)) {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}
