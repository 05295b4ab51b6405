//! Clients: their connections and requests. A request is taken when it is whole, and gets one
//! answer; those of one connection follow one another in order.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use millethook_engine::budget::{self, Permit, Sockets};
use millethook_engine::driver::{Driver, Reply, RequestHead};
use millethook_engine::names::Names;
use millethook_engine::stream::{self, Observer, Stream};
use millethook_engine::upload::{LONGEST_UPLOAD, NotTaken, Upload};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::answer::{self, AnswerBody};
use crate::body::{FeedError, Gone, Held, Pace, ReadError, feed, framing, hold};
use crate::edge::{CONTEXT, Edge, Kept, Receipt};
use crate::guard::{HeadScan, OpenIds};
use crate::head::{HeadOverrides, parse_head};

/// The most that hyper reads ahead, and so the longest head. Danger: each of a crowd of clients may
/// fill as much.
const READ_AHEAD: usize = 32 << 10;
/// How long a client may take for a request's head, however it spreads it; bodies have [`Pace`].
/// Guards against heads that never end, and clients that send a byte now and then to stay. Danger: a
/// client on a machine that stands still for so long loses its connection, and what it sends with it.
const SLOWEST_HEAD: Duration = Duration::from_millis(2400);
/// How long a connection may say nothing at first.
const SLOWEST_FIRST: Duration = Duration::from_secs(2);
/// How long a connection may rest between requests.
const REST: Duration = Duration::from_secs(20);
/// A client that reads nothing of its answer for so long is let go.
const WRITE_STALL: Duration = Duration::from_secs(5);
/// In a crowd, who takes longer than this for the first bytes of a request goes before those that
/// have asked: a client that has something to ask begins at once.
const SLOW_FIRST: Duration = Duration::from_millis(300);
/// In a crowd, who takes longer than this for a whole request goes first.
const SLOW_REQUEST: Duration = Duration::from_millis(1000);
/// Where places are short, who has asked once and then nothing for so long goes ahead of time, and who
/// has asked more often after the longer time. Danger: who was about to ask again connects anew.
const ONCE: Duration = Duration::from_millis(100);
const OFTEN: Duration = Duration::from_secs(2);
/// Between two looks at where a connection's client is.
const LOOK: Duration = Duration::from_millis(250);
/// How long an ended connection is read on, so that what the client still sends does not take
/// its answer away.
const LINGER: Duration = Duration::from_secs(2);
/// So much is read of it at once, and a pause is made.
const LINGER_PIECE: usize = 64 << 10;
const LINGER_PAUSE: Duration = Duration::from_millis(5);
/// When a client should come back whose request waits for one that is kept.
const COME_BACK: Duration = Duration::from_secs(1);
/// A pause before accepting again when the system has no descriptor left.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);

/// Where a connection's client is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
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
struct Client {
    phase: Cell<Phase>,
    /// hyper has all of the last answer; what is flushed next is its end.
    complete: Cell<bool>,
    /// How many answers it has had.
    answers: Cell<u32>,
    /// What has been read of the request that is coming.
    head: RefCell<HeadScan>,
    /// When the phase began, and when bytes last moved.
    since: Cell<Instant>,
    moved: Cell<Instant>,
    leave: Notify,
}

impl Client {
    fn new() -> Client {
        let now = Instant::now();
        Client {
            phase: Cell::new(Phase::Resting),
            complete: Cell::new(false),
            answers: Cell::new(0),
            head: RefCell::default(),
            since: Cell::new(now),
            moved: Cell::new(now),
            leave: Notify::new(),
        }
    }

    fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// Whether it has had an answer.
    fn asked(&self) -> bool {
        self.answers.get() > 0
    }

    /// Whether a request of its own is under way.
    fn busy(&self) -> bool {
        matches!(self.phase.get(), Phase::Taken | Phase::Answered)
    }

    /// In a crowd, who is to go first: the lower, the sooner. None: not to go at all.
    fn rank(&self) -> Option<(u8, Instant)> {
        match self.phase.get() {
            Phase::Taken | Phase::Answered => None,
            // Danger: in a crowd, connections that only wait for their clients to close them
            // would keep new ones out.
            Phase::Ending => Some((0, self.since.get())),
            Phase::Partial | Phase::Body if self.since.get().elapsed() > SLOW_REQUEST => {
                Some((1, self.since.get()))
            }
            // Danger: were the longest at rest to go first, silent newcomers would drive out those
            // that ask again and again.
            Phase::Resting if !self.asked() && self.since.get().elapsed() > SLOW_FIRST => {
                Some((1, self.since.get()))
            }
            Phase::Resting if self.asked() => Some((2, self.moved.get())),
            Phase::Resting => Some((3, self.since.get())),
            Phase::Partial | Phase::Body => Some((4, self.since.get())),
        }
    }

