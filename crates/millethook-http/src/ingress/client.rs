//! State of one client connection, as the rest of the ingress sees it.

use std::cell::{Cell, RefCell};
use std::mem::MaybeUninit;
use std::rc::Weak;
use std::time::{Duration, Instant};

use millethook_engine::stream::Observer;
use millethook_engine::upload::UploadSource;
use millethook_engine::upstream::Caller;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::guard::HeadScan;
use crate::request_ids::IdReservation;

/// Longest time from the first to the last byte of a request head; bodies have a
/// [`StallBudget`](crate::body::StallBudget) instead. Guards against heads that never end and clients that
/// send single bytes to keep their connection. A client whose machine stalls for this long loses its
/// connection and the request that it was sending.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2400);
/// How long a new connection may stay silent.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A client that reads nothing of its answer for this long is disconnected.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection for which there is no room may take for the head of its request.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between two checks for stalled connections.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most bytes that wait in a client's send buffer (the kernel's default maximum, `net.ipv4.tcp_wmem`) and in
/// the buffers of this process.
const MAX_SEND_BUFFER_BYTES: u64 = 4 << 20;

/// A client's close is not hidden behind fewer unread bytes than this. Clients that send one request at a time leave none
/// unread while they wait.
const HIDDEN_CLOSE_BYTES: usize = 4 << 10;
/// How long after a client's last sign of life an attempt may begin while its close may be hidden.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// Part of a request head has arrived.
    ReadingHead,
    /// The head has arrived, and the body may have arrived in part.
    ReadingBody,
    /// The request has been read, or bound to one server, and is waiting for its answer.
    AwaitingAnswer,
    /// The answer has been produced; part of it may not be written yet.
    WritingAnswer,
    /// Everything has been written, and no further request is answered here.
    Closing,
}

/// State of one client connection.
pub(super) struct Client {
    pub phase: Cell<Phase>,
    /// hyper has read all of the last answer's body; the next flush completes the answer.
    pub answer_complete: Cell<bool>,
    /// The current answer ends only with the connection: it has neither a length nor chunked framing.
    pub close_delimited: Cell<bool>,
    /// Something has been written to the client.
    pub has_written: Cell<bool>,
    /// The connection holds a client permit. A connection that is closing may hold a closing permit
    /// instead.
    pub holds_client_permit: Cell<bool>,
    /// There is no room for this connection: it gets a refusal and is closed.
    pub is_surplus: Cell<bool>,
    /// Number of answers sent on this connection.
    pub answer_count: Cell<u32>,
    /// Scan of the head that is being read.
    pub head_scan: RefCell<HeadScan>,
    /// When the current phase began, and when bytes were last transferred.
    pub phase_since: Cell<Instant>,
    pub last_transfer: Cell<Instant>,
    /// Since when the system has accepted no byte of an answer, because the client does not read.
    write_blocked_since: Cell<Option<Instant>>,
    pub close_request: Notify,
    /// The id of the request that is being read or answered.
    pub request_id: RefCell<Option<IdReservation>>,
    /// The socket, as long as it is open.
    pub socket: RefCell<Weak<TcpStream>>,
    /// The system has reported that the connection failed.
    failed: Cell<bool>,
    /// Everything that has arrived is read.
    is_drained: Cell<bool>,
    /// The last time at which bytes arrived while nothing was unread. Bytes read later may have been sent by then.
    last_arrival: Cell<Instant>,
}

impl Client {
    pub fn new() -> Client {
        let now = Instant::now();
        Client {
            phase: Cell::new(Phase::Idle),
            answer_complete: Cell::new(false),
            close_delimited: Cell::new(false),
            has_written: Cell::new(false),
            holds_client_permit: Cell::new(true),
            is_surplus: Cell::new(false),
            answer_count: Cell::new(0),
            head_scan: RefCell::default(),
            phase_since: Cell::new(now),
            last_transfer: Cell::new(now),
            write_blocked_since: Cell::new(None),
            close_request: Notify::new(),
            request_id: RefCell::default(),
            socket: RefCell::default(),
            failed: Cell::new(false),
            is_drained: Cell::new(true),
            last_arrival: Cell::new(now),
        }
    }

    /// The earliest time at which the client may have sent the bytes that were read last. What arrives while the
    /// connection is not read waits in the system's buffers, and the client's time runs meanwhile.
    pub fn last_arrival(&self) -> Instant {
        self.last_arrival.get()
    }

