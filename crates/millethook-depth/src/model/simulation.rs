//! The simulation loop and its events.

use coppercart::api::{
    Action, Event, Health, ListKind, LoadReport, NewRequest, Outcome, RequestId, ServerEntry,
    ServerId,
};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::{Attempt, AttemptId, Call, Calls};
use super::queue::{Queue, ScheduledEvent, SidecarAt};
use super::server::{Admission, Job, Server, ServerAt};
use crate::chain::{Chain, Micros};
use crate::tally::Tally;

/// Start of a run: the decision module accepts any start of its clock.
const START_TIME: Micros = 1_000_000_000;
/// One-way latency between a sidecar and a server.
const ONE_WAY_LATENCY_US: Micros = 100;
/// Maximum processing time, in mean processing times.
const MAX_WORK_FACTOR: f64 = 10.0;

/// Simulates a chain.
///
/// # Errors
/// The decision module rejects the chain's settings; the text names the key and the expected value.
pub fn play(chain: &Chain) -> Result<Tally, String> {
    let mut simulation = Simulation::new(chain)?;
    simulation.run();
    Ok(simulation.tally)
}

struct Simulation<'a> {
    chain: &'a Chain,
    now: Micros,
    random: ChaCha8Rng,
    queue: Queue,
    calls: Calls,
    /// Indexed by tier and number.
    servers: Vec<Vec<Server>>,
    /// Indexed by the tier that they call, and number.
    sidecars: Vec<Vec<Balancer>>,
    tally: Tally,
}

impl<'a> Simulation<'a> {
    fn new(chain: &'a Chain) -> Result<Simulation<'a>, String> {
        let mut sidecars = Vec::new();
        for tier in 0..chain.depth {
            let settings = Settings::from_json(chain.settings(tier).to_string().as_bytes())?;
            let start = |number: usize| {
                let seed = chain.seed ^ ((tier * chain.servers + number + 1) as u64) << 32;
                Balancer::new(settings.clone(), seed, START_TIME)
            };
            sidecars.push((0..chain.servers).map(start).collect());
        }
        let tier = || (0..chain.servers).map(|_| Server::default()).collect();
        Ok(Simulation {
            chain,
            now: START_TIME,
            random: ChaCha8Rng::seed_from_u64(chain.seed),
            queue: Queue::default(),
            calls: Calls::default(),
            servers: (0..chain.depth).map(|_| tier()).collect(),
            sidecars,
            tally: Tally::new(chain.depth),
        })
    }

    fn run(&mut self) {
        for tier in 0..self.chain.depth {
            for number in 0..self.chain.servers {
                let entries: Vec<ServerEntry> = (0..self.chain.servers).map(entry).collect();
                let list = Event::Servers { kind: ListKind::Whole, entries: &entries };
                self.handle_event(SidecarAt { tier, number }, list);
            }
        }
        self.queue.add(START_TIME, ScheduledEvent::Call);
        // All calls made in the counted time have their answer by then.
        let end = self.counted_range().1 + 2 * self.chain.deadline(0);
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.dispatch(event);
        }
    }

    fn counted_range(&self) -> (Micros, Micros) {
        let from = START_TIME + self.chain.warm_up;
        (from, from + self.chain.counted)
    }

