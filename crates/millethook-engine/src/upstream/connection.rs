//! One connection to a server: its socket, and the bytes of an answer that are not yet used.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use coppercart::api::ServerId;
use millethook_connect::Exchange;
use millethook_connect::answers::{CarriedAnswers, Fingerprint};
use millethook_connect::pool::SocketState;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Upstream;
use crate::budget::Permit;

/// The most bytes of one read. More than an ordinary answer, so that one read tells that there is
/// nothing more.
const READ: usize = 16 << 10;

/// Calls to the system on connections, in numbers since the start. What found nothing to read is not
/// seen here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Looks at a connection before its use.
    pub looks: u64,
    /// Writes that took bytes.
    pub writes: u64,
    /// Reads that brought bytes, or an end.
    pub reads: u64,
}

/// What all connections of an engine share: counts of their calls, and the buffer for their reads.
///
/// Each read goes to the same buffer and is copied from there, so that a connection holds what came and
/// no more. Room of its own for each read cost an allocation too large for the allocator's caches.
#[derive(Debug)]
pub(super) struct Shared {
    calls: Cell<Calls>,
    read: RefCell<Box<[u8]>>,
}

impl Default for Shared {
    fn default() -> Shared {
        Shared { calls: Cell::default(), read: RefCell::new(vec![0; READ].into()) }
    }
}

impl Shared {
    pub fn calls(&self) -> Calls {
        self.calls.get()
    }

    fn add(&self, of: fn(&mut Calls) -> &mut u64) {
        let mut calls = self.calls.get();
        *of(&mut calls) += 1;
        self.calls.set(calls);
    }
}

/// A connection. Dropping it closes it.
pub(super) struct Connection {
    socket: TcpStream,
    shared: Rc<Shared>,
    /// What has come and is not yet used.
    pub buf: BytesMut,
    dial: SocketAddr,
    carried: CarriedAnswers,
    _permit: Permit,
}

impl Connection {
    /// Opens one within `patience`; how long the handshake took.
    pub async fn open(
        dial: SocketAddr,
        permit: Permit,
        shared: Rc<Shared>,
        patience: Duration,
    ) -> Option<(Connection, Duration)> {
        let began = Instant::now();
        let socket = timeout(patience, TcpStream::connect(dial)).await.ok()?.ok()?;
        let took = began.elapsed();
        socket.set_nodelay(true).ok()?;
        let (buf, carried) = (BytesMut::new(), CarriedAnswers::default());
        Some((Connection { socket, shared, buf, dial, carried, _permit: permit }, took))
    }

    /// Whether it has carried an answer.
    fn is_used(&self) -> bool {
        !self.carried.is_empty()
    }

    /// How it is at this moment, while it rests; `dial` is where its server is.
    ///
    /// Danger: the server may have closed it, or sent something unasked, since the event loop last
    /// heard of it. One look at the socket itself, right before use, is the surest that there is.
    pub fn look(&self, dial: SocketAddr) -> SocketState {
        if self.dial != dial {
            return SocketState::AddressChanged;
        }
        self.shared.add(|calls| &mut calls.looks);
        self.peek(|look| look())
    }

    /// The same for the watch, which is told through `cx` when that changes. It costs a system call
    /// only where something happened.
    pub fn watched(&self, cx: &mut Context<'_>) -> SocketState {
        while self.socket.poll_read_ready(cx).is_ready() {
            // Forgets a readiness that was for bytes which are read by now.
            let looked = self.peek(|look| self.socket.try_io(Interest::READABLE, look));
            if looked != SocketState::Quiet {
                return looked;
            }
        }
        SocketState::Quiet
    }

    fn peek(
        &self,
        with: impl FnOnce(&mut dyn FnMut() -> io::Result<usize>) -> io::Result<usize>,
    ) -> SocketState {
        let mut byte = [MaybeUninit::uninit()];
        match with(&mut || SockRef::from(&self.socket).peek(&mut byte)) {
            Ok(0) => SocketState::Closed,
            Ok(_) => SocketState::StrayBytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => SocketState::Quiet,
            Err(_) => SocketState::Closed,
        }
    }

    /// Writes some of these bytes.
    pub fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        if written.is_ready() {
            self.shared.add(|calls| &mut calls.writes);
        }
        written
    }

    /// Reads some bytes into the buffer; 0: the server sends no more.
    pub fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut room = self.shared.read.borrow_mut();
        let mut room = ReadBuf::new(&mut room);
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut room))?;
        self.shared.add(|calls| &mut calls.reads);
        self.buf.extend_from_slice(room.filled());
        Poll::Ready(Ok(room.filled().len()))
    }
}

/// A connection in use. Dropped before it is released, it is closed and counted as gone.
pub(super) struct Lease {
    upstream: Rc<Upstream>,
    server: ServerId,
    connection: Option<Connection>,
}

impl Lease {
    pub fn new(upstream: Rc<Upstream>, server: ServerId, connection: Connection) -> Lease {
        Lease { upstream, server, connection: Some(connection) }
    }

    /// Whether the connection has carried an answer before.
    pub fn is_used(&self) -> bool {
        self.connection.as_ref().is_some_and(Connection::is_used)
    }

    /// Whether the connection has carried an answer that equals this one.
    pub fn has_carried(&self, answer: Fingerprint) -> bool {
        self.connection.as_ref().is_some_and(|connection| connection.carried.contains(answer))
    }

    /// The connection; None once it is released.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Whose connection it is.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// Closes a connection once its answer is whole.
    pub fn close(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let stray = !connection.buf.is_empty();
        if connection.is_used() && !stray {
            self.upstream.used_quietly(self.server);
        }
        drop(connection);
        self.upstream.discarded(self.server, stray);
    }

    /// Nothing was sent on it: the connection rests.
    pub fn give_back(mut self) {
        if let Some(connection) = self.connection.take() {
            self.upstream.release(self.server, connection);
        }
    }

    /// The exchange is over, and brought this answer: the connection rests, if it may be used again, or is closed.
    pub fn end(mut self, exchange: &Exchange, answer: Fingerprint) {
        let Some(mut connection) = self.connection.take() else { return };
        let stray = !connection.buf.is_empty();
        if !exchange.reusable(&connection.buf) {
            drop(connection);
            return self.upstream.discarded(self.server, stray);
        }
        if connection.is_used() {
            self.upstream.used_quietly(self.server);
        }
        connection.carried.add(answer);
        if connection.carried.is_full() {
            drop(connection);
            return self.upstream.discarded(self.server, false);
        }
        // Danger: thousands of connections at rest, each with room for an answer, are memory.
        connection.buf = BytesMut::new();
        self.upstream.release(self.server, connection);
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.upstream.discarded(self.server, false);
        }
    }
}
