//! The decisions, all of them: which server a request goes to, when it is tried again, copied,
//! refused or given up, and what a server's answers say about that server.
//!
//! The ordinary path is BLOC's chip mechanism (README.md): answers mint confidence chips, a send
//! spends one, and of two random servers that qualify the less used one gets the request.
//! Every send passes `send`, every refusal or failure passes `end`; the four rules hold there.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::api::*;
use crate::average::Average;
use crate::capacity::Capacity;
use crate::draws::{Draws, mix};
use crate::lateness::Lateness;
use crate::settings::*;

mod hearsay;
mod learning;
mod picking;
mod requests;
mod retune;
mod rules;
mod servers;
mod shedding;
mod subsets;
mod timers;
pub mod view;

/// Sends that a request refused as full may cost in all, if the settings allow as many.
const FULL_TRIES: usize = 4;
/// The weight of one more answer in a running mean: what a quiet sidecar hears in some seconds.
const MEAN_WEIGHT: f64 = 0.15;
/// The rate, in requests a second, up to which a sidecar is quiet in this sense. Means are to forget
/// by time: at a busier one each answer weighs less, or they would follow every single answer.
const QUIET_RATE: f64 = 20.0;
const RECENT_KEYS: usize = 64;
/// The least draw weight of far servers: some are kept known, for when they are needed.
const LEAST_REMOTE_SHARE: f64 = 0.05;
/// How much more load at home than away (a logarithm) a point of the crossing's price is worth: a fifth at a few.
const CROSSING_WORTH: f64 = 4.0;
/// How far a point of the price lowers far servers' first chance of a draw, before loads are known.
const CROSSING_SHY: f64 = 80.0;
/// Answer times count as so many times the usual at most: one heavy request is no sick server.
const MOST_SLOW: f64 = 4.0;
/// The weight of one more answer time of a server: a quiet sidecar hears of one in seconds only.
const SLOWNESS_WEIGHT: f64 = 0.3;

type Slot = usize;

/// What a sidecar knows of one server.
#[derive(Debug, Default)]
struct Server {
    id: ServerId,
    zone: u8,
    cell: u16,
    health: Health,
    power: f64,
    started: Micros,
    chips: u32,
    in_flight: u32,
    /// The paper's RcvTime: the last answer, or the last trial without a chip. None: no answer yet.
    received: Option<Micros>,
    /// When the latest of the attempts that it has answered was sent.
    answered: Micros,
    /// When the oldest send that nothing has been heard since went out.
    silent_since: Option<Micros>,
    failures: u32,
    failed_at: Micros,
    ejected_until: Micros,
    /// The last report's load and when it came.
    load: f64,
    reported: Micros,
    /// Answer times here, relative to the usual ones of their classes.
    slowness: f64,
    /// Of reported queues, over the paper's span.
    average: Average,
    /// It is of this sidecar's subset.
    in_subset: bool,
    /// It drains by others' word alone.
    leaving: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    slot: Slot,
    server: ServerId,
    zone: u8,
    cell: u16,
    sent: Micros,
    fate: Fate,
    /// Its answer has begun to come.
    begun: bool,
}

#[derive(Debug)]
struct Request {
    class: usize,
    key: u64,
    /// How heavy it was announced to be, beside the usual one of its class.
    work_ratio: f64,
    deadline: Micros,
    /// The attempts that it may have by the settings under which it came.
    most_attempts: usize,
    /// It has its final answer; only outcomes of attempts still out are awaited.
    ended: bool,
    /// A stream has begun: its time no longer runs, and nothing else may be sent.
    streaming: bool,
    attempts: SmallVec<[Attempt; 2]>,
}

/// What is learned of a class.
#[derive(Clone, Debug, Default)]
struct Learned {
    /// Answer time when nothing waits: a low quantile of those seen.
    base: f64,
    /// The usual answer time.
    usual: f64,
    seen: bool,
    /// The usual hint of work.
    hint: f64,
}

#[derive(Clone, Copy, Debug)]
enum Alarm {
    Copy(RequestId),
    Late(RequestId),
    Overdue(RequestId),
    Subscribe,
}

/// One sidecar's decisions. Same settings, seed and events: same actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, Slot>,
    /// The servers that may be sent to, and this sidecar's own subset of them.
    ready: Draws,
    subset: Draws,
    /// Points of the servers on a ring, for keys that warm them.
    ring: Vec<(u64, Slot)>,
    recent_keys: [u64; RECENT_KEYS],
    next_recent_key: usize,
    weights_updated: Micros,
    capacity: Capacity,
    ranked_at_rate: f64,
    /// The draw weight of servers across a priced crossing, and the loads reported on either side.
    remote_share: f64,
    initial_remote_share: f64,
    least_remote_share: f64,
    side_load: [f64; 2],
    /// Requests a second here, as a running mean.
    rate: f64,
    rate_at: Micros,
    requests: FxHashMap<RequestId, Request>,
    alarms: FxHashMap<u32, Alarm>,
    next_token: u32,
    learned: Vec<Learned>,
    lateness: Lateness,
    /// Running mean of reported loads, each over its server's power.
    usual_load: f64,
    retry_budget: f64,
    subscribe_failures: u32,
    queue_column: Option<usize>,
    load_column: Option<usize>,
    held_column: Option<usize>,
    /// Running means of answer times and of what servers held besides.
    answer_mean: (f64, f64),
    longest_aim: f64,
    reset_interval: Micros,
    now: Micros,
}

impl Balancer {
    /// A balancer that knows no server yet. `seed` fixes its random numbers, `now` is in microseconds.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let mut balancer = Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: FxHashMap::default(),
            ready: Draws::default(),
            subset: Draws::default(),
            ring: Vec::new(),
            recent_keys: [0; RECENT_KEYS],
            next_recent_key: 0,
            weights_updated: now,
            capacity: Capacity::default(),
            ranked_at_rate: 0.0,
            remote_share: 1.0,
            initial_remote_share: 1.0,
            least_remote_share: LEAST_REMOTE_SHARE,
            side_load: [1.0; 2],
            rate: 0.0,
            rate_at: now,
            requests: FxHashMap::default(),
            alarms: FxHashMap::default(),
            next_token: 0,
            learned: Vec::new(),
            lateness: Lateness::default(),
            usual_load: 0.0,
            retry_budget: 1.0,
            subscribe_failures: 0,
            queue_column: None,
            load_column: None,
            held_column: None,
            answer_mean: (0.0, 1.0),
            longest_aim: 0.0,
            reset_interval: 0,
            now,
            settings,
        };
        balancer.apply_settings();
        balancer.remote_share = balancer.initial_remote_share;
        balancer
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Servers { kind, entries } => self.list(kind, entries, out),
            Event::Request(new) => self.request(new, out),
            Event::FirstByte { id, attempt } => self.first_byte(id, attempt, out),
            Event::Answer { id, attempt, server, outcome, latency, finished, report } => {
                self.on_outcome(id, attempt, server, outcome, latency as f64, &report);
                // Without this, a connection opened once for want of a better server stays until it is
                // idle for long. It may cost, and thousands of them fill the servers' tables.
                let idle = self.by_id.get(&server).map(|&slot| &self.servers[slot]);
                if idle.is_some_and(|s| !s.in_subset && s.in_flight == 0) {
                    out.push(Action::CloseIdle { server });
                }
                self.on_attempt_end(id, attempt, outcome, finished, out);
            }
            Event::ClientGone { id } => self.call_off(id, out),
            Event::Timer { token } => self.timer(token, out),
            Event::Stands { server, standing } => self.apply_verdict(server, standing),
            Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
