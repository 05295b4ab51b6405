//! A limit on log lines about single requests, of which a fault may cause thousands.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// The lines that are written in each [`WINDOW`].
const LINES_PER_WINDOW: u32 = 20;
const WINDOW: Duration = Duration::from_secs(1);

/// Counts the lines of the current window.
#[derive(Debug, Default)]
pub struct LogLimit {
    started: Cell<Option<Instant>>,
    lines: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogLimit {
    /// Admits a line, with the number of lines that were not written since the last one. `None`: it is not written.
    pub fn admit(&self, now: Instant) -> Option<u64> {
        if self.started.get().is_none_or(|started| now >= started + WINDOW) {
            self.started.set(Some(now));
            self.lines.set(0);
        }
        if self.lines.get() >= LINES_PER_WINDOW {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(self.suppressed.replace(0))
    }
}
