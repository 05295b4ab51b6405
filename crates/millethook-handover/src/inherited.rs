//! A descriptor that was open when the process began.

use std::io::{self, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{OwnedFd, RawFd};
use std::os::unix::net::UnixStream;

use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use sendfd::SendWithFd;
use socket2::Socket;

/// A descriptor of this process's own for what is open under `number`. The one under that number stays
/// open: who left it there may have given it to others, too.
///
/// A number is no proof that its descriptor belongs to nobody else in this process, so making an owned
/// one of it is `unsafe`. Sent through a socket pair it comes back as a new one that belongs to whoever
/// received it.
///
/// # Errors
/// Nothing is open under `number` (`EBADF`).
pub fn duplicate(number: RawFd) -> io::Result<OwnedFd> {
    let (from, to) = UnixStream::pair()?;
    from.send_with_fd(&[0], &[number])?;
    let (_, fd) = receive(&to)?;
    fd.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no descriptor came"))
}

/// One byte and the descriptor that came with it, if one did. None for the byte: the sender has ended.
pub(crate) fn receive(from: &UnixStream) -> io::Result<(Option<u8>, Option<OwnedFd>)> {
    let mut byte = [0];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut bytes = [IoSliceMut::new(&mut byte)];
    let got = recvmsg(from, &mut bytes, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut fd = None;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(fds) = message {
            fd = fds.last();
        }
    }
    Ok(((got.bytes > 0).then_some(byte[0]), fd))
}

/// The listening TCP socket under `number`, not blocking.
///
/// Danger: the file status flags are shared by all processes that hold the socket. Each of them has to
/// expect that an accept finds nothing, which is so for any that shares a listening socket.
///
/// # Errors
/// Nothing is open under `number`, or it is no listening TCP socket.
pub fn listener(number: RawFd) -> io::Result<TcpListener> {
    let socket = Socket::from(duplicate(number)?);
    let listens = socket.is_listener()? && socket.r#type()? == socket2::Type::STREAM;
    if !listens || socket.local_addr()?.as_socket().is_none() {
        let kind = io::ErrorKind::InvalidInput;
        return Err(io::Error::new(kind, "a listening TCP socket expected"));
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
        let ours = listener(original.as_raw_fd()).unwrap();
        assert_ne!(ours.as_raw_fd(), original.as_raw_fd());
        assert_eq!(ours.local_addr().unwrap(), original.local_addr().unwrap());
        assert_eq!(ours.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(original);
        let _client = TcpStream::connect(ours.local_addr().unwrap()).unwrap();
        ours.set_nonblocking(false).unwrap();
        ours.accept().unwrap();
    }

    #[test]
    fn what_is_no_listener_is_turned_down() {
        let stream = UnixStream::pair().unwrap().0;
        assert!(listener(stream.as_raw_fd()).is_err());
        let file = std::fs::File::open("/dev/null").unwrap();
        assert!(listener(file.as_raw_fd()).is_err());
        assert_eq!(duplicate(9999).unwrap_err().raw_os_error(), Some(9));
    }
}
