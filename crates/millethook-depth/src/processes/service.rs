//! A stand-in server with slots, a queue, errors in the bad tier, and a call to the next tier through its own
//! sidecar.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use millethook_testkit::{Conn, Delay, Message, Random, Server, answer};

use super::counters::Counters;
use crate::chain::Chain;

/// The service's answer to a request.
enum Answer {
    Served,
    Failed,
    Refused,
}

/// Slots with a queue in front.
struct Slots {
    state: Mutex<Occupancy>,
    freed: Condvar,
    slots: usize,
    queue: usize,
}

#[derive(Clone, Copy, Default)]
struct Occupancy {
    working: usize,
    waiting: usize,
}

impl Slots {
    fn new(chain: &Chain) -> Slots {
        let (slots, queue) = (chain.slots, chain.queue);
        Slots { state: Mutex::default(), freed: Condvar::new(), slots, queue }
    }

    /// Waits for a slot. Returns false if the queue is full.
    fn acquire(&self) -> bool {
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

    fn release(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).working -= 1;
        self.freed.notify_one();
    }

    fn occupancy(&self) -> Occupancy {
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
    /// The sidecar through which the server calls the next tier.
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
    /// Serves a connection until it closes.
    fn serve(&self, mut conn: Conn) {
        let mut next: Option<Conn> = None;
        while let Some(request) = conn.message().filter(|message| message.complete) {
            let received_at = Instant::now();
            self.counters.count(|tally| tally.attempts[self.tier] += 1);
            let answered = self.process(&request, received_at, &mut next);
            conn.send(self.response(&answered));
        }
    }

    fn process(&self, request: &Message, received_at: Instant, next: &mut Option<Conn>) -> Answer {
        if !self.slots.acquire() {
            return Answer::Refused;
        }
        self.counters.count(|tally| tally.worked[self.tier] += 1);
        std::thread::sleep(self.draw_work());
        self.slots.release();
        if self.chain.bad_tier == Some(self.tier) && self.draw() < self.chain.error_share {
            return Answer::Failed;
        }
        let Some(sidecar) = self.next else { return Answer::Served };
        let time_left_ms =
            request.header("x-time-left-ms").and_then(|time_left_ms| time_left_ms.parse().ok());
        let left =
            Duration::from_millis(time_left_ms.unwrap_or(0)).saturating_sub(received_at.elapsed());
        match left.as_millis() {
            0 => Answer::Failed,
            left => self.call_next(sidecar, left, next),
        }
    }

    /// Calls the next tier, reusing the connection of the previous call.
    fn call_next(&self, sidecar: SocketAddr, left: u128, idle_conn: &mut Option<Conn>) -> Answer {
        let conn = idle_conn.take().or_else(|| TcpStream::connect(sidecar).ok().map(Conn::new));
        let Some(mut conn) = conn else { return Answer::Failed };
        let answered = conn.request(super::clients::request(left)).filter(|m| m.complete);
        let Some(answered) = answered else { return Answer::Failed };
        if answered.header("connection") != Some("close") {
            *idle_conn = Some(conn);
        }
        if answered.status() == 200 { Answer::Served } else { Answer::Failed }
    }

    fn draw(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).uniform()
    }

    fn draw_work(&self) -> Duration {
        let work = Delay::Exponential(Duration::from_micros(self.chain.mean_work));
        work.draw(&mut self.random.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn response(&self, answered: &Answer) -> String {
        let Occupancy { working, waiting } = self.slots.occupancy();
        let load = format!("X-Backend-Load: inflight={},queue={waiting}\r\n", working + waiting);
        match answered {
            Answer::Served => answer("200 OK", &load, "done"),
            Answer::Failed => answer("500 Failed", &load, ""),
            Answer::Refused => answer("503 Full", &format!("{load}X-Unprocessed: 1\r\n"), ""),
        }
    }
}
