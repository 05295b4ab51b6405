//! The fleet: clients, sidecars, network, servers and discovery on one virtual clock.

mod clients;
mod discovery;
mod driver;
mod event;
mod faults;
mod links;
mod network;
mod requests;
mod server;
mod serving;
mod sidecar;

use std::panic::{AssertUnwindSafe, catch_unwind};

use coppercart::api::Action;
use coppercart::settings::Settings;
use rustc_hash::FxHashMap;

pub use event::{AttemptId, SidecarLife};
pub use requests::{Attempt, Request};

use self::discovery::Registry;
use self::event::ScheduledEvent;
use self::links::Links;
use self::requests::Requests;
use self::server::Server;
use self::sidecar::Sidecar;
use crate::Micros;
use crate::injected_fault::{DecisionPath, InjectedFault};
use crate::judge::{Judge, Rule};
use crate::plan::{MS, Plan};
use crate::queue::Queue;
use crate::random::{Stream, StreamKind};
use crate::report::{Figures, Report};

/// Start of a run on the decisions' clock, whose origin is arbitrary. It equals the exploration's start because the
/// exploration's mutants depend on it.
const START: Micros = millethook_explore::scenario::START;
/// How long the run continues after the last deadline, for outcomes that are still in transit.
const GRACE_PERIOD: Micros = 1_000 * MS;

/// Why a plan cannot be run.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The decisions reject the settings of a sidecar.
    #[error("sidecar {sidecar}: {text}")]
    Settings {
        /// The sidecar.
        sidecar: usize,
        /// The key and what was expected.
        text: String,
    },
}

/// Runs a plan that has no [`Plan::problems`]. `injected` is a fault between the fleet and the decisions.
///
/// # Errors
/// The decisions reject the plan's settings.
pub fn play(plan: &Plan, injected: Option<InjectedFault>) -> Result<Report, PlayError> {
    let mut fleet = Fleet::new(plan, injected)?;
    let completed = catch_unwind(AssertUnwindSafe(|| fleet.run())).is_ok();
    if !completed {
        let now = fleet.now;
        fleet.judge.record(Rule::Panic, now, || "the decisions panicked".to_owned());
    }
    let findings = fleet.judge.findings().to_vec();
    Ok(Report { figures: fleet.figures, findings, found: fleet.judge.count() })
}

struct Fleet<'p> {
    plan: &'p Plan,
    path: DecisionPath,
    now: Micros,
    queue: Queue<ScheduledEvent>,
    sidecars: Vec<Sidecar>,
    settings: Vec<Settings>,
    /// All servers that ever existed; the index identifies a server.
    servers: Vec<Server>,
    /// The current server at each position of the plan.
    current_servers: Vec<usize>,
    /// The position of each server in the plan.
    position_of: Vec<usize>,
    registry: Registry,
    /// The servers that active faults affect, by the fault's number.
    affected: FxHashMap<usize, Vec<usize>>,
    links: Links,
    requests: Requests,
    judge: Judge,
    figures: Figures,
    /// Random numbers for the servers' errors.
    error_random: Stream,
    /// Cumulative sums of the classes' shares.
    shares: Vec<f64>,
    fault_has_begun: bool,
    actions: Vec<Action>,
}

