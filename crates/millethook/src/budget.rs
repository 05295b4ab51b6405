//! Limits that several fleets of a process share.

use std::sync::Arc;

use millethook_engine::budget::{ByteBudget, ConnectionPermits};

/// Sockets and bytes that several fleets of one process share. A clone is the same budget.
///
/// A fleet that finds no free socket makes the others close idle connections, so that idle connections
/// of one fleet cannot block another one.
#[derive(Clone)]
pub struct Budget {
    pub(crate) sockets: Arc<ConnectionPermits>,
    pub(crate) bytes: Arc<ByteBudget>,
}

impl Budget {
    /// A budget of `sockets` connections to servers and `bytes` bytes for bodies of open requests (at
    /// least 1 MiB plus one body of 64 KiB).
    pub fn new(sockets: usize, bytes: usize) -> Budget {
        Budget { sockets: ConnectionPermits::new(sockets.max(1)), bytes: ByteBudget::new(bytes) }
    }

    /// Current number of connections to servers.
    pub fn sockets(&self) -> usize {
        self.sockets.in_use()
    }

    /// Current number of bytes in request bodies.
    pub fn bytes(&self) -> usize {
        self.bytes.in_use()
    }

    /// Whether both are clones of the same budget.
    pub(crate) fn is_same(&self, other: &Budget) -> bool {
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
