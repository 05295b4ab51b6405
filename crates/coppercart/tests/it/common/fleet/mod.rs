//! A closed-loop simulation of balancers, servers with queues and retrying clients on a virtual
//! clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;

use coppercart::api::*;
use coppercart::decide::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, START, server};

mod scenario;

pub use scenario::*;

/// How long a full server takes to refuse.
const REFUSAL_DELAY: Micros = MS;

/// The load balancer under test, between clients and servers.
pub trait LoadBalancer {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);
}

impl LoadBalancer for Balancer {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

enum SimEvent {
    Arrival,
    SendRequest { operation: u64 },
    Outcome { request: u64, attempt: usize, outcome: Outcome },
    WorkDone { server: u64, request: u64, attempt: usize },
    Timer { balancer: usize, token: u32 },
    Report { server: u64 },
    ReportVisible { server: u64, report: LoadReport },
    HangEnds,
}

#[derive(Default)]
struct SimServer {
    waiting: VecDeque<(u64, usize)>,
    working: usize,
    visible_report: LoadReport,
}

struct Operation {
    class: usize,
    balancer: usize,
    requests_sent: u32,
}

struct SentAttempt {
    server: ServerId,
    sent: Micros,
    work: Micros,
}

struct ClientRequest {
    started: Micros,
    operation: u64,
    /// None once the attempt has ended.
    attempts: Vec<Option<SentAttempt>>,
    ended: bool,
}

pub struct Fleet {
    scenario: Scenario,
    balancers: Vec<Box<dyn LoadBalancer>>,
    now: Micros,
    random: Pcg64Mcg,
    events: BTreeMap<(Micros, u64), SimEvent>,
    scheduled: u64,
    servers: Vec<SimServer>,
    operations: Vec<Operation>,
    requests: HashMap<u64, ClientRequest>,
    /// Indexed by the number of the interval since the start.
    counts: Vec<IntervalCounts>,
}

impl Fleet {
    /// `seed` determines all random numbers.
    pub fn new(scenario: Scenario, balancers: Vec<Box<dyn LoadBalancer>>, seed: u64) -> Fleet {
        let intervals = (scenario.end - START).div_ceil(INTERVAL) as usize + 1;
        let mut fleet = Fleet {
            balancers,
            now: START,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: BTreeMap::new(),
            scheduled: 0,
            servers: (0..scenario.servers).map(|_| SimServer::default()).collect(),
            operations: Vec::new(),
            requests: HashMap::new(),
            counts: vec![IntervalCounts::default(); intervals],
            scenario,
        };
        fleet.schedule(0, SimEvent::Arrival);
        if let Some(hang) = &fleet.scenario.hang {
            fleet.schedule(hang.time.end - START, SimEvent::HangEnds);
        }
        if let Some(reports) = fleet.scenario.reports.clone() {
            for server in 0..fleet.scenario.servers {
                let delay = (fleet.uniform() * reports.period as f64) as Micros;
                fleet.schedule(delay, SimEvent::Report { server });
            }
        }
        fleet
    }

    pub fn run(&mut self) {
        let list: Vec<_> =
            (0..self.scenario.servers).map(|n| ServerEntry { zone: 0, ..server(n) }).collect();
        for balancer in 0..self.balancers.len() {
            self.event(balancer, Event::Servers { kind: ListKind::Remembered, entries: &list });
        }
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > self.scenario.end {
                return;
            }
            self.now = at;
            match event {
                SimEvent::Arrival => self.on_arrival(),
                SimEvent::SendRequest { operation } => self.send_request(operation),
                SimEvent::Outcome { request, attempt, outcome } => {
                    self.on_outcome(request, attempt, outcome);
                }
                SimEvent::WorkDone { server, request, attempt } => {
                    self.servers[server as usize].working -= 1;
                    self.on_outcome(request, attempt, Outcome::Served);
                    self.start_work(server);
                }
                SimEvent::Timer { balancer, token } => self.event(balancer, Event::Timer { token }),
                SimEvent::Report { server } => self.on_report(server),
                SimEvent::ReportVisible { server, report } => {
                    self.servers[server as usize].visible_report = report
                }
                SimEvent::HangEnds => {
                    (0..self.scenario.servers).for_each(|server| self.start_work(server))
                }
            }
        }
    }

