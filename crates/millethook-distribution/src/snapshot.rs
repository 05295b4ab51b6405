//! The state that survives a restart.

use serde::{Deserialize, Serialize};

use crate::{Document, Version};

/// The documents that a member had in force. The host writes the snapshot whenever it changes, and passes it in at the
/// next start. Documents whose hash does not match are ignored when it is read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The highest version that was seen; its token fences off earlier writers.
    pub fence: Version,
    /// The documents.
    pub documents: Vec<Document>,
}
