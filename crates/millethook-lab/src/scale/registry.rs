//! A stand-in for discovery that holds lists of any length and counts its requests and bytes.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout_at};

use crate::timeline::Timeline;
use crate::world::http::{HttpConnection, answer};

/// Number of changes that are kept. A request for older changes gets the whole list.
const MAX_KEPT_CHANGES: usize = 20_000;

/// A listed server.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer {
    /// Its number, which determines its name.
    pub number: usize,
    /// The address it listens on.
    pub dial: SocketAddr,
    /// Its zone.
    pub zone: usize,
}

/// Requests to discovery and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Requests.
    pub calls: u64,
    /// Bytes of HTTP in both directions.
    pub bytes: u64,
}

#[derive(Default)]
struct Counters {
    calls: AtomicU64,
    bytes: AtomicU64,
}

struct State {
    version: u64,
    /// The cached body of an answer with the whole list, if it has been requested since the last change.
    whole: Option<Arc<str>>,
    listed: Vec<ListedServer>,
    /// Changed entries with the version of their change, in order.
    changes: VecDeque<(u64, Value)>,
}

/// The stand-in for discovery, which stops when this value is dropped.
pub struct Registry {
    /// The address it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: AbortHandle,
}

struct Shared {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    /// The version that the last requester already had.
    requested_from: watch::Sender<u64>,
    counters: Counters,
    address: SocketAddr,
}

impl Registry {
    /// Starts a registry that lists these servers.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(at: SocketAddr, listed: Vec<ListedServer>) -> io::Result<Registry> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let state = State { version: 1, whole: None, listed, changes: VecDeque::default() };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            version: watch::Sender::new(1),
            requested_from: watch::Sender::new(0),
            counters: Counters::default(),
            address,
        });
        let task = tokio::spawn(shared.clone().accept(listener)).abort_handle();
        Ok(Registry { address, shared, task })
    }

    /// Requests and bytes so far.
    pub fn traffic(&self) -> Traffic {
        let counters = &self.shared.counters;
        Traffic {
            calls: counters.calls.load(Ordering::Relaxed),
            bytes: counters.bytes.load(Ordering::Relaxed),
        }
    }

    /// Adds servers to the list in one change. Returns the new version.
    pub fn join(&self, servers: &[ListedServer]) -> u64 {
        self.change(servers, "active")
    }

    /// Removes servers from the list in one change. Returns the new version.
    pub fn leave(&self, servers: &[ListedServer]) -> u64 {
        self.change(servers, "left")
    }

    /// Waits until a requester has this version.
    pub async fn wait_until_received(&self, version: u64) {
        let mut requested_from = self.shared.requested_from.subscribe();
        // This cannot fail, since the sender lives as long as this value.
        let _ = requested_from.wait_for(|from| *from >= version).await;
    }

    fn change(&self, servers: &[ListedServer], health: &str) -> u64 {
        let mut state = self.shared.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.version += 1;
        let version = state.version;
        let gone: std::collections::HashSet<usize> = servers.iter().map(|s| s.number).collect();
        state.listed.retain(|server| !gone.contains(&server.number));
        if health == "active" {
            state.listed.extend_from_slice(servers);
        }
        for server in servers {
            state.changes.push_back((version, host(server, health)));
        }
        while state.changes.len() > MAX_KEPT_CHANGES {
            state.changes.pop_front();
        }
        state.whole = None;
        drop(state);
        self.shared.version.send_replace(version);
        version
    }
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl State {
    fn whole(&mut self) -> Arc<str> {
        let (version, listed) = (self.version, &self.listed);
        let whole = self.whole.get_or_insert_with(|| {
            let hosts: Vec<Value> = listed.iter().map(|s| host(s, "active")).collect();
            json!({"seq": version, "whole": true, "hosts": hosts}).to_string().into()
        });
        whole.clone()
    }

    /// The answer for a requester that has version `from`, or no list yet.
    fn body(&mut self, from: Option<u64>) -> Arc<str> {
        let oldest = self.changes.front().map_or(self.version + 1, |change| change.0);
        match from {
            Some(from) if from == self.version || from + 1 >= oldest => {
                let newer = self.changes.iter().filter(|change| change.0 > from);
                let hosts: Vec<&Value> = newer.map(|change| &change.1).collect();
                json!({"seq": self.version, "whole": false, "hosts": hosts}).to_string().into()
            }
            _ => self.whole(),
        }
    }
}

impl Shared {
    async fn accept(self: Arc<Shared>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let shared = self.clone();
            tokio::spawn(async move {
                // An error means that the requester closed its connection.
                let _ = shared.serve_connection(HttpConnection::new(stream)).await;
            });
        }
    }

    async fn serve_connection(&self, mut wire: HttpConnection) -> io::Result<()> {
        while let Some(message) = wire.request().await? {
            let from = number(&message.target, "from=");
            let hold_ms = number(&message.target, "hold_ms=").unwrap_or(0).min(60_000);
            self.counters.calls.fetch_add(1, Ordering::Relaxed);
            if let Some(from) = from {
                self.requested_from.send_replace(from);
            }
            let body = tokio::select! {
                body = self.body(from, Duration::from_millis(hold_ms)) => body,
                () = wire.wait_closed() => return Ok(()),
            };
            let reply = answer("200 OK", "", &body);
            // The request head as the daemon's HTTP library writes it.
            let head = format!("GET {} HTTP/1.1\r\nhost: {}\r\n\r\n", message.target, self.address);
            let bytes = (head.len() + reply.len()) as u64;
            self.counters.bytes.fetch_add(bytes, Ordering::Relaxed);
            wire.send(reply.as_bytes()).await?;
        }
        Ok(())
    }

    /// Returns the answer as soon as the list changes, or when the hold time ends.
    async fn body(&self, from: Option<u64>, hold: Duration) -> Arc<str> {
        let end = Instant::now() + hold;
        if let Some(from) = from {
            let mut versions = self.version.subscribe();
            // A timeout means that nothing changed, which is a valid answer.
            let _ = timeout_at(end, versions.wait_for(|version| *version != from)).await;
        }
        self.state.lock().unwrap_or_else(PoisonError::into_inner).body(from)
    }
}

fn number(target: &str, key: &str) -> Option<u64> {
    let rest = &target[target.find(key)? + key.len()..];
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn host(server: &ListedServer, health: &str) -> Value {
    json!({
        "host": format!("service-server-{:05}", server.number), "dial": server.dial.to_string(),
        "site": Timeline::zone_name(server.zone), "class": "std", "block": 0,
        "health": health, "share": 1.0, "born_ms": 0,
    })
}
