//! Writes that are kept while no server can be reached, and their replay.
//!
//! A write is acknowledged once it is on disk ([`log`] is the form). It is replayed after those that it depends on:
//! the writes of its member before it, and those that its context names, at whatever edge they lie (causal+ order with
//! nearest dependencies: COPS, Lloyd et al., SOSP 2011). Before a write goes out that is marked on disk; a marked one
//! without an answer may have run, and is repeated only where that does no harm. Why it is so is in
//! `docs/design/edge.md`.
//!
//! Nothing here has a file, a socket or a clock: bytes, the time and outcomes are handed in; what is to be written and
//! sent comes out.
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
