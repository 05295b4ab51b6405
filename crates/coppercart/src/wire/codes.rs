//! Sizes and codes of the wire format.

/// Bytes before the records of a batch: its length, its time in microseconds, and the number of its
/// records.
pub(super) const HEADER: usize = 16;
/// Bytes before the records of a reply: its length and the number of its records.
pub(super) const REPLY_HEADER: usize = 8;
/// Bytes per record of a batch.
pub(super) const EVENT: usize = 40;
/// Bytes per record of a reply.
pub(super) const ACTION: usize = 24;
/// Bytes per row of a server list.
pub(super) const ENTRY: usize = 24;
/// The maximum number of values in a load report.
pub(super) const REPORT_VALUES: usize = 4;
/// The peer number that addresses all peers.
pub(super) const EVERYONE: u32 = u32::MAX;

/// Codes of the records of a batch.
pub(super) mod event {
    /// An instance starts.
    pub const UP: u8 = 0;
    /// A server list takes effect.
    pub const DIRECTORY_UPDATE: u8 = 1;
    /// A client sent a request.
    pub const INGRESS: u8 = 2;
    /// A streaming answer has begun.
    pub const FIRST_BYTE: u8 = 3;
    /// An attempt has ended.
    pub const OUTCOME: u8 = 4;
    /// A client disconnected.
    pub const VANISHED: u8 = 5;
    /// A timer expired.
    pub const RING: u8 = 6;
    /// A probe has ended.
    pub const PROBE_DONE: u8 = 7;
    /// Another sidecar sent a message.
    pub const NOTE_FROM: u8 = 8;
    /// An instance stops.
    pub const EXIT: u8 = 9;
    /// The entries of a server list.
    pub const SNAPSHOT_ROWS: u8 = 10;
    /// Selects the instance of the following records.
    pub const ON: u8 = 11;
}

/// Codes of the records of a reply.
pub(super) mod action {
    /// Write a line to the log.
    pub const EMIT: u8 = 0;
    /// Selects the instance of the following actions.
    pub const AT: u8 = 1;
    /// Probe a server.
    pub const CHECK: u8 = 2;
    /// The decision code failed.
    pub const FAULT: u8 = 3;
    /// Close the idle connections to a server.
    pub const DISCONNECT: u8 = 4;
    /// Cancel an attempt.
    pub const CANCEL: u8 = 5;
    /// Set a timer.
    pub const SCHEDULE: u8 = 6;
    /// Subscribe to list changes.
    pub const SUBSCRIBE: u8 = 7;
    /// Refuse a request.
    pub const DENY: u8 = 8;
    /// Fail a request.
    pub const SURRENDER: u8 = 9;
    /// Send a message to other sidecars.
    pub const TELL: u8 = 10;
    /// Fetch the complete server list.
    pub const RESOLVE: u8 = 11;
    /// Send an attempt.
    pub const CALL_OUT: u8 = 12;
}
/// Request flag: the request has a work hint.
pub(super) const COST_HINT: u16 = 1;
/// Request flag: the client marked the request as a retry.
pub(super) const CLIENT_REPEAT: u16 = 2;
