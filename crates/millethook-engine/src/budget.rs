//! What the sidecar may hold: sockets for clients and servers, and bytes of requests' bodies.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The longest body of a request, as the protocol has it.
pub const LONGEST_BODY: usize = 64 << 10;
/// Descriptors that are neither a client's nor a server's: the listener, the event queue,
/// discovery, peers, standard streams, and those whose closing is still under way.
const RESERVE: usize = 32;
/// More connections than this would need more memory than they serve.
const MOST: usize = 4096;

/// The sockets, by what they are for.
pub struct Sockets {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// How many of these there are.
    pub client_places: usize,
    /// Connections to servers.
    pub servers: Arc<Semaphore>,
}

/// A socket's place in the budget, given back when dropped.
pub type Place = OwnedSemaphorePermit;

impl Sockets {
    /// Shares out `limit` descriptors. Clients hold a third for requests at most, and some ask once
    /// and stay; a client has one request out at a time, but its repeat or second copy may need
    /// another socket before the first is given back. So servers get as many and a little more.
    pub fn new(limit: usize) -> Sockets {
        let shared = limit.saturating_sub(RESERVE);
        let clients = (shared * 4 / 9).clamp(4, MOST);
        let servers = (shared - clients.min(shared)).clamp(4, MOST);
        let places = |n| Arc::new(Semaphore::new(n));
        Sockets { clients: places(clients), client_places: clients, servers: places(servers) }
    }
}

/// The bytes that bodies of requests may take together.
///
/// Danger: bodies that grow side by side until none may grow any more would wait for each other
/// for ever. Room for one whole body is kept back for a single leader, which can always finish.
pub struct Bytes {
    shared: Cell<usize>,
    leader: Cell<Option<u64>>,
    next: Cell<u64>,
    freed: Notify,
}

impl Bytes {
    /// A budget of `total` bytes, the leader's among them.
    pub fn new(total: usize) -> Rc<Bytes> {
        Rc::new(Bytes {
            shared: Cell::new(total.saturating_sub(LONGEST_BODY).max(1 << 20)),
            leader: Cell::new(None),
            next: Cell::new(0),
            freed: Notify::new(),
        })
    }

    /// An account for one body, empty at first.
    pub fn account(self: &Rc<Bytes>) -> Account {
        self.next.set(self.next.get() + 1);
        Account { of: Some(self.clone()), id: self.next.get(), shared: 0 }
    }
}

/// What one body has taken of the budget; given back when dropped.
#[derive(Default)]
pub struct Account {
    of: Option<Rc<Bytes>>,
    id: u64,
    shared: usize,
}

impl Account {
    /// Takes `n` bytes more, waiting until they are to be had.
    pub async fn grow(&mut self, n: usize) {
        let Some(of) = &self.of else { return };
        loop {
            let freed = of.freed.notified();
            if of.leader.get() == Some(self.id) {
                return;
            }
            if of.shared.get() >= n {
                of.shared.set(of.shared.get() - n);
                self.shared += n;
                return;
            }
            if of.leader.get().is_none() {
                of.leader.set(Some(self.id));
                return;
            }
            freed.await;
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let Some(of) = &self.of else { return };
        of.shared.set(of.shared.get() + self.shared);
        if of.leader.get() == Some(self.id) {
            of.leader.set(None);
        }
        of.freed.notify_waiters();
    }
}
