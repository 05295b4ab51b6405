//! Decides which servers of a fleet may be used, from lists of several sources and ages.
//!
//! Lists come from discovery, from the platform's configuration, from a snapshot on disk, from a static list in the
//! product's file, and from the application's own code. [`Membership`] keeps for each server its source and the time
//! at which it was last confirmed, estimates from that whether it still exists ([`History`]), and returns the servers
//! that the balancer may use. It does no I/O and reads no clock: the caller passes in the time and sends the requests
//! that test a server ([`Trial`]). [`store`] and [`atomic_file`] are the only modules with I/O.
#![forbid(unsafe_code)]

pub mod atomic_file;
mod history;
pub mod list;
mod membership;
pub mod mutant;
pub mod snapshot;
pub mod store;

pub use history::History;
pub use membership::{
    Config, Counts, KnownServer, Membership, Source, Trial, TrialOutcome, Trust, Update,
};

/// Unix time in milliseconds. Lists outlive processes, so their times come from the wall clock.
pub type UnixMs = u64;
