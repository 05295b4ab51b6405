//! Addresses to which no connection can be established: refused at once, or never accepted.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, PoisonError};

use crate::Conn;

/// An address that refuses connections for as long as the process lives. A free port would soon be
/// given to another test, whose server would then receive the requests sent here.
pub fn refusing_address() -> SocketAddr {
    static BOUND_SOCKETS: Mutex<Vec<socket2::Socket>> = Mutex::new(Vec::new());
    let socket = tcp_socket();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().ok().and_then(|at| at.as_socket());
    BOUND_SOCKETS.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
    address.expect("a bound address")
}

/// A listener whose backlog holds one connection.
pub fn short_backlog() -> TcpListener {
    let socket = tcp_socket();
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    socket.listen(0).expect("a queue");
    socket.into()
}

/// Clients that fill the backlog of a [`short_backlog`] that no longer accepts, so no other
/// connection is established.
pub struct FullBacklog(Vec<socket2::Socket>);

impl FullBacklog {
    /// Fills the backlog of the listener at this address.
    pub fn of(address: SocketAddr) -> FullBacklog {
        let queued = (0..4).map(|_| {
            let client = tcp_socket();
            client.set_nonblocking(true).expect("a socket's flag");
            // Clients that find the backlog full keep retrying.
            let _ = client.connect(&address.into());
            client
        });
        FullBacklog(queued.collect())
    }
}

fn tcp_socket() -> socket2::Socket {
    let (domain, kind) = (socket2::Domain::IPV4, socket2::Type::STREAM);
    socket2::Socket::new(domain, kind, None).expect("a socket")
}

/// An address at which connections are never established: its backlog is full and nobody accepts.
pub struct BlackHole {
    /// The address.
    pub address: SocketAddr,
    listener: TcpListener,
    queued: FullBacklog,
}

impl BlackHole {
    /// Fills the backlog of a new listener.
    pub fn start() -> BlackHole {
        let listener = short_backlog();
        let address = listener.local_addr().expect("a bound address");
        BlackHole { address, queued: FullBacklog::of(address), listener }
    }

    /// Accepts from now on and runs `script` for each connection that is not one of the backlog's
    /// fillers. A connection that found the backlog full is established when the kernel retries,
    /// one or three seconds after its first attempt.
    pub fn start_accepting(self, script: impl Fn(Conn) + Send + Sync + 'static) {
        let script = Arc::new(script);
        let own: Vec<Option<SocketAddr>> = self.queued.0.iter().map(own_address).collect();
        std::thread::spawn(move || {
            let _queued = self.queued;
            for socket in self.listener.incoming().flatten() {
                if own.contains(&socket.peer_addr().ok()) {
                    continue;
                }
                let script = script.clone();
                std::thread::spawn(move || script(Conn::new(socket)));
            }
        });
    }
}

fn own_address(socket: &socket2::Socket) -> Option<SocketAddr> {
    socket.local_addr().ok()?.as_socket()
}
