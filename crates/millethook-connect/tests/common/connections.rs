//! The open connections, as their owner and their sockets see them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_connect::pool::SocketState;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It carries a request.
    InUse,
    /// It is idle since this time, and may not be handed out during the quarantine.
    Idle { since: Instant, quarantine: Duration },
}

/// What is known of an open connection.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub server: u8,
    pub state: State,
    /// What a check of its socket finds.
    pub socket: SocketState,
    /// It was opened ahead of need, and no request has used it.
    pub spare: bool,
}

/// All open connections by their identifiers.
pub type OpenConnections = Rc<RefCell<BTreeMap<u32, Entry>>>;

/// A connection, which closes when it is dropped.
#[derive(Debug)]
pub struct Connection {
    pub id: u32,
    connections: OpenConnections,
}

impl Connection {
    pub fn open(id: u32, entry: Entry, connections: &OpenConnections) -> Connection {
        connections.borrow_mut().insert(id, entry);
        Connection { id, connections: connections.clone() }
    }

    /// What a check of its socket finds.
    pub fn socket(&self) -> SocketState {
        self.connections.borrow()[&self.id].socket
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.borrow_mut().remove(&self.id);
    }
}