impl<'p> Fleet<'p> {
    fn new(plan: &'p Plan, injected: Option<InjectedFault>) -> Result<Fleet<'p>, PlayError> {
        let path = DecisionPath(injected);
        let mut settings = Vec::new();
        for sidecar in 0..plan.sidecars.count {
            let refused = |text| PlayError::Settings { sidecar, text };
            let mut sidecar_settings = plan.settings(sidecar).map_err(refused)?;
            path.settings(&mut sidecar_settings);
            settings.push(sidecar_settings);
        }
        let count = plan.servers.count;
        let sums = plan.classes.iter().scan(0.0, |sum, class| {
            *sum += class.share;
            Some(*sum)
        });
        Ok(Fleet {
            plan,
            path,
            now: START,
            queue: Queue::default(),
            sidecars: (0..plan.sidecars.count).map(|n| Sidecar::new(plan.seed, n)).collect(),
            settings,
            servers: (0..count).map(|n| Server::new(plan, n, plan.zone(n), None)).collect(),
            current_servers: (0..count).collect(),
            position_of: (0..count).collect(),
            registry: Registry::default(),
            affected: FxHashMap::default(),
            links: Links::default(),
            requests: Requests::default(),
            judge: Judge::new(plan, START),
            figures: Figures::default(),
            error_random: Stream::new(plan.seed, StreamKind::Servers, 0),
            shares: sums.collect(),
            fault_has_begun: false,
            actions: Vec::new(),
        })
    }

    /// Returns when requests stop arriving.
    fn load_ends(&self) -> Micros {
        START + self.plan.duration_ms * MS
    }

    fn run(&mut self) {
        for sidecar in 0..self.sidecars.len() {
            self.start_sidecar(sidecar);
            let first = self.next_interarrival(sidecar);
            self.queue.schedule(START + first, ScheduledEvent::Arrival(sidecar));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.queue.schedule(START + fault.at_ms * MS, ScheduledEvent::FaultBegins(number));
        }
        let faults = self.plan.faults.iter();
        let last = faults.map(|fault| (fault.at_ms + fault.for_ms) * MS).max().unwrap_or(0);
        let load = self.plan.duration_ms * MS;
        let end = START + load.max(last) + self.plan.longest_deadline() + GRACE_PERIOD;
        while let Some((at, scheduled)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            if self.figures.events > self.plan.most_events {
                let most = self.plan.most_events;
                self.judge.record(Rule::Bounded, at, || format!("more than {most} events"));
                return;
            }
            self.dispatch(scheduled);
        }
        self.check_final_state();
    }

    /// Passes an event to the part that handles it. An event for a paused sidecar is deferred until the pause ends.
    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        if let Some(life) = scheduled.life() {
            let sidecar = &self.sidecars[life.sidecar];
            if sidecar.instance != life {
                return self.drop_stale(&scheduled);
            }
            if self.now < sidecar.paused_until {
                return self.queue.schedule(sidecar.paused_until, scheduled);
            }
        }
        match scheduled {
            ScheduledEvent::Arrival(sidecar) => self.arrival(sidecar),
            ScheduledEvent::Request(instance, head) => self.request(instance, head),
            ScheduledEvent::ClientLeaves(instance, request) => {
                self.client_leaves(instance, request)
            }
            ScheduledEvent::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            ScheduledEvent::WorkFinished(server, life, attempt) => {
                self.work_finished(server, life, attempt)
            }
            ScheduledEvent::AttemptEnded(_, attempt, ending, report) => {
                self.attempt_ended(attempt, ending, report)
            }
            ScheduledEvent::Timer(instance, token) => self.timer(instance.sidecar, token),
            ScheduledEvent::Changes(instance, version) => self.changes(instance, version),
            ScheduledEvent::WholeList(instance) => self.whole_list(instance),
            ScheduledEvent::Call(instance) => self.registry_call(instance),
            ScheduledEvent::CallFails(instance) => self.call_fails(instance),
            ScheduledEvent::CallFinished => self.call_finished(),
            ScheduledEvent::FaultBegins(number) => self.fault_begins(number),
            ScheduledEvent::FaultEnds(number) => self.fault_ends(number),
        }
    }

    /// Drops an event for a process that has ended.
    fn drop_stale(&mut self, scheduled: &ScheduledEvent) {
        if let ScheduledEvent::Request(..) = scheduled {
            self.figures.not_taken += 1;
        }
    }

    /// Checks at the end of the run that nothing is open and that service has recovered.
    fn check_final_state(&mut self) {
        let now = self.now;
        for number in self.requests.unanswered() {
            if let Some(request) = self.requests.get(number) {
                self.judge.unanswered(number, request, now);
            }
        }
        for (number, sidecar) in self.sidecars.iter().enumerate() {
            let held = sidecar.balancer.as_ref().map_or(0, |balancer| balancer.open_requests());
            if held > 0 {
                self.judge
                    .record(Rule::NothingLeft, now, || format!("sidecar {number} holds {held}"));
            }
        }
        if let Some(shortfall) = self.judge.service.shortfall() {
            self.judge.record(Rule::ServiceBack, now, || shortfall);
        }
    }
}
