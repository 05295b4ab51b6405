//! A rate limit for log lines.

use millethook_view::Micros;

/// The burst of log lines about changes; one more line is allowed each second.
const BURST_LINES: f64 = 10.0;

/// A token bucket for log lines, so that many changes do not flood the log.
pub(super) struct LogBudget {
    available_lines: f64,
    refilled_at: Micros,
    suppressed: u64,
}

impl LogBudget {
    /// Creates a bucket that is full at the time 0.
    pub fn full() -> LogBudget {
        LogBudget { available_lines: BURST_LINES, refilled_at: 0, suppressed: 0 }
    }

    /// Returns the number of lines that were suppressed since the last one if a line may be written now, else None.
    pub fn acquire_line(&mut self, now: Micros) -> Option<u64> {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.available_lines = (self.available_lines + passed).min(BURST_LINES);
        self.refilled_at = now;
        if self.available_lines < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.available_lines -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}
