//! Bounded exhaustive exploration of the decisions ([`coppercart::decide::Balancer`]).
//!
//! A [`world::World`] is one balancer and its environment: a virtual clock, clients, servers, discovery, timers. In
//! each state the world lists every [`step::Step`] that could come next; [`search`] takes all of them, in all orders,
//! within [`scenario::Bounds`]. The balancer's actions are checked ([`judge`]) against the world's own records
//! ([`records`]) of which attempts may have been executed, never against the balancer's state. A finding is shortened
//! ([`shrink`]) to the steps that are needed to reproduce it.
//!
//! [`mutant`] corrupts the interface between world and balancer on purpose, to show that the exploration detects it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod judge;
pub mod mutant;
pub mod records;
pub mod scenario;
pub mod search;
pub mod shrink;
pub mod step;
pub mod world;
