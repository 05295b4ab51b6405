//! Resource limits of a process: sockets for clients and servers, and bytes of request bodies.
//!
//! Several engines of one process may share a budget and use all of it from any thread.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// The longest request body that the protocol allows.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Descriptors that belong neither to clients nor to servers: the listener, the event queue, discovery, peers,
/// standard streams, and sockets that are still being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Of these, the number for client connections that are closing.
const CLOSING_CLIENTS: usize = 16;
/// More connections than this need more memory than they are worth.
const MAX_CONNECTIONS: usize = 4096;

/// The socket budget, by purpose.
pub struct Sockets {
    /// Connections of clients.
    pub clients: Arc<Semaphore>,
    /// The total number of `clients` permits.
    pub client_permits: usize,
    /// Client connections that are closing; they no longer count as `clients`.
    pub closing: Arc<Semaphore>,
    /// Connections to servers.
    pub servers: EnginePermits,
}

/// Permission to hold a socket, released when dropped.
pub type Permit = OwnedSemaphorePermit;

impl Sockets {
    /// Divides `limit` descriptors. At most a third are needed for clients with open requests, and some clients stay
    /// idle. A client has one open request, but its retry or hedge may need a second socket before the first one is
    /// released. So servers get as many as clients and a few more.
    pub fn new(limit: usize) -> Sockets {
        Sockets::with_max_clients(limit, MAX_CONNECTIONS)
    }

    /// Number of client connections for which there are descriptors, if `limit` are allowed.
    pub fn client_share(limit: usize) -> usize {
        let available = limit.saturating_sub(RESERVED_DESCRIPTORS);
        (available * 4 / 9).clamp(4, MAX_CONNECTIONS)
    }

    /// Like [`Sockets::new`], with at most `max_clients` connections of clients.
    pub fn with_max_clients(limit: usize, max_clients: usize) -> Sockets {
        let available = limit.saturating_sub(RESERVED_DESCRIPTORS);
        let share = Sockets::client_share(limit);
        let servers = (available - share.min(available)).clamp(4, MAX_CONNECTIONS);
        let clients = share.min(max_clients);
        Sockets {
            clients: Arc::new(Semaphore::new(clients)),
            client_permits: clients,
            closing: Arc::new(Semaphore::new(CLOSING_CLIENTS)),
            servers: EnginePermits::new(ConnectionPermits::new(servers)),
        }
    }

    /// For engines whose clients need no sockets: all permits are for servers.
    pub fn for_servers(servers: Arc<ConnectionPermits>) -> Sockets {
        let no_permits = || Arc::new(Semaphore::new(0));
        let servers = EnginePermits::new(servers);
        Sockets { clients: no_permits(), client_permits: 0, closing: no_permits(), servers }
    }
}

/// Permits for connections to servers, shared by one or more engines.
pub struct ConnectionPermits {
    free: Arc<Semaphore>,
    total: usize,
    /// The [`EnginePermits::release_request`] of each engine.
    engines: Mutex<Vec<Weak<Notify>>>,
}

impl ConnectionPermits {
    /// Creates `total` permits.
    pub fn new(total: usize) -> Arc<ConnectionPermits> {
        let free = Arc::new(Semaphore::new(total));
        Arc::new(ConnectionPermits { free, total, engines: Mutex::default() })
    }

    /// Number of permits in use.
    pub fn in_use(&self) -> usize {
        self.total - self.free.available_permits()
    }

    fn engines(&self) -> MutexGuard<'_, Vec<Weak<Notify>>> {
        self.engines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The permits for connections to servers, as one engine uses them.
pub struct EnginePermits {
    shared: Arc<ConnectionPermits>,
    /// Notified when another engine finds no free permit and has no idle connection of its own to close.
    release_request: Arc<Notify>,
}

impl EnginePermits {
    /// Registers one more engine that shares these permits.
    pub fn new(shared: Arc<ConnectionPermits>) -> EnginePermits {
        let release_request = Arc::new(Notify::new());
        let mut engines = shared.engines();
        engines.retain(|engine| engine.strong_count() > 0);
        engines.push(Arc::downgrade(&release_request));
        drop(engines);
        EnginePermits { shared, release_request }
    }

