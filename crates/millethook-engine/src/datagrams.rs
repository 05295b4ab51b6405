//! The socket that receives the datagrams of other sidecars.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Linux allocates and reports twice the requested size, since its bookkeeping counts towards it (socket(7),
/// `SO_RCVBUF`).
const REPORTED_SIZE_FACTOR: usize = if cfg!(target_os = "linux") { 2 } else { 1 };

/// A socket with the size of the receive buffer that the system granted it.
pub struct DatagramSocket {
    /// The bound socket, registered with the current runtime.
    pub socket: UdpSocket,
    /// The size of its receive buffer in bytes, in the unit of the request: on Linux `net.core.rmem_max` at most.
    pub receive_buffer: usize,
}

/// Binds a datagram socket. During an upgrade the new process binds the same address while the old one still runs;
/// datagrams go to the socket that was bound last (socket(7), `SO_REUSEADDR`).
///
/// `receive_buffer` is the requested size of the receive buffer in bytes, which holds datagrams while the process is
/// busy. The system may grant less, which is no error.
///
/// # Errors
/// The address cannot be bound.
pub fn bind(at: SocketAddr, receive_buffer: Option<usize>) -> io::Result<DatagramSocket> {
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if let Some(bytes) = receive_buffer {
        // If the request fails, the socket keeps its default size, which `receive_buffer` below reports.
        let _ = socket.set_recv_buffer_size(bytes);
    }
    let receive_buffer = socket.recv_buffer_size()? / REPORTED_SIZE_FACTOR;
    socket.bind(&at.into())?;
    Ok(DatagramSocket { socket: UdpSocket::from_std(socket.into())?, receive_buffer })
}
