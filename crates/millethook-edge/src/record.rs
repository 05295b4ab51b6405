//! What stands in a store's files, one record a thing that has happened.

use millethook_lease::Token;
use serde::{Deserialize, Serialize};

use crate::WriteId;

/// What a repeat of a write does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Harm.
    Never,
    /// Nothing, within the window after the first attempt, wherever it goes. A class whose group is a zone or a cell
    /// counts as [`Repeat::Never`]: a replay does not choose servers.
    Within {
        /// The window, in milliseconds.
        window_ms: u64,
    },
}

/// A write, as its client sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Unix time at which it was kept, in milliseconds.
    pub at_ms: u64,
    /// Its class, by name.
    pub class: String,
    /// What a repeat of it does.
    pub repeat: Repeat,
    /// Whose it is: writes of one member keep their order. 0: nobody's.
    pub member: u64,
    /// What it comes after.
    pub after: Vec<WriteId>,
    /// Its method,
    pub method: String,
    /// path and query,
    pub target: String,
    /// header fields
    pub headers: Vec<(String, Vec<u8>)>,
    /// and body.
    pub body: Vec<u8>,
}

/// A time that all processes of one host measure alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTime {
    /// Which boot of the host.
    pub boot: u64,
    /// Milliseconds since then.
    pub ms: u64,
}

impl HostTime {
    /// Milliseconds since `earlier`; None: the host was started anew, and nobody knows.
    pub fn since(self, earlier: HostTime) -> Option<u64> {
        if self.boot == earlier.boot { self.ms.checked_sub(earlier.ms) } else { None }
    }
}

/// A token as it stands on disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner(pub u64, pub u32, pub u16);

impl From<Token> for Owner {
    fn from(t: Token) -> Owner {
        Owner(t.epoch, t.counter, t.owner)
    }
}

impl From<Owner> for Token {
    fn from(o: Owner) -> Token {
        Token { epoch: o.0, counter: o.1, owner: o.2 }
    }
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// A server has served it.
    Done,
    /// A server has refused it for good.
    Refused,
    /// It was kept for too long.
    Expired,
    /// One that it comes after has not been served, and never will be.
    Forsaken,
    /// An operator has dropped it.
    Dropped,
    /// Its record was found spoilt as it was to go out.
    Spoilt,
    /// Its client was answered that nobody knows whether it is kept, or has gone without an answer.
    Withdrawn,
}

impl End {
    /// Whether those that come after it may go on as if it had been served.
    pub fn is_well(self) -> bool {
        // One that was withdrawn has failed for its client, which a later write does not wait for without `[edge]`
        // either.
        matches!(self, End::Done | End::Dropped | End::Withdrawn)
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A write is kept.
    Write(Box<Write>),
    /// It goes out under this token.
    Mark {
        /// Whose.
        by: Owner,
        /// When.
        at: HostTime,
    },
    /// It did not go out, or is known not to have run.
    NotRun {
        /// Whose mark that was.
        by: Owner,
    },
    /// It may have run, and nobody answers for it.
    MayHaveRun {
        /// Whose mark that was.
        by: Owner,
    },
    /// It has ended.
    End {
        /// How.
        how: End,
        /// What a server answered, where it was no success: its status,
        status: u16,
        /// and the begin of the body.
        answer: Vec<u8>,
        /// Unix time, in milliseconds.
        at_ms: u64,
    },
    /// An operator says that it has not run, or that it may be sent again.
    Release,
    /// The first record of an intake whose writes count only once they are acknowledged.
    Opened {
        /// The start of the host, as in [`HostTime::boot`].
        boot: u64,
    },
    /// The write's client gets a receipt for its answer.
    Acknowledged,
}
