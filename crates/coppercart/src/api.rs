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
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One line of a list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: ServerId,
    pub zone: u8,
    pub kind: u16,
    pub cell: u16,
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
    Served,
    /// An error answer; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Full,
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    Cancelled,
    /// Never sent: it never ran.
    Moot,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    pub id: RequestId,
    pub class: usize,
    pub tenant: usize,
    /// What the request is about; 0: unknown.
    pub key: u64,
    /// How long the client will wait.
    pub left: Micros,
    /// The client's guess at the work.
    pub hint: Option<Micros>,
    /// A client's repeat, where clients mark them.
    pub repeat: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event<'a> {
    Servers {
        kind: ListKind,
        entries: &'a [ServerEntry],
    },
    Request(NewRequest),
    FirstByte {
        id: RequestId,
        attempt: usize,
    },
    Answer {
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        /// The request has its final answer, by this outcome or before it.
        finished: bool,
        report: LoadReport,
    },
    /// The client left, or its time is over.
    ClientGone {
        id: RequestId,
    },
    Timer {
        token: u32,
    },
    Probed {
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        report: LoadReport,
    },
    Note {
        from: u32,
        data: &'a [u8],
    },
    /// What the sidecars of the fleet together make of a server has changed, where they share that.
    Stands {
        server: ServerId,
        standing: Standing,
    },
}

/// What several sidecars say of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nothing.
    #[default]
    Trusted,
    /// Several had no answer since anyone had one.
    Doubted,
    /// Discovery has told one of them that it goes.
    Leaving,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: RequestId,
        server: ServerId,
        timeout: Micros,
        /// What would make it run has to be out within this time, or must not go out.
        commit_within: Micros,
    },
    Cancel {
        id: RequestId,
        attempt: usize,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        id: RequestId,
        retry_after: Micros,
    },
    /// Final answer: failed; no promise.
    Fail {
        id: RequestId,
    },
    Timer {
        delay: Micros,
        token: u32,
    },
    Probe {
        server: ServerId,
    },
    CloseIdle {
        server: ServerId,
    },
    /// Ask discovery for changes from now on.
    Subscribe,
    /// Ask discovery for the whole list once.
    FetchList,
    Tell {
        peer: u32,
        data: Vec<u8>,
    },
    Log {
        text: String,
    },
}
