//! A stand-in discovery service.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::violations::ViolationGuard;
use crate::{Conn, ok};

/// A discovery agent with long polling: it holds a request until its list changes.
#[derive(Clone)]
pub struct Agent {
    /// The address on which it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
    requests: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    _guard: ViolationGuard,
}

impl Agent {
    /// Starts an agent that lists these hosts.
    pub fn start(hosts: Vec<Value>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            list: Arc::new(Mutex::new((1, hosts))),
            requests: Arc::default(),
            open: Arc::default(),
            _guard: ViolationGuard::default(),
        };
        let serving = agent.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = serving.clone();
                agent.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    agent.serve(Conn::new(socket));
                    agent.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        agent
    }

    /// The number of requests received so far.
    pub fn calls(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Replaces the list and increments its version.
    pub fn set_hosts(&self, hosts: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, hosts);
    }

    /// Replaces the list and restarts versions at 1, as an agent that has lost its state does.
    pub fn restart_versions(&self, hosts: Vec<Value>) {
        *self.list.lock().unwrap() = (1, hosts);
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(request) = conn.head() {
            self.requests.fetch_add(1, Ordering::SeqCst);
            let parameter = |key: &str| -> Option<u64> {
                let at = request.first.find(key)? + key.len();
                let digits = request.first[at..].chars().take_while(char::is_ascii_digit);
                digits.collect::<String>().parse().ok()
            };
            let (from, hold_ms) = (parameter("from="), parameter("hold_ms=").unwrap_or(0));
            let deadline = Instant::now() + Duration::from_millis(hold_ms);
            let body = loop {
                let (seq, hosts) = self.list.lock().unwrap().clone();
                if from.is_none_or(|from| from < seq) {
                    break full_list(seq, &hosts);
                }
                if Instant::now() >= deadline {
                    break json!({"seq": seq, "whole": false, "hosts": []}).to_string();
                }
                thread::sleep(Duration::from_millis(5));
            };
            conn.send(ok(&body));
        }
    }
}

/// A complete list of this version in the format of discovery.
pub fn full_list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}
