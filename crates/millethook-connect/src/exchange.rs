//! One request and its answer on one connection.
//!
//! The exchange counts every byte that goes out, so that whatever ends it can be told apart: what
//! came before the commit point never ran. Two things follow from that. Bytes that come before the
//! commit point are no answer to this request, and once they have come nothing more goes out. And a
//! write that fails does not end the exchange: a server that answers early and closes leaves an
//! answer to be read (RFC 9112, section 9.6).

use bytes::BytesMut;
use http::StatusCode;

use crate::contract::{Begins, Execution, Progress};
use crate::response::{Decoder, Event, Malformed, ResponseHead};

/// Why an exchange is over without a whole answer. [`Exchange::execution`] tells what it means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Bytes came that cannot be this request's answer.
    Stray,
    /// The answer makes no sense.
    Malformed(Malformed),
    /// The connection ended before an answer had begun.
    Closed,
}

/// One request and its answer.
#[derive(Debug)]
pub struct Exchange {
    begins: Begins,
    head: usize,
    body: usize,
    /// More of the body follows than is counted by now.
    open: bool,
    written: usize,
    /// The byte at the commit point waits for [`Exchange::commit`].
    held: bool,
    /// Bytes came before the commit point.
    early: bool,
    write_failed: bool,
    decoder: Decoder,
}

impl Exchange {
    /// A request of so many bytes, none of which is out. `held`: what may make it run waits for
    /// [`Exchange::commit`].
    pub fn new(begins: Begins, head: usize, body: usize, held: bool) -> Exchange {
        Exchange {
            begins,
            head,
            body,
            open: false,
            written: 0,
            held,
            early: false,
            write_failed: false,
            decoder: Decoder::default(),
        }
    }

    /// More of the body follows: [`Exchange::extend_body`] counts it as it comes, and the request is not whole
    /// before [`Exchange::finish_body`].
    pub fn expect_more_body(&mut self) {
        self.open = true;
    }

    /// Whether all that there is of the request is out, and more may follow.
    pub fn needs_more_body(&self) -> bool {
        let out = self.written == self.head + self.body;
        self.open && out && !self.held && !self.early && !self.write_failed
    }

    /// So many bytes more of the body are there.
    pub fn extend_body(&mut self, n: usize) {
        self.body += n;
    }

    /// No more bytes follow.
    pub fn finish_body(&mut self) {
        self.open = false;
    }

    /// The bytes that may go out now, counted from the head's first; empty if there are none.
    pub fn writable(&self) -> (usize, usize) {
        let total = self.head + self.body;
        let end = match (self.early || self.write_failed, self.held) {
            (true, _) => self.written,
            (_, true) => self.begins.commit_point(self.head, self.body) - 1,
            _ => total,
        };
        (self.written, end.max(self.written))
    }

    /// So many bytes more are out.
    pub fn wrote(&mut self, n: usize) {
        self.written = (self.written + n).min(self.head + self.body);
    }

    /// Nothing more can be written. What the server has sent may still be read.
    pub fn write_failed(&mut self) {
        self.write_failed = true;
    }

    /// Whether bytes are held back, and all before them are out.
    pub fn is_holding(&self) -> bool {
        let (from, to) = self.writable();
        self.held && !self.early && !self.write_failed && from == to
    }

    /// Lets the rest of the request go.
    pub fn commit(&mut self) {
        self.held = false;
    }

    /// How far the request has come.
    pub fn progress(&self) -> Progress {
        match Progress::of(self.written, self.head, self.body) {
            Progress::Complete if self.open => Progress::PartOfBody,
            progress => progress,
        }
    }

    /// Whether the request may have run, if nothing more happens.
    pub fn execution(&self) -> Execution {
        self.begins.execution(self.progress())
    }

    /// Takes what it can use of the bytes that came. None: it needs more.
    ///
    /// # Errors
    /// There will be no answer on this connection.
    pub fn read(&mut self, buf: &mut BytesMut) -> Result<Option<Event>, Failure> {
        if self.begins.may_answer(self.progress()) {
            return self.decoder.next(buf).map_err(Failure::Malformed);
        }
        let event = self.decoder.next(buf);
        // Interim answers alone say nothing: they may come as soon as a server sees the connection.
        self.early = !buf.is_empty() || self.decoder.has_head();
        // A server may turn a request away before it could have begun with it. All else is not
        // for this request.
        match event {
            Ok(Some(Event::Head(head))) if is_unprocessed_rejection(&head) => {
                Ok(Some(Event::Head(head)))
            }
            Ok(Some(Event::Head(_))) | Err(_) => Err(Failure::Stray),
            Ok(other) => Ok(other),
        }
    }

    /// The server sends no more; `buf` holds nothing that [`Exchange::read`] could use.
    ///
    /// # Errors
    /// There is no whole answer.
    pub fn on_eof(&mut self, buf: &BytesMut) -> Result<Event, Failure> {
        self.decoder.on_eof().map_err(|_| self.failure_on_break(buf))
    }

    /// The connection broke: what to make of it, `buf` being what is not yet used of an answer.
    pub fn failure_on_break(&self, buf: &BytesMut) -> Failure {
        let begun = self.answer_begun(buf);
        if begun { Failure::Malformed(Malformed::Truncated) } else { Failure::Closed }
    }

    /// Whether part of the answer has come, `buf` being what is not yet used of it.
    pub fn answer_begun(&self, buf: &BytesMut) -> bool {
        self.decoder.has_head() || !buf.is_empty()
    }

    /// The whole answer that was read was made for an earlier request: the next one is read in its place.
    pub fn skip_answer(&mut self) {
        self.decoder = Decoder::default();
    }

    /// Whether the whole answer has come.
    pub fn answer_is_complete(&self) -> bool {
        self.decoder.is_complete()
    }

    /// Whether the answer's head has come and says that the connection ends behind it.
    pub fn announces_close(&self) -> bool {
        self.decoder.has_head() && !self.decoder.keeps_alive()
    }

    /// Whether the connection may carry another request: all of both messages is through, the server
    /// keeps it open, and no byte has come beyond the answer.
    pub fn reusable(&self, buf: &BytesMut) -> bool {
        self.decoder.reusable()
            && self.progress() == Progress::Complete
            && buf.is_empty()
            && !self.early
    }
}

/// Whether an answer says that its request was turned away unseen.
pub fn is_unprocessed_rejection(head: &ResponseHead) -> bool {
    matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-unprocessed").is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests;
