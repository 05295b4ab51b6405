//! coppercart: a client-side load balancer that every client process runs as its own sidecar.
//!
//! The decisions are a sans-I/O state machine, [`decide::Balancer`]: events in, actions out.
#![forbid(unsafe_code)]

pub mod api;
pub mod decide;
pub mod settings;
pub mod sidecar;
pub mod wire;
