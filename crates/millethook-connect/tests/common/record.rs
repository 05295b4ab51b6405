//! What became of each connection, as its owner and its socket see it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_connect::pool::SocketState;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It carries a request.
    InUse,
    /// It rests since then, and may not be handed out for so long after.
    Resting { since: Instant, quarantine: Duration },
}

/// One connection.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub server: u8,
    pub state: State,
    /// What a look at its socket finds.
    pub look: SocketState,
    /// It was opened ahead of need, and no request has had it.
    pub spare: bool,
}

/// All connections that are open.
pub type Record = Rc<RefCell<BTreeMap<u32, Entry>>>;

/// A connection. Dropped, it is closed.
#[derive(Debug)]
pub struct Connection {
    pub id: u32,
    record: Record,
}

impl Connection {
    pub fn open(id: u32, entry: Entry, record: &Record) -> Connection {
        record.borrow_mut().insert(id, entry);
        Connection { id, record: record.clone() }
    }

    /// What a look at its socket finds.
    pub fn look(&self) -> SocketState {
        self.record.borrow()[&self.id].look
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.record.borrow_mut().remove(&self.id);
    }
}
