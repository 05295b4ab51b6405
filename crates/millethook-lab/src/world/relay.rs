//! UDP relay between sidecars. Each sidecar knows its peers only by addresses of this relay, so all datagrams pass
//! it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::network::NetworkModel;
use crate::ledger::Clock;

/// Maximum datagram length between sidecars, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Limit on delayed datagrams in flight; further ones are dropped.
const MAX_IN_FLIGHT: usize = 65_536;

/// Traffic counters of one sidecar.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Datagrams sent; one to all peers counts once for each.
    pub sent: AtomicU64,
    /// Bytes sent.
    pub bytes: AtomicU64,
    /// Datagrams delivered to it.
    pub got: AtomicU64,
}

/// Counters of datagrams that were not delivered.
#[derive(Debug, Default)]
pub struct Counts {
    /// Lost at random or to a cap.
    pub lost: AtomicU64,
    /// Lost to cuts and partitions.
    pub cut: AtomicU64,
    /// From an unknown sender, or too long.
    pub strangers: AtomicU64,
    /// Dropped because too many were in flight.
    pub overflow: AtomicU64,
}

/// The relay: sockets, network model and counters.
pub struct Relay {
    clock: Clock,
    model: Mutex<NetworkModel>,
    /// For each view and sidecar, the socket that represents the sidecar.
    sockets: Vec<Vec<UdpSocket>>,
    /// For each view, the socket that forwards to all peers.
    everyone: Vec<UdpSocket>,
    /// The sidecar that sends from each address.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    /// Datagram addresses of each sidecar's processes.
    process_addresses: Mutex<Vec<Vec<SocketAddr>>>,
    in_flight: AtomicUsize,
    /// Traffic by sidecar.
    pub traffic: Vec<Traffic>,
    /// Counters of datagrams that were not delivered.
    pub counts: Counts,
}

impl Relay {
    /// Starts a relay between `count` sidecars, with sockets bound to `at` (port 0).
    ///
    /// # Errors
    /// A socket cannot be created.
    pub async fn start(
        clock: Clock,
        model: NetworkModel,
        count: usize,
        views: usize,
        at: SocketAddr,
    ) -> io::Result<Arc<Relay>> {
        let mut sockets = Vec::new();
        let mut everyone = Vec::new();
        for _ in 0..views {
            let mut view = Vec::new();
            for _ in 0..count {
                view.push(UdpSocket::bind(at).await?);
            }
            sockets.push(view);
            everyone.push(UdpSocket::bind(at).await?);
        }
        let relay = Arc::new(Relay {
            clock,
            model: Mutex::new(model),
            sockets,
            everyone,
            senders: Mutex::default(),
            process_addresses: Mutex::new(vec![Vec::new(); count]),
            in_flight: AtomicUsize::new(0),
            traffic: (0..count).map(|_| Traffic::default()).collect(),
            counts: Counts::default(),
        });
        for view in 0..views {
            for to in 0..count {
                tokio::spawn(relay.clone().listen(view, Some(to)));
            }
            tokio::spawn(relay.clone().listen(view, None));
        }
        Ok(relay)
    }

    /// Registers the address from which a sidecar's process sends and at which it receives.
    pub fn admit(&self, sidecar: usize, at: SocketAddr) {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner).insert(at, sidecar);
        let mut process_addresses =
            self.process_addresses.lock().unwrap_or_else(PoisonError::into_inner);
        if !process_addresses[sidecar].contains(&at) {
            process_addresses[sidecar].push(at);
        }
    }

    /// Changes the network model.
    pub fn model(&self, change: impl FnOnce(&mut NetworkModel)) {
        change(&mut self.model.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn view_of(&self, sidecar: usize) -> usize {
        sidecar % self.sockets.len()
    }

    /// The addresses for a sidecar's configuration: one for each sidecar, by number, and one that forwards to all.
    ///
    /// # Errors
    /// A socket has no address.
    pub fn peers(&self, sidecar: usize) -> io::Result<(Vec<SocketAddr>, SocketAddr)> {
        let view = self.view_of(sidecar);
        let each = self.sockets[view].iter().map(UdpSocket::local_addr).collect::<io::Result<_>>();
        Ok((each?, self.everyone[view].local_addr()?))
    }

    async fn listen(self: Arc<Relay>, view: usize, to: Option<usize>) {
        let socket = match to {
            Some(to) => &self.sockets[view][to],
            None => &self.everyone[view],
        };
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            // An error here refers to an earlier datagram whose receiver is gone.
            let Ok((length, at)) = socket.recv_from(&mut buffer).await else {
                sleep(std::time::Duration::from_millis(1)).await;
                continue;
            };
            let sender =
                self.senders.lock().unwrap_or_else(PoisonError::into_inner).get(&at).copied();
            let Some(from) = sender.filter(|_| length <= MAX_DATAGRAM_BYTES) else {
                self.counts.strangers.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            match to {
                Some(to) => self.pass(from, to, &buffer[..length]),
                None => {
                    for to in (0..self.traffic.len()).filter(|to| *to != from) {
                        self.pass(from, to, &buffer[..length]);
                    }
                }
            }
        }
    }

    fn pass(self: &Arc<Relay>, from: usize, to: usize, data: &[u8]) {
        self.traffic[from].sent.fetch_add(1, Ordering::Relaxed);
        self.traffic[from].bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        let now = std::time::Duration::from_micros(self.clock.now());
        let mut model = self.model.lock().unwrap_or_else(PoisonError::into_inner);
        let fate = model.pass(now, from, to, data.len());
        drop(model);
        if fate.delays.is_empty() {
            let count = if fate.cut { &self.counts.cut } else { &self.counts.lost };
            count.fetch_add(1, Ordering::Relaxed);
        }
        for delay in fate.delays {
            if delay.is_zero() {
                self.deliver(from, to, data);
                continue;
            }
            if self.in_flight.fetch_add(1, Ordering::Relaxed) >= MAX_IN_FLIGHT {
                self.in_flight.fetch_sub(1, Ordering::Relaxed);
                self.counts.overflow.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (relay, data) = (self.clone(), data.to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                relay.in_flight.fetch_sub(1, Ordering::Relaxed);
                relay.deliver(from, to, &data);
            });
        }
    }

    fn deliver(&self, from: usize, to: usize, data: &[u8]) {
        let process_addresses =
            self.process_addresses.lock().unwrap_or_else(PoisonError::into_inner)[to].clone();
        // The receiver identifies the sender by the sender's relay address in the receiver's view.
        let socket = &self.sockets[self.view_of(to)][from];
        for at in process_addresses {
            // The datagram is lost if no process listens, as on a real network.
            if socket.try_send_to(data, at).is_ok() {
                self.traffic[to].got.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