    /// Returns the counts of the intervals that begin within `time`.
    pub fn intervals(&self, time: Range<Micros>) -> &[IntervalCounts] {
        let interval = |at: Micros| ((at - START) / INTERVAL) as usize;
        &self.counts[interval(time.start)..interval(time.end)]
    }

    fn schedule(&mut self, delay: Micros, event: SimEvent) {
        self.scheduled += 1;
        self.events.insert((self.now + delay, self.scheduled), event);
    }

    fn count(&mut self) -> &mut IntervalCounts {
        &mut self.counts[((self.now - START) / INTERVAL) as usize]
    }

    fn uniform(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: Micros) -> Micros {
        (-(1.0 - self.uniform()).ln() * mean as f64) as Micros
    }

    /// Returns a random number from `0..n`; draws nothing if `n` is 1.
    fn random_index(&mut self, n: usize) -> usize {
        if n == 1 { 0 } else { (self.uniform() * n as f64) as usize }
    }

    fn random_class(&mut self) -> usize {
        if self.scenario.classes.len() == 1 {
            return 0;
        }
        let mut remaining = self.uniform();
        let index = self.scenario.classes.iter().position(|class| {
            remaining -= class.share;
            remaining < 0.0
        });
        index.unwrap_or(0)
    }

    fn on_arrival(&mut self) {
        let phase = self.scenario.arrivals.iter().rfind(|arrivals| arrivals.0 <= self.now);
        let mean = phase.expect("an arrival phase begins at the start").1;
        let gap = self.exponential(mean);
        self.schedule(gap, SimEvent::Arrival);
        let class = self.random_class();
        let balancer = self.random_index(self.balancers.len());
        self.operations.push(Operation { class, balancer, requests_sent: 0 });
        self.count().operations += 1;
        self.send_request(self.operations.len() as u64 - 1);
    }

    fn send_request(&mut self, operation: u64) {
        let request = self.scheduled + 1;
        self.scheduled += 1;
        let started = self.now;
        self.requests.insert(
            request,
            ClientRequest { started, operation, attempts: Vec::new(), ended: false },
        );
        self.count().client_requests += 1;
        let state = &mut self.operations[operation as usize];
        state.requests_sent += 1;
        let (balancer, class) = (state.balancer, state.class);
        let request = NewRequest {
            id: RequestId(request),
            class,
            tenant: 0,
            key: 0,
            time_left: self.scenario.classes[class].client_timeout,
            work_hint: None,
            client_retry: false,
        };
        self.event(balancer, Event::Request(request));
    }

    fn event(&mut self, balancer: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancers[balancer].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout, .. } => self.send(id.0, server, timeout),
                Action::Cancel { id, attempt } => {
                    let outcome = Outcome::Cancelled;
                    self.schedule(0, SimEvent::Outcome { request: id.0, attempt, outcome });
                }
                Action::Refuse { id, retry_after } => self.on_unserved(id.0, retry_after),
                Action::Fail { id } => self.on_unserved(id.0, 0),
                Action::Timer { delay, token } => {
                    self.schedule(delay, SimEvent::Timer { balancer, token })
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, request: u64, server: ServerId, timeout: Micros) {
        self.count().attempts += 1;
        let state = self.requests.get_mut(&request).expect("the request was sent");
        state.attempts.push(Some(SentAttempt { server, sent: self.now, work: 0 }));
        let attempt = state.attempts.len() - 1;
        let full = self.servers[server.0 as usize].waiting.len() >= self.scenario.queue;
        let (delay, outcome) =
            if full { (REFUSAL_DELAY, Outcome::Full) } else { (timeout, Outcome::TimedOut) };
        self.schedule(delay, SimEvent::Outcome { request, attempt, outcome });
        if !full {
            self.servers[server.0 as usize].waiting.push_back((request, attempt));
            self.start_work(server.0);
        }
    }

