//! Buffering an answer until its origin is decided.

use std::time::Instant;

use bytes::Bytes;
use millethook_connect::answers::COMPARED_BODY_BYTES;
use millethook_connect::{Event, ResponseHead};
use tokio::time::sleep_until;

use super::active::IncompleteAnswer;
use super::body_buffer::BodyBuffer;
use super::{ActiveRequest, AttemptRequest, max_bytes};

/// Answers up to this size are read completely before their outcome is reported.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// An answer without a length is passed on once this many bytes have arrived and `aim / SLOW_AIM_DIVISOR` has gone by
/// since its head: it is probably a long answer whose first bytes the client waits for. Short and fast answers are
/// buffered to their end, because an answer that is being passed on cannot be retried elsewhere.
const SLOW_ANSWER_MIN_BYTES: usize = COMPARED_BODY_BYTES;
const SLOW_AIM_DIVISOR: u32 = 8;

/// The buffered part of an answer.
pub(super) enum BufferedAnswer {
    /// The whole body.
    Complete(Bytes),
    /// At least the first [`COMPARED_BODY_BYTES`] bytes of a long body.
    Prefix(Bytes),
    /// Fewer bytes of a body that is passed on from now on.
    Begun(Bytes),
}

impl BufferedAnswer {
    /// The buffered bytes of the body.
    pub(super) fn bytes(&self) -> &[u8] {
        match self {
            BufferedAnswer::Complete(bytes)
            | BufferedAnswer::Prefix(bytes)
            | BufferedAnswer::Begun(bytes) => bytes,
        }
    }

    /// Reads the body of an answer until it is complete, is known to be long, or has to be passed on.
    pub(super) async fn read(
        active: &mut ActiveRequest,
        head: &ResponseHead,
        request: &AttemptRequest,
    ) -> Result<BufferedAnswer, IncompleteAnswer> {
        let max_bytes = max_bytes(request.streaming);
        // Rejects absurd lengths and endless answers: no body is longer than the protocol allows, and the memory is
        // kept for other answers.
        if head.length.is_some_and(|length| length > max_bytes) {
            return Err(IncompleteAnswer);
        }
        let attempt = active.attempt();
        let mut buffer = BodyBuffer::new(request.answer_budget.as_ref());
        let slow_from = Instant::now() + request.aim / SLOW_AIM_DIVISOR;
        let mut has_room = true;
        loop {
            let may_be_slow = head.length.is_none() && buffer.len() >= SLOW_ANSWER_MIN_BYTES;
            let is_long = match head.length {
                Some(length) => {
                    length > MAX_BUFFERED_BYTES as u64 && buffer.len() >= COMPARED_BODY_BYTES
                }
                None => {
                    buffer.len() > MAX_BUFFERED_BYTES
                        || (may_be_slow && Instant::now() >= slow_from)
                }
            };
            // An answer for which there is no room is passed on at its client's pace.
            if is_long || (!has_room && buffer.len() >= COMPARED_BODY_BYTES) {
                return Ok(BufferedAnswer::Prefix(buffer.take()));
            }
            let event = tokio::select! {
                biased;
                event = active.event() => event?,
                () = request.progress.pass_on_requested(attempt) => {
                    return Ok(BufferedAnswer::passed_on(buffer.take()));
                }
                () = sleep_until(slow_from.into()), if may_be_slow => continue,
            };
            match event {
                Event::Data(piece) => has_room = buffer.push(piece),
                Event::End => return Ok(BufferedAnswer::Complete(buffer.take())),
                Event::Head(_) => return Err(IncompleteAnswer),
            }
        }
    }

    /// The buffered part of an answer that is not complete.
    fn passed_on(bytes: Bytes) -> BufferedAnswer {
        if bytes.len() >= COMPARED_BODY_BYTES {
            BufferedAnswer::Prefix(bytes)
        } else {
            BufferedAnswer::Begun(bytes)
        }
    }
}
