//! The balancer's timers.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use coppercart::api::{Event, Micros};
use tokio::sync::Notify;

use super::{Driver, REPLY_MARGIN};

/// Timers that expired in a pause of this process are postponed by this, until the answers that arrived in it are
/// read.
const CATCH_UP_DELAY: Duration = Duration::from_millis(25);

/// The timers that are set, the next to expire first.
///
/// With a task for each timer, a sidecar's memory would grow with the deadlines that clients state. Here a timer
/// takes a few bytes.
#[derive(Default)]
pub(super) struct Timers {
    heap: RefCell<BinaryHeap<Reverse<(Instant, u32)>>>,
    /// Notified when a timer is set that expires before all others.
    earlier_timer_set: Notify,
}

impl Timers {
    /// Sets a timer.
    pub fn set(&self, delay: Micros, token: u32) {
        let at = Instant::now() + Duration::from_micros(delay);
        let mut heap = self.heap.borrow_mut();
        let first = heap.peek().is_none_or(|Reverse((next, _))| at < *next);
        heap.push(Reverse((at, token)));
        if first {
            self.earlier_timer_set.notify_one();
        }
    }

    /// Sets the timers that expired by `until` again, at `new_time` and in the same order.
    fn postpone(&self, until: Instant, new_time: Instant) {
        let mut heap = self.heap.borrow_mut();
        let mut expired = Vec::new();
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= until) {
            expired.extend(heap.pop());
        }
        let mut at = new_time;
        for Reverse((_, token)) in expired {
            heap.push(Reverse((at, token)));
            at += Duration::from_nanos(1);
        }
    }

    /// Returns a timer that has expired, or the time at which the next one does.
    fn due(&self, now: Instant) -> Result<u32, Option<Instant>> {
        let mut heap = self.heap.borrow_mut();
        let Some(Reverse((at, token))) = heap.peek().copied() else { return Err(None) };
        if at > now {
            return Err(Some(at));
        }
        heap.pop();
        Ok(token)
    }
}

impl Driver {
    /// Reports timers to the balancer when they expire.
    pub(super) async fn run_timers(self: Rc<Driver>) {
        loop {
            let now = Instant::now();
            // After a pause of this process, the timers that expired in it would be handled before the answers that
            // wait on sockets. All servers would look late at once, as in an overload, and requests would be refused
            // for about a second. The postponed timers are late already, and are not postponed twice. The cost: where
            // servers really stop answering at that moment, this is noticed later by `CATCH_UP_DELAY`.
            self.pauses.check(now);
            if self.pauses.take_ended() {
                self.timers.postpone(now - REPLY_MARGIN, now + CATCH_UP_DELAY);
            }
            let next = self.timers.due(now);
            self.pauses.expect_wakeup(next.as_ref().err().copied().flatten());
            match next {
                Ok(token) => self.event(Event::Timer { token }),
                Err(Some(at)) => tokio::select! {
                    () = tokio::time::sleep_until(at.into()) => {}
                    () = self.timers.earlier_timer_set.notified() => {}
                },
                Err(None) => self.timers.earlier_timer_set.notified().await,
            }
        }
    }
}
