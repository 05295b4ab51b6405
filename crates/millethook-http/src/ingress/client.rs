//! One client's connection, as it is seen from outside.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use millethook_engine::stream::Observer;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::guard::HeadScan;

/// How long a client may take for a request's head, however it spreads it; bodies have [`StallBudget`](crate::body::StallBudget).
/// Guards against heads that never end, and clients that send a byte now and then to stay. A
/// client on a machine that stands still for so long loses its connection, and what it sends with it.
const SLOWEST_HEAD: Duration = Duration::from_millis(2400);
/// How long a connection may say nothing at first.
const SLOWEST_FIRST: Duration = Duration::from_secs(2);
/// How long a connection may rest between requests.
const REST: Duration = Duration::from_secs(20);
/// A client that reads nothing of its answer for so long is let go.
const WRITE_STALL: Duration = Duration::from_secs(5);
/// Between two looks at where a connection's client is.
const LOOK: Duration = Duration::from_millis(250);

/// Where a connection's client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Nothing of a request has come.
    Resting,
    /// Part of a request has come.
    Partial,
    /// The head has come, and part of the body may have.
    Body,
    /// A request is whole, or belongs to one server by now, and its answer is awaited.
    Taken,
    /// The answer is made; some of it may be unwritten.
    Answered,
    /// All is written, and nothing more is answered here.
    Ending,
}

/// One client's connection, as it is seen from outside.
pub(super) struct Client {
    pub phase: Cell<Phase>,
    /// hyper has all of the last answer; what is flushed next is its end.
    pub complete: Cell<bool>,
    /// The answer that is being written ends with the connection, and in no other way.
    pub open_ended: Cell<bool>,
    /// Something was written to it.
    pub wrote: Cell<bool>,
    /// It has one of the places for clients; one that is ending may have another's.
    pub placed: Cell<bool>,
    /// How many answers it has had.
    pub answers: Cell<u32>,
    /// What has been read of the request that is coming.
    pub head: RefCell<HeadScan>,
    /// When the phase began, and when bytes last moved.
    pub since: Cell<Instant>,
    pub moved: Cell<Instant>,
    pub leave: Notify,
}

impl Client {
    pub fn new() -> Client {
        let now = Instant::now();
        Client {
            phase: Cell::new(Phase::Resting),
            complete: Cell::new(false),
            open_ended: Cell::new(false),
            wrote: Cell::new(false),
            placed: Cell::new(true),
            answers: Cell::new(0),
            head: RefCell::default(),
            since: Cell::new(now),
            moved: Cell::new(now),
            leave: Notify::new(),
        }
    }

    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Whether it has had an answer.
    pub fn was_answered(&self) -> bool {
        self.answers.get() > 0
    }

    /// Whether a request of its own is under way.
    pub fn busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Taken | Phase::Answered)
    }

    /// Whether it is in the middle of an answer that only the connection's end delimits.
    pub fn answer_open_ended(&self) -> bool {
        self.open_ended.get() && self.phase.get() == Phase::Answered
    }

    pub fn stalled(&self) -> bool {
        let (still, spent) = (self.moved.get().elapsed(), self.since.get().elapsed());
        match self.phase.get() {
            Phase::Body | Phase::Taken | Phase::Ending => false,
            Phase::Resting => spent > if self.was_answered() { REST } else { SLOWEST_FIRST },
            Phase::Partial => spent > SLOWEST_HEAD,
            Phase::Answered => still > WRITE_STALL,
        }
    }
}

impl Observer for Client {
    fn on_read(&self, bytes: &[u8]) {
        self.moved.set(Instant::now());
        if !bytes.is_empty() && self.phase.get() == Phase::Resting {
            self.enter(Phase::Partial);
            self.head.replace(HeadScan::default());
        }
        if self.phase.get() == Phase::Partial {
            self.head.borrow_mut().scan(bytes);
        }
    }

    fn on_write(&self, _bytes: &[u8]) {
        self.wrote.set(true);
        self.moved.set(Instant::now());
    }

    fn on_flush(&self) {
        if self.complete.replace(false) && self.phase.get() == Phase::Answered {
            self.answers.set(self.answers.get().saturating_add(1));
            self.enter(Phase::Resting);
        }
    }
}

/// Waits until the client is told to leave while it has no request under way; what it was doing then.
pub(super) async fn told_to_leave(client: &Client) -> Phase {
    loop {
        client.leave.notified().await;
        if !client.busy() {
            return client.phase.get();
        }
    }
}

pub(super) async fn stalled(client: &Client) {
    while !client.stalled() {
        sleep(LOOK).await;
    }
}
