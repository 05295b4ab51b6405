//! Graceful shutdown: accepted requests are answered, and requests that could no longer be answered in
//! time are not accepted.

use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_http::ingress::{Ingress, Successor};
use tokio::time::sleep;

/// Idle clients are disconnected no earlier than this after the signal: new connections keep arriving
/// for up to 0.4 s.
const NEW_CONNECTION_WINDOW: Duration = Duration::from_millis(500);
/// Without a new connection for this long, no more are expected.
const NO_CONNECTION_TIMEOUT: Duration = Duration::from_millis(100);
/// Requests that are incomplete at this time after the signal might not be answered in time. The
/// process is killed no sooner than the longest deadline plus 0.7 s after the signal.
const REQUEST_CUTOFF: Duration = Duration::from_millis(650);
/// The part of these 0.7 s that is left for long answers after the longest deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(600);
/// Minimum time for which a closed connection is still read before the process exits. If the socket
/// closes with unread bytes, the kernel sends a reset, and the client loses the last answer.
const MIN_READ_AFTER_CLOSE: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until all requests are answered or no more can be answered in time, counted from the call.
pub async fn drain(ingress: Rc<Ingress>, longest_deadline: Duration) {
    let signal = Instant::now();
    ingress.drain(signal + REQUEST_CUTOFF);
    while signal.elapsed() < NEW_CONNECTION_WINDOW
        || (ingress.last_accepted().elapsed() < NO_CONNECTION_TIMEOUT
            && signal.elapsed() < REQUEST_CUTOFF)
    {
        sleep(POLL_INTERVAL).await;
    }
    // A client whose connection is closed just as it writes retries on a new connection, so new
    // connections are accepted until the end.
    loop {
        let late = signal.elapsed() >= REQUEST_CUTOFF;
        ingress.close_idle(late);
        let coming = !late || ingress.last_accepted().elapsed() < NO_CONNECTION_TIMEOUT;
        if ingress.unfinished_connections(MIN_READ_AFTER_CLOSE) == 0 && !coming
            || signal.elapsed() >= longest_deadline + DEADLINE_MARGIN
        {
            ingress.reset_unfinished_answers();
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Passes each client connection to `successor` as soon as no request is open on it, until none is
/// left. The successor accepts new connections, so this process accepts no more.
pub async fn hand_over(
    ingress: Rc<Ingress>,
    successor: Rc<dyn Successor>,
    longest_deadline: Duration,
) {
    let signal = Instant::now();
    ingress.hand_over(successor, signal + REQUEST_CUTOFF);
    while ingress.connected() > 0 && signal.elapsed() < longest_deadline + DEADLINE_MARGIN {
        ingress.close_idle(signal.elapsed() >= REQUEST_CUTOFF);
        sleep(POLL_INTERVAL).await;
    }
    ingress.reset_unfinished_answers();
}
