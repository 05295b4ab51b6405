//! Waits for events, each with a bound.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

/// No wait takes this long unless something is wrong.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Looks again and again until `done`.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "{what}: not within {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next thing told; the test fails if none comes.
pub fn receive<T>(told: &Receiver<T>) -> T {
    match told.recv_timeout(WAIT_TIMEOUT) {
        Ok(t) => t,
        Err(RecvTimeoutError::Timeout) => panic!("nothing told within {WAIT_TIMEOUT:?}"),
        Err(RecvTimeoutError::Disconnected) => panic!("nobody left to tell"),
    }
}
