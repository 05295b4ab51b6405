//! The running fleet: daemon processes, stand-in servers and services, and the conductor that executes the plan.

pub mod addresses;
pub mod agent;
pub mod client;
mod conditions;
mod conductor;
pub mod daemon;
pub mod directory;
pub mod documents;
pub mod http;
mod idle_connections;
pub mod links;
mod members;
pub mod network;
pub mod processes;
pub mod publisher;
pub mod readiness;
pub mod registry;
pub mod relay;
pub mod server;
pub mod views;

use std::io;
use std::path::PathBuf;
use std::time::Duration;

pub use conductor::play;

use crate::ledger::{Micros, RunRecords};
use daemon::Usage;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the daemon's executable.
    pub program: PathBuf,
    /// Arguments of the daemon.
    pub args: Vec<String>,
    /// Directory for configurations and logs.
    pub folder: PathBuf,
}

/// The error that aborted a run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// An operating system call that the lab depends on failed.
    #[error("{what}: {cause}")]
    Machine {
        /// The operation that failed.
        what: String,
        /// The operating system's error.
        cause: io::Error,
    },
}

/// Converts an I/O error into a [`RunError::Machine`] that names the failed operation.
pub(crate) fn machine_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
    let what = what.into();
    move |cause| RunError::Machine { what, cause }
}

/// Resource usage of a process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSample {
    /// Time of the sample.
    pub at: Micros,
    /// The sidecar's number, or `None` for the lab itself.
    pub sidecar: Option<usize>,
    /// The resource usage.
    pub usage: Usage,
}

/// One sidecar's view of the fleet at one time.
#[derive(Clone, Debug)]
pub struct ViewSample {
    /// When the request for it was sent.
    pub requested_at: Micros,
    /// Jobs that the sidecar owned, with their lease tokens.
    pub owned: Vec<(u64, String)>,
    /// When the response arrived.
    pub at: Micros,
    /// The sidecar's number.
    pub sidecar: usize,
    /// Number of members alive or suspected.
    pub present: usize,
    /// Number of members considered dead.
    pub dead: usize,
    /// Hash of the view; equal views have equal hashes.
    pub hash: u64,
    /// Shared evidence on servers: its hash and the number of servers it marks as suspect. `None` if sharing is off.
    pub evidence: Option<(u64, usize)>,
}

/// Load of all servers at one time: for each position in the fleet, requests accepted and how many of them are
/// queued.
#[derive(Clone, Debug)]
pub struct ServerSample {
    /// Time of the sample.
    pub at: Micros,
    /// Load by position; `None` if there is no server.
    pub load: Vec<Option<(usize, usize)>>,
}

/// Traffic of one sidecar through the relay: datagrams sent, bytes sent, datagrams received.
pub type TrafficRow = (u64, u64, u64);

/// Everything that a run recorded.
#[derive(Default)]
pub struct Outcome {
    /// Records of requests, attempts, servers and faults.
    pub records: RunRecords,
    /// Start and end of events: time, index in the timeline, whether it is the start.
    pub marks: Vec<(Micros, usize, bool)>,
    /// Resource usage of processes.
    pub processes: Vec<ProcessSample>,
    /// Load of the servers.
    pub servers: Vec<ServerSample>,
    /// Views of the fleet, as the sidecars reported them.
    pub views: Vec<ViewSample>,
    /// Publish requests that were handed to a writer.
    pub publications: Vec<publisher::Publication>,
    /// Document events from the daemons' logs.
    pub documents: Vec<documents::DocumentEvent>,
    /// Number of running sidecars from each time on.
    pub running: Vec<(Micros, usize)>,
    /// Datagram traffic by sidecar.
    pub traffic: Vec<TrafficRow>,
    /// Datagrams lost at random, lost to cuts, from unknown senders, and dropped by the limit on datagrams in flight.
    pub relay: [u64; 4],
    /// 99th percentile of the delay between an arrival's planned time and its start.
    pub late_p99: Duration,
}
