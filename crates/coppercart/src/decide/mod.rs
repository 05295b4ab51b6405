//! The decision logic: which server a request goes to, when it is retried, hedged, refused or
//! failed, and what a server's answers say about that server.
//!
//! The normal path is BLOC's confidence chip mechanism (README.md): answers mint chips, a send
//! spends one, and a request goes to the less utilized of two randomly drawn servers that qualify.
//! Every send passes through `send`, every refusal or failure through `refuse_or_fail`; these two
//! enforce the four rules.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;
use smallvec::SmallVec;

use crate::api::*;
use crate::average::SpanAverage;
use crate::capacity::Capacity;
use crate::lateness::Lateness;
use crate::settings::*;
use crate::weighted::{WeightedSlots, mix};

mod learning;
mod peer_evidence;
mod picking;
mod requests;
mod rules;
mod servers;
mod settings_update;
mod shedding;
mod slow_answers;
mod subsets;
mod timers;
pub mod view;

/// The maximum number of attempts of a request that servers refuse as full, if the settings allow as
/// many.
const MAX_ATTEMPTS_WHEN_FULL: usize = 4;
/// The weight of one answer in a running mean at a sidecar with little traffic: the mean covers the
/// answers of some seconds.
const MEAN_SAMPLE_WEIGHT: f64 = 0.15;
/// The request rate up to which samples have their full weight. Running means should forget by
/// time: above this rate each answer weighs less, or the means would follow every single answer.
const LOW_RATE_PER_S: f64 = 20.0;
const RECENT_KEYS: usize = 64;
/// The minimum draw weight of servers in other zones. Some stay known for when they are needed.
const MIN_REMOTE_SHARE: f64 = 0.05;
/// How much more loaded local servers may be than remote ones, as a logarithm per point of the
/// cross-zone price. At the usual prices of a few points this is about a fifth.
const CROSS_ZONE_COST_EXPONENT: f64 = 4.0;
/// How strongly the cross-zone price lowers the initial draw weight of remote servers, before loads
/// are known.
const CROSS_ZONE_INITIAL_PENALTY: f64 = 80.0;
/// The cap on one answer time relative to the mean: a single heavy request does not make a server
/// slow.
const MAX_SLOWNESS: f64 = 4.0;
/// The weight of one answer time in a server's slowness. A sidecar with little traffic gets only
/// one within seconds.
const SLOWNESS_SAMPLE_WEIGHT: f64 = 0.3;

type Slot = usize;

/// What a sidecar knows about one server.
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
    /// RcvTime in the paper: the last answer, or the last trial without a chip. None before the
    /// first answer.
    last_received: Option<Micros>,
    /// The send time of the latest attempt that the server answered.
    latest_answered_send: Micros,
    /// The send time of the oldest attempt since which nothing has been received.
    unanswered_since: Option<Micros>,
    failures: u32,
    failed_at: Micros,
    ejected_until: Micros,
    /// The load in the last report, and when the report came.
    load: f64,
    reported_at: Micros,
    /// Answer times of this server relative to the means of their classes.
    slowness: f64,
    /// The mean of the reported queues over the paper's averaging span.
    mean_queue: SpanAverage,
    /// Whether the server belongs to this sidecar's subset.
    in_subset: bool,
    /// Whether only the fleet's verdict says that the server drains.
    draining_by_verdict: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptState {
    /// Sent, without an outcome so far.
    InFlight,
    /// Ended; the outcome proves that the request never ran.
    NeverRan,
    /// Ended; the request may have run.
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    slot: Slot,
    server: ServerId,
    zone: u8,
    cell: u16,
    sent_at: Micros,
    state: AttemptState,
    /// Whether the answer has begun to arrive.
    response_started: bool,
    /// Whether the head of its answer has arrived, so that the answer can be passed on.
    answer_begun: bool,
    /// Whether its answer has paused for long.
    answer_paused: bool,
}

#[derive(Debug)]
struct Request {
    class: usize,
    key: u64,
    /// The announced work relative to the mean of the class.
    work_ratio: f64,
    deadline: Micros,
    /// The maximum number of attempts under the settings at the time of arrival.
    attempt_limit: usize,
    /// The request has its final answer; only outcomes of open attempts are still expected.
    ended: bool,
    /// A stream has begun: the deadline no longer applies, and no further attempt may be sent.
    streaming: bool,
    /// The attempt that was asked to pass on its answer as the deadline passed.
    passing_on: Option<usize>,
    attempts: SmallVec<[Attempt; 2]>,
}

