//! A long answer that is still being received.

use bytes::Bytes;
use coppercart::api::LoadReport;
use millethook_connect::{Event, ResponseHead};

use super::AnswerHead;
use super::attempt::{ActiveRequest, IncompleteAnswer, UncheckedBody};

/// The answer ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTruncated;

/// A long answer that is still being received. Dropping it before its end closes its connection.
pub struct StreamingResponse {
    /// Status and header fields.
    pub head: AnswerHead,
    /// The length, if the server announced it.
    pub length: Option<u64>,
    /// The load report in the header.
    pub report: LoadReport,
    first: Option<Bytes>,
    /// The first bytes of the body, until they are known to belong to the request.
    unchecked: Option<UncheckedBody>,
    active: Option<ActiveRequest>,
    /// How many more bytes the answer may have.
    remaining_bytes: u64,
}

impl StreamingResponse {
    /// Creates a response of which only the head has arrived.
    pub(super) fn new(
        head: ResponseHead,
        report: LoadReport,
        active: ActiveRequest,
        max_bytes: u64,
    ) -> StreamingResponse {
        let ResponseHead { status, headers, length } = head;
        StreamingResponse {
            head: AnswerHead { status, headers },
            length,
            report,
            first: None,
            unchecked: None,
            active: Some(active),
            remaining_bytes: max_bytes,
        }
    }

    /// Sets the first bytes of the body.
    pub(super) fn with_prefix(mut self, prefix: Bytes) -> StreamingResponse {
        self.first = Some(prefix).filter(|prefix| !prefix.is_empty());
        self
    }

    /// Sets the first bytes of a body whose origin is not known yet.
    pub(super) fn with_unchecked(mut self, unchecked: UncheckedBody) -> StreamingResponse {
        self.unchecked = Some(unchecked);
        self
    }

    /// Returns the next piece, or `None` at the end of a complete answer. Cancel safe.
    ///
    /// # Errors
    /// The connection broke, or the bytes are not a valid answer to the request.
    pub async fn next(&mut self) -> Option<Result<Bytes, AnswerTruncated>> {
        if self.check_first().await.is_err() {
            self.active = None;
            return Some(Err(AnswerTruncated));
        }
        if let Some(first) = self.first.take() {
            self.remaining_bytes = self.remaining_bytes.saturating_sub(first.len() as u64);
            return Some(Ok(first));
        }
        match self.active.as_mut()?.event().await {
            Ok(Event::Data(piece)) if piece.len() as u64 <= self.remaining_bytes => {
                self.remaining_bytes -= piece.len() as u64;
                Some(Ok(piece))
            }
            Ok(Event::End) => {
                self.active.take()?.finish();
                None
            }
            Ok(Event::Head(_) | Event::Data(_)) | Err(_) => {
                self.active = None;
                Some(Err(AnswerTruncated))
            }
        }
    }

    /// Waits until the first bytes of the body are known to belong to the request.
    async fn check_first(&mut self) -> Result<(), IncompleteAnswer> {
        let (Some(unchecked), Some(active)) = (&mut self.unchecked, &mut self.active) else {
            return Ok(());
        };
        let checked = unchecked.check(active).await?;
        self.unchecked = None;
        self.first = Some(checked.bytes).filter(|bytes| !bytes.is_empty());
        if checked.is_complete
            && let Some(active) = self.active.take()
        {
            active.finish();
        }
        Ok(())
    }
}
