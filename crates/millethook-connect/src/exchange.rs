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

    /// More of the body follows: [`Exchange::extend`] counts it as it comes, and the request is not whole
    /// before [`Exchange::finish`].
    pub fn follow(&mut self) {
        self.open = true;
    }

    /// Whether all that there is of the request is out, and more may follow.
    pub fn wants_more(&self) -> bool {
        let out = self.written == self.head + self.body;
        self.open && out && !self.held && !self.early && !self.write_failed
    }

    /// So many bytes more of the body are there.
    pub fn extend(&mut self, n: usize) {
        self.body += n;
    }

    /// No more bytes follow.
    pub fn finish(&mut self) {
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
    pub fn on_trial(&self) -> bool {
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
            Progress::Whole if self.open => Progress::PartOfBody,
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
            Ok(Some(Event::Head(head))) if turns_away(&head) => Ok(Some(Event::Head(head))),
            Ok(Some(Event::Head(_))) | Err(_) => Err(Failure::Stray),
            Ok(other) => Ok(other),
        }
    }

    /// The server sends no more; `buf` holds nothing that [`Exchange::read`] could use.
    ///
    /// # Errors
    /// There is no whole answer.
    pub fn closed(&mut self, buf: &BytesMut) -> Result<Event, Failure> {
        self.decoder.closed().map_err(|_| self.broken(buf))
    }

    /// The connection broke: what to make of it, `buf` being what is not yet used of an answer.
    pub fn broken(&self, buf: &BytesMut) -> Failure {
        let begun = self.answer_begun(buf);
        if begun { Failure::Malformed(Malformed::Truncated) } else { Failure::Closed }
    }

    /// Whether part of the answer has come, `buf` being what is not yet used of it.
    pub fn answer_begun(&self, buf: &BytesMut) -> bool {
        self.decoder.has_head() || !buf.is_empty()
    }

    /// Whether the connection may carry another request: all of both messages is through, the server
    /// keeps it open, and no byte has come beyond the answer.
    pub fn reusable(&self, buf: &BytesMut) -> bool {
        self.decoder.reusable()
            && self.progress() == Progress::Whole
            && buf.is_empty()
            && !self.early
    }
}

/// Whether an answer says that its request was turned away unseen.
pub fn turns_away(head: &ResponseHead) -> bool {
    matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-unprocessed").is_some_and(|v| v == "1")
}

#[cfg(test)]
mod tests {
    use super::*;

    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const AWAY: &str = "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";

    /// An exchange of which so many bytes of a head of 10 and a body of 3 are out.
    fn at(begins: Begins, written: usize) -> Exchange {
        let mut exchange = Exchange::new(begins, 10, 3, false);
        exchange.wrote(written);
        exchange
    }

    fn head(result: Result<Option<Event>, Failure>) -> Option<u16> {
        match result {
            Ok(Some(Event::Head(head))) => Some(head.status.as_u16()),
            _ => None,
        }
    }