    /// Where places are short, who of those at rest is to go first, if it is to go at all.
    fn to_spare(&self) -> Option<(bool, Instant)> {
        let (often, rested) = (self.answers.get() > 1, self.moved.get());
        let long = rested.elapsed() > if often { OFTEN } else { ONCE };
        (self.phase.get() == Phase::Resting && self.asked() && long).then_some((often, rested))
    }

    fn stalled(&self) -> bool {
        let (still, spent) = (self.moved.get().elapsed(), self.since.get().elapsed());
        match self.phase.get() {
            Phase::Body | Phase::Taken | Phase::Ending => false,
            Phase::Resting => spent > if self.asked() { REST } else { SLOWEST_FIRST },
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
            self.head.borrow_mut().take(bytes);
        }
    }

    fn on_write(&self, _bytes: &[u8]) {
        self.moved.set(Instant::now());
    }

    fn on_flush(&self) {
        if self.complete.replace(false) && self.phase.get() == Phase::Answered {
            self.answers.set(self.answers.get().saturating_add(1));
            self.enter(Phase::Resting);
        }
    }
}

/// The side of the sidecar that clients see.
pub struct Ingress {
    driver: Rc<Driver>,
    names: RefCell<Arc<Names>>,
    sockets: Rc<Sockets>,
    bytes: Arc<budget::Bytes>,
    ids: Rc<OpenIds>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    accepted: Cell<(u64, Instant)>,
    draining: Cell<bool>,
    tried: Cell<bool>,
    /// Where writes are kept while no server can be reached, if they are.
    edge: RefCell<Option<Rc<Edge>>>,
    /// Who takes over the connections of clients, at a planned end.
    successor: RefCell<Option<Rc<dyn Successor>>>,
}

/// A process that goes on with clients' connections where this one ends.
pub trait Successor {
    /// Passes an idle connection on; `asked`: its client has had an answer. False: it stays here.
    fn pass(&self, connection: &TcpStream, asked: bool) -> bool;
}

impl Ingress {
    /// An ingress without clients.
    pub fn new(
        driver: Rc<Driver>,
        names: Arc<Names>,
        sockets: Rc<Sockets>,
        bytes: Arc<budget::Bytes>,
        ids: Rc<OpenIds>,
    ) -> Rc<Ingress> {
        Rc::new(Ingress {
            ids,
            driver,
            names: RefCell::new(names),
            sockets,
            bytes,
            clients: RefCell::default(),
            accepted: Cell::new((0, Instant::now())),
            draining: Cell::new(false),
            tried: Cell::new(false),
            edge: RefCell::default(),
            successor: RefCell::default(),
        })
    }

    /// From now on idle connections go to `successor`, and the others after their answer.
    pub fn hand_over(&self, successor: Rc<dyn Successor>) {
        self.draining.set(true);
        self.successor.replace(Some(successor));
    }

    /// Writes are kept there from now on, where no server can be reached.
    pub fn keep_at(&self, edge: Rc<Edge>) {
        self.edge.replace(Some(edge));
    }

    /// Whether requests can be served: discovery was tried, and there is a list of servers.
    pub fn is_ready(&self) -> bool {
        self.tried.get() && self.driver.listed()
    }

