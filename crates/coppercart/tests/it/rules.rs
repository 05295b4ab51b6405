//! Random event sequences against an independent checker of rules 1 to 3: it keeps its own records
//! of requests, attempts and lists and knows nothing of the module's internals.

use std::collections::{BTreeMap, BTreeSet};

use crate::common::*;
use coppercart::api::*;
use coppercart::decide::Balancer;
use proptest::prelude::*;

const SLACK: Micros = 8 * MS;
const SERVERS: u64 = 6;
const CLASSES: [(&str, bool); 3] = [("safe", true), ("keyed", false), ("unsafe", false)];
const WINDOW: Micros = 700 * MS;

#[derive(Clone, Debug)]
enum Step {
    Request { class: usize, left: Micros },
    Outcome { which: usize, how: u8, queue: f32 },
    Wait(Micros),
    Health { server: u64, health: u8, restart: bool },
    Whole { mask: u8 },
    Gone { which: usize },
    Failed,
    Verdict { server: u64, verdict: ServerVerdict },
}

#[derive(Debug)]
struct SentAttempt {
    server: ServerId,
    zone: u8,
    at: Micros,
    out: bool,
    never_ran: bool,
    due: Micros,
}

#[derive(Debug)]
struct RequestRecord {
    class: usize,
    deadline: Micros,
    final_answers: usize,
    gone: bool,
    sent: Vec<SentAttempt>,
}

struct Checker {
    balancer: Balancer,
    now: Micros,
    requests: BTreeMap<RequestId, RequestRecord>,
    timers: BTreeSet<(Micros, u32)>,
    healthy: BTreeSet<ServerId>,
    may_duplicate: bool,
    max_attempts: usize,
}

