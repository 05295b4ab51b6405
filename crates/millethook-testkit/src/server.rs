//! Stand-in servers, and the discovery lists that contain them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::{Value, json};

use crate::violations::ViolationGuard;
use crate::{Conn, Message, ok};

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The position of the request among all complete requests of the test's servers, counted from
    /// 1.
    pub nth: usize,
    /// The request.
    pub message: Message,
}

/// A server that handles every connection alike.
pub struct Server {
    /// The address on which it listens.
    pub address: SocketAddr,
    _guard: ViolationGuard,
}

impl Server {
    /// Starts a server that runs `script` for each connection in a thread of its own.
    pub fn start(script: impl Fn(Conn) + Send + Sync + 'static) -> Server {
        Server::start_on(TcpListener::bind("127.0.0.1:0").unwrap(), script)
    }

    /// Like [`Server::start`], on a listener of the test.
    pub fn start_on(
        listener: TcpListener,
        script: impl Fn(Conn) + Send + Sync + 'static,
    ) -> Server {
        let address = listener.local_addr().unwrap();
        let script = Arc::new(script);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let script = script.clone();
                thread::spawn(move || script(Conn::new(socket)));
            }
        });
        Server { address, _guard: ViolationGuard::default() }
    }

    /// A server that answers every request with this body.
    pub fn named(name: &'static str) -> Server {
        Server::start(move |mut conn| {
            while conn.message().is_some() {
                conn.send(ok(name));
            }
        })
    }
}

/// Counts and records the complete requests that a test's servers receive.
#[derive(Clone)]
pub struct RequestLog {
    count: Arc<AtomicUsize>,
    entries: Sender<SeenRequest>,
}

impl RequestLog {
    /// A log, and the channel on which its entries arrive.
    pub fn new() -> (RequestLog, Receiver<SeenRequest>) {
        let (entries, receiver) = channel();
        (RequestLog { count: Arc::default(), entries }, receiver)
    }

    /// Reads a complete request and records it.
    pub fn read_request(&self, conn: &mut Conn) -> Option<SeenRequest> {
        let message = conn.message().filter(|m| m.complete)?;
        Some(self.record(message))
    }

    /// Records a request that has been read already.
    pub fn record(&self, message: Message) -> SeenRequest {
        let nth = self.count.fetch_add(1, Ordering::SeqCst) + 1;
        let seen = SeenRequest { nth, message };
        let _ = self.entries.send(seen.clone());
        seen
    }

    /// The number of recorded requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// Starts `n` servers that share a request log and handle each request with `script`.
pub fn servers(
    n: usize,
    script: impl Fn(Conn, SeenRequest) -> Option<Conn> + Clone + Send + Sync + 'static,
) -> (Vec<Server>, RequestLog, Receiver<SeenRequest>) {
    let (log, seen) = RequestLog::new();
    let start = |_| {
        let (log, script) = (log.clone(), script.clone());
        Server::start(move |conn| {
            let mut open = Some(conn);
            while let Some(mut conn) = open.take() {
                let Some(seen) = log.read_request(&mut conn) else { return };
                open = script(conn, seen);
            }
        })
    };
    ((0..n).map(start).collect(), log, seen)
}

/// An entry of a discovery list for a server with this name and address.
pub fn host(name: &str, at: SocketAddr) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": "std", "block": 0,
           "health": "active", "share": 1.0, "born_ms": 0})
}

/// Entries of a discovery list for these servers, named by position.
pub fn hosts(servers: &[Server]) -> Vec<Value> {
    servers.iter().enumerate().map(|(i, s)| host(&format!("s-{i}"), s.address)).collect()
}
