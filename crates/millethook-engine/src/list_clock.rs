//! Tracks whether the list of servers is current, where lists are pushed.
//!
//! Everything that the local agent has counts as delivered, and a watch is always pending, so normally a change
//! arrives as it happens. A process that was suspended wakes up with requests that arrived meanwhile, and with a watch
//! that ended before the change.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

/// A list that was last confirmed this long ago is stale. A watch is held for half of this time, and a change that it
/// missed may already count as delivered for the other half.
const STALE_AFTER: Duration = Duration::from_secs(1);
/// How long a request waits for the confirmation of a stale list.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(100);

/// The time at which the agent last confirmed the list. Without an agent that confirms lists, no list becomes stale.
#[derive(Debug, Default)]
pub struct ListClock {
    /// None: never confirmed, or the last wait for a confirmation timed out.
    confirmed: Cell<Option<Instant>>,
    on_confirmed: Notify,
}

impl ListClock {
    /// Records that this process has everything that the agent has.
    pub fn confirm(&self) {
        self.confirmed.set(Some(Instant::now()));
        self.on_confirmed.notify_waiters();
    }

    /// Waits until a stale list is confirmed. If the agent is silent, only one wait of 0.1 s takes place: whether it
    /// has changes cannot be known before it answers.
    pub async fn wait_until_current(&self) {
        let confirmation = self.on_confirmed.notified();
        let is_stale = |confirmed: Instant| confirmed.elapsed() >= STALE_AFTER;
        if self.confirmed.get().is_some_and(is_stale)
            && timeout(MAX_CONFIRMATION_WAIT, confirmation).await.is_err()
        {
            self.confirmed.set(None);
        }
    }
}
