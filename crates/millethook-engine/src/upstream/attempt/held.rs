//! What is read of an answer before it is told whose it is.

use std::time::Instant;

use bytes::Bytes;
use millethook_connect::answers::COMPARED_BODY_BYTES;
use millethook_connect::{Event, ResponseHead};

use super::collected::Collected;
use super::running::Broken;
use super::{AttemptRequest, LONGEST_ANSWER, Running};

/// Answers up to this size are read whole before their outcome is told.
pub const WHOLE: usize = 64 << 10;
/// An answer that does not say how long it is, is passed on once so many bytes of it have come over such a part of
/// the aim: it may well be a long one, whose first bytes are waited for. Short answers and quick ones are held to their
/// end, as what is passed on can be repeated nowhere.
const SLOW_ANSWER: usize = COMPARED_BODY_BYTES;
const SLOW_SHARE: u32 = 8;

/// What is held of an answer.
pub(super) enum Held {
    /// All of its body.
    Whole(Bytes),
    /// The first [`COMPARED_BODY_BYTES`] bytes of a long one, or more.
    Long(Bytes),
}

impl Held {
    /// The bytes of the body.
    pub(super) fn bytes(&self) -> &[u8] {
        match self {
            Held::Whole(bytes) | Held::Long(bytes) => bytes,
        }
    }

    /// Reads the body of an answer until it is whole, or is known to be a long one.
    pub(super) async fn read(
        running: &mut Running,
        head: &ResponseHead,
        request: &AttemptRequest,
    ) -> Result<Held, Broken> {
        let longest = if request.streaming { u64::MAX } else { LONGEST_ANSWER };
        // Guards against lengths without sense and answers without end: no body is longer than the protocol allows, so this
        // is none, and memory is kept for others.
        if head.length.is_some_and(|length| length > longest) {
            return Err(Broken);
        }
        let (mut held, begun) = (Collected::default(), Instant::now());
        loop {
            let is_long = match head.length {
                Some(length) => length > WHOLE as u64 && held.len() >= COMPARED_BODY_BYTES,
                None => {
                    let is_slow = || begun.elapsed() > request.aim / SLOW_SHARE;
                    held.len() > WHOLE || (held.len() >= SLOW_ANSWER && is_slow())
                }
            };
            if is_long {
                return Ok(Held::Long(held.take()));
            }
            match running.event(request.streaming).await? {
                Event::Data(piece) => held.push(piece),
                Event::End => return Ok(Held::Whole(held.take())),
                Event::Head(_) => return Err(Broken),
            }
        }
    }
}