    /// Acquires a permit if one is free.
    pub fn try_acquire(&self) -> Option<Permit> {
        self.shared.free.clone().try_acquire_owned().ok()
    }

    /// Acquires a permit if one becomes free within `wait`.
    pub async fn acquire(&self, wait: Duration) -> Option<Permit> {
        timeout(wait, self.shared.free.clone().acquire_owned()).await.ok()?.ok()
    }

    /// Asks the other engines that share these permits to close an idle connection.
    ///
    /// An engine that received its own request would close a connection that has just become idle and that its own
    /// requests need.
    pub fn request_release(&self) {
        for engine in self.shared.engines().iter().filter_map(Weak::upgrade) {
            if !Arc::ptr_eq(&engine, &self.release_request) {
                engine.notify_one();
            }
        }
    }

    /// Waits until another engine asks for a permit.
    pub async fn release_requested(&self) {
        self.release_request.notified().await;
    }
}

/// The total bytes that request bodies may take.
///
/// Bodies that grow side by side until none may grow further would wait for each other forever. So room for one whole
/// body is reserved for a single leader, which can always finish.
pub struct ByteBudget {
    total: usize,
    state: Mutex<BudgetState>,
    freed: Notify,
}

struct BudgetState {
    free_bytes: usize,
    leader: Option<u64>,
    next_id: u64,
}

impl ByteBudget {
    /// Creates a budget of `total` bytes, including the leader's reserve.
    pub fn new(total: usize) -> Arc<ByteBudget> {
        let free = total.saturating_sub(MAX_BODY_BYTES).max(1 << 20);
        let state = Mutex::new(BudgetState { free_bytes: free, leader: None, next_id: 0 });
        Arc::new(ByteBudget { total: free, state, freed: Notify::new() })
    }

    /// Ignores poisoning: a panic while a reservation grows must not block all others. The state is consistent
    /// whenever the lock is released.
    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates an empty reservation for one body.
    pub fn reservation(self: &Arc<ByteBudget>) -> ByteReservation {
        let mut state = self.state();
        state.next_id += 1;
        ByteReservation { id: state.next_id, shared_bytes: 0, budget: Some(self.clone()) }
    }

    /// Number of bytes in use, without those that the leader takes from its reserve.
    pub fn in_use(&self) -> usize {
        self.total - self.state().free_bytes
    }
}

/// The part of the budget that one body takes; released when dropped.
#[derive(Default)]
pub struct ByteReservation {
    budget: Option<Arc<ByteBudget>>,
    id: u64,
    shared_bytes: usize,
}

impl ByteReservation {
    /// Takes more bytes, waiting until they are available. If the future is dropped while it waits, none of them are
    /// taken.
    pub async fn grow(&mut self, bytes: usize) {
        let Some(budget) = &self.budget else { return };
        loop {
            let freed = budget.freed.notified();
            {
                let mut state = budget.state();
                if state.leader == Some(self.id) {
                    return;
                }
                if state.free_bytes >= bytes {
                    state.free_bytes -= bytes;
                    self.shared_bytes += bytes;
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

impl ByteReservation {
    /// Takes more bytes if they are available now. Returns whether they are taken.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let Some(budget) = &self.budget else { return true };
        let mut state = budget.state();
        if state.free_bytes < bytes {
            return false;
        }
        state.free_bytes -= bytes;
        self.shared_bytes += bytes;
        true
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let Some(budget) = &self.budget else { return };
        {
            let mut state = budget.state();
            state.free_bytes += self.shared_bytes;
            if state.leader == Some(self.id) {
                state.leader = None;
            }
        }
        budget.freed.notify_waiters();
    }
}
