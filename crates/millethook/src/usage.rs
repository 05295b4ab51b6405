//! Reports of a fleet: its usage, the result of a drain, and its view of the other instances.

use millethook_connect::pool::Ended as ConnectionsEnded;

/// An instance's view of all instances: the number of instances in each state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Instances that have never been seen.
    pub unknown: usize,
    /// Live instances, including this one.
    pub alive: usize,
    /// Instances that have not answered recently.
    pub suspect: usize,
    /// Instances that have not answered for so long that they are considered dead.
    pub dead: usize,
    /// Instances that have announced their end.
    pub left: usize,
    /// Hash of the view: equal at instances with equal views.
    pub hash: u32,
}

/// A fleet's open requests and held resources, over all its handles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[non_exhaustive]
pub struct Usage {
    /// Requests that callers wait for.
    pub open: usize,
    /// Requests that the engine tracks: unanswered, or with attempts in progress.
    pub requests: usize,
    /// Attempts in progress.
    pub attempts: usize,
    /// Requests that the decision module tracks.
    pub undecided: usize,
    /// Connections to servers, idle or not. With a shared budget, those of all its fleets.
    pub sockets: usize,
    /// Connections to servers that are being opened.
    pub opening: usize,
    /// Idle connections to servers.
    pub idle: usize,
    /// Numbers of closed connections to servers, by reason.
    pub ended: ConnectionsEnded,
    /// Bytes of request bodies. With a shared budget, those of all its fleets.
    pub body_bytes: usize,
}

impl Usage {
    /// Whether the fleet has no request in progress and holds only idle connections.
    pub fn is_idle(&self) -> bool {
        let Usage { open, requests, attempts, undecided, sockets, idle, body_bytes, .. } = *self;
        [open, requests, attempts, undecided, body_bytes] == [0; 5] && sockets == idle
    }
}

/// The result of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drained {
    /// Requests of this opening that did not finish in time. They have failed.
    pub unanswered: usize,
}
