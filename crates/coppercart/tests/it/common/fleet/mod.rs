//! Balancers in front of servers with queues, and clients that ask again, in a closed loop on a virtual clock.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Range;

use coppercart::api::*;
use coppercart::decide::Balancer;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{MS, START, server};

mod plan;

pub use plan::*;

/// How long a full server takes to say so.
const REFUSAL: Micros = MS;

/// What stands between clients and servers.
pub trait Decide {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>);
}

impl Decide for Balancer {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        Balancer::handle(self, now, event, out);
    }
}

enum Due {
    Arrival,
    Ask { operation: u64 },
    Outcome { request: u64, attempt: usize, outcome: Outcome },
    WorkDone { server: u64, request: u64, attempt: usize },
    Timer { balancer: usize, token: u32 },
    Report { server: u64 },
    ReportSeen { server: u64, report: LoadReport },
    HangEnds,
}

#[derive(Default)]
struct ServerState {
    waiting: VecDeque<(u64, usize)>,
    working: usize,
    seen: LoadReport,
}

struct Operation {
    class: usize,
    balancer: usize,
    tries: u32,
}

struct SentAttempt {
    server: ServerId,
    sent: Micros,
    work: Micros,
}

struct Try {
    began: Micros,
    operation: u64,
    /// None: it has ended.
    attempts: Vec<Option<SentAttempt>>,
    ended: bool,
}

pub struct Fleet {
    plan: Plan,
    balancers: Vec<Box<dyn Decide>>,
    now: Micros,
    random: Pcg64Mcg,
    due: BTreeMap<(Micros, u64), Due>,
    scheduled: u64,
    servers: Vec<ServerState>,
    operations: Vec<Operation>,
    tries: HashMap<u64, Try>,
    /// By the number of the span since the start.
    counts: Vec<Counts>,
}

impl Fleet {
    /// `seed` fixes all that is random here.
    pub fn new(plan: Plan, balancers: Vec<Box<dyn Decide>>, seed: u64) -> Fleet {
        let spans = (plan.end - START).div_ceil(SPAN) as usize + 1;
        let mut fleet = Fleet {
            balancers,
            now: START,
            random: Pcg64Mcg::seed_from_u64(seed),
            due: BTreeMap::new(),
            scheduled: 0,
            servers: (0..plan.servers).map(|_| ServerState::default()).collect(),
            operations: Vec::new(),
            tries: HashMap::new(),
            counts: vec![Counts::default(); spans],
            plan,
        };
        fleet.later(0, Due::Arrival);
        if let Some(hang) = &fleet.plan.hang {
            fleet.later(hang.time.end - START, Due::HangEnds);
        }
        if let Some(reports) = fleet.plan.reports.clone() {
            for server in 0..fleet.plan.servers {
                let wait = (fleet.uniform() * reports.period as f64) as Micros;
                fleet.later(wait, Due::Report { server });
            }
        }
        fleet
    }

    pub fn play(&mut self) {
        let list: Vec<_> =
            (0..self.plan.servers).map(|n| ServerEntry { zone: 0, ..server(n) }).collect();
        for balancer in 0..self.balancers.len() {
            self.event(balancer, Event::Servers { kind: ListKind::Remembered, entries: &list });
        }
        while let Some(((at, _), due)) = self.due.pop_first() {
            if at > self.plan.end {
                return;
            }
            self.now = at;
            match due {
                Due::Arrival => self.arrival(),
                Due::Ask { operation } => self.ask(operation),
                Due::Outcome { request, attempt, outcome } => {
                    self.outcome(request, attempt, outcome);
                }
                Due::WorkDone { server, request, attempt } => {
                    self.servers[server as usize].working -= 1;
                    self.outcome(request, attempt, Outcome::Served);
                    self.work(server);
                }
                Due::Timer { balancer, token } => self.event(balancer, Event::Timer { token }),
                Due::Report { server } => self.take_report(server),
                Due::ReportSeen { server, report } => self.servers[server as usize].seen = report,
                Due::HangEnds => (0..self.plan.servers).for_each(|server| self.work(server)),
            }
        }
    }

    /// What happened in the spans that begin within `time`.
    pub fn spans(&self, time: Range<Micros>) -> &[Counts] {
        let span = |at: Micros| ((at - START) / SPAN) as usize;
        &self.counts[span(time.start)..span(time.end)]
    }

    fn later(&mut self, wait: Micros, due: Due) {
        self.scheduled += 1;
        self.due.insert((self.now + wait, self.scheduled), due);
    }

    fn count(&mut self) -> &mut Counts {
        &mut self.counts[((self.now - START) / SPAN) as usize]
    }

