//! A buffer for the body of an answer, charged to the budget of its request.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use millethook_connect::answers::COMPARED_BODY_BYTES;

use crate::budget::{ByteBudget, ByteReservation};

/// Bytes of an answer that are buffered without being charged. They are part of what a client connection may take, so
/// that short answers need no budget.
const UNCHARGED_BYTES: usize = COMPARED_BODY_BYTES;

/// The pieces of a body. A single piece is not copied.
pub(super) struct BodyBuffer<'a> {
    first: Bytes,
    rest: BytesMut,
    budget: Option<&'a Arc<ByteBudget>>,
    reservation: Option<ByteReservation>,
    charged: usize,
}

/// Buffered bytes, with the budget that they take until the last reference to them is dropped.
struct ChargedBytes {
    bytes: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl<'a> BodyBuffer<'a> {
    /// Creates an empty buffer that charges `budget`, if there is one.
    pub fn new(budget: Option<&'a Arc<ByteBudget>>) -> BodyBuffer<'a> {
        BodyBuffer {
            first: Bytes::new(),
            rest: BytesMut::new(),
            budget,
            reservation: None,
            charged: 0,
        }
    }

    /// The number of buffered bytes.
    pub fn len(&self) -> usize {
        self.first.len() + self.rest.len()
    }

    /// Appends a piece. Returns false if the budget has no room for the bytes that are buffered now.
    pub fn push(&mut self, piece: Bytes) -> bool {
        if self.first.is_empty() {
            self.first = piece;
        } else {
            self.rest.extend_from_slice(&piece);
        }
        let taken = self.first.len() + self.rest.capacity();
        let uncharged = taken.saturating_sub(UNCHARGED_BYTES + self.charged);
        let Some(budget) = self.budget.filter(|_| uncharged > 0) else { return true };
        let reservation = self.reservation.get_or_insert_with(|| budget.reservation());
        if !reservation.try_grow(uncharged) {
            return false;
        }
        self.charged += uncharged;
        true
    }

    /// Returns all buffered bytes as one piece.
    pub fn take(self) -> Bytes {
        let bytes = if self.rest.is_empty() {
            self.first
        } else {
            let mut all = BytesMut::with_capacity(self.first.len() + self.rest.len());
            all.extend_from_slice(&self.first);
            all.extend_from_slice(&self.rest);
            all.freeze()
        };
        match self.reservation {
            Some(reservation) => {
                Bytes::from_owner(ChargedBytes { bytes, _reservation: reservation })
            }
            None => bytes,
        }
    }
}
