//! Trials of suspected servers, together with the balancer that carries them out.

use std::collections::{BTreeMap, BTreeSet};

use coppercart::api::{
    Action, Event, Health, ListKind, LoadReport, NewRequest, Outcome, RequestId, ServerEntry,
};
use coppercart::decide::Balancer;
use coppercart::settings::Settings;
use millethook_lease::{Config, Member, Members};
use millethook_testkit::settings_json;

use super::*;

const MS: Micros = 1_000;
const S: Micros = 1_000 * MS;
const SILENT: ServerId = ServerId(0);
const SERVERS: u64 = 4;
const LEASE_LENGTH: Micros = S;
const REQUEST_INTERVAL: Micros = 20 * MS;
const ANSWER_TIME: Micros = 10 * MS;

/// One sidecar with its balancer, among servers of which one never answers. It grants its leases to itself.
struct Sidecar {
    now: Micros,
    balancer: Balancer,
    lease: Lease,
    trials: Trials,
    next_request: u64,
    /// The hold of a verdict: the longest deadline.
    hold: Micros,
    /// Outcomes to come, by time: the request, the number of its attempt, and the server.
    due: BTreeMap<(Micros, u64, usize), ServerId>,
    attempts: BTreeMap<u64, usize>,
    timers: BTreeSet<(Micros, u32)>,
    sent_to_silent: Vec<Micros>,
    given_up: Vec<Micros>,
}

impl Sidecar {
    fn new(seed: u64) -> Sidecar {
        let settings = Settings::from_json(settings_json().to_string().as_bytes()).expect("sound");
        let hold = settings.longest(|class| class.deadline);
        let mut balancer = Balancer::new(settings, seed, 0);
        let entries: Vec<ServerEntry> = (0..SERVERS)
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
            change_timeout: S,
            max_drift: 0.01,
            seed,
        };
        Sidecar {
            now: 0,
            balancer,
            lease: Lease::new(config, Members::new(vec![Member(1)]), 0),
            trials: Trials::new(hold, LEASE_LENGTH, seed, Box::new(JobId)),
            next_request: 0,
            hold,
            due: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            sent_to_silent: Vec::new(),
            given_up: Vec::new(),
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
        let takes = if server == SILENT { timeout } else { ANSWER_TIME };
        self.due.insert((self.now + takes, id.0, number), server);
        self.trials.tried(server);
        if server == SILENT {
            self.sent_to_silent.push(self.now);
        }
    }

    /// Runs until `end`, with a request each [`REQUEST_INTERVAL`].
    fn run(&mut self, end: Micros) {
        while self.now < end {
            self.now += MS;
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
                    left: S,
                    hint: None,
                    repeat: false,
                }));
            }
            self.tick();
        }
    }

    fn outcomes(&mut self) {
        while self.due.first_key_value().is_some_and(|((at, ..), _)| *at <= self.now) {
            let Some(((_, id, attempt), server)) = self.due.pop_first() else { break };
            let outcome = if server == SILENT { Outcome::TimedOut } else { Outcome::Served };
            self.event(Event::Answer {
                id: RequestId(id),
                attempt,
                server,
                outcome,
                latency: if server == SILENT { S } else { ANSWER_TIME },
                finished: outcome == Outcome::Served,
                report: LoadReport::default(),
            });
        }
    }

    fn tick(&mut self) {
        if self.lease.poll_timeout() <= self.now {
            self.lease.tick(self.now);
        }
        let mut turns = Vec::new();
        self.trials.tick(self.now, &mut self.lease, &|_| None, &mut turns);
        for turn in turns {
            match turn {
                Turn::Stand(server, standing) => self.event(Event::Stands { server, standing }),
                Turn::GiveUp(..) => self.given_up.push(self.now),
                Turn::Say(..) => {}
            }
        }
    }
}

/// What was seen: in `lease-cuts` the trial of a dead server went from owner to owner, 1.2 s with one and 1 s with none,
/// and was at times without one at the end. What happens: an owner that sends nothing to the server for three holds gives
/// its trial back, and the others know only after a lease that it is free. Each new owner sent nothing, for two reasons. A
/// sidecar that has failed at a server leaves it alone for longer and longer, up to ten holds. And while it looks slow for
/// its silence, it loses each tie of the two picks, in calm for ever: here it was tried once in 60 s. What showed it: the
/// log event `trial_given_up`, 61 times in 16 runs (seeds 1 to 16), always by an owner whose span had lasted 1.2 s; with
/// the first reason mended alone this test still failed.
#[test]
fn a_new_owner_tries_a_server_that_it_has_often_failed_at() {
    for seed in 0..20 {
        let mut sidecar = Sidecar::new(seed);
        // By itself it makes each of its trials rarer than the one before.
        sidecar.run(60 * S);
        let begins = sidecar.now;
        sidecar.event(Event::Stands { server: SILENT, standing: Standing::Doubted });
        sidecar.trials.stands(begins, SILENT, Standing::Doubted, &mut sidecar.lease);
        sidecar.sent_to_silent.clear();
        sidecar.run(begins + 60 * S);
        assert!(sidecar.given_up.is_empty(), "seed {seed}: given up at {:?}", sidecar.given_up);
        // It asks for the trial within a hold, and has the lease at once; then it may have a trial of its own out.
        let first = sidecar.sent_to_silent.first().copied().unwrap_or(Micros::MAX);
        assert!(first < begins + IDLE_HOLDS * sidecar.hold, "seed {seed}: first tried at {first}");
        // It goes on trying, so that a server that comes back is found.
        let times = sidecar.sent_to_silent.iter().chain([&sidecar.now]);
        let mut gaps = sidecar.sent_to_silent.iter().zip(times.skip(1));
        let longest = (TRIAL_HOLDS + IDLE_HOLDS) * sidecar.hold;
        assert!(gaps.all(|(a, b)| b - a <= longest), "seed {seed}: {:?}", sidecar.sent_to_silent);
    }
}
