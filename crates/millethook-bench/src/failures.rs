//! Measures which connection failures lose an order: the daemon, under either contract, with servers that each have
//! one fault. Orders must not run twice. Each of four clients sends them one at a time, with pauses of up to 20 ms.
//!
//! `MILLETHOOK_PROGRAM` selects another build of the daemon, such as an older one.

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

use crate::BenchError;

/// Maximum pause of a client between orders.
const MAX_PAUSE: Duration = Duration::from_millis(20);
const CLIENTS: usize = 4;
const SERVERS: usize = 3;

type StartServer = fn(&RequestCounts, u64) -> Server;

/// Resets a connection at the first byte of its nth request (0: when it is accepted).
fn resets_at_request(request_counts: &RequestCounts, nth: usize) -> Server {
    let request_counts = request_counts.clone();
    Server::start(move |mut conn| {
        for _ in 1..nth.max(1) {
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            request_counts.count_start(&path);
            conn.send(ok(&path));
            request_counts.count_answer();
        }
        if nth == 0 || conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            conn.reset();
        }
    })
}

/// Resets the connection for one in four requests, chosen at random, after the whole request has arrived and before
/// starting it.
fn resets_on_last_byte(request_counts: &RequestCounts, seed: u64) -> Server {
    let request_counts = request_counts.clone();
    let random = Arc::new(Mutex::new(Random::new(seed)));
    Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|m| m.complete) {
            let draw = random.lock().unwrap_or_else(PoisonError::into_inner).below(4);
            if draw == 0 {
                return conn.reset();
            }
            let path = path(&message.first);
            request_counts.count_start(&path);
            conn.send(ok(&path));
            request_counts.count_answer();
        }
    })
}

/// Stops responding on a connection after its third answer.
fn stops_responding(request_counts: &RequestCounts, _: u64) -> Server {
    let request_counts = request_counts.clone();
    Server::start(move |mut conn| {
        for _ in 0..3 {
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            request_counts.count_start(&path);
            conn.send(ok(&path));
            request_counts.count_answer();
        }
        conn.closed_by_peer();
    })
}

/// Sends the previous answer again when the first byte of the next request arrives.
fn repeats_answer_late(request_counts: &RequestCounts, _: u64) -> Server {
    let request_counts = request_counts.clone();
    Server::start(move |mut conn| {
        let mut last = None;
        while conn.socket.peek(&mut [0]).is_ok_and(|n| n == 1) {
            if let Some(last) = last.take() {
                conn.send(ok(last));
            }
            let Some(message) = conn.message().filter(|m| m.complete) else { return };
            let path = path(&message.first);
            request_counts.count_start(&path);
            conn.send(ok(&path));
            request_counts.count_answer();
            last = Some(&*path.leak());
        }
    })
}

const SERVER_KINDS: [(&str, StartServer); 11] = [
    ("well", |b, _| early_answering_server(b, EarlyAnswer::BytesFirst(""))),
    ("answers before the body", |b, _| early_answering_server(b, EarlyAnswer::ThenRead)),
    ("answers, closes, body unread", |b, _| early_answering_server(b, EarlyAnswer::ThenClose)),
    ("closes idle, at any moment", |b, n| closing_server(b, false, MAX_PAUSE, n)),
    ("resets new connections", |b, n| resets_at_request(b, if n == 0 { 0 } else { 1 << 30 })),
    ("resets at the first byte, new", |b, n| {
        resets_at_request(b, if n == 0 { 1 } else { 1 << 30 })
    }),
    ("resets at the first byte, used", |b, _| resets_at_request(b, 2)),
    ("resets at the last byte, 1 in 4", resets_on_last_byte),
    ("falls silent after 3 answers", stops_responding),
    ("answers twice at once", |b, _| double_answering_server(b, DoubleAnswer::AtOnce)),
    ("copy at the next first byte", repeats_answer_late),
];

#[derive(Default)]
struct OrderOutcomes {
    served: usize,
    wrong: usize,
    refused: usize,
    refused_ran: usize,
    failed: usize,
    times: Vec<Duration>,
}

/// Runs all cases and prints the table.
///
/// # Errors
/// Fails if a client's thread panics.
pub fn run(orders: usize) -> Result<(), BenchError> {
    println!("{orders} orders a line, {CLIENTS} clients, {SERVERS} servers");
    println!(
        "| servers | contract | served | refused (503) | failed | ran twice | 503 but ran | \
         another's answer | p50 ms | p99 ms |"
    );
    println!("|{}", " --- |".repeat(10));
    for (name, start) in SERVER_KINDS {
        for contract in ["head", "whole"] {
            measure_case(name, start, contract, orders)?;
        }
    }
    Ok(())
}

fn measure_case(
    name: &str,
    start: StartServer,
    contract: &str,
    orders: usize,
) -> Result<(), BenchError> {
    let request_counts = RequestCounts::default();
    let servers: Vec<Server> = (0..SERVERS as u64).map(|n| start(&request_counts, n)).collect();
    let agent = Agent::start(hosts(&servers));
    let config = config(agent.address, |c| c["begins"] = contract.into());
    let sidecar = match std::env::var_os("MILLETHOOK_PROGRAM") {
        Some(program) => Sidecar::start_program(program.as_ref(), &config),
        None => Sidecar::start(&config),
    };
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (next, request_counts, at) =
                (next.clone(), request_counts.clone(), sidecar.address);
            std::thread::spawn(move || client(at, n as u64, orders, &next, &request_counts))
        })
        .collect();
    let mut all = OrderOutcomes::default();
    for client in clients {
        let outcomes = client.join().map_err(|_| "a client's thread panicked")?;
        all.served += outcomes.served;
        all.wrong += outcomes.wrong;
        all.refused += outcomes.refused;
        all.refused_ran += outcomes.refused_ran;
        all.failed += outcomes.failed;
        all.times.extend(outcomes.times);
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
        request_counts.started_twice().len(),
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
    request_counts: &RequestCounts,
) -> OrderOutcomes {
    let mut random = Random::new(seed);
    let mut outcomes = OrderOutcomes::default();
    let mut refused = HashMap::new();
    loop {
        let n = next.fetch_add(1, Ordering::SeqCst);
        if n >= orders {
            break;
        }
        std::thread::sleep(MAX_PAUSE.mul_f64(random.uniform()));
        let path = format!("/order/{n}");
        let Ok(socket) = TcpStream::connect(at) else { continue };
        let mut conn = Conn::new(socket);
        let began = Instant::now();
        conn.send(format!(
            "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: f{seed}-{n}\r\n\
             X-Account: acme\r\nX-Time-Left-Ms: 900\r\nContent-Length: 5\r\n\r\nhello"
        ));
        let answer = conn.message();
        outcomes.times.push(began.elapsed());
        match answer.as_ref().map_or(0, |answer| answer.status()) {
            200 if answer.is_some_and(|answer| answer.body == path.as_bytes()) => {
                outcomes.served += 1
            }
            200 => outcomes.wrong += 1,
            503 => {
                outcomes.refused += 1;
                refused.insert(path, n);
            }
            _ => outcomes.failed += 1,
        }
    }
    outcomes.refused_ran = refused.keys().filter(|path| request_counts.starts_of(path) > 0).count();
    outcomes
}
