//! The world's own records: which requests arrived, where attempts went and whether they may have been executed, and
//! the state of each server. They are derived from the world's events and from the actions that it had to execute.

use std::hash::Hash;

use coppercart::api::{Micros, RequestId, ServerId};

use crate::scenario::RequestKind;

/// The progress of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptProgress {
    /// It is in flight without any answer.
    Out,
    /// Its streaming answer has begun.
    Answering,
    /// It has ended.
    Ended {
        /// Whether it certainly was not executed.
        never_ran: bool,
        /// When it ended.
        at: Micros,
    },
}

/// An attempt of a request.
#[derive(Clone, Debug, Hash)]
pub struct Attempt {
    /// The server that it was sent to.
    pub server: ServerId,
    /// The zone of that server when it was sent.
    pub zone: u8,
    /// When it was sent.
    pub sent: Micros,
    /// When it times out.
    pub until: Micros,
    /// The latest time by which the bytes that trigger its execution are sent, if they are sent at all.
    pub commit_by: Micros,
    /// When its cancellation was requested.
    pub cancelled: Option<Micros>,
    /// Its progress.
    pub course: AttemptProgress,
}

impl Attempt {
    /// Returns whether it has not ended yet.
    pub fn is_out(&self) -> bool {
        !matches!(self.course, AttemptProgress::Ended { .. })
    }

    /// Returns whether it may have been executed, or may still be.
    pub fn may_have_run(&self) -> bool {
        !matches!(self.course, AttemptProgress::Ended { never_ran: true, .. })
    }

    /// Returns the latest time at which its execution can have begun or can still begin.
    pub fn latest_run(&self) -> Micros {
        match self.course {
            AttemptProgress::Ended { at, .. } => self.commit_by.min(at),
            AttemptProgress::Out | AttemptProgress::Answering => self.commit_by,
        }
    }
}

/// A request and its attempts.
#[derive(Clone, Debug, Hash)]
pub struct Request {
    /// The ID that the balancer knows it by.
    pub id: RequestId,
    /// Its kind.
    pub kind: RequestKind,
    /// The deadline of its final answer.
    pub deadline: Micros,
    /// Number of final answers that it has had.
    pub finals: u8,
    /// Whether its client has left.
    pub gone: bool,
    /// The attempt whose streaming answer is being received.
    pub answering: Option<usize>,
    /// The attempt to which its body is being forwarded.
    pub uploading: Option<usize>,
    /// Its attempts, in order.
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns whether it has its answer or its client has left.
    pub fn is_ended(&self) -> bool {
        self.finals > 0 || self.gone
    }

    /// Returns whether its body is still being forwarded; its deadline does not apply during that time.
    pub fn is_uploading(&self) -> bool {
        self.uploading.is_some_and(|n| self.attempts[n].is_out())
    }
}

/// The state of a server in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServerStatus {
    /// It takes new requests.
    Ready,
    /// It drains; discovery reported that at this time.
    Draining(Micros),
    /// It was removed.
    Gone,
}

/// A server.
#[derive(Clone, Debug, Hash)]
pub struct Server {
    /// Its ID, the same at every sidecar.
    pub id: ServerId,
    /// Its zone.
    pub zone: u8,
    /// Its state in discovery.
    pub status: ServerStatus,
    /// When its process started; 0: long ago.
    pub started: Micros,
    /// Number of attempts sent to it since it started.
    pub sends: u32,
}
