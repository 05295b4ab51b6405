//! Several stand-in servers that follow one plan of faults, and the requests that they saw.

use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

use crate::fault::{AcceptFault, Fault, act};
use crate::random::Random;
use crate::{Message, Server, hosts};

/// A request as a server of a stage saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server's number.
    pub server: usize,
    /// How many the stage had seen with this one.
    pub nth: usize,
    /// Method and target.
    pub line: String,
    /// The request's id.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// The whole message.
    pub message: Message,
}

/// Servers that play by a plan, and what they saw, in order.
pub struct ServerGroup {
    /// The servers, by number.
    pub servers: Vec<Server>,
    seen: Arc<Mutex<Vec<Attempt>>>,
}

impl ServerGroup {
    /// So many servers whose `plan` tells for each whole request what becomes of it.
    pub fn new(n: usize, plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static) -> ServerGroup {
        ServerGroup::with_accept_faults(n, |_, _| AcceptFault::None, plan)
    }

    /// `door` tells for each server and the number of its connection, counted from 1, what becomes
    /// of that before a request has come whole.
    pub fn with_accept_faults(
        n: usize,
        door: impl Fn(usize, usize) -> AcceptFault + Send + Sync + 'static,
        plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static,
    ) -> ServerGroup {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let (plan, door) = (Arc::new(plan), Arc::new(door));
        let start = |server: usize| {
            let (seen, plan, door) = (seen.clone(), plan.clone(), door.clone());
            let connections = Arc::new(Mutex::new(0));
            Server::start(move |mut conn| {
                let nth = {
                    let mut count = connections.lock().unwrap_or_else(PoisonError::into_inner);
                    *count += 1;
                    *count
                };
                match door(server, nth) {
                    AcceptFault::None => {}
                    AcceptFault::ResetAtOnce => return conn.reset(),
                    AcceptFault::ResetAtFirstByte => {
                        let _ = conn.socket.peek(&mut [0]);
                        return conn.reset();
                    }
                    AcceptFault::ResetAfterHead => {
                        let _ = conn.head();
                        return conn.reset();
                    }
                }
                let mut random = Random::new((server * 1000 + nth) as u64);
                let mut next = Some(conn);
                while let Some(mut conn) = next.take() {
                    let Some(message) = conn.message().filter(|m| m.complete) else { return };
                    let attempt = take(&seen, server, message);
                    next = act(conn, plan(&attempt), &mut random);
                }
            })
        };
        ServerGroup { servers: (0..n).map(start).collect(), seen }
    }

    /// What discovery is to say of them.
    pub fn hosts(&self) -> Vec<Value> {
        hosts(&self.servers)
    }

    /// All whole requests so far, in the order in which they came.
    pub fn seen(&self) -> Vec<Attempt> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// How many there were.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

fn take(seen: &Mutex<Vec<Attempt>>, server: usize, message: Message) -> Attempt {
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let attempt = Attempt {
        server,
        nth: seen.len() + 1,
        line: message.first.trim_end_matches(" HTTP/1.1").to_owned(),
        id: message.header("x-correlation-id").unwrap_or_default().to_owned(),
        key: message.header("idempotency-key").map(str::to_owned),
        message,
    };
    seen.push(attempt.clone());
    attempt
}
