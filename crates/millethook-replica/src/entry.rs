//! Entries, and the order that decides which of two copies of an entry is kept.

use millethook_lease::Token;
use millethook_machine::wire_enum;

use crate::mutant::{self, Mutant};
use crate::{Epoch, Micros};

/// Identifies an entry. A replica holds at most one entry of each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// An observation of a server by one sidecar. Only that sidecar writes it.
    Evidence {
        /// The server.
        server: u64,
        /// The number of the sidecar.
        author: u16,
    },
    /// The departure of a server. Every sidecar that learns of it from discovery may write it.
    Departure {
        /// The server.
        server: u64,
    },
    /// The owner of a job of the fleet.
    Job {
        /// The number of the job.
        job: u64,
    },
    /// The replay progress of an edge store (a store of writes that are kept until a server can be reached).
    Edge {
        /// The number of the edge store.
        edge: u64,
    },
}

impl Key {
    /// The server that the key concerns; None for jobs and edge stores.
    pub fn server(self) -> Option<u64> {
        match self {
            Key::Evidence { server, .. } | Key::Departure { server } => Some(server),
            Key::Job { .. } | Key::Edge { .. } => None,
        }
    }

    /// Whether every member holds the entry. Entries of edge stores are queried instead, because many of them change
    /// all the time and few members need them.
    pub(crate) fn is_shared(self) -> bool {
        !matches!(self, Key::Edge { .. })
    }

    /// How long an entry is kept after it was written, in microseconds. An entry that still applies is written again
    /// before that.
    pub fn lifetime(self) -> Micros {
        match self {
            Key::Evidence { .. } => 10_000_000,
            Key::Departure { .. } => 60_000_000,
            Key::Job { .. } => 20_000_000,
            Key::Edge { .. } => 30_000_000,
        }
    }
}

wire_enum! {
    /// What a sidecar has observed of a server.
    pub enum Verdict {
        /// The server answers. Written only after a failure has been reported.
        Well = 1,
        /// Attempts were not answered.
        Silent = 2,
        /// The server accepts no connections, or breaks them.
        Refusing = 3,
        /// The server answers with errors.
        Erring = 4,
    }
}

wire_enum! {
    /// The stage of a server's departure.
    pub enum Departure {
        /// The server finishes its outstanding requests.
        Leaving = 1,
        /// The server is no longer listed.
        Gone = 2,
    }
}

/// The content of an entry. Of two contents for one key the greater one is kept; the order of the fields is the order
/// of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EntryValue {
    /// An observation. It applies until its author writes a later one.
    Evidence {
        /// The epoch of the author's process.
        author_epoch: Epoch,
        /// Counts the observations that the author has written.
        counter: u32,
        /// The epoch of the observed server process.
        server_epoch: Epoch,
        /// The observed state.
        verdict: Verdict,
        /// The zone of the author: a server may be unreachable from one zone and reachable from another.
        zone: u8,
    },
    /// A departure. The furthest stage of the latest process is kept.
    Departure {
        /// The epoch of the server process.
        server_epoch: Epoch,
        /// The stage of the departure.
        departure: Departure,
    },
    /// The owner of a job. The latest entry of the highest token is kept; a lower token is rejected.
    Job {
        /// The token of the owner.
        token: Token,
        /// Counts the entries that the owner has written under this token.
        said: u16,
    },
    /// The replay progress of an edge store. The furthest entry of the highest token is kept.
    Edge {
        /// The token of the member that replays the store.
        token: Token,
        /// All writes up to this number have ended.
        upto: u64,
        /// Writes that have ended among the 64 after `upto`, one bit each, the first one in the lowest bit.
        beyond: u64,
        /// The last writes that failed, each as one more than its distance back from the 64th after `upto`; 0: none.
        failed: [u16; 3],
        /// The number of writes that have not ended.
        left: u16,
    },
}

/// A content and its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The content.
    pub value: EntryValue,
    /// Its age when it was received, in microseconds. Transit time is not included, so the greater of two ages is the
    /// more accurate one.
    pub age: Micros,
}

impl Entry {
    /// Merges another copy of the same key. Returns whether something has changed.
    ///
    /// The join is commutative, associative and idempotent: the greatest content is kept, and of equal contents the
    /// greatest age.
    pub fn join(&mut self, other: &Entry) -> bool {
        let before = *self;
        let later = match (self.value, other.value) {
            _ if mutant::is(Mutant::LastComerHolds) => self.value != other.value,
            (EntryValue::Evidence { counter: a, .. }, EntryValue::Evidence { counter: b, .. })
                if mutant::is(Mutant::EpochsDoNotCount) =>
            {
                b > a
            }
            (EntryValue::Departure { .. }, _) if mutant::is(Mutant::FirstDepartureHolds) => false,
            (mine, theirs) => theirs > mine,
        };
        if later {
            *self = *other;
        } else if self.value == other.value {
            let shrinks = mutant::is(Mutant::AgesShrink);
            self.age = if shrinks { other.age } else { self.age.max(other.age) };
        }
        *self != before
    }
}
