//! Decides whether an answer was made for its request, or is a duplicate of an earlier one.
//!
//! An answer does not name its request. A server that answers twice may send the duplicate only once the next request
//! on the connection has begun; the real answer then follows it. A connection that carries its first answer has no
//! earlier one. On a used connection, it depends on [`Matching`]:
//!
//! - By its end: the request asks to close the connection, and only an answer that announces the close belongs to it.
//!   An earlier answer that announced the close would have been the connection's last one.
//! - By its content: an answer equal to an earlier one on its connection is skipped. A request that must not run
//!   twice waits for the answer behind it; any other request is retried on a new connection. Each earlier answer on
//!   the connection belonged to its request, so an answer that differs from all of them is no duplicate.
//! - On trust: it belongs to its request.
//!
//! In each case the bytes behind the answer are checked: if a different answer has already arrived there, neither is
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

use super::active::IncompleteAnswer;
use super::buffered::BufferedAnswer;
use super::{ActiveRequest, MAX_BUFFERED_BYTES, Upstream};

/// How many answers to earlier requests may precede a request's own answer.
pub(super) const MAX_SKIPPED_ANSWERS: usize = 2;

/// How long a server may take to close its side of a connection after it was asked to.
const SERVER_CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Which request an answer belongs to.
pub(super) enum AnswerOrigin {
    /// Its own request. The fingerprint identifies the answer.
    Own(Fingerprint),
    /// Probably an earlier request: it equals that request's answer.
    Duplicate(Fingerprint),
    /// Unknown: a different answer has arrived behind it.
    Ambiguous,
}

impl Upstream {
    /// Returns the head of the request's own answer; `head` is the first one that arrived. Answers to earlier
    /// requests are skipped.
    ///
    /// Without this, a duplicate of an earlier answer would be passed on. If it had rejected the earlier request, it
    /// would be taken as proof that this one never ran.
    ///
    /// # Errors
    /// Too many answers came first, the connection broke, or an earlier answer came while the request was held back:
    /// then nothing more of the request is written, and it gets no answer of its own.
    pub(super) async fn own_head(
        &self,
        mut active: ActiveRequest,
        mut head: ResponseHead,
    ) -> Result<(ActiveRequest, ResponseHead), ActiveRequest> {
        for skipped in 0.. {
            if self.is_own_head(&active) {
                return Ok((active, head));
            }
            let never_ran = active.exchange.execution() == Execution::NeverRan;
            if never_ran || skipped == MAX_SKIPPED_ANSWERS {
                break;
            }
            match active.next_head().await {
                Ok(next) => head = next,
                Err(IncompleteAnswer) => break,
            }
        }
        Err(active)
    }

    /// Whether an answer can belong to its request, judged by its head. Also records whether the server announces a
    /// close that was asked for.
    fn is_own_head(&self, active: &ActiveRequest) -> bool {
        if active.persistence == Persistence::KeepAlive {
            return true;
        }
        let announced = active.exchange.announces_close();
        // Before that, the server has not seen that the request asks for the close.
        if active.exchange.execution() == Execution::MayHaveRun {
            self.pool.borrow_mut().record_close_request(
                active.guard.server(),
                announced,
                Instant::now(),
            );
        }
        announced || !active.guard.is_used()
    }

    /// Decides which request the answer belongs to. `class`: the class of the request; `None` for internal requests.
    pub(super) fn answer_origin(
        &self,
        active: &mut ActiveRequest,
        class: Option<usize>,
        status: StatusCode,
        buffered: &BufferedAnswer,
    ) -> AnswerOrigin {
        let answer = self.fingerprints.fingerprint(status, buffered.bytes());
        let is_compared = active.matching == Matching::DistinctContent
            && active.persistence == Persistence::KeepAlive;
        if is_compared && active.guard.has_carried(answer) {
            self.record_answer(class, SeenAnswers::record_equal);
            return AnswerOrigin::Duplicate(answer);
        }
        if let BufferedAnswer::Complete(body) = buffered
            && active.guard.is_used()
            && self.has_conflicting_answer(active, status, body)
        {
            return AnswerOrigin::Ambiguous;
        }
        let server = active.guard.server();
        self.record_answer(class, |answers, class| answers.observe(class, answer, server));
        AnswerOrigin::Own(answer)
    }

