//! The clients of one sidecar: open loop, by the plan, with retries where they are allowed.

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
use super::server::Stage;
use crate::ledger::{End, Micros, Request, RequestId};
use crate::timeline::{Class, Effect, Group};

/// Requests of one sidecar's clients at once; one more waits, and its arrival counts as late.
const AT_ONCE: usize = 512;
/// Connections at rest.
const AT_REST: usize = 64;
/// A client waits for so long beyond its time, to tell a late answer from none.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long a connection to the sidecar may take.
const CONNECT: Duration = Duration::from_secs(1);

/// How late arrivals were, over all clients, in microseconds.
pub struct Lateness(Mutex<Histogram<u64>>);

impl Lateness {
    /// Nothing yet.
    ///
    /// # Errors
    /// The histogram's bounds are not sound.
    pub fn new() -> Result<Lateness, hdrhistogram::CreationError> {
        Ok(Lateness(Mutex::new(Histogram::new_with_bounds(1, 3_600_000_000, 3)?)))
    }

    fn note(&self, late: Duration) {
        let mut histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(late.as_micros() as u64);
    }

    /// The lateness that so many of all arrivals stay under.
    pub fn quantile(&self, quantile: f64) -> Duration {
        let histogram = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        Duration::from_micros(histogram.value_at_quantile(quantile))
    }
}

/// Whether the application runs; it stops and starts with its sidecar at planned restarts.
const OFFERS: u8 = 0;
/// It sends on the connections that are open, and opens none.
const KEEPS: u8 = 1;
const STOPPED: u8 = 2;

/// The clients of one sidecar.
pub struct Clients {
    stage: Arc<Stage>,
    sidecar: usize,
    lateness: Arc<Lateness>,
    /// Where its processes accept clients: one, or two where it has a twin.
    addresses: Mutex<Vec<SocketAddr>>,
    offering: AtomicU8,
    rest: Mutex<VecDeque<(HttpConnection, RequestId, SocketAddr)>>,
    places: Semaphore,
    turn: AtomicUsize,
    /// The last receipts, by class, and whose they were; shared by those that pass them on.
    receipts: Arc<Receipts>,
}

/// The last receipt of each class, as clients pass it on.
pub type Receipts = Mutex<std::collections::HashMap<usize, (String, RequestId, usize)>>;
/// A chain of writes begins anew after so many.
const CHAIN: usize = 10;

impl Clients {
    /// The clients of a sidecar that listens at `at`.
    pub fn new(
        stage: &Arc<Stage>,
        sidecar: usize,
        lateness: &Arc<Lateness>,
        at: SocketAddr,
        receipts: Arc<Receipts>,
    ) -> Arc<Clients> {
        Arc::new(Clients {
            stage: stage.clone(),
            sidecar,
            lateness: lateness.clone(),
            addresses: Mutex::new(vec![at]),
            offering: AtomicU8::new(OFFERS),
            rest: Mutex::default(),
            places: Semaphore::new(AT_ONCE),
            turn: AtomicUsize::new(0),
            receipts,
        })
    }

    /// The application stops, or starts.
    pub fn offer(&self, offering: bool) {
        self.offering.store(if offering { OFFERS } else { STOPPED }, Ordering::Relaxed);
    }

    /// The sidecar is about to end: what is open is used on.
    pub fn connect_no_more(&self) {
        self.offering.store(KEEPS, Ordering::Relaxed);
    }

