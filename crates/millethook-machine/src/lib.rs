//! What the state machines between sidecars share.
//!
//! A state machine has neither a clock nor a socket: contents of datagrams and the time are handed in, messages and
//! events come out, and the same calls give the same results. [`codec`] reads and writes messages, [`send_queue`]
//! gathers them by receiver, [`mutants!`] declares rules that tests can remove, `sim` (feature `sim`) runs many machines
//! on one virtual clock, and `search` (feature `search`) plays random scripts.
#![forbid(unsafe_code)]

pub mod codec;
pub mod hash;
pub mod mutants;
#[cfg(feature = "search")]
pub mod search;
pub mod send_queue;
#[cfg(feature = "sim")]
pub mod sim;

pub use send_queue::SendQueue;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// Bytes of the longest content of a record, so that a datagram with it has at most 256 (see `millethook-frames`).
pub const MAX_MESSAGE_BYTES: usize = 241;

/// An invariant that does not hold, as found by a machine's own `check()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub rule: &'static str,
    /// The values that break it.
    pub found: String,
}

impl Violation {
    /// Checks an invariant; `found` is called only if it does not hold.
    ///
    /// # Errors
    /// The invariant does not hold.
    pub fn unless(
        holds: bool,
        rule: &'static str,
        found: &dyn Fn() -> String,
    ) -> Result<(), Violation> {
        if holds { Ok(()) } else { Err(Violation { rule, found: found() }) }
    }

    /// Checks that a number is `most` at the most.
    ///
    /// # Errors
    /// It is greater.
    pub fn unless_within(count: usize, most: usize, rule: &'static str) -> Result<(), Violation> {
        Violation::unless(count <= most, rule, &|| count.to_string())
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.rule, self.found)
    }
}

impl std::error::Error for Violation {}
