//! Reports on the rollout of a document: where it is in force, and where it was refused.

use crate::{DocumentKey, Version};

/// The maximum length of a refusal's reason in a report, in bytes.
pub const MAX_REASON_BYTES: usize = 60;
/// The maximum number of members named in a report.
pub const MAX_NAMED_MEMBERS: usize = 16;

/// Why a host refused a document. The code is the host's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub code: u8,
    /// What is wrong: file, key, found value, expected value. Cut to [`MAX_REASON_BYTES`] bytes.
    pub reason: String,
}

impl Refusal {
    /// The reason, cut to at most `most` bytes at a character boundary.
    pub(crate) fn cut(&self, most: usize) -> &str {
        let end =
            (0..=most.min(self.reason.len())).rev().find(|n| self.reason.is_char_boundary(*n));
        &self.reason[..end.unwrap_or(0)]
    }
}

/// The rollout of a document among the sidecars that it is for and that use one control node as their first; at the
/// writer, the sum over all control nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Sidecars that the document is for and that have sent a digest.
    pub expected: u32,
    /// Sidecars where it is in force.
    pub in_force: u32,
    /// Sidecars that refused it and still send digests.
    pub refused: u32,
    /// The sidecar whose refusal arrived first, and its reason.
    pub first_refusal: Option<(u16, Refusal)>,
    /// Sidecars that are silent and not known to have it in force.
    pub not_heard: u32,
    /// Some of these, at most [`MAX_NAMED_MEMBERS`].
    pub not_heard_members: Vec<u16>,
    /// Sidecars that have just moved here from another control node. They are not counted in the other fields, since
    /// the other control node may still count them.
    pub moving: u32,
    /// Control nodes that have it on disk. A document that a majority has on disk survives the simultaneous failure of
    /// all control nodes.
    pub persisted: u32,
    /// At the writer: the number of control nodes; elsewhere 0.
    pub control_nodes: u32,
    /// At the writer: control nodes that have not reported on it.
    pub control_nodes_missing: u32,
}

impl Rollout {
    /// Adds the counts of another control node.
    pub(crate) fn add(&mut self, other: &Rollout) {
        self.expected += other.expected;
        self.in_force += other.in_force;
        self.refused += other.refused;
        self.not_heard += other.not_heard;
        self.moving += other.moving;
        self.persisted += other.persisted;
        if self.first_refusal.is_none() {
            self.first_refusal.clone_from(&other.first_refusal);
        }
        let room = MAX_NAMED_MEMBERS.saturating_sub(self.not_heard_members.len());
        self.not_heard_members.extend(other.not_heard_members.iter().take(room));
    }

    /// Whether a majority of the control nodes has it on disk, as far as the writer knows.
    pub fn is_durable(&self) -> bool {
        self.control_nodes > 0 && self.persisted > self.control_nodes / 2
    }

    /// Whether it is in force at all sidecars that it is for, as far as is known.
    pub fn is_complete(&self) -> bool {
        self.in_force == self.expected && self.moving == 0 && self.control_nodes_missing == 0
    }
}

/// The key and version of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentId {
    /// The key of the document.
    pub key: DocumentKey,
    /// Its version.
    pub version: Version,
}
