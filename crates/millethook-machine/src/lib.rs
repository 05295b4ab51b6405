//! Shared parts of the state machines that run between sidecars.
//!
//! A state machine does no I/O and reads no clock. The caller passes in received messages and the time, and takes out
//! messages and events. The same calls give the same results. [`codec`] reads and writes messages, [`send_queue`]
//! batches them by receiver, [`mutants!`] declares rules that tests can disable, `sim` (feature `sim`) runs many machines
//! on one virtual clock, and `search` (feature `search`) runs random scripts.
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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The longest message in bytes. With its headers, a datagram then has at most 256 bytes (see `millethook-frames`).
pub const MAX_MESSAGE_BYTES: usize = 241;

/// A violated invariant, as found by a machine's own `check()`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub rule: &'static str,
    /// The values that violate it.
    pub found: String,
}

impl Violation {
    /// Checks an invariant. `found` is called only if it does not hold.
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

    /// Checks that `count` is at most `most`.
    ///
    /// # Errors
    /// `count` is greater.
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
