//! Trials of suspected servers, together with the balancer that sends them.

use std::collections::{BTreeMap, BTreeSet};

use coppercart::api::{
    Action, Event, Health, ListKind, LoadReport, NewRequest, Outcome, RequestId, ServerEntry,
};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use millethook_lease::{Config, Member, Members};
use millethook_testkit::settings_json;

use super::*;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000 * MILLISECOND;
const SILENT_SERVER: ServerId = ServerId(0);
const SERVER_COUNT: u64 = 4;
const LEASE_LENGTH: Micros = SECOND;
const REQUEST_INTERVAL: Micros = 20 * MILLISECOND;
const ANSWER_TIME: Micros = 10 * MILLISECOND;

/// One sidecar with its balancer, and servers of which one never answers. The sidecar grants its leases to itself.
struct Sidecar {
    now: Micros,
    balancer: Balancer,
    lease: Lease,
    trials: Trials,
    next_request: u64,
    /// How long a verdict holds: the longest deadline.
    verdict_hold: Micros,
    /// Pending outcomes by time: the request, the number of its attempt, and the server.
    pending_outcomes: BTreeMap<(Micros, u64, usize), ServerId>,
    attempts: BTreeMap<u64, usize>,
    timers: BTreeSet<(Micros, u32)>,
    trial_times: Vec<Micros>,
    released: Vec<Micros>,
}

impl Sidecar {
    fn new(seed: u64) -> Sidecar {
        let settings = Settings::from_json(settings_json().to_string().as_bytes()).expect("sound");
        let verdict_hold = settings.max_over_classes(|class| class.deadline);
        let mut balancer = Balancer::new(settings, seed, 0);
        let entries: Vec<ServerEntry> = (0..SERVER_COUNT)
            .map(|n| ServerEntry {
                id: ServerId(n),
                zone: 0,
                kind: 0,
                cell: 0,
                health: Health::Ready,
                power: 1.0,
                started: 0,
            })
            .collect();
        let list = Event::Servers { kind: ListKind::Whole, entries: &entries };
        balancer.handle(0, list, &mut Vec::new());
        let config = Config {
            me: 0,
            epoch: 1,
            acceptors: 1,
            max_lease: LEASE_LENGTH,
            change_timeout: SECOND,
            max_drift: 0.01,
            seed,
        };
        Sidecar {
            now: 0,
            balancer,
            lease: Lease::new(config, Members::new(vec![Member(1)]), 0),
            trials: Trials::new(verdict_hold, LEASE_LENGTH, seed, Box::new(JobId)),
            next_request: 0,
            verdict_hold,
            pending_outcomes: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            trial_times: Vec::new(),
            released: Vec::new(),
        }
    }

    fn event(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout, .. } => self.sent(id, server, timeout),
                Action::Timer { delay, token } => {
                    self.timers.insert((self.now + delay, token));
                }
                _ => {}
            }
        }
    }

    fn sent(&mut self, id: RequestId, server: ServerId, timeout: Micros) {
        let attempt = self.attempts.entry(id.0).or_default();
        let number = *attempt;
        *attempt += 1;
        let duration = if server == SILENT_SERVER { timeout } else { ANSWER_TIME };
        self.pending_outcomes.insert((self.now + duration, id.0, number), server);
        self.trials.on_attempt(server);
        if server == SILENT_SERVER {
            self.trial_times.push(self.now);
        }
    }

    /// Runs until `end`, with a request every [`REQUEST_INTERVAL`].
    fn run(&mut self, end: Micros) {
        while self.now < end {
            self.now += MILLISECOND;
            self.outcomes();
            while self.timers.first().is_some_and(|(at, _)| *at <= self.now) {
                let Some((_, token)) = self.timers.pop_first() else { break };
                self.event(Event::Timer { token });
            }
            if self.now.is_multiple_of(REQUEST_INTERVAL) {
                self.next_request += 1;
                let id = RequestId(self.next_request);
                self.event(Event::Request(NewRequest {
                    id,
                    class: 0,
                    tenant: 0,
                    key: 0,
                    time_left: SECOND,
                    work_hint: None,
                    client_retry: false,
                }));
            }
            self.tick();
        }
    }

    fn outcomes(&mut self) {
        while self.pending_outcomes.first_key_value().is_some_and(|((at, ..), _)| *at <= self.now) {
            let Some(((_, id, attempt), server)) = self.pending_outcomes.pop_first() else { break };
            let outcome = if server == SILENT_SERVER { Outcome::TimedOut } else { Outcome::Served };
            self.event(Event::Answer {
                id: RequestId(id),
                attempt,
                server,
                outcome,
                latency: if server == SILENT_SERVER { SECOND } else { ANSWER_TIME },
                finished: outcome == Outcome::Served,
                report: LoadReport::default(),
            });
        }
    }

    fn tick(&mut self) {
        if self.lease.poll_timeout() <= self.now {
            self.lease.tick(self.now);
        }
        let mut actions = Vec::new();
        self.trials.tick(self.now, &mut self.lease, &|_| None, &mut actions);
        for action in actions {
            match action {
                TrialAction::ApplyVerdict(server, verdict) => {
                    self.event(Event::ServerVerdict { server, verdict })
                }
                TrialAction::Release(..) => self.released.push(self.now),
                TrialAction::Announce(..) => {}
            }
        }
    }
}

/// Guards against owners that release the trial of a dead server without a single attempt, so that it moves from
/// owner to owner (in `lease-cuts` 1.2 s with one and 1 s without) and is at times left without an owner. An owner
/// that sends nothing for three holds releases the trial, and the others learn of it only after a lease. It sent
/// nothing for two reasons: a sidecar that has failed at a server leaves it alone for longer and longer, up to ten
/// holds; and a server that looks slow for its silence loses each tie of two picks, in a calm fleet forever (here it
/// was tried once in 60 s). The log event `trial_given_up` showed it 61 times in 16 runs (seeds 1 to 16), always by
/// an owner after 1.2 s. With only the first reason fixed, this test still failed.
#[test]
fn a_new_owner_tries_a_server_that_it_has_often_failed_at() {
    for seed in 0..20 {
        let mut sidecar = Sidecar::new(seed);
        // By itself the sidecar makes its trials rarer and rarer.
        sidecar.run(60 * SECOND);
        let start = sidecar.now;
        sidecar.event(Event::ServerVerdict {
            server: SILENT_SERVER,
            verdict: ServerVerdict::Suspected,
        });
        sidecar.trials.apply_verdict(
            start,
            SILENT_SERVER,
            ServerVerdict::Suspected,
            &mut sidecar.lease,
        );
        sidecar.trial_times.clear();
        sidecar.run(start + 60 * SECOND);
        assert!(sidecar.released.is_empty(), "seed {seed}: released at {:?}", sidecar.released);
        // It requests the trial within one hold and gets the lease at once; an earlier trial of its own may still be
        // pending then.
        let first = sidecar.trial_times.first().copied().unwrap_or(Micros::MAX);
        assert!(
            first < start + MAX_IDLE_HOLDS * sidecar.verdict_hold,
            "seed {seed}: first tried at {first}"
        );
        // It continues to send trials, so that a recovered server is found.
        let next_times = sidecar.trial_times.iter().chain([&sidecar.now]);
        let mut gaps = sidecar.trial_times.iter().zip(next_times.skip(1));
        let max_gap = (TRIAL_INTERVAL_HOLDS + MAX_IDLE_HOLDS) * sidecar.verdict_hold;
        assert!(gaps.all(|(a, b)| b - a <= max_gap), "seed {seed}: {:?}", sidecar.trial_times);
    }
}
