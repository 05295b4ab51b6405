//! Requests in the driver: their properties and their state.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coppercart::api::{Micros, RequestId};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::Driver;
use super::attempts::PASS_ON_TIMEOUT;
use crate::upstream::{AnswerHead, AttemptRequest, Caller};

/// Properties of a client's request.
pub struct RequestHead {
    /// The index of its class in the settings.
    pub class: usize,
    /// Whether its class allows a retry after it may have run.
    pub repeatable: bool,
    /// Whether its answer may be long.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// The index of its tenant in the settings.
    pub tenant: usize,
    /// A key of the object that it concerns. 0: unknown.
    pub key: u64,
    /// How long the client will wait.
    pub left: Duration,
    /// The client's estimate of the work.
    pub hint: Option<Micros>,
    /// Whether the client has sent it before.
    pub repeat: bool,
}

/// The final answer to a request.
pub enum Reply {
    /// A complete answer of a server.
    Served(AnswerHead, Bytes),
    /// An answer of a server that is still arriving.
    Streaming(StreamingReply),
    /// The request was refused; a retry is harmless.
    Refused {
        /// When to retry, if the client is told.
        retry_after: Option<Duration>,
        /// An attempt may have run, which is harmless for its class.
        may_have_run: bool,
    },
    /// The request failed; it may have run.
    Failed,
}

/// A long answer on its way to the client.
pub struct StreamingReply {
    /// Status and header fields.
    pub head: AnswerHead,
    /// The length, if the server announced it.
    pub length: Option<u64>,
    /// The pieces of the body. They end with `Some(None)` only if the answer is complete.
    pub pieces: mpsc::Receiver<Option<Bytes>>,
}

/// A request that the driver has accepted. Dropping it before its final answer is written means that the client is
/// gone.
pub struct Ticket {
    pub(super) id: RequestId,
    pub(super) driver: Rc<Driver>,
    /// Receives the final answer.
    pub(super) reply: oneshot::Receiver<Reply>,
}

impl Ticket {
    /// Waits for the final answer.
    pub async fn reply(&mut self) -> Reply {
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }

    /// Ends a request whose time is up while its body is still being sent: an answer that has begun is passed on,
    /// and otherwise the request has failed.
    pub async fn overdue_reply(&mut self) -> Reply {
        if !self.driver.upload_overdue(self.id) {
            return Reply::Failed;
        }
        timeout(PASS_ON_TIMEOUT, self.reply()).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.client_gone(self.id);
    }
}

/// A request that the driver still tracks.
pub(super) struct PendingRequest {
    /// The index of its class in the settings.
    pub class: usize,
    /// Who has to be there still as an attempt begins.
    pub caller: Option<Rc<dyn Caller>>,
    /// Sends the final answer; `None` once it has been used or the client is gone.
    pub reply: Option<oneshot::Sender<Reply>>,
    /// `None` once no further attempt can need it.
    pub attempt_request: Option<Rc<AttemptRequest>>,
    /// For each attempt in flight, the channel that cancels it.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
    /// The attempt that streams the body.
    pub uploading: Option<usize>,
    /// The attempt whose long answer is passed on.
    pub streaming: Option<usize>,
    /// An attempt that has ended may have run.
    pub ended_attempt_may_have_run: bool,
}

impl PendingRequest {
    /// Prevents further attempts: the request has its answer, or its client is gone.
    pub fn withdraw(&mut self) {
        if let Some(attempt_request) = self.attempt_request.take() {
            attempt_request.withdrawn.set(true);
        }
    }

    /// Whether nothing more is passed to the client.
    pub fn is_closed(&self) -> bool {
        self.reply.is_none() && self.streaming.is_none()
    }

    /// Whether an attempt has run or may still run, as far as is known.
    pub fn may_have_run(&self) -> bool {
        self.ended_attempt_may_have_run || self.attempts.iter().any(Option::is_some)
    }

    /// Whether the request is closed and all its attempts have ended.
    pub fn is_finished(&self) -> bool {
        self.is_closed() && self.attempts.iter().all(Option::is_none)
    }
}