/// Statistics of a request class.
#[derive(Clone, Debug, Default)]
struct ClassStats {
    /// The answer time without queueing: a low quantile of the observed ones.
    base_latency: f64,
    /// The mean answer time.
    mean_latency: f64,
    has_samples: bool,
    /// The mean work hint.
    mean_hint: f64,
}

#[derive(Clone, Copy, Debug)]
enum TimerKind {
    /// Half of the aim has passed: hedge if the request was overtaken.
    EarlyHedge(RequestId),
    /// The aim has passed: hedge if the server has been silent since the send.
    LateHedge(RequestId),
    /// The deadline has passed.
    Deadline(RequestId),
    /// The wait before the next subscription is over.
    Subscribe,
}

/// The decision state of one sidecar. The same settings, seed and events give the same actions.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    servers: Vec<Server>,
    by_id: FxHashMap<ServerId, Slot>,
    /// The servers that may receive requests, and this sidecar's subset of them.
    ready: WeightedSlots,
    subset: WeightedSlots,
    /// The servers' points on the hash ring, used where servers keep keys warm.
    ring: Vec<(u64, Slot)>,
    recent_keys: [u64; RECENT_KEYS],
    next_recent_key: usize,
    weights_updated: Micros,
    capacity: Capacity,
    ranked_at_rate: f64,
    /// The draw weight of servers to which the cross-zone price applies, and the load on the local
    /// and the remote side.
    remote_share: f64,
    initial_remote_share: f64,
    min_remote_share: f64,
    side_load: [f64; 2],
    /// Running mean of requests per second at this sidecar.
    rate: f64,
    rate_at: Micros,
    requests: FxHashMap<RequestId, Request>,
    timers: FxHashMap<u32, TimerKind>,
    next_token: u32,
    class_stats: Vec<ClassStats>,
    lateness: Lateness,
    /// Running mean of the reported loads, each divided by its server's power.
    mean_load: f64,
    retry_budget: f64,
    subscribe_failures: u32,
    queue_column: Option<usize>,
    load_column: Option<usize>,
    held_column: Option<usize>,
    /// Running means of answer times and of the number of requests that servers held at the time.
    answer_mean: (f64, f64),
    longest_aim: f64,
    reset_interval: Micros,
    now: Micros,
}

impl Balancer {
    /// Creates a balancer without servers. `seed` seeds its random numbers; `now` is in
    /// microseconds.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let mut balancer = Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: FxHashMap::default(),
            ready: WeightedSlots::default(),
            subset: WeightedSlots::default(),
            ring: Vec::new(),
            recent_keys: [0; RECENT_KEYS],
            next_recent_key: 0,
            weights_updated: now,
            capacity: Capacity::default(),
            ranked_at_rate: 0.0,
            remote_share: 1.0,
            initial_remote_share: 1.0,
            min_remote_share: MIN_REMOTE_SHARE,
            side_load: [1.0; 2],
            rate: 0.0,
            rate_at: now,
            requests: FxHashMap::default(),
            timers: FxHashMap::default(),
            next_token: 0,
            class_stats: Vec::new(),
            lateness: Lateness::default(),
            mean_load: 0.0,
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

    /// Processes one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Servers { kind, entries } => self.apply_list(kind, entries, out),
            Event::Request(new) => self.on_request(new, out),
            Event::FirstByte { id, attempt } => self.on_first_byte(id, attempt, out),
            Event::AnswerBegun { id, attempt } => self.on_answer_begun(id, attempt),
            Event::AnswerOverdue { id, attempt } => self.on_answer_overdue(id, attempt, out),
            Event::AnswerPaused { id, attempt } => self.on_answer_paused(id, attempt, out),
            Event::Answer { id, attempt, server, outcome, latency, finished, report } => {
                self.on_outcome(id, attempt, server, outcome, latency as f64, &report);
                // Without this, a connection that was opened once because no better server was
                // available stays open until its idle timeout. It may have a price, and thousands
                // of such connections fill the servers' connection tables.
                let idle = self.by_id.get(&server).map(|&slot| &self.servers[slot]);
                if idle.is_some_and(|s| !s.in_subset && s.in_flight == 0) {
                    out.push(Action::CloseIdle { server });
                }
                self.on_attempt_end(id, attempt, outcome, finished, out);
            }
            Event::ClientGone { id } => self.close_request(id, out),
            Event::Timer { token } => self.on_timer(token, out),
            Event::ServerVerdict { server, verdict } => self.apply_verdict(server, verdict),
            Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
