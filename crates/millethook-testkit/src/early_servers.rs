//! Servers that start a request when its head has arrived, as most HTTP servers do, and counts of
//! the requests that they started.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::{Random, Server, ok};

/// The requests that servers started, by path, and the number of answers.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts(Arc<Mutex<CountsByPath>>);

#[derive(Debug, Default)]
struct CountsByPath {
    starts: HashMap<String, usize>,
    answers: usize,
}

impl RequestCounts {
    fn counts(&self) -> MutexGuard<'_, CountsByPath> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a started request for `path`.
    pub fn count_start(&self, path: &str) {
        *self.counts().starts.entry(path.to_owned()).or_default() += 1;
    }

    /// Counts an answer with status 200.
    pub fn count_answer(&self) {
        self.counts().answers += 1;
    }

    /// How often servers started the request for `path`.
    pub fn starts_of(&self, path: &str) -> usize {
        self.counts().starts.get(path).copied().unwrap_or(0)
    }

    /// The paths of requests that were started more than once.
    pub fn started_twice(&self) -> Vec<String> {
        let counts = self.counts();
        counts.starts.iter().filter(|(_, n)| **n > 1).map(|(path, _)| path.clone()).collect()
    }

    /// The number of answers with status 200.
    pub fn answered(&self) -> usize {
        self.counts().answers
    }
}

/// What a server does once the head of a request has arrived. The path is the body of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyAnswer {
    /// Answers, then reads the body.
    ThenRead,
    /// Answers, then closes the connection without reading the body.
    ThenClose,
    /// Answers, then resets the connection.
    ThenReset,
    /// Sends these bytes, reads the body, then answers.
    BytesFirst(&'static str),
}

/// A server that handles every request in this way.
pub fn early_answering_server(counts: &RequestCounts, behaviour: EarlyAnswer) -> Server {
    let counts = counts.clone();
    Server::start(move |mut conn| {
        while let Some(head) = conn.head() {
            let path = path(&head.first);
            counts.count_start(&path);
            let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if let EarlyAnswer::BytesFirst(bytes) = behaviour {
                conn.send(bytes);
                conn.body(length);
            }
            conn.send(ok(&path));
            counts.count_answer();
            match behaviour {
                EarlyAnswer::ThenRead => drop(conn.body(length)),
                EarlyAnswer::BytesFirst(_) => {}
                EarlyAnswer::ThenClose => return,
                EarlyAnswer::ThenReset => return conn.reset(),
            }
        }
    })
}

/// The path in a request line.
pub fn path(request_line: &str) -> String {
    request_line.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A server that closes each connection at a random time, at most `pause`, after its last answer,
/// whatever has arrived by then. It starts a request at the last byte if `at_last_byte` is set, else at
/// the end of the head.
pub fn closing_server(
    counts: &RequestCounts,
    at_last_byte: bool,
    pause: Duration,
    seed: u64,
) -> Server {
    let counts = counts.clone();
    let random = Arc::new(Mutex::new(Random::new(seed)));
    Server::start(move |mut conn| {
        loop {
            let delay = {
                let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
                pause.mul_f64(random.uniform())
            };
            let close_at = Instant::now() + delay;
            // A read timeout is too coarse: the close has to be possible at any moment.
            let _ = conn.socket.set_nonblocking(true);
            let mut byte = [0];
            while conn.socket.peek(&mut byte).is_err() {
                if Instant::now() >= close_at {
                    return;
                }
                std::thread::yield_now();
            }
            let _ = conn.socket.set_nonblocking(false);
            let Some(head) = conn.head() else { return };
            let path = path(&head.first);
            if !at_last_byte {
                counts.count_start(&path);
            }
            let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if conn.body(length).is_none() {
                return;
            }
            if at_last_byte {
                counts.count_start(&path);
            }
            conn.send(ok(&path));
            counts.count_answer();
        }
    })
}

/// How a server sends an answer twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubleAnswer {
    /// Sends both copies in one write.
    AtOnce,
    /// Sends garbage in the same write as the answer.
    Noise,
    /// Sends the second copy within half a millisecond of the first, or not at all if the server is
    /// later than that.
    ShortlyAfter,
}

/// A server that sends each answer twice, or with garbage behind it.
pub fn double_answering_server(counts: &RequestCounts, mode: DoubleAnswer) -> Server {
    let counts = counts.clone();
    Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|m| m.complete) {
            let path = path(&message.first);
            counts.count_start(&path);
            let answer = ok(&path);
            match mode {
                DoubleAnswer::AtOnce => conn.send(format!("{answer}{answer}")),
                DoubleAnswer::Noise => conn.send(format!("{answer}\x16\x03 noise")),
                DoubleAnswer::ShortlyAfter => {
                    let sent_at = Instant::now();
                    conn.send(&answer);
                    if sent_at.elapsed() < Duration::from_micros(500) {
                        conn.send(&answer);
                    }
                }
            }
            counts.count_answer();
        }
    })
}
