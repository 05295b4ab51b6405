//! Traits between the engine and its sources, so that neither depends on the other: sinks for lists of servers,
//! messages of peers and verdicts, and a sender of datagrams.

use coppercart::api::{ListKind, ServerId, ServerVerdict};

use crate::list::List;

/// Receives lists of servers and messages of other sidecars.
pub trait MembershipSink {
    /// Applies a list of servers, or changes to it.
    fn update_servers(&self, kind: ListKind, list: &List);
    /// Records that a discovery request failed or the subscription broke.
    fn discovery_failed(&self);
    /// Handles a datagram from the sidecar with the number `from`.
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

/// Sends datagrams to other sidecars.
pub trait PeerSender {
    /// Sends a datagram to the sidecar with the number `peer`, or to all of them. It may be lost.
    fn send(&self, peer: u32, data: &[u8]);
}

/// Receives the fleet's verdicts on servers.
pub trait VerdictSink {
    /// Applies a changed verdict on a server.
    fn apply_verdict(&self, server: ServerId, verdict: ServerVerdict);
}
