//! Loopback addresses that no other lab on this machine uses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

/// The second byte of a lab's addresses, held as long as this lives.
pub struct Addresses {
    octet: u8,
    _held: TcpListener,
}

/// Where a lab marks its second byte as taken.
const MARK: (u8, u8, u16) = (255, 254, 4747);
/// Clients' port of each sidecar, and the port for datagrams.
const CLIENTS: u16 = 3000;
const DATAGRAMS: u16 = 7946;
/// And the operators'.
const ADMIN: u16 = 3001;
/// Sidecars to each third byte.
const ROW: usize = 200;

impl Addresses {
    /// Finds a free second byte.
    ///
    /// # Errors
    /// None is free, or loopback cannot be bound.
    pub fn take() -> io::Result<Addresses> {
        let first = std::process::id() as usize;
        let mut last = io::Error::from(io::ErrorKind::AddrInUse);
        for n in 0..200 {
            let octet = 20 + ((first + n) % 200) as u8;
            match TcpListener::bind((Ipv4Addr::new(127, octet, MARK.0, MARK.1), MARK.2)) {
                Ok(held) => return Ok(Addresses { octet, _held: held }),
                Err(e) => last = e,
            }
        }
        Err(last)
    }

    fn at(&self, third: usize, fourth: usize) -> IpAddr {
        Ipv4Addr::new(127, self.octet, third as u8, fourth as u8).into()
    }

    /// Where a process of a sidecar accepts clients; `twin` counts further processes.
    pub fn listen(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (self.at(sidecar / ROW + twin * 20, sidecar % ROW + 1), CLIENTS).into()
    }

    /// Where operators call.
    pub fn admin(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (self.at(sidecar / ROW + twin * 20, sidecar % ROW + 1), ADMIN).into()
    }

    /// Where datagrams for it really arrive.
    pub fn datagrams(&self, sidecar: usize, twin: usize) -> SocketAddr {
        (self.at(sidecar / ROW + twin * 20, sidecar % ROW + 1), DATAGRAMS).into()
    }

    /// Any port for a stand-in.
    pub fn stand_in(&self) -> SocketAddr {
        (self.at(250, 1), 0).into()
    }
}
