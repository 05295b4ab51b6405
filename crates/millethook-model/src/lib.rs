//! Simulates a whole fleet on a virtual clock: clients, network, servers, discovery, and sidecars that each run the
//! production decision module ([`coppercart::decide::Balancer`]).
//!
//! A [`plan::Plan`] defines a run: sizes, load, network, faults. [`fleet::play`] executes it; [`judge`] keeps its own
//! records and reports each violated rule. [`generate`] draws plans from a seed, [`search`] runs many of them on
//! several threads, and [`shrink`] reduces a plan that violates a rule. [`injected_fault`] corrupts the interface
//! between the fleet and the decisions on purpose, to show that the judge detects it. The same plan always produces the
//! same output, byte for byte.
#![forbid(unsafe_code)]

pub mod erlang;
pub mod fleet;
pub mod generate;
pub mod injected_fault;
pub mod judge;
pub mod plan;
pub mod queue;
pub mod random;
pub mod report;
pub mod search;
pub mod shrink;

/// Microseconds of virtual time.
pub type Micros = u64;
