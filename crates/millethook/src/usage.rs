//! What a fleet tells of itself: what is under way, what a drain came to, and its view of other instances.

use millethook_connect::pool::Ended as ConnectionsEnded;

/// What an instance believes of the others: how many are what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Never heard of.
    pub unknown: usize,
    /// Alive, this one among them.
    pub alive: usize,
    /// Without an answer lately.
    pub suspect: usize,
    /// Without an answer for so long that they are thought dead.
    pub dead: usize,
    /// Said that they end.
    pub left: usize,
    /// The same at all instances that believe the same.
    pub hash: u32,
}

/// What a fleet has under way and holds, over all its handles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Usage {
    /// Requests that callers wait for.
    pub open: usize,
    /// Requests whose books are open in the engine: unanswered, or with attempts still out.
    pub requests: usize,
    /// Attempts that are out.
    pub attempts: usize,
    /// Requests that the decisions still know.
    pub undecided: usize,
    /// Connections to servers, at rest or not (those of all fleets, where they share a budget).
    pub sockets: usize,
    /// Connections to servers that are coming up.
    pub opening: usize,
    /// Connections to servers at rest.
    pub idle: usize,
    /// Why connections to servers ended, in numbers so far.
    pub ended: ConnectionsEnded,
    /// Bytes of bodies of requests (those of all fleets, where they share a budget).
    pub body_bytes: usize,
}

impl Usage {
    /// Whether nothing is under way, and nothing held but connections at rest.
    pub fn is_idle(&self) -> bool {
        let Usage { open, requests, attempts, undecided, sockets, idle, body_bytes, .. } = *self;
        [open, requests, attempts, undecided, body_bytes] == [0; 5] && sockets == idle
    }
}

/// What a drain has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Requests of this opening that had no end by then. They have failed.
    pub unanswered: usize,
}
