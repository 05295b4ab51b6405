//! Who serves at present, and the way for clients' connections to whoever serves next.
//!
//! The seat is a Unix domain socket at a known path. A process takes it by binding a socket under a name
//! of its own and renaming that over the path, so that there is always exactly one holder to be found.
//! One that waits for its turn stands beside it, in line, where the holder finds it. It takes the seat only at its turn, so
//! its death in line hides nobody.
//! One byte goes with each descriptor: for a connection it is the caller's to say what it means, other descriptors
//! say what they are ([`crate::request_ids`]).

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

/// The seat, held. Dropped, it is given up unless somebody else holds it by now.
pub struct HandoverEndpoint {
    listener: UnixListener,
    path: PathBuf,
    /// The file's number, by which to tell one's own seat from a successor's.
    inode: u64,
    /// Whether it has ever had the seat: one that is in line has nothing to pass on.
    had: Cell<bool>,
}

impl HandoverEndpoint {
    /// Takes the seat at `path` from whoever holds it. Must be called within a runtime.
    ///
    /// # Errors
    /// The folder cannot be written to, or the path is too long for a socket (107 bytes).
    pub fn bind(path: &Path) -> io::Result<HandoverEndpoint> {
        HandoverEndpoint::bind_at(path, path)
    }

    /// Stands in line for the seat at `path`, before any other that does. Must be called within a runtime.
    ///
    /// # Errors
    /// As [`HandoverEndpoint::bind`].
    pub fn bind_as_next(path: &Path) -> io::Result<HandoverEndpoint> {
        HandoverEndpoint::bind_at(path, &line(path))
    }

    /// Binds a socket and has it found at `place`.
    fn bind_at(path: &Path, place: &Path) -> io::Result<HandoverEndpoint> {
        let own = path.with_extension(std::process::id().to_string());
        // One that a process of the same number left behind.
        let _ = std::fs::remove_file(&own);
        let listener = UnixListener::bind(&own)?;
        let taken = rustix::fs::chmod(&own, rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR)
            .map_err(io::Error::from)
            .and_then(|()| inode(&own))
            .and_then(|inode| std::fs::rename(&own, place).map(|()| inode));
        match taken {
            Ok(inode) => {
                let had = Cell::new(path == place);
                Ok(HandoverEndpoint { listener, path: path.to_owned(), inode, had })
            }
            Err(e) => {
                let _ = std::fs::remove_file(&own);
                Err(e)
            }
        }
    }

    /// The next process that has connections to pass on. Cancel safe.
    ///
    /// Danger: a connection taken from another user could be anything, so only one's own user is heard.
    pub async fn accept_predecessor(&self) -> io::Result<Predecessor> {
        loop {
            let (stream, _) = self.listener.accept().await?;
            if stream.peer_cred()?.uid() == rustix::process::getuid().as_raw() {
                return Ok(Predecessor { stream });
            }
        }
    }

    /// Takes the seat at this process's turn. False: a later one stands in line by now.
    ///
    /// # Errors
    /// The folder cannot be written to.
    pub fn promote(&self) -> io::Result<bool> {
        if self.is_at(&self.path) {
            return Ok(true);
        }
        let line = line(&self.path);
        if !self.is_at(&line) {
            return Ok(false);
        }
        std::fs::rename(&line, &self.path)?;
        self.had.set(true);
        Ok(true)
    }

    /// The process that follows this one: the one in line, or the one that holds the seat by now.
    pub fn successor(&self) -> Option<Successor> {
        if !self.had.get() {
            return None;
        }
        let others = [line(&self.path), self.path.clone()].into_iter().filter(|at| !self.is_at(at));
        let stream = others.filter_map(|at| UnixStream::connect(at).ok()).next()?;
        stream.set_nonblocking(true).ok()?;
        Some(Successor { stream })
    }

    fn is_at(&self, place: &Path) -> bool {
        inode(place).is_ok_and(|now| now == self.inode)
    }
}

impl Drop for HandoverEndpoint {
    fn drop(&mut self) {
        let line = line(&self.path);
        // Danger: whoever is in line may take the seat between a look at it and its removal. What is left of a process
        // that has ended lets nobody in.
        let followed = line.exists() && !self.is_at(&line);
        if !followed && self.is_at(&self.path) {
            let _ = std::fs::remove_file(&self.path);
        }
        if self.is_at(&line) {
            let _ = std::fs::remove_file(line);
        }
    }
}

/// Where the process is found that is next in line for the seat at `path`.
pub(crate) fn line(path: &Path) -> PathBuf {
    path.with_extension("next")
}

fn inode(path: &Path) -> io::Result<u64> {
    use std::os::unix::fs::MetadataExt;
    Ok(std::fs::symlink_metadata(path)?.ino())
}

