//! Whether an answer was made for its request, or is a second copy of an earlier one.
//!
//! An answer does not name its request. A server that answers twice may send the second copy only once the next request
//! on the connection has begun; the true answer then follows it. A connection that carries its first answer has no
//! earlier one. On a used one it depends on [`Matching`]:
//!
//! - By its end: the request asks for the connection's end, and only an answer that announces the end is its own. An
//!   earlier answer that had announced it would have been the connection's last one.
//! - By its content: an answer that equals an earlier one on its connection is skipped. A request that must not run twice
//!   waits for the one behind it; another one is repeated on a new connection. Each answer on the connection so far was
//!   its request's own, so one that differs from all of them is no copy.
//! - On trust: it is its request's own.
//!
//! In each case bytes behind the answer are looked at: where another answer that differs is there already, neither is
//! served.

use std::future::poll_fn;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use coppercart::api::ServerId;
use http::StatusCode;
use millethook_connect::answers::{Fingerprint, SeenAnswers};
use millethook_connect::observations::ConnectionFault;
use millethook_connect::pool::Matching;
use millethook_connect::request::Persistence;
use millethook_connect::response::is_different_answer;
use millethook_connect::{Event, Execution, ResponseHead};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::held::Held;
use super::running::Broken;
use super::{Running, Upstream, WHOLE};

/// How many answers to earlier requests may come ahead of a request's own.
pub(super) const MOST_SKIPPED: usize = 2;

/// How long a server may take to end its side of a connection whose end was asked for.
const SERVER_END: Duration = Duration::from_millis(100);

/// Whose answer one is.
pub(super) enum Verdict {
    /// Its request's own, and what it is remembered by.
    Own(Fingerprint),
    /// An earlier request's, for all that can be told: it equals that one's.
    Copy(Fingerprint),
    /// Nobody knows: another one that differs stands behind it.
    Contradicted,
}

impl Upstream {
    /// The head of the request's own answer, `head` being the first that came. Answers to earlier requests are skipped.
    ///
    /// Without this a second copy of an earlier answer would be passed on, or, where it turned that request away, taken
    /// for a proof that this one never ran.
    ///
    /// # Errors
    /// Too many answers came ahead, the connection broke, or an earlier answer came while the request was held back:
    /// nothing more of it goes out then, and no answer of its own comes.
    pub(super) async fn own_head(
        &self,
        mut running: Running,
        mut head: ResponseHead,
    ) -> Result<(Running, ResponseHead), Running> {
        for skipped in 0.. {
            if self.is_own_head(&running) {
                return Ok((running, head));
            }
            let never_ran = running.exchange.execution() == Execution::NeverRan;
            if never_ran || skipped == MOST_SKIPPED {
                break;
            }
            match running.next_head().await {
                Ok(next) => head = next,
                Err(Broken) => break,
            }
        }
        Err(running)
    }

    /// Whether an answer's head may be that of its request, as far as the head tells. Takes note of whether the server
    /// announces the end of a connection that was asked for.
    fn is_own_head(&self, running: &Running) -> bool {
        if running.persistence == Persistence::KeepAlive {
            return true;
        }
        let announced = running.exchange.announces_close();
        // Before that the server has not seen what the request asks for.
        if running.exchange.execution() == Execution::MayHaveRun {
            self.pool.borrow_mut().record_close_request(
                running.lease.server(),
                announced,
                Instant::now(),
            );
        }
        announced || !running.lease.is_used()
    }

    /// Whose answer it is, as far as can be told. `class`: that of the request; None for a page of the server's own.
    pub(super) fn judge(
        &self,
        running: &mut Running,
        class: Option<usize>,
        status: StatusCode,
        held: &Held,
    ) -> Verdict {
        let answer = self.fingerprints.fingerprint(status, held.bytes());
        let is_compared = running.matching == Matching::DistinctContent
            && running.persistence == Persistence::KeepAlive;
        if is_compared && running.lease.has_carried(answer) {
            self.note(class, SeenAnswers::record_equal);
            return Verdict::Copy(answer);
        }
        if let Held::Whole(body) = held
            && running.lease.is_used()
            && self.is_contradicted(running, status, body)
        {
            return Verdict::Contradicted;
        }
        let server = running.lease.server();
        self.note(class, |answers, class| answers.observe(class, answer, server));
        Verdict::Own(answer)
    }

