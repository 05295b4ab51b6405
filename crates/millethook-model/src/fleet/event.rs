//! Events of the virtual clock.

use millethook_explore::step::Ending;

use crate::Micros;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The request's number.
    pub request: u64,
    /// The attempt's index in the request.
    pub number: usize,
}

/// Identifies one start of a sidecar's process. Events for an earlier start are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SidecarLife {
    /// The sidecar's number.
    pub sidecar: usize,
    /// Number of earlier starts.
    pub life: u32,
}

/// A request as its client sends it.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead {
    /// Its class.
    pub class: usize,
    /// Its work at a warm server.
    pub work: Micros,
    /// Its affinity key.
    pub key: u64,
    /// When its client leaves, if it leaves early.
    pub leaves_after: Option<Micros>,
}

/// An event that is scheduled for a time.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// The next request of a sidecar's clients is generated.
    Arrival(usize),
    /// A request reaches a sidecar.
    Request(SidecarLife, RequestHead),
    /// A client leaves.
    ClientLeaves(SidecarLife, u64),
    /// An attempt reaches its server.
    AttemptArrives(AttemptId),
    /// A server has finished a request's work. The second field is the server's life.
    WorkFinished(usize, u32, AttemptId),
    /// The outcome of an attempt reaches its sidecar, with the server's queue length and its requests in flight.
    AttemptEnded(SidecarLife, AttemptId, Ending, [f32; 2]),
    /// A timer of the decisions expires.
    Timer(SidecarLife, u32),
    /// Changes of the server list up to this version reach a sidecar.
    Changes(SidecarLife, usize),
    /// The whole server list reaches a sidecar.
    WholeList(SidecarLife),
    /// A sidecar's call reaches the registry.
    Call(SidecarLife),
    /// A call fails.
    CallFails(SidecarLife),
    /// The registry has finished a call.
    CallFinished,
    /// A fault of the plan begins.
    FaultBegins(usize),
    /// A fault of the plan ends.
    FaultEnds(usize),
}

impl ScheduledEvent {
    /// Returns the start of a sidecar's process that the event is addressed to.
    pub fn life(&self) -> Option<SidecarLife> {
        match self {
            ScheduledEvent::Request(life, _)
            | ScheduledEvent::ClientLeaves(life, _)
            | ScheduledEvent::AttemptEnded(life, ..)
            | ScheduledEvent::Timer(life, _)
            | ScheduledEvent::Changes(life, _)
            | ScheduledEvent::WholeList(life)
            | ScheduledEvent::CallFails(life) => Some(*life),
            _ => None,
        }
    }
}
