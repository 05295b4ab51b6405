//! Records of a run, written by clients, servers, discovery and the conductor.

pub mod cold;
pub mod judge;
pub mod notices;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Microseconds since the load began.
pub type Micros = u64;

/// The clock of a run. It shows 0 until the load begins.
#[derive(Clone, Debug)]
pub struct Clock {
    base: Instant,
    /// When the load began, in microseconds since `base`.
    load_start: Arc<AtomicU64>,
}

impl Clock {
    /// Creates a clock that is not started.
    pub fn stopped() -> Clock {
        Clock { base: Instant::now(), load_start: Arc::new(AtomicU64::new(Micros::MAX)) }
    }

    /// Starts the clock at the begin of the load.
    pub fn begin(&self) {
        self.load_start.store(self.base.elapsed().as_micros() as Micros, Ordering::Relaxed);
    }

    /// The current time of the run.
    pub fn now(&self) -> Micros {
        self.of(Instant::now())
    }

    /// Converts a time of the run to an instant. The load must have begun.
    pub fn at(&self, at: Duration) -> Instant {
        self.base + Duration::from_micros(self.load_start.load(Ordering::Relaxed)) + at
    }

    /// Converts an instant to a time of the run.
    pub fn of(&self, at: Instant) -> Micros {
        let since = at.saturating_duration_since(self.base).as_micros() as Micros;
        since.saturating_sub(self.load_start.load(Ordering::Relaxed))
    }
}

/// The id of one client attempt: sidecar, arrival and attempt number, packed into 64 bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// Packs an id.
    pub fn new(sidecar: usize, arrival: usize, attempt: u32) -> RequestId {
        let packed = (sidecar as u64) << 28 | (arrival as u64 & 0xff_ffff) << 4;
        RequestId(packed | u64::from(attempt & 0xf))
    }

    /// The sidecar that receives the request.
    pub fn sidecar(self) -> usize {
        (self.0 >> 28) as usize
    }

    /// The id without the attempt number: equal for all attempts of one request.
    pub fn operation(self) -> u64 {
        self.0 >> 4
    }

    /// The id as a header value: 16 hexadecimal digits.
    pub fn to_hex(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Parses a header value.
    pub fn parse(text: &str) -> Option<RequestId> {
        u64::from_str_radix(text, 16).ok().map(RequestId)
    }
}

/// How an attempt ended at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The run ended before the attempt.
    Open,
    /// Status 200 with the expected body.
    Served,
    /// Status 202 with a receipt: the request is stored and sent later.
    Kept,
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed(u16),
    /// Status 200 with a body for another request.
    Foreign,
    /// The connection ended in the middle of an answer.
    Broken,
    /// A new connection was closed before the first byte of an answer.
    Closed,
    /// No connection could be established, or it ended twice before an answer began; the request was not accepted.
    Unreached,
    /// No answer came until long after the deadline.
    Silent,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id of the attempt.
    pub id: RequestId,
    /// Index of its class.
    pub class: usize,
    /// Planned time of the arrival.
    pub due: Micros,
    /// When its last byte was written.
    pub sent: Micros,
    /// How long its client waits from `sent` on.
    pub left: Micros,
    /// When its result was known.
    pub ended: Micros,
    /// Its result.
    pub end: End,
    /// The attempt whose receipt it carried; it must run after that one.
    pub after: Option<RequestId>,
}

/// The result of an attempt at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Not finished when the run ended.
    Open,
    /// Answered 503 with the header that proves that it never ran.
    TurnedAway,
    /// Ran and was answered 200.
    Served,
    /// Ran and was answered 500.
    Error,
    /// Ran, and the connection was reset.
    Reset,
    /// Not answered; no other process can know whether it ran.
    Silent,
    /// Its connection ended while it was queued or processed.
    Abandoned,
    /// A duplicate that the deduplication group dropped: it had no effect.
    Repeat,
}

/// One attempt as seen by a server.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the client's attempt.
    pub id: RequestId,
    /// Index of the server in the records.
    pub server: usize,
    /// When its first byte was read.
    pub first_byte: Micros,
    /// When its last byte was read.
    pub arrived: Micros,
    /// Its processing time on a warm server, in microseconds.
    pub work: Micros,
    /// Whether it is the first on its connection, so that its sidecar made a handshake for it.
    pub fresh: bool,
    /// When it had its effect, if it did.
    pub ran: Option<Micros>,
    /// Its result.
    pub fate: Fate,
    /// When it ended.
    pub ended: Micros,
}

/// A request that a server refused because one of its headers occurred twice.
#[derive(Clone, Debug)]
pub struct DuplicateHeader {
    /// When the request arrived.
    pub at: Micros,
    /// Index of the server in the records.
    pub server: usize,
    /// The request's id, if it has a valid one.
    pub id: Option<RequestId>,
    /// The header's name.
    pub header: String,
}

