//! Events and actions: the inputs and outputs of the decision module.
//!
//! This module contains no decision logic and does not use the wire format's names.

use smallvec::SmallVec;

/// Microseconds on a monotonic clock with an arbitrary origin.
pub type Micros = u64;

/// Identifies a request within its sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies a server; the same at every sidecar. The value is opaque: only compare and hash it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// The state of a server's process as discovery reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its open requests and must not receive new ones.
    Draining,
    /// No longer listed.
    Gone,
}

/// One entry of a server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// The zone, as an index into the zones of the settings.
    pub zone: u8,
    /// The machine type.
    pub kind: u16,
    /// The cell: a small group of servers that share deduplication state for keyed requests.
    pub cell: u16,
    /// The state of the server's process.
    pub health: Health,
    /// The server's relative capacity as listed.
    /// [`Settings::weight_kind`](crate::settings::Settings::weight_kind) says what the number
    /// means.
    pub power: f32,
    /// When the process last started; 0 if it started long ago.
    pub started: Micros,
}

/// How a server list is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Whole,
    /// The last complete list that this sidecar stored. It may be outdated.
    Remembered,
    /// Only the entries that changed.
    Changes,
    /// A discovery call failed or the subscription broke. The previous list stays in use.
    Failed,
}

/// The values of a load report, in the order of the columns in the settings.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LoadReport(pub SmallVec<[f32; 4]>);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered completely.
    Served,
    /// Answered with an error. The request may have run.
    Error,
    /// Rejected because the server was full. The request never ran.
    Full,
    /// No answer within the attempt's timeout. The request may have run.
    TimedOut,
    /// The connection could not be opened. The request never ran.
    ConnectFailed,
    /// The connection broke. The request may have run.
    Reset,
    /// Ended by an [`Action::Cancel`]. The request may have run.
    Cancelled,
    /// The attempt was never sent. The request never ran.
    NeverSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// The request.
    pub id: RequestId,
    /// The class, as an index into [`Settings::classes`](crate::settings::Settings::classes).
    pub class: usize,
    /// The tenant, as an index into the tenants of the settings.
    pub tenant: usize,
    /// Identifies what the request is about; 0 if unknown.
    pub key: u64,
    /// How much longer the client waits.
    pub time_left: Micros,
    /// The client's estimate of the work.
    pub work_hint: Option<Micros>,
    /// Whether the client marked the request as a retry. Set only where clients mark retries.
    pub client_retry: bool,
}

/// Input of the decision module. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery delivered a server list.
    Servers {
        /// How the entries are applied.
        kind: ListKind,
        /// The servers.
        entries: &'a [ServerEntry],
    },
    /// A client sent a request.
    Request(NewRequest),
    /// A streaming answer has begun. From now on the request belongs to this attempt.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// The head of an answer that can be passed on has arrived, and its body has not arrived completely.
    AnswerBegun {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// The client's time is up while an answer that has begun is still arriving.
    AnswerOverdue {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// An answer that has begun pauses for long. It may still be completed.
    AnswerPaused {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// An attempt has ended.
    Answer {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time from the send to the end of the attempt.
        latency: Micros,
        /// Whether the request has its final answer, by this outcome or an earlier one.
        finished: bool,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// The client disconnected or its deadline has passed.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer that [`Action::Timer`] set has expired.
    Timer {
        /// The token of the timer.
        token: u32,
    },
    /// A probe has ended.
    Probed {
        /// The probed server.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The duration of the probe.
        latency: Micros,
        /// The load report that came with the answer.
        report: LoadReport,
    },
    /// Another sidecar sent a message.
    Note {
        /// The number of the sending sidecar.
        from: u32,
        /// The content of the message.
        data: &'a [u8],
    },
    /// The fleet's verdict on a server has changed. Sent only where sidecars share their evidence.
    ServerVerdict {
        /// The server.
        server: ServerId,
        /// The new verdict.
        verdict: ServerVerdict,
    },
}

/// What the sidecars of a fleet conclude about a server from their shared evidence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerVerdict {
    /// Nothing is held against the server.
    #[default]
    Trusted,
    /// Several sidecars got no answer since the last time that any of them got one.
    Suspected,
    /// Discovery told one of the sidecars that the server is leaving.
    Leaving,
}

/// Output of the decision module. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. The attempts of a request are numbered from 0 in the order of
    /// these actions.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Without an answer after this time, the attempt ends as [`Outcome::TimedOut`].
        timeout: Micros,
        /// The part of the request that makes it run has to be written within this time, or not at
        /// all.
        commit_within: Micros,
    },
    /// Cancel an open attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// Pass on the answer of an attempt as it arrives, beginning now. [`Event::FirstByte`] follows, or the end of the
    /// attempt if there is nothing to pass on. Returned only after [`Event::AnswerBegun`].
    PassOn {
        /// The request.
        id: RequestId,
        /// The index of the attempt, from 0.
        attempt: usize,
    },
    /// Final answer: refused. A retry by the client is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When the client should retry; 0 if it is not told.
        retry_after: Micros,
    },
    /// Final answer: failed. Nothing is promised about a retry.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Set a timer that ends in an [`Event::Timer`].
    Timer {
        /// The time until the timer expires.
        delay: Micros,
        /// The token that the event returns.
        token: u32,
    },
    /// Probe a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Subscribe to list changes from discovery.
    Subscribe,
    /// Fetch the complete list from discovery once.
    FetchList,
    /// Send a message to other sidecars.
    Tell {
        /// The number of the receiving sidecar, or [`ALL_PEERS`](crate::wire::ALL_PEERS).
        peer: u32,
        /// The content of the message.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The text of the line.
        text: String,
    },
}