    /// How many clients are connected.
    pub fn connected(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Discovery has answered, or failed to: what is known of servers is as new as can be.
    pub fn discovery_tried(&self) {
        self.tried.set(true);
    }

    /// Requests that come from now on are read by these names.
    pub fn renamed(&self, names: Arc<Names>) {
        self.names.replace(names);
    }

    /// From now on each answer is the last on its connection.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// When the last connection came.
    pub fn last_accepted(&self) -> Instant {
        self.accepted.get().1
    }

    /// How many requests are under way.
    pub fn busy(&self) -> usize {
        self.clients.borrow().values().filter(|c| c.busy()).count()
    }

    /// Closes the connections on which no request is under way; `partial`: those too on which
    /// one has begun to come.
    pub fn close_idle(&self, partial: bool) {
        for client in self.clients.borrow().values() {
            let phase = client.phase.get();
            if phase == Phase::Resting || (partial && matches!(phase, Phase::Partial | Phase::Body))
            {
                client.leave.notify_one();
            }
        }
    }

    /// Accepts clients for as long as it is polled.
    pub async fn accept(self: Rc<Ingress>, listener: TcpListener) {
        loop {
            let place = self.place().await;
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.accepted.set((self.accepted.get().0, Instant::now()));
                    self.take(socket, place, false);
                }
                Err(e) => {
                    // Danger: an accept that fails for want of descriptors (or because the client
                    // is gone again) must not end accepting.
                    tracing::warn!(event = "accept_failed", "accept: {e}");
                    self.evict();
                    sleep(NO_DESCRIPTOR).await;
                }
            }
        }
    }

    /// Goes on with a connection that another process passed on. Waits for a place for it.
    pub async fn adopt(self: &Rc<Ingress>, socket: TcpStream, asked: bool) {
        let place = self.place().await;
        self.take(socket, place, asked);
    }

    fn take(self: &Rc<Ingress>, socket: TcpStream, place: Permit, asked: bool) {
        let (n, last) = self.accepted.get();
        self.accepted.set((n + 1, last));
        let client = Client::new();
        client.answers.set(asked.into());
        tokio::task::spawn_local(self.clone().client(n, socket, place, Rc::new(client)));
        self.thin();
    }

    /// A place for one more client. In a crowd one that has nothing under way makes room.
    async fn place(&self) -> Permit {
        loop {
            let free = self.sockets.clients.clone();
            if let Ok(place) = free.clone().try_acquire_owned() {
                return place;
            }
            self.evict();
            if let Ok(Ok(place)) = timeout(NO_DESCRIPTOR, free.acquire_owned()).await {
                return place;
            }
        }
    }

    /// Keeps half of the places from those that only rest.
    ///
    /// Guards against clients that ask on ever new connections and keep each: they hold no more than
    /// fill three quarters of the places, and once all of theirs rest here, they can ask nothing. A place
    /// here is still free then, or a silent newcomer makes it free, so nothing would be closed in time.
    /// It does harm where more clients than half of the places ask again, but seldom: these connect
    /// anew each time.
    fn thin(&self) {
        let taken = self.sockets.client_permits - self.sockets.clients.available_permits();
        let most = taken.saturating_sub(self.sockets.client_permits / 2);
        if most == 0 {
            return;
        }
        let clients = self.clients.borrow();
        let mut spare: Vec<_> = clients.values().filter_map(|c| Some((c.to_spare()?, c))).collect();
        spare.sort_unstable_by_key(|c| c.0);
        for (_, client) in spare.iter().take(most) {
            client.leave.notify_one();
        }
    }

    fn evict(&self) {
        let clients = self.clients.borrow();
        let first = clients.values().filter_map(|c| Some((c.rank()?, c))).min_by_key(|c| c.0);
        if let Some((_, client)) = first {
            client.leave.notify_one();
        }
    }

    async fn client(
        self: Rc<Ingress>,
        n: u64,
        socket: TcpStream,
        place: Permit,
        client: Rc<Client>,
    ) {
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        self.clients.borrow_mut().insert(n, client.clone());
        let io = TokioIo::new(Stream::new(socket.clone(), client.clone()));
        let mut connection = Box::pin(
            http1::Builder::new()
                .max_buf_size(READ_AHEAD)
                .header_read_timeout(None)
                .serve_connection(
                    io,
                    service_fn(|request| self.clone().serve(client.clone(), request)),
                ),
        );
        let ended = tokio::select! {
            // Danger: a request that is read in the instant in which its connection was to go would
            // be lost. Who has been told to leave is not read any more, and who has a request under
            // way by then stays.
            biased;
            () = told_to_leave(&client) => None,
            () = stalled(&client) => Some(false),
            ended = connection.as_mut() => Some(ended.map_or_else(|e| e.is_parse(), |()| true)),
        };
        drop(connection);
        if ended.is_none() && self.passed_on(&client, &socket) {
            // The connection is the successor's: dropped here, it stays open there.
        } else if ended == Some(true) {
            client.enter(Phase::Ending);
            tokio::select! {
                () = linger(&socket) => {}
                () = client.leave.notified() => {}
            }
        } else if client.busy() {
            // Danger: to a client that is told neither length nor chunks, an ordinary close
            // would look like the end of the whole answer.
            let _ = SockRef::from(&*socket).set_linger(Some(Duration::ZERO));
        }
        self.clients.borrow_mut().remove(&n);
        drop(socket);
        drop(place);
    }

    /// Whether a successor has taken the connection. Only one on which nothing of a request has been
    /// read can go: what was read would be missing there.
    fn passed_on(&self, client: &Client, socket: &TcpStream) -> bool {
        let successor = self.successor.borrow().clone();
        client.phase.get() == Phase::Resting
            && successor.is_some_and(|successor| successor.pass(socket, client.asked()))
    }

    async fn serve(
        self: Rc<Ingress>,
        client: Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<Response<Answer>, Gone> {
        // With pipelining, the next request is read before the last answer is out.
        client.complete.set(false);
        if client.phase.get() != Phase::Partial {
            // What came with the last request was not looked at.
            client.enter(Phase::Partial);
            client.head.replace(HeadScan::default());
        }
        let (mut response, last) = match self.reply(&client, request).await? {
            Ok(Answered::Driver(reply)) => (written(reply), false),
            Ok(Answered::Kept(receipt)) => (accepted(receipt), false),
            // Danger: what follows a request that makes no sense makes none either.
            Err(status) => {
                let last = [StatusCode::BAD_REQUEST, StatusCode::REQUEST_TIMEOUT];
                (plain(status), last.contains(&status))
            }
        };
        // A successor goes on with the connection.
        if last || (self.draining.get() && self.successor.borrow().is_none()) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        client.enter(Phase::Answered);
        let (head, body) = response.into_parts();
        Ok(Response::from_parts(head, Answer { body, client }))
    }

    /// The answer to one request, or the status that tells what is wrong with it.
    async fn reply(
        &self,
        client: &Client,
        request: Request<Incoming>,
    ) -> Result<Result<Answered, StatusCode>, Gone> {
        let (head, body) = request.into_parts();
        if head.version == Version::HTTP_11 && !head.headers.contains_key(header::HOST) {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        if head.uri.path() == "/health/ready" {
            return Ok(Err(if self.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            }));
        }
        let chunked = head.headers.contains_key(header::TRANSFER_ENCODING);
        if !client.head.borrow().one_framing(chunked) {
            return Ok(Err(StatusCode::BAD_REQUEST));
        }
        let (method, uri, headers) = (&head.method, &head.uri, &head.headers);
        // Held until the request is taken: while it is, its class keeps its place.
        let names = self.names.borrow().clone();
        let (asked, id) = match parse_head(&names, method, uri, headers, HeadOverrides::default()) {
            Ok(asked) => asked,
            Err(invalid) => return Ok(Err(invalid.status())),
        };
        let Some(claim) = self.ids.claim(id.as_bytes()) else {
            return Ok(Err(StatusCode::CONFLICT));
        };
        client.enter(Phase::Body);
        let (mut body, mut pace) = (body, Pace::new());
        let mut account = self.bytes.account();
        let held = match hold(&mut body, LONGEST_UPLOAD, &mut account, &mut pace).await {
            Ok(held) => held,
            Err(e) => return unread(e).map(Err),
        };
        client.enter(Phase::Taken);
        claim.keep();
        let pieces = match held {
            Held::Whole(pieces) => {
                let edge = self.edge.borrow().clone();
                let taken = match &edge {
                    Some(edge) => edge.look(&head, &asked, &pieces),
                    None => Ok(None),
                };
                let taken = match taken {
                    Ok(taken) => edge.zip(taken),
                    Err(invalid) => return Ok(Err(invalid.status())),
                };
                let left = (Instant::now(), asked.left);
                if let Some((edge, taken)) = &taken
                    && !edge.wants(taken)
                    && !edge.forerunners(taken).await
                {
                    return Ok(Ok(Answered::Driver(refused(edge.come_back(COME_BACK)))));
                }
                let kept = match taken {
                    Some((edge, taken)) if edge.wants(&taken) => Some((edge, taken)),
                    taken => {
                        let asked =
                            RequestHead { left: left.1.saturating_sub(left.0.elapsed()), ..asked };
                        let spec = answer::spec(head, &asked, pieces, account, None);
                        let mut ticket = self.driver.request(asked, spec);
                        drop(names);
                        let reply = ticket.reply().await;
                        let never_ran = matches!(reply, Reply::Refused { may_have_run: false, .. });
                        match taken.filter(|(edge, taken)| never_ran && edge.wants_refused(taken)) {
                            None => return Ok(Ok(Answered::Driver(reply))),
                            kept => kept,
                        }
                    }
                };
                let Some((edge, taken)) = kept else {
                    return Ok(Ok(Answered::Driver(Reply::Failed)));
                };
                let left = left.1.saturating_sub(left.0.elapsed());
                return Ok(Ok(match edge.keep(taken, left).await {
                    Kept::OnDisk(receipt) => Answered::Kept(receipt),
                    Kept::Refused(after) => Answered::Driver(refused(edge.come_back(after))),
                    Kept::Unknown => Answered::Driver(Reply::Failed),
                }));
            }
            Held::Part(pieces) => pieces,
        };
        let length: u64 = pieces.iter().map(|piece| piece.len() as u64).sum();
        let (upload, rest) = Upload::new(asked.left);
        let upload = Some((upload, framing(&body, length)));
        let spec = answer::spec(head, &asked, pieces, account, upload);
        let mut ticket = self.driver.request(asked, spec);
        drop(names);
        let fed = {
            let feeding = pin!(feed(&mut body, length, LONGEST_UPLOAD, &mut pace, rest));
            tokio::select! {
                biased;
                // It was refused, or a server had no need of the rest.
                reply = ticket.reply() => return Ok(Ok(Answered::Driver(reply))),
                fed = feeding => fed,
            }
        };
        match fed {
            Err(FeedError::Read(e)) => unread(e).map(Err),
            Err(FeedError::NotTaken(NotTaken::Stalled)) => Ok(Ok(Answered::Driver(Reply::Failed))),
            // Why nobody takes it, the reply tells.
            Ok(()) | Err(FeedError::NotTaken(NotTaken::Closed)) => {
                Ok(Ok(Answered::Driver(ticket.reply().await)))
            }
        }
    }
}

