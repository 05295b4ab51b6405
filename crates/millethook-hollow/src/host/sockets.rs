//! The sockets of a host's members, one each, and the datagrams in flight.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::ErrorKind;

use millethook_frames::MAX_FRAME_BYTES;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use socket2::SockRef;

use crate::Micros;
use crate::address::Addresses;
use crate::error::HollowError;

/// Maximum number of datagrams in flight. Further datagrams are dropped: no real link would carry more.
const MAX_IN_FLIGHT: usize = 1 << 20;

/// Receive buffer of a control node's socket. Some hundred sidecars answer it at once, and the kernel counts a
/// datagram as three times its length. With the system's default of 208 KiB, digests were dropped as soon as the host
/// had to wait for a processor.
const CONTROL_RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// A datagram in flight, ordered by its arrival time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    arrival: Micros,
    slot: usize,
    to: u16,
    bytes: Vec<u8>,
}

/// The sockets of a host, by slot.
pub(crate) struct Sockets {
    addresses: Addresses,
    sockets: Vec<UdpSocket>,
    in_flight: BinaryHeap<Reverse<InFlight>>,
    /// Datagrams that the kernel or the full queue refused.
    pub refused: u64,
}

impl Sockets {
    /// Binds a socket for each number. Tokens are slot indices.
    pub fn bind(
        registry: &Registry,
        addresses: Addresses,
        numbers: &[u16],
        is_control: impl Fn(u16) -> bool,
    ) -> Result<Sockets, HollowError> {
        let mut sockets = Vec::with_capacity(numbers.len());
        for (slot, number) in numbers.iter().enumerate() {
            let mut socket = UdpSocket::bind(addresses.address_of(*number))
                .map_err(HollowError::system("bind a member's address"))?;
            if is_control(*number) {
                SockRef::from(&socket)
                    .set_recv_buffer_size(CONTROL_RECEIVE_BUFFER_BYTES)
                    .map_err(HollowError::system("enlarge a control node's receive buffer"))?;
            }
            registry
                .register(&mut socket, Token(slot), Interest::READABLE)
                .map_err(HollowError::system("register a member's socket"))?;
            sockets.push(socket);
        }
        Ok(Sockets { addresses, sockets, in_flight: BinaryHeap::new(), refused: 0 })
    }

    /// Receives the next datagram at a slot, with its sender's number, or `None` if there is none. Datagrams from
    /// outside the run are ignored.
    pub fn receive<'b>(
        &self,
        slot: usize,
        buffer: &'b mut [u8; MAX_FRAME_BYTES + 1],
    ) -> Option<(u16, &'b [u8])> {
        loop {
            match self.sockets.get(slot)?.recv_from(buffer) {
                Ok((length, from)) if length <= MAX_FRAME_BYTES => {
                    if let Some(number) = self.addresses.number_of(from) {
                        return Some((number, &buffer[..length]));
                    }
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Queues a datagram so that it arrives at the given time.
    pub fn send(&mut self, slot: usize, to: u16, bytes: Vec<u8>, arrival: Micros) {
        if self.in_flight.len() >= MAX_IN_FLIGHT {
            self.refused += 1;
        } else {
            self.in_flight.push(Reverse(InFlight { arrival, slot, to, bytes }));
        }
    }

    /// Passes all datagrams whose arrival time has come to the kernel.
    pub fn deliver(&mut self, now: Micros) {
        while self.in_flight.peek().is_some_and(|Reverse(datagram)| datagram.arrival <= now) {
            let Some(Reverse(datagram)) = self.in_flight.pop() else { return };
            let to = self.addresses.address_of(datagram.to);
            let sent = self.sockets.get(datagram.slot).map(|s| s.send_to(&datagram.bytes, to));
            if !matches!(sent, Some(Ok(_))) {
                self.refused += 1;
            }
        }
    }

    /// Returns when the next datagram arrives.
    pub fn next(&self) -> Option<Micros> {
        self.in_flight.peek().map(|Reverse(datagram)| datagram.arrival)
    }
}