    #[test]
    fn an_answer_counts_from_the_commit_point_on() {
        for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
            for written in 0..=13 {
                let mut exchange = at(begins, written);
                let read = exchange.read(&mut BytesMut::from(OK));
                let execution = exchange.execution();
                if written >= commit {
                    assert_eq!(head(read), Some(200), "{begins}: {written}");
                    assert_eq!(execution, Execution::MayHaveRun);
                } else {
                    assert_eq!(read, Err(Failure::Stray), "{begins}: {written}");
                    assert_eq!(execution, Execution::NeverRan);
                    // Nothing goes out any more, so that stays true.
                    assert_eq!(exchange.writable(), (written, written));
                }
            }
        }
    }

    #[test]
    fn a_request_is_turned_away_at_any_point() {
        for begins in [Begins::Head, Begins::Whole] {
            for written in 0..=13 {
                let mut exchange = at(begins, written);
                assert_eq!(head(exchange.read(&mut BytesMut::from(AWAY))), Some(503));
                assert!(!exchange.reusable(&BytesMut::new()));
            }
        }
    }

    #[test]
    fn what_breaks_proves_what_was_written() {
        for (begins, commit) in [(Begins::Head, 10), (Begins::Whole, 13)] {
            for written in 0..=13 {
                let mut exchange = at(begins, written);
                exchange.write_failed();
                assert_eq!(exchange.closed(&BytesMut::new()), Err(Failure::Closed));
                let ran = exchange.execution() == Execution::MayHaveRun;
                assert_eq!(ran, written >= commit, "{begins}: {written}");
            }
        }
    }

    #[test]
    fn an_early_answer_is_read_after_a_failed_write() {
        let mut exchange = at(Begins::Head, 11);
        exchange.write_failed();
        assert_eq!(exchange.writable(), (11, 11));
        let mut buf = BytesMut::from(OK);
        assert_eq!(head(exchange.read(&mut buf)), Some(200));
        assert!(matches!(exchange.read(&mut buf), Ok(Some(Event::Data(_)))));
        assert_eq!(exchange.read(&mut buf), Ok(Some(Event::End)));
        // The body is not out: the connection is given up.
        assert!(!exchange.reusable(&buf));
    }

    #[test]
    fn a_trial_holds_what_could_make_it_run() {
        for (begins, held_at) in [(Begins::Head, 9), (Begins::Whole, 12)] {
            let mut exchange = Exchange::new(begins, 10, 3, true);
            assert_eq!(exchange.writable(), (0, held_at));
            assert!(!exchange.on_trial());
            exchange.wrote(held_at);
            assert!(exchange.on_trial());
            assert_eq!(exchange.execution(), Execution::NeverRan);
            exchange.commit();
            assert_eq!(exchange.writable(), (held_at, 13));
        }
        // Without a body both hold the head's last byte.
        assert_eq!(Exchange::new(Begins::Whole, 10, 0, true).writable(), (0, 9));
    }

    #[test]
    fn a_body_that_follows_is_whole_at_its_end_only() {
        for (begins, early) in [(Begins::Head, true), (Begins::Whole, false)] {
            let mut exchange = Exchange::new(begins, 10, 3, false);
            exchange.follow();
            exchange.wrote(13);
            assert!(exchange.wants_more());
            assert_eq!(exchange.progress(), Progress::PartOfBody);
            assert_eq!(exchange.execution() == Execution::MayHaveRun, early);
            exchange.extend(4);
            assert!(!exchange.wants_more());
            assert_eq!(exchange.writable(), (13, 17));
            exchange.wrote(4);
            assert!(exchange.wants_more());
            exchange.finish();
            assert_eq!(exchange.progress(), Progress::Whole);
            assert_eq!(exchange.execution(), Execution::MayHaveRun);
            assert_eq!(head(exchange.read(&mut BytesMut::from(OK))), Some(200));
        }
    }

    #[test]
    fn bytes_beyond_the_answer_end_a_connection() {
        for (text, reusable) in [(OK.to_owned(), true), (format!("{OK}x"), false)] {
            let mut exchange = at(Begins::Head, 13);
            let mut buf = BytesMut::from(&*text);
            while exchange.read(&mut buf).expect("an answer").is_some() {}
            assert_eq!(exchange.reusable(&buf), reusable, "{text:?}");
        }
    }

    #[test]
    fn an_interim_answer_before_the_commit_point_changes_nothing() {
        let mut exchange = at(Begins::Whole, 11);
        let mut buf = BytesMut::from("HTTP/1.1 100 Continue\r\n");
        assert_eq!(exchange.read(&mut buf), Ok(None));
        // What it is cannot be told yet, so nothing more goes out.
        assert_eq!(exchange.writable(), (11, 11));
        buf.extend_from_slice(b"\r\n");
        assert_eq!(exchange.read(&mut buf), Ok(None));
        assert_eq!(exchange.writable(), (11, 13));
        exchange.wrote(2);
        buf.extend_from_slice(OK.as_bytes());
        assert_eq!(head(exchange.read(&mut buf)), Some(200));
    }
}
