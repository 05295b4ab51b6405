//! A stand-in for discovery.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::violations::Checked;
use crate::{Conn, ok};

/// A discovery agent that holds watches until there is news.
#[derive(Clone)]
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Value>)>>,
    calls: Arc<AtomicUsize>,
    open: Arc<AtomicUsize>,
    _checked: Checked,
}

impl Agent {
    /// Starts one that lists these hosts.
    pub fn start(hosts: Vec<Value>) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent {
            address: listener.local_addr().unwrap(),
            list: Arc::new(Mutex::new((1, hosts))),
            calls: Arc::default(),
            open: Arc::default(),
            _checked: Checked::default(),
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

    /// How many calls it has had.
    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// How many connections to it are open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Lists these hosts from now on, under the next version.
    pub fn set_hosts(&self, hosts: Vec<Value>) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, hosts);
    }

    /// Starts anew, and counts from the beginning: versions it has told of mean nothing to it.
    pub fn restart_versions(&self, hosts: Vec<Value>) {
        *self.list.lock().unwrap() = (1, hosts);
    }

    fn serve(&self, mut conn: Conn) {
        while let Some(call) = conn.head() {
            self.calls.fetch_add(1, Ordering::SeqCst);
            let figure = |key: &str| -> Option<u64> {
                let at = call.first.find(key)? + key.len();
                let digits = call.first[at..].chars().take_while(char::is_ascii_digit);
                digits.collect::<String>().parse().ok()
            };
            let (from, hold) = (figure("from="), figure("hold_ms=").unwrap_or(0));
            let end = Instant::now() + Duration::from_millis(hold);
            let body = loop {
                let (seq, hosts) = self.list.lock().unwrap().clone();
                if from.is_none_or(|from| from < seq) {
                    break full_list(seq, &hosts);
                }
                if Instant::now() >= end {
                    break json!({"seq": seq, "whole": false, "hosts": []}).to_string();
                }
                thread::sleep(Duration::from_millis(5));
            };
            conn.send(ok(&body));
        }
    }
}

/// A complete list of this version, in discovery's form.
pub fn full_list(seq: u64, hosts: &[Value]) -> String {
    json!({"seq": seq, "whole": true, "hosts": hosts}).to_string()
}
