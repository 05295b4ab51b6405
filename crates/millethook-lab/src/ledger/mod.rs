//! What clients, servers, discovery and the conductor write down during a run.

pub mod cold;
pub mod judge;
pub mod notices;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds since the load began.
pub type Micros = u64;

/// The clock of a run. It stands at 0 until the load begins.
#[derive(Clone, Debug)]
pub struct Clock {
    base: Instant,
    /// When the load began, in microseconds of `base`.
    begun: Arc<AtomicU64>,
}

impl Clock {
    /// One that stands.
    pub fn stopped() -> Clock {
        Clock { base: Instant::now(), begun: Arc::new(AtomicU64::new(Micros::MAX)) }
    }

    /// The load begins.
    pub fn begin(&self) {
        self.begun.store(self.base.elapsed().as_micros() as Micros, Ordering::Relaxed);
    }

    /// The time of the run.
    pub fn now(&self) -> Micros {
        self.of(Instant::now())
    }

    /// A time of the run as an instant. The load has to have begun.
    pub fn at(&self, at: Duration) -> Instant {
        self.base + Duration::from_micros(self.begun.load(Ordering::Relaxed)) + at
    }

    /// An instant as a time of the run.
    pub fn of(&self, at: Instant) -> Micros {
        let since = at.saturating_duration_since(self.base).as_micros() as Micros;
        since.saturating_sub(self.begun.load(Ordering::Relaxed))
    }
}

/// The id of one try: sidecar, arrival and the number of the try, packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Packs one.
    pub fn new(sidecar: usize, arrival: usize, attempt: u32) -> RequestId {
        let packed = (sidecar as u64) << 28 | (arrival as u64 & 0xff_ffff) << 4;
        RequestId(packed | u64::from(attempt & 0xf))
    }

    /// The sidecar that gets it.
    pub fn sidecar(self) -> usize {
        (self.0 >> 28) as usize
    }

    /// The same for all tries of a client with one request.
    pub fn operation(self) -> u64 {
        self.0 >> 4
    }

    /// As it stands on the wire.
    pub fn wire(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Reads it off the wire.
    pub fn parse(text: &str) -> Option<RequestId> {
        u64::from_str_radix(text, 16).ok().map(RequestId)
    }
}

/// How a try ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The run ended first.
    Open,
    /// 200 and the body made for it.
    Served,
    /// 202 and a receipt: it is kept, and goes out later.
    Kept,
    /// 429 or 503.
    Refused,
    /// Any other status.
    Failed(u16),
    /// 200 and another body.
    Foreign,
    /// The connection ended without a whole answer.
    Broken,
    /// A new connection was closed without a byte of an answer.
    Closed,
    /// No connection came up, or it ended twice before an answer began; nothing was taken.
    Unreached,
    /// The client waited until long after its time.
    Silent,
}

/// One try of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// When the arrival was due.
    pub due: Micros,
    /// When its last byte was written.
    pub sent: Micros,
    /// How long its client waits, from `sent` on.
    pub left: Micros,
    /// When its end was known.
    pub ended: Micros,
    /// Its end.
    pub end: End,
    /// The try whose receipt it carried: it comes after that.
    pub after: Option<RequestId>,
}

/// What became of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Not decided when the run ended.
    Open,
    /// 503 with the proof that it never ran.
    TurnedAway,
    /// It ran, and was answered 200.
    Served,
    /// It ran, and was answered 500.
    Error,
    /// It ran, and the connection was reset.
    Reset,
    /// Nothing was said; nobody else can know whether it ran.
    Silent,
    /// Its connection ended while it waited.
    Abandoned,
    /// A repeat that the group dropped: no effect.
    Repeat,
}

/// One attempt as a server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: RequestId,
    /// The server's number in the book.
    pub server: usize,
    /// When its first byte was read.
    pub first_byte: Micros,
    /// When its last byte was read.
    pub arrived: Micros,
    /// The work that it is, in microseconds of a warm server.
    pub work: Micros,
    /// It is the first on its connection: its sidecar made a handshake for it.
    pub fresh: bool,
    /// When it had its effect, if it did.
    pub ran: Option<Micros>,
    /// What became of it,
    pub fate: Fate,
    /// and when.
    pub ended: Micros,
}

/// A request that a server refused, as one of its headers stood there twice.
#[derive(Clone, Debug)]
pub struct DuplicateHeader {
    /// When it had come.
    pub at: Micros,
    /// The server's number in the book.
    pub server: usize,
    /// The request's id, as far as there is one.
    pub id: Option<RequestId>,
    /// The header's name.
    pub header: String,
}

