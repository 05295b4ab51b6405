//! Membership of a fleet of sidecars, maintained by the sidecars themselves: which of them are alive.
//!
//! Failure detection and dissemination follow SWIM (Das, Gupta and Motivala, DSN 2002), with the local health and the
//! suspicion timeouts of Lifeguard (Dadgar, Phillips and Currey, DSN 2018). The differences are explained in
//! `docs/design/view.md`: processes have epochs, dead members are probed indefinitely, views that differ are detected
//! by a hash and repaired by ranges, and no answer is longer than the message that it answers.
//!
//! [`View`] performs no I/O and reads no clock. The caller passes in datagram contents and the time in microseconds,
//! and polls messages, events and the time of the next call. The same calls give the same results.
#![forbid(unsafe_code)]

mod fact;
mod message;
mod mutant;
mod probe;
mod table;
mod updates;
mod view;

pub use fact::{Epoch, Fact, Status};
pub use message::LONGEST;
pub use millethook_machine::codec::Malformed;
#[cfg(feature = "mutants")]
pub use mutant::{Mutant, become_mutant};
pub use table::{Counts, Member};
pub use view::{Event, Figures, View, ViewConfig};

/// A time or duration in microseconds.
pub type Micros = u64;