/// The status for a body that cannot be read, if its client can still be told.
fn unread<E>(e: ReadError<E>) -> Result<StatusCode, Gone> {
    match e {
        ReadError::TooLong => Ok(StatusCode::PAYLOAD_TOO_LARGE),
        ReadError::TooSlow => Ok(StatusCode::REQUEST_TIMEOUT),
        ReadError::Broken(_) => Err(Gone),
    }
}

async fn told_to_leave(client: &Client) {
    loop {
        client.leave.notified().await;
        if !client.busy() {
            return;
        }
    }
}

async fn stalled(client: &Client) {
    while !client.stalled() {
        sleep(LOOK).await;
    }
}

/// Danger: closing a socket on which unread bytes wait (the next request, the rest of one that
/// was answered early) resets the connection, and the reset takes away what the client has not
/// read of its answer. The sending side is ended first, and what comes is read for a while.
async fn linger(socket: &TcpStream) {
    stream::finish_writing(socket);
    let drained = async {
        let mut buf = [0; 8192];
        let mut read = 0;
        loop {
            match socket.try_read(&mut buf) {
                Ok(0) => return,
                // Danger: read as fast as they come, the 60 MB of a few such clients would take the
                // processor from all others. What is not read waits in the client.
                Ok(n) => {
                    read += n;
                    if read >= LINGER_PIECE {
                        read = 0;
                        sleep(LINGER_PAUSE).await;
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    if socket.readable().await.is_err() {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    };
    let _ = timeout(LINGER, drained).await;
}

fn plain(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    response
}

/// What a request is answered with.
enum Answered {
    /// What came of it at servers.
    Driver(Reply),
    /// It is kept, and goes out later.
    Kept(Receipt),
}

fn refused(retry_after: Option<Duration>) -> Reply {
    Reply::Refused { retry_after, may_have_run: false }
}

/// 202 with the receipt: what comes after this write names it (RFC 7240, section 4.1).
fn accepted(Receipt(id): Receipt) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::ACCEPTED);
    let headers = response.headers_mut();
    headers.insert("preference-applied", HeaderValue::from_static("respond-async"));
    if let Ok(id) = HeaderValue::try_from(id.to_string()) {
        headers.insert(&CONTEXT, id);
    }
    *response.body_mut() = Either::Left(Full::from(format!("{id}\n")));
    response
}

fn written(reply: Reply) -> Response<AnswerBody> {
    match reply {
        Reply::Served(head, body) => answer::whole(head, body),
        Reply::Streaming(long) => answer::long(long),
        Reply::Refused { retry_after, .. } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(value) = retry_after.and_then(answer::retry_after) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
            response
        }
        Reply::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// An answer's body. When it is done with, its connection rests again.
struct Answer {
    body: AnswerBody,
    client: Rc<Client>,
}

impl Drop for Answer {
    fn drop(&mut self) {
        self.client.complete.set(true);
    }
}

impl Body for Answer {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
