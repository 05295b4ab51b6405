//! A document: what is published for a scope, under a version.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{DocumentKey, Version};

/// The maximum length of a content in bytes.
pub const MAX_CONTENT_BYTES: usize = 64 * 1024;

/// The first 16 bytes of the SHA-256 of a flag for retractions, followed by the content.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ContentHash(pub [u8; 16]);

impl ContentHash {
    /// The hash of a document's body; None: a retraction.
    pub fn of(body: Option<&[u8]>) -> ContentHash {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(body.is_none())]);
        hasher.update(body.unwrap_or_default());
        let whole: [u8; 32] = hasher.finalize().into();
        let mut hash = [0; 16];
        hash.copy_from_slice(&whole[..16]);
        ContentHash(hash)
    }
}

/// A document. Its hash was verified when it was created or read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The key under which it is published.
    pub key: DocumentKey,
    /// The version of this key.
    pub version: Version,
    /// The content, at most [`MAX_CONTENT_BYTES`] bytes; None: the scope has no document any more (a retraction).
    pub body: Option<Vec<u8>>,
    /// The hash of the body.
    pub hash: ContentHash,
}

impl Document {
    /// Creates a document and computes its hash.
    pub fn new(key: DocumentKey, version: Version, body: Option<Vec<u8>>) -> Document {
        let hash = ContentHash::of(body.as_deref());
        Document { key, version, body, hash }
    }

    /// The length of the content in bytes.
    pub fn length(&self) -> usize {
        self.body.as_ref().map_or(0, Vec::len)
    }

    /// Whether the hash matches the body and the body does not exceed the maximum length.
    pub fn is_intact(&self) -> bool {
        self.length() <= MAX_CONTENT_BYTES && self.hash == ContentHash::of(self.body.as_deref())
    }
}
