//! Counts of connections for operators.

/// The number of connections in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections whose handshake is in progress.
    pub opening: usize,
    /// Connections with a request, or with an answer that is being discarded.
    pub in_use: usize,
    /// Idle connections, including those in quarantine.
    pub idle: usize,
}

/// The number of connections that ended since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// The server closed them while they were idle.
    pub closed: u64,
    /// Bytes came that belong to no answer.
    pub stray: u64,
    /// They reached their maximum idle time.
    pub retired: u64,
    /// They were closed for another request, or because their server was removed, moved to another address, or may no
    /// longer have its connections reused.
    pub given_up: u64,
}
