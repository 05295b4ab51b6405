//! What a process may hold: sockets for clients and servers, and bytes of requests' bodies.
//!
//! Several engines of one process may share a budget: all of it may be used from any thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The longest body of a request, as the protocol has it.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Descriptors that are neither a client's nor a server's: the listener, the event queue,
/// discovery, peers, standard streams, and those whose closing is still under way.
const RESERVE: usize = 32;
/// So many of them are for clients' connections that are ending.
const CLOSING: usize = 16;
/// More connections than this would need more memory than they serve.
const MOST: usize = 4096;

/// The sockets, by what they are for.
pub struct Sockets {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// How many of these there are.
    pub client_permits: usize,
    /// Connections of clients that are ending, and make room for others meanwhile.
    pub closing: Arc<Semaphore>,
    /// Connections to servers.
    pub servers: EnginePermits,
}

/// A socket's place in the budget, given back when dropped.
pub type Permit = OwnedSemaphorePermit;

impl Sockets {
    /// Shares out `limit` descriptors. Clients hold a third for requests at most, and some ask once
    /// and stay; a client has one request out at a time, but its repeat or second copy may need
    /// another socket before the first is given back. So servers get as many and a little more.
    pub fn new(limit: usize) -> Sockets {
        let shared = limit.saturating_sub(RESERVE);
        let clients = (shared * 4 / 9).clamp(4, MOST);
        let servers = (shared - clients.min(shared)).clamp(4, MOST);
        Sockets {
            clients: Arc::new(Semaphore::new(clients)),
            client_permits: clients,
            closing: Arc::new(Semaphore::new(CLOSING)),
            servers: EnginePermits::new(ConnectionPermits::new(servers)),
        }
    }

    /// For engines whose clients need no sockets: all places are for servers.
    pub fn for_servers(servers: Arc<ConnectionPermits>) -> Sockets {
        let none = || Arc::new(Semaphore::new(0));
        let servers = EnginePermits::new(servers);
        Sockets { clients: none(), client_permits: 0, closing: none(), servers }
    }
}

/// The places for connections to servers, perhaps of several engines.
pub struct ConnectionPermits {
    free: Arc<Semaphore>,
    total: usize,
    /// Each engine's [`EnginePermits::wanted`].
    engines: Mutex<Vec<Weak<Notify>>>,
}

impl ConnectionPermits {
    /// So many places.
    pub fn new(total: usize) -> Arc<ConnectionPermits> {
        let free = Arc::new(Semaphore::new(total));
        Arc::new(ConnectionPermits { free, total, engines: Mutex::default() })
    }

    /// How many are taken.
    pub fn in_use(&self) -> usize {
        self.total - self.free.available_permits()
    }

    fn engines(&self) -> MutexGuard<'_, Vec<Weak<Notify>>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The places for connections to servers as one engine sees them.
pub struct EnginePermits {
    all: Arc<ConnectionPermits>,
    /// Told when another engine finds no place, and nothing of its own at rest to give up for one.
    wanted: Arc<Notify>,
}

impl EnginePermits {
    /// One engine more shares these places.
    pub fn new(all: Arc<ConnectionPermits>) -> EnginePermits {
        let wanted = Arc::new(Notify::new());
        let mut engines = all.engines();
        engines.retain(|engine| engine.strong_count() > 0);
        engines.push(Arc::downgrade(&wanted));
        drop(engines);
        EnginePermits { all, wanted }
    }

    /// A place, if one is free.
    pub fn try_take(&self) -> Option<Permit> {
        self.all.free.clone().try_acquire_owned().ok()
    }

    /// A place, if one becomes free within `wait`.
    pub async fn take(&self, wait: Duration) -> Option<Permit> {
        timeout(wait, self.all.free.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Asks the other engines that share these places to give up a connection at rest.
    ///
    /// Danger: an engine that heard its own call would close a connection that has come to rest for its own requests.
    pub fn want(&self) {
        for engine in self.all.engines().iter().filter_map(Weak::upgrade) {
            if !Arc::ptr_eq(&engine, &self.wanted) {
                engine.notify_one();
            }
        }
    }

    /// Waits until another engine wants a place.
    pub async fn wanted(&self) {
        self.wanted.notified().await;
    }
}

/// The bytes that bodies of requests may take together.
///
/// Danger: bodies that grow side by side until none may grow any more would wait for each other
/// for ever. Room for one whole body is kept back for a single leader, which can always finish.
pub struct ByteBudget {
    total: usize,
    state: Mutex<State>,
    freed: Notify,
}

struct State {
    free: usize,
    leader: Option<u64>,
    next: u64,
}

impl ByteBudget {
    /// A budget of `total` bytes, the leader's among them.
    pub fn new(total: usize) -> Arc<ByteBudget> {
        let free = total.saturating_sub(MAX_BODY_BYTES).max(1 << 20);
        let state = Mutex::new(State { free, leader: None, next: 0 });
        Arc::new(ByteBudget { total: free, state, freed: Notify::new() })
    }

    /// Danger: a host's panic while an account grows must not keep all others from theirs; what the
    /// lock guards is whole at each of its ends.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An account for one body, empty at first.
    pub fn reservation(self: &Arc<ByteBudget>) -> ByteReservation {
        let mut state = self.state();
        state.next += 1;
        ByteReservation { id: state.next, shared: 0, of: Some(self.clone()) }
    }

    /// How many bytes are taken, a leader's beyond the shared ones aside.
    pub fn in_use(&self) -> usize {
        self.total - self.state().free
    }
}

/// What one body has taken of the budget; given back when dropped.
#[derive(Default)]
pub struct ByteReservation {
    of: Option<Arc<ByteBudget>>,
    id: u64,
    shared: usize,
}

impl ByteReservation {
    /// Takes `n` bytes more, waiting until they are to be had. Dropped while it waits, it has taken
    /// none of them.
    pub async fn grow(&mut self, n: usize) {
        let Some(of) = &self.of else { return };
        loop {
            let freed = of.freed.notified();
            {
                let mut state = of.state();
                if state.leader == Some(self.id) {
                    return;
                }
                if state.free >= n {
                    state.free -= n;
                    self.shared += n;
                    return;
                }
                if state.leader.is_none() {
                    state.leader = Some(self.id);
                    return;
                }
            }
            freed.await;
        }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let Some(of) = &self.of else { return };
        {
            let mut state = of.state();
            state.free += self.shared;
            if state.leader == Some(self.id) {
                state.leader = None;
            }
        }
        of.freed.notify_waiters();
    }
}
