//! The running fleet: processes, stand-ins, and the conductor that plays the plan.

pub mod addresses;
pub mod agent;
pub mod client;
mod conditions;
mod conductor;
mod crowd;
pub mod daemon;
pub mod directory;
pub mod documents;
pub mod http;
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

/// How a run is made.
#[derive(Clone, Debug)]
pub struct Options {
    /// The daemon's program.
    pub program: PathBuf,
    /// What it is given.
    pub args: Vec<String>,
    /// Where configurations and logs go.
    pub folder: PathBuf,
}

/// Why a run did not come to its end.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The machine did not give what the lab needs.
    #[error("{what}: {cause}")]
    Machine {
        /// What was to be done.
        what: String,
        /// What the system said.
        cause: io::Error,
    },
}

/// Names what the machine did not give.
pub(crate) fn machine_error(what: impl Into<String>) -> impl FnOnce(io::Error) -> RunError {
    let what = what.into();
    move |cause| RunError::Machine { what, cause }
}

/// What a process used at a time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessSample {
    /// When.
    pub at: Micros,
    /// The sidecar's number; None: the lab itself.
    pub sidecar: Option<usize>,
    /// What.
    pub usage: Usage,
}

/// What one sidecar's view of the fleet was at a time.
#[derive(Clone, Debug)]
pub struct ViewSample {
    /// When it was asked for.
    pub asked: Micros,
    /// Jobs that the sidecar owned, with their tokens.
    pub owned: Vec<(u64, String)>,
    /// When.
    pub at: Micros,
    /// Whose.
    pub sidecar: usize,
    /// Members that take part.
    pub present: usize,
    /// Members that are thought dead.
    pub dead: usize,
    /// The same for all that believe the same.
    pub hash: u64,
    /// What is held of evidence on servers: its hash, and how many servers are doubted by it. None: none is shared.
    pub evidence: Option<(u64, usize)>,
}

/// What servers held at a time: by place in the fleet, requests taken and those of them that wait.
#[derive(Clone, Debug)]
pub struct ServerSample {
    /// When.
    pub at: Micros,
    /// By place; None: no server there.
    pub load: Vec<Option<(usize, usize)>>,
}

/// What one sidecar sent and got through the relay: datagrams sent, bytes, datagrams got.
pub type TrafficRow = (u64, u64, u64);

/// What a run leaves.
#[derive(Default)]
pub struct Outcome {
    /// All that was written down.
    pub records: RunRecords,
    /// Begins and ends of events: time, place in the timeline, whether it begins.
    pub marks: Vec<(Micros, usize, bool)>,
    /// What processes used.
    pub processes: Vec<ProcessSample>,
    /// What servers held.
    pub servers: Vec<ServerSample>,
    /// Views of the fleet, as sidecars told them.
    pub views: Vec<ViewSample>,
    /// Requests to publish that were left with a writer.
    pub publications: Vec<publisher::Publication>,
    /// What became of documents, as daemons wrote it down.
    pub documents: Vec<documents::DocumentEvent>,
    /// How many sidecars ran from a time on.
    pub running: Vec<(Micros, usize)>,
    /// Datagrams, by sidecar.
    pub traffic: Vec<TrafficRow>,
    /// Datagrams lost by chance, lost to cuts, of strangers, and too many.
    pub relay: [u64; 4],
    /// The lateness that 99 of 100 arrivals stayed under.
    pub late_p99: Duration,
}
