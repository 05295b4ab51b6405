//! The events of a run.

use coppercart::api::{
    Action, Event, Health, ListKind, LoadReport, NewRequest, Outcome, RequestId, ServerEntry,
    ServerId,
};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::{Attempt, AttemptId, Call, Calls};
use super::queue::{Due, Queue, SidecarAt};
use super::server::{Admission, Job, Server, ServerAt};
use crate::chain::{Chain, Micros};
use crate::tally::Tally;

/// When a run begins: the decisions' clock starts anywhere.
const START: Micros = 1_000_000_000;
/// The way between a sidecar and a server, in one direction.
const WAY: Micros = 100;
/// The longest that work takes, in means.
const LONGEST_WORK: f64 = 10.0;

/// Plays a chain.
///
/// # Errors
/// The decisions refuse the chain's settings; the text names key and what was expected.
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
    /// By tier and number.
    servers: Vec<Vec<Server>>,
    /// By the tier that they call, and number.
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
                Balancer::new(settings.clone(), seed, START)
            };
            sidecars.push((0..chain.servers).map(start).collect());
        }
        let tier = || (0..chain.servers).map(|_| Server::default()).collect();
        Ok(Simulation {
            chain,
            now: START,
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
                self.tell(SidecarAt { tier, number }, list);
            }
        }
        self.queue.add(START, Due::Call);
        // What was called in the counted time has its answer by then.
        let end = self.counted().1 + 2 * self.chain.deadline(0);
        while let Some((at, due)) = self.queue.take() {
            if at > end {
                return;
            }
            self.now = at;
            self.happens(due);
        }
    }

    fn counted(&self) -> (Micros, Micros) {
        let from = START + self.chain.warm_up;
        (from, from + self.chain.counted)
    }

    fn is_counted(&self) -> bool {
        let (from, until) = self.counted();
        (from..until).contains(&self.now)
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Call => self.call_at_the_root(),
            Due::Reaches(server, job) => self.reaches(server, job),
            Due::Worked(server, job) => self.worked(server, job),
            Due::Answered(attempt, outcome, report) => self.answered(attempt, outcome, report),
            Due::Timer(sidecar, token) => self.tell(sidecar, Event::Timer { token }),
        }
    }

    fn call_at_the_root(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() * 1e6 / self.chain.rate();
        self.queue.add(self.now + gap as Micros, Due::Call);
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
        self.tell(sidecar, Event::Request(new));
    }

    /// Tells a sidecar's decisions of an event, and does what they say.
    fn tell(&mut self, sidecar: SidecarAt, event: Event<'_>) {
        let mut actions = Vec::new();
        let balancer = &mut self.sidecars[sidecar.tier][sidecar.number];
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            self.act(sidecar, action);
        }
    }

    fn act(&mut self, sidecar: SidecarAt, action: Action) {
        match action {
            Action::Send { id, server, timeout, .. } => self.send(sidecar, id, server, timeout),
            Action::Cancel { id, attempt } => {
                let attempt = AttemptId { call: id.0, number: attempt };
                self.queue.add(self.now, Due::Answered(attempt, Outcome::Cancelled, [0.0; 2]));
            }
            Action::Refuse { id, .. } | Action::Fail { id } => self.end(id.0, Outcome::Error),
            Action::Timer { delay, token } => {
                let at = self.now.saturating_add(delay);
                self.queue.add(at, Due::Timer(sidecar, token));
            }
            Action::Probe { .. }
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
        self.queue.add(self.now + WAY, Due::Reaches(server, job));
        let late = Due::Answered(attempt, Outcome::TimedOut, [0.0; 2]);
        self.queue.add(self.now + timeout, late);
    }

    fn reaches(&mut self, at: ServerAt, job: Job) {
        let counted = self.is_counted();
        self.tally.attempts[at.tier] += u64::from(counted);
        let (slots, queue) = (self.chain.slots, self.chain.queue);
        let server = &mut self.servers[at.tier][at.number];
        match server.admit(job, slots, queue) {
            Admission::Works => self.work(at, job),
            Admission::Waits => {}
            Admission::Full => self.answer(at, job.attempt, Outcome::Full),
        }
    }

    fn work(&mut self, at: ServerAt, job: Job) {
        let counted = self.is_counted();
        self.tally.worked[at.tier] += u64::from(counted);
        let drawn = -(1.0 - self.random.random::<f64>()).ln();
        let takes = self.chain.work as f64 * drawn.min(LONGEST_WORK);
        self.queue.add(self.now + takes as Micros, Due::Worked(at, job));
    }

    fn worked(&mut self, at: ServerAt, job: Job) {
        if let Some(next) = self.servers[at.tier][at.number].free() {
            self.work(at, next);
        }
        let bad = self.chain.bad_tier == Some(at.tier);
        if bad && self.random.random::<f64>() < self.chain.errors {
            return self.answer(at, job.attempt, Outcome::Error);
        }
        if at.tier + 1 == self.chain.depth {
            return self.answer(at, job.attempt, Outcome::Served);
        }
        // Times are told in whole milliseconds.
        let left = job.deadline.saturating_sub(self.now) / 1_000 * 1_000;
        if left == 0 {
            return self.answer(at, job.attempt, Outcome::Error);
        }
        let sidecar = SidecarAt { tier: at.tier + 1, number: at.number };
        self.call(sidecar, Some((at, job.attempt)), left);
    }

    fn answer(&mut self, from: ServerAt, attempt: AttemptId, outcome: Outcome) {
        let report = self.servers[from.tier][from.number].report();
        self.queue.add(self.now + WAY, Due::Answered(attempt, outcome, report));
    }

    fn answered(&mut self, id: AttemptId, outcome: Outcome, report: [f32; 2]) {
        let Some(call) = self.calls.get(id.call) else { return };
        let sidecar = call.sidecar;
        let Some(attempt) = call.attempts.get_mut(id.number).filter(|a| a.open) else { return };
        attempt.open = false;
        let (server, sent) = (attempt.server, attempt.sent);
        let finished = call.ended || outcome == Outcome::Served;
        if outcome == Outcome::Served {
            self.end(id.call, Outcome::Served);
        }
        let told = Event::Answer {
            id: RequestId(id.call),
            attempt: id.number,
            server: ServerId(server.number as u64 + 1),
            outcome,
            latency: self.now - sent,
            finished,
            report: LoadReport(report.into_iter().collect()),
        };
        self.tell(sidecar, told);
        self.calls.forget(id.call);
    }

    /// A call's final answer, told to its caller.
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

/// A server as lists name it.
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
