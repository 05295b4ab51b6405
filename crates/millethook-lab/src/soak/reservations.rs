//! Reservations of targets in a drawn timeline. They prevent overlapping events on one target that the lab cannot
//! execute: a process that is not running cannot be signalled, and a server that has left cannot be replaced.

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::timeline::{Select, Timeline};

/// A resource that an event needs exclusively for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// The processes of a sidecar.
    Process,
    /// The lifecycle of a server's process.
    ServerLife,
    /// The behaviour of a server's answers.
    ServerAnswers,
    /// The behaviour of discovery.
    Discovery,
    /// Streams from sidecars to servers.
    Streams,
    /// Datagrams between sidecars.
    Datagrams,
    /// The load of the clients.
    Load,
}

/// Times until which each target is reserved, in seconds, by resource.
#[derive(Debug)]
pub(super) struct Reservations {
    processes: Vec<f64>,
    server_lives: Vec<f64>,
    server_answers: Vec<f64>,
    discovery: Vec<f64>,
    streams: Vec<f64>,
    datagrams: Vec<f64>,
    load: Vec<f64>,
}

/// A period in which an event needs its targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    /// Start, in seconds.
    pub at_s: f64,
    /// Time until the next event may start, in seconds.
    pub length_s: f64,
}

impl Reservations {
    /// Creates reservations with all targets free.
    pub(super) fn new(timeline: &Timeline) -> Reservations {
        let sidecars = vec![0.0; timeline.sidecars.count];
        let servers = vec![0.0; timeline.servers.count];
        Reservations {
            processes: sidecars,
            server_lives: servers.clone(),
            server_answers: servers,
            discovery: vec![0.0],
            streams: vec![0.0],
            datagrams: vec![0.0],
            load: vec![0.0],
        }
    }

    fn times(&mut self, resource: Resource) -> &mut Vec<f64> {
        match resource {
            Resource::Process => &mut self.processes,
            Resource::ServerLife => &mut self.server_lives,
            Resource::ServerAnswers => &mut self.server_answers,
            Resource::Discovery => &mut self.discovery,
            Resource::Streams => &mut self.streams,
            Resource::Datagrams => &mut self.datagrams,
            Resource::Load => &mut self.load,
        }
    }

    /// Reserves up to `most` free targets, chosen at random; `None` if none is free.
    pub(super) fn reserve(
        &mut self,
        random: &mut ChaCha8Rng,
        resource: Resource,
        span: Span,
        most: usize,
    ) -> Option<Select> {
        let until = self.times(resource);
        let free = (0..until.len()).filter(|n| until[*n] <= span.at_s);
        let mut chosen = free.choose_multiple(random, most);
        chosen.sort_unstable();
        for &n in &chosen {
            until[n] = span.at_s + span.length_s;
        }
        (!chosen.is_empty()).then(|| Select { ids: Some(chosen), ..Select::default() })
    }

    /// Reserves a resource with a single target; returns whether it was free.
    pub(super) fn reserve_one(
        &mut self,
        random: &mut ChaCha8Rng,
        resource: Resource,
        span: Span,
    ) -> bool {
        self.reserve(random, resource, span, 1).is_some()
    }
}
