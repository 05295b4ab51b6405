//! Digests of the actions that a long seeded event stream causes: a refactoring without a change of
//! decisions leaves every digest as it is.
//!
//! A change of decisions changes the digests; the failing test prints the new values.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;

use crate::common::*;
use coppercart::api::*;
use coppercart::settings::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVERS: u64 = 24;
/// The number of requests per stream, and between two digests.
const REQUESTS: usize = 4000;
const DIGEST_INTERVAL: usize = 1000;

/// An event that is scheduled for later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    Timer(u32),
    Answer { id: RequestId, attempt: usize, server: ServerId, sent: Micros, outcome_draw: u8 },
    FirstByte { id: RequestId, attempt: usize },
    Gone(RequestId),
}

struct Replay {
    harness: Harness,
    rng: Pcg64Mcg,
    due: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    sequence: u64,
    attempts: std::collections::HashMap<RequestId, usize>,
    digest: u64,
    text: String,
}

impl Replay {
    fn new(settings: Settings, seed: u64) -> Replay {
        let list: Vec<_> = (0..SERVERS).map(server).collect();
        Replay {
            harness: Harness::new(settings, seed, &list),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            due: BinaryHeap::new(),
            sequence: 0,
            attempts: Default::default(),
            digest: 0xcbf2_9ce4_8422_2325,
            text: String::new(),
        }
    }

    fn random_below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn schedule(&mut self, delay: Micros, due: ScheduledEvent) {
        self.sequence += 1;
        self.due.push(Reverse((self.harness.now + delay, self.sequence, due)));
    }

    /// Adds the actions to the digest and applies them.
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            // Timers only schedule checks; they are not decisions.
            if !matches!(action, Action::Timer { .. }) {
                self.text.clear();
                write!(self.text, "{action:?}").expect("a string takes all");
                // `commit_within` was added after the digests were recorded; the test of the rules
                // checks it.
                if let Some(at) = self.text.find(", commit_within") {
                    self.text.replace_range(at.., " }");
                }
                for byte in self.text.bytes() {
                    self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                }
            }
            match action {
                Action::Timer { delay, token } => {
                    self.schedule(delay, ScheduledEvent::Timer(token))
                }
                Action::Send { id, server, .. } => {
                    let attempt = self.attempts.entry(id).or_default();
                    let n = *attempt;
                    *attempt += 1;
                    let outcome_draw = self.random_below(100) as u8;
                    let slow = 1 + server.0 % 5;
                    let latency = 5 * MS + self.random_below(40 * MS * slow);
                    let sent = self.harness.now;
                    if outcome_draw == 99 {
                        self.schedule(latency / 2, ScheduledEvent::FirstByte { id, attempt: n });
                    }
                    // Some attempts are never answered.
                    if outcome_draw != 98 {
                        self.schedule(
                            latency,
                            ScheduledEvent::Answer { id, attempt: n, server, sent, outcome_draw },
                        );
                    }
                }
                _ => {}
            }
        }
    }

    fn dispatch(&mut self, due: ScheduledEvent) {
        let event = match due {
            ScheduledEvent::Timer(token) => Event::Timer { token },
            ScheduledEvent::Gone(id) => Event::ClientGone { id },
            ScheduledEvent::FirstByte { id, attempt } => Event::FirstByte { id, attempt },
            ScheduledEvent::Answer { id, attempt, server, sent, outcome_draw } => {
                let outcome = match outcome_draw {
                    0..=4 => Outcome::Full,
                    5 | 6 => Outcome::Error,
                    7 | 8 => Outcome::Reset,
                    9 => Outcome::ConnectFailed,
                    10 => Outcome::TimedOut,
                    11 => Outcome::NeverSent,
                    _ => Outcome::Served,
                };
                let report = report((self.rng.next_u64() % 30) as f32);
                let latency = self.harness.now - sent;
                let finished = outcome == Outcome::Served;
                Event::Answer { id, attempt, server, outcome, latency, finished, report }
            }
        };
        let actions = self.harness.event(event);
        self.apply_actions(actions);
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, _, _))) = self.due.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, due))) = self.due.pop() else { break };
            self.harness.now = at;
            self.dispatch(due);
        }
        self.harness.now = end;
    }

    fn change_list(&mut self) {
        let n = self.random_below(SERVERS + 8);
        let health = [Health::Ready, Health::Draining, Health::Gone][self.random_below(3) as usize];
        let started = if self.random_below(2) == 0 { self.harness.now } else { 0 };
        let entry = ServerEntry { started, ..with_health(n, health) };
        let kind = match self.random_below(12) {
            0 => ListKind::Failed,
            1 => ListKind::Whole,
            _ => ListKind::Changes,
        };
        let list: Vec<_> = match kind {
            ListKind::Whole => (0..SERVERS).map(server).collect(),
            ListKind::Failed => Vec::new(),
            _ => vec![entry],
        };
        let actions = self.harness.servers(kind, &list);
        self.apply_actions(actions);
    }

    fn run(mut self) -> Vec<u64> {
        let mut digests = Vec::new();
        for n in 1..=REQUESTS {
            // Phases of high and low traffic alternate.
            let gap = if (n / 500) % 2 == 0 { 8 * MS } else { 120 * MS };
            let gap = self.random_below(gap);
            self.run_until(self.harness.now + gap);
            if n % 40 == 0 {
                self.change_list();
            }
            let class = self.random_below(3) as usize;
            self.harness.key = self.random_below(60);
            let hint = (self.random_below(4) == 0).then(|| 1 + self.rng.next_u64() % 50_000);
            let (id, actions) = self.harness.request_with(class, hint);
            self.apply_actions(actions);
            if self.random_below(25) == 0 {
                let wait = self.random_below(60 * MS);
                self.schedule(wait, ScheduledEvent::Gone(id));
            }
            if n % DIGEST_INTERVAL == 0 {
                digests.push(self.digest);
            }
        }
        digests
    }
}

