//! How long sidecars take to have a list again, where discovery is asked: by themselves, or by control nodes.

use serde::{Deserialize, Serialize};

use crate::ledger::{CallFate, Micros};
use crate::timeline::{Event, EventKind};
use crate::world::Outcome;
use crate::world::documents::DocumentEventKind;

/// What became of calls of discovery after an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListFigures {
    /// All sidecars are to get a list anew after this event.
    pub due: bool,
    /// From its end until all sidecars had got a list, in seconds; None: not before the next event.
    pub all_s: Option<f64>,
    /// All sidecars' calls times the work of one, in seconds: no discovery is quicker.
    pub bound_s: f64,
    /// Calls from its begin to the next event, held watches aside.
    pub calls: u64,
    /// Those of them that were refused,
    pub refused: u64,
    /// and those that were hung up on while they waited in line.
    pub hung_up: u64,
}

/// The figures after one event that began and ended then, of which the next one begins at `next`.
pub fn after(
    outcome: &Outcome,
    event: &Event,
    sidecars: usize,
    work_s: f64,
    (begin, end, next): (Micros, Micros, Micros),
) -> ListFigures {
    let calls = outcome.records.calls.iter().filter(|c| (begin..next).contains(&c.at));
    let count =
        |fate: &dyn Fn(CallFate) -> bool| calls.clone().filter(|c| fate(c.fate)).count() as u64;
    let mut first: Vec<Option<Micros>> = vec![None; sidecars];
    let answered = outcome.records.calls.iter().filter(|c| c.fate == CallFate::Answered);
    let answered = answered.map(|call| (call.sidecar, call.ended));
    // Of a sidecar that takes lists from the control nodes its log tells it.
    let taken = outcome.documents.iter().filter(|d| d.kind == DocumentEventKind::ListTaken);
    let taken = taken.map(|document| (document.sidecar, document.at));
    for (sidecar, at) in answered.chain(taken).filter(|(_, at)| (end..next).contains(at)) {
        let first = &mut first[sidecar];
        *first = Some(first.map_or(at, |before| before.min(at)));
    }
    let all = first.iter().copied().collect::<Option<Vec<Micros>>>();
    let last = all.and_then(|all| all.into_iter().max());
    ListFigures {
        due: match event.kind {
            EventKind::Start => true,
            EventKind::DiscoveryDown => event.for_s > 0.0,
            _ => false,
        },
        all_s: last.map(|last| (last - end) as f64 / 1e6),
        bound_s: sidecars as f64 * work_s,
        calls: count(&|_| true),
        refused: count(&|fate| fate == CallFate::Refused),
        hung_up: count(&|fate| fate == CallFate::HungUp),
    }
}
