//! A sidecar: the production decisions, its clients and its random streams.

use coppercart::decide::Balancer;

use super::event::SidecarLife;
use crate::Micros;
use crate::random::{Stream, StreamKind};

/// The state of a sidecar.
#[derive(Debug)]
pub struct Sidecar {
    /// The decisions; `None` while the process is down.
    pub balancer: Option<Balancer>,
    /// The current start of its process.
    pub instance: SidecarLife,
    /// The version of the server list that it has received.
    pub version: usize,
    /// Whether it receives changes of the list.
    pub watches: bool,
    /// When its pause ends.
    pub paused_until: Micros,
    /// Its total pause time.
    pub paused: Micros,
    /// Events since the last run of the decisions' own invariant check.
    pub unchecked: u64,
    /// Random numbers for its clients.
    pub clients: Stream,
    /// Random numbers for its attempts in the network.
    pub network: Stream,
    /// Random numbers for the delay of lists.
    pub discovery: Stream,
    /// Random numbers for the seeds of its decisions.
    pub decisions: Stream,
}

impl Sidecar {
    /// Creates a sidecar whose process is down.
    pub fn new(seed: u64, number: usize) -> Sidecar {
        let stream = |kind| Stream::new(seed, kind, number);
        Sidecar {
            balancer: None,
            instance: SidecarLife { sidecar: number, life: 0 },
            version: 0,
            watches: false,
            paused_until: 0,
            paused: 0,
            unchecked: 0,
            clients: stream(StreamKind::Clients),
            network: stream(StreamKind::Network),
            discovery: stream(StreamKind::Discovery),
            decisions: stream(StreamKind::Decisions),
        }
    }
}
