//! Receivers of messages, server_statuses of servers, and events.

/// The receiver of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// A random member that is present; the caller chooses it.
    Anyone,
    /// This member.
    Peer(u16),
}

impl To {
    /// The number of the receiver; `any_present` draws a random member that is present. None: there is none.
    pub fn resolve(self, any_present: impl FnOnce() -> Option<u16>) -> Option<u16> {
        match self {
            To::Peer(member) => Some(member),
            To::Anyone => any_present(),
        }
    }
}

/// What the entries say together about a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStatus {
    /// Nothing speaks against it.
    #[default]
    Trusted,
    /// Two members of the own zone have reported failures since the last answer that anyone reported.
    Suspected,
    /// It leaves, or has left.
    Leaving,
}

/// The status of a server has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The server.
    pub server: u64,
    /// Its new status.
    pub status: ServerStatus,
}
