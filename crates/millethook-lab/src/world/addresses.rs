//! Loopback addresses that no other lab on this machine uses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The second byte of a lab's addresses, reserved until this is dropped.
pub struct Addresses {
    octet: u8,
    _reservation: TcpListener,
}

/// Third byte, fourth byte and port of the socket that reserves a second byte.
const RESERVATION_ADDRESS: (u8, u8, u16) = (255, 254, 4747);
/// Port of each sidecar for clients.
const CLIENT_PORT: u16 = 3000;
const DATAGRAM_PORT: u16 = 7946;
/// Port of each sidecar for the admin interface.
const ADMIN_PORT: u16 = 3001;
/// Number of sidecars that share a third byte.
const SIDECARS_PER_THIRD_BYTE: usize = 200;

impl Addresses {
    /// Reserves a free second byte.
    ///
    /// # Errors
    /// No second byte is free, or loopback cannot be bound.
    pub fn take() -> io::Result<Addresses> {
        let first = std::process::id() as usize;
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for n in 0..200 {
            let octet = 20 + ((first + n) % 200) as u8;
            match TcpListener::bind((
                Ipv4Addr::new(127, octet, RESERVATION_ADDRESS.0, RESERVATION_ADDRESS.1),
                RESERVATION_ADDRESS.2,
            )) {
                Ok(held) => return Ok(Addresses { octet, _reservation: held }),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    fn at(&self, third: usize, fourth: usize) -> IpAddr {
        Ipv4Addr::new(127, self.octet, third as u8, fourth as u8).into()
    }

    /// Client address of a sidecar's process; `twin` numbers its additional processes from 1.
    pub fn listen(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (
            self.at(
                sidecar / SIDECARS_PER_THIRD_BYTE + twin * 20,
                sidecar % SIDECARS_PER_THIRD_BYTE + 1,
            ),
            CLIENT_PORT,
        )
            .into()
    }

    /// Admin address of a sidecar's process.
    pub fn admin(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (
            self.at(
                sidecar / SIDECARS_PER_THIRD_BYTE + twin * 20,
                sidecar % SIDECARS_PER_THIRD_BYTE + 1,
            ),
            ADMIN_PORT,
        )
            .into()
    }

    /// Address at which a sidecar's process receives datagrams from the relay.
    pub fn datagrams(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (
            self.at(
                sidecar / SIDECARS_PER_THIRD_BYTE + twin * 20,
                sidecar % SIDECARS_PER_THIRD_BYTE + 1,
            ),
            DATAGRAM_PORT,
        )
            .into()
    }

    /// Address for a stand-in, with port 0.
    pub fn stand_in(&self) -> SocketAddr {
        (self.at(250, 1), 0).into()
    }
}
