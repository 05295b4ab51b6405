//! Connections to servers, and single attempts on them: the sockets beneath [`millethook_connect`].

mod attempt;
mod connection;
mod gate;
mod probe;
mod streaming;

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use coppercart::api::{Outcome, ServerId};
use millethook_connect::Begins;
use millethook_connect::answers::{FingerprintKey, SeenAnswers};
use millethook_connect::pool::{Checkout, Counts, Ended, Limits, Look, Matching, Pool, Reuse};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use crate::budget::{Permit, Sockets};
use crate::figures::Figures;
use crate::names::Names;

pub use attempt::{AnswerHead, AttemptOutcome, AttemptRequest};
pub use connection::Calls;
use connection::{Connection, Lease, Shared};
pub use gate::{Admission, Gate};
pub use probe::TrialPage;
pub use streaming::StreamingResponse;

/// How long an attempt may wait for a connection: for a socket that others hold, for a handshake of
/// others to end, for a connection to settle. Danger: a request that waits here is answered nowhere else.
const CONNECTION_WAIT: Duration = Duration::from_millis(50);
/// Between two looks at how long connections have rested.
const SWEEP: Duration = Duration::from_millis(500);

/// How servers and connections to them are met.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamConfig {
    /// When servers may begin with a request.
    pub begins: Begins,
    /// The longest that a handshake may take.
    pub connect_timeout: Duration,
    /// What bounds connections.
    pub limits: Limits,
    /// For how many requests each is used.
    pub reuse: Reuse,
}

/// All connections to servers.
pub struct Upstream {
    pool: RefCell<Pool<ServerId, Connection>>,
    fingerprints: FingerprintKey,
    /// What was seen of answers, by the class's place in the settings.
    answers: RefCell<SeenAnswers<usize, ServerId>>,
    sockets: Rc<Sockets>,
    names: Arc<Names>,
    config: UpstreamConfig,
    /// Attempts that wait for a connection to one server.
    waiting: RefCell<FxHashMap<ServerId, (usize, Rc<Waiters>)>>,
    /// Turns of attempts that need a new connection to one server.
    turns: RefCell<FxHashMap<ServerId, Arc<Semaphore>>>,
    /// Attempts that wait for a socket.
    starved: Cell<usize>,
    /// Whom connections at rest wake.
    watcher: RefCell<Waker>,
    shared: Rc<Shared>,
    figures: Rc<Figures>,
}

