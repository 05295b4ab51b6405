//! The steps that can happen next in the balancer's environment.

use std::fmt;

/// The outcome of an attempt, as the world knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ending {
    /// It was executed, and its answer arrived.
    Served,
    /// It was executed, and an error answer arrived.
    Error,
    /// The server rejected it without executing it.
    Full,
    /// The connection failed, so nothing was sent.
    ConnectFailed,
    /// The connection broke. It counts as executed.
    Reset,
    /// It was withheld before it could be executed.
    Moot,
    /// No answer arrived before its timeout. It counts as executed.
    TimedOut,
    /// Its cancellation is confirmed. It counts as executed.
    Cancelled,
}

impl Ending {
    /// The outcomes that are possible at any time while an attempt is in flight.
    pub const AT_ANY_TIME: [Ending; 6] = [
        Ending::Served,
        Ending::Error,
        Ending::Full,
        Ending::ConnectFailed,
        Ending::Reset,
        Ending::Moot,
    ];

    /// Returns whether the attempt certainly was not executed. All other attempts are assumed to have been executed,
    /// which is the worst case.
    pub fn proves_not_run(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// A change of the server list, reported when it happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListChange {
    /// The server drains.
    Drains,
    /// A whole list without the server is reported.
    Unlisted,
    /// A change reports that the server was removed.
    Gone,
    /// The server is ready again, as a new process.
    ReturnsCold,
    /// The server is removed, and a new server replaces it.
    Replaced,
    /// The server stays ready, but as a new process.
    Restarted,
}

impl ListChange {
    /// All list changes.
    pub const ALL: [ListChange; 6] = [
        ListChange::Drains,
        ListChange::Unlisted,
        ListChange::Gone,
        ListChange::ReturnsCold,
        ListChange::Replaced,
        ListChange::Restarted,
    ];
}

/// One step. Requests, attempts and servers are identified by their index, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// Time advances to the next relevant time.
    Advance,
    /// The first of the due timers expires.
    Timer,
    /// The next request arrives.
    Arrive,
    /// An attempt ends.
    End {
        /// The request.
        request: usize,
        /// The attempt.
        attempt: usize,
        /// Its outcome.
        ending: Ending,
    },
    /// The streaming answer of an attempt begins. It is the request's final answer.
    AnswerBegins {
        /// The request.
        request: usize,
        /// The attempt.
        attempt: usize,
    },
    /// Forwarding of the request's body to an attempt begins, so that no other attempt can get the body.
    UploadBegins {
        /// The request.
        request: usize,
        /// The attempt.
        attempt: usize,
    },
    /// The client leaves.
    ClientGone {
        /// The request.
        request: usize,
    },
    /// Discovery reports a change of a server.
    List {
        /// The server.
        server: usize,
        /// The change.
        change: ListChange,
    },
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Advance => write!(f, "time passes"),
            Step::Timer => write!(f, "a timer runs out"),
            Step::Arrive => write!(f, "the next request comes"),
            Step::End { request, attempt, ending } => {
                write!(f, "request {request}, attempt {attempt}: {ending:?}")
            }
            Step::AnswerBegins { request, attempt } => {
                write!(f, "request {request}, attempt {attempt}: its long answer begins")
            }
            Step::UploadBegins { request, attempt } => {
                write!(f, "request {request}, attempt {attempt}: the body is being passed on")
            }
            Step::ClientGone { request } => write!(f, "request {request}: its client goes away"),
            Step::List { server, change } => write!(f, "server {server}: {change:?}"),
        }
    }
}
