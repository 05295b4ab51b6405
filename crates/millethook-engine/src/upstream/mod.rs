//! Connections to servers and single attempts on them: the sockets beneath [`millethook_connect`].

mod attempt;
mod connection;
mod gate;
mod probe;
mod streaming;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use coppercart::api::{Outcome, ServerId};
use millethook_connect::Begins;
use millethook_connect::answers::{FingerprintKey, SeenAnswers};
use millethook_connect::pool::{
    Checkout, Counts, Ended, Limits, Matching, Pool, Reuse, SocketState,
};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use crate::budget::{Permit, Sockets};
use crate::figures::Figures;
use crate::names::Names;

pub use attempt::{AnswerHead, AttemptOutcome, AttemptRequest};
use connection::{Connection, ConnectionGuard, SharedIo};
pub use connection::{Endpoint, SystemCalls};
pub use gate::{Admission, Caller, Gate};
pub use probe::TrialPage;
pub use streaming::StreamingResponse;

/// How long an attempt may wait for a connection: for a free socket, for other attempts' handshakes to end, or for a
/// connection to leave quarantine. An attempt that waits here is not retried elsewhere, so a longer wait delays the
/// request.
const CONNECTION_WAIT: Duration = Duration::from_millis(50);
/// How often idle connections are checked for expiry.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration of connections to servers.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamConfig {
    /// When a server may start to execute a request.
    pub begins: Begins,
    /// Upper bound on a TCP handshake.
    pub connect_timeout: Duration,
    /// Limits on connections.
    pub limits: Limits,
    /// How many requests a connection carries.
    pub reuse: Reuse,
    /// Bytes that are read from a server at once.
    pub read_bytes: usize,
}

/// All connections to servers.
pub struct Upstream {
    pool: RefCell<Pool<ServerId, Connection>>,
    fingerprints: FingerprintKey,
    /// Fingerprints of answers, by the index of the class in the settings.
    answers: RefCell<SeenAnswers<usize, ServerId>>,
    sockets: Rc<Sockets>,
    names: Arc<Names>,
    config: UpstreamConfig,
    /// Attempts that wait for a connection to a server: their number and their wake-ups.
    waiting: RefCell<FxHashMap<ServerId, (usize, Rc<ConnectionSignals>)>>,
    /// For each server, the semaphore that limits and orders attempts that need a new connection.
    opening_slots: RefCell<FxHashMap<ServerId, Arc<Semaphore>>>,
    /// Number of attempts that wait for a socket.
    socket_waiters: Cell<usize>,
    /// Waker of the task that watches idle connections.
    idle_waker: RefCell<Waker>,
    shared: Rc<SharedIo>,
    figures: Rc<Figures>,
}

impl Upstream {
    /// Creates an empty set of connections and starts the tasks that watch and expire idle ones.
    pub fn new(
        sockets: Rc<Sockets>,
        names: Arc<Names>,
        figures: Rc<Figures>,
        config: UpstreamConfig,
    ) -> Rc<Upstream> {
        let upstream = Rc::new(Upstream {
            pool: RefCell::new(Pool::new(config.limits, config.reuse)),
            fingerprints: FingerprintKey::default(),
            answers: RefCell::default(),
            sockets,
            names,
            config,
            waiting: RefCell::default(),
            opening_slots: RefCell::default(),
            socket_waiters: Cell::new(0),
            idle_waker: RefCell::new(Waker::noop().clone()),
            shared: Rc::new(SharedIo::new(config.read_bytes)),
            figures,
        });
        spawn_local(upstream.clone().watch_idle());
        spawn_local(upstream.clone().sweep());
        upstream
    }

    /// Drops idle connections as soon as their server closes them or sends unsolicited bytes.
    async fn watch_idle(self: Rc<Upstream>) {
        poll_fn(|cx| {
            self.idle_waker.replace(cx.waker().clone());
            self.pool
                .borrow_mut()
                .sweep_idle(Instant::now(), |connection| connection.poll_idle(cx));
            Poll::<()>::Pending
        })
        .await;
    }

