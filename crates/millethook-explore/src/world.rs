//! One balancer and everything around it, on a virtual clock: the world names what could come next, plays one of it, and
//! judges what the balancer makes of it.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use coppercart::api::{
    Action, Event, Health, ListKind, LoadReport, Micros, NewRequest, Outcome, RequestId,
    ServerEntry, ServerId,
};
use coppercart::decide::Balancer;
use millethook_machine::Violation;

use crate::judge::{self, Finding, Rule, Verdict};
use crate::mutant::Mutant;
use crate::scenario::{
    Begins, Bounds, CANCEL_LATE, DEADLINE, DRAIN_GRACE, Kind, MS, OUTCOME_LATE, START, Scenario,
    TIMER_LATE, WINDOW,
};
use crate::step::{Ending, ListChange, Step};
use crate::truth::{Attempt, Course, Request, Server, Standing};

mod actions;
mod play;
mod steps;
mod warm_up;

/// Numbers of the requests of the warm-up begin here.
const WARM_UP_IDS: u64 = 1_000_000;
/// The time between requests of the warm-up: a quiet sidecar.
const WARM_UP_GAP: Micros = 60 * MS;
/// The answer time in the warm-up.
const WARM_UP_ANSWER: Micros = 20 * MS;
/// Steps of the quiet course after which the world counts as one that never comes to rest.
const REST_AFTER: usize = 10_000;

/// What of the bounds a path has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Used {
    /// Counted steps.
    pub events: u8,
    /// List changes.
    pub list_changes: u8,
    /// Moments in which something due was late.
    pub late: u8,
}

/// One balancer and everything around it.
#[derive(Clone, Debug)]
pub struct World {
    scenario: Arc<Scenario>,
    mutant: Option<Mutant>,
    balancer: Balancer,
    now: Micros,
    timers: BTreeSet<(Micros, u32)>,
    requests: Vec<Request>,
    servers: Vec<Server>,
    used: Used,
    /// What happened, for readers. None: nobody reads.
    log: Option<Vec<String>>,
}

impl World {
    /// The world as the exploration begins: the warm-up is over and everything is at rest.
    ///
    /// # Errors
    /// The balancer panicked, or its own check failed, before anything was explored.
    pub fn new(
        scenario: Arc<Scenario>,
        seed: u64,
        mutant: Option<Mutant>,
    ) -> Result<World, Finding> {
        let mut settings = scenario.settings();
        if let Some(mutant) = mutant {
            mutant.settings(&mut settings);
        }
        let begun = START - (scenario.warm_up + 1) * WARM_UP_GAP - DEADLINE;
        let servers = scenario.servers.iter().zip(1..).map(|(&(zone, begins), id)| Server {
            id: ServerId(id),
            zone,
            standing: if begins == Begins::Draining {
                Standing::Draining(START)
            } else {
                Standing::Ready
            },
            started: if begins == Begins::Cold { START } else { 0 },
            sends: 0,
        });
        let mut world = World {
            balancer: Balancer::new(settings, seed, begun),
            now: begun,
            timers: BTreeSet::new(),
            requests: Vec::new(),
            servers: servers.collect(),
            used: Used::default(),
            log: None,
            mutant,
            scenario,
        };
        world.warm_up()?;
        let told: Vec<_> = world.servers.iter().map(World::entry).collect();
        world.list(ListKind::Whole, told)?;
        Ok(world)
    }

    fn new_request(id: RequestId, kind: Kind) -> NewRequest {
        let (class, left) = (kind.class(), DEADLINE);
        NewRequest {
            id,
            class,
            tenant: 0,
            key: 0,
            time_left: left,
            work_hint: None,
            client_retry: false,
        }
    }

    fn answer(
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: Micros,
        finished: bool,
    ) -> Event<'static> {
        let report = LoadReport([0.0, 0.0].into_iter().collect());
        Event::Answer { id, attempt, server, outcome, latency, finished, report }
    }

    fn entry(server: &Server) -> ServerEntry {
        let health = match server.standing {
            Standing::Ready => Health::Ready,
            Standing::Draining(_) => Health::Draining,
            Standing::Gone => Health::Gone,
        };
        Scenario::entry(server.id, server.zone, health, server.started)
    }

    /// Writes down from here on what happens.
    pub fn record(&mut self) {
        self.log = Some(Vec::new());
    }

    /// What has been written down.
    pub fn recorded(&self) -> &[String] {
        self.log.as_deref().unwrap_or_default()
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            let since = self.now - START;
            log.push(format!("{:>4}.{:03} ms  {}", since / MS, since % MS, line()));
        }
    }

    /// What the path has used of its bounds.
    pub fn used(&self) -> Used {
        self.used
    }

    /// The requests that have come, by the world's books.
    pub fn requests(&self) -> &[Request] {
        &self.requests
    }

    /// The servers, by the world's books.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// A number for this state: of balancer, books, timers, clock and bounds. Two states of one scenario that differ
    /// have the same one by chance alone (one pair in 2^64).
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.balancer.fingerprint(&mut hasher);
        (self.now, &self.timers, &self.requests, &self.servers).hash(&mut hasher);
        (self.used.list_changes, self.used.late).hash(&mut hasher);
        hasher.finish()
    }

    /// All of the state but the count of events, as text: what [`World::fingerprint`] stands for.
    pub fn shown(&self) -> String {
        let World { balancer, now, timers, requests, servers, used, .. } = self;
        let (list_changes, late) = (used.list_changes, used.late);
        format!("{balancer:?} {now} {timers:?} {requests:?} {servers:?} {list_changes} {late}")
    }
}
