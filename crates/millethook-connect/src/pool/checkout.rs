//! How connections at rest look, and what a request gets.

use std::time::{Duration, Instant};

/// How a connection at rest looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// Open and silent.
    Quiet,
    /// The server has closed or reset it.
    Closed,
    /// Bytes have come that nobody asked for.
    StrayBytes,
    /// It leads to where its server no longer is.
    AddressChanged,
}

/// What is to be had for a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<C> {
    /// A connection that has rested for so long.
    Reuse(C, Duration),
    /// None that may be used; one may be opened. It counts as opening from now on.
    Open,
    /// None, and no more may be opened now; one will be out of quarantine by then, if it is known.
    Wait(Option<Instant>),
}
