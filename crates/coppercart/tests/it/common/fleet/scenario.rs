//! The parameters of a closed-loop simulation and its counters.

use std::ops::Range;

use coppercart::api::Micros;

use crate::common::S;

/// The length of one interval of [`IntervalCounts`].
pub const INTERVAL: Micros = S / 2;

/// A class of requests, at the same index as in the settings.
#[derive(Clone, Debug)]
pub struct Class {
    /// The share of all operations.
    pub share: f64,
    /// The mean work of a request, exponentially distributed.
    pub work: Micros,
    /// How long a client waits for each of its requests.
    pub client_timeout: Micros,
    /// The latency target: an answer within this time of its request is in time.
    pub aim: Micros,
}

/// Load reports, taken each `period` and visible in answers `delay` later.
#[derive(Clone, Debug)]
pub struct Reports {
    pub period: Micros,
    pub delay: Micros,
}

/// A period in which some servers start no work.
#[derive(Clone, Debug)]
pub struct Hang {
    pub servers: Range<u64>,
    pub time: Range<Micros>,
}

#[derive(Clone, Debug)]
pub struct Scenario {
    pub servers: u64,
    /// The number of requests that a server works on concurrently.
    pub cores: usize,
    /// The maximum queue length of a server; further requests are refused as full.
    pub queue: usize,
    pub classes: Vec<Class>,
    /// The mean time between two operations, from each of these times on.
    pub arrivals: Vec<(Micros, Micros)>,
    /// The maximum number of requests per operation.
    pub max_client_attempts: u32,
    /// The mean pause before a client retries, exponentially distributed; 0 for immediate retries.
    pub retry_pause: Micros,
    /// The share of clients that honour the retry delay of a refusal.
    pub retry_after_compliance: f64,
    pub reports: Option<Reports>,
    pub hang: Option<Hang>,
    pub end: Micros,
}

/// The counters of one interval.
#[derive(Clone, Copy, Debug, Default)]
pub struct IntervalCounts {
    pub operations: u64,
    pub client_requests: u64,
    pub refused: u64,
    pub attempts: u64,
    pub served: u64,
    pub in_time: u64,
    /// The work behind the answers that were in time.
    pub useful: Micros,
    /// The busy time of all server cores.
    pub busy: Micros,
}
