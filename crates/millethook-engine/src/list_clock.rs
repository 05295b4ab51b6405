//! Whether the list of servers is as new as it can be, where lists are pushed.
//!
//! What the agent has counts as told, and a watch is always out, so ordinarily a change is here as it happens. A process
//! that stood still wakes up with requests that came meanwhile, and with a watch that ended before the change.

use std::cell::Cell;
use std::time::{Duration, Instant};

use tokio::sync::Notify;
use tokio::time::timeout;

/// A list that was confirmed so long ago is old: a watch is held for half of that, and what it ends without may count as
/// told for another half.
const OLD: Duration = Duration::from_secs(1);
/// How long a request waits until an old list is confirmed.
const PATIENCE: Duration = Duration::from_millis(100);

/// When the list was last confirmed by the agent. Where nobody confirms lists, none is ever old.
#[derive(Debug, Default)]
pub struct ListClock {
    /// None: never, or the agent said nothing when that was waited for.
    confirmed: Cell<Option<Instant>>,
    told: Notify,
}

impl ListClock {
    /// All that the agent has is here.
    pub fn confirm(&self) {
        self.confirmed.set(Some(Instant::now()));
        self.told.notify_waiters();
    }

    /// Waits until an old list is confirmed. An agent that says nothing is waited for once, for 0.1 s: what it has to tell
    /// cannot be known before it speaks.
    pub async fn wait_until_current(&self) {
        let told = self.told.notified();
        let is_old = |confirmed: Instant| confirmed.elapsed() >= OLD;
        if self.confirmed.get().is_some_and(is_old) && timeout(PATIENCE, told).await.is_err() {
            self.confirmed.set(None);
        }
    }
}
