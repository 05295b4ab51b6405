//! A layer between hyper and a client's socket. It observes all bytes in both directions, because hyper does not
//! report how far a client has sent its request, or when the whole answer has been written.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Callbacks for the traffic of a socket.
pub trait Observer {
    /// Bytes were received; an empty slice means that the peer has closed its side.
    fn on_read(&self, _bytes: &[u8]) {}
    /// All bytes that have arrived are read.
    fn on_drained(&self) {}
    /// The system accepted these bytes.
    fn on_write(&self, _bytes: &[u8]) {}
    /// The system accepts no bytes for now: the peer reads more slowly than is written.
    fn on_write_blocked(&self) {}
    /// Nothing is left to be written.
    fn on_flush(&self) {}
}

/// An observed socket. The socket is shared, so that its owner can inspect it while hyper uses it.
pub struct Stream<O> {
    socket: Rc<TcpStream>,
    observer: Rc<O>,
}

impl<O> Stream<O> {
    /// Wraps `socket` with an observer.
    pub fn new(socket: Rc<TcpStream>, observer: Rc<O>) -> Stream<O> {
        Stream { socket, observer }
    }
}

impl<O: Observer> Stream<O> {
    fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let writable = self.socket.poll_write_ready(cx);
        if writable.is_pending() {
            self.observer.on_write_blocked();
        }
        writable
    }
}

impl<O: Observer> AsyncRead for Stream<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.socket.try_read_buf(buf) {
                Ok(_) => {
                    self.observer.on_read(&buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.observer.on_drained(),
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl<O: Observer> AsyncWrite for Stream<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_writable(cx))?;
            match self.socket.try_write(buf) {
                Ok(n) => {
                    self.observer.on_write(&buf[..n]);
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.poll_writable(cx))?;
            match self.socket.try_write_vectored(bufs) {
                Ok(n) => {
                    let mut rest = n;
                    for b in bufs {
                        let of_this = rest.min(b.len());
                        self.observer.on_write(&b[..of_this]);
                        rest -= of_this;
                    }
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        finish_writing(&self.socket);
        Poll::Ready(Ok(()))
    }
}

/// Shuts down the sending side. An error means that the peer is already gone, and is ignored.
pub fn finish_writing(socket: &TcpStream) {
    let _ = SockRef::from(socket).shutdown(std::net::Shutdown::Write);
}

/// Whether the socket has unread bytes or end of file. This asks the system directly, because the event loop may not
/// have reported them yet.
pub fn has_unread(socket: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    !matches!(SockRef::from(socket).peek(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
