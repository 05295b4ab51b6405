//! Bodies of answers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{Either, Full};
use millethook_http::answer::AnswerBody;

use crate::error::BoxError;
use crate::opening::OpenRequest;

/// The body of an answer, either complete or streamed.
///
/// A streamed body that is cut off ends with an error, never as if it were complete. Dropping it
/// cancels the attempt.
pub struct Body {
    inner: AnswerBody,
    /// Keeps the fleet open, and a drain waiting, until a streamed answer ends.
    _open_request: Option<OpenRequest>,
}

impl Body {
    /// `open_request` keeps the fleet open until a streamed body ends.
    pub(crate) fn new(inner: AnswerBody, open_request: Option<OpenRequest>) -> Body {
        Body { inner, _open_request: open_request }
    }

    /// An empty body.
    pub fn empty() -> Body {
        Body::new(Either::Left(Full::default()), None)
    }
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Body").field("size_hint", &self.inner.size_hint()).finish()
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
