//! A stand-in server with limited capacity: concurrent slots, a queue, and a service time for each
//! request.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::delay::Delay;
use crate::random::Random;
use crate::{Server, answer};

/// A server with a service time, concurrent slots and a queue, as a real server has. It rejects a
/// request that finds the queue full. Answers carry load reports.
///
/// With `cold`, it is as slow as a process that has just started, and speeds up with its age.
pub struct Worker {
    /// The number of requests processed concurrently.
    pub slots: usize,
    /// The number of requests that may wait in the queue.
    pub queue: usize,
    /// The service time of one request.
    pub work: Delay,
    /// How the server warms up, if it has just started.
    pub cold: Option<ColdStart>,
}

/// The warm-up of a server that has just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// When the server started.
    pub since: Instant,
    /// How long it takes to reach full speed.
    pub warm_after: Duration,
    /// The share of full speed at the start.
    pub share: f64,
}

impl ColdStart {
    fn slowdown(&self) -> f64 {
        let age = self.since.elapsed().as_secs_f64() / self.warm_after.as_secs_f64().max(1e-9);
        1.0 / (self.share + (1.0 - self.share) * age.min(1.0)).max(1e-3)
    }
}

impl Worker {
    /// Starts the server.
    pub fn start(self, seed: u64) -> Server {
        let state = Arc::new((Mutex::new((0usize, 0usize)), std::sync::Condvar::new()));
        let random = Arc::new(Mutex::new(Random::new(seed)));
        let worker = Arc::new(self);
        Server::start(move |mut conn| {
            let lock = || state.0.lock().unwrap_or_else(PoisonError::into_inner);
            while conn.message().is_some_and(|m| m.complete) {
                let mut counts = lock();
                if counts.0 >= worker.slots && counts.1 >= worker.queue {
                    drop(counts);
                    conn.send(answer("503 Full", "X-Unprocessed: 1\r\n", ""));
                    continue;
                }
                counts.1 += 1;
                while counts.0 >= worker.slots {
                    counts = state.1.wait(counts).unwrap_or_else(PoisonError::into_inner);
                }
                *counts = (counts.0 + 1, counts.1 - 1);
                drop(counts);
                let slowdown = worker.cold.map_or(1.0, |cold| cold.slowdown());
                let service_time = {
                    let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
                    worker.work.draw(&mut random)
                };
                std::thread::sleep(service_time.mul_f64(slowdown));
                let mut counts = lock();
                counts.0 -= 1;
                let load = format!(
                    "X-Backend-Load: inflight={},queue={}\r\n",
                    counts.0 + counts.1,
                    counts.1
                );
                drop(counts);
                state.1.notify_one();
                conn.send(answer("200 OK", &load, "done"));
            }
        })
    }
}
