//! How far a document has come.

use crate::{DocumentKey, Version};

/// The longest reason of a refusal that is told, in bytes.
pub const MAX_REASON_BYTES: usize = 60;
/// Members that are named in a report, at most.
pub const MAX_NAMED_MEMBERS: usize = 16;

/// Why a host did not take a document. The code is the host's own.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Refusal {
    /// What kind of fault.
    pub code: u8,
    /// What was wrong: file, key, found, expected. Cut to [`MOST_REASON`] bytes.
    pub reason: String,
}

impl Refusal {
    /// The reason, cut to so many bytes between two characters.
    pub(crate) fn cut(&self, most: usize) -> &str {
        let end =
            (0..=most.min(self.reason.len())).rev().find(|n| self.reason.is_char_boundary(*n));
        &self.reason[..end.unwrap_or(0)]
    }
}

/// How far a document has come, at the sidecars that it is for and that count one control node as their first; at the
/// writer the sum over all control nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// Sidecars that it is for and that were heard of.
    pub expected: u32,
    /// It is in force there.
    pub in_force: u32,
    /// It was refused there, by sidecars that are heard of.
    pub refused: u32,
    /// Who refused it, and why: the first that was heard of.
    pub first_refusal: Option<(u16, Refusal)>,
    /// Sidecars that are silent, and not known to have it in force.
    pub not_heard: u32,
    /// Some of these, at most [`MOST_NAMED`].
    pub not_heard_members: Vec<u16>,
    /// Sidecars that have just come from another control node. They are counted nowhere else here: the other one may
    /// count them still.
    pub moving: u32,
    /// Control nodes that have it on their disk: what a majority has there outlives that all of them die at once.
    pub persisted: u32,
    /// At the writer: control nodes that there are; elsewhere 0.
    pub control_nodes: u32,
    /// At the writer: control nodes that have not reported on it.
    pub control_nodes_missing: u32,
}

impl Rollout {
    /// Adds what another control node counts.
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

    /// Whether it is in force wherever it should be, as far as is known.
    pub fn is_complete(&self) -> bool {
        self.in_force == self.expected && self.moving == 0 && self.control_nodes_missing == 0
    }
}

/// A document's key and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentId {
    /// What it is known by.
    pub key: DocumentKey,
    /// Which one.
    pub version: Version,
}