/// The process that takes connections over.
pub struct Successor {
    stream: UnixStream,
}

impl Successor {
    /// Passes a connection on, with a byte that tells of it. The caller's own descriptor stays open
    /// and is to be dropped without a shutdown.
    ///
    /// Danger: what has been sent and is not yet received dies with the successor. Its clients then see a
    /// reset, as they do when any process that serves them dies.
    ///
    /// # Errors
    /// The successor is gone, or so many connections are under way to it that no more fit (`WouldBlock`).
    pub fn pass(&self, connection: impl AsFd, byte: u8) -> io::Result<()> {
        let fds = [connection.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&fds));
        let bytes = [byte];
        sendmsg(&self.stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?;
        Ok(())
    }

    /// Tells the successor which ids are in use here. From then on it is asked by [`Successor::reserve_id`] for others.
    ///
    /// # Errors
    /// As for a connection; or there is no memory for the ids.
    pub fn pass_ids(&self, ids: &[u64]) -> io::Result<()> {
        self.pass(request_ids::written(ids)?, request_ids::IDS)
    }

    /// Asks the successor to take an id for this process. The answer is [`request_ids::PendingReservation::granted`].
    ///
    /// # Errors
    /// As for a connection.
    pub fn reserve_id(&self, id: u64) -> io::Result<request_ids::PendingReservation> {
        let (asked, theirs) = request_ids::PendingReservation::new(id)?;
        self.pass(theirs, request_ids::RESERVATION)?;
        Ok(asked)
    }
}

/// A process that passes its connections on.
pub struct Predecessor {
    stream: AsyncStream,
}

/// What a process passes on.
#[derive(Debug)]
pub enum HandoverItem {
    /// A connection, not blocking, and its byte.
    Connection(TcpStream, u8),
    /// The ids of requests that are open there.
    Ids(Vec<u64>),
    /// It wants to take one more id.
    Reservation(ReservationRequest),
}

impl Predecessor {
    /// What comes next. None: there is no more. Descriptors of other kinds are passed over, and a byte alone asks whether
    /// this process lives: it is sent back. Cancel safe.
    ///
    /// # Errors
    /// The way to the other process broke.
    pub async fn next(&self) -> io::Result<Option<HandoverItem>> {
        loop {
            self.stream.readable().await?;
            let got = self.stream.try_io(Interest::READABLE, || {
                let stream = self.stream.as_fd().try_clone_to_owned()?;
                receive(&UnixStream::from(stream))
            });
            match got {
                Ok((None, _)) => return Ok(None),
                Ok((Some(byte), None)) => drop(self.stream.try_write(&[byte])),
                Ok((Some(byte), Some(fd))) => {
                    let socket = Socket::from(fd);
                    let tcp = socket.peer_addr().is_ok_and(|peer| peer.as_socket().is_some());
                    if tcp && socket.set_nonblocking(true).is_ok() {
                        return Ok(Some(HandoverItem::Connection(socket.into(), byte)));
                    }
                    let passed = match byte {
                        _ if tcp => None,
                        request_ids::IDS => {
                            request_ids::read(socket.into()).map(HandoverItem::Ids).ok()
                        }
                        request_ids::RESERVATION => ReservationRequest::read(socket.into())
                            .map(HandoverItem::Reservation)
                            .ok(),
                        _ => None,
                    };
                    if passed.is_some() {
                        return Ok(passed);
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

    fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        (client, listener.accept().unwrap().0)
    }

    #[tokio::test]
    async fn connections_go_to_whoever_took_the_seat_last_with_their_unread_bytes() {
        let path = path("passes");
        let old = HandoverEndpoint::bind(&path).unwrap();
        assert!(old.successor().is_none(), "it holds the seat itself");
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        let (mut client, served) = pair();
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
        assert!(path.exists(), "an old holder must not take the seat away");
        drop(new);
        assert!(!path.exists());
    }

    #[tokio::test]
    async fn a_successor_that_died_takes_nothing() {
        let path = path("died");
        let old = HandoverEndpoint::bind(&path).unwrap();
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        drop(new);
        let (_client, served) = pair();
        assert!(successor.pass(&served, 0).is_err());
        assert!(old.successor().is_none(), "nobody is there");
    }

    #[tokio::test]
    async fn a_full_way_refuses_and_loses_nothing() {
        let path = path("full");
        let old = HandoverEndpoint::bind(&path).unwrap();
        let new = HandoverEndpoint::bind(&path).unwrap();
        let successor = old.successor().expect("a successor");
        let (_client, served) = pair();
        let mut passed = 0;
        let full = loop {
            match successor.pass(&served, 1) {
                Ok(()) => passed += 1,
                Err(e) => break e,
            }
            assert!(passed < 100_000, "there is no bound");
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
