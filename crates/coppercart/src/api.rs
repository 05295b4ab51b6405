//! What goes in and out of the decision module. No decisions here, and no wire names.

use smallvec::SmallVec;

/// Microseconds, on a clock that starts anywhere and never runs backwards.
pub type Micros = u64;

/// A request, as its sidecar numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A server, the same at every sidecar. It may be compared and hashed; it tells nothing else.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerId(pub u64);

/// What discovery says of a server's process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and may get nothing new.
    Draining,
    /// It is not listed any more.
    Gone,
}

/// One line of a list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone, as a position within the zones of the settings.
    pub zone: u8,
    /// What kind of machine it is.
    pub kind: u16,
    /// A small group of servers that know each other's keyed requests.
    pub cell: u16,
    /// What its process does.
    pub health: Health,
    /// The list's figure of the server's power; the settings tell what it means.
    pub power: f32,
    /// When the process last started; 0: long ago.
    pub started: Micros,
}

/// How a list of servers applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The complete list.
    Whole,
    /// The complete list as this sidecar last had it; it may be old.
    Remembered,
    /// Only what changed.
    Changes,
    /// A call failed or the subscription broke; the last list stays.
    Failed,
}

/// The values of a load report, in the order of the settings' columns.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct LoadReport(pub SmallVec<[f32; 4]>);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer in full.
    Served,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Full,
    /// No answer within the attempt's timeout; it may have run.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Ended by an [`Action::Cancel`]; it may have run.
    Cancelled,
    /// Never sent: it never ran.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// The request.
    pub id: RequestId,
    /// Its class, as a position within [`Settings::classes`](crate::settings::Settings::classes).
    pub class: usize,
    /// Its tenant, as a position within the tenants of the settings.
    pub tenant: usize,
    /// What the request is about; 0: unknown.
    pub key: u64,
    /// How long the client will wait.
    pub time_left: Micros,
    /// The client's guess at the work.
    pub work_hint: Option<Micros>,
    /// A client's repeat, where clients mark them.
    pub client_retry: bool,
}

/// What happens. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    /// Discovery has told of servers.
    Servers {
        /// How the entries apply.
        kind: ListKind,
        /// The servers.
        entries: &'a [ServerEntry],
    },
    /// A client has sent a request.
    Request(NewRequest),
    /// A streaming answer has begun: the request belongs to this attempt from now on.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: usize,
    },
    /// An attempt has ended.
    Answer {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: usize,
        /// The server that it went to.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time from its send to its end.
        latency: Micros,
        /// The request has its final answer, by this outcome or before it.
        finished: bool,
        /// What the server said of its load.
        report: LoadReport,
    },
    /// The client left, or its time is over.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// A timer that [`Action::Timer`] set has run out.
    Timer {
        /// The number that it was set with.
        token: u32,
    },
    /// A probe has ended.
    Probed {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// The time that it took.
        latency: Micros,
        /// What the server said of its load.
        report: LoadReport,
    },
    /// Another sidecar has sent a message.
    Note {
        /// The number of the other sidecar.
        from: u32,
        /// The message.
        data: &'a [u8],
    },
    /// What the sidecars of the fleet together make of a server has changed, where they share that.
    Stands {
        /// The server.
        server: ServerId,
        /// What they make of it now.
        standing: ServerVerdict,
    },
}

/// What several sidecars say of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerVerdict {
    /// Nothing.
    #[default]
    Trusted,
    /// Several had no answer since anyone had one.
    Suspected,
    /// Discovery has told one of them that it goes.
    Leaving,
}

/// What is to be done. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. Attempts are counted from 0 in the order of these actions.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// After this time without an answer the attempt ends as [`Outcome::TimedOut`].
        timeout: Micros,
        /// What would make it run has to be out within this time, or must not go out.
        commit_within: Micros,
    },
    /// End an attempt that is out.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: usize,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// When the client should come back; 0: nothing is said of that.
        retry_after: Micros,
    },
    /// Final answer: failed; no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Wake the decisions with an [`Event::Timer`].
    Timer {
        /// After this time.
        delay: Micros,
        /// A number that the event repeats.
        token: u32,
    },
    /// Ask a server for its load.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Ask discovery for the whole list once.
    FetchList,
    /// Send a message to other sidecars.
    Tell {
        /// The number of the other sidecar, or [`ALL_PEERS`](crate::wire::ALL_PEERS).
        peer: u32,
        /// The message.
        data: Vec<u8>,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
