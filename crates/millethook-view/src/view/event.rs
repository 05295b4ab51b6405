//! Events: changes of the state of other members.

use crate::fact::{Epoch, Status};

/// A change of another member's status or process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// The number of the member.
    pub number: u16,
    /// The epoch of its process.
    pub epoch: Epoch,
    /// Its status before.
    pub old_status: Status,
    /// Its status now.
    pub new_status: Status,
}
