//! Waits for events, each with a bound.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

/// No wait takes this long unless something is wrong.
pub const BOUND: Duration = Duration::from_secs(20);

/// Looks again and again until `done`.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + BOUND;
    while !done() {
        assert!(Instant::now() < end, "{what}: not within {BOUND:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next thing told; the test fails if none comes.
pub fn next<T>(told: &Receiver<T>) -> T {
    match told.recv_timeout(BOUND) {
        Ok(t) => t,
        Err(RecvTimeoutError::Timeout) => panic!("nothing told within {BOUND:?}"),
        Err(RecvTimeoutError::Disconnected) => panic!("nobody left to tell"),
    }
}
