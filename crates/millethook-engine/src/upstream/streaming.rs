//! A long answer under way.

use bytes::Bytes;
use coppercart::api::LoadReport;
use millethook_connect::{Event, ResponseHead};

use super::AnswerHead;
use super::attempt::Running;

/// The answer has broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenOff;

/// A long answer under way. Dropped before its end, it closes its connection.
pub struct StreamingResponse {
    /// Its head.
    pub head: AnswerHead,
    /// Its length, if it was announced.
    pub length: Option<u64>,
    /// The load report in its head.
    pub report: LoadReport,
    first: Option<Bytes>,
    running: Option<Running>,
    /// How many bytes more it may have.
    room: u64,
}

impl StreamingResponse {
    pub(super) fn new(
        head: ResponseHead,
        report: LoadReport,
        first: Bytes,
        running: Running,
        most: u64,
    ) -> StreamingResponse {
        let first = Some(first).filter(|first| !first.is_empty());
        let ResponseHead { status, headers, length } = head;
        StreamingResponse {
            head: AnswerHead { status, headers },
            length,
            report,
            first,
            running: Some(running),
            room: most,
        }
    }

    /// The next piece; None at the end of the whole answer. Cancel safe.
    ///
    /// # Errors
    /// The connection broke, or brought what is no answer.
    pub async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        if let Some(first) = self.first.take() {
            self.room = self.room.saturating_sub(first.len() as u64);
            return Some(Ok(first));
        }
        match self.running.as_mut()?.event(true).await {
            Ok(Event::Data(piece)) if piece.len() as u64 <= self.room => {
                self.room -= piece.len() as u64;
                Some(Ok(piece))
            }
            Ok(Event::End) => {
                self.running.take()?.end();
                None
            }
            Ok(Event::Head(_) | Event::Data(_)) | Err(_) => {
                self.running = None;
                Some(Err(BrokenOff))
            }
        }
    }
}
