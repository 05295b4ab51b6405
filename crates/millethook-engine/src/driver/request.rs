//! Requests as the driver has them: what they ask for, what becomes of them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use coppercart::api::{Micros, RequestId};
use tokio::sync::{mpsc, oneshot};

use super::Driver;
use crate::upstream::{AnswerHead, AttemptRequest};

/// What a client's request says of itself.
pub struct RequestHead {
    /// Its class's place in the settings.
    pub class: usize,
    /// Whether its class may be sent again once it may have run.
    pub repeatable: bool,
    /// Whether its answer may be long.
    pub streaming: bool,
    /// Answers within this time count in full.
    pub aim: Duration,
    /// Its tenant's place in the settings.
    pub tenant: usize,
    /// What it is about; 0: unknown.
    pub key: u64,
    /// How long the client will wait.
    pub left: Duration,
    /// The client's guess at the work.
    pub hint: Option<Micros>,
    /// A client's repeat.
    pub repeat: bool,
}

/// The final answer to a request.
pub enum Reply {
    /// A server's answer, whole.
    Served(AnswerHead, Bytes),
    /// A server's answer that is still coming in.
    Streaming(StreamingReply),
    /// Trying again is harmless.
    Refused {
        /// When to, if told.
        retry_after: Option<Duration>,
        /// Some attempt may have run, which for its class does no harm.
        may_have_run: bool,
    },
    /// No promise: it may have run.
    Failed,
}

/// A long answer as the client gets it.
pub struct StreamingReply {
    /// Its head.
    pub head: AnswerHead,
    /// Its length, if it was announced.
    pub length: Option<u64>,
    /// Its pieces. They end with `Ok(None)` if the answer is whole.
    pub pieces: mpsc::Receiver<Option<Bytes>>,
}

/// A request that the driver has taken. Dropping it before its final answer is written means that
/// the client has gone.
pub struct Ticket {
    pub(super) id: RequestId,
    pub(super) driver: Rc<Driver>,
    pub(super) reply: oneshot::Receiver<Reply>,
}

impl Ticket {
    /// The final answer.
    pub async fn reply(&mut self) -> Reply {
        (&mut self.reply).await.unwrap_or(Reply::Failed)
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.client_gone(self.id);
    }
}

pub(super) struct Pending {
    /// Its class's place in the settings.
    pub class: usize,
    pub reply: Option<oneshot::Sender<Reply>>,
    /// None once no further attempt can need it.
    pub spec: Option<Rc<AttemptRequest>>,
    /// What calls off each attempt that is out.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
    /// The attempt to which the body is being passed on.
    pub uploading: Option<usize>,
    /// The attempt whose long answer is being passed on.
    pub streaming: Option<usize>,
    /// An attempt that is over may have run.
    pub touched: bool,
}

impl Pending {
    /// No attempt may begin any more: it has its answer, or its client has gone.
    pub fn withdraw(&mut self) {
        if let Some(spec) = self.spec.take() {
            spec.withdrawn.set(true);
        }
    }

    pub fn ended(&self) -> bool {
        self.reply.is_none() && self.streaming.is_none()
    }

    /// Whether some attempt has run or may yet, for all that is known.
    pub fn may_have_run(&self) -> bool {
        self.touched || self.attempts.iter().any(Option::is_some)
    }

    pub fn forgettable(&self) -> bool {
        self.ended() && self.attempts.iter().all(Option::is_none)
    }
}
