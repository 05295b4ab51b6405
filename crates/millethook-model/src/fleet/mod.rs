//! The fleet: clients, sidecars, network, servers and discovery on one virtual clock.

mod clients;
mod discovery;
mod due;
mod faults;
mod links;
mod network;
mod requests;
mod server;
mod serving;
mod sidecar;
mod telling;

use std::panic::{AssertUnwindSafe, catch_unwind};

use coppercart::api::Action;
use coppercart::settings::Settings;
use rustc_hash::FxHashMap;

pub use due::{AttemptId, SidecarLife};
pub use requests::{Attempt, Request};

use self::discovery::Registry;
use self::due::Due;
use self::links::Links;
use self::requests::Requests;
use self::server::Server;
use self::sidecar::Sidecar;
use crate::Micros;
use crate::judge::{Judge, Rule};
use crate::plan::{MS, Plan};
use crate::queue::Queue;
use crate::random::{Part, Stream};
use crate::report::{Figures, Report};
use crate::wrong::{Path, Wrong};

/// When a run begins on the decisions' clock, which starts anywhere. As in the exploration, whose faults on the way to
/// the decisions know it.
const START: Micros = millethook_explore::scenario::START;
/// How long the run goes on after the last client's time is over, for outcomes that are still on their way.
const REST: Micros = 1_000 * MS;

/// Why a plan cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    /// The decisions refuse the settings of a sidecar.
    #[error("sidecar {sidecar}: {text}")]
    Settings {
        /// The sidecar.
        sidecar: usize,
        /// The key and what was expected.
        text: String,
    },
}

/// Plays a plan whose [`Plan::problems`] are none. `wrong`: a fault between the fleet and the decisions.
///
/// # Errors
/// The decisions refuse the plan's settings.
pub fn play(plan: &Plan, wrong: Option<Wrong>) -> Result<Report, PlayError> {
    let mut fleet = Fleet::new(plan, wrong)?;
    let whole = catch_unwind(AssertUnwindSafe(|| fleet.run())).is_ok();
    if !whole {
        let now = fleet.now;
        fleet.judge.find(Rule::Panic, now, || "the decisions panicked".to_owned());
    }
    let findings = fleet.judge.findings().to_vec();
    Ok(Report { figures: fleet.figures, findings, found: fleet.judge.count() })
}

struct Fleet<'p> {
    plan: &'p Plan,
    path: Path,
    now: Micros,
    queue: Queue<Due>,
    sidecars: Vec<Sidecar>,
    settings: Vec<Settings>,
    /// All that ever were; numbers are names.
    servers: Vec<Server>,
    /// The server that is at each place of the plan.
    places: Vec<usize>,
    /// The place of each server.
    place_of: Vec<usize>,
    registry: Registry,
    /// The servers that faults hold, by the fault's number.
    hit: FxHashMap<usize, Vec<usize>>,
    links: Links,
    requests: Requests,
    judge: Judge,
    figures: Figures,
    /// What servers do by chance.
    chance: Stream,
    /// The sums of the classes' shares.
    shares: Vec<f64>,
    fault_has_begun: bool,
    actions: Vec<Action>,
}

impl<'p> Fleet<'p> {
    fn new(plan: &'p Plan, wrong: Option<Wrong>) -> Result<Fleet<'p>, PlayError> {
        let path = Path(wrong);
        let mut settings = Vec::new();
        for sidecar in 0..plan.sidecars.count {
            let refused = |text| PlayError::Settings { sidecar, text };
            let mut own = plan.settings(sidecar).map_err(refused)?;
            path.settings(&mut own);
            settings.push(own);
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
            places: (0..count).collect(),
            place_of: (0..count).collect(),
            registry: Registry::default(),
            hit: FxHashMap::default(),
            links: Links::default(),
            requests: Requests::default(),
            judge: Judge::new(plan, START),
            figures: Figures::default(),
            chance: Stream::new(plan.seed, Part::Servers, 0),
            shares: sums.collect(),
            fault_has_begun: false,
            actions: Vec::new(),
        })
    }

    /// When load ends.
    fn load_ends(&self) -> Micros {
        START + self.plan.duration_ms * MS
    }

    fn run(&mut self) {
        for sidecar in 0..self.sidecars.len() {
            self.start_sidecar(sidecar);
            let first = self.next_gap(sidecar);
            self.queue.add(START + first, Due::Arrival(sidecar));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.queue.add(START + fault.at_ms * MS, Due::FaultBegins(number));
        }
        let faults = self.plan.faults.iter();
        let last = faults.map(|fault| (fault.at_ms + fault.for_ms) * MS).max().unwrap_or(0);
        let load = self.plan.duration_ms * MS;
        let end = START + load.max(last) + self.plan.longest_deadline() + REST;
        while let Some((at, due)) = self.queue.take() {
            if at > end {
                break;
            }
            self.now = at;
            self.figures.events += 1;
            if self.figures.events > self.plan.most_events {
                let most = self.plan.most_events;
                self.judge.find(Rule::Bounded, at, || format!("more than {most} events"));
                return;
            }
            self.happens(due);
        }
        self.close();
    }

    /// Gives an event to the part that it is of. What comes to a sidecar that stands still waits for it.
    fn happens(&mut self, due: Due) {
        if let Some(life) = due.life() {
            let sidecar = &self.sidecars[life.sidecar];
            if sidecar.at != life {
                return self.void(&due);
            }
            if self.now < sidecar.paused_until {
                return self.queue.add(sidecar.paused_until, due);
            }
        }
        match due {
            Due::Arrival(sidecar) => self.arrival(sidecar),
            Due::Request(at, asked) => self.request(at, asked),
            Due::Leave(at, request) => self.leave(at, request),
            Due::Reaches(attempt) => self.reaches(attempt),
            Due::Worked(server, life, attempt) => self.worked(server, life, attempt),
            Due::Ended(_, attempt, ending, report) => self.ended(attempt, ending, report),
            Due::Timer(at, token) => self.timer(at.sidecar, token),
            Due::Changes(at, version) => self.changes(at, version),
            Due::WholeList(at) => self.whole_list(at),
            Due::Call(at) => self.call(at),
            Due::CallFails(at) => self.call_fails(at),
            Due::CallWorked => self.call_worked(),
            Due::FaultBegins(number) => self.fault_begins(number),
            Due::FaultEnds(number) => self.fault_ends(number),
        }
    }

    /// An event for a process that has ended.
    fn void(&mut self, due: &Due) {
        if let Due::Request(..) = due {
            self.figures.not_taken += 1;
        }
    }

    /// The run is over: nothing may be open.
    fn close(&mut self) {
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
                    .find(Rule::NothingLeft, now, || format!("sidecar {number} holds {held}"));
            }
        }
        if let Some(wrong) = self.judge.service.wrong() {
            self.judge.find(Rule::ServiceBack, now, || wrong);
        }
    }
}
