//! Outcomes and latencies of each class of requests.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::operations::{Operation, in_aim};
use crate::ledger::End;
use crate::timeline::Timeline;

/// Outcomes of the operations of a class. An operation and its retries count once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Operations that were due.
    pub offered: u64,
    /// Operations served within the aim, measured from their due time.
    pub in_aim: u64,
    /// Operations served after the aim.
    pub late: u64,
    /// Operations whose last retry was refused.
    pub refused: u64,
    /// Operations whose last retry failed or got no answer.
    pub failed: u64,
    /// Operations whose client could not connect to the sidecar.
    pub unreached: u64,
    /// The median latency of served operations, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of the latency of served operations, in milliseconds.
    pub p99_ms: f64,
}

/// Computes the figures of each class, keyed by its name.
pub(super) fn classes(
    timeline: &Timeline,
    operations: &[Operation],
) -> BTreeMap<String, ClassFigures> {
    let class_figures = |(n, class): (usize, &crate::timeline::Class)| {
        let mut figures = ClassFigures::default();
        let mut times = Histogram::<u64>::new_with_max(600_000_000, 3).ok();
        for operation in operations.iter().filter(|o| o.class == n) {
            figures.offered += 1;
            let counter = match operation.end {
                End::Served | End::Kept if in_aim(timeline, operation) => &mut figures.in_aim,
                End::Served | End::Kept => &mut figures.late,
                End::Refused => &mut figures.refused,
                End::Unreached | End::Closed => &mut figures.unreached,
                End::Failed(_) | End::Foreign | End::Broken | End::Silent | End::Open => {
                    &mut figures.failed
                }
            };
            *counter += 1;
            if let (Some(took), Some(times)) = (operation.took, &mut times) {
                times.saturating_record(took);
            }
        }
        let at = |q| times.as_ref().map_or(0.0, |t| t.value_at_quantile(q) as f64 / 1e3);
        (figures.p50_ms, figures.p99_ms) = (at(0.5), at(0.99));
        (class.name.clone(), figures)
    };
    timeline.classes.iter().enumerate().map(class_figures).collect()
}
