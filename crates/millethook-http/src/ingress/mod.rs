//! Client connections and their requests. A request is accepted when it has been read completely, and gets
//! exactly one answer. Requests of one connection are answered in order.

mod client;
mod close;
mod eviction;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use millethook_engine::budget::{self, Permit, Sockets};
use millethook_engine::driver::Driver;
use millethook_engine::figures::Counter;
use millethook_engine::names::Names;
use millethook_engine::stream::{self, Stream};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::edge::Edge;
use crate::request_ids::RequestIdRegistry;

use client::{Client, Phase, wait_for_close_request, wait_until_stalled};
use eviction::{Admission, Shortage};

/// Pause before the next accept when the system has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The client side of the sidecar.
pub struct Ingress {
    driver: Rc<Driver>,
    names: RefCell<Arc<Names>>,
    sockets: Rc<Sockets>,
    bytes: Arc<budget::ByteBudget>,
    /// Bytes that hyper reads ahead from a client, which also limits the length of a head.
    client_buffer_bytes: usize,
    ids: Rc<RequestIdRegistry>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    accepted: Cell<(u64, Instant)>,
    shortage: Shortage,
    /// During a shutdown, requests that are read completely only after this time are refused, because they
    /// might not be answered before the process is killed.
    request_cutoff: Cell<Option<Instant>>,
    discovery_tried: Cell<bool>,
    /// Store for writes while no server can be reached, if it is configured.
    edge: RefCell<Option<Rc<Edge>>>,
    /// Process that takes over the client connections during a planned handover.
    successor: RefCell<Option<Rc<dyn Successor>>>,
}

/// How long a new connection has for its first bytes while idle connections are being closed.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(100);

/// A process that takes over the client connections of this one.
pub trait Successor {
    /// Sends the ids that are in use here, before anything else is passed.
    fn pass_ids(&self, ids: &[u64]);

    /// Passes an idle connection; `was_answered` tells whether it has had an answer. Returns false if the
    /// connection stays here.
    fn pass_connection(&self, connection: &TcpStream, was_answered: bool) -> bool;

    /// Reserves an id there for a request that is read here. Yields false if the id is in use there, and
    /// None if the successor does not answer.
    fn reserve_id(&self, id: u64) -> Pin<Box<dyn Future<Output = Option<bool>>>>;
}

impl Ingress {
    /// Creates an ingress without clients.
    pub fn new(
        driver: Rc<Driver>,
        names: Arc<Names>,
        sockets: Rc<Sockets>,
        (bytes, client_buffer_bytes): (Arc<budget::ByteBudget>, usize),
        ids: Rc<RequestIdRegistry>,
    ) -> Rc<Ingress> {
        Rc::new(Ingress {
            ids,
            client_buffer_bytes,
            driver,
            names: RefCell::new(names),
            sockets,
            bytes,
            clients: RefCell::default(),
            accepted: Cell::new((0, Instant::now())),
            shortage: Shortage::default(),
            request_cutoff: Cell::default(),
            discovery_tried: Cell::new(false),
            edge: RefCell::default(),
            successor: RefCell::default(),
        })
    }

    /// Starts the handover: ids are reserved at `successor` from now on, idle connections are passed to it,
    /// and the others after their answer. Requests that are read completely after `request_cutoff` are
    /// refused.
    pub fn hand_over(&self, successor: Rc<dyn Successor>, request_cutoff: Instant) {
        successor.pass_ids(&self.ids.in_use());
        self.request_cutoff.set(Some(request_cutoff));
        self.successor.replace(Some(successor));
    }

    /// Stores writes in `edge` from now on while no server can be reached.
    pub fn set_edge(&self, edge: Rc<Edge>) {
        self.edge.replace(Some(edge));
    }

    /// Whether requests can be served: discovery was tried, and there is a list of servers.
    pub fn is_ready(&self) -> bool {
        self.discovery_tried.get() && self.driver.has_listed_servers()
    }

