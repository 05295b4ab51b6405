//! How long sidecars take to get a server list after an event, from discovery or from control nodes.

use serde::{Deserialize, Serialize};

use crate::ledger::{CallFate, Micros};
use crate::timeline::{Event, EventKind};
use crate::world::Outcome;
use crate::world::documents::DocumentEventKind;

/// Requests to discovery and lists received after an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListFigures {
    /// Whether all sidecars have to get a new list after this event.
    pub due: bool,
    /// Seconds from its end until all sidecars had got a list; `None` if they had not before the next event.
    pub all_s: Option<f64>,
    /// The number of sidecars times discovery's work per request, in seconds: the least time that discovery needs.
    pub bound_s: f64,
    /// Requests from its beginning to the next event, without watches that are held open.
    pub calls: u64,
    /// Requests that discovery refused.
    pub refused: u64,
    /// Requests whose connection was closed while they waited in the queue.
    pub hung_up: u64,
}

/// Computes the figures of an event that lasted from `begin` to `end`; the next event begins at `next`.
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
    // A sidecar that takes lists from control nodes records this in its log.
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