    /// A process of the sidecar has ended; if that was planned the application has, too.
    pub fn ended(&self) {
        let planned = (KEEPS, STOPPED);
        // Another one may have taken its place by now.
        let _ = self.offering.compare_exchange(
            planned.0,
            planned.1,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
    }

    /// One more process accepts clients.
    pub fn also_at(&self, at: SocketAddr) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner).push(at);
    }

    /// Sends what the plan says, to the end; returns once all is answered or given up.
    pub async fn run(self: Arc<Clients>) {
        let plan = self.stage.plan.clone();
        let mut tasks = tokio::task::JoinSet::new();
        for (nth, arrival) in plan.sidecars[self.sidecar].arrivals.iter().enumerate() {
            let due = self.stage.clock.at(Duration::from_micros(arrival.at));
            sleep_until(Instant::from_std(due)).await;
            while tasks.try_join_next().is_some() {}
            if self.offering.load(Ordering::Relaxed) == STOPPED {
                self.stage.ledger.open().not_offered += 1;
                continue;
            }
            let (clients, at) = (self.clone(), arrival.at);
            tasks.spawn(async move {
                let Ok(_place) = clients.places.acquire().await else { return };
                clients.lateness.note(due.elapsed());
                clients.operation(nth, at).await;
            });
        }
        while tasks.join_next().await.is_some() {}
        for (mut wire, id, _) in self.rest.lock().unwrap_or_else(PoisonError::into_inner).drain(..)
        {
            if wire.idle_state() == IdleState::Stray {
                self.stray(id);
            }
        }
    }

    fn stray(&self, id: RequestId) {
        let at = self.stage.clock.now();
        self.stage.ledger.open().strays.push((at, id));
    }

    /// One request with the tries that its client makes.
    async fn operation(&self, nth: usize, due: Micros) {
        let load = &self.stage.timeline.load;
        let arrival = self.stage.plan.sidecars[self.sidecar].arrivals[nth];
        let class = &self.stage.timeline.classes[arrival.class];
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
            if !may_try_again(class, end, begin.elapsed()) {
                return;
            }
            sleep(retry_after.unwrap_or(backoff)).await;
            backoff *= 2;
        }
    }

    /// One try; its end, and when to come back if that was told.
    async fn attempt(
        &self,
        id: RequestId,
        class: usize,
        due: Micros,
        left: Duration,
    ) -> (End, Option<Duration>) {
        let receipt = self.receipt(class);
        let request = self.request(id, class, left, receipt.as_ref().map(|r| r.0.as_str()));
        let clock = &self.stage.clock;
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
        let rested = self.checkout();
        let reused = rested.is_some();
        if !reused && self.offering.load(Ordering::Relaxed) != OFFERS {
            self.stage.ledger.open().not_offered += 1;
            return (End::Open, None);
        }
        let (mut wire, at) = match rested {
            Some(rested) => rested,
            None => match self.connect(self.address(), left).await {
                Some(fresh) => fresh,
                None => {
                    (row.ended, row.end) = (clock.now(), End::Unreached);
                    self.stage.ledger.request(row);
                    return (End::Unreached, None);
                }
            },
        };
        let mut written = wire.send(request.as_bytes()).await;
        row.sent = clock.now();
        let nth = self.stage.ledger.request(row);
        let mut answer = match &written {
            Ok(()) => timeout(left + PATIENCE, wire.answer()).await.ok(),
            Err(_) => Some(Ok(None)),
        };
        // A sidecar may close a connection between requests. If that crosses one, its client sends it once more
        // on a new connection.
        let crossed = reused && !wire.begun() && matches!(answer, Some(Ok(None) | Err(_)));
        let mut unreached = false;
        if crossed {
            match self.connect(at, left).await {
                Some((fresh, _)) => {
                    wire = fresh;
                    written = wire.send(request.as_bytes()).await;
                    answer = match written {
                        Ok(()) => timeout(left + PATIENCE, wire.answer()).await.ok(),
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
            Some(Err(_) | Ok(None)) if !wire.begun() => (End::Closed, None),
            Some(Err(_) | Ok(None)) => (End::Broken, None),
            Some(Ok(Some(message))) => {
                let end = end_of(id, &message);
                if end == End::Kept {
                    let depth = receipt.as_ref().map_or(1, |r| r.2 + 1);
                    self.take_receipt(class, &message, id, depth);
                }
                let told = message.header("retry-after").and_then(|v| v.parse::<f64>().ok());
                let told = told.filter(|s| (0.0..60.0).contains(s)).map(Duration::from_secs_f64);
                let closes = message.header("connection").is_some_and(|v| v.contains("close"));
                if !closes {
                    self.put_back(wire, id, at);
                }
                (end, told)
            }
        };
        self.stage.ledger.ended(nth, ended, end);
        (end, retry_after)
    }

    async fn connect(
        &self,
        at: SocketAddr,
        left: Duration,
    ) -> Option<(HttpConnection, SocketAddr)> {
        let stream = timeout(CONNECT.min(left), TcpStream::connect(at)).await.ok()?.ok()?;
        Some((HttpConnection::new(stream), at))
    }

    /// The receipt that the next write of a class carries.
    fn receipt(&self, class: usize) -> Option<(String, RequestId, usize)> {
        if self.stage.timeline.classes[class].chain == 0 {
            return None;
        }
        let receipts = self.receipts.lock().unwrap_or_else(PoisonError::into_inner);
        receipts.get(&class).filter(|r| r.2 < CHAIN).cloned()
    }

    fn take_receipt(&self, class: usize, message: &Message, id: RequestId, depth: usize) {
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
        let class = &self.stage.timeline.classes[class];
        let prefer = if class.receipts { "Prefer: respond-async\r\n" } else { "" };
        let after = receipt.map_or(String::new(), |r| format!("Millethook-After: {r}\r\n"));
        let head = |method: &str, more: &str| {
            format!(
                "{method} /{} HTTP/1.1\r\nHost: app\r\nX-Correlation-Id: {}\r\nX-Account: acme\r\n\
                 X-Time-Left-Ms: {}\r\n{prefer}{after}{more}\r\n",
                class.name,
                id.wire(),
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
        addresses[self.turn.fetch_add(1, Ordering::Relaxed) % addresses.len()]
    }

    /// A connection at rest on which nothing stands. After SIGTERM all that are open are used in turn, so that each
    /// one that the sidecar leaves open gets requests up to its end.
    fn checkout(&self) -> Option<(HttpConnection, SocketAddr)> {
        loop {
            let in_turn = self.offering.load(Ordering::Relaxed) == KEEPS;
            let rested = {
                let mut rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner);
                if in_turn { rest.pop_front() } else { rest.pop_back() }
            };
            let (mut wire, id, at) = rested?;
            match wire.idle_state() {
                IdleState::Clean => return Some((wire, at)),
                IdleState::Closed => {}
                IdleState::Stray => self.stray(id),
            }
        }
    }

    fn put_back(&self, wire: HttpConnection, id: RequestId, at: SocketAddr) {
        let mut rest = self.rest.lock().unwrap_or_else(PoisonError::into_inner);
        if rest.len() < AT_REST {
            rest.push_back((wire, id, at));
        }
    }
}

fn end_of(id: RequestId, message: &Message) -> End {
    match message.status {
        200 if message.body == id.wire().as_bytes() => End::Served,
        200 => End::Foreign,
        202 => End::Kept,
        429 | 503 => End::Refused,
        status => End::Failed(status),
    }
}

/// Whether a client tries again, as the platform's clients do.
fn may_try_again(class: &Class, end: End, passed: Duration) -> bool {
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
