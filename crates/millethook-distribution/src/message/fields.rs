//! What messages are made of.

use crate::lists::ListStatus;
use crate::{ContentHash, DocumentId, DocumentKey, Identity, Refusal, Version};

/// Whose message it is: of a control node or of a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Role {
    ControlNode,
    Sidecar,
}

/// How far a document is that is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The writer asks for a vote, in this round.
    Proposed(u32),
    /// The sender has accepted it; whether it is committed is not known there.
    Accepted,
    /// A majority has accepted it.
    Committed,
}

/// A document's head; with a short content the whole document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Offer {
    pub stage: Stage,
    pub id: DocumentId,
    pub hash: ContentHash,
    pub retracted: bool,
    pub length: usize,
    pub inline: Option<Vec<u8>>,
}

/// How a sidecar stands to the latest document of a key that it knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum State {
    InForce,
    Offered,
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

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Status {
    pub key: DocumentKey,
    pub version: Version,
    pub state: State,
}

/// What a sidecar has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Digest {
    pub identity: Identity,
    /// 0: the receiver is its first control node; 1: its second; more: it only asks whether it is there.
    pub rank: u8,
    /// The hash of all statuses.
    pub hash: u64,
    /// The statuses, if they are told.
    pub statuses: Option<Vec<Status>>,
}

/// Which lists a sidecar wants and how it stands to them, by service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListsUpdate {
    /// The hash of all of it.
    pub hash: u64,
    pub payload: ListsPayload,
}

/// How much a sidecar tells of its lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ListsPayload {
    /// Only the hash: does the receiver know the rest?
    Hash,
    /// What has changed in what the receiver knows.
    Changes(Vec<(u32, ListStatus)>),
    /// A part of all.
    Full(Vec<(u32, ListStatus)>),
}

/// A part of what makes a committed document of the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Delta {
    pub id: DocumentId,
    /// The hash and the length of the whole content.
    pub hash: ContentHash,
    pub length: usize,
    /// The version that it is made from.
    pub base: Version,
    pub index: u8,
    pub count: u8,
    pub bytes: Vec<u8>,
}

/// What a control node holds of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ListEntry {
    pub key: DocumentKey,
    /// The lowest version: none.
    pub committed: Version,
    pub accepted: Version,
}
