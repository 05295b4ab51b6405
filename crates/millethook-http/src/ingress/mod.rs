//! Clients: their connections and requests. A request is taken when it is whole, and gets one
//! answer; those of one connection follow one another in order.

mod client;
mod close;
mod crowd;
mod serve;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use millethook_engine::budget::{self, Permit, Sockets};
use millethook_engine::driver::Driver;
use millethook_engine::names::Names;
use millethook_engine::stream::Stream;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::edge::Edge;
use crate::guard::OpenIds;

use client::{Client, Phase, stalled, told_to_leave};
use close::linger;

/// The most that hyper reads ahead, and so the longest head. Danger: each of a crowd of clients may
/// fill as much.
const READ_AHEAD: usize = 32 << 10;
/// A pause before accepting again when the system has no descriptor left.
const NO_DESCRIPTOR: Duration = Duration::from_millis(10);

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
}
