//! Destinations of messages, statuses of servers, and events.

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A random present member; the caller chooses it.
    Anyone,
    /// This member.
    Peer(u16),
}

impl Destination {
    /// The number of the receiver; `any_present` returns a random present member. None: there is none.
    pub fn resolve(self, any_present: impl FnOnce() -> Option<u16>) -> Option<u16> {
        match self {
            Destination::Peer(member) => Some(member),
            Destination::Anyone => any_present(),
        }
    }
}

/// The status of a server that follows from all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// No evidence against the server.
    #[default]
    Trusted,
    /// Two members of the own zone have reported failures since the last answer that anyone reported.
    Suspected,
    /// The server leaves, or has left.
    Leaving,
}

/// A change of a server's status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The server.
    pub server: u64,
    /// Its new status.
    pub status: ServerStatus,
}
