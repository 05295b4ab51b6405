//! Which failures of connections cost an order: the daemon, under either contract, before servers that
//! each do one thing wrong. Orders must not run twice, and are sent one after the other by four clients
//! that pause for up to 20 ms.
//!
//! With `MILLETHOOK_PROGRAM` another build of the daemon is measured, an older one, say.

use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use millethook_testkit::{
    Agent, Conn, DoubleAnswer, EarlyAnswer, Random, RequestCounts, Server, Sidecar, closing_server,
    config,
};
use millethook_testkit::{double_answering_server, early_answering_server, hosts, ok, path};

use crate::Fault;

/// How long a client pauses at most.
const PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 4;
const SERVERS: usize = 3;

type Start = fn(&RequestCounts, u64) -> Server;

/// Resets a connection at the first byte of its nth request (0: as it is accepted).
fn resets(begun: &RequestCounts, nth: usize) -> Server {
    let begun = begun.clone();
    Server::start(move |mut conn| {
        for _ in 1..nth.max(1) {
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            begun.count_start(&path);
            conn.send(ok(&path));
            begun.count_answer();
        }
        if nth == 0 || conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            conn.reset();
        }
    })
}

/// Resets each fourth connection when a whole request has come, before it begins with it.
fn resets_on_last_byte(begun: &RequestCounts, seed: u64) -> Server {
    let begun = begun.clone();
    let random = Arc::new(Mutex::new(Random::new(seed)));
    Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|m| m.complete) {
            let draw = random.lock().unwrap_or_else(PoisonError::into_inner).below(4);
            if draw == 0 {
                return conn.reset();
            }
            let path = path(&message.first);
            begun.count_start(&path);
            conn.send(ok(&path));
            begun.count_answer();
        }
    })
}

/// Falls silent on a connection after its third answer.
fn vanishes(begun: &RequestCounts, _: u64) -> Server {
    let begun = begun.clone();
    Server::start(move |mut conn| {
        for _ in 0..3 {
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            begun.count_start(&path);
            conn.send(ok(&path));
            begun.count_answer();
        }
        conn.closed_by_peer();
    })
}

/// Sends the last answer once more when the next request's first byte has come.
fn late_copy(begun: &RequestCounts, _: u64) -> Server {
    let begun = begun.clone();
    Server::start(move |mut conn| {
        let mut last = None;
        while conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            if let Some(last) = last.take() {
                conn.send(ok(last));
            }
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            begun.count_start(&path);
            conn.send(ok(&path));
            begun.count_answer();
            last = Some(&*path.leak());
        }
    })
}

const KINDS: [(&str, Start); 11] = [
    ("well", |b, _| early_answering_server(b, EarlyAnswer::BytesFirst(""))),
    ("answers before the body", |b, _| early_answering_server(b, EarlyAnswer::ThenRead)),
    ("answers, closes, body unread", |b, _| early_answering_server(b, EarlyAnswer::ThenClose)),
    ("closes idle, at any moment", |b, n| closing_server(b, false, PAUSE, n)),
    ("resets new connections", |b, n| resets(b, if n == 0 { 0 } else { 1 << 30 })),
    ("resets at the first byte, new", |b, n| resets(b, if n == 0 { 1 } else { 1 << 30 })),
    ("resets at the first byte, used", |b, _| resets(b, 2)),
    ("resets at the last byte, 1 in 4", resets_on_last_byte),
    ("falls silent after 3 answers", vanishes),
    ("answers twice at once", |b, _| double_answering_server(b, DoubleAnswer::AtOnce)),
    ("copy at the next first byte", late_copy),
];

#[derive(Default)]
struct Ends {
    served: usize,
    wrong: usize,
    refused: usize,
    refused_ran: usize,
    failed: usize,
    times: Vec<Duration>,
}

/// Prints the table.
///
/// # Errors
/// A client's thread panicked.
pub fn run(orders: usize) -> Result<(), Fault> {
    println!("{orders} orders a line, {CLIENTS} clients, {SERVERS} servers");
    println!(
        "| servers | contract | served | refused (503) | failed | ran twice | 503 but ran | \
         another's answer | p50 ms | p99 ms |"
    );
    println!("|{}", " --- |".repeat(10));
    for (name, start) in KINDS {
        for contract in ["head", "whole"] {
            line(name, start, contract, orders)?;
        }
    }
    Ok(())
}

fn line(name: &str, start: Start, contract: &str, orders: usize) -> Result<(), Fault> {
    let begun = RequestCounts::default();
    let servers: Vec<Server> = (0..SERVERS as u64).map(|n| start(&begun, n)).collect();
    let agent = Agent::start(hosts(&servers));
    let config = config(agent.address, |c| c["begins"] = contract.into());
    let sidecar = match std::env::var_os("MILLETHOOK_PROGRAM") {
        Some(program) => Sidecar::start_program(program.as_ref(), &config),
        None => Sidecar::start(&config),
    };
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (next, begun, at) = (next.clone(), begun.clone(), sidecar.address);
            std::thread::spawn(move || client(at, n as u64, orders, &next, &begun))
        })
        .collect();
    let mut all = Ends::default();
    for client in clients {
        let ends = client.join().map_err(|_| "a client's thread panicked")?;
        all.served += ends.served;
        all.wrong += ends.wrong;
        all.refused += ends.refused;
        all.refused_ran += ends.refused_ran;
        all.failed += ends.failed;
        all.times.extend(ends.times);
    }
    all.times.sort_unstable();
    let at = |share: f64| {
        let i = (share * (all.times.len().max(1) - 1) as f64) as usize;
        all.times.get(i).map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    println!(
        "| {name} | {contract} | {} | {} | {} | {} | {} | {} | {:.2} | {:.1} |",
        all.served,
        all.refused,
        all.failed,
        begun.started_twice().len(),
        all.refused_ran,
        all.wrong,
        at(0.5),
        at(0.99),
    );
    Ok(())
}

fn client(
    at: std::net::SocketAddr,
    seed: u64,
    orders: usize,
    next: &AtomicUsize,
    begun: &RequestCounts,
) -> Ends {
    let mut random = Random::new(seed);
    let mut ends = Ends::default();
    let mut refused = HashMap::new();
    loop {
        let n = next.fetch_add(1, Ordering::SeqCst);
        if n >= orders {
            break;
        }
        std::thread::sleep(PAUSE.mul_f64(random.uniform()));
        let path = format!("/order/{n}");
        let Ok(socket) = TcpStream::connect(at) else { continue };
        let mut conn = Conn::new(socket);
        let began = Instant::now();
        conn.send(format!(
            "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: f{seed}-{n}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: 900\r\nContent-Length: 5\r\n\r\nhello"
        ));
        let answer = conn.message();
        ends.times.push(began.elapsed());
        match answer.as_ref().map_or(0, |answer| answer.status()) {
            200 if answer.is_some_and(|answer| answer.body == path.as_bytes()) => ends.served += 1,
            200 => ends.wrong += 1,
            503 => {
                ends.refused += 1;
                refused.insert(path, n);
            }
            _ => ends.failed += 1,
        }
    }
    ends.refused_ran = refused.keys().filter(|path| begun.starts_of(path) > 0).count();
    ends
}
