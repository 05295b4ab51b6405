//! What the sidecars of a fleet know together about servers. Each holds a copy, and copies that differ are merged by
//! rule.
//!
//! New entries travel as deltas from member to member (rumor mongering: Demers et al., PODC 1987). Differences that
//! are left are found by comparing hashes of ranges of keys with a random peer (anti-entropy, the same paper). Entries
//! are joined as in state-based replicated data types (Shapiro et al., INRIA 7506, 2011). The design is explained in
//! `docs/design/replica.md`.
//!
//! [`Replica`] has no socket and no clock. Contents of datagrams and the time, in microseconds, are handed in;
//! messages and events come out. The same calls give the same results.
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
pub use replica::{Event, Figures, Replica, ReplicaConfig, ServerStatus, To};
pub use store::{MAX_DEPARTURES, MAX_EDGES, MAX_EVIDENCE, MAX_JOBS};

/// Microseconds.
pub type Micros = u64;
/// The epoch of a process: milliseconds of Unix time at its start, 48 bits. 0: not known.
pub type Epoch = u64;
