//! What the state machines between sidecars have in common.
//!
//! A machine has neither clock nor socket: contents of datagrams and the time are handed in, messages and events come
//! out, and the same calls give the same results. [`codec`] reads and writes messages, [`outbox`] gathers them by
//! receiver, [`mutants!`] takes single rules out in tests, and `sim` (feature `sim`) plays many machines on one
//! virtual clock.
#![forbid(unsafe_code)]

pub mod codec;
pub mod hash;
pub mod mutants;
pub mod outbox;
#[cfg(feature = "sim")]
pub mod sim;

pub use outbox::Outbox;

/// Microseconds.
pub type Micros = u64;

/// The longest content of a record in a datagram of 256 bytes (see `millethook-frames`).
pub const LONGEST: usize = 241;

/// What must never be, found by a machine's own `check()`: the rule's name, and the values that break it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// The values.
    pub found: String,
}

impl Violation {
    /// Err, unless `holds`.
    ///
    /// # Errors
    /// The rule is broken.
    pub fn unless(
        holds: bool,
        rule: &'static str,
        found: &dyn Fn() -> String,
    ) -> Result<(), Violation> {
        if holds { Ok(()) } else { Err(Violation { rule, found: found() }) }
    }
}

impl std::fmt::Display for Violation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.rule, self.found)
    }
}

impl std::error::Error for Violation {}
