//! A daemon that breaks one rule on purpose, to test that the lab's judges detect it. For tests only.
//!
//! It forwards each request to a server of discovery's list. Its argument names the fault: `twice`, `answers`,
//! `foreign`, `loses`, `halves`, `late`, `after`, `refuses`, `drained`, `deaf` (it requests the list only once),
//! `cold`, `dies`, `headers` (it sends the header with the time left twice). With `nothing` it behaves correctly.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use std::{env, fs, thread};

use millethook_testkit::{Conn, Message, answer};
use serde_json::Value;

/// The fault is applied to one request in this many.
const FAULT_INTERVAL: usize = 5;

struct Rogue {
    fault: String,
    servers: Mutex<Vec<SocketAddr>>,
    count: AtomicUsize,
}

fn main() {
    let fault = env::args().nth(1).unwrap_or_else(|| "nothing".into());
    let config = env::var("LB_CONFIG").expect("LB_CONFIG");
    let config: Value =
        serde_json::from_str(&fs::read_to_string(config).expect("a file")).expect("JSON");
    let text = |key: &str| config[key].as_str().expect("a text").to_owned();
    let listener = TcpListener::bind(text("listen")).expect("an address of its own");
    let rogue = Rogue { fault, servers: Mutex::default(), count: AtomicUsize::new(0) };
    let rogue = Arc::new(rogue);
    let discovery = text("discovery");
    rogue.read_list(&discovery);
    let reader = rogue.clone();
    if reader.fault != "deaf" {
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                reader.read_list(&discovery);
            }
        });
    }
    if rogue.fault == "dies" {
        thread::spawn(|| {
            thread::sleep(Duration::from_millis(1500));
            std::process::exit(7);
        });
    }
    for socket in listener.incoming().flatten() {
        let rogue = rogue.clone();
        thread::spawn(move || {
            let mut client = Conn::new(socket);
            while let Some(request) = client.message() {
                if !rogue.serve(&mut client, &request) {
                    return;
                }
            }
        });
    }
}

impl Rogue {
    fn read_list(&self, discovery: &str) {
        let Ok(socket) = TcpStream::connect(discovery) else { return };
        let request_text = "GET /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n";
        let Some(list) = Conn::new(socket).request(request_text) else { return };
        let list: Value = serde_json::from_slice(&list.body).expect("a list");
        let mut hosts: Vec<(u64, SocketAddr)> = Vec::new();
        for host in list["hosts"].as_array().expect("hosts") {
            if host["health"] == "active" {
                let dial = host["dial"].as_str().and_then(|d| d.parse().ok()).expect("an address");
                hosts.push((host["born_ms"].as_u64().unwrap_or(0), dial));
            }
        }
        if self.fault == "cold" {
            // Sends all requests to the newest server.
            hosts.sort_by_key(|h| std::cmp::Reverse(h.0));
            hosts.truncate(1);
        }
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        if self.fault == "drained" && !servers.is_empty() {
            // Ignores the new list and keeps the first one.
            return;
        }
        *servers = hosts.into_iter().map(|h| h.1).collect();
    }

    fn send(&self, nth: usize, request: &Message, extra_headers: &str) -> Option<Message> {
        let server = {
            let servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
            *servers.get(nth % servers.len().max(1))?
        };
        let mut conn = Conn::new(TcpStream::connect(server).ok()?);
        let mut text = format!("{}\r\n", request.first);
        for (name, value) in &request.headers {
            text += &format!("{name}: {value}\r\n");
        }
        let mut bytes = (text + extra_headers + "\r\n").into_bytes();
        bytes.extend_from_slice(&request.body);
        conn.request(bytes)
    }

    /// Answers a request; returns false if the connection has to be closed.
    fn serve(&self, client: &mut Conn, request: &Message) -> bool {
        if request.first.contains("/health/") {
            client.send(answer("200 OK", "", ""));
            return true;
        }
        let nth = self.count.fetch_add(1, Ordering::Relaxed);
        let id = request.header("x-correlation-id").unwrap_or_default();
        // Chosen by the id, so that each attempt of a request gets the same fault.
        let affected = id.bytes().map(usize::from).sum::<usize>().is_multiple_of(FAULT_INTERVAL);
        let fault = if affected { self.fault.as_str() } else { "nothing" };
        match fault {
            "loses" => return false,
            "late" => thread::sleep(Duration::from_millis(1300)),
            _ => {}
        }
        let extra_headers = if fault == "headers" { "x-time-left-ms: 1\r\n" } else { "" };
        let first = self.send(nth, request, extra_headers);
        if fault == "twice" {
            self.send(nth + 1, request, "");
        }
        let Some(served) = first.filter(|m| m.status() == 200) else {
            client.send(answer("502 Failed", "", ""));
            return true;
        };
        let body = String::from_utf8_lossy(&served.body).into_owned();
        match fault {
            "halves" => {
                client.send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
                return false;
            }
            "foreign" => client.send(answer("200 OK", "", "another's")),
            "refuses" => client.send(answer("503 Refused", "", "")),
            "answers" => client.send(answer("200 OK", "", &body).repeat(2)),
            _ => client.send(answer("200 OK", "", &body)),
        }
        let _ = client.socket.flush();
        if fault == "after" {
            thread::sleep(Duration::from_millis(200));
            self.send(nth + 1, request, "");
        }
        true
    }
}
