//! The socket at which the active process is found, and the transfer of client connections to its successor.
//!
//! The endpoint is a Unix domain socket at a known path. A process takes it over by binding a socket under its own name
//! and renaming that over the path, so that exactly one holder can be found at any time. A process that waits for its
//! turn binds a second path (`.next`), where the holder finds it. It moves to the main path only at its turn, so that the
//! holder can still be found if the waiting process dies.
//! Each descriptor is sent with one byte. For a connection the caller defines its meaning; for other descriptors it is
//! their kind ([`crate::request_ids`]).

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::os::fd::AsFd;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};

use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use socket2::Socket;
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream as AsyncStream};

use crate::inherited::receive;
use crate::request_ids::{self, ReservationRequest};

/// A process's socket at the endpoint's path or at the path of the next process. Dropping it removes the path unless
/// another process holds that by now.
pub struct HandoverEndpoint {
    listener: UnixListener,
    path: PathBuf,
    /// The inode of the socket, which tells it from the socket of a successor.
    inode: u64,
    /// Whether this process has ever been active. A process that is only next has nothing to pass on.
    was_active: Cell<bool>,
}

impl HandoverEndpoint {
    /// Takes over the endpoint at `path` from its present holder. Must be called within a runtime.
    ///
    /// # Errors
    /// The folder is not writable, or the path is too long for a socket (107 bytes).
    pub fn bind(path: &Path) -> io::Result<HandoverEndpoint> {
        HandoverEndpoint::bind_at(path, path)
    }

    /// Becomes the next process for the endpoint at `path`, in place of any other that waits. Must be called within a
    /// runtime.
    ///
    /// # Errors
    /// As [`HandoverEndpoint::bind`].
    pub fn bind_as_next(path: &Path) -> io::Result<HandoverEndpoint> {
        HandoverEndpoint::bind_at(path, &next_path(path))
    }

    /// Binds a socket and renames it to `location`.
    fn bind_at(path: &Path, location: &Path) -> io::Result<HandoverEndpoint> {
        let own_path = path.with_extension(std::process::id().to_string());
        // Remove a socket that an earlier process with the same id left behind.
        let _ = std::fs::remove_file(&own_path);
        let listener = UnixListener::bind(&own_path)?;
        let renamed = rustix::fs::chmod(&own_path, rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR)
            .map_err(io::Error::from)
            .and_then(|()| inode(&own_path))
            .and_then(|inode| std::fs::rename(&own_path, location).map(|()| inode));
        match renamed {
            Ok(inode) => {
                let was_active = Cell::new(path == location);
                Ok(HandoverEndpoint { listener, path: path.to_owned(), inode, was_active })
            }
            Err(e) => {
                let _ = std::fs::remove_file(&own_path);
                Err(e)
            }
        }
    }

    /// Waits for the next process that connects to pass its connections on. Cancel safe.
    ///
    /// Connections from other users are rejected, because their descriptors could be anything.
    pub async fn accept_predecessor(&self) -> io::Result<Predecessor> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            if stream.peer_cred()?.uid() == rustix::process::getuid().as_raw() {
                return Ok(Predecessor { stream });
            }
        }
    }

    /// Takes over the endpoint at this process's turn. False: a later process is the next one by now.
    ///
    /// # Errors
    /// The folder is not writable.
    pub fn promote(&self) -> io::Result<bool> {
        if self.is_at(&self.path) {
            return Ok(true);
        }
        let next_path = next_path(&self.path);
        if !self.is_at(&next_path) {
            return Ok(false);
        }
        std::fs::rename(&next_path, &self.path)?;
        self.was_active.set(true);
        Ok(true)
    }

    /// Connects to the process that follows this one: the next one, or the one that holds the endpoint by now.
    pub fn successor(&self) -> Option<Successor> {
        if !self.was_active.get() {
            return None;
        }
        let others =
            [next_path(&self.path), self.path.clone()].into_iter().filter(|at| !self.is_at(at));
        let stream = others.filter_map(|at| UnixStream::connect(at).ok()).next()?;
        stream.set_nonblocking(true).ok()?;
        Some(Successor { stream })
    }

    fn is_at(&self, location: &Path) -> bool {
        inode(location).is_ok_and(|now| now == self.inode)
    }
}

impl Drop for HandoverEndpoint {
    fn drop(&mut self) {
        let next_path = next_path(&self.path);
        // If another process is next, it may take over the path between the check and the removal, so the path stays. A
        // socket that an ended process leaves behind does no harm: it accepts no connections.
        let has_next = next_path.exists() && !self.is_at(&next_path);
        if !has_next && self.is_at(&self.path) {
            let _ = std::fs::remove_file(&self.path);
        }
        if self.is_at(&next_path) {
            let _ = std::fs::remove_file(next_path);
        }
    }
}

/// The path of the socket of the process that is next for the endpoint at `path`.
pub(crate) fn next_path(path: &Path) -> PathBuf {
    path.with_extension("next")
}

fn inode(path: &Path) -> io::Result<u64> {
    use std::os::unix::fs::MetadataExt;
    Ok(std::fs::symlink_metadata(path)?.ino())
}

/// A connection to the process that takes connections over.
pub struct Successor {
    stream: UnixStream,
}

impl Successor {
    /// Passes a connection on, with a byte that describes it. The caller's own descriptor stays open and has to be dropped
    /// without a shutdown.
    ///
    /// If the successor dies, connections that it has not received yet are closed. Their clients see a reset, as they do
    /// when any process that serves them dies.
    ///
    /// # Errors
    /// The successor has ended, or the socket buffer is full of connections that it has not received (`WouldBlock`).
    pub fn pass(&self, connection: impl AsFd, byte: u8) -> io::Result<()> {
        let fds = [connection.as_fd()];
        let mut buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut buffer);
        control.push(SendAncillaryMessage::ScmRights(&fds));
        let bytes = [byte];
        sendmsg(&self.stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?;
        Ok(())
    }

