//! Operations of clients: a request and its retries count once.

use std::collections::HashMap;

use crate::ledger::{End, Micros, RunRecords};
use crate::timeline::Timeline;

/// A request and the outcome of its last retry.
pub(super) struct Operation {
    /// The index of its class in the timeline.
    pub class: usize,
    /// When it was due, in microseconds of the run.
    pub due: Micros,
    /// How its last retry ended.
    pub end: End,
    /// Microseconds from its due time to its answer; `None` if it was not served.
    pub took: Option<Micros>,
}

/// Operations that were due after the warm-up, ordered by their due time.
pub(super) fn operations(records: &RunRecords, warm_up: Micros) -> Vec<Operation> {
    let mut by_id: HashMap<u64, Operation> = HashMap::new();
    // Retries are recorded in the order in which they were sent, so the last one overwrites the earlier ones.
    for r in records.requests.iter().filter(|r| r.due >= warm_up) {
        let took =
            (matches!(r.end, End::Served | End::Kept)).then(|| r.ended.saturating_sub(r.due));
        let operation = Operation { class: r.class, due: r.due, end: r.end, took };
        by_id.insert(r.id.operation(), operation);
    }
    let mut operations: Vec<Operation> = by_id.into_values().collect();
    operations.sort_by_key(|o| o.due);
    operations
}

/// Whether an operation was served within the aim of its class.
pub(super) fn in_aim(timeline: &Timeline, operation: &Operation) -> bool {
    let aim = (timeline.classes[operation.class].aim_ms * 1e3) as Micros;
    operation.took.is_some_and(|took| took <= aim)
}

/// The share of worth served within its aim, of the operations due in `from..to`; `None` if none was due.
pub(super) fn served(
    timeline: &Timeline,
    operations: &[Operation],
    from: Micros,
    to: Micros,
) -> Option<f64> {
    let first = operations.partition_point(|o| o.due < from);
    let (mut all, mut good) = (0.0, 0.0);
    for operation in operations[first..].iter().take_while(|o| o.due < to) {
        let worth = timeline.classes[operation.class].worth;
        all += worth;
        good += if in_aim(timeline, operation) { worth } else { 0.0 };
    }
    (all > 0.0).then(|| good / all)
}