    pub fn enter_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }

    /// Whether an answer has been sent on this connection.
    pub fn was_answered(&self) -> bool {
        self.answer_count.get() > 0
    }

    /// Whether a request is waiting for its answer, or the answer is being written.
    pub fn has_request(&self) -> bool {
        matches!(self.phase.get(), Phase::AwaitingAnswer | Phase::WritingAnswer)
    }

    /// Whether an answer is being written that only the end of the connection delimits.
    pub fn is_writing_close_delimited(&self) -> bool {
        self.close_delimited.get() && self.phase.get() == Phase::WritingAnswer
    }

    pub fn is_stalled(&self) -> bool {
        let in_phase = self.phase_since.get().elapsed();
        if self.is_surplus.get() && !self.has_request() && in_phase > SURPLUS_TIMEOUT {
            return true;
        }
        match self.phase.get() {
            Phase::ReadingBody | Phase::AwaitingAnswer | Phase::Closing => false,
            Phase::Idle => {
                in_phase > if self.was_answered() { IDLE_TIMEOUT } else { FIRST_BYTE_TIMEOUT }
            }
            Phase::ReadingHead => in_phase > HEAD_TIMEOUT,
            // While its server pauses, there is nothing for the client to read.
            Phase::WritingAnswer => {
                let blocked_since = self.write_blocked_since.get();
                blocked_since.is_some_and(|since| since.elapsed() > WRITE_STALL_TIMEOUT)
            }
        }
    }
}

impl Client {
    /// Says whether the request in progress may have run, or may yet.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        if let Some(reservation) = self.request_id.borrow_mut().as_mut() {
            reservation.set_may_have_run(may_have_run);
        }
    }

    /// Makes the close of the connection a reset.
    pub fn reset_on_close(&self) {
        if let Some(socket) = self.socket.borrow().upgrade() {
            let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
    }

    /// Whether the connection has failed, as after a reset. Asks the system, because the event loop may not have
    /// reported it yet.
    pub fn has_failed(&self) -> bool {
        let Some(socket) = self.socket.borrow().upgrade() else { return true };
        // The system reports an error only once.
        let failed =
            self.failed.get() || matches!(SockRef::from(&*socket).take_error(), Ok(Some(_)));
        self.failed.set(failed);
        failed
    }

    /// Whether the client may have closed the connection without the system knowing: the close follows all bytes
    /// that were sent before it, and what does not fit into the receive buffer waits at the client.
    fn may_hide_close(&self) -> bool {
        let Some(socket) = self.socket.borrow().upgrade() else { return true };
        let mut unread = [MaybeUninit::uninit(); HIDDEN_CLOSE_BYTES];
        SockRef::from(&*socket).peek(&mut unread).is_ok_and(|n| n == HIDDEN_CLOSE_BYTES)
    }
}

impl Caller for Client {
    fn is_present(&self) -> bool {
        self.last_arrival.get().elapsed() <= DEPARTURE_GRACE
            || (!self.has_failed() && !self.may_hide_close())
    }
}

impl UploadSource for Client {
    fn earliest_end(&self, unread: Option<u64>) -> Instant {
        let arrived = self.socket.borrow().upgrade().and_then(|socket| ioctl_fionread(socket).ok());
        let waiting = arrived.unwrap_or(0).saturating_add(MAX_SEND_BUFFER_BYTES);
        match unread {
            // More is missing than the system's buffers can hold: the client is still sending.
            Some(unread) if unread > waiting => Instant::now(),
            _ => self.last_arrival.get(),
        }
    }
}

impl Observer for Client {
    fn on_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_transfer.set(now);
        if self.is_drained.replace(false) {
            self.last_arrival.set(now);
        }
        if !bytes.is_empty() && self.phase.get() == Phase::Idle {
            self.enter_phase(Phase::ReadingHead);
            self.head_scan.replace(HeadScan::default());
        }
        if self.phase.get() == Phase::ReadingHead {
            self.head_scan.borrow_mut().scan(bytes);
        }
    }

    fn on_drained(&self) {
        self.is_drained.set(true);
    }

    fn on_write(&self, _bytes: &[u8]) {
        self.has_written.set(true);
        self.write_blocked_since.set(None);
        self.last_transfer.set(Instant::now());
    }

    fn on_write_blocked(&self) {
        if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(Some(Instant::now()));
        }
    }

    fn on_flush(&self) {
        if self.answer_complete.replace(false) && self.phase.get() == Phase::WritingAnswer {
            self.answer_count.set(self.answer_count.get().saturating_add(1));
            self.enter_phase(Phase::Idle);
            // The next request is sent once the client has this answer.
            self.last_arrival.set(Instant::now());
        }
    }
}

/// Waits until the connection is asked to close while no request is in progress. Returns the phase at that
/// time.
pub(super) async fn wait_for_close_request(client: &Client) -> Phase {
    loop {
        client.close_request.notified().await;
        if !client.has_request() {
            return client.phase.get();
        }
    }
}

pub(super) async fn wait_until_stalled(client: &Client) {
    while !client.is_stalled() {
        sleep(STALL_CHECK_INTERVAL).await;
    }
}