    /// Passes on which ids are in use here. From then on, [`Successor::reserve_id`] has to be called for other ids.
    ///
    /// # Errors
    /// As [`Successor::pass`], or there is no memory for the ids.
    pub fn pass_ids(&self, ids: &[u64]) -> io::Result<()> {
        self.pass(request_ids::write_ids(ids)?, request_ids::IDS)
    }

    /// Asks the successor to reserve an id for this process. [`request_ids::PendingReservation::granted`] gives the answer.
    ///
    /// # Errors
    /// As [`Successor::pass`].
    pub fn reserve_id(&self, id: u64) -> io::Result<request_ids::PendingReservation> {
        let (pending, remote) = request_ids::PendingReservation::new(id)?;
        self.pass(remote, request_ids::RESERVATION)?;
        Ok(pending)
    }
}

/// A connection from a process that passes its connections on.
pub struct Predecessor {
    stream: AsyncStream,
}

/// An item that a process passes on.
#[derive(Debug)]
pub enum HandoverItem {
    /// A non-blocking connection, and its byte.
    Connection(TcpStream, u8),
    /// The ids of the requests that are open in that process.
    Ids(Vec<u64>),
    /// A request to reserve an id.
    Reservation(ReservationRequest),
}

impl Predecessor {
    /// Receives the next item. None: there are no more. Descriptors of other kinds are ignored. A byte without a descriptor
    /// is a liveness check and is sent back. Cancel safe.
    ///
    /// # Errors
    /// The connection to the other process failed.
    pub async fn next(&self) -> io::Result<Option<HandoverItem>> {
        loop {
            self.stream.readable().await?;
            let received = self.stream.try_io(Interest::READABLE, || {
                let stream = self.stream.as_fd().try_clone_to_owned()?;
                receive(&UnixStream::from(stream))
            });
            match received {
                Ok((None, _)) => return Ok(None),
                Ok((Some(byte), None)) => drop(self.stream.try_write(&[byte])),
                Ok((Some(byte), Some(fd))) => {
                    let socket = Socket::from(fd);
                    let is_tcp = socket.peer_addr().is_ok_and(|peer| peer.as_socket().is_some());
                    if is_tcp && socket.set_nonblocking(true).is_ok() {
                        return Ok(Some(HandoverItem::Connection(socket.into(), byte)));
                    }
                    let item = match byte {
                        _ if is_tcp => None,
                        request_ids::IDS => {
                            request_ids::read_ids(socket.into()).map(HandoverItem::Ids).ok()
                        }
                        request_ids::RESERVATION => ReservationRequest::read(socket.into())
                            .map(HandoverItem::Reservation)
                            .ok(),
                        _ => None,
                    };
                    if item.is_some() {
                        return Ok(item);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::net::TcpListener;

    fn path(name: &str) -> PathBuf {
        let name = format!("millethook-seat-{}-{name}", std::process::id());
        std::env::temp_dir().join(name)
    }

    fn connection_pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (client, listener.accept().unwrap().0)
    }

    #[tokio::test]
    async fn connections_with_unread_bytes_go_to_the_last_holder() {
        let path = path("passes");
        let old = HandoverEndpoint::bind(&path).unwrap();
        assert!(old.successor().is_none(), "it holds the endpoint itself");
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        let (mut client, served) = connection_pair();
        client.write_all(b"unread").unwrap();
        successor.pass(&served, 7).unwrap();
        drop((served, successor));
        let predecessor = new.accept_predecessor().await.unwrap();
        let Some(HandoverItem::Connection(mut passed, byte)) = predecessor.next().await.unwrap()
        else {
            panic!("a connection expected");
        };
        assert_eq!(byte, 7);
        passed.set_nonblocking(false).unwrap();
        let mut bytes = [0; 6];
        passed.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"unread");
        passed.write_all(b"answer").unwrap();
        client.read_exact(&mut bytes).unwrap();
        assert_eq!(&bytes, b"answer");
        assert!(predecessor.next().await.unwrap().is_none());
        drop(old);
        assert!(path.exists(), "an old holder must not remove the path");
        drop(new);
        assert!(!path.exists());
    }

    #[tokio::test]
    async fn passing_to_a_dead_successor_fails() {
        let path = path("died");
        let old = HandoverEndpoint::bind(&path).unwrap();
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        drop(new);
        let (_client, served) = connection_pair();
        assert!(successor.pass(&served, 0).is_err());
        assert!(old.successor().is_none(), "no process holds the endpoint");
    }

    #[tokio::test]
    async fn a_full_socket_buffer_rejects_connections_and_loses_none() {
        let path = path("full");
        let old = HandoverEndpoint::bind(&path).unwrap();
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        let (_client, served) = connection_pair();
        let mut passed = 0;
        let full = loop {
            match successor.pass(&served, 1) {
                Ok(()) => passed += 1,
                Err(e) => break e,
            }
            assert!(passed < 100_000, "the socket buffer has no bound");
        };
        assert!(passed > 0, "{full}");
        drop(successor);
        let predecessor = new.accept_predecessor().await.unwrap();
        for _ in 0..passed {
            assert!(predecessor.next().await.unwrap().is_some());
        }
        assert!(predecessor.next().await.unwrap().is_none());
    }
}
