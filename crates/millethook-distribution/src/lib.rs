//! Distributes documents (configuration, lists of servers) to all sidecars of a fleet, so that not every sidecar has to
//! query the source.
//!
//! A few members are **control nodes**. One of them at a time is the **writer**, by a lease whose [`Token`] the host
//! passes in. A document is committed when a majority of the control nodes has accepted it under that token; each
//! control node then pushes it to the sidecars that have chosen it. A sidecar ([`Subscriber`]) chooses two control
//! nodes. It offers each complete document to its host, and nothing is in force before the host has accepted it.
//! Sidecars report what is in force and what was refused and why; the writer adds up these reports.
//! `docs/design/distribution.md` gives the reasons for this design.
//!
//! [`Subscriber`] and [`ControlNode`] use no socket and no clock: the host passes in the contents of datagrams and the
//! time in microseconds, and fetches messages and events. The same calls give the same results. The time has to advance
//! while the process is suspended.
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
pub use document::{ContentHash, Document, MAX_CONTENT_BYTES};
pub use millethook_lease::Token;
pub use millethook_machine::{MAX_MESSAGE_BYTES, Micros, Violation};
pub use report::{DocumentId, MAX_NAMED_MEMBERS, MAX_REASON_BYTES, Refusal, Rollout};
pub use scope::{DocumentKey, DocumentKind, Identity, Scope};
pub use sidecar::{NotOffered, Subscriber, SubscriberEvent, SubscriberFigures};
pub use snapshot::Snapshot;
pub use version::{InvalidVersion, Version};
