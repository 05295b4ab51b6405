//! Datagrams between sidecars of the tier.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use crate::sinks::PeerSender;

/// The longest datagram.
const LONGEST: usize = 256;
/// After an error.
const PAUSE: Duration = Duration::from_millis(1);
/// The peer that stands for all of them.
const EVERYONE: u32 = u32::MAX;

/// The way to the other sidecars.
pub struct Peers {
    socket: UdpSocket,
    addresses: RefCell<Addresses>,
    discarded: Cell<u64>,
}

struct Addresses {
    peers: Vec<SocketAddr>,
    /// The number of each peer's address.
    numbers: HashMap<SocketAddr, u32>,
    everyone: Option<SocketAddr>,
}

impl Addresses {
    fn new(peers: Vec<SocketAddr>, everyone: Option<SocketAddr>) -> Addresses {
        let mut numbers = HashMap::with_capacity(peers.len());
        for (number, address) in (0..).zip(&peers) {
            // Of an address that stands there twice the first number counts.
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
        if let (Some(to), true) = (to, data.len() <= LONGEST) {
            let _ = self.socket.try_send_to(data, to);
        }
    }
}

impl Peers {
    /// `socket` is bound to where datagrams arrive.
    pub fn new(
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        everyone: Option<SocketAddr>,
    ) -> Rc<Peers> {
        let addresses = RefCell::new(Addresses::new(peers, everyone));
        Rc::new(Peers { socket, addresses, discarded: Cell::new(0) })
    }

    /// The other sidecars are elsewhere from now on.
    pub fn set_addresses(&self, peers: Vec<SocketAddr>, everyone: Option<SocketAddr>) {
        self.addresses.replace(Addresses::new(peers, everyone));
    }

    /// Datagrams that were passed over: not from a peer's address, or too long.
    pub fn discarded(&self) -> u64 {
        self.discarded.get()
    }

    /// Takes in datagrams, and gives them to `take` with the number of the peer. Those of strangers and those that
    /// are too long are passed over.
    pub async fn receive(self: Rc<Peers>, take: impl Fn(u32, &[u8])) {
        let mut buf = [0; LONGEST + 1];
        loop {
            // An error tells of a datagram that was sent, and that no reader waited for. Danger: an
            // error that stays would keep this loop, and with it all else, busy for ever.
            let Ok((n, from)) = self.socket.recv_from(&mut buf).await else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let peer = self.addresses.borrow().numbers.get(&from).copied();
            match peer.filter(|_| n <= LONGEST) {
                Some(peer) => take(peer, &buf[..n]),
                None => self.discarded.set(self.discarded.get() + 1),
            }
        }
    }
}
