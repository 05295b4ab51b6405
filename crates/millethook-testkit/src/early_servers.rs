//! Servers that begin with a request at the end of its head, as most HTTP servers do, and a record of
//! what they began with.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::{Random, Server, ok};

/// What servers have begun with, by path.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts(Arc<Mutex<Counts>>);

#[derive(Debug, Default)]
struct Counts {
    begun: HashMap<String, usize>,
    answered: usize,
}

impl RequestCounts {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A server has begun with the request for `path`.
    pub fn count_start(&self, path: &str) {
        *self.counts().begun.entry(path.to_owned()).or_default() += 1;
    }

    /// A server has answered 200.
    pub fn count_answer(&self) {
        self.counts().answered += 1;
    }

    /// How often servers began with the request for `path`.
    pub fn starts_of(&self, path: &str) -> usize {
        self.counts().begun.get(path).copied().unwrap_or(0)
    }

    /// The paths with which servers began more than once.
    pub fn started_twice(&self) -> Vec<String> {
        let counts = self.counts();
        counts.begun.iter().filter(|(_, n)| **n > 1).map(|(path, _)| path.clone()).collect()
    }

    /// How many answers with the status 200 were written.
    pub fn answered(&self) -> usize {
        self.counts().answered
    }
}

/// What a server does with a request once its head has come. The answer's body is the path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyAnswer {
    /// It answers, and reads the body afterwards.
    ThenRead,
    /// It answers, and closes with the body unread.
    ThenClose,
    /// It answers, and resets the connection.
    ThenReset,
    /// It sends these bytes, reads the body, and answers.
    BytesFirst(&'static str),
}

/// A server that does so with every request.
pub fn early_answering_server(begun: &RequestCounts, what: EarlyAnswer) -> Server {
    let begun = begun.clone();
    Server::start(move |mut conn| {
        while let Some(head) = conn.head() {
            let path = path(&head.first);
            begun.count_start(&path);
            let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if let EarlyAnswer::BytesFirst(bytes) = what {
                conn.send(bytes);
                conn.body(length);
            }
            conn.send(ok(&path));
            begun.count_answer();
            match what {
                EarlyAnswer::ThenRead => drop(conn.body(length)),
                EarlyAnswer::BytesFirst(_) => {}
                EarlyAnswer::ThenClose => return,
                EarlyAnswer::ThenReset => return conn.reset(),
            }
        }
    })
}

/// The path of a request line.
pub fn path(first: &str) -> String {
    first.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A server that closes each connection a while after its last answer, `pause` at the most, whatever
/// has come by then. It begins at the head's end, or at the last byte, as `whole` says.
pub fn closing_server(begun: &RequestCounts, whole: bool, pause: Duration, seed: u64) -> Server {
    let begun = begun.clone();
    let random = Arc::new(Mutex::new(Random::new(seed)));
    Server::start(move |mut conn| {
        loop {
            let rest = {
                let mut random = random.lock().unwrap_or_else(PoisonError::into_inner);
                pause.mul_f64(random.uniform())
            };
            let until = Instant::now() + rest;
            // Reading with a bound is too coarse: the close has to fall on any moment.
            let _ = conn.socket.set_nonblocking(true);
            let mut byte = [0];
            while conn.socket.peek(&mut byte).is_err() {
                if Instant::now() >= until {
                    return;
                }
                std::thread::yield_now();
            }
            let _ = conn.socket.set_nonblocking(false);
            let Some(head) = conn.head() else { return };
            let path = path(&head.first);
            if !whole {
                begun.count_start(&path);
            }
            let length = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            if conn.body(length).is_none() {
                return;
            }
            if whole {
                begun.count_start(&path);
            }
            conn.send(ok(&path));
            begun.count_answer();
        }
    })
}

/// How a server answers twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoubleAnswer {
    /// Both copies go out at once.
    AtOnce,
    /// Noise goes out with the answer.
    Noise,
    /// The second copy follows within half a millisecond; a server that did not get to it by then
    /// leaves it out.
    RightBehind,
}

/// A server that answers each request twice.
pub fn double_answering_server(begun: &RequestCounts, how: DoubleAnswer) -> Server {
    let begun = begun.clone();
    Server::start(move |mut conn| {
        while let Some(message) = conn.message().filter(|m| m.complete) {
            let path = path(&message.first);
            begun.count_start(&path);
            let answer = ok(&path);
            match how {
                DoubleAnswer::AtOnce => conn.send(format!("{answer}{answer}")),
                DoubleAnswer::Noise => conn.send(format!("{answer}\x16\x03 noise")),
                DoubleAnswer::RightBehind => {
                    let began = Instant::now();
                    conn.send(&answer);
                    if began.elapsed() < Duration::from_micros(500) {
                        conn.send(&answer);
                    }
                }
            }
            begun.count_answer();
        }
    })
}
