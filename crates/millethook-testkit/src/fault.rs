//! Faults that a stand-in server can be told to have, and the stage on which several play.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::random::Random;
use crate::{Conn, Message, Server, answer, hosts, ok};

/// What a server does with a request that has come whole.
#[derive(Clone, Debug)]
pub enum Fault {
    /// None: it answers 200 with this body.
    Serve(String),
    /// It answers so after a while.
    Late(Delay, String),
    /// 503 with `X-Unprocessed: 1`: turned away unseen.
    TurnAway,
    /// 500.
    Error,
    /// 503 that says nothing of whether it ran.
    Unclear,
    /// The connection is reset after the request's last byte.
    Reset,
    /// Nothing is ever answered, and the connection stays open until the other side ends it.
    Stall,
    /// The answer comes in pieces of so many bytes, with a pause after each.
    Trickle(String, usize, Duration),
    /// Noise in place of an answer, and the connection stays open.
    Garble,
    /// An answer that announces more than it brings, and an end.
    Short,
    /// An answer that announces more than it brings, and silence.
    Stop,
    /// These bytes as they are, and the connection goes on.
    Raw(Vec<u8>),
    /// These bytes as they are, and an end.
    Cut(Vec<u8>),
}

/// What a server does with a connection before a request has come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
    /// It reads.
    Open,
    /// It resets as soon as it has accepted.
    ResetAtOnce,
    /// It resets at the first byte: the last one is never read.
    ResetAtFirstByte,
    /// It resets when the head has come, before the last byte of a body.
    ResetAfterHead,
}

/// How long an answer takes.
#[derive(Clone, Copy, Debug)]
pub enum Delay {
    /// Always as long.
    Fixed(Duration),
    /// Evenly spread from the first to the second.
    Uniform(Duration, Duration),
    /// Spread as service times often are, with this mean; ten times as long at most.
    Exponential(Duration),
}

impl Delay {
    /// One draw.
    pub fn draw(&self, random: &mut Random) -> Duration {
        match *self {
            Delay::Fixed(t) => t,
            Delay::Uniform(from, to) => from + to.saturating_sub(from).mul_f64(random.uniform()),
            Delay::Exponential(mean) => {
                mean.mul_f64((-(1.0 - random.uniform()).ln()).clamp(0.0, 10.0))
            }
        }
    }
}

/// A request as a server of a stage saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The server's number.
    pub server: usize,
    /// How many the stage had seen with this one.
    pub nth: usize,
    /// Method and target.
    pub line: String,
    pub id: String,
    pub key: Option<String>,
    /// The whole message.
    pub message: Message,
}

/// Servers that play by a plan, and what they saw, in order.
pub struct Stage {
    pub servers: Vec<Server>,
    seen: Arc<Mutex<Vec<Attempt>>>,
}

impl Stage {
    /// So many servers whose `plan` tells for each whole request what becomes of it.
    pub fn new(n: usize, plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static) -> Stage {
        Stage::with_doors(n, |_, _| Door::Open, plan)
    }

    /// `door` tells for each server and the number of its connection, counted from 1, what becomes
    /// of that before a request has come whole.
    pub fn with_doors(
        n: usize,
        door: impl Fn(usize, usize) -> Door + Send + Sync + 'static,
        plan: impl Fn(&Attempt) -> Fault + Send + Sync + 'static,
    ) -> Stage {
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
                    Door::Open => {}
                    Door::ResetAtOnce => return conn.reset(),
                    Door::ResetAtFirstByte => {
                        let _ = conn.socket.peek(&mut [0]);
                        return conn.reset();
                    }
                    Door::ResetAfterHead => {
                        let _ = conn.head();
                        return conn.reset();
                    }
                }
                let mut random = Random::new((server * 1000 + nth) as u64);
                let mut next = Some(conn);
                while let Some(mut conn) = next.take() {
                    let Some(message) = conn.message().filter(|m| m.whole) else { return };
                    let attempt = take(&seen, server, message);
                    next = act(conn, plan(&attempt), &mut random);
                }
            })
        };
        Stage { servers: (0..n).map(start).collect(), seen }
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

/// Carries a fault out; None if the connection is done with.
fn act(mut conn: Conn, fault: Fault, random: &mut Random) -> Option<Conn> {
    match fault {
        Fault::Serve(body) => conn.send(ok(&body)),
        Fault::Late(delay, body) => {
            std::thread::sleep(delay.draw(random));
            conn.send(ok(&body));
        }
        Fault::TurnAway => conn.send(answer("503 Full", "X-Unprocessed: 1\r\n", "")),
        Fault::Error => conn.send(answer("500 Oops", "", "bad")),
        Fault::Unclear => conn.send(answer("503 Busy", "", "busy")),
        Fault::Reset => {
            conn.reset();
            return None;
        }
        Fault::Stall => {
            conn.ended();
            return None;
        }
        Fault::Trickle(body, piece, pause) => {
            for part in ok(&body).as_bytes().chunks(piece.max(1)) {
                conn.send(part);
                std::thread::sleep(pause);
            }
        }
        Fault::Garble => {
            conn.send("\x16\x03\x01 no such protocol\r\n\r\n");
            conn.ended();
            return None;
        }
        Fault::Short => {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 30\r\nConnection: close\r\n\r\nshort");
            return None;
        }
        Fault::Stop => {
            conn.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nsome");
            conn.ended();
            return None;
        }
        Fault::Raw(bytes) => conn.send(bytes),
        Fault::Cut(bytes) => {
            conn.send(bytes);
            return None;
        }
    }
    Some(conn)
}

