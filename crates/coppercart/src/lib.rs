//! coppercart: the decision logic of a client-side load balancer. Each client runs its own
//! instance.
//!
//! The logic is a sans-I/O state machine, [`decide::Balancer`]: it takes events and returns
//! actions. It does not depend on a runtime, a clock or a socket.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod average;
mod capacity;
pub mod decide;
mod lateness;
pub mod settings;
mod weighted;
pub mod wire;
