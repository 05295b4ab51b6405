//! Checks whether service recovers after the faults.

use crate::Micros;
use crate::plan::{MS, Plan};

/// Service counts as recovered at this share of its level before the first fault.
const RECOVERED_SHARE: f64 = 0.95;
/// Requests in this time are not counted, because the decisions know no server yet.
const WARM_UP: Micros = 1_000 * MS;
/// With fewer requests on either side, random variation outweighs the difference in service.
const MIN_REQUESTS: u64 = 100;
/// Allowed shortfall, in standard deviations of the success rate for that number of requests.
const ALLOWED_DEVIATIONS: f64 = 3.0;

/// Counts of all and of served requests, before the first fault and after the recovery time that follows the last one.
#[derive(Clone, Debug)]
pub struct ServiceRecovery {
    before: (Micros, Micros),
    after: Micros,
    counted_before: OutcomeCounts,
    counted_after: OutcomeCounts,
    judged: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct OutcomeCounts {
    total: u64,
    served: u64,
}

impl OutcomeCounts {
    fn share(self) -> f64 {
        self.served as f64 / self.total.max(1) as f64
    }
}

impl ServiceRecovery {
    /// Creates the counts for a run of `plan` that starts at `run_start`.
    pub fn new(plan: &Plan, run_start: Micros) -> ServiceRecovery {
        let first = plan.faults.iter().map(|fault| fault.at_ms).min().unwrap_or(0);
        let last = plan.faults.iter().map(|fault| fault.at_ms + fault.for_ms).max().unwrap_or(0);
        let within = plan.rules.back_within_ms;
        ServiceRecovery {
            before: (run_start + WARM_UP, run_start + first * MS),
            after: run_start + (last + within) * MS,
            counted_before: OutcomeCounts::default(),
            counted_after: OutcomeCounts::default(),
            judged: within > 0 && !plan.faults.is_empty(),
        }
    }

    /// Counts the final answer of a request that arrived at `arrived`.
    pub fn count(&mut self, arrived: Micros, served: bool) {
        let counted = if arrived >= self.after {
            &mut self.counted_after
        } else if (self.before.0..self.before.1).contains(&arrived) {
            &mut self.counted_before
        } else {
            return;
        };
        counted.total += 1;
        counted.served += u64::from(served);
    }

    /// Describes the shortfall at the end of the run; `None` if there is none or too few requests to tell.
    pub fn shortfall(&self) -> Option<String> {
        let (before, after) = (self.counted_before, self.counted_after);
        if !self.judged || before.total < MIN_REQUESTS || after.total < MIN_REQUESTS {
            return None;
        }
        let threshold = RECOVERED_SHARE * before.share();
        let deviation = (threshold * (1.0 - threshold) / after.total as f64).sqrt();
        (after.share() < threshold - ALLOWED_DEVIATIONS * deviation).then(|| {
            format!(
                "{} of {} served, {} of {} before",
                after.served, after.total, before.served, before.total
            )
        })
    }
}
