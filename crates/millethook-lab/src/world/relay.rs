//! The only way from one sidecar to another: each sees the others under addresses of this relay.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::network::NetworkModel;
use crate::ledger::Clock;

/// The longest datagram between sidecars.
const LONGEST: usize = 256;
/// Datagrams under way at once; one more is lost.
const UNDER_WAY: usize = 65_536;

/// What one sidecar sent and got.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Datagrams sent to one peer.
    pub sent: AtomicU64,
    /// Bytes of them.
    pub bytes: AtomicU64,
    /// Datagrams that were passed on to it.
    pub got: AtomicU64,
}

/// What the relay saw in all.
#[derive(Debug, Default)]
pub struct Counts {
    /// Lost by chance or to a cap.
    pub lost: AtomicU64,
    /// Lost to cuts and partitions.
    pub cut: AtomicU64,
    /// From no sidecar of the run, or longer than allowed.
    pub strangers: AtomicU64,
    /// Lost as too many were under way.
    pub overflow: AtomicU64,
}

/// The relay.
pub struct Relay {
    clock: Clock,
    model: Mutex<NetworkModel>,
    /// By view and sidecar: the socket that stands for it.
    sockets: Vec<Vec<UdpSocket>>,
    /// By view: the socket that stands for all.
    everyone: Vec<UdpSocket>,
    /// Which sidecar sends from an address.
    senders: Mutex<HashMap<SocketAddr, usize>>,
    /// Where the processes of each sidecar listen.
    real: Mutex<Vec<Vec<SocketAddr>>>,
    under_way: AtomicUsize,
    /// By sidecar.
    pub traffic: Vec<Traffic>,
    /// In all.
    pub counts: Counts,
}

impl Relay {
    /// One between `count` sidecars, with sockets at `at` (port 0).
    ///
    /// # Errors
    /// A socket cannot be had.
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
            real: Mutex::new(vec![Vec::new(); count]),
            under_way: AtomicUsize::new(0),
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

    /// A process of a sidecar sends from and listens at `at`.
    pub fn admit(&self, sidecar: usize, at: SocketAddr) {
        self.senders.lock().unwrap_or_else(PoisonError::into_inner).insert(at, sidecar);
        let mut real = self.real.lock().unwrap_or_else(PoisonError::into_inner);
        if !real[sidecar].contains(&at) {
            real[sidecar].push(at);
        }
    }

    /// Changes what becomes of datagrams.
    pub fn model(&self, change: impl FnOnce(&mut NetworkModel)) {
        change(&mut self.model.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn view_of(&self, sidecar: usize) -> usize {
        sidecar % self.sockets.len()
    }

    /// What a sidecar is to know of the others: the address of each by its number, and that of all.
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
        let mut buffer = [0; LONGEST + 1];
        loop {
            // An error tells of an earlier datagram whose reader has gone.
            let Ok((length, at)) = socket.recv_from(&mut buffer).await else {
                sleep(std::time::Duration::from_millis(1)).await;
                continue;
            };
            let sender =
                self.senders.lock().unwrap_or_else(PoisonError::into_inner).get(&at).copied();
            let Some(from) = sender.filter(|_| length <= LONGEST) else {
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
            if self.under_way.fetch_add(1, Ordering::Relaxed) >= UNDER_WAY {
                self.under_way.fetch_sub(1, Ordering::Relaxed);
                self.counts.overflow.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let (relay, data) = (self.clone(), data.to_vec());
            tokio::spawn(async move {
                sleep(delay).await;
                relay.under_way.fetch_sub(1, Ordering::Relaxed);
                relay.deliver(from, to, &data);
            });
        }
    }

    fn deliver(&self, from: usize, to: usize, data: &[u8]) {
        let real = self.real.lock().unwrap_or_else(PoisonError::into_inner)[to].clone();
        // The receiver knows the sender by the address that stands for it in the receiver's own view.
        let socket = &self.sockets[self.view_of(to)][from];
        for at in real {
            // Where nobody listens any more the datagram is lost, as it would be.
            if socket.try_send_to(data, at).is_ok() {
                self.traffic[to].got.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
