//! Hollow sidecars: runs the control state machines of many sidecars in one process, on real clocks and real UDP
//! sockets.
//!
//! A hollow sidecar contains the control components of a daemon (channel, view, replica, lease) without clients,
//! servers or discovery. Each one has a UDP socket on its own loopback address. A [`conductor`] starts several
//! [`host`] processes, sends them the steps of a [`plan`], and computes figures from their reports. Every wait is
//! bounded, and hosts exit when their conductor does.
#![forbid(unsafe_code)]

pub mod address;
pub mod conductor;
pub mod distribution;
pub mod error;
pub mod figures;
pub mod host;
pub mod link;
pub mod node;
pub mod plan;
pub mod protocol;
pub mod sidecar;
pub mod topology;
pub mod usage;

pub use error::HollowError;

/// Microseconds.
pub type Micros = u64;