    /// Closes idle connections that have expired, and gives up one when another engine of the shared budget needs a
    /// socket.
    async fn sweep(self: Rc<Upstream>) {
        let mut next = Instant::now() + SWEEP_INTERVAL;
        loop {
            tokio::select! {
                () = self.sockets.servers.release_requested() => {
                    self.pool.borrow_mut().evict_oldest_idle();
                }
                () = sleep_until(next.into()) => {
                    next = Instant::now() + SWEEP_INTERVAL;
                    let mut pool = self.pool.borrow_mut();
                    pool.sweep_idle(Instant::now(), |_| SocketState::Quiet);
                    pool.start_next_window();
                    // Removes semaphores that no attempt holds or waits for.
                    self.opening_slots.borrow_mut().retain(|_, slots| Arc::strong_count(slots) > 1);
                }
            }
        }
    }

    /// Sets how many requests a connection carries.
    pub fn set_reuse(&self, reuse: Reuse) {
        self.pool.borrow_mut().set_reuse(reuse);
    }

    /// Closes the idle connections to `server`. `gone`: the server has left for good.
    pub fn close_idle(&self, server: ServerId, gone: bool) {
        self.pool.borrow_mut().close_idle(server, gone);
    }

    /// Number of connections by state.
    pub fn counts(&self) -> Counts {
        self.pool.borrow().counts()
    }

    /// System calls on connections since the start.
    pub fn calls(&self) -> SystemCalls {
        self.shared.calls()
    }

    /// Why connections ended.
    pub fn ended(&self) -> Ended {
        self.pool.borrow().ended()
    }

    fn release(&self, server: ServerId, connection: Connection) {
        // Registers the watching task for events on this connection.
        let idle_waker = self.idle_waker.borrow().clone();
        let state = connection.poll_idle(&mut std::task::Context::from_waker(&idle_waker));
        if state != SocketState::Quiet {
            drop(connection);
            return self.discard(server, state == SocketState::StrayBytes);
        }
        let has_room = {
            let mut pool = self.pool.borrow_mut();
            pool.release(server, connection, Instant::now());
            pool.has_room(server)
        };
        let signals = self.waiting.borrow().get(&server).map(|(_, signals)| signals.clone());
        match signals {
            Some(signals) => {
                signals.idle.notify_one();
                // An attempt that needs a new connection may close this one to make room.
                if !has_room {
                    signals.capacity.notify_one();
                }
            }
            // Attempts that wait only for a socket are not woken by idle connections. Without this line they would
            // time out while every connection is idle.
            None if self.socket_waiters.get() > 0 => {
                self.pool.borrow_mut().evict_oldest_idle();
            }
            None => {}
        }
    }

    fn record_clean_reuse(&self, server: ServerId) {
        self.pool.borrow_mut().record_clean_reuse(server);
    }

    fn discard(&self, server: ServerId, stray: bool) {
        self.pool.borrow_mut().discard(server, stray, Instant::now());
        self.notify_capacity(server);
    }

    /// Wakes an attempt that waits to open a connection to `server`.
    fn notify_capacity(&self, server: ServerId) {
        if let Some((_, signals)) = self.waiting.borrow().get(&server) {
            signals.capacity.notify_one();
        }
    }

