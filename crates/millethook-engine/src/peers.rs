//! Sends and receives datagrams between the sidecars of a tier.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::sinks::PeerSender;

/// The maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The wait after a failed receive.
const ERROR_BACKOFF: Duration = Duration::from_millis(1);
/// The peer number that addresses all sidecars.
const EVERYONE: u32 = u32::MAX;

/// Sends datagrams to the other sidecars and receives theirs.
pub struct Peers {
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    rejected_datagrams: Cell<u64>,
}

struct Addresses {
    peers: Vec<SocketAddr>,
    /// The peer number by address.
    numbers: HashMap<SocketAddr, u32>,
    everyone: Option<SocketAddr>,
}

impl Addresses {
    fn new(peers: Vec<SocketAddr>, everyone: Option<SocketAddr>) -> Addresses {
        let mut numbers = HashMap::with_capacity(peers.len());
        for (number, address) in (0..).zip(&peers) {
            // An address that is listed twice gets its first number.
            numbers.entry(*address).or_insert(number);
        }
        Addresses { peers, numbers, everyone }
    }
}

impl PeerSender for Peers {
    fn send(&self, peer: u32, data: &[u8]) {
        let to = match peer {
            EVERYONE => self.addresses.borrow().everyone,
            n => self.addresses.borrow().peers.get(n as usize).copied(),
        };
        if let (Some(to), true) = (to, data.len() <= MAX_DATAGRAM_BYTES) {
            let _ = self.socket.try_send_to(data, to);
        }
    }
}

impl Peers {
    /// Creates the sender and receiver of datagrams on a bound socket; `everyone` is the address that reaches all
    /// peers.
    pub fn new(
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        everyone: Option<SocketAddr>,
    ) -> Rc<Peers> {
        let addresses = RefCell::new(Addresses::new(peers, everyone));
        Rc::new(Peers { socket, addresses, rejected_datagrams: Cell::new(0) })
    }

    /// Replaces the addresses of the other sidecars.
    pub fn set_addresses(&self, peers: Vec<SocketAddr>, everyone: Option<SocketAddr>) {
        self.addresses.replace(Addresses::new(peers, everyone));
    }

    /// Returns how many datagrams were rejected: not from a peer's address, or too long.
    pub fn rejected_datagrams(&self) -> u64 {
        self.rejected_datagrams.get()
    }

    /// Receives datagrams and passes them to `handle` with the number of the sender. Rejects those from unknown
    /// addresses and those that are too long.
    pub async fn receive(self: Rc<Peers>, handle: impl Fn(u32, &[u8])) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // An error reports that an earlier datagram found no receiver. Without the wait a permanent error would
            // make this a busy loop that blocks all other tasks of the thread.
            let Ok((n, from)) = self.socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(ERROR_BACKOFF).await;
                continue;
            };
            let peer = self.addresses.borrow().numbers.get(&from).copied();
            match peer.filter(|_| n <= MAX_DATAGRAM_BYTES) {
                Some(peer) => handle(peer, &buffer[..n]),
                None => self.rejected_datagrams.set(self.rejected_datagrams.get() + 1),
            }
        }
    }
}
