//! A group of stand-in servers that share one fault plan and record the requests they receive.

use std::sync::{Arc, Mutex, PoisonError};

use serde_json::Value;

use crate::fault::{AcceptFault, Fault, apply};
use crate::random::Random;
use crate::{Message, Server, hosts};

/// A request that a server of a group received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The index of the server.
    pub server: usize,
    /// The position of the request among all requests of the group, counted from 1.
    pub nth: usize,
    /// The method and target.
    pub line: String,
    /// The correlation id.
    pub id: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The whole message.
    pub message: Message,
}

/// Servers that follow a fault plan, and the requests they received, in order.
pub struct ServerGroup {
    /// The servers, by index.
    pub servers: Vec<Server>,
    received: Arc<Mutex<Vec<Attempt>>>,
}

impl ServerGroup {
    /// Starts `n` servers. `plan` decides what happens to each complete request.
    pub fn new(n: usize, plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static) -> ServerGroup {
        ServerGroup::with_accept_faults(n, |_, _| AcceptFault::None, plan)
    }

    /// Like [`ServerGroup::new`], where `accept_fault` decides from the server and the number of its
    /// connection, counted from 1, what happens before a request is complete.
    pub fn with_accept_faults(
        n: usize,
        accept_fault: impl Fn(usize, usize) -> AcceptFault + Send + Sync + 'static,
        plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static,
    ) -> ServerGroup {
        let received = Arc::new(Mutex::new(Vec::new()));
        let (plan, accept_fault) = (Arc::new(plan), Arc::new(accept_fault));
        let start = |server: usize| {
            let (received, plan, accept_fault) =
                (received.clone(), plan.clone(), accept_fault.clone());
            let connections = Arc::new(Mutex::new(0));
            Server::start(move |mut conn| {
                let nth = {
                    let mut count = connections.lock().unwrap_or_else(PoisonError::into_inner);
                    *count += 1;
                    *count
                };
                match accept_fault(server, nth) {
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
                let mut open = Some(conn);
                while let Some(mut conn) = open.take() {
                    let Some(message) = conn.message().filter(|m| m.complete) else { return };
                    let attempt = record(&received, server, message);
                    open = apply(conn, plan(&attempt), &mut random);
                }
            })
        };
        ServerGroup { servers: (0..n).map(start).collect(), received }
    }

    /// Entries of a discovery list for these servers.
    pub fn hosts(&self) -> Vec<Value> {
        hosts(&self.servers)
    }

    /// All complete requests so far, in the order of arrival.
    pub fn seen(&self) -> Vec<Attempt> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The number of complete requests so far.
    pub fn count(&self) -> usize {
        self.received.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

fn record(received: &Mutex<Vec<Attempt>>, server: usize, message: Message) -> Attempt {
    let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
    let attempt = Attempt {
        server,
        nth: received.len() + 1,
        line: message.first.trim_end_matches(" HTTP/1.1").to_owned(),
        id: message.header("x-correlation-id").unwrap_or_default().to_owned(),
        key: message.header("idempotency-key").map(str::to_owned),
        message,
    };
    received.push(attempt.clone());
    attempt
}
