//! What a drawn timeline already does to each sidecar and server, so that no two events meet that the lab cannot carry
//! out on one target: a process that is away cannot be signalled, and a server that is gone cannot be replaced.

use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::timeline::{Select, Timeline};

/// What an event needs for itself for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Resource {
    /// The processes of a sidecar.
    Process,
    /// The process of a server: it stays, leaves or comes.
    ServerLife,
    /// How a server answers.
    ServerAnswers,
    /// What discovery says.
    Discovery,
    /// Streams from sidecars to servers.
    Streams,
    /// Datagrams between sidecars.
    Datagrams,
    /// How much clients ask for.
    Load,
}

/// Until when each target is taken, in seconds, by resource.
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

/// A time in which an event needs its targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it takes until the next event may come, in seconds.
    pub length_s: f64,
}

impl Reservations {
    /// Nothing is taken.
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

    fn of(&mut self, resource: Resource) -> &mut Vec<f64> {
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

    /// Takes up to so many targets that are free; None: none is.
    pub(super) fn take(
        &mut self,
        random: &mut ChaCha8Rng,
        resource: Resource,
        span: Span,
        most: usize,
    ) -> Option<Select> {
        let until = self.of(resource);
        let free = (0..until.len()).filter(|n| until[*n] <= span.at_s);
        let mut chosen = free.choose_multiple(random, most);
        chosen.sort_unstable();
        for &n in &chosen {
            until[n] = span.at_s + span.length_s;
        }
        (!chosen.is_empty()).then(|| Select { ids: Some(chosen), ..Select::default() })
    }

    /// Takes what there is one of; whether it was free.
    pub(super) fn take_one(
        &mut self,
        random: &mut ChaCha8Rng,
        resource: Resource,
        span: Span,
    ) -> bool {
        self.take(random, resource, span, 1).is_some()
    }
}