/// An address at which connections are refused, for as long as the process lives. Danger: a port that is free
/// again is soon another test's, whose server would then see what was sent here.
pub fn refusing() -> SocketAddr {
    static BOUND: Mutex<Vec<socket2::Socket>> = Mutex::new(Vec::new());
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().ok().and_then(|at| at.as_socket());
    BOUND.lock().unwrap_or_else(PoisonError::into_inner).push(socket);
    address.expect("a bound address")
}

/// An address at which connections never come up: its queue is full, and nobody accepts.
pub struct Silent {
    pub address: SocketAddr,
    listener: socket2::Socket,
    queued: Vec<socket2::Socket>,
}

impl Silent {
    pub fn start() -> Silent {
        let socket = || {
            let (domain, kind) = (socket2::Domain::IPV4, socket2::Type::STREAM);
            socket2::Socket::new(domain, kind, None).expect("a socket")
        };
        let listener = socket();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        listener.bind(&any.into()).expect("a free port");
        listener.listen(0).expect("a queue");
        let address = listener.local_addr().ok().and_then(|a| a.as_socket());
        let address = address.expect("a bound address");
        let queued = (0..4).map(|_| {
            let client = socket();
            client.set_nonblocking(true).expect("a socket's flag");
            // Those that find no place in the queue go on trying.
            let _ = client.connect(&address.into());
            client
        });
        Silent { address, queued: queued.collect(), listener }
    }

    /// Accepts from now on: each connection that is not of the queue here gets `script`. One that was refused room
    /// comes up once its system tries again, a second or three after its first try.
    pub fn open(self, script: impl Fn(Conn) + Send + Sync + 'static) {
        let listener: std::net::TcpListener = self.listener.into();
        let script = Arc::new(script);
        let own: Vec<Option<SocketAddr>> = self.queued.iter().map(own_address).collect();
        std::thread::spawn(move || {
            let _queued = self.queued;
            for socket in listener.incoming().flatten() {
                if own.contains(&socket.peer_addr().ok()) {
                    continue;
                }
                let script = script.clone();
                std::thread::spawn(move || script(Conn::new(socket)));
            }
        });
    }
}

fn own_address(socket: &socket2::Socket) -> Option<SocketAddr> {
    socket.local_addr().ok()?.as_socket()
}

/// A server whose work takes time and places, like a real one: so many requests at once, a queue
/// behind them, and what finds no room in that is turned away. Answers carry load reports.
///
/// With `cold`, it is as slow as a process that has just started, and warms with its age.
pub struct Worker {
    pub slots: usize,
    pub queue: usize,
    pub work: Delay,
    pub cold: Option<Cold>,
}

/// How a server that has just started grows.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub since: Instant,
    /// How long it takes to be at its full speed.
    pub warm_after: Duration,
    /// The share of its full speed at which it begins.
    pub share: f64,
}

impl Cold {
    fn slower(&self) -> f64 {
        let age = self.since.elapsed().as_secs_f64() / self.warm_after.as_secs_f64().max(1e-9);
        1.0 / (self.share + (1.0 - self.share) * age.min(1.0)).max(1e-3)
    }
}

impl Worker {
    /// Starts it.
    pub fn start(self, seed: u64) -> Server {
        let state = Arc::new((Mutex::new((0usize, 0usize)), std::sync::Condvar::new()));
        let random = Arc::new(Mutex::new(Random::new(seed)));
        let worker = Arc::new(self);
        Server::start(move |mut conn| {
            let lock = || state.0.lock().unwrap_or_else(PoisonError::into_inner);
            while conn.message().is_some_and(|m| m.whole) {
                let mut held = lock();
                if held.0 >= worker.slots && held.1 >= worker.queue {
                    drop(held);
                    conn.send(answer("503 Full", "X-Unprocessed: 1\r\n", ""));
                    continue;
                }
                held.1 += 1;
                while held.0 >= worker.slots {
                    held = state.1.wait(held).unwrap_or_else(PoisonError::into_inner);
                }
                *held = (held.0 + 1, held.1 - 1);
                drop(held);
                let slower = worker.cold.map_or(1.0, |cold| cold.slower());
                let takes = {
                    let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
                    worker.work.draw(&mut random)
                };
                std::thread::sleep(takes.mul_f64(slower));
                let mut held = lock();
                held.0 -= 1;
                let load =
                    format!("X-Backend-Load: inflight={},queue={}\r\n", held.0 + held.1, held.1);
                drop(held);
                state.1.notify_one();
                conn.send(answer("200 OK", &load, "done"));
            }
        })
    }
}
