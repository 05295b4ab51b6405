//! A stand-in server with a limited capacity: slots, a queue behind them, and a time for each request.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::delay::Delay;
use crate::random::Random;
use crate::{Server, answer};

/// A server whose work takes time and places, like a real one: so many requests at once, a queue
/// behind them, and what finds no room in that is turned away. Answers carry load reports.
///
/// With `cold`, it is as slow as a process that has just started, and warms with its age.
pub struct Worker {
    /// Requests that it works on at once.
    pub slots: usize,
    /// Requests that may wait behind those.
    pub queue: usize,
    /// How long the work of one request takes.
    pub work: Delay,
    /// How it warms up, if it has just started.
    pub cold: Option<ColdStart>,
}

/// How a server that has just started grows.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// When it started.
    pub since: Instant,
    /// How long it takes to be at its full speed.
    pub warm_after: Duration,
    /// The share of its full speed at which it begins.
    pub share: f64,
}

impl ColdStart {
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
            while conn.message().is_some_and(|m| m.complete) {
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
