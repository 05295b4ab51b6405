//! A server: workers and a queue before them, cold as it starts.

use std::collections::VecDeque;

use coppercart::api::{Health, ServerEntry, ServerId};
use millethook_lab::ledger::cold::{ColdBudget, WarmUpCurve};

use super::due::AttemptId;
use crate::Micros;
use crate::plan::{MS, Plan};

/// The share of the work that sidecars have to have sent that knew of a server's start, so that its fall is theirs. As
/// in the lab.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// What becomes of an attempt that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A worker takes it.
    Works,
    /// It waits.
    Waits,
    /// It is turned away.
    Full,
}

/// Whether a server's process is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It runs.
    Up,
    /// It stands still.
    Hung,
    /// It has ended and will come back.
    Down,
    /// It has ended for good.
    Gone,
}

/// A piece of work that a cold server was sent.
#[derive(Clone, Copy, Debug)]
struct Sent {
    age: Micros,
    work: Micros,
    knew: bool,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// What the registry says of it.
    pub entry: ServerEntry,
    /// The version of the list with its last start.
    pub start_version: usize,
    /// Its process.
    pub process: Process,
    /// Its ends and stops: work of an earlier life is void.
    pub life: u32,
    /// Work takes so many times as long.
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
    fell: bool,
}

impl Server {
    /// One that has run for long, or that starts now.
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
            fell: false,
        };
        if let Some(started) = started {
            server.start(plan, started);
        }
        server
    }

    /// Its process starts, cold.
    pub fn start(&mut self, plan: &Plan, now: Micros) {
        self.process = Process::Up;
        self.entry.started = now;
        let multiple = plan.rules.fall_multiple;
        self.budget = Some(ColdBudget::new(self.warmth, multiple, self.window, plan.mean_work()));
        self.sent.clear();
        self.fell = false;
    }

    /// Its process ends or stands still: what it held is lost, and returned.
    pub fn stop(&mut self, process: Process) -> Vec<AttemptId> {
        self.process = process;
        self.life += 1;
        let mut held = std::mem::take(&mut self.working);
        held.extend(self.waiting.drain(..).map(|(attempt, _)| attempt));
        held
    }

    /// An attempt comes to a process that runs.
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

    /// A worker is done with an attempt.
    pub fn done(&mut self, attempt: AttemptId) {
        self.working.retain(|working| *working != attempt);
    }

    /// The attempt that has waited longest, and since when.
    pub fn next_waiting(&mut self) -> Option<(AttemptId, Micros)> {
        self.waiting.pop_front()
    }

    /// A worker takes up an attempt that has waited.
    pub fn take_up(&mut self, attempt: AttemptId) {
        self.working.push(attempt);
    }

    /// How long a request's work takes from now on.
    pub fn takes(&self, work: Micros, now: Micros) -> Micros {
        let warmth = match self.entry.started {
            0 => 1.0,
            started => self.warmth.at(now.saturating_sub(started)),
        };
        (work as f64 * self.slow / warmth) as Micros
    }

    /// Its load report: requests that wait, and requests held.
    pub fn report(&self) -> [f32; 2] {
        let waiting = self.waiting.len();
        [waiting as f32, (waiting + self.working.len()) as f32]
    }

    /// Counts what it is sent while cold. True: it falls over, once, by the fault of sidecars that knew of its start.
    pub fn is_pushed_over(&mut self, now: Micros, work: Micros, knew: bool) -> bool {
        let Some(budget) = &mut self.budget else { return false };
        let age = now.saturating_sub(self.entry.started);
        if age >= self.warmth.length {
            self.budget = None;
            self.sent.clear();
            return false;
        }
        let over = budget.add_work(age, work);
        self.sent.push_back(Sent { age, work, knew });
        while self.sent.front().is_some_and(|sent| sent.age + self.window <= age) {
            self.sent.pop_front();
        }
        if !over || self.fell {
            return false;
        }
        let sum = |of: &dyn Fn(&Sent) -> bool| -> Micros {
            self.sent.iter().filter(|sent| of(sent)).map(|sent| sent.work).sum()
        };
        let (all, knowing) = (sum(&|_| true), sum(&|sent| sent.knew));
        self.fell = knowing as f64 >= TOLD_SHARE * all as f64;
        self.fell
    }
}
