//! Documents (configuration, lists of servers) that reach every sidecar of a fleet, without each one asking the source.
//!
//! A few members are **control nodes**. One of them at a time is the **writer**, by a lease whose [`Token`] is handed in.
//! A document is committed when a majority of the control nodes has accepted it under that token; then each control
//! node pushes it to the sidecars that have chosen it. A sidecar ([`Subscriber`]) chooses two. It offers a document that
//! is whole to its host, and nothing is in force before the host has taken it; what is in force, and what was refused
//! and why, comes back and is summed at the writer. Why it is so is in `docs/design/distribution.md`.
//!
//! [`Subscriber`] and [`ControlNode`] have no socket and no clock: contents of datagrams and the time, in microseconds,
//! are handed in; messages and events come out. The same calls give the same results. The time has to run on while the
//! process stands still.
#![forbid(unsafe_code)]

mod chunks;
mod config;
mod control;
mod delta;
mod document;
mod lists;
mod message;
pub mod mutant;
mod outgoing;
mod rendezvous;
mod report;
mod scope;
mod sidecar;
mod snapshot;
mod status;
mod transfer;
mod version;
mod writer;

pub use config::{ConfigError, ControlMember, DistributionConfig, Limits, MAX_LISTS};
pub use control::{ControlEvent, ControlFigures, ControlNode, PublishError};
pub use document::{ContentHash, Document, MOST_CONTENT};
pub use millethook_lease::Token;
pub use millethook_machine::{MAX_MESSAGE_BYTES, Micros, Violation};
pub use report::{DocumentId, MOST_NAMED, MOST_REASON, Refusal, Rollout};
pub use scope::{DocumentKey, DocumentKind, Identity, Scope};
pub use sidecar::{NotOffered, Subscriber, SubscriberEvent, SubscriberFigures};
pub use snapshot::Snapshot;
pub use version::{NotAVersion, Version};
