//! A server: workers with a queue in front of them, cold after a start.

use std::collections::VecDeque;

use coppercart::api::{Health, ServerEntry, ServerId};
use millethook_lab::ledger::cold::{ColdBudget, WarmUpCurve};

use super::event::AttemptId;
use crate::Micros;
use crate::plan::{MS, Plan};

/// The share of the recent work that must come from sidecars that knew of a server's start before its overload is
/// attributed to them. The lab uses the same value.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// What a server does with an arriving attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A worker starts it.
    Works,
    /// It is queued.
    Waits,
    /// It is rejected.
    Full,
}

/// The state of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It runs.
    Up,
    /// It hangs.
    Hung,
    /// It has ended and will restart.
    Down,
    /// It has ended for good.
    Gone,
}

/// Work that was sent to a cold server.
#[derive(Clone, Copy, Debug)]
struct Sent {
    age: Micros,
    work: Micros,
    knew_start: bool,
}

/// The state of a server.
#[derive(Debug)]
pub struct Server {
    /// Its entry in the registry.
    pub entry: ServerEntry,
    /// The list version that announced its last start.
    pub start_version: usize,
    /// Its process.
    pub process: Process,
    /// The number of crashes and hangs so far. Work of an earlier life is void.
    pub life: u32,
    /// The factor by which work is slowed down.
    pub slow: f64,
    /// The share of requests that it answers with an error.
    pub errors: f64,
    slots: usize,
    queue: usize,
    window: Micros,
    working: Vec<AttemptId>,
    waiting: VecDeque<(AttemptId, Micros)>,
    warmth: WarmUpCurve,
    budget: Option<ColdBudget>,
    sent: VecDeque<Sent>,
    overload_reported: bool,
}

impl Server {
    /// Creates a server that started at `started`, or one that has run long and is warm.
    pub fn new(plan: &Plan, number: usize, zone: u8, started: Option<Micros>) -> Server {
        let entry = ServerEntry {
            id: ServerId(number as u64 + 1),
            zone,
            kind: 0,
            cell: number as u16,
            health: Health::Ready,
            power: 1.0,
            started: 0,
        };
        let mut server = Server {
            entry,
            start_version: 0,
            process: Process::Up,
            life: 0,
            slow: 1.0,
            errors: 0.0,
            slots: plan.servers.slots,
            queue: plan.servers.queue,
            window: plan.rules.tip_after_ms * MS,
            working: Vec::new(),
            waiting: VecDeque::new(),
            warmth: WarmUpCurve {
                slots: plan.servers.slots as f64,
                share: plan.servers.cold_share,
                length: plan.servers.cold_ms * MS,
            },
            budget: None,
            sent: VecDeque::new(),
            overload_reported: false,
        };
        if let Some(started) = started {
            server.start(plan, started);
        }
        server
    }

    /// Starts its process, cold.
    pub fn start(&mut self, plan: &Plan, now: Micros) {
        self.process = Process::Up;
        self.entry.started = now;
        let multiple = plan.rules.fall_multiple;
        self.budget = Some(ColdBudget::new(self.warmth, multiple, self.window, plan.mean_work()));
        self.sent.clear();
        self.overload_reported = false;
    }

    /// Ends or hangs its process. The attempts that it held are lost; they are returned.
    pub fn stop(&mut self, process: Process) -> Vec<AttemptId> {
        self.process = process;
        self.life += 1;
        let mut held = std::mem::take(&mut self.working);
        held.extend(self.waiting.drain(..).map(|(attempt, _)| attempt));
        held
    }

    /// Accepts, queues or rejects an attempt; the process must be running.
    pub fn admit(&mut self, attempt: AttemptId, now: Micros) -> Admission {
        if self.working.len() < self.slots {
            self.working.push(attempt);
            Admission::Works
        } else if self.waiting.len() < self.queue {
            self.waiting.push_back((attempt, now));
            Admission::Waits
        } else {
            Admission::Full
        }
    }

    /// Frees the worker of a finished attempt.
    pub fn done(&mut self, attempt: AttemptId) {
        self.working.retain(|working| *working != attempt);
    }

    /// Removes the attempt that has waited longest and returns it with the time of its arrival.
    pub fn next_waiting(&mut self) -> Option<(AttemptId, Micros)> {
        self.waiting.pop_front()
    }

    /// Assigns a worker to an attempt that has waited.
    pub fn assign_worker(&mut self, attempt: AttemptId) {
        self.working.push(attempt);
    }

    /// Returns how long a request's work takes when it starts now.
    pub fn service_time(&self, work: Micros, now: Micros) -> Micros {
        let warmth = match self.entry.started {
            0 => 1.0,
            started => self.warmth.at(now.saturating_sub(started)),
        };
        (work as f64 * self.slow / warmth) as Micros
    }

    /// Returns its load report: requests that wait, and all requests held.
    pub fn report(&self) -> [f32; 2] {
        let waiting = self.waiting.len();
        [waiting as f32, (waiting + self.working.len()) as f32]
    }

    /// Counts the work that it is sent while cold. Returns true once, when it is overloaded by sidecars that knew of
    /// its start.
    pub fn exceeds_cold_budget(&mut self, now: Micros, work: Micros, knew_start: bool) -> bool {
        let Some(budget) = &mut self.budget else { return false };
        let age = now.saturating_sub(self.entry.started);
        if age >= self.warmth.length {
            self.budget = None;
            self.sent.clear();
            return false;
        }
        let exceeded = budget.add_work(age, work);
        self.sent.push_back(Sent { age, work, knew_start });
        while self.sent.front().is_some_and(|sent| sent.age + self.window <= age) {
            self.sent.pop_front();
        }
        if !exceeded || self.overload_reported {
            return false;
        }
        let sum = |of: &dyn Fn(&Sent) -> bool| -> Micros {
            self.sent.iter().filter(|sent| of(sent)).map(|sent| sent.work).sum()
        };
        let (all, from_informed) = (sum(&|_| true), sum(&|sent| sent.knew_start));
        self.overload_reported = from_informed as f64 >= TOLD_SHARE * all as f64;
        self.overload_reported
    }
}