    fn is_counted(&self) -> bool {
        let (from, until) = self.counted_range();
        (from..until).contains(&self.now)
    }

    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Call => self.call_root(),
            ScheduledEvent::Arrival(server, job) => self.on_arrival(server, job),
            ScheduledEvent::WorkDone(server, job) => self.on_work_done(server, job),
            ScheduledEvent::AnswerArrival(attempt, outcome, report) => {
                self.on_answer(attempt, outcome, report)
            }
            ScheduledEvent::Timer(sidecar, token) => {
                self.handle_event(sidecar, Event::Timer { token })
            }
        }
    }

    fn call_root(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() * 1e6 / self.chain.rate();
        self.queue.add(self.now + gap as Micros, ScheduledEvent::Call);
        let number = self.random.random_range(0..self.chain.servers);
        let sidecar = SidecarAt { tier: 0, number };
        self.call(sidecar, None, self.chain.deadline(0));
    }

    fn call(&mut self, sidecar: SidecarAt, caller: Option<(ServerAt, AttemptId)>, left: Micros) {
        let counted = caller.is_none() && self.is_counted();
        self.tally.calls += u64::from(counted);
        let call = Call { sidecar, caller, attempts: Vec::new(), ended: false, counted };
        let number = self.calls.add(call);
        let new = NewRequest {
            id: RequestId(number),
            class: 0,
            tenant: 0,
            key: self.random.random(),
            time_left: left,
            work_hint: None,
            client_retry: false,
        };
        self.handle_event(sidecar, Event::Request(new));
    }

    /// Passes an event to a sidecar's decision module and performs the resulting actions.
    fn handle_event(&mut self, sidecar: SidecarAt, event: Event<'_>) {
        let mut actions = Vec::new();
        let balancer = &mut self.sidecars[sidecar.tier][sidecar.number];
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.perform(sidecar, action);
        }
    }

    fn perform(&mut self, sidecar: SidecarAt, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(sidecar, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { call: id.0, number: attempt };
                self.queue.add(
                    self.now,
                    ScheduledEvent::AnswerArrival(attempt, Outcome::Cancelled, [0.0; 2]),
                );
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end(id.0, Outcome::Error),
            Action::Timer { delay, token } => {
                let at = self.now.saturating_add(delay);
                self.queue.add(at, ScheduledEvent::Timer(sidecar, token));
            }
            Action::Probe { .. }
            | Action::PassOn { .. }
            | Action::CloseIdle { .. }
            | Action::Subscribe
            | Action::FetchList
            | Action::Tell { .. }
            | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, sidecar: SidecarAt, id: RequestId, server: ServerId, timeout: Micros) {
        let Some(call) = self.calls.get(id.0) else { return };
        let server = ServerAt { tier: sidecar.tier, number: server.0 as usize - 1 };
        let attempt = AttemptId { call: id.0, number: call.attempts.len() };
        call.attempts.push(Attempt { server, sent: self.now, open: true });
        let job = Job { attempt, deadline: self.now + timeout };
        self.queue.add(self.now + ONE_WAY_LATENCY_US, ScheduledEvent::Arrival(server, job));
        let late = ScheduledEvent::AnswerArrival(attempt, Outcome::TimedOut, [0.0; 2]);
        self.queue.add(self.now + timeout, late);
    }

    fn on_arrival(&mut self, at: ServerAt, job: Job) {
        let counted = self.is_counted();
        self.tally.attempts[at.tier] += u64::from(counted);
        let (slots, queue) = (self.chain.slots, self.chain.queue);
        let server = &mut self.servers[at.tier][at.number];
        match server.admit(job, slots, queue) {
            Admission::Started => self.start_work(at, job),
            Admission::Queued => {}
            Admission::Refused => self.answer(at, job.attempt, Outcome::Full),
        }
    }

    fn start_work(&mut self, at: ServerAt, job: Job) {
        let counted = self.is_counted();
        self.tally.worked[at.tier] += u64::from(counted);
        let factor = -(1.0 - self.random.random::<f64>()).ln();
        let duration = self.chain.mean_work as f64 * factor.min(MAX_WORK_FACTOR);
        self.queue.add(self.now + duration as Micros, ScheduledEvent::WorkDone(at, job));
    }

    fn on_work_done(&mut self, at: ServerAt, job: Job) {
        if let Some(next) = self.servers[at.tier][at.number].free_slot() {
            self.start_work(at, next);
        }
        let is_bad = self.chain.bad_tier == Some(at.tier);
        if is_bad && self.random.random::<f64>() < self.chain.error_share {
            return self.answer(at, job.attempt, Outcome::Error);
        }
        if at.tier + 1 == self.chain.depth {
            return self.answer(at, job.attempt, Outcome::Served);
        }
        // The remaining time is passed on in whole milliseconds.
        let left = job.deadline.saturating_sub(self.now) / 1_000 * 1_000;
        if left == 0 {
            return self.answer(at, job.attempt, Outcome::Error);
        }
        let sidecar = SidecarAt { tier: at.tier + 1, number: at.number };
        self.call(sidecar, Some((at, job.attempt)), left);
    }

    fn answer(&mut self, from: ServerAt, attempt: AttemptId, outcome: Outcome) {
        let report = self.servers[from.tier][from.number].report();
        self.queue.add(
            self.now + ONE_WAY_LATENCY_US,
            ScheduledEvent::AnswerArrival(attempt, outcome, report),
        );
    }

    fn on_answer(&mut self, id: AttemptId, outcome: Outcome, report: [f32; 2]) {
        let Some(call) = self.calls.get(id.call) else { return };
        let sidecar = call.sidecar;
        let Some(attempt) = call.attempts.get_mut(id.number).filter(|a| a.open) else { return };
        attempt.open = false;
        let (server, sent) = (attempt.server, attempt.sent);
        let finished = call.ended || outcome == Outcome::Served;
        if outcome == Outcome::Served {
            self.end(id.call, Outcome::Served);
        }
        let event = Event::Answer {
            id: RequestId(id.call),
            attempt: id.number,
            server: ServerId(server.number as u64 + 1),
            outcome,
            latency: self.now - sent,
            finished,
            report: LoadReport(report.into_iter().collect()),
        };
        self.handle_event(sidecar, event);
        self.calls.forget(id.call);
    }

    /// Ends a call and passes its final answer to the caller.
    fn end(&mut self, number: u64, outcome: Outcome) {
        let Some(call) = self.calls.get(number).filter(|call| !call.ended) else { return };
        call.ended = true;
        let (caller, counted) = (call.caller, call.counted);
        match caller {
            Some((server, attempt)) => self.answer(server, attempt, outcome),
            None => self.tally.served += u64::from(counted && outcome == Outcome::Served),
        }
        self.calls.forget(number);
    }
}

/// Returns a server's entry in the server list.
fn entry(number: usize) -> ServerEntry {
    ServerEntry {
        id: ServerId(number as u64 + 1),
        zone: 0,
        kind: 0,
        cell: number as u16,
        health: Health::Ready,
        power: 1.0,
        started: 0,
    }
}
