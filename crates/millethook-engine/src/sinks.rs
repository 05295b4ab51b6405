//! What the engine's sources and the engine tell one another, so that neither has to know the
//! other: discovery and peers bring news, and datagrams go out by whatever carries them.

use coppercart::api::{ListKind, ServerId, Standing};

use crate::list::List;

/// Whoever wants to hear of servers and other sidecars.
pub trait MembershipSink {
    /// A list of servers, or what changed in it.
    fn update_servers(&self, kind: ListKind, list: &List);
    /// A call of discovery failed, or the subscription broke.
    fn discovery_failed(&self);
    /// A datagram of another sidecar, by its number.
    fn handle_message(&self, from: u32, data: &[u8]);
}

impl MembershipSink for Box<dyn MembershipSink> {
    fn update_servers(&self, kind: ListKind, list: &List) {
        self.as_ref().update_servers(kind, list);
    }

    fn discovery_failed(&self) {
        self.as_ref().discovery_failed();
    }

    fn handle_message(&self, from: u32, data: &[u8]) {
        self.as_ref().handle_message(from, data);
    }
}

/// What carries datagrams to other sidecars.
pub trait PeerSender {
    /// Sends a datagram to a sidecar by its number, or to all; it may be lost, like any.
    fn send(&self, peer: u32, data: &[u8]);
}

/// Whoever wants to hear what the fleet makes of servers.
pub trait VerdictSink {
    /// A server stands otherwise than before.
    fn apply_verdict(&self, server: ServerId, standing: Standing);
}
