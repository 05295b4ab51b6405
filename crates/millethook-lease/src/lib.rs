//! Leases: at most one owner at a time for each job of a fleet.
//!
//! A member owns a job after a majority of the job's seats has granted it a lease. Seats are drawn from the
//! *configured* members, never from the members that are thought to be alive, so the two sides of a network partition
//! cannot both have a majority. No clock is compared with another: each process measures lengths of time, and the
//! greatest difference in speed between clocks is part of the configuration (leases: Gray and Cheriton, SOSP 1989; by
//! a majority and without disks: PaxosLease, Trencseni, Gazso and Reinhardt, 2012). Each lease has a [`Token`] that is
//! greater than all tokens of the job before it, and whatever the job changes refuses lower tokens with a [`Fence`] (a
//! fencing token). The design is explained in `docs/design/lease.md`.
//!
//! [`Lease`] has no socket and no clock. Contents of datagrams and the time, in microseconds, are handed in; messages
//! and events come out. The same calls give the same results. The time has to be that of a clock which runs on while
//! the process is suspended.
#![forbid(unsafe_code)]

mod lease;
mod message;
pub mod mutant;
mod owner;
mod seat;
mod seats;
mod token;

pub use lease::{Config, Event, Figures, Lease, MAX_WANTED};
pub use millethook_machine::{MAX_MESSAGE_BYTES, Micros, Violation};
pub use owner::Standing;
pub use seat::MAX_JOBS;
pub use seats::{Member, Members};
pub use token::{Fence, StaleToken, Token};

/// The name of a job as a number: a hash that is the same at all sidecars.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);
