//! An answer that is passed on before enough of it has arrived to tell whose it is.
//!
//! Its head goes to the client at once. The bytes of its body are held until they can be compared, so that no byte of
//! another request's answer is passed on.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use millethook_connect::Event;
use millethook_connect::answers::COMPARED_BODY_BYTES;

use super::active::IncompleteAnswer;
use super::buffered::BufferedAnswer;
use super::matching::AnswerOrigin;
use super::{ActiveRequest, Upstream};

/// The first bytes of a body whose origin is not known yet.
pub(in crate::upstream) struct UncheckedBody {
    upstream: Rc<Upstream>,
    /// The class of the request; `None` for internal requests.
    class: Option<usize>,
    status: StatusCode,
    bytes: BytesMut,
    is_complete: bool,
}

/// The first bytes of a body that belongs to its request.
pub(in crate::upstream) struct CheckedBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Whether they are the whole body.
    pub is_complete: bool,
}

impl UncheckedBody {
    /// Creates a body of which `bytes` have arrived, fewer than [`COMPARED_BODY_BYTES`].
    pub(super) fn new(
        upstream: Rc<Upstream>,
        class: Option<usize>,
        status: StatusCode,
        bytes: &[u8],
    ) -> UncheckedBody {
        UncheckedBody { upstream, class, status, bytes: bytes.into(), is_complete: false }
    }

    /// Reads until the body can be compared, and returns it if it belongs to its request. Cancel safe.
    ///
    /// # Errors
    /// The answer broke off, or is probably another request's.
    pub async fn check(
        &mut self,
        active: &mut ActiveRequest,
    ) -> Result<CheckedBody, IncompleteAnswer> {
        while !self.is_complete && self.bytes.len() < COMPARED_BODY_BYTES {
            match active.event().await? {
                Event::Data(piece) => self.bytes.extend_from_slice(&piece),
                Event::End => self.is_complete = true,
                Event::Head(_) => return Err(IncompleteAnswer),
            }
        }
        let bytes = self.bytes.split().freeze();
        let body = if self.is_complete {
            BufferedAnswer::Complete(bytes.clone())
        } else {
            BufferedAnswer::Prefix(bytes.clone())
        };
        match self.upstream.answer_origin(active, self.class, self.status, &body) {
            AnswerOrigin::Own(_) => Ok(CheckedBody { bytes, is_complete: self.is_complete }),
            AnswerOrigin::Ambiguous | AnswerOrigin::Duplicate(_) => Err(IncompleteAnswer),
        }
    }
}