impl Upstream {
    /// No connections yet.
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
            turns: RefCell::default(),
            starved: Cell::new(0),
            watcher: RefCell::new(Waker::noop().clone()),
            shared: Rc::default(),
            figures,
        });
        spawn_local(upstream.clone().watch());
        spawn_local(upstream.clone().sweep());
        upstream
    }

    /// Drops what servers close, and what brings bytes unasked, as it happens.
    async fn watch(self: Rc<Upstream>) {
        poll_fn(|cx| {
            self.watcher.replace(cx.waker().clone());
            self.pool.borrow_mut().watch(Instant::now(), |connection| connection.watched(cx));
            Poll::<()>::Pending
        })
        .await;
    }

    /// Retires what has rested for long, and makes room for other engines of the budget.
    async fn sweep(self: Rc<Upstream>) {
        let mut next = Instant::now() + SWEEP;
        loop {
            tokio::select! {
                () = self.sockets.servers.wanted() => {
                    self.pool.borrow_mut().give_up_one();
                }
                () = sleep_until(next.into()) => {
                    next = Instant::now() + SWEEP;
                    let mut pool = self.pool.borrow_mut();
                    pool.watch(Instant::now(), |_| Look::Quiet);
                    pool.next_span();
                    // Those that nobody holds or waits for.
                    self.turns.borrow_mut().retain(|_, turns| Arc::strong_count(turns) > 1);
                }
            }
        }
    }

    /// From now on connections are used for so many requests.
    pub fn set_reuse(&self, reuse: Reuse) {
        self.pool.borrow_mut().set_reuse(reuse);
    }

    /// Closes the connections to `server` that are at rest; `gone`: it has left for good.
    pub fn close_idle(&self, server: ServerId, gone: bool) {
        self.pool.borrow_mut().close_idle(server, gone);
    }

    /// How many connections are in which state.
    pub fn counts(&self) -> Counts {
        self.pool.borrow().counts()
    }

    /// Calls to the system on connections so far.
    pub fn calls(&self) -> Calls {
        self.shared.calls()
    }

    /// Why connections ended.
    pub fn ended(&self) -> Ended {
        self.pool.borrow().ended()
    }

    fn release(&self, server: ServerId, connection: Connection) {
        // From now on the watch is woken by what happens on it.
        let watcher = self.watcher.borrow().clone();
        let looked = connection.watched(&mut std::task::Context::from_waker(&watcher));
        if looked != Look::Quiet {
            drop(connection);
            return self.discarded(server, looked == Look::Stray);
        }
        let has_room = {
            let mut pool = self.pool.borrow_mut();
            pool.release(server, connection, Instant::now());
            pool.has_room(server)
        };
        let waiters = self.waiting.borrow().get(&server).map(|(_, waiters)| waiters.clone());
        match waiters {
            Some(waiters) => {
                waiters.rested.notify_one();
                // A request that needs a new connection may close this one for it.
                if !has_room {
                    waiters.room.notify_one();
                }
            }
            // Danger: what waits for a socket alone would not see that all of them rest.
            None if self.starved.get() > 0 => {
                self.pool.borrow_mut().give_up_one();
            }
            None => {}
        }
    }

    fn used_quietly(&self, server: ServerId) {
        self.pool.borrow_mut().used_quietly(server);
    }

    fn discarded(&self, server: ServerId, stray: bool) {
        self.pool.borrow_mut().discarded(server, stray, Instant::now());
        self.room(server);
    }

    /// One more connection to `server` may be opened.
    fn room(&self, server: ServerId) {
        if let Some((_, waiters)) = self.waiting.borrow().get(&server) {
            waiters.room.notify_one();
        }
    }

    /// A connection to `server` for a request whose answer is told from others by `matching`: one at rest and for how long
    /// it has rested, or a new one.
    ///
    /// Cancel safe: what it has taken by then is given back.
    async fn connection(
        self: &Rc<Upstream>,
        server: ServerId,
        dial: SocketAddr,
        matching: Matching,
        patience: Duration,
    ) -> Result<(Lease, Option<Duration>), Outcome> {
        let began = Instant::now();
        let (until, mut now) = (began + CONNECTION_WAIT, began);
        let mut turn = None;
        loop {
            let needs_new = self.pool.borrow().needs_new(server, matching, now);
            if needs_new && turn.is_none() {
                turn = Some(self.turn(server, until).await?);
                now = Instant::now();
                continue;
            }
            let found = if needs_new {
                self.pool.borrow_mut().checkout_new(server)
            } else {
                self.pool.borrow_mut().checkout(server, now, |c| c.look(dial))
            };
            let settling = || {
                let until = self.pool.borrow().quarantined_until(server);
                until.filter(|_| !needs_new)
            };
            let settled = match found {
                Checkout::Reuse(connection, rested) => {
                    self.spare(server, dial);
                    let lease = Lease::new(self.clone(), server, connection);
                    return Ok((lease, Some(rested)));
                }
                Checkout::Open => {
                    let opening = Opening { upstream: self, server, took: None };
                    // Meanwhile one that comes to rest here will do.
                    let permit = match self.sockets.servers.try_take() {
                        Some(permit) => Some(permit),
                        // One of its own is to be had sooner than another one's socket.
                        None if settling().is_some() => None,
                        None => self.scarce_permit(server, needs_new, until).await?,
                    };
                    match permit {
                        Some(permit) => {
                            let opened = opening.open(dial, permit, patience).await;
                            let connection = opened.ok_or(Outcome::ConnectFailed)?;
                            self.spare(server, dial);
                            let lease = Lease::new(self.clone(), server, connection);
                            return Ok((lease, None));
                        }
                        None => settling(),
                    }
                }
                Checkout::Wait(settled) => settled,
            };
            let waiting = Waiting::new(self, server);
            let at = settled.map_or(until, |settled| settled.min(until));
            tokio::select! {
                () = waiting.at.rested.notified(), if !needs_new => {}
                () = waiting.at.room.notified() => {}
                () = sleep_until(at.into()) => {}
            }
            now = Instant::now();
            if now >= until {
                // For want of a connection here nothing is known of the server.
                return Err(Outcome::Moot);
            }
        }
    }

    /// A turn to open a new connection to `server`, held until its handshake is over. Turns are taken in the order in which
    /// attempts came: without this, who comes later passes those that wait, and they wait in vain.
    async fn turn(
        &self,
        server: ServerId,
        until: Instant,
    ) -> Result<OwnedSemaphorePermit, Outcome> {
        let turns = {
            let mut turns = self.turns.borrow_mut();
            let new = || Arc::new(Semaphore::new(self.config.limits.opening));
            turns.entry(server).or_insert_with(new).clone()
        };
        let turn = timeout_at(until.into(), turns.acquire_owned()).await;
        turn.ok().and_then(Result::ok).ok_or(Outcome::Moot)
    }

    /// A permit where none is free; None: a connection to `server` came to rest first, and will do.
    async fn scarce_permit(
        &self,
        server: ServerId,
        needs_new: bool,
        until: Instant,
    ) -> Result<Option<Permit>, Outcome> {
        let waiting = Waiting::new(self, server);
        self.starved.set(self.starved.get() + 1);
        let _starved = Starved(&self.starved);
        // A connection at rest, here or with another engine of the budget, makes room.
        if !self.pool.borrow_mut().give_up_one() {
            self.sockets.servers.want();
        }
        let left = until.saturating_duration_since(Instant::now());
        let mut taken = pin!(self.sockets.servers.take(left));
        loop {
            tokio::select! {
                biased;
                permit = &mut taken => return permit.map(Some).ok_or(Outcome::Moot),
                () = waiting.at.rested.notified() => {
                    if needs_new {
                        self.pool.borrow_mut().give_up_one();
                        continue;
                    }
                    // Danger: whoever left for nothing would free a handshake's place, wake the next
                    // one by that, and so on round all that wait.
                    if self.pool.borrow().quarantined_until(server).is_some() {
                        return Ok(None);
                    }
                }
            }
        }
    }

    /// Opens a connection ahead of need, where a rise shows.
    fn spare(self: &Rc<Upstream>, server: ServerId, dial: SocketAddr) {
        if self.config.limits.spare == 0 || !self.pool.borrow_mut().spare(server) {
            return;
        }
        let upstream = self.clone();
        spawn_local(async move {
            let opened = match upstream.sockets.servers.try_take() {
                Some(permit) => {
                    Connection::open(
                        dial,
                        permit,
                        upstream.shared.clone(),
                        upstream.config.connect_timeout,
                    )
                    .await
                }
                None => None,
            };
            let watcher = upstream.watcher.borrow().clone();
            let mut cx = std::task::Context::from_waker(&watcher);
            let opened = opened.filter(|(c, _)| c.watched(&mut cx) == Look::Quiet);
            upstream.pool.borrow_mut().opened_spare(server, opened, Instant::now());
            if let Some((_, waiters)) = upstream.waiting.borrow().get(&server) {
                waiters.rested.notify_one();
            }
        });
    }
}

