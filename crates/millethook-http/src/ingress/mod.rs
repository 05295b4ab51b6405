//! Clients: their connections and requests. A request is taken when it is whole, and gets one
//! answer; those of one connection follow one another in order.

mod client;
mod close;
mod crowd;
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
use millethook_engine::names::Names;
use millethook_engine::stream::{self, Stream};
use tokio::io::Interest;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::edge::Edge;
use crate::guard::OpenIds;

use client::{Client, Phase, stalled, told_to_leave};

/// The most that hyper reads ahead, and so the longest head. Each of a crowd of clients may
/// fill as much.
const READ_AHEAD: usize = 32 << 10;
/// A pause before accepting again when the system has no descriptor left.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);

/// The side of the sidecar that clients see.
pub struct Ingress {
    driver: Rc<Driver>,
    names: RefCell<Arc<Names>>,
    sockets: Rc<Sockets>,
    bytes: Arc<budget::ByteBudget>,
    ids: Rc<OpenIds>,
    clients: RefCell<HashMap<u64, Rc<Client>>>,
    accepted: Cell<(u64, Instant)>,
    /// At a planned end: requests that become whole from then on are refused. One that is read late in its time
    /// might not be answered before the process is killed.
    last_taken: Cell<Option<Instant>>,
    tried: Cell<bool>,
    /// Where writes are kept while no server can be reached, if they are.
    edge: RefCell<Option<Rc<Edge>>>,
    /// Who takes over the connections of clients, at a planned end.
    successor: RefCell<Option<Rc<dyn Successor>>>,
}

/// How long one who has connected has for its first bytes while connections are being closed.
const NEW: Duration = Duration::from_millis(100);

/// A process that goes on with clients' connections where this one ends.
pub trait Successor {
    /// Tells it which ids are in use here, before it is passed anything else.
    fn pass_ids(&self, ids: &[u64]);

    /// Passes an idle connection on; `asked`: its client has had an answer. False: it stays here.
    fn pass(&self, connection: &TcpStream, was_answered: bool) -> bool;

    /// Asks it to take an id for a request that is read here. False: it is in use there; None: it does not answer.
    fn claim(&self, id: u64) -> Pin<Box<dyn Future<Output = Option<bool>>>>;
}