impl Checker {
    fn event(&mut self, event: Event<'_>) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, event, &mut out);
        assert_eq!(self.balancer.check_invariants(), Ok(()));
        for action in out {
            self.check(action);
        }
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout, commit_within } => {
                assert!(self.healthy.contains(&server), "rule 3: {server:?}");
                let zone = (server.0 % 2) as u8;
                let may_duplicate = self.may_duplicate;
                let request = self.requests.get_mut(&id).expect("a known request");
                assert!(request.final_answers == 0 && !request.gone, "rule 1: sent after the end");
                assert!(request.sent.len() < self.max_attempts);
                if !may_duplicate {
                    assert!(request.sent.iter().all(|s| !s.out), "two open attempts");
                }
                match CLASSES[request.class].0 {
                    "unsafe" => assert!(request.sent.iter().all(|s| s.never_ran), "rule 2"),
                    "keyed" => {
                        // All attempts have to be sent within the window of the first one.
                        let first =
                            request.sent.iter().filter(|s| !s.never_ran).map(|s| s.at).min();
                        let end = self.now + commit_within;
                        assert!(
                            end <= first.unwrap_or(self.now) + WINDOW,
                            "rule 2: sent after the window"
                        );
                        for s in request.sent.iter().filter(|s| !s.never_ran) {
                            assert_eq!(s.zone, zone, "rule 2: another deduplication scope");
                            assert!(self.now - s.at <= WINDOW, "rule 2: the window has passed");
                        }
                    }
                    _ => {}
                }
                let left = request.deadline - self.now;
                let delay = if timeout == 0 { left } else { timeout.min(left) };
                request.sent.push(SentAttempt {
                    server,
                    zone,
                    at: self.now,
                    out: true,
                    never_ran: false,
                    due: self.now + delay,
                });
            }
            Action::Refuse { id, .. } => {
                let request = self.requests.get_mut(&id).expect("a known request");
                let harmless = CLASSES[request.class].1 || request.sent.iter().all(|s| s.never_ran);
                assert!(harmless, "rule 2: refused what may have run");
                request.final_answers += 1;
            }
            Action::Fail { id } => {
                self.requests.get_mut(&id).expect("a known request").final_answers += 1
            }
            Action::Cancel { id, attempt } => {
                assert!(attempt < self.requests[&id].sent.len(), "an attempt that was never sent");
            }
            Action::Timer { delay, token } => {
                self.timers.insert((self.now + delay.max(1), token));
            }
            _ => {}
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome, queue: f32) {
        let request = self.requests.get_mut(&id).expect("a known request");
        let s = &mut request.sent[attempt];
        s.out = false;
        s.never_ran = outcome.never_ran();
        let (server, latency) = (s.server, self.now - s.at);
        let served = outcome == Outcome::Served;
        if served && request.final_answers == 0 && !request.gone {
            request.final_answers = 1;
        }
        let finished = request.final_answers > 0 || request.gone;
        self.event(Event::Answer {
            id,
            attempt,
            server,
            outcome,
            latency,
            finished,
            report: report(queue),
        });
    }

    /// Advances the clock and triggers timeouts and timers as they are due.
    fn advance(&mut self, to: Micros) {
        loop {
            let timer = self.timers.first().map(|&(at, _)| at);
            let timeout = self
                .requests
                .iter()
                .flat_map(|(id, request)| {
                    let open = request.sent.iter().enumerate().filter(|(_, s)| s.out);
                    open.map(move |(n, s)| (s.due, *id, n))
                })
                .min();
            let next = timer.into_iter().chain(timeout.map(|t| t.0)).min();
            match next {
                Some(at) if at <= to => {
                    self.now = self.now.max(at);
                    match timeout {
                        Some((due, id, n)) if due == at => {
                            self.outcome(id, n, Outcome::TimedOut, 0.0);
                        }
                        _ => {
                            let (_, token) = self.timers.pop_first().expect("a timer is due");
                            self.event(Event::Timer { token });
                        }
                    }
                }
                _ => break,
            }
            self.check_final_answers();
        }
        self.now = to;
        self.check_final_answers();
    }

    fn check_final_answers(&self) {
        for (id, request) in &self.requests {
            assert!(request.final_answers <= 1, "rule 1: {id:?} ended twice");
            let late = self.now > request.deadline + SLACK;
            assert!(
                !late || request.final_answers == 1 || request.gone,
                "rule 1: {id:?} got no final answer"
            );
        }
    }

    fn step(&mut self, n: u64, step: &Step) {
        match *step {
            Step::Request { class, left } => {
                let id = RequestId(n);
                self.requests.insert(
                    id,
                    RequestRecord {
                        class,
                        deadline: self.now + left,
                        final_answers: 0,
                        gone: false,
                        sent: Vec::new(),
                    },
                );
                self.event(Event::Request(NewRequest {
                    id,
                    class,
                    tenant: 0,
                    key: n % 5,
                    time_left: left,
                    work_hint: None,
                    client_retry: n.is_multiple_of(3),
                }));
            }
            Step::Outcome { which, how, queue } => {
                let open: Vec<_> = self
                    .requests
                    .iter()
                    .flat_map(|(id, request)| {
                        let out = request.sent.iter().enumerate().filter(|(_, s)| s.out);
                        out.map(move |(n, _)| (*id, n))
                    })
                    .collect();
                if open.is_empty() {
                    return;
                }
                let (id, attempt) = open[which % open.len()];
                let outcome = [
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Full,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::NeverSent,
                ][usize::from(how) % 6];
                self.outcome(id, attempt, outcome, queue);
            }
            Step::Wait(t) => self.advance(self.now + t),
            Step::Health { server: s, health, restart } => {
                let health = [Health::Ready, Health::Draining, Health::Gone][usize::from(health)];
                let mut entry = with_health(s, health);
                if restart {
                    entry.started = self.now;
                }
                match health {
                    Health::Ready => self.healthy.insert(entry.id),
                    _ => self.healthy.remove(&entry.id),
                };
                self.event(Event::Servers { kind: ListKind::Changes, entries: &[entry] });
            }
            Step::Whole { mask } => {
                let entries: Vec<_> =
                    (0..SERVERS).filter(|s| mask & (1 << s) != 0).map(server).collect();
                self.healthy = entries.iter().map(|e| e.id).collect();
                self.event(Event::Servers { kind: ListKind::Whole, entries: &entries });
            }
            Step::Gone { which } => {
                let open: Vec<_> = self
                    .requests
                    .iter()
                    .filter(|(_, request)| request.final_answers == 0 && !request.gone)
                    .map(|(id, _)| *id)
                    .collect();
                if let Some(&id) = open.get(which) {
                    self.requests.get_mut(&id).expect("listed above").gone = true;
                    self.event(Event::ClientGone { id });
                }
            }
            Step::Verdict { server: s, verdict } => {
                let server = ServerId(s);
                self.event(Event::ServerVerdict { server, verdict });
            }
            Step::Failed => self.event(Event::Servers { kind: ListKind::Failed, entries: &[] }),
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        5 => (0..3usize, 0..1500u64).prop_map(|(class, ms)| Step::Request { class, left: ms * MS }),
        8 => (0..8usize, 0..12u8, prop_oneof![0f32..40.0, Just(f32::NAN), Just(-1.0)]).prop_map(
            |(which, how, queue)| Step::Outcome { which, how: how.saturating_sub(6), queue }
        ),
        4 => (1..300u64).prop_map(|ms| Step::Wait(ms * MS)),
        1 => (0..SERVERS, 0..3u8, any::<bool>())
            .prop_map(|(server, health, restart)| Step::Health { server, health, restart }),
        1 => any::<u8>().prop_map(|mask| Step::Whole { mask }),
        1 => (0..4usize).prop_map(|which| Step::Gone { which }),
        1 => Just(Step::Failed),
        2 => (0..6u64, 0..3u8).prop_map(|(server, verdict)| Step::Verdict {
            server,
            verdict: [ServerVerdict::Trusted, ServerVerdict::Suspected, ServerVerdict::Leaving][usize::from(verdict)],
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rules_hold_for_any_event_sequence(
        steps in prop::collection::vec(step(), 1..250),
        seed in any::<u64>(),
        on_request in any::<bool>(),
        may_duplicate in any::<bool>(),
        max_attempts in 1..6usize,
    ) {
        let settings = settings(|s| {
            s["discovery"] = if on_request { "on_request" } else { "pushed" }.into();
            s["limits"]["mayDuplicate"] = may_duplicate.into();
            s["limits"]["maxAttempts"] = max_attempts.into();
        });
        let mut checker = Checker {
            balancer: Balancer::new(settings, seed, START),
            now: START,
            requests: BTreeMap::new(),
            timers: BTreeSet::new(),
            healthy: BTreeSet::new(),
            may_duplicate,
            max_attempts,
        };
        checker.step(0, &Step::Whole { mask: 0b11_1111 });
        for (n, s) in steps.iter().enumerate() {
            checker.step(n as u64 + 1, s);
        }
        checker.advance(checker.now + 4 * S);
        for (id, request) in &checker.requests {
            prop_assert!(request.final_answers == 1 || request.gone, "rule 1: {:?} got no final answer", id);
        }
    }
}