/// A handshake that the pool has allowed. Dropped, it has failed.
struct Opening<'a> {
    upstream: &'a Upstream,
    server: ServerId,
    took: Option<Duration>,
}

impl Opening<'_> {
    async fn open(
        mut self,
        dial: SocketAddr,
        permit: Permit,
        patience: Duration,
    ) -> Option<Connection> {
        let (connection, took) =
            Connection::open(dial, permit, self.upstream.shared.clone(), patience).await?;
        self.took = Some(took);
        Some(connection)
    }
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        self.upstream.pool.borrow_mut().opened(self.server, self.took);
        self.upstream.room(self.server);
    }
}

/// How attempts that wait for a connection to one server are woken.
#[derive(Default)]
struct Waiters {
    /// One has come to rest. Who needs a new one does not wait for this: it would keep the news from those that do not.
    rested: Notify,
    /// One may be opened, perhaps in the place of one at rest.
    room: Notify,
}

/// An attempt's place among those that wait for a connection to one server.
struct Waiting<'a> {
    upstream: &'a Upstream,
    server: ServerId,
    at: Rc<Waiters>,
}

impl<'a> Waiting<'a> {
    fn new(upstream: &'a Upstream, server: ServerId) -> Waiting<'a> {
        let mut waiting = upstream.waiting.borrow_mut();
        let (n, at) = waiting.entry(server).or_default();
        *n += 1;
        Waiting { upstream, server, at: at.clone() }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut waiting = self.upstream.waiting.borrow_mut();
        if let Some((n, _)) = waiting.get_mut(&self.server) {
            *n -= 1;
            if *n == 0 {
                waiting.remove(&self.server);
            }
        }
    }
}

/// An attempt's place among those that wait for a socket.
struct Starved<'a>(&'a Cell<usize>);

impl Drop for Starved<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