    fn uniform(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn exponential(&mut self, mean: Micros) -> Micros {
        (-(1.0 - self.uniform()).ln() * mean as f64) as Micros
    }

    /// One of `0..n`; nothing is drawn where there is one.
    fn one_of(&mut self, n: usize) -> usize {
        if n == 1 { 0 } else { (self.uniform() * n as f64) as usize }
    }

    fn class(&mut self) -> usize {
        if self.plan.classes.len() == 1 {
            return 0;
        }
        let mut left = self.uniform();
        let found = self.plan.classes.iter().position(|class| {
            left -= class.share;
            left < 0.0
        });
        found.unwrap_or(0)
    }

    fn arrival(&mut self) {
        let began = self.plan.arrivals.iter().rfind(|arrivals| arrivals.0 <= self.now);
        let mean = began.expect("the plan begins at the start").1;
        let gap = self.exponential(mean);
        self.later(gap, Due::Arrival);
        let class = self.class();
        let balancer = self.one_of(self.balancers.len());
        self.operations.push(Operation { class, balancer, tries: 0 });
        self.count().operations += 1;
        self.ask(self.operations.len() as u64 - 1);
    }

    fn ask(&mut self, operation: u64) {
        let request = self.scheduled + 1;
        self.scheduled += 1;
        let began = self.now;
        self.tries.insert(request, Try { began, operation, attempts: Vec::new(), ended: false });
        self.count().asked += 1;
        let state = &mut self.operations[operation as usize];
        state.tries += 1;
        let (balancer, class) = (state.balancer, state.class);
        let request = NewRequest {
            id: RequestId(request),
            class,
            tenant: 0,
            key: 0,
            time_left: self.plan.classes[class].patience,
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
                    self.later(0, Due::Outcome { request: id.0, attempt, outcome });
                }
                Action::Refuse { id, retry_after } => self.unserved(id.0, retry_after),
                Action::Fail { id } => self.unserved(id.0, 0),
                Action::Timer { delay, token } => self.later(delay, Due::Timer { balancer, token }),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: u64, server: ServerId, timeout: Micros) {
        self.count().attempts += 1;
        let state = self.tries.get_mut(&request).expect("asked");
        state.attempts.push(Some(SentAttempt { server, sent: self.now, work: 0 }));
        let attempt = state.attempts.len() - 1;
        let full = self.servers[server.0 as usize].waiting.len() >= self.plan.queue;
        let (wait, outcome) =
            if full { (REFUSAL, Outcome::Full) } else { (timeout, Outcome::TimedOut) };
        self.later(wait, Due::Outcome { request, attempt, outcome });
        if !full {
            self.servers[server.0 as usize].waiting.push_back((request, attempt));
            self.work(server.0);
        }
    }

    /// A server begins with what waits, in order, whether or not anybody still waits for it.
    fn work(&mut self, server: u64) {
        let hangs = |hang: &Hang| hang.servers.contains(&server) && hang.time.contains(&self.now);
        if self.plan.hang.as_ref().is_some_and(hangs) {
            return;
        }
        while self.servers[server as usize].working < self.plan.cores {
            let next = self.servers[server as usize].waiting.pop_front();
            let Some((request, attempt)) = next else { return };
            self.servers[server as usize].working += 1;
            let class = self.operations[self.tries[&request].operation as usize].class;
            let takes = self.exponential(self.plan.classes[class].work);
            let state = self.tries.get_mut(&request).expect("asked");
            if let Some(sent) = &mut state.attempts[attempt] {
                sent.work = takes;
            }
            self.add_busy(takes);
            self.later(takes, Due::WorkDone { server, request, attempt });
        }
    }

    /// Counts a core's time from now on in the spans that it lies in.
    fn add_busy(&mut self, takes: Micros) {
        let (mut at, end) = (self.now - START, self.now - START + takes);
        while at < end {
            let span = at / SPAN;
            let until = end.min((span + 1) * SPAN);
            if let Some(counts) = self.counts.get_mut(span as usize) {
                counts.busy += until - at;
            }
            at = until;
        }
    }

    fn take_report(&mut self, server: u64) {
        let Some(reports) = self.plan.reports.clone() else { return };
        let state = &self.servers[server as usize];
        let waiting = state.waiting.len();
        let values = [waiting as f32, (waiting + state.working) as f32];
        let report = LoadReport(values.into_iter().collect());
        self.later(reports.delay, Due::ReportSeen { server, report });
        self.later(reports.period, Due::Report { server });
    }

    fn outcome(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let Some(state) = self.tries.get_mut(&request) else { return };
        let Some(sent) = state.attempts[attempt].take() else { return };
        let served = outcome == Outcome::Served && !state.ended;
        state.ended |= served;
        let (began, operation, finished) = (state.began, state.operation as usize, state.ended);
        if served {
            self.served(began, operation, sent.work);
        }
        let seen = self.servers[sent.server.0 as usize].seen.clone();
        let answered = matches!(outcome, Outcome::Served | Outcome::Full);
        let event = Event::Answer {
            id: RequestId(request),
            attempt,
            server: sent.server,
            outcome,
            latency: self.now - sent.sent,
            finished,
            report: if answered { seen } else { LoadReport::default() },
        };
        self.event(self.operations[operation].balancer, event);
    }

    fn served(&mut self, began: Micros, operation: usize, work: Micros) {
        let class = self.operations[operation].class;
        let in_time = self.now - began <= self.plan.classes[class].aim;
        let counts = self.count();
        counts.served += 1;
        counts.in_time += u64::from(in_time);
        counts.useful += if in_time { work } else { 0 };
    }

    /// The client has no answer, and asks once more.
    fn unserved(&mut self, request: u64, retry_after: Micros) {
        let state = self.tries.get_mut(&request).expect("asked");
        if std::mem::replace(&mut state.ended, true) {
            return;
        }
        let operation = state.operation;
        self.count().refused += 1;
        if self.operations[operation as usize].tries >= self.plan.tries {
            return;
        }
        if self.plan.pause + retry_after == 0 {
            return self.ask(operation);
        }
        let pause = self.exponential(self.plan.pause);
        let heeds = retry_after > 0 && self.uniform() < self.plan.honour;
        self.later(if heeds { retry_after } else { pause }, Due::Ask { operation });
    }
}