    /// Returns a connection to `server` for a request whose answer is matched by `matching`: an idle one with the
    /// time that it was idle, or a new one.
    ///
    /// Cancel safe: everything acquired so far is released.
    async fn connection(
        self: &Rc<Upstream>,
        server: ServerId,
        endpoint: Endpoint,
        matching: Matching,
        connect_timeout: Duration,
    ) -> Result<(ConnectionGuard, Option<Duration>), Outcome> {
        let started = Instant::now();
        let (deadline, mut now) = (started + CONNECTION_WAIT, started);
        let mut opening_slot = None;
        loop {
            let needs_new = self.pool.borrow().needs_new(server, matching, now);
            if needs_new && opening_slot.is_none() {
                opening_slot = Some(self.opening_slot(server, deadline).await?);
                now = Instant::now();
                continue;
            }
            let found = if needs_new {
                self.pool.borrow_mut().checkout_new(server)
            } else {
                self.pool.borrow_mut().checkout(server, now, |c| c.check_idle(endpoint))
            };
            let quarantine_end = || {
                let until = self.pool.borrow().quarantined_until(server);
                until.filter(|_| !needs_new)
            };
            let retry_at = match found {
                Checkout::Reuse(connection, idle_time) => {
                    self.open_spare_if_needed(server, endpoint);
                    let guard = ConnectionGuard::new(self.clone(), server, connection);
                    return Ok((guard, Some(idle_time)));
                }
                Checkout::Open => {
                    let handshake = Handshake { upstream: self, server, handshake_time: None };
                    // While this waits for a permit, a connection to the server that becomes idle is used instead.
                    let permit = match self.sockets.servers.try_acquire() {
                        Some(permit) => Some(permit),
                        // A connection to this server leaves quarantine sooner than another one's socket becomes
                        // free.
                        None if quarantine_end().is_some() => None,
                        None => self.wait_for_permit(server, needs_new, deadline).await?,
                    };
                    match permit {
                        Some(permit) => {
                            let opened = handshake.open(endpoint, permit, connect_timeout).await;
                            let connection = opened.ok_or(Outcome::ConnectFailed)?;
                            self.open_spare_if_needed(server, endpoint);
                            let guard = ConnectionGuard::new(self.clone(), server, connection);
                            return Ok((guard, None));
                        }
                        None => quarantine_end(),
                    }
                }
                Checkout::Wait(retry_at) => retry_at,
            };
            let waiter = ConnectionWaiter::new(self, server);
            let wake_at = retry_at.map_or(deadline, |retry_at| retry_at.min(deadline));
            tokio::select! {
                () = waiter.signals.idle.notified(), if !needs_new => {}
                () = waiter.signals.capacity.notified() => {}
                () = sleep_until(wake_at.into()) => {}
            }
            now = Instant::now();
            if now >= deadline {
                // The attempt failed for lack of a connection; this says nothing about the server.
                return Err(Outcome::NeverSent);
            }
        }
    }

    /// Waits for permission to open a new connection to `server`; it is held until the handshake is over. Permissions
    /// are granted in the order of the attempts. Without this order, later attempts overtake waiting ones, which then
    /// time out.
    async fn opening_slot(
        &self,
        server: ServerId,
        deadline: Instant,
    ) -> Result<OwnedSemaphorePermit, Outcome> {
        let semaphore = {
            let mut opening_slots = self.opening_slots.borrow_mut();
            let new_semaphore = || Arc::new(Semaphore::new(self.config.limits.opening));
            opening_slots.entry(server).or_insert_with(new_semaphore).clone()
        };
        let slot = timeout_at(deadline.into(), semaphore.acquire_owned()).await;
        slot.ok().and_then(Result::ok).ok_or(Outcome::NeverSent)
    }

