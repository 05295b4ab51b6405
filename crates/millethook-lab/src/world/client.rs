//! The clients of one sidecar: they send the plan's requests at their planned times (open loop) and retry where
//! allowed.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::http::{HttpConnection, IdleState, Message};
use super::server::RunContext;
use crate::ledger::{End, Micros, Request, RequestId};
use crate::timeline::{Class, Effect, Group};

/// Concurrent requests of one sidecar's clients; a request beyond the limit waits and is recorded as late.
const MAX_CONCURRENT_REQUESTS: usize = 512;
/// Idle connections kept in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Additional wait after the deadline, to distinguish a late answer from a missing one.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(1500);
/// Timeout of a connection attempt to the sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Histogram of the delay between planned and actual start of requests, over all clients, in microseconds.
pub struct Lateness(Mutex<Histogram<u64>>);

impl Lateness {
    /// Creates an empty histogram.
    ///
    /// # Errors
    /// The histogram's bounds are invalid.
    pub fn new() -> Result<Lateness, hdrhistogram::CreationError> {
        Ok(Lateness(Mutex::new(Histogram::new_with_bounds(1, 3_600_000_000, 3)?)))
    }

    fn note(&self, late: Duration) {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(late.as_micros() as u64);
    }

    /// The given quantile of the delay.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_micros(histogram.value_at_quantile(quantile))
    }
}

/// The application sends requests and opens connections. It stops and starts with its sidecar at planned restarts.
const SENDING: u8 = 0;
/// The application sends on open connections and opens no new ones.
const REUSING_CONNECTIONS: u8 = 1;
/// The application sends nothing.
const STOPPED: u8 = 2;

/// The clients of one sidecar.
pub struct Clients {
    context: Arc<RunContext>,
    sidecar: usize,
    lateness: Arc<Lateness>,
    /// Client addresses of the sidecar's processes: one, or two if it has a twin.
    addresses: Mutex<Vec<SocketAddr>>,
    sending_state: AtomicU8,
    idle: Mutex<VecDeque<(HttpConnection, RequestId, SocketAddr)>>,
    permits: Semaphore,
    next_address: AtomicUsize,
    /// The last receipts by class; shared by the clients that pass them on to one another.
    receipts: Arc<Receipts>,
}

/// The last receipt of each class, with the request it was issued for and its position in the chain.
pub type Receipts = Mutex<std::collections::HashMap<usize, (String, RequestId, usize)>>;
/// Maximum number of writes in a chain, after which a new chain starts.
const MAX_CHAIN_LENGTH: usize = 10;