/// A server's process.
#[derive(Clone, Debug)]
pub struct ServerRow {
    /// Its name in the lists.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// When it started cold; None: it was there before the run.
    pub started: Option<Micros>,
    /// When it fell over.
    pub fell: Option<Micros>,
    /// The most that it was sent while it was cold, over what it bears.
    pub cold_peak: f64,
    /// Connections that it accepted.
    pub connections: u64,
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It takes requests.
    Active,
    /// It drains, or is gone.
    Leaving,
}

/// A word of discovery to a sidecar.
#[derive(Clone, Debug)]
pub struct ServerNotice {
    /// When it was written.
    pub at: Micros,
    /// To whom.
    pub sidecar: usize,
    /// Of which server.
    pub server: usize,
    /// What.
    pub listed: Listed,
}

/// What became of a call of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    /// It had its turn, and the list.
    Answered,
    /// The line was full, or discovery was down.
    Refused,
    /// Its sidecar hung up, or the watch was silenced, while it waited.
    HungUp,
}

/// A call of a discovery that is asked. Held watches that go on are none.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    /// By whom.
    pub sidecar: usize,
    /// When it came,
    pub at: Micros,
    /// and ended.
    pub ended: Micros,
    /// How.
    pub fate: CallFate,
}

/// A time in which a sidecar could not act.
#[derive(Clone, Debug)]
pub struct Absence {
    /// Whose.
    pub sidecar: usize,
    /// From when on.
    pub from: Micros,
    /// Until when; the end of time if it does not come back.
    pub to: Micros,
    /// Its process ended: what it held is its clients' to retry. False: it was paused.
    pub ended: bool,
}

/// Everything that was written down.
#[derive(Clone, Debug, Default)]
pub struct RunRecords {
    /// Tries of clients.
    pub requests: Vec<Request>,
    /// Attempts at servers.
    pub attempts: Vec<Attempt>,
    /// All server processes that there were.
    pub servers: Vec<ServerRow>,
    /// What discovery said.
    pub notices: Vec<ServerNotice>,
    /// What the agent of each sidecar had, from when on, whether or not it came to say it.
    pub available: Vec<ServerNotice>,
    /// Discovery is asked: what it has counts as told 6 s later, whether or not it was written.
    pub asked: bool,
    /// Calls of discovery, where it is asked, in the order in which they ended.
    pub calls: Vec<DiscoveryCall>,
    /// When the open watches of sidecars fell silent.
    pub silences: Vec<(usize, Micros)>,
    /// When a new configuration moved a sidecar to another address of discovery.
    pub moves: Vec<(usize, Micros)>,
    /// When sidecars were away.
    pub absences: Vec<Absence>,
    /// Bytes that came behind an answer, with the id of that.
    pub strays: Vec<(Micros, RequestId)>,
    /// Requests that told servers one thing twice.
    pub duplicate_headers: Vec<DuplicateHeader>,
    /// Findings that no rule covers: a daemon that ended by itself, or did not start.
    pub findings: Vec<String>,
    /// Spells in which the lab itself stood still.
    pub stalls: Vec<(Micros, Micros)>,
    /// Arrivals that were not sent, as the application was being restarted with its sidecar.
    pub not_offered: u64,
}

/// The book, shared.
#[derive(Default)]
pub struct Ledger(Mutex<RunRecords>);

impl Ledger {
    /// Opens the book. Nothing may wait while it is open.
    pub fn open(&self) -> MutexGuard<'_, RunRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One more try; its number.
    pub fn request(&self, request: Request) -> usize {
        let mut records = self.open();
        records.requests.push(request);
        records.requests.len() - 1
    }

    /// The end of a try.
    pub fn ended(&self, nth: usize, at: Micros, end: End) {
        let request = &mut self.open().requests[nth];
        (request.ended, request.end) = (at, end);
    }

    /// One more attempt; its number.
    pub fn attempt(&self, attempt: Attempt) -> usize {
        let mut records = self.open();
        records.attempts.push(attempt);
        records.attempts.len() - 1
    }

    /// An attempt has its effect.
    pub fn ran(&self, nth: usize, at: Micros) {
        self.open().attempts[nth].ran = Some(at);
    }

    /// The end of an attempt.
    pub fn fate(&self, nth: usize, at: Micros, fate: Fate) {
        let attempt = &mut self.open().attempts[nth];
        (attempt.ended, attempt.fate) = (at, fate);
    }
}
