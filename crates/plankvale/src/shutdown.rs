//! The planned end: what was taken is answered, and nothing new is taken that could not be.

use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_http::ingress::{Ingress, Successor};
use tokio::time::sleep;

/// New connections go on coming for up to 0.4 s; once none has come for a while after that, the
/// clients that have nothing under way are let go.
const COMING: Duration = Duration::from_millis(500);
/// No new connection for so long: there are no more to come.
const QUIET: Duration = Duration::from_millis(100);
/// What is not whole by now might not be answered in time. Killing comes no sooner than the
/// longest deadline and 0.7 s after the signal.
const LAST_TAKEN: Duration = Duration::from_millis(650);
/// What is left of that for long answers, beyond the longest deadline.
const SPARE: Duration = Duration::from_millis(600);
/// How long a connection that was ended is still read, at the least, before the process goes. Danger: with the
/// process goes its socket, and over unread bytes that is a reset, which takes a last answer with it.
const SETTLE: Duration = Duration::from_millis(100);
const LOOK: Duration = Duration::from_millis(10);

/// Waits, from the signal on, until all is answered or nothing more can be.
pub async fn drain(ingress: Rc<Ingress>, longest_deadline: Duration) {
    let signal = Instant::now();
    ingress.drain(signal + LAST_TAKEN);
    while signal.elapsed() < COMING
        || (ingress.last_accepted().elapsed() < QUIET && signal.elapsed() < LAST_TAKEN)
    {
        sleep(LOOK).await;
    }
    // Danger: a client whose connection is closed just as it writes comes again on a new one, so
    // new ones are accepted to the end.
    loop {
        let late = signal.elapsed() >= LAST_TAKEN;
        ingress.close_idle(late);
        let coming = !late || ingress.last_accepted().elapsed() < QUIET;
        if ingress.unfinished_connections(SETTLE) == 0 && !coming
            || signal.elapsed() >= longest_deadline + SPARE
        {
            return;
        }
        sleep(LOOK).await;
    }
}

/// Passes clients' connections on to `successor`, each as soon as no request is open on it, until none
/// is left. The successor accepts new ones, so this process accepts no more.
pub async fn hand_over(
    ingress: Rc<Ingress>,
    successor: Rc<dyn Successor>,
    longest_deadline: Duration,
) {
    let signal = Instant::now();
    ingress.hand_over(successor, signal + LAST_TAKEN);
    while ingress.connected() > 0 && signal.elapsed() < longest_deadline + SPARE {
        ingress.close_idle(signal.elapsed() >= LAST_TAKEN);
        sleep(LOOK).await;
    }
}
