//! Counts the attempts that one call at the root of a chain of services causes.
//!
//! In a [`chain::Chain`], each server of a service processes a request and then calls the next service through its
//! own sidecar. [`model`] simulates the chain on a virtual clock with the balancer's decision module (`coppercart`),
//! at any depth. [`processes`] runs the same chain with real daemons on loopback, to validate the model. Both return
//! a [`tally::Tally`], which [`rows`] formats as CSV.
#![forbid(unsafe_code)]

pub mod chain;
pub mod model;
pub mod processes;
pub mod rows;
pub mod tally;
