//! One request and its answer on one connection.
//!
//! The exchange counts every byte that is written. If it ends before the commit point, the request never ran, whatever
//! the reason. Bytes that come before the commit point are no answer to this request, and once they have come nothing
//! more is written. A failed write does not end the exchange: a server that answers early and closes the connection
//! leaves an answer to be read (RFC 9112, section 9.6).

use bytes::BytesMut;
use http::StatusCode;

use crate::contract::{Begins, Execution, Progress};
use crate::response::{Decoder, Event, Malformed, ResponseHead};

/// Why an exchange ended without a complete answer. [`Exchange::execution`] tells whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Bytes came that cannot be the answer to this request.
    StrayBytes,
    /// The answer is malformed.
    Malformed(Malformed),
    /// The connection ended before an answer had begun.
    Closed,
}

/// The state of one request and its answer.
#[derive(Debug)]
pub struct Exchange {
    begins: Begins,
    head_len: usize,
    body_len: usize,
    /// The body is longer than `body_len`, which counts what has come so far.
    more_body_follows: bool,
    written: usize,
    /// The byte at the commit point is held back until [`Exchange::commit`].
    held: bool,
    /// Bytes came before the commit point.
    got_early_bytes: bool,
    write_failed: bool,
    decoder: Decoder,
}

impl Exchange {
    /// Creates the exchange of a request whose head and body have these lengths. `held`: the byte at the commit point
    /// and all that follow are held back until [`Exchange::commit`].
    pub fn new(begins: Begins, head_len: usize, body_len: usize, held: bool) -> Exchange {
        Exchange {
            begins,
            head_len,
            body_len,
            more_body_follows: false,
            written: 0,
            held,
            got_early_bytes: false,
            write_failed: false,
            decoder: Decoder::default(),
        }
    }

    /// Announces that more of the body follows. [`Exchange::extend_body`] counts it as it comes, and the request is
    /// incomplete until [`Exchange::finish_body`].
    pub fn expect_more_body(&mut self) {
        self.more_body_follows = true;
    }

    /// Whether all known bytes of the request are written, and more of the body is to follow.
    pub fn needs_more_body(&self) -> bool {
        let all_written = self.written == self.head_len + self.body_len;
        self.more_body_follows
            && all_written
            && !self.held
            && !self.got_early_bytes
            && !self.write_failed
    }

    /// Adds `len` bytes of the body.
    pub fn extend_body(&mut self, len: usize) {
        self.body_len += len;
    }

    /// Marks the body as complete.
    pub fn finish_body(&mut self) {
        self.more_body_follows = false;
    }

    /// The range of bytes that may be written now, counted from the start of the head; empty if there are none.
    pub fn writable(&self) -> (usize, usize) {
        let request_len = self.head_len + self.body_len;
        let end = match (self.got_early_bytes || self.write_failed, self.held) {
            (true, _) => self.written,
            (_, true) => self.begins.commit_point(self.head_len, self.body_len) - 1,
            _ => request_len,
        };
        (self.written, end.max(self.written))
    }

    /// Records that `len` more bytes were written.
    pub fn wrote(&mut self, len: usize) {
        self.written = (self.written + len).min(self.head_len + self.body_len);
    }

    /// Records that nothing more can be written. What the server has sent may still be read.
    pub fn write_failed(&mut self) {
        self.write_failed = true;
    }

    /// Whether bytes are held back, and all bytes before them are written.
    pub fn is_holding(&self) -> bool {
        let (from, to) = self.writable();
        self.held && !self.got_early_bytes && !self.write_failed && from == to
    }

    /// Allows the held bytes to be written.
    pub fn commit(&mut self) {
        self.held = false;
    }

    /// How much of the request was written.
    pub fn progress(&self) -> Progress {
        match Progress::of(self.written, self.head_len, self.body_len) {
            Progress::Complete if self.more_body_follows => Progress::PartOfBody,
            progress => progress,
        }
    }

    /// Whether the request may have run if the exchange ended now.
    pub fn execution(&self) -> Execution {
        self.begins.execution(self.progress())
    }

    /// Decodes the received bytes; None if more are needed.
    ///
    /// # Errors
    /// The connection will bring no answer to the request.
    pub fn read(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Failure> {
        if self.begins.may_answer(self.progress()) {
            return self.decoder.next(buf).map_err(Failure::Malformed);
        }
        let event = self.decoder.next(buf);
        // Interim answers alone prove nothing, since a server may send them as soon as it accepts the connection.
        self.got_early_bytes = !buf.is_empty() || self.decoder.has_head();
        // A server may reject a request before it could have started to process it. Anything else does not belong to
        // this request.
        match event {
            Ok(Some(Event::Head(head))) if is_unprocessed_rejection(&head) => {
                Ok(Some(Event::Head(head)))
            }
            Ok(Some(Event::Head(_))) | Err(_) => Err(Failure::StrayBytes),
            Ok(other) => Ok(other),
        }
    }

    /// Handles the end of the server's stream. `buf` holds nothing that [`Exchange::read`] could decode.
    ///
    /// # Errors
    /// The answer is incomplete.
    pub fn on_eof(&mut self, buf: &BytesMut) -> Result<Event, Failure> {
        self.decoder.on_eof().map_err(|_| self.failure_on_break(buf))
    }

    /// The failure to report if the connection broke. `buf` holds the bytes that are not decoded yet.
    pub fn failure_on_break(&self, buf: &BytesMut) -> Failure {
        let begun = self.answer_begun(buf);
        if begun { Failure::Malformed(Malformed::Truncated) } else { Failure::Closed }
    }

    /// Whether part of the answer has come. `buf` holds the bytes that are not decoded yet.
    pub fn answer_begun(&self, buf: &BytesMut) -> bool {
        self.decoder.has_head() || !buf.is_empty()
    }

    /// Drops the complete answer that was read, since it belongs to an earlier request, and reads the next one.
    pub fn skip_answer(&mut self) {
        self.decoder = Decoder::default();
    }

    /// Whether the complete answer has come.
    pub fn answer_is_complete(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Whether the answer's head has come and announces that the connection closes behind the answer.
    pub fn announces_close(&self) -> bool {
        self.decoder.has_head() && !self.decoder.keeps_alive()
    }

    /// Whether the connection may carry another request: the request and the answer are complete, the server keeps the
    /// connection open, and no bytes came behind the answer.
    pub fn reusable(&self, buf: &BytesMut) -> bool {
        self.decoder.reusable()
            && self.progress() == Progress::Complete
            && buf.is_empty()
            && !self.got_early_bytes
    }
}

/// Whether an answer rejects its request and states that it was not processed.
pub fn is_unprocessed_rejection(head: &ResponseHead) -> bool {
    matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-unprocessed").is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests;
