//! A known server: its entry, its source, its age, and whether it may be used.

use crate::UnixMs;
use crate::list::Host;

/// Where the entry of a server came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// Discovery.
    Discovery,
    /// Control nodes, which got it from discovery.
    Distribution,
    /// The server list in the platform's configuration.
    PlatformConfig,
    /// The snapshot on disk.
    Snapshot,
    /// The list in the product's configuration file.
    Static,
    /// The application's own code.
    Code,
}

impl Source {
    /// Whether lists of this source are current and supersede a snapshot.
    pub(super) fn is_live(self) -> bool {
        matches!(self, Source::Discovery | Source::Distribution | Source::Static | Source::Code)
    }
}

/// Whether a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trust {
    /// A live source lists the server, or the server has answered a trial. It gets requests.
    Live,
    /// The server was confirmed recently enough, given the rate at which this fleet changes. It gets requests.
    Remembered,
    /// The server may be gone, and another program may use its address. It gets trials and no requests.
    Doubtful,
}

/// A server and how it is known.
#[derive(Clone, Debug)]
pub struct KnownServer {
    /// The entry of the server.
    pub host: Host,
    /// Where the entry came from.
    pub source: Source,
    /// When the server was last confirmed.
    pub confirmed_ms: UnixMs,
    /// Whether the server may be used.
    pub trust: Trust,
    pub(super) trials: u32,
    pub(super) next_trial_ms: UnixMs,
    pub(super) on_trial: bool,
}

impl KnownServer {
    pub(super) fn new(host: Host, source: Source, now: UnixMs) -> KnownServer {
        KnownServer {
            host,
            source,
            confirmed_ms: now,
            trust: Trust::Live,
            trials: 0,
            next_trial_ms: now,
            on_trial: false,
        }
    }

    pub(super) fn awaits_trial(&self) -> bool {
        self.trust == Trust::Doubtful && !self.on_trial
    }
}