    /// The head of the answer behind a copy. The server is caught with it. Without an answer behind it, it was none: answers
    /// of the class are equal.
    ///
    /// # Errors
    /// There is no other answer.
    pub(super) async fn head_behind_copy(
        &self,
        running: &mut Running,
        class: Option<usize>,
    ) -> Result<ResponseHead, Broken> {
        let head = running.next_head().await?;
        self.was_copy(running.lease.server(), class);
        Ok(head)
    }

    /// The last answer that equalled an earlier one was no answer to its request: the server is caught with a copy.
    pub(super) fn was_copy(&self, server: ServerId, class: Option<usize>) {
        self.note(class, SeenAnswers::record_copy);
        self.pool.borrow_mut().record_fault(server, ConnectionFault::StrayBytes, Instant::now());
    }

    /// Takes note of an answer to a request of a class.
    fn note(
        &self,
        class: Option<usize>,
        of: impl FnOnce(&mut SeenAnswers<usize, ServerId>, usize),
    ) {
        if let Some(class) = class {
            of(&mut self.answers.borrow_mut(), class);
        }
    }

    /// Whether another answer that differs stands behind this one. The server is caught with it.
    fn is_contradicted(&self, running: &mut Running, status: StatusCode, body: &[u8]) -> bool {
        let Some(connection) = running.lease.connection() else { return true };
        let other = is_different_answer(connection.buf.clone(), status, body);
        if other {
            let server = running.lease.server();
            self.pool.borrow_mut().record_fault(
                server,
                ConnectionFault::StrayBytes,
                Instant::now(),
            );
        }
        other
    }
}

impl Running {
    /// The exchange is over: the connection rests, if it may be used again, or is closed.
    ///
    /// One whose end was asked for never rests, whatever the server says of it by now: a request behind that one could
    /// be dropped, and a copy of the answer could announce the end that was asked for. Nor does one whose answer is not
    /// remembered: a copy of that would be taken for the next request's answer.
    pub(in crate::upstream) fn end(self) {
        match (self.persistence, self.answer) {
            (Persistence::KeepAlive, Some(answer)) => self.lease.end(&self.exchange, answer),
            (Persistence::KeepAlive, None) => self.lease.close(),
            (Persistence::Close, _) => drop(spawn_local(self.close_after_server())),
        }
    }

    /// Reads to the end of an answer that belongs to an earlier request; the head of the one behind it.
    async fn next_head(&mut self) -> Result<ResponseHead, Broken> {
        let mut left = WHOLE;
        while !self.exchange.answer_is_complete() {
            if let Event::Data(piece) = self.event(false).await? {
                left = left.checked_sub(piece.len()).ok_or(Broken)?;
            }
        }
        self.exchange.skip_answer();
        match self.event(false).await? {
            Event::Head(head) => Ok(head),
            Event::Data(_) | Event::End => Err(Broken),
        }
    }

    /// Closes the connection once the server has ended its side. The side that ends first keeps the port occupied for a
    /// minute or more, and of ports to one server a client has some 28,000.
    async fn close_after_server(mut self) {
        if self.exchange.announces_close() {
            self.server_end(SERVER_END).await;
        }
        self.lease.close();
    }

    /// Reads what the server still sends until it ends its side, or for so long.
    async fn server_end(&mut self, patience: Duration) {
        let _ = timeout(patience, poll_fn(|cx| self.poll_end(cx))).await;
    }

    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(connection) = self.lease.connection() else { return Poll::Ready(()) };
        while connection.buf.len() <= WHOLE {
            match ready!(connection.poll_read(cx)) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        Poll::Ready(())
    }
}
