//! Whether a whole answer was made for its request, or may be a second copy of an earlier one.
//!
//! An answer does not name its request. A server that answers twice may send the second copy only once the next request
//! on the connection has begun; the true answer then follows it. A connection that carries its first answer has no
//! earlier one. On a used one, bytes behind the answer are looked at, and where the server has proven nothing yet, the
//! connection is ended, so that all that the server has to send is here before the answer is served. That is for requests
//! that may be repeated; others are held back before their last byte more often, and a doubt would leave them failed.

use std::future::poll_fn;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use coppercart::api::ServerId;
use http::StatusCode;
use millethook_connect::Progress;
use millethook_connect::facts::Caught;
use millethook_connect::response::is_other_answer;
use tokio::time::timeout;

use super::{AttemptRequest, Running, Upstream, WHOLE};

/// The first bytes of a request call forth no answer that takes longer than this.
const QUICK_ANSWER: Duration = Duration::from_millis(20);
/// How long a server may take to end its side of a connection once the other side has ended.
const SERVER_END: Duration = Duration::from_millis(100);
/// The share of the time that is left which that may take.
const SERVER_END_SHARE: u32 = 4;

impl Upstream {
    /// Whether a whole answer is its request's own, as far as can be told. Gives the connection back, or ends it.
    pub(super) async fn is_own_answer(
        &self,
        mut running: Running,
        request: &AttemptRequest,
        status: StatusCode,
        body: &[u8],
        until: Instant,
    ) -> bool {
        if !running.lease.is_used() {
            running.lease.end(&running.exchange);
            return true;
        }
        let server = running.lease.server();
        let ended = request.repeatable && self.is_in_doubt(&running, server);
        if ended {
            let left = until.saturating_duration_since(Instant::now());
            let patience = SERVER_END.min(left / SERVER_END_SHARE);
            // A server that does not end its side has at least sent nothing more in that time.
            let _ = timeout(patience, poll_fn(|cx| running.poll_end(cx))).await;
        }
        let Some(behind) = running.lease.connection().map(|connection| connection.buf.clone())
        else {
            return false;
        };
        if is_other_answer(behind, status, body) {
            self.pool.borrow_mut().caught(server, Caught::Stray, Instant::now());
            return false;
        }
        if ended {
            running.lease.close();
        } else {
            running.lease.end(&running.exchange);
        }
        true
    }

    fn is_in_doubt(&self, running: &Running, server: ServerId) -> bool {
        running.exchange.progress() == Progress::Whole
            && running.began.elapsed() < QUICK_ANSWER
            && self.pool.borrow().answers_in_doubt(server, Instant::now())
    }
}

impl Running {
    /// Ends the sending side and reads until the server has ended its own.
    fn poll_end(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(connection) = self.lease.connection() else { return Poll::Ready(()) };
        connection.finish_writing();
        while connection.buf.len() <= WHOLE {
            match ready!(connection.poll_read(cx)) {
                Ok(0) | Err(_) => break,
                Ok(_) => {}
            }
        }
        Poll::Ready(())
    }
}
