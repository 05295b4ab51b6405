//! Waits for events, each with a timeout.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::{Duration, Instant};

/// No wait takes this long unless something is wrong.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until `done` returns true.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !done() {
        assert!(Instant::now() < deadline, "{what}: not within {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The next value of a channel; the test fails if none arrives in time.
pub fn receive<T>(receiver: &Receiver<T>) -> T {
    match receiver.recv_timeout(WAIT_TIMEOUT) {
        Ok(t) => t,
        Err(RecvTimeoutError::Timeout) => panic!("nothing received within {WAIT_TIMEOUT:?}"),
        Err(RecvTimeoutError::Disconnected) => panic!("all senders are gone"),
    }
}