impl Clients {
    /// Creates the clients of a sidecar that listens at `at`.
    pub fn new(
        context: &Arc<RunContext>,
        sidecar: usize,
        lateness: &Arc<Lateness>,
        at: SocketAddr,
        receipts: Arc<Receipts>,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            context: context.clone(),
            sidecar,
            lateness: lateness.clone(),
            addresses: Mutex::new(vec![at]),
            sending_state: AtomicU8::new(SENDING),
            idle: Mutex::default(),
            permits: Semaphore::new(MAX_CONCURRENT_REQUESTS),
            next_address: AtomicUsize::new(0),
            receipts,
        })
    }

    /// Starts or stops the application.
    pub fn set_sending(&self, sending: bool) {
        self.sending_state.store(if sending { SENDING } else { STOPPED }, Ordering::Relaxed);
    }

    /// The sidecar is about to exit: open connections stay in use, and no new ones are opened.
    pub fn stop_connecting(&self) {
        self.sending_state.store(REUSING_CONNECTIONS, Ordering::Relaxed);
    }

    /// A process of the sidecar has exited; after a planned exit the application stops too.
    pub fn ended(&self) {
        let transition = (REUSING_CONNECTIONS, STOPPED);
        // The exchange fails if the exit was not planned, or if a new process is already in use.
        let _ = self.sending_state.compare_exchange(
            transition.0,
            transition.1,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// Adds the client address of another process.
    pub fn add_address(&self, at: SocketAddr) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).push(at);
    }

    /// Sends all planned requests; returns once each is answered or abandoned.
    pub async fn run(self: Arc<Clients>) {
        let plan = self.context.plan.clone();
        let mut tasks = tokio::task::JoinSet::new();
        for (nth, arrival) in plan.sidecars[self.sidecar].arrivals.iter().enumerate() {
            let due = self.context.clock.at(Duration::from_micros(arrival.at));
            sleep_until(Instant::from_std(due)).await;
            while tasks.try_join_next().is_some() {}
            if self.sending_state.load(Ordering::Relaxed) == STOPPED {
                self.context.ledger.open().not_sent += 1;
                continue;
            }
            let (clients, at) = (self.clone(), arrival.at);
            tasks.spawn(async move {
                let Ok(_permit) = clients.permits.acquire().await else { return };
                clients.lateness.note(due.elapsed());
                clients.operation(nth, at).await;
            });
        }
        while tasks.join_next().await.is_some() {}
        for (mut connection, id, _) in
            self.idle.lock().unwrap_or_else(PoisonError::into_inner).drain(..)
        {
            if connection.idle_state() == IdleState::Stray {
                self.record_stray(id);
            }
        }
    }

    fn record_stray(&self, id: RequestId) {
        let at = self.context.clock.now();
        self.context.ledger.open().strays.push((at, id));
    }

    /// Sends one request, with the client's retries.
    async fn operation(&self, nth: usize, due: Micros) {
        let load = &self.context.timeline.load;
        let arrival = self.context.plan.sidecars[self.sidecar].arrivals[nth];
        let class = &self.context.timeline.classes[arrival.class];
        let deadline = Duration::from_secs_f64(class.deadline_ms / 1e3);
        let begin = Instant::now();
        let mut backoff = Duration::from_secs_f64(load.backoff_ms / 1e3);
        for attempt in 0..=load.retries {
            let left = deadline.saturating_sub(begin.elapsed());
            if left < Duration::from_millis(1) {
                return;
            }
            let id = RequestId::new(self.sidecar, nth, attempt);
            let (end, retry_after) = self.attempt(id, arrival.class, due, left).await;
            if !may_retry(class, end, begin.elapsed()) {
                return;
            }
            sleep(retry_after.unwrap_or(backoff)).await;
            backoff *= 2;
        }
    }

    /// Makes one attempt; returns its result and the delay of a `Retry-After` header.
    async fn attempt(
        &self,
        id: RequestId,
        class: usize,
        due: Micros,
        left: Duration,
    ) -> (End, Option<Duration>) {
        let receipt = self.receipt(class);
        let request = self.request(id, class, left, receipt.as_ref().map(|r| r.0.as_str()));
        let clock = &self.context.clock;
        let mut row = Request {
            id,
            class,
            due,
            sent: clock.now(),
            left: left.as_micros() as Micros,
            ended: 0,
            end: End::Open,
            after: receipt.as_ref().map(|r| r.1),
        };
        let pooled = self.checkout();
        let reused = pooled.is_some();
        if !reused && self.sending_state.load(Ordering::Relaxed) != SENDING {
            self.context.ledger.open().not_sent += 1;
            return (End::Open, None);
        }
        let (mut connection, at) = match pooled {
            Some(pooled) => pooled,
            None => match self.connect(self.address(), left).await {
                Some(fresh) => fresh,
                None => {
                    (row.ended, row.end) = (clock.now(), End::Unreached);
                    self.context.ledger.request(row);
                    return (End::Unreached, None);
                }
            },
        };
        let mut written = connection.send(request.as_bytes()).await;
        row.sent = clock.now();
        let nth = self.context.ledger.request(row);
        let mut answer = match &written {
            Ok(()) => timeout(left + LATE_ANSWER_WAIT, connection.answer()).await.ok(),
            Err(_) => Some(Ok(None)),
        };
        // A sidecar may close an idle connection while a request is on its way to it. The client then sends the
        // request once more on a new connection.
        let closed_before_use = reused
            && !connection.has_partial_message()
            && matches!(answer, Some(Ok(None) | Err(_)));
        let mut unreached = false;
        if closed_before_use {
            match self.connect(at, left).await {
                Some((fresh, _)) => {
                    connection = fresh;
                    written = connection.send(request.as_bytes()).await;
                    answer = match written {
                        Ok(()) => timeout(left + LATE_ANSWER_WAIT, connection.answer()).await.ok(),
                        Err(_) => Some(Ok(None)),
                    };
                }
                None => unreached = true,
            }
        }
        let ended = clock.now();
        let (end, retry_after) = match answer {
            None => (End::Silent, None),
            Some(Err(_) | Ok(None)) if unreached => (End::Unreached, None),
            Some(Err(_) | Ok(None)) if !connection.has_partial_message() => (End::Closed, None),
            Some(Err(_) | Ok(None)) => (End::Broken, None),
            Some(Ok(Some(message))) => {
                let end = classify_answer(id, &message);
                if end == End::Kept {
                    let depth = receipt.as_ref().map_or(1, |r| r.2 + 1);
                    self.store_receipt(class, &message, id, depth);
                }
                let delay = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
                let delay = delay.filter(|s| (0.0..60.0).contains(s)).map(Duration::from_secs_f64);
                let closes = message.header("connection").is_some_and(|v| v.contains("close"));
                if !closes {
                    self.release(connection, id, at);
                }
                (end, delay)
            }
        };
        self.context.ledger.ended(nth, ended, end);
        (end, retry_after)
    }

    async fn connect(
        &self,
        at: SocketAddr,
        left: Duration,
    ) -> Option<(HttpConnection, SocketAddr)> {
        let stream = timeout(CONNECT_TIMEOUT.min(left), TcpStream::connect(at)).await.ok()?.ok()?;
        Some((HttpConnection::new(stream), at))
    }

    /// The receipt for the next write of a class.
    fn receipt(&self, class: usize) -> Option<(String, RequestId, usize)> {
        if self.context.timeline.classes[class].chain == 0 {
            return None;
        }
        let receipts = self.receipts.lock().unwrap_or_else(PoisonError::into_inner);
        receipts.get(&class).filter(|r| r.2 < MAX_CHAIN_LENGTH).cloned()
    }

    fn store_receipt(&self, class: usize, message: &Message, id: RequestId, depth: usize) {
        let Some(receipt) = message.header("millethook-context") else { return };
        let mut receipts = self.receipts.lock().unwrap_or_else(PoisonError::into_inner);
        receipts.insert(class, (receipt.to_owned(), id, depth));
    }

    fn request(
        &self,
        id: RequestId,
        class: usize,
        left: Duration,
        receipt: Option<&str>,
    ) -> String {
        let class = &self.context.timeline.classes[class];
        let prefer = if class.receipts { "Prefer: respond-async\r\n" } else { "" };
        let after = receipt.map_or(String::new(), |r| format!("Millethook-After: {r}\r\n"));
        let head = |method: &str, more: &str| {
            format!(
                "{method} /{} HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: {}\r\nX-Account: acme\r\n\
                 X-Time-Left-Ms: {}\r\n{prefer}{after}{more}\r\n",
                class.name,
                id.to_hex(),
                left.as_millis()
            )
        };
        match class.effect {
            Effect::Safe => head("GET", ""),
            Effect::Keyed => {
                let key =
                    format!("Idempotency-Key: {:032x}\r\nContent-Length: 4\r\n", id.operation());
                head("POST", &key) + "keep"
            }
            Effect::Unsafe => head("POST", "Content-Length: 5\r\n") + "order",
        }
    }

    fn address(&self) -> SocketAddr {
        let addresses = self.addresses.lock().unwrap_or_else(PoisonError::into_inner);
        addresses[self.next_address.fetch_add(1, Ordering::Relaxed) % addresses.len()]
    }

    /// Takes an idle connection without unread bytes from the pool. After SIGTERM all open connections are used in
    /// turn, so that each one that the sidecar keeps open gets requests until the sidecar exits.
    fn checkout(&self) -> Option<(HttpConnection, SocketAddr)> {
        loop {
            let round_robin = self.sending_state.load(Ordering::Relaxed) == REUSING_CONNECTIONS;
            let pooled = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                if round_robin { idle.pop_front() } else { idle.pop_back() }
            };
            let (mut connection, id, at) = pooled?;
            match connection.idle_state() {
                IdleState::Clean => return Some((connection, at)),
                IdleState::Closed => {}
                IdleState::Stray => self.record_stray(id),
            }
        }
    }

    fn release(&self, connection: HttpConnection, id: RequestId, at: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push_back((connection, id, at));
        }
    }
}

fn classify_answer(id: RequestId, message: &Message) -> End {
    match message.status {
        200 if message.body == id.to_hex().as_bytes() => End::Served,
        200 => End::Foreign,
        202 => End::Kept,
        429 | 503 => End::Refused,
        status => End::Failed(status),
    }
}

/// Whether a client retries, by the policy of the platform's clients.
fn may_retry(class: &Class, end: End, passed: Duration) -> bool {
    match end {
        End::Served | End::Kept | End::Foreign | End::Open => false,
        End::Refused | End::Unreached | End::Closed => true,
        End::Failed(_) | End::Broken | End::Silent => match (class.effect, class.group) {
            (Effect::Safe, _) => true,
            (Effect::Keyed, Group::All) => passed.as_secs_f64() * 1e3 < class.window_ms,
            (Effect::Keyed | Effect::Unsafe, _) => false,
        },
    }
}