    /// Number of connected clients.
    pub fn connected(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Records that discovery has answered or failed: the list of servers is as current as it can be.
    pub fn mark_discovery_tried(&self) {
        self.discovery_tried.set(true);
    }

    /// Applies new settings: later requests are parsed with these names, and may be open for `longest`.
    pub fn apply_settings(&self, names: Arc<Names>, longest: Duration) {
        self.names.replace(names);
        self.ids.extend_retention(longest);
    }

    /// Starts the shutdown: each answer is the last one on its connection from now on, and requests that
    /// are read completely after `request_cutoff` are refused.
    pub fn drain(&self, request_cutoff: Instant) {
        self.request_cutoff.set(Some(request_cutoff));
    }

    /// When the last connection was accepted.
    pub fn last_accepted(&self) -> Instant {
        self.accepted.get().1
    }

    /// Number of connections that a shutdown has to wait for: all except those that have been closing for
    /// at least `linger`. Before that, bytes from the client may still be arriving.
    pub fn unfinished_connections(&self, linger: Duration) -> usize {
        let clients = self.clients.borrow();
        let finished = |client: &&Rc<Client>| {
            client.phase.get() == Phase::Closing && client.phase_since.get().elapsed() >= linger
        };
        clients.values().filter(|client| !finished(client)).count()
    }

    /// Closes the connections without a request in progress. If `partial` is set, this includes those on
    /// which a request is still being read.
    pub fn close_idle(&self, partial: bool) {
        for client in self.clients.borrow().values() {
            let should_close = match client.phase.get() {
                // A client that has just connected is about to send its first request. Closed before that,
                // it would get no answer.
                Phase::Idle => {
                    client.was_answered()
                        || client.phase_since.get().elapsed() >= NEW_CONNECTION_GRACE
                }
                Phase::ReadingHead | Phase::ReadingBody => partial,
                Phase::AwaitingAnswer | Phase::WritingAnswer | Phase::Closing => false,
            };
            if should_close {
                client.close_request.notify_one();
            }
        }
    }

    /// Lets the end of this process reset the connections on which an answer is being written that only the
    /// end of the connection delimits: an orderly end would make the part that was written look complete.
    pub fn reset_unfinished_answers(&self) {
        for client in self.clients.borrow().values() {
            if client.is_writing_close_delimited() {
                client.reset_on_close();
            }
        }
    }

    /// Accepts clients for as long as the future is polled.
    pub async fn accept(self: Rc<Ingress>, listener: TcpListener) {
        loop {
            let admission = self.admit().await;
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.accepted.set((self.accepted.get().0, Instant::now()));
                    self.spawn_client(socket, admission.now(&self.sockets), false);
                }
                Err(e) => {
                    // A failed accept, for lack of file descriptors or because the client has already
                    // disconnected, must not end the loop.
                    tracing::warn!(event = "accept_failed", "accept: {e}");
                    self.evict_one();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Adopts a connection that another process passed on. Waits for a client permit.
    pub async fn adopt(self: &Rc<Ingress>, socket: TcpStream, was_answered: bool) {
        let permit = self.acquire_permit().await;
        self.spawn_client(socket, Admission::Client(permit), was_answered);
    }

    fn spawn_client(
        self: &Rc<Ingress>,
        socket: TcpStream,
        admission: Admission,
        was_answered: bool,
    ) {
        let (number, last) = self.accepted.get();
        self.accepted.set((number + 1, last));
        let client = Client::new();
        client.answer_count.set(was_answered.into());
        let permit = match admission {
            Admission::Client(permit) => permit,
            Admission::Surplus(permit) => {
                client.is_surplus.set(true);
                client.holds_client_permit.set(false);
                self.driver.figures().count(Counter::SurplusClients);
                permit
            }
        };
        tokio::task::spawn_local(self.clone().serve_connection(
            number,
            socket,
            permit,
            Rc::new(client),
        ));
        self.evict_surplus_idle();
    }

    async fn serve_connection(
        self: Rc<Ingress>,
        number: u64,
        socket: TcpStream,
        permit: Permit,
        client: Rc<Client>,
    ) {
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        client.socket.replace(Rc::downgrade(&socket));
        self.clients.borrow_mut().insert(number, client.clone());
        let io = TokioIo::new(Stream::new(socket.clone(), client.clone()));
        let service = service_fn(|request| self.clone().serve(client.clone(), request));
        let mut connection = http1::Builder::new()
            .max_buf_size(self.client_buffer_bytes)
            .header_read_timeout(None)
            .serve_connection(io, service);
        let close_reason = loop {
            let phase_at_request = tokio::select! {
                biased;
                phase_at_request = wait_for_close_request(&client) => phase_at_request,
                () = wait_until_stalled(&client) => break CloseReason::Finished,
                _ = &mut connection => break CloseReason::Finished,
                () = client_closed(&socket) => break CloseReason::ClientClosed,
            };
            // Guards against losing a request that arrives just when its connection is asked to close:
            // bytes that are here by now are read once more, and a connection on which a request has begun
            // stays open. Later bytes are never read as a request, so no request from them can be sent on.
            // A client that sends a byte each time stays connected for at most the time that a head may
            // take.
            if stream::has_unread(&socket) {
                // The kernel already has the bytes, so the event loop reports them without delay.
                let _ = socket.readable().await;
            }
            let polled = poll_fn(|cx| Poll::Ready(Pin::new(&mut connection).poll(cx))).await;
            if polled.is_ready() {
                break CloseReason::Finished;
            }
            if client.phase.get() == phase_at_request && !client.has_request() {
                break CloseReason::Requested;
            }
        };
        let unread = connection.into_parts().read_buf;
        let handed_over = matches!(close_reason, CloseReason::Requested)
            && unread.is_empty()
            && client.phase.get() == Phase::Idle
            && self.pass_to_successor(&client, &socket);
        // Without this, when permits run out, each connection that was asked to close keeps its permit for
        // as long as its client likes, and all clients that wait to be accepted wait for that.
        let permit = match self.sockets.closing.clone().try_acquire_owned() {
            // A surplus connection has had such a permit from the start.
            Ok(closing) if !client.is_surplus.get() => {
                client.holds_client_permit.set(false);
                drop(permit);
                closing
            }
            _ => permit,
        };
        // A connection that was passed on belongs to the successor. It stays open there when it is dropped
        // here.
        if !handed_over && !matches!(close_reason, CloseReason::ClientClosed) {
            tokio::select! {
                biased;
                () = close::close(&socket, &client) => {}
                () = client.close_request.notified() => {}
            }
        }
        self.clients.borrow_mut().remove(&number);
        drop(socket);
        drop(permit);
    }

    /// Passes the connection to the successor, if there is one. Returns whether the successor took it. This
    /// must be a connection on which no byte of a request has been read, because such bytes would be
    /// missing at the successor.
    fn pass_to_successor(&self, client: &Client, socket: &TcpStream) -> bool {
        let successor = self.successor.borrow().clone();
        successor.is_some_and(|successor| successor.pass_connection(socket, client.was_answered()))
    }
}

/// Reason why a client connection is no longer served.
enum CloseReason {
    /// It was asked to close, and no request was in progress.
    Requested,
    /// All requests were answered, or no further request can be answered.
    Finished,
    /// The client closed the connection, which cancels its request.
    ClientClosed,
}

/// Waits until the client has shut down its sending side or reset the connection.
///
/// Guards against serving requests for clients that have disconnected: hyper detects the end only while it
/// holds no unread bytes, so the disconnect of a client that had sent anything after its request went
/// unnoticed until its answer. The cost: a client that shuts down its sending side and still waits for its
/// answer is treated as disconnected. That was already so before this check.
async fn client_closed(socket: &TcpStream) {
    // Unlike other readiness events, this one reports only the end of the stream, even if unread bytes
    // precede it.
    while socket.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {}
}
