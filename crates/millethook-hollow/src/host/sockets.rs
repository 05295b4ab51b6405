//! The sockets of a host's sidecars, one each, and datagrams that are still on their way.

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

/// Datagrams on their way at most. More is a storm that no link carries; what comes then is lost.
const MAX_FLIGHTS: usize = 1 << 20;

/// Bytes that a control node's socket keeps: some hundred sidecars answer it at once, and the kernel counts a datagram
/// as three times its length. With the system's own 208 KiB digests were dropped as soon as the host had to wait for a
/// processor.
const CONTROL_BUFFER: usize = 4 << 20;

/// A datagram on its way; ordered by when it arrives.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Flight {
    arrives: Micros,
    slot: usize,
    to: u16,
    bytes: Vec<u8>,
}

/// Sockets by slot.
pub(crate) struct Sockets {
    addresses: Addresses,
    sockets: Vec<UdpSocket>,
    flights: BinaryHeap<Reverse<Flight>>,
    /// Datagrams that the kernel, or a full queue, did not take.
    pub refused: u64,
}

impl Sockets {
    /// Binds a socket for each number; tokens are slots.
    pub fn bind(
        registry: &Registry,
        addresses: Addresses,
        numbers: &[u16],
        is_control: impl Fn(u16) -> bool,
    ) -> Result<Sockets, HollowError> {
        let mut sockets = Vec::with_capacity(numbers.len());
        for (slot, number) in numbers.iter().enumerate() {
            let mut socket = UdpSocket::bind(addresses.of(*number))
                .map_err(HollowError::system("bind a sidecar's address"))?;
            if is_control(*number) {
                SockRef::from(&socket)
                    .set_recv_buffer_size(CONTROL_BUFFER)
                    .map_err(HollowError::system("enlarge a control node's buffer"))?;
            }
            registry
                .register(&mut socket, Token(slot), Interest::READABLE)
                .map_err(HollowError::system("watch a sidecar's socket"))?;
            sockets.push(socket);
        }
        Ok(Sockets { addresses, sockets, flights: BinaryHeap::new(), refused: 0 })
    }

    /// The next datagram that waits at a slot, and whose it is. None: nothing waits. Strangers' are passed over.
    pub fn receive<'b>(
        &self,
        slot: usize,
        buffer: &'b mut [u8; MAX_FRAME_BYTES + 1],
    ) -> Option<(u16, &'b [u8])> {
        loop {
            match self.sockets.get(slot)?.recv_from(buffer) {
                Ok((length, from)) if length <= MAX_FRAME_BYTES => {
                    if let Some(number) = self.addresses.number(from) {
                        return Some((number, &buffer[..length]));
                    }
                }
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return None,
            }
        }
    }

    /// Sends a datagram so that it arrives at this time.
    pub fn send(&mut self, slot: usize, to: u16, bytes: Vec<u8>, arrives: Micros) {
        if self.flights.len() >= MAX_FLIGHTS {
            self.refused += 1;
        } else {
            self.flights.push(Reverse(Flight { arrives, slot, to, bytes }));
        }
    }

    /// Hands what arrives by now to the kernel.
    pub fn deliver(&mut self, now: Micros) {
        while self.flights.peek().is_some_and(|Reverse(flight)| flight.arrives <= now) {
            let Some(Reverse(flight)) = self.flights.pop() else { return };
            let to = self.addresses.of(flight.to);
            let sent = self.sockets.get(flight.slot).map(|s| s.send_to(&flight.bytes, to));
            if !matches!(sent, Some(Ok(_))) {
                self.refused += 1;
            }
        }
    }

    /// When the next datagram arrives.
    pub fn next(&self) -> Option<Micros> {
        self.flights.peek().map(|Reverse(flight)| flight.arrives)
    }
}
