//! Leases: at most one owner at a time for each job of a fleet.
//!
//! A member owns a job once a majority of the job's acceptors has granted it a lease. Acceptors (the setting `seats`
//! tells how many) are chosen among the *configured* members, never among the members that are believed alive, so the
//! two sides of a network partition cannot both have a majority. Clocks are never compared: each process measures
//! durations, and the greatest difference in speed between clocks is part of the configuration (leases: Gray and
//! Cheriton, SOSP 1989; by a majority and without disks: PaxosLease, Trencseni, Gazso and Reinhardt, 2012). Each lease
//! has a [`Token`] that is greater than all earlier tokens of the job. Each resource that a job changes rejects lower
//! tokens with a [`Fence`] (a fencing token). The design is explained in `docs/design/lease.md`.
//!
//! [`Lease`] performs no I/O and reads no clock. The caller passes in datagram contents and the time in microseconds,
//! and polls messages and events. The same calls give the same results. The time has to come from a clock that keeps
//! running while the process is suspended.
#![forbid(unsafe_code)]

mod acceptor;
mod lease;
mod membership;
mod message;
pub mod mutant;
mod owner;
mod token;

pub use acceptor::MAX_JOBS;
pub use lease::{Config, Event, Figures, Lease, MAX_WANTED_JOBS};
pub use membership::{Member, Members};
pub use millethook_machine::{MAX_MESSAGE_BYTES, Micros, Violation};
pub use owner::LeaseStatus;
pub use token::{Fence, StaleToken, Token};

/// Identifies a job: a hash of its name, the same at all sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);
