//! Detects pauses of this process by timers that fire late, and excludes them from the latency of servers.
//!
//! A process that gets no CPU for some tenths of a second (a VM migration, an overcommitted machine, a debugger, a
//! stop signal) then finds answers waiting and timers expired. Without this module both would count as late answers
//! of all servers at once, which looks like overload, and requests would be refused for about a second although every
//! server is healthy.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// A timer that is later than this indicates a pause. Delays on a busy machine are shorter.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// Timers that are late more often than this indicate an overloaded process. Its answers really are late and shedding
/// load is right, so they are not excused.
const MIN_PAUSE_SPACING: Duration = Duration::from_secs(1);

/// Records the last pause of the process.
///
/// A pause begins when the next timer was due. Each request has a timer at half of its aim at the latest, so the part
/// of a pause that still counts as latency of a request is shorter than that.
#[derive(Debug, Default)]
pub(super) struct Pauses {
    /// When the next timer is due; `None` while no timer is set.
    due: Cell<Option<Instant>>,
    last_late: Cell<Option<Instant>>,
    /// Begin and end.
    last_pause: Cell<Option<(Instant, Instant)>>,
    pause_ended: Cell<bool>,
}

impl Pauses {
    /// Sets when the process should wake up next; `None` if no timer is set.
    pub fn expect_wakeup(&self, due: Option<Instant>) {
        self.due.set(due);
    }

    /// Compares the clock with the expected wake-up. Called in each iteration of the timer loop, and before a latency
    /// is measured.
    pub fn check(&self, now: Instant) {
        let Some(due) = self.due.get().filter(|due| now > *due + MIN_PAUSE) else { return };
        // The pause is over and must be reported only once.
        self.due.set(None);
        let previous = self.last_late.replace(Some(now));
        if previous.is_none_or(|previous| due > previous + MIN_PAUSE_SPACING) {
            self.last_pause.set(Some((due, now)));
            self.pause_ended.set(true);
        }
    }

    /// Whether a pause has ended since the last call.
    pub fn take_ended(&self) -> bool {
        self.pause_ended.take()
    }

    /// The time between two instants, without the last pause.
    pub fn running_time(&self, from: Instant, to: Instant) -> Duration {
        let whole = to.saturating_duration_since(from);
        let Some((begin, end)) = self.last_pause.get() else { return whole };
        whole.saturating_sub(end.min(to).saturating_duration_since(begin.max(from)))
    }
}

#[cfg(test)]
mod tests;
