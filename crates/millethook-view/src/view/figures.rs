//! Counts for monitoring.

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Probes without any answer, direct or indirect.
    pub probes_failed: u64,
    /// Reports that this process is suspect, dead or has left, which it has refuted.
    pub refuted: u64,
    /// How often another process with the own number was detected.
    pub superseded: u64,
    /// Contents that were not a message, and facts about members that do not exist.
    pub malformed: u64,
    /// How often this process was found not to have run for long.
    pub stalls: u64,
}