    /// Starts the waiting requests of a server in order, even those that nobody waits for any more.
    fn start_work(&mut self, server: u64) {
        let is_hung = |hang: &Hang| hang.servers.contains(&server) && hang.time.contains(&self.now);
        if self.scenario.hang.as_ref().is_some_and(is_hung) {
            return;
        }
        while self.servers[server as usize].working < self.scenario.cores {
            let next = self.servers[server as usize].waiting.pop_front();
            let Some((request, attempt)) = next else { return };
            self.servers[server as usize].working += 1;
            let class = self.operations[self.requests[&request].operation as usize].class;
            let duration = self.exponential(self.scenario.classes[class].work);
            let state = self.requests.get_mut(&request).expect("the request was sent");
            if let Some(sent) = &mut state.attempts[attempt] {
                sent.work = duration;
            }
            self.add_busy(duration);
            self.schedule(duration, SimEvent::WorkDone { server, request, attempt });
        }
    }

    /// Adds the busy time of a core, from now on, to the intervals that it overlaps.
    fn add_busy(&mut self, duration: Micros) {
        let (mut at, end) = (self.now - START, self.now - START + duration);
        while at < end {
            let interval = at / INTERVAL;
            let until = end.min((interval + 1) * INTERVAL);
            if let Some(counts) = self.counts.get_mut(interval as usize) {
                counts.busy += until - at;
            }
            at = until;
        }
    }

    fn on_report(&mut self, server: u64) {
        let Some(reports) = self.scenario.reports.clone() else { return };
        let state = &self.servers[server as usize];
        let waiting = state.waiting.len();
        let values = [waiting as f32, (waiting + state.working) as f32];
        let report = LoadReport(values.into_iter().collect());
        self.schedule(reports.delay, SimEvent::ReportVisible { server, report });
        self.schedule(reports.period, SimEvent::Report { server });
    }

    fn on_outcome(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let Some(state) = self.requests.get_mut(&request) else { return };
        let Some(sent) = state.attempts[attempt].take() else { return };
        let served = outcome == Outcome::Served && !state.ended;
        state.ended |= served;
        let (started, operation, finished) = (state.started, state.operation as usize, state.ended);
        if served {
            self.on_served(started, operation, sent.work);
        }
        let report = self.servers[sent.server.0 as usize].visible_report.clone();
        let answered = matches!(outcome, Outcome::Served | Outcome::Full);
        let event = Event::Answer {
            id: RequestId(request),
            attempt,
            server: sent.server,
            outcome,
            latency: self.now - sent.sent,
            finished,
            report: if answered { report } else { LoadReport::default() },
        };
        self.event(self.operations[operation].balancer, event);
    }

    fn on_served(&mut self, started: Micros, operation: usize, work: Micros) {
        let class = self.operations[operation].class;
        let in_time = self.now - started <= self.scenario.classes[class].aim;
        let counts = self.count();
        counts.served += 1;
        counts.in_time += u64::from(in_time);
        counts.useful += if in_time { work } else { 0 };
    }

    /// Handles a request without an answer: the client retries.
    fn on_unserved(&mut self, request: u64, retry_after: Micros) {
        let state = self.requests.get_mut(&request).expect("the request was sent");
        if std::mem::replace(&mut state.ended, true) {
            return;
        }
        let operation = state.operation;
        self.count().refused += 1;
        if self.operations[operation as usize].requests_sent >= self.scenario.max_client_attempts {
            return;
        }
        if self.scenario.retry_pause + retry_after == 0 {
            return self.send_request(operation);
        }
        let retry_pause = self.exponential(self.scenario.retry_pause);
        let complies = retry_after > 0 && self.uniform() < self.scenario.retry_after_compliance;
        self.schedule(
            if complies { retry_after } else { retry_pause },
            SimEvent::SendRequest { operation },
        );
    }
}
