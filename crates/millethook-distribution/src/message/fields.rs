//! The types that messages are composed of.

use crate::lists::ListStatus;
use crate::{ContentHash, DocumentId, DocumentKey, Identity, Refusal, Version};

/// The role of a message's sender or receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Role {
    /// The control node of a member.
    ControlNode,
    /// The sidecar of a member.
    Sidecar,
}

/// The stage of an offered document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The writer asks for a vote, in this round.
    Proposed(u32),
    /// The sender has accepted it, and does not know whether it is committed.
    Accepted,
    /// A majority has accepted it.
    Committed,
}

/// The head of a document; for a short content, the whole document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Offer {
    /// How far the document has been agreed on.
    pub stage: Stage,
    pub id: DocumentId,
    pub hash: ContentHash,
    /// Whether the document is a retraction.
    pub retracted: bool,
    /// The length of the complete content in bytes.
    pub length: usize,
    /// The content, if it is short enough to travel with the head.
    pub inline: Option<Vec<u8>>,
}

/// The state, at a sidecar, of the latest document of a key that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// The host has put it into force.
    InForce,
    /// It waits for the host's decision.
    Offered,
    /// The host refused it.
    Refused(Refusal),
}

impl State {
    /// Its number in a message and in a hash.
    pub fn number(&self) -> u8 {
        match self {
            State::InForce => 0,
            State::Offered => 1,
            State::Refused(_) => 2,
        }
    }
}

/// The state, at a sidecar, of the latest document of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    pub key: DocumentKey,
    /// The version that the state applies to.
    pub version: Version,
    pub state: State,
}

/// The documents that a sidecar has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Digest {
    pub identity: Identity,
    /// 0: the receiver is its first control node; 1: its second; more: it only checks whether the receiver answers.
    pub rank: u8,
    /// The hash of all statuses.
    pub hash: u64,
    /// The statuses, if the message includes them.
    pub statuses: Option<Vec<Status>>,
}

/// The lists that a sidecar subscribes to and their states, by service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListsUpdate {
    /// The hash of all list statuses.
    pub hash: u64,
    /// The statuses that are sent with the hash.
    pub payload: ListsPayload,
}

/// How much of its list statuses a sidecar sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ListsPayload {
    /// Only the hash: asks whether the receiver knows the rest.
    Hash,
    /// What has changed since the state that the receiver knows.
    Changes(Vec<(u32, ListStatus)>),
    /// One part of all statuses.
    Full(Vec<(u32, ListStatus)>),
}

/// One part of the delta from the previous committed document to a new one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Delta {
    pub id: DocumentId,
    /// The hash and the length of the complete content.
    pub hash: ContentHash,
    pub length: usize,
    /// The version that the delta is applied to.
    pub base: Version,
    /// The index of this part.
    pub index: u8,
    /// The number of all parts of the delta.
    pub count: u8,
    /// The content of this part.
    pub bytes: Vec<u8>,
}

/// What a control node stores for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    pub key: DocumentKey,
    /// The lowest version stands for none.
    pub committed: Version,
    /// The version of the later document that was accepted; the lowest version stands for none.
    pub accepted: Version,
}
