//! One connection to a server: its socket and the bytes of an answer that are not yet consumed.

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

/// System calls on connections since the start. Reads that found nothing are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SystemCalls {
    /// Checks of a connection before its use.
    pub peeks: u64,
    /// Writes that took bytes.
    pub writes: u64,
    /// Reads that returned bytes or end of file.
    pub reads: u64,
}

/// State shared by all connections of an engine: counts of system calls and the read buffer.
///
/// Each read fills this buffer, and the bytes are copied from there, so that a connection holds only what it
/// received. With a buffer for each read, every read cost an allocation too large for the allocator's caches.
#[derive(Debug)]
pub(super) struct SharedIo {
    calls: Cell<SystemCalls>,
    read_buffer: RefCell<Box<[u8]>>,
}

impl SharedIo {
    /// Creates a buffer for reads of at most `read_bytes`.
    pub fn new(read_bytes: usize) -> SharedIo {
        SharedIo { calls: Cell::default(), read_buffer: RefCell::new(vec![0; read_bytes].into()) }
    }

    /// The system calls so far.
    pub fn calls(&self) -> SystemCalls {
        self.calls.get()
    }

    fn count(&self, counter: fn(&mut SystemCalls) -> &mut u64) {
        let mut calls = self.calls.get();
        *counter(&mut calls) += 1;
        self.calls.set(calls);
    }
}

/// Where a process of a server is reached. A process that takes over the address of another one has an endpoint of its
/// own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address.
    pub address: SocketAddr,
    /// When the process started, as Unix time in milliseconds. 0: long ago.
    pub born_ms: u64,
}

/// A connection. Dropping it closes it.
pub(super) struct Connection {
    socket: TcpStream,
    shared: Rc<SharedIo>,
    /// Received bytes that are not yet consumed.
    pub buf: BytesMut,
    endpoint: Endpoint,
    carried_answers: CarriedAnswers,
    _permit: Permit,
}

impl Connection {
    /// Opens a connection within `connect_timeout`. Also returns how long the handshake took.
    pub async fn open(
        endpoint: Endpoint,
        permit: Permit,
        shared: Rc<SharedIo>,
        connect_timeout: Duration,
    ) -> Option<(Connection, Duration)> {
        let started = Instant::now();
        let socket =
            timeout(connect_timeout, TcpStream::connect(endpoint.address)).await.ok()?.ok()?;
        let handshake_time = started.elapsed();
        socket.set_nodelay(true).ok()?;
        let (buf, carried_answers) = (BytesMut::new(), CarriedAnswers::default());
        Some((
            Connection { socket, shared, buf, endpoint, carried_answers, _permit: permit },
            handshake_time,
        ))
    }

    /// Whether the connection has carried an answer.
    fn is_used(&self) -> bool {
        !self.carried_answers.is_empty()
    }

    /// Checks an idle connection right before its use; `endpoint` is the server's current one.
    ///
    /// The server may have closed the connection, or sent unsolicited bytes, since the event loop last reported on
    /// it. Peeking at the socket itself is the most recent information there is.
    pub fn check_idle(&self, endpoint: Endpoint) -> SocketState {
        if self.endpoint != endpoint {
            return SocketState::EndpointChanged;
        }
        self.shared.count(|calls| &mut calls.peeks);
        self.peek(|peek_socket| peek_socket())
    }

    /// The same check for the watching task, which `cx` wakes when the state changes. It makes a system call only if
    /// the socket reported an event.
    pub fn poll_idle(&self, cx: &mut Context<'_>) -> SocketState {
        while self.socket.poll_read_ready(cx).is_ready() {
            // `try_io` clears a readiness that was caused by bytes already read.
            let state =
                self.peek(|peek_socket| self.socket.try_io(Interest::READABLE, peek_socket));
            if state != SocketState::Quiet {
                return state;
            }
        }
        SocketState::Quiet
    }

    fn peek(
        &self,
        run: impl FnOnce(&mut dyn FnMut() -> io::Result<usize>) -> io::Result<usize>,
    ) -> SocketState {
        let mut byte = [MaybeUninit::uninit()];
        match run(&mut || SockRef::from(&self.socket).peek(&mut byte)) {
            Ok(0) => SocketState::Closed,
            Ok(_) => SocketState::StrayBytes,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => SocketState::Quiet,
            Err(_) => SocketState::Closed,
        }
    }

    /// Writes as many of these bytes as the socket takes.
    pub fn poll_write(
        &mut self,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(cx, slices);
        if written.is_ready() {
            self.shared.count(|calls| &mut calls.writes);
        }
        written
    }

    /// Reads available bytes into the buffer. 0 means that the server has closed its side.
    pub fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut buffer = self.shared.read_buffer.borrow_mut();
        let mut buffer = ReadBuf::new(&mut buffer);
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer))?;
        self.shared.count(|calls| &mut calls.reads);
        self.buf.extend_from_slice(buffer.filled());
        Poll::Ready(Ok(buffer.filled().len()))
    }
}

/// A connection in use. Dropping it before it is released closes the connection and counts it as discarded.
pub(super) struct ConnectionGuard {
    upstream: Rc<Upstream>,
    server: ServerId,
    connection: Option<Connection>,
}

impl ConnectionGuard {
    /// Guards a connection to `server`.
    pub fn new(
        upstream: Rc<Upstream>,
        server: ServerId,
        connection: Connection,
    ) -> ConnectionGuard {
        ConnectionGuard { upstream, server, connection: Some(connection) }
    }

    /// Whether the connection has carried an answer before.
    pub fn is_used(&self) -> bool {
        self.connection.as_ref().is_some_and(Connection::is_used)
    }

    /// Whether the connection has carried an equal answer before.
    pub fn has_carried(&self, answer: Fingerprint) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.carried_answers.contains(answer))
    }

    /// The connection; `None` once it is released.
    pub fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// The server of the connection.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// Closes the connection once its answer is complete.
    pub fn close(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let stray = !connection.buf.is_empty();
        if connection.is_used() && !stray {
            self.upstream.record_clean_reuse(self.server);
        }
        drop(connection);
        self.upstream.discard(self.server, stray);
    }

    /// Returns the connection to the pool; nothing was sent on it.
    pub fn return_unused(mut self) {
        if let Some(connection) = self.connection.take() {
            self.upstream.release(self.server, connection);
        }
    }

    /// Ends an exchange that got this answer: the connection becomes idle if it can be reused, otherwise it is
    /// closed.
    pub fn finish(mut self, exchange: &Exchange, answer: Fingerprint) {
        let Some(mut connection) = self.connection.take() else { return };
        let stray = !connection.buf.is_empty();
        if !exchange.reusable(&connection.buf) {
            drop(connection);
            return self.upstream.discard(self.server, stray);
        }
        if connection.is_used() {
            self.upstream.record_clean_reuse(self.server);
        }
        connection.carried_answers.add(answer);
        if connection.carried_answers.is_full() {
            drop(connection);
            return self.upstream.discard(self.server, false);
        }
        // Thousands of idle connections, each with the buffer of an answer, would take much memory.
        connection.buf = BytesMut::new();
        self.upstream.release(self.server, connection);
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.upstream.discard(self.server, false);
        }
    }
}
