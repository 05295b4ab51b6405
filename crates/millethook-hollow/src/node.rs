//! The interface between a host and one member's state machines.

use millethook_machine::Violation;

use crate::Micros;
use crate::distribution::Control;

/// A summary of a node's state, for comparison between nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StateSummary {
    /// Hash of the state: equal for nodes with equal state.
    pub hash: u64,
    /// Members that the node considers present, or for a subscriber its last serial number.
    pub count: u32,
}

/// A node's verdict about another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberVerdict {
    /// The member may be dead.
    Suspect(u16),
    /// The member is dead.
    Dead(u16),
}

/// One member's state machines, without socket and clock.
pub trait Node {
    /// Handles a datagram from a peer's address.
    fn handle(&mut self, now: Micros, from: u16, datagram: &[u8]);

    /// Does the work that is due, passes outgoing datagrams to `send`, and returns when the next work is due.
    fn pump(&mut self, now: Micros, send: &mut dyn FnMut(u16, Vec<u8>)) -> Micros;

    /// Returns a summary of the current state.
    fn state_summary(&self) -> StateSummary;

    /// Returns the verdicts since the last call.
    fn verdicts(&mut self) -> Vec<MemberVerdict> {
        Vec::new()
    }

    /// Checks all invariants of the state machines.
    ///
    /// # Errors
    /// Returns the first invariant that is violated, with its values.
    fn check(&self, now: Micros) -> Result<(), Violation>;

    /// Returns the control node, if this is one.
    fn control(&mut self) -> Option<&mut Control> {
        None
    }

    /// Returns how often the state machines detected that the process had not run for a long time.
    fn stalls(&self) -> u64 {
        0
    }
}
