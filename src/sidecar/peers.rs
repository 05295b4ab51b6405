//! Datagrams between sidecars of the tier.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;

use super::driver::Driver;

/// The longest datagram.
const LONGEST: usize = 256;
/// The peer that stands for all of them.
const EVERYONE: u32 = u32::MAX;

/// The way to the other sidecars.
pub struct Peers {
    socket: UdpSocket,
    peers: Vec<SocketAddr>,
    everyone: Option<SocketAddr>,
}

impl Peers {
    /// `socket` is bound to where datagrams arrive.
    pub fn new(
        socket: UdpSocket,
        peers: Vec<SocketAddr>,
        everyone: Option<SocketAddr>,
    ) -> Rc<Peers> {
        Rc::new(Peers { socket, peers, everyone })
    }

    /// Sends a datagram; it may be lost, like any.
    pub fn tell(&self, peer: u32, data: &[u8]) {
        let to = match peer {
            EVERYONE => self.everyone,
            n => self.peers.get(n as usize).copied(),
        };
        if let (Some(to), true) = (to, data.len() <= LONGEST) {
            let _ = self.socket.try_send_to(data, to);
        }
    }

    /// Takes in datagrams. Those of strangers and those that are too long are passed over.
    pub async fn listen(self: Rc<Peers>, driver: Rc<Driver>) {
        let mut buf = [0; LONGEST + 1];
        loop {
            // An error tells of a datagram that was sent, and that no reader waited for.
            let Ok((n, from)) = self.socket.recv_from(&mut buf).await else { continue };
            let peer = self.peers.iter().position(|&p| p == from);
            if let (Some(peer), true) = (peer, n <= LONGEST) {
                driver.note(peer as u32, &buf[..n]);
            }
        }
    }
}