impl Ingress {
    /// An ingress without clients.
    pub fn new(
        driver: Rc<Driver>,
        names: Arc<Names>,
        sockets: Rc<Sockets>,
        bytes: Arc<budget::ByteBudget>,
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
            last_taken: Cell::default(),
            tried: Cell::new(false),
            edge: RefCell::default(),
            successor: RefCell::default(),
        })
    }

    /// From now on ids are taken at `successor`, idle connections go there, and the others after their answer. Requests
    /// that become whole after `last_taken` are refused.
    pub fn hand_over(&self, successor: Rc<dyn Successor>, last_taken: Instant) {
        successor.pass_ids(&self.ids.in_use());
        self.last_taken.set(Some(last_taken));
        self.successor.replace(Some(successor));
    }

    /// Writes are kept there from now on, where no server can be reached.
    pub fn keep_at(&self, edge: Rc<Edge>) {
        self.edge.replace(Some(edge));
    }

    /// Whether requests can be served: discovery was tried, and there is a list of servers.
    pub fn is_ready(&self) -> bool {
        self.tried.get() && self.driver.has_listed_servers()
    }

    /// How many clients are connected.
    pub fn connected(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Discovery has answered, or failed to: what is known of servers is as new as can be.
    pub fn discovery_tried(&self) {
        self.tried.set(true);
    }

    /// Requests that come from now on are read by these names, and may be open for `longest`.
    pub fn retuned(&self, names: Arc<Names>, longest: Duration) {
        self.names.replace(names);
        self.ids.retuned(longest);
    }

    /// From now on each answer is the last on its connection, and requests that become whole after `last_taken`
    /// are refused.
    pub fn drain(&self, last_taken: Instant) {
        self.last_taken.set(Some(last_taken));
    }

    /// When the last connection came.
    pub fn last_accepted(&self) -> Instant {
        self.accepted.get().1
    }

    /// How many connections have something to wait for: a request that is under way, or an end that is not
    /// `long` past, on which bytes of the client may still be coming.
    pub fn unsettled(&self, long: Duration) -> usize {
        let clients = self.clients.borrow();
        let settled =
            |c: &&Rc<Client>| c.phase.get() == Phase::Ending && c.since.get().elapsed() >= long;
        clients.values().filter(|c| !settled(c)).count()
    }

    /// Closes the connections on which no request is under way; `partial`: those too on which
    /// one has begun to come.
    pub fn close_idle(&self, partial: bool) {
        for client in self.clients.borrow().values() {
            let leaves = match client.phase.get() {
                // A client that has just connected is about to send; closed before that, it has no answer at all.
                Phase::Resting => client.was_answered() || client.since.get().elapsed() >= NEW,
                Phase::Partial | Phase::Body => partial,
                Phase::Taken | Phase::Answered | Phase::Ending => false,
            };
            if leaves {
                client.leave.notify_one();
            }
        }
    }

    /// Accepts clients for as long as it is polled.
    pub async fn accept(self: Rc<Ingress>, listener: TcpListener) {
        loop {
            let permit = self.permit().await;
            match listener.accept().await {
                Ok((socket, _)) => {
                    self.accepted.set((self.accepted.get().0, Instant::now()));
                    self.take(socket, permit, false);
                }
                Err(e) => {
                    // An accept that fails for want of descriptors (or because the client
                    // is gone again) must not end accepting.
                    tracing::warn!(event = "accept_failed", "accept: {e}");
                    self.evict();
                    sleep(NO_DESCRIPTOR).await;
                }
            }
        }
    }

    /// Goes on with a connection that another process passed on. Waits for a place for it.
    pub async fn adopt(self: &Rc<Ingress>, socket: TcpStream, was_answered: bool) {
        let permit = self.permit().await;
        self.take(socket, permit, was_answered);
    }

    fn take(self: &Rc<Ingress>, socket: TcpStream, permit: Permit, was_answered: bool) {
        let (n, last) = self.accepted.get();
        self.accepted.set((n + 1, last));
        let client = Client::new();
        client.answers.set(was_answered.into());
        tokio::task::spawn_local(self.clone().client(n, socket, permit, Rc::new(client)));
        self.thin();
    }

    async fn client(
        self: Rc<Ingress>,
        n: u64,
        socket: TcpStream,
        permit: Permit,
        client: Rc<Client>,
    ) {
        let _ = socket.set_nodelay(true);
        let socket = Rc::new(socket);
        self.clients.borrow_mut().insert(n, client.clone());
        let io = TokioIo::new(Stream::new(socket.clone(), client.clone()));
        let service = service_fn(|request| self.clone().serve(client.clone(), request));
        let mut connection = http1::Builder::new()
            .max_buf_size(READ_AHEAD)
            .header_read_timeout(None)
            .serve_connection(io, service);
        let end = loop {
            let told = tokio::select! {
                biased;
                told = told_to_leave(&client) => told,
                () = stalled(&client) => break End::Closing,
                _ = &mut connection => break End::Closing,
                () = hung_up(&socket) => break End::Gone,
            };
            // Guards against requests that are lost because they came in the instant in which their connection
            // was to go: what is here by now is read once more, and who has begun something new stays. What
            // comes later is never read as a request, so nothing of it can be sent on. A client that sends a byte
            // whenever it is told to leave stays for as long as its head may take.
            if stream::has_unread(&socket) {
                // The system has them; that the event loop has heard of them is a matter of a moment.
                let _ = socket.readable().await;
            }
            let read = poll_fn(|cx| Poll::Ready(Pin::new(&mut connection).poll(cx))).await;
            if read.is_ready() {
                break End::Closing;
            }
            if client.phase.get() == told && !client.busy() {
                break End::Told;
            }
        };
        let unused = connection.into_parts().read_buf;
        let passed = matches!(end, End::Told)
            && unused.is_empty()
            && client.phase.get() == Phase::Resting
            && self.passed_on(&client, &socket);
        // Without this, in a crowd, each that is told to leave keeps its place for as long as its client likes, and all
        // that are waiting to be accepted wait for that.
        let permit = match self.sockets.closing.clone().try_acquire_owned() {
            Ok(closing) => {
                client.placed.set(false);
                drop(permit);
                closing
            }
            Err(_) => permit,
        };
        // Passed on, the connection is the successor's: dropped here, it stays open there.
        if !passed && !matches!(end, End::Gone) {
            tokio::select! {
                biased;
                () = close::close(&socket, &client) => {}
                () = client.leave.notified() => {}
            }
        }
        self.clients.borrow_mut().remove(&n);
        drop(socket);
        drop(permit);
    }

    /// Whether a successor has taken the connection. Only one on which nothing of a request has been
    /// read can go: what was read would be missing there.
    fn passed_on(&self, client: &Client, socket: &TcpStream) -> bool {
        let successor = self.successor.borrow().clone();
        successor.is_some_and(|successor| successor.pass(socket, client.was_answered()))
    }
}

/// Why a client's connection is no longer served.
enum End {
    /// It was told to leave, and nothing was under way.
    Told,
    /// All was answered, or nothing can be.
    Closing,
    /// Its client has closed it, and with that called off what it had asked for.
    Gone,
}

/// Waits until the client has ended its sending side, or reset the connection.
///
/// Guards against requests that are sent on for clients which have left: hyper looks for the end only while it
/// holds no unread bytes, so one that sent anything behind its request went unnoticed until its answer. The cost:
/// a client that ends its sending side and still waits for its answer is taken for one that has gone, as ever.
async fn hung_up(socket: &TcpStream) {
    // Of all that can be waited for, this tells of the end alone, however much is unread before it.
    while socket.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {}
}
