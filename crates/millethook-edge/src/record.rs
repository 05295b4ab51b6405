//! The records in a store's files, one for each event.

use millethook_lease::Token;
use serde::{Deserialize, Serialize};

use crate::WriteId;

/// Whether a write may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// A repeat is harmful.
    Never,
    /// A repeat is harmless within a window after the first attempt, on any server. A class that deduplicates only
    /// within a zone or a cell counts as [`Repeat::Never`], since a replay does not choose servers.
    Within {
        /// The window in milliseconds.
        window_ms: u64,
    },
}

/// A write as its client sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Unix time at which the write was stored, in milliseconds.
    pub at_ms: u64,
    /// Name of the traffic class.
    pub class: String,
    /// Whether the write may be repeated.
    pub repeat: Repeat,
    /// The member that sent the write; writes of one member keep their order. 0: no member.
    pub member: u64,
    /// The writes on which this one depends.
    pub after: Vec<WriteId>,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A time that is comparable between all processes of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTime {
    /// Identifies the boot of the host.
    pub boot: u64,
    /// Milliseconds since the boot.
    pub ms: u64,
}

impl HostTime {
    /// Milliseconds since `earlier`, or None if the host was rebooted in between, which makes the time unknown.
    pub fn since(self, earlier: HostTime) -> Option<u64> {
        if self.boot == earlier.boot { self.ms.checked_sub(earlier.ms) } else { None }
    }
}

/// A lease token as stored on disk.
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
    /// A server served it.
    Done,
    /// A server refused it permanently.
    Refused,
    /// It exceeded the maximum age.
    Expired,
    /// A write that it depends on failed or never arrived.
    Forsaken,
    /// An operator dropped it.
    Dropped,
    /// Its record was found damaged when it was to be sent.
    Spoilt,
    /// Its client was told that the write's state is unknown, or got no answer.
    Withdrawn,
}

impl End {
    /// Whether writes that depend on this one may proceed as if it had been served.
    pub fn is_well(self) -> bool {
        // A withdrawn write has failed for its client. Without the `[edge]` section, too, later writes do not wait
        // for a failed one.
        matches!(self, End::Done | End::Dropped | End::Withdrawn)
    }
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A write is stored.
    Write(Box<Write>),
    /// The write is about to be sent under this token.
    Mark {
        /// The owner that sends it.
        by: Owner,
        /// The time of the attempt.
        at: HostTime,
    },
    /// The write was not sent, or is known not to have been executed.
    NotRun {
        /// The owner whose attempt it was.
        by: Owner,
    },
    /// The write may have been executed, and its outcome will not become known.
    MayHaveRun {
        /// The owner whose attempt it was.
        by: Owner,
    },
    /// The write has ended.
    End {
        /// How it ended.
        how: End,
        /// Status of the server's answer if the server refused the write, else 0.
        status: u16,
        /// The first bytes of that answer's body.
        answer: Vec<u8>,
        /// Unix time in milliseconds.
        at_ms: u64,
    },
    /// An operator states that the write was not executed or may be repeated.
    Release,
    /// The first record of an intake whose writes count only after their acknowledgement.
    Opened {
        /// The boot of the host, as in [`HostTime::boot`].
        boot: u64,
    },
    /// The write's client gets a receipt.
    Acknowledged,
}
