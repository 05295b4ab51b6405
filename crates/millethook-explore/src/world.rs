//! One balancer and its environment on a virtual clock: the world lists the possible next steps, executes one of them,
//! and checks the balancer's actions.

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
use crate::records::{Attempt, AttemptProgress, Request, Server, ServerStatus};
use crate::scenario::{
    Bounds, DEADLINE, DRAIN_GRACE, InitialState, MAX_CANCEL_DELAY, MAX_OUTCOME_DELAY,
    MAX_TIMER_DELAY, MS, RequestKind, START, Scenario, WINDOW,
};
use crate::step::{Ending, ListChange, Step};

mod actions;
mod play;
mod steps;
mod warm_up;

/// First request ID of the warm-up.
const FIRST_WARM_UP_ID: u64 = 1_000_000;
/// The interval between requests of the warm-up, as at a sidecar with little load.
const WARM_UP_INTERVAL: Micros = 60 * MS;
/// The latency of answers in the warm-up.
const WARM_UP_LATENCY: Micros = 20 * MS;
/// Steps of [`World::run_until_idle`] after which the world counts as never becoming idle.
const MAX_STEPS_UNTIL_IDLE: usize = 10_000;

/// How much of the bounds a path has used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct BoundsUsed {
    /// Counted steps so far.
    pub events: u8,
    /// List changes so far.
    pub list_changes: u8,
    /// How often a due timer or outcome was late.
    pub late: u8,
}

/// One balancer and its environment.
#[derive(Clone, Debug)]
pub struct World {
    scenario: Arc<Scenario>,
    mutant: Option<Mutant>,
    balancer: Balancer,
    now: Micros,
    timers: BTreeSet<(Micros, u32)>,
    requests: Vec<Request>,
    servers: Vec<Server>,
    used: BoundsUsed,
    /// A readable log of the steps; `None` if it is not recorded.
    log: Option<Vec<String>>,
}

impl World {
    /// Creates the world at the start of the exploration: the warm-up is over and nothing is in progress.
    ///
    /// # Errors
    /// The balancer panicked or its own invariant check failed during the warm-up.
    pub fn new(
        scenario: Arc<Scenario>,
        seed: u64,
        mutant: Option<Mutant>,
    ) -> Result<World, Finding> {
        let mut settings = scenario.settings();
        if let Some(mutant) = mutant {
            mutant.settings(&mut settings);
        }
        let warm_up_start = START - (scenario.warm_up + 1) * WARM_UP_INTERVAL - DEADLINE;
        let servers = scenario.servers.iter().zip(1..).map(|(&(zone, initial), id)| Server {
            id: ServerId(id),
            zone,
            status: if initial == InitialState::Draining {
                ServerStatus::Draining(START)
            } else {
                ServerStatus::Ready
            },
            started: if initial == InitialState::Cold { START } else { 0 },
            sends: 0,
        });
        let mut world = World {
            balancer: Balancer::new(settings, seed, warm_up_start),
            now: warm_up_start,
            timers: BTreeSet::new(),
            requests: Vec::new(),
            servers: servers.collect(),
            used: BoundsUsed::default(),
            log: None,
            mutant,
            scenario,
        };
        world.warm_up()?;
        let reported: Vec<_> = world.servers.iter().map(World::entry).collect();
        world.list(ListKind::Whole, reported)?;
        Ok(world)
    }

    fn new_request(id: RequestId, kind: RequestKind) -> NewRequest {
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
        let health = match server.status {
            ServerStatus::Ready => Health::Ready,
            ServerStatus::Draining(_) => Health::Draining,
            ServerStatus::Gone => Health::Gone,
        };
        Scenario::entry(server.id, server.zone, health, server.started)
    }

    /// Starts recording the log of steps.
    pub fn start_recording(&mut self) {
        self.log = Some(Vec::new());
    }

    /// Returns the recorded log.
    pub fn log_lines(&self) -> &[String] {
        self.log.as_deref().unwrap_or_default()
    }

    fn log_line(&mut self, line: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            let since = self.now - START;
            log.push(format!("{:>4}.{:03} ms  {}", since / MS, since % MS, line()));
        }
    }

    /// Returns how much of its bounds the path has used.
    pub fn used(&self) -> BoundsUsed {
        self.used
    }

    /// Returns the requests that have arrived, from the world's records.
    pub fn requests(&self) -> &[Request] {
        &self.requests
    }

    /// Returns the servers, from the world's records.
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// Returns a hash of the state of balancer, records, timers, clock and bounds. Two different states of one scenario
    /// collide only by chance (one pair in 2^64).
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.balancer.fingerprint(&mut hasher);
        (self.now, &self.timers, &self.requests, &self.servers).hash(&mut hasher);
        (self.used.list_changes, self.used.late).hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the whole state except the event count as text: the state that [`World::fingerprint`] hashes.
    pub fn state_text(&self) -> String {
        let World { balancer, now, timers, requests, servers, used, .. } = self;
        let (list_changes, late) = (used.list_changes, used.late);
        format!("{balancer:?} {now} {timers:?} {requests:?} {servers:?} {list_changes} {late}")
    }
}