    /// Waits for a socket permit when none is free. Returns `None` if a usable connection to `server` became idle
    /// first.
    async fn wait_for_permit(
        &self,
        server: ServerId,
        needs_new: bool,
        deadline: Instant,
    ) -> Result<Option<Permit>, Outcome> {
        let waiter = ConnectionWaiter::new(self, server);
        self.socket_waiters.set(self.socket_waiters.get() + 1);
        let _socket_waiter = SocketWaiter(&self.socket_waiters);
        // Closing an idle connection, here or in another engine of the budget, frees a socket.
        if !self.pool.borrow_mut().evict_oldest_idle() {
            self.sockets.servers.request_release();
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut acquiring = pin!(self.sockets.servers.acquire(remaining));
        loop {
            tokio::select! {
                biased;
                permit = &mut acquiring => return permit.map(Some).ok_or(Outcome::NeverSent),
                () = waiter.signals.idle.notified() => {
                    if needs_new {
                        self.pool.borrow_mut().evict_oldest_idle();
                        continue;
                    }
                    // Without this check an attempt that finds nothing usable would release its handshake slot, which
                    // wakes the next attempt, and so on in an endless loop over all waiting attempts.
                    if self.pool.borrow().quarantined_until(server).is_some() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Opens a connection in advance when the number of connections in use rises.
    fn open_spare_if_needed(self: &Rc<Upstream>, server: ServerId, endpoint: Endpoint) {
        if self.config.limits.spare == 0 || !self.pool.borrow_mut().start_spare(server) {
            return;
        }
        let upstream = self.clone();
        spawn_local(async move {
            let opened = match upstream.sockets.servers.try_acquire() {
                Some(permit) => {
                    Connection::open(
                        endpoint,
                        permit,
                        upstream.shared.clone(),
                        upstream.config.connect_timeout,
                    )
                    .await
                }
                None => None,
            };
            let idle_waker = upstream.idle_waker.borrow().clone();
            let mut cx = std::task::Context::from_waker(&idle_waker);
            let opened = opened.filter(|(c, _)| c.poll_idle(&mut cx) == SocketState::Quiet);
            upstream.pool.borrow_mut().spare_handshake_finished(server, opened, Instant::now());
            if let Some((_, signals)) = upstream.waiting.borrow().get(&server) {
                signals.idle.notify_one();
            }
        });
    }
}

/// A handshake that the pool has allowed. If it is dropped before it completes, it counts as failed.
struct Handshake<'a> {
    upstream: &'a Upstream,
    server: ServerId,
    handshake_time: Option<Duration>,
}

impl Handshake<'_> {
    async fn open(
        mut self,
        endpoint: Endpoint,
        permit: Permit,
        connect_timeout: Duration,
    ) -> Option<Connection> {
        let (connection, handshake_time) =
            Connection::open(endpoint, permit, self.upstream.shared.clone(), connect_timeout)
                .await?;
        self.handshake_time = Some(handshake_time);
        Some(connection)
    }
}

impl Drop for Handshake<'_> {
    fn drop(&mut self) {
        self.upstream.pool.borrow_mut().handshake_finished(self.server, self.handshake_time);
        self.upstream.notify_capacity(self.server);
    }
}

/// Wake-ups for attempts that wait for a connection to one server.
#[derive(Default)]
struct ConnectionSignals {
    /// A connection has become idle. Attempts that need a new connection do not wait for this: they would consume the
    /// notification of an attempt that can use the idle connection.
    idle: Notify,
    /// A connection may be opened, possibly in place of an idle one.
    capacity: Notify,
}

/// Registration of an attempt that waits for a connection to one server.
struct ConnectionWaiter<'a> {
    upstream: &'a Upstream,
    server: ServerId,
    signals: Rc<ConnectionSignals>,
}

impl<'a> ConnectionWaiter<'a> {
    fn new(upstream: &'a Upstream, server: ServerId) -> ConnectionWaiter<'a> {
        let mut waiting = upstream.waiting.borrow_mut();
        let (count, signals) = waiting.entry(server).or_default();
        *count += 1;
        ConnectionWaiter { upstream, server, signals: signals.clone() }
    }
}

impl Drop for ConnectionWaiter<'_> {
    fn drop(&mut self) {
        let mut waiting = self.upstream.waiting.borrow_mut();
        if let Some((count, _)) = waiting.get_mut(&self.server) {
            *count -= 1;
            if *count == 0 {
                waiting.remove(&self.server);
            }
        }
    }
}

/// Registration of an attempt that waits for a socket.
struct SocketWaiter<'a>(&'a Cell<usize>);

impl Drop for SocketWaiter<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
