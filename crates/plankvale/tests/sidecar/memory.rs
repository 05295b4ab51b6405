//! The memory limit holds while hundreds of clients dawdle, and ordinary clients are answered in time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use millethook_testkit::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};

/// The least memory that a platform's configuration names.
const MEMORY_MB: usize = 32;
/// More clients than the sidecar has descriptors for.
const CROWD: usize = 600;
/// How long each crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(4);
/// The time that ordinary requests state, and how long after it an answer is late but not lost.
const TIME_LEFT: Duration = Duration::from_millis(900);
const LATE_ANSWER: Duration = Duration::from_millis(550);

fn start(answer_bytes: usize) -> (Sidecar, Agent) {
    let body = "a".repeat(answer_bytes);
    let (list, _, _) = servers(6, move |mut conn, seen| {
        let is_long = seen.message.first.contains("/long");
        conn.send(ok(if is_long { &body } else { "fine" }));
        Some(conn)
    });
    let agent = Agent::start(hosts(&list));
    let small = config(agent.address, |c| {
        c["limits"]["memory_mb"] = json!(MEMORY_MB);
        c["limits"]["sockets"] = json!(1024);
    });
    (Sidecar::start(&small), agent)
}

/// A client of a crowd: what it still has to write, and how much at once.
struct SlowClient {
    socket: TcpStream,
    unsent: Vec<u8>,
}

impl SlowClient {
    fn connect(address: SocketAddr, request: Vec<u8>) -> SlowClient {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // Small buffers, so that what the client does not read waits at the sidecar.
        socket.set_recv_buffer_size(4 << 10).unwrap();
        socket.connect(&address.into()).unwrap();
        socket.set_nonblocking(true).unwrap();
        SlowClient { socket: socket.into(), unsent: request }
    }

    fn write(&mut self, at_most: usize) {
        let n = at_most.min(self.unsent.len());
        if let Ok(written) = self.socket.write(&self.unsent[..n]) {
            self.unsent.drain(..written);
        }
    }

    fn read(&mut self, at_most: usize) {
        let _ = self.socket.read(&mut vec![0; at_most]);
    }
}

/// What every client of a crowd does in each round of 50 ms.
#[derive(Clone, Copy)]
struct Pace {
    written: usize,
    read: usize,
}

/// Plays a crowd beside four ordinary clients, which have to be answered in time, and checks the memory.
fn play(sidecar: &Sidecar, pace: Pace, request: impl Fn() -> Vec<u8>) {
    let end = Instant::now() + CROWD_TIME;
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| ask_until(sidecar, end));
        }
        let mut crowd: Vec<_> =
            (0..CROWD).map(|_| SlowClient::connect(sidecar.address, request())).collect();
        while Instant::now() < end {
            for client in &mut crowd {
                client.write(pace.written);
                client.read(pace.read);
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    let peak = sidecar.memory_mb();
    assert!(peak < MEMORY_MB, "{peak} MB of {MEMORY_MB}");
}

/// An ordinary client: one small request after the other, on one connection while it lasts.
fn ask_until(sidecar: &Sidecar, end: Instant) {
    let mut client = sidecar.client();
    while Instant::now() < end {
        let asked = Instant::now();
        client.send(unsafe_with("small"));
        let answer = client.message();
        let took = asked.elapsed();
        assert!(took < TIME_LEFT + LATE_ANSWER, "{:?} after {took:?}", answer.map(|a| a.first));
        if answer.is_none_or(|answer| answer.header("connection") == Some("close")) {
            client = sidecar.client();
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn large_request(length: usize, sent: usize) -> Vec<u8> {
    let mut request = format!(
        "POST /order HTTP/1.1\r\nHost: app.svc\r\n{}Content-Length: {length}\r\n\r\n",
        common_headers()
    )
    .into_bytes();
    request.resize(request.len() + sent, b'x');
    request
}

#[test]
fn clients_that_stop_within_their_bodies_stay_within_the_memory_limit() {
    let (sidecar, _agent) = start(10);
    let pace = Pace { written: 64_000, read: 0 };
    play(&sidecar, pace, || large_request(64_000, 40_000));
}

#[test]
fn clients_that_write_slowly_stay_within_the_memory_limit() {
    let (sidecar, _agent) = start(10);
    let pace = Pace { written: 1_000, read: 0 };
    play(&sidecar, pace, || large_request(64_000, 64_000));
}

#[test]
fn clients_that_stop_within_streamed_bodies_stay_within_the_memory_limit() {
    let (sidecar, _agent) = start(10);
    let pace = Pace { written: 64_000, read: 0 };
    play(&sidecar, pace, || large_request(400_000, 150_000));
}

#[test]
fn heads_of_many_short_fields_stay_within_the_memory_limit() {
    let (sidecar, _agent) = start(10);
    let pace = Pace { written: 1_500, read: 0 };
    play(&sidecar, pace, || {
        let fields: String = (0..4000).map(|n| format!("a{n}: b\r\n")).collect();
        format!("GET /look HTTP/1.1\r\nHost: app.svc\r\n{}{fields}", common_headers()).into()
    });
}

#[test]
fn answers_that_are_read_slowly_stay_within_the_memory_limit() {
    for answer_bytes in [60_000, 1_000_000] {
        let (sidecar, _agent) = start(answer_bytes);
        let pace = Pace { written: 64_000, read: 200 };
        play(&sidecar, pace, || safe().replace("/look", "/look/long").into());
    }
}

#[test]
fn a_crowd_that_comes_back_after_a_restart_stays_within_the_memory_limit() {
    let (sidecar, agent) = start(10);
    drop(sidecar);
    let small = config(agent.address, |c| c["limits"]["memory_mb"] = json!(MEMORY_MB));
    let sidecar = Sidecar::launch(&small);
    let pace = Pace { written: 64_000, read: 0 };
    play(&sidecar, pace, || large_request(64_000, 40_000));
}
