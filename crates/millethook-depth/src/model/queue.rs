//! The queue of future events.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use coppercart::api::Outcome;

use super::calls::AttemptId;
use super::server::{Job, ServerAt};
use crate::chain::Micros;

/// Identifies a sidecar by the tier that it calls and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SidecarAt {
    /// The tier of its servers.
    pub tier: usize,
    /// Its number.
    pub number: usize,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// The next call at the root.
    Call,
    /// An attempt arrives at its server.
    Arrival(ServerAt, Job),
    /// A server has finished its own work on a request.
    WorkDone(ServerAt, Job),
    /// An attempt's outcome arrives at its sidecar, with the server's load report: queue length, and requests at the
    /// server.
    AnswerArrival(AttemptId, Outcome, [f32; 2]),
    /// A timer that the decision module set.
    Timer(SidecarAt, u32),
}

/// Events ordered by time, and by insertion among those of the same time.
#[derive(Default)]
pub struct Queue {
    order: BinaryHeap<Reverse<(Micros, u64)>>,
    events: std::collections::HashMap<u64, ScheduledEvent>,
    next: u64,
}

impl Queue {
    /// Schedules an event.
    pub fn add(&mut self, at: Micros, event: ScheduledEvent) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    /// Removes and returns the next event with its time.
    pub fn pop(&mut self) -> Option<(Micros, ScheduledEvent)> {
        let Reverse((at, number)) = self.order.pop()?;
        Some((at, self.events.remove(&number)?))
    }
}