/// A process of a server.
#[derive(Clone, Debug)]
pub struct ServerRow {
    /// The server's name in the lists of discovery.
    pub name: String,
    /// The number of its zone.
    pub zone: usize,
    /// When it started cold; `None` if it ran before the run.
    pub started: Option<Micros>,
    /// When it fell over from overload.
    pub fell: Option<Micros>,
    /// Highest work sent to it while cold, as a fraction of what it tolerates.
    pub cold_peak: f64,
    /// Number of accepted connections.
    pub connections: u64,
}

/// State of a server in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The server accepts requests.
    Active,
    /// The server drains or has left.
    Leaving,
}

/// A notice of discovery to a sidecar about a server's state.
#[derive(Clone, Debug)]
pub struct ServerNotice {
    /// When the notice was sent.
    pub at: Micros,
    /// The sidecar that received it.
    pub sidecar: usize,
    /// Index of the server in the records.
    pub server: usize,
    /// The server's state.
    pub listed: Listed,
}

/// The result of a call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    /// The call was processed and answered with the list.
    Answered,
    /// The queue was full, or discovery was down.
    Refused,
    /// The sidecar disconnected, or the watch was silenced, while the call was queued.
    HungUp,
}

/// A call to a polled discovery. Calls that continue a watch are not counted.
#[derive(Clone, Debug)]
pub struct DiscoveryCall {
    /// The calling sidecar.
    pub sidecar: usize,
    /// When the call arrived.
    pub at: Micros,
    /// When the call ended.
    pub ended: Micros,
    /// The result of the call.
    pub fate: CallFate,
}

/// A period in which a sidecar could not act.
#[derive(Clone, Debug)]
pub struct Absence {
    /// The sidecar's number.
    pub sidecar: usize,
    /// Start of the period.
    pub from: Micros,
    /// End of the period; `Micros::MAX` if the sidecar does not return.
    pub to: Micros,
    /// True if its process ended, so that clients have to retry its requests; false if it was paused.
    pub ended: bool,
}

/// All records of a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecords {
    /// Attempts of clients.
    pub requests: Vec<Request>,
    /// Attempts at servers.
    pub attempts: Vec<Attempt>,
    /// All server processes of the run.
    pub servers: Vec<ServerRow>,
    /// Notices that discovery sent.
    pub notices: Vec<ServerNotice>,
    /// Notices that the agent of each sidecar had available, with the time from which on, whether or not it sent
    /// them.
    pub available: Vec<ServerNotice>,
    /// Whether discovery is polled: a notice then counts as received 6 s after it is available, even if it was not
    /// sent.
    pub polled_discovery: bool,
    /// Calls to a polled discovery, in the order in which they ended.
    pub calls: Vec<DiscoveryCall>,
    /// When the open watches of sidecars were silenced.
    pub silences: Vec<(usize, Micros)>,
    /// When a new configuration moved a sidecar to another discovery address.
    pub moves: Vec<(usize, Micros)>,
    /// Absences of sidecars.
    pub absences: Vec<Absence>,
    /// Times at which unexpected bytes followed an answer, with the id of the answered request.
    pub strays: Vec<(Micros, RequestId)>,
    /// Requests with a duplicate header.
    pub duplicate_headers: Vec<DuplicateHeader>,
    /// Problems that no rule covers, such as a daemon that exits unexpectedly or does not start.
    pub findings: Vec<String>,
    /// Periods in which the lab itself was stalled.
    pub stalls: Vec<(Micros, Micros)>,
    /// Arrivals that were not sent because the application was restarting with its sidecar.
    pub not_sent: u64,
}

/// The records, shared between tasks.
#[derive(Default)]
pub struct Ledger(Mutex<RunRecords>);

impl Ledger {
    /// Locks the records. Do not await while holding the guard.
    pub fn open(&self) -> MutexGuard<'_, RunRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a client's attempt and returns its index.
    pub fn request(&self, request: Request) -> usize {
        let mut records = self.open();
        records.requests.push(request);
        records.requests.len() - 1
    }

    /// Records the result of a client's attempt.
    pub fn ended(&self, nth: usize, at: Micros, end: End) {
        let request = &mut self.open().requests[nth];
        (request.ended, request.end) = (at, end);
    }

    /// Records an attempt at a server and returns its index.
    pub fn attempt(&self, attempt: Attempt) -> usize {
        let mut records = self.open();
        records.attempts.push(attempt);
        records.attempts.len() - 1
    }

    /// Records the time of an attempt's effect.
    pub fn ran(&self, nth: usize, at: Micros) {
        self.open().attempts[nth].ran = Some(at);
    }

    /// Records the result of an attempt at a server.
    pub fn fate(&self, nth: usize, at: Micros, fate: Fate) {
        let attempt = &mut self.open().attempts[nth];
        (attempt.ended, attempt.fate) = (at, fate);
    }
}
