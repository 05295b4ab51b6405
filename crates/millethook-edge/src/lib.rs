//! Stores client writes while no server can be reached, and replays them.
//!
//! A write is acknowledged once it is on disk ([`log`] is the file format). It is replayed after the writes that it
//! depends on: earlier writes of its member, and those that its context names, in any store (causal+ consistency with
//! nearest dependencies: COPS, Lloyd et al., SOSP 2011). Each attempt is marked on disk before it is sent. A marked
//! write without an answer may have been executed and is repeated only where that is harmless. `docs/design/edge.md`
//! gives the reasons.
//!
//! This crate has no files, sockets or clock: the caller passes in bytes, times and outcomes, and gets back what to
//! write and what to send.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod book;
mod check;
mod context;
mod entry;
mod id;
pub mod log;
pub mod mutant;
mod rate;
pub mod record;
mod replay;
mod watermark;

pub use book::{Book, Counts};
pub use context::{Context, MAX_CONTEXT_BYTES, MAX_CONTEXT_IDS, Malformed};
pub use entry::{Entry, State};
pub use id::{EdgeId, InvalidId, WriteId};
pub use millethook_lease::Token;
pub use millethook_machine::{Micros, Violation};
pub use rate::ReplayRate;
pub use replay::{Config, Outcome, Replay, Step};
pub use watermark::{MAX_FAILED, Progress, Watermark};
