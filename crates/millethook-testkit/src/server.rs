//! Stand-in servers, and the lists that name them.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use serde_json::{Value, json};

use crate::violations::Checked;
use crate::{Conn, Message, ok};

/// What a server has seen.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// How many whole requests all servers of the test had seen with this one.
    pub nth: usize,
    /// The request.
    pub message: Message,
}

/// A server that does the same with every connection.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    _checked: Checked,
}

impl Server {
    /// Starts one that runs `script` for each connection, in a thread of its own.
    pub fn start(script: impl Fn(Conn) + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script = Arc::new(script);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let script = script.clone();
                thread::spawn(move || script(Conn::new(socket)));
            }
        });
        Server { address, _checked: Checked::default() }
    }

    /// A server whose every answer is this.
    pub fn named(name: &'static str) -> Server {
        Server::start(move |mut conn| {
            while conn.message().is_some() {
                conn.send(ok(name));
            }
        })
    }
}

/// Counts and keeps the whole requests that a test's servers see.
#[derive(Clone)]
pub struct RequestLog {
    count: Arc<AtomicUsize>,
    tell: Sender<SeenRequest>,
}

impl RequestLog {
    /// A log, and where its entries come out.
    pub fn new() -> (RequestLog, Receiver<SeenRequest>) {
        let (tell, told) = channel();
        (RequestLog { count: Arc::default(), tell }, told)
    }

    /// Reads a whole request and takes it down.
    pub fn read_request(&self, conn: &mut Conn) -> Option<SeenRequest> {
        let message = conn.message().filter(|m| m.complete)?;
        Some(self.record(message))
    }

    /// Takes down a request that was read.
    pub fn record(&self, message: Message) -> SeenRequest {
        let nth = self.count.fetch_add(1, Ordering::SeqCst) + 1;
        let seen = SeenRequest { nth, message };
        let _ = self.tell.send(seen.clone());
        seen
    }

    /// How many requests it has taken down.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// A number of servers that answer the nth request they see together as `script` says.
pub fn servers(
    n: usize,
    script: impl Fn(Conn, SeenRequest) -> Option<Conn> + Clone + Send + Sync + 'static,
) -> (Vec<Server>, RequestLog, Receiver<SeenRequest>) {
    let (log, seen) = RequestLog::new();
    let start = |_| {
        let (log, script) = (log.clone(), script.clone());
        Server::start(move |conn| {
            let mut next = Some(conn);
            while let Some(mut conn) = next.take() {
                let Some(seen) = log.read_request(&mut conn) else { return };
                next = script(conn, seen);
            }
        })
    };
    ((0..n).map(start).collect(), log, seen)
}

/// An entry of discovery's list for a server of this name.
pub fn host(name: &str, at: SocketAddr) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": "std", "block": 0,
           "health": "active", "share": 1.0, "born_ms": 0})
}

/// Entries of discovery's list for these servers, named by their position.
pub fn hosts(servers: &[Server]) -> Vec<Value> {
    servers.iter().enumerate().map(|(i, s)| host(&format!("s-{i}"), s.address)).collect()
}
