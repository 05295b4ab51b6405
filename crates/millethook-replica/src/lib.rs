//! A replicated store of evidence about servers. Each sidecar of a fleet holds a copy, and copies that differ are
//! merged deterministically.
//!
//! New entries are disseminated as deltas from member to member (rumor mongering: Demers et al., PODC 1987). Remaining
//! differences are found by comparing hashes of key ranges with a random peer (anti-entropy, the same paper). Entries
//! are joined as in state-based replicated data types (Shapiro et al., INRIA 7506, 2011). The design is explained in
//! `docs/design/replica.md`.
//!
//! [`Replica`] performs no I/O and reads no clock. The caller passes in datagram contents and the time in microseconds,
//! and polls messages and events. The same calls give the same results.
#![forbid(unsafe_code)]

mod attempt_monitor;
mod entry;
mod message;
mod mutant;
mod replica;
mod store;

pub use attempt_monitor::{AttemptMonitor, EndedAttempt, ObservedOutcome};
pub use entry::{Departure, Entry, EntryValue, Key, Verdict};
pub use message::LONGEST;
pub use millethook_machine::codec::Malformed;
#[cfg(feature = "mutants")]
pub use mutant::{Mutant, become_mutant};
pub use replica::{Destination, Event, Figures, Replica, ReplicaConfig, ServerStatus};
pub use store::{MAX_DEPARTURES, MAX_EDGES, MAX_EVIDENCE, MAX_JOBS};

/// A time or duration in microseconds.
pub type Micros = u64;
/// The epoch of a process: Unix time at its start in milliseconds, 48 bits. 0: not known.
pub type Epoch = u64;
