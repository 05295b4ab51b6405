//! A stand-in server: slots, a queue, errors of a bad tier, and a call of the next tier through its own sidecar.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use millethook_testkit::{Conn, Delay, Message, Random, Server, answer};

use super::counters::Counters;
use crate::chain::Chain;

/// What the service answers to a request.
enum Answer {
    Served,
    Failed,
    TurnedAway,
}

/// Slots and a queue before them.
struct Slots {
    state: Mutex<Occupied>,
    freed: Condvar,
    slots: usize,
    queue: usize,
}

#[derive(Clone, Copy, Default)]
struct Occupied {
    working: usize,
    waiting: usize,
}

impl Slots {
    fn new(chain: &Chain) -> Slots {
        let (slots, queue) = (chain.slots, chain.queue);
        Slots { state: Mutex::default(), freed: Condvar::new(), slots, queue }
    }

    /// Waits for a slot. False: the queue is full.
    fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state.working < self.slots {
            state.working += 1;
            return true;
        }
        if state.waiting >= self.queue {
            return false;
        }
        state.waiting += 1;
        while state.working >= self.slots {
            state = self.freed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting -= 1;
        state.working += 1;
        true
    }

    fn free(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).working -= 1;
        self.freed.notify_one();
    }

    fn occupied(&self) -> Occupied {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A server of a tier.
struct Service {
    chain: Chain,
    tier: usize,
    counters: Arc<Counters>,
    slots: Slots,
    random: Mutex<Random>,
    /// The sidecar through which it calls the next tier.
    next: Option<SocketAddr>,
}

/// Starts a server. `next`: the sidecar through which it calls the next tier.
pub fn start(
    chain: &Chain,
    counters: &Arc<Counters>,
    tier: usize,
    number: usize,
    next: Option<SocketAddr>,
) -> Server {
    let seed = chain.seed << 16 | (tier * 64 + number) as u64;
    let service = Arc::new(Service {
        chain: chain.clone(),
        tier,
        counters: counters.clone(),
        slots: Slots::new(chain),
        random: Mutex::new(Random::new(seed)),
        next,
    });
    Server::start(move |conn| service.serve(conn))
}

impl Service {
    /// Serves a connection until it ends.
    fn serve(&self, mut conn: Conn) {
        let mut next: Option<Conn> = None;
        while let Some(request) = conn.message().filter(|message| message.complete) {
            let came = Instant::now();
            self.counters.count(|tally| tally.attempts[self.tier] += 1);
            let answered = self.work(&request, came, &mut next);
            conn.send(self.written(&answered));
        }
    }

    fn work(&self, request: &Message, came: Instant, next: &mut Option<Conn>) -> Answer {
        if !self.slots.take() {
            return Answer::TurnedAway;
        }
        self.counters.count(|tally| tally.worked[self.tier] += 1);
        std::thread::sleep(self.draw_work());
        self.slots.free();
        if self.chain.bad_tier == Some(self.tier) && self.draw() < self.chain.errors {
            return Answer::Failed;
        }
        let Some(sidecar) = self.next else { return Answer::Served };
        let told = request.header("x-time-left-ms").and_then(|told| told.parse().ok());
        let left = Duration::from_millis(told.unwrap_or(0)).saturating_sub(came.elapsed());
        match left.as_millis() {
            0 => Answer::Failed,
            left => self.call_next(sidecar, left, next),
        }
    }

    /// Calls the next tier, on the connection that the last call left.
    fn call_next(&self, sidecar: SocketAddr, left: u128, kept: &mut Option<Conn>) -> Answer {
        let conn = kept.take().or_else(|| TcpStream::connect(sidecar).ok().map(Conn::new));
        let Some(mut conn) = conn else { return Answer::Failed };
        let answered = conn.request(super::clients::request(left)).filter(|m| m.complete);
        let Some(answered) = answered else { return Answer::Failed };
        if answered.header("connection") != Some("close") {
            *kept = Some(conn);
        }
        if answered.status() == 200 { Answer::Served } else { Answer::Failed }
    }

    fn draw(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).uniform()
    }

    fn draw_work(&self) -> Duration {
        let work = Delay::Exponential(Duration::from_micros(self.chain.work));
        work.draw(&mut self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn written(&self, answered: &Answer) -> String {
        let Occupied { working, waiting } = self.slots.occupied();
        let load = format!("X-Backend-Load: inflight={},queue={waiting}\r\n", working + waiting);
        match answered {
            Answer::Served => answer("200 OK", &load, "done"),
            Answer::Failed => answer("500 Failed", &load, ""),
            Answer::TurnedAway => answer("503 Full", &format!("{load}X-Unprocessed: 1\r\n"), ""),
        }
    }
}
