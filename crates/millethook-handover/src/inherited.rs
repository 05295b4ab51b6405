//! Descriptors that were open when the process started.

use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use sendfd::SendWithFd;
use socket2::Socket;

/// Duplicates the descriptor that is open under `number`. The original stays open, because the process that left it may
/// have given it to others, too.
///
/// Another part of this process may own the descriptor under `number`, so turning the number into an owned descriptor is
/// `unsafe`. Sending it through a socket pair gives a new descriptor that belongs to the receiver.
///
/// # Errors
/// No descriptor is open under `number` (`EBADF`).
pub fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let (from, to) = UnixStream::pair()?;
    from.send_with_fd(&[0], &[number])?;
    let (_, fd) = receive(&to)?;
    fd.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no descriptor received"))
}

/// Receives one byte and the descriptor that came with it, if any. None for the byte: the sender has closed its end.
pub(crate) fn receive(from: &UnixStream) -> io::Result<(Option<u8>, Option<OwnedFd>)> {
    let mut byte = [0];
    let mut buffer = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut buffer);
    let mut bytes = [IoSliceMut::new(&mut byte)];
    let received = recvmsg(from, &mut bytes, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut fd = None;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            fd = fds.last();
        }
    }
    Ok(((received.bytes > 0).then_some(byte[0]), fd))
}

/// Takes over the listening TCP socket under `number` and makes it non-blocking.
///
/// All processes that hold the socket share its file status flags, so it becomes non-blocking for them, too. Each has to
/// handle an accept that finds no connection, as any process that shares a listening socket must.
///
/// # Errors
/// No descriptor is open under `number`, or it is not a listening TCP socket.
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    let socket = Socket::from(duplicate(number)?);
    let is_tcp_listener = socket.is_listener()? && socket.r#type()? == socket2::Type::STREAM;
    if !is_tcp_listener || socket.local_addr()?.as_socket().is_none() {
        let kind = io::ErrorKind::InvalidInput;
        return Err(io::Error::new(kind, "not a listening TCP socket"));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;
    use std::os::fd::AsRawFd;

    #[test]
    fn a_listener_is_taken_over_and_both_accept() {
        let original = TcpListener::bind("127.0.0.1:0").unwrap();
        let inherited = listener(original.as_raw_fd()).unwrap();
        assert_ne!(inherited.as_raw_fd(), original.as_raw_fd());
        assert_eq!(inherited.local_addr().unwrap(), original.local_addr().unwrap());
        assert_eq!(inherited.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(original);
        let _client = TcpStream::connect(inherited.local_addr().unwrap()).unwrap();
        inherited.set_nonblocking(false).unwrap();
        inherited.accept().unwrap();
    }

    #[test]
    fn other_descriptors_are_rejected() {
        let stream = UnixStream::pair().unwrap().0;
        assert!(listener(stream.as_raw_fd()).is_err());
        let file = std::fs::File::open("/dev/null").unwrap();
        assert!(listener(file.as_raw_fd()).is_err());
        assert_eq!(duplicate(9999).unwrap_err().raw_os_error(), Some(9));
    }
}
