//! Whether a whole answer was made for its request, or may be a second copy of an earlier one.
//!
//! An answer does not name its request. A server that answers twice may send the second copy only once the next request
//! on the connection has begun; the true answer then follows it. A connection that carries its first answer has no
//! earlier one. On a used one it depends on [`Reuse`](millethook_connect::pool::Reuse):
//!
//! - Proven: the request asks for the connection's end, and only an answer that announces the end is its own. An earlier
//!   answer that had announced it would have been the connection's last one.
//! - Unlimited: bytes behind the answer are looked at, and where the server has proven nothing yet, the connection is
//!   ended, so that all that the server has to send is here before the answer is served. That is for requests that may
//!   be repeated; others are held back before their last byte more often, and a doubt would leave them failed. A server
//!   that was well and turns bad, and one that drops its work when our side ends, get an earlier answer through.

use std::future::poll_fn;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use coppercart::api::ServerId;
use http::StatusCode;
use millethook_connect::facts::Caught;
use millethook_connect::request::Persistence;
use millethook_connect::response::is_other_answer;
use millethook_connect::{Event, Execution, Progress, ResponseHead};
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::running::Broken;
use super::{AttemptRequest, Running, Upstream, WHOLE};

/// How many answers to earlier requests may come ahead of a request's own. A connection has carried one.
const MOST_SKIPPED: usize = 2;

/// The first bytes of a request call forth no answer that takes longer than this.
const QUICK_ANSWER: Duration = Duration::from_millis(20);
/// How long a server may take to end its side of a connection once the other side has ended.
const SERVER_END: Duration = Duration::from_millis(100);
/// The share of the time that is left which that may take.
const SERVER_END_SHARE: u32 = 4;

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
        let announced = running.exchange.announces_end();
        // Before that the server has not seen what the request asks for.
        if running.exchange.execution() == Execution::MayHaveRun {
            self.pool.borrow_mut().end_was_asked(running.lease.server(), announced, Instant::now());
        }
        announced || !running.lease.is_used()
    }

    /// Whether a whole answer is its request's own, as far as can be told. Gives the connection back, or ends it.
    pub(super) async fn is_own_answer(
        &self,
        mut running: Running,
        request: &AttemptRequest,
        status: StatusCode,
        body: &[u8],
        until: Instant,
    ) -> bool {
        match running.persistence {
            Persistence::KeepAlive if !running.lease.is_used() => {
                running.end();
                true
            }
            Persistence::KeepAlive => {
                self.is_likely_own(running, request, status, body, until).await
            }
            Persistence::Close => {
                let used = running.lease.is_used();
                if used && self.is_contradicted(&mut running, status, body) {
                    return false;
                }
                running.end();
                true
            }
        }
    }

    /// Whether an answer on a used connection that goes on is likely its request's own.
    async fn is_likely_own(
        &self,
        mut running: Running,
        request: &AttemptRequest,
        status: StatusCode,
        body: &[u8],
        until: Instant,
    ) -> bool {
        let server = running.lease.server();
        let ended = request.repeatable && self.is_in_doubt(&running, server);
        if ended {
            if let Some(connection) = running.lease.connection() {
                connection.finish_writing();
            }
            let left = until.saturating_duration_since(Instant::now());
            // A server that does not end its side has at least sent nothing more in that time.
            running.server_end(SERVER_END.min(left / SERVER_END_SHARE)).await;
        }
        if self.is_contradicted(&mut running, status, body) {
            return false;
        }
        if ended {
            running.lease.close();
        } else {
            running.end();
        }
        true
    }

    /// Whether another answer that differs stands behind this one. The server is caught with it.
    fn is_contradicted(&self, running: &mut Running, status: StatusCode, body: &[u8]) -> bool {
        let Some(connection) = running.lease.connection() else { return true };
        let other = is_other_answer(connection.buf.clone(), status, body);
        if other {
            let server = running.lease.server();
            self.pool.borrow_mut().caught(server, Caught::Stray, Instant::now());
        }
        other
    }

    fn is_in_doubt(&self, running: &Running, server: ServerId) -> bool {
        running.exchange.progress() == Progress::Whole
            && running.began.elapsed() < QUICK_ANSWER
            && self.pool.borrow().answers_in_doubt(server, Instant::now())
    }
}

impl Running {
    /// The exchange is over: the connection rests, if it may be used again, or is closed.
    ///
    /// One whose end was asked for never rests, whatever the server says of it by now: a request behind that one could
    /// be dropped, and a copy of the answer could announce the end that was asked for.
    pub(in crate::upstream) fn end(self) {
        match self.persistence {
            Persistence::KeepAlive => self.lease.end(&self.exchange),
            Persistence::Close => drop(spawn_local(self.close_after_server())),
        }
    }

    /// Reads to the end of an answer that belongs to an earlier request; the head of the one behind it.
    async fn next_head(&mut self) -> Result<ResponseHead, Broken> {
        let mut left = WHOLE;
        while let Event::Data(piece) = self.event(false).await? {
            left = left.checked_sub(piece.len()).ok_or(Broken)?;
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
        if self.exchange.announces_end() {
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
