//! The state of an idle connection, and the result of a checkout.

use std::time::{Duration, Instant};

/// What a check of an idle connection found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// It is open, and no bytes have come.
    Quiet,
    /// The server has closed or reset it.
    Closed,
    /// Bytes have come that belong to no request.
    StrayBytes,
    /// Its server now has another address, or is another process.
    EndpointChanged,
}

/// The result of asking the pool for a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<C> {
    /// A pooled connection, and how long it was idle.
    Reuse(C, Duration),
    /// No pooled connection is usable, and a new one may be opened. It is counted as opening.
    Open,
    /// No pooled connection is usable, and no more may be opened now. The next quarantine ends at this time, if there
    /// is a connection in quarantine.
    Wait(Option<Instant>),
}