fn assert_digests(
    name: &str,
    settings: Settings,
    seed: u64,
    expected: [u64; REQUESTS / DIGEST_INTERVAL],
) {
    let got = Replay::new(settings, seed).run();
    assert_eq!(got, expected, "{name}: now {got:#x?}");
}

#[test]
fn plain_events_give_the_recorded_actions() {
    assert_digests("plain", settings(|_| {}), 7, PLAIN);
}

#[test]
fn events_with_prices_and_discovery_on_request_give_the_recorded_actions() {
    let priced = settings(|s| {
        s["prices"] = serde_json::json!({"crossZone": 0.05, "connection": 0.2});
        s["discovery"] = "on_request".into();
        s["limits"]["retryAfter"] = true.into();
        s["limits"]["maxRetryAfter"] = 900_000.into();
        s["weightKind"] = "nominal".into();
        s["worthBy"] = "request".into();
    });
    assert_digests("priced", priced, 11, PRICED);
}

#[test]
fn events_with_warm_keys_and_streams_give_the_recorded_actions() {
    let warm = settings(|s| {
        s["familyInfo"] = serde_json::json!({"warmKeys": true});
        s["limits"]["mayDuplicate"] = false.into();
        s["limits"]["cancel"] = false.into();
        s["classes"][0]["streaming"] = true.into();
    });
    assert_digests("warm", warm, 13, WARM);
}

const PLAIN: [u64; 4] =
    [0x4357_4495_ec3c_f987, 0xdd59_c715_07bd_b5cb, 0x4065_e8bb_8dd1_8898, 0x95f7_59e1_5a5f_f84e];
const PRICED: [u64; 4] =
    [0xa88b_b68d_3acd_aca4, 0x8527_4c5b_ecbc_0b8d, 0xc09e_020f_047e_118f, 0x4251_52f8_5ffa_aae8];
const WARM: [u64; 4] =
    [0x632b_b0c9_906f_962d, 0x953e_d039_8ce6_8023, 0xf1e2_1971_398f_a1c0, 0xbcd6_d7da_65b1_ee3b];