    /// Returns the head of the answer behind a duplicate, and records that the server sends duplicates. If no answer
    /// follows, it was no duplicate: answers of the class are equal.
    ///
    /// # Errors
    /// No other answer follows.
    pub(super) async fn head_behind_duplicate(
        &self,
        active: &mut ActiveRequest,
        class: Option<usize>,
    ) -> Result<ResponseHead, IncompleteAnswer> {
        let head = active.next_head().await?;
        self.record_duplicate(active.guard.server(), class);
        Ok(head)
    }

    /// The last answer that equalled an earlier one was a duplicate: records that for its class and its server.
    pub(super) fn record_duplicate(&self, server: ServerId, class: Option<usize>) {
        self.record_answer(class, SeenAnswers::record_copy);
        self.pool.borrow_mut().record_fault(server, ConnectionFault::StrayBytes, Instant::now());
    }

    /// Records an observation about answers of a class.
    fn record_answer(
        &self,
        class: Option<usize>,
        record: impl FnOnce(&mut SeenAnswers<usize, ServerId>, usize),
    ) {
        if let Some(class) = class {
            record(&mut self.answers.borrow_mut(), class);
        }
    }

    /// Whether a different answer has arrived behind this one. If so, records that the server sent stray bytes.
    fn has_conflicting_answer(
        &self,
        active: &mut ActiveRequest,
        status: StatusCode,
        body: &[u8],
    ) -> bool {
        let Some(connection) = active.guard.connection() else { return true };
        let other = is_different_answer(connection.buf.clone(), status, body);
        if other {
            let server = active.guard.server();
            self.pool.borrow_mut().record_fault(
                server,
                ConnectionFault::StrayBytes,
                Instant::now(),
            );
        }
        other
    }
}

impl ActiveRequest {
    /// Ends the exchange: the connection becomes idle if it can be reused, otherwise it is closed.
    ///
    /// A connection that the request asked to close is never reused, whatever the server says: a further request on
    /// it could be dropped, and a duplicate of this answer would announce the close that the next request asks for. A
    /// connection whose answer has no fingerprint is not reused either: a duplicate of it would be taken for the
    /// answer to the next request.
    pub(in crate::upstream) fn finish(self) {
        match (self.persistence, self.answer) {
            (Persistence::KeepAlive, Some(answer)) => self.guard.finish(&self.exchange, answer),
            (Persistence::KeepAlive, None) => self.guard.close(),
            (Persistence::Close, _) => drop(spawn_local(self.close_after_server())),
        }
    }

    /// Reads to the end of an answer to an earlier request and returns the head of the next one.
    async fn next_head(&mut self) -> Result<ResponseHead, IncompleteAnswer> {
        let mut remaining = MAX_BUFFERED_BYTES;
        while !self.exchange.answer_is_complete() {
            if let Event::Data(piece) = self.event().await? {
                remaining = remaining.checked_sub(piece.len()).ok_or(IncompleteAnswer)?;
            }
        }
        self.exchange.skip_answer();
        match self.event().await? {
            Event::Head(head) => Ok(head),
            Event::Data(_) | Event::End => Err(IncompleteAnswer),
        }
    }

    /// Closes the connection after the server has closed its side. The side that closes first keeps the port occupied
    /// for a minute or more, and a client has only some 28,000 ports for one server.
    async fn close_after_server(mut self) {
        if self.exchange.announces_close() {
            self.wait_for_server_close(SERVER_CLOSE_TIMEOUT).await;
        }
        self.guard.close();
    }

    /// Reads and drops what the server sends until it closes its side, at most for `close_timeout`.
    async fn wait_for_server_close(&mut self, close_timeout: Duration) {
        let _ = timeout(close_timeout, poll_fn(|cx| self.poll_server_close(cx))).await;
    }

    fn poll_server_close(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(connection) = self.guard.connection() else { return Poll::Ready(()) };
        while connection.buf.len() <= MAX_BUFFERED_BYTES {
            match ready!(connection.poll_read(cx)) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        Poll::Ready(())
    }
}
