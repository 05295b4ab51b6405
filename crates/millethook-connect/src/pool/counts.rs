//! Counts of connections, for operators.

/// How many connections are in which state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Their handshake is under way.
    pub opening: usize,
    /// With a request, or with an answer that is being discarded.
    pub in_use: usize,
    /// Idle, those in quarantine among them.
    pub idle: usize,
}

/// Why connections ended, in numbers since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ended {
    /// The server closed them at rest.
    pub closed: u64,
    /// Bytes came that belong to no answer.
    pub stray: u64,
    /// They had rested for as long as is safe.
    pub retired: u64,
    /// They made room for another request, or their server has gone.
    pub given_up: u64,
}
