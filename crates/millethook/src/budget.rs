//! What all fleets of a process may hold together.

use std::sync::Arc;

use millethook_engine::budget::{ByteBudget, ConnectionPermits};

/// Sockets and bytes that several fleets of one process share. A clone is the same budget.
///
/// A fleet that finds no socket free has the others close connections that rest; none of them can
/// hold what the next one needs.
#[derive(Clone)]
pub struct Budget {
    pub(crate) sockets: Arc<ConnectionPermits>,
    pub(crate) bytes: Arc<ByteBudget>,
}

impl Budget {
    /// A budget of so many connections to servers, and so many bytes for bodies of requests that are
    /// under way (1 MiB and one body of 64 KiB at the least).
    pub fn new(sockets: usize, bytes: usize) -> Budget {
        Budget { sockets: ConnectionPermits::new(sockets.max(1)), bytes: ByteBudget::new(bytes) }
    }

    /// How many connections to servers there are now.
    pub fn sockets(&self) -> usize {
        self.sockets.in_use()
    }

    /// How many bytes bodies of requests take now.
    pub fn bytes(&self) -> usize {
        self.bytes.in_use()
    }

    pub(crate) fn is(&self, other: &Budget) -> bool {
        Arc::ptr_eq(&self.sockets, &other.sockets) && Arc::ptr_eq(&self.bytes, &other.bytes)
    }
}

impl std::fmt::Debug for Budget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Budget")
            .field("sockets", &self.sockets())
            .field("bytes", &self.bytes())
            .finish()
    }
}
