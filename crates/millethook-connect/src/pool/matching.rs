//! How an answer on a connection that has carried others is told to be its request's own.

use std::hash::Hash;
use std::time::Instant;

use super::{Pool, Reuse};
use crate::answers::Variety;
use crate::request::Persistence;

/// How an answer on a connection that has carried others is told to be its request's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Matching {
    /// It is taken on trust.
    Trust,
    /// It differs from each answer that the connection has carried.
    DistinctContent,
    /// It announces the end of the connection, which its request has asked for.
    AnnouncedClose,
    /// There is no such answer: the request goes out on a new connection.
    NewConnection,
}

impl<K: Copy + Eq + Hash, C> Pool<K, C> {
    /// How the answer to a request to a server is told from others; `variety`: that of the answers of its class.
    pub fn matching(&self, key: K, variety: Variety, now: Instant) -> Matching {
        if self.answers_need_proof(key, now) {
            return Matching::AnnouncedClose;
        }
        match (variety, self.reuse) {
            (Variety::Distinct, _) => Matching::DistinctContent,
            (Variety::Unknown | Variety::Alike, Reuse::Unlimited) => Matching::Trust,
            // Its connection is of use to later requests.
            (Variety::Unknown, _) => Matching::NewConnection,
            (Variety::Alike, _) => Matching::AnnouncedClose,
        }
    }

    /// Whether a request has to go out on a new connection, as its answer could be told from others on no used one. Where the
    /// server itself is in doubt, [`Pool::checkout`] gives up what rests instead.
    pub fn needs_new(&self, key: K, matching: Matching, now: Instant) -> bool {
        match matching {
            Matching::Trust | Matching::DistinctContent => false,
            Matching::AnnouncedClose => {
                !self.answers_need_proof(key, now) && !self.announces_close(key, now)
            }
            Matching::NewConnection => true,
        }
    }

    /// What a request on a connection to a server says of that connection. Where the end has to be announced, all but the
    /// first request on a connection ask for it, and so does each one to a server that is not known to announce it.
    pub fn persistence(&self, key: K, matching: Matching, used: bool, now: Instant) -> Persistence {
        if matching == Matching::AnnouncedClose && (used || !self.announces_close(key, now)) {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }
}
