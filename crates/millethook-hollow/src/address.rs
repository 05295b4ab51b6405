//! Loopback addresses of sidecars: 127.`octet`.`number / 256`.`number % 256`, all with the same port.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use std::sync::atomic::{AtomicU64, Ordering};

use millethook_machine::hash::mix;
use serde::{Deserialize, Serialize};

/// The address range of one run. Concurrent runs differ in octet or port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// The second octet, 1 to 254.
    pub octet: u8,
    /// The port.
    pub port: u16,
}

impl Addresses {
    /// Returns the socket address of the member with this number.
    pub fn address_of(self, number: u16) -> SocketAddr {
        let [high, low] = number.to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, self.octet, high, low), self.port))
    }

    /// Returns the number of the member at an address, or `None` for an address outside this run.
    pub fn number_of(self, address: SocketAddr) -> Option<u16> {
        let IpAddr::V4(ip) = address.ip() else { return None };
        let [first, octet, high, low] = ip.octets();
        let ours = first == 127 && octet == self.octet && address.port() == self.port;
        ours.then(|| u16::from_be_bytes([high, low]))
    }
}

/// Second octets that runs may use. 127.0 and 127.1 are left to other programs.
const OCTET_RANGE: std::ops::Range<u8> = 64..250;
/// Ports that runs may use: below the kernel's ephemeral port range.
const PORT_RANGE: std::ops::Range<u16> = 20_000..30_000;
/// Number of candidate address ranges that this process has tried so far.
static CANDIDATES_TRIED: AtomicU64 = AtomicU64::new(0);
/// Maximum number of candidate address ranges before a run fails.
const MAX_CANDIDATES: u64 = 64;

impl Addresses {
    /// Returns an address range that appears to be free: only the first sidecar's address is tested.
    ///
    /// # Errors
    /// Fails if all tested candidates are in use.
    pub fn find_free() -> Result<Addresses, crate::HollowError> {
        let mut last = std::io::Error::from(std::io::ErrorKind::AddrInUse);
        for _ in 0..MAX_CANDIDATES {
            // The counter makes runs of one process differ as well: the tested address is free again until its host
            // binds it.
            let nth = CANDIDATES_TRIED.fetch_add(1, Ordering::Relaxed);
            let random = mix(u64::from(std::process::id()) << 32 ^ nth);
            let octet = OCTET_RANGE.start + (random % OCTET_RANGE.len() as u64) as u8;
            let port = PORT_RANGE.start + ((random >> 16) % PORT_RANGE.len() as u64) as u16;
            let addresses = Addresses { octet, port };
            match std::net::UdpSocket::bind(addresses.address_of(0)) {
                Ok(_) => return Ok(addresses),
                Err(e) => last = e,
            }
        }
        Err(crate::HollowError::System { what: "bind a free address", source: last })
    }
}
