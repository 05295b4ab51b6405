//! A buffer for the body of an answer.

use bytes::{Bytes, BytesMut};

/// The pieces of a body. A single piece is not copied.
#[derive(Default)]
pub(super) struct BodyBuffer {
    first: Bytes,
    rest: BytesMut,
}

impl BodyBuffer {
    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Appends a piece.
    pub fn push(&mut self, piece: Bytes) {
        if self.first.is_empty() {
            self.first = piece;
        } else {
            self.rest.extend_from_slice(&piece);
        }
    }

    /// Returns all buffered bytes as one piece.
    pub fn take(self) -> Bytes {
        if self.rest.is_empty() {
            return self.first;
        }
        let mut all = BytesMut::with_capacity(self.len());
        all.extend_from_slice(&self.first);
        all.extend_from_slice(&self.rest);
        all.freeze()
    }
}
