//! What a closed loop is made of, and what is counted in it.

use std::ops::Range;

use coppercart::api::Micros;

use crate::common::S;

/// The span of one [`IntervalCounts`].
pub const INTERVAL: Micros = S / 2;

/// A class of requests, at the same place in the settings.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its share of operations.
    pub share: f64,
    /// The mean work of a request, exponential.
    pub work: Micros,
    /// How long a client waits for each of its tries.
    pub client_timeout: Micros,
    /// An answer within this time of its try's beginning is in time.
    pub aim: Micros,
}

/// Load reports: taken each `period`, seen in answers `delay` later.
#[derive(Clone, Debug)]
pub struct Reports {
    pub period: Micros,
    pub delay: Micros,
}

/// These servers begin nothing in this time.
#[derive(Clone, Debug)]
pub struct Hang {
    pub servers: Range<u64>,
    pub time: Range<Micros>,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub servers: u64,
    /// Requests that a server works on at once.
    pub cores: usize,
    /// Requests that wait at a server; it refuses more as full.
    pub queue: usize,
    pub classes: Vec<Class>,
    /// The mean time between two operations, from each of these times on.
    pub arrivals: Vec<(Micros, Micros)>,
    /// Tries of a client.
    pub max_client_attempts: u32,
    /// The mean time between two tries, exponential; 0: one comes right after the other.
    pub retry_pause: Micros,
    /// The share of clients that wait as long as a refusal says.
    pub retry_after_compliance: f64,
    pub reports: Option<Reports>,
    pub hang: Option<Hang>,
    pub end: Micros,
}

/// What happened in one span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalCounts {
    pub operations: u64,
    pub client_requests: u64,
    pub refused: u64,
    pub attempts: u64,
    pub served: u64,
    pub in_time: u64,
    /// Work of the answers that came in time.
    pub useful: Micros,
    /// Of the servers' cores.
    pub busy: Micros,
}
