//! A long seeded stream of events, and a digest of the actions that it brings forth: a change that
//! is to move code and no decision leaves every digest as it is.
//!
//! One that is to decide otherwise changes them: the failing test prints what stands there now.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt::Write;

use crate::common::*;
use coppercart::api::*;
use coppercart::settings::Settings;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVERS: u64 = 24;
/// Requests of one stream, and how many lie between two digests.
const REQUESTS: usize = 4000;
const EVERY: usize = 1000;

/// What is to happen, and when.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u32),
    Answer { id: RequestId, attempt: usize, server: ServerId, sent: Micros, how: u8 },
    FirstByte { id: RequestId, attempt: usize },
    Gone(RequestId),
}

struct World {
    bench: Bench,
    rng: Pcg64Mcg,
    due: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    order: u64,
    attempts: std::collections::HashMap<RequestId, usize>,
    digest: u64,
    text: String,
}

impl World {
    fn new(settings: Settings, seed: u64) -> World {
        let list: Vec<_> = (0..SERVERS).map(server).collect();
        World {
            bench: Bench::new(settings, seed, &list),
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed),
            due: BinaryHeap::new(),
            order: 0,
            attempts: Default::default(),
            digest: 0xcbf2_9ce4_8422_2325,
            text: String::new(),
        }
    }

    fn below(&mut self, n: u64) -> u64 {
        self.rng.next_u64() % n
    }

    fn later(&mut self, delay: Micros, due: Due) {
        self.order += 1;
        self.due.push(Reverse((self.bench.now + delay, self.order, due)));
    }

    /// Takes the actions into the digest and has the world follow them.
    fn follow(&mut self, actions: Vec<Action>) {
        for action in actions {
            // What timers are set is how the decisions look again, not what they decide.
            if !matches!(action, Action::Timer { .. }) {
                self.text.clear();
                write!(self.text, "{action:?}").expect("a string takes all");
                // How long a send has to go out came later than the digests; the rules' test judges it.
                if let Some(at) = self.text.find(", commit_within") {
                    self.text.replace_range(at.., " }");
                }
                for byte in self.text.bytes() {
                    self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                }
            }
            match action {
                Action::Timer { delay, token } => self.later(delay, Due::Timer(token)),
                Action::Send { id, server, .. } => {
                    let attempt = self.attempts.entry(id).or_default();
                    let n = *attempt;
                    *attempt += 1;
                    let how = self.below(100) as u8;
                    let slow = 1 + server.0 % 5;
                    let takes = 5 * MS + self.below(40 * MS * slow);
                    let sent = self.bench.now;
                    if how == 99 {
                        self.later(takes / 2, Due::FirstByte { id, attempt: n });
                    }
                    // Some are never answered.
                    if how != 98 {
                        self.later(takes, Due::Answer { id, attempt: n, server, sent, how });
                    }
                }
                _ => {}
            }
        }
    }

    fn happen(&mut self, due: Due) {
        let event = match due {
            Due::Timer(token) => Event::Timer { token },
            Due::Gone(id) => Event::ClientGone { id },
            Due::FirstByte { id, attempt } => Event::FirstByte { id, attempt },
            Due::Answer { id, attempt, server, sent, how } => {
                let outcome = match how {
                    0..=4 => Outcome::Full,
                    5 | 6 => Outcome::Error,
                    7 | 8 => Outcome::Reset,
                    9 => Outcome::ConnectFailed,
                    10 => Outcome::TimedOut,
                    11 => Outcome::NeverSent,
                    _ => Outcome::Served,
                };
                let report = report((self.rng.next_u64() % 30) as f32);
                let latency = self.bench.now - sent;
                let finished = outcome == Outcome::Served;
                Event::Answer { id, attempt, server, outcome, latency, finished, report }
            }
        };
        let actions = self.bench.event(event);
        self.follow(actions);
    }

    fn run_until(&mut self, end: Micros) {
        while let Some(Reverse((at, _, _))) = self.due.peek() {
            if *at > end {
                break;
            }
            let Some(Reverse((at, _, due))) = self.due.pop() else { break };
            self.bench.now = at;
            self.happen(due);
        }
        self.bench.now = end;
    }

    fn list_changes(&mut self) {
        let n = self.below(SERVERS + 8);
        let health = [Health::Ready, Health::Draining, Health::Gone][self.below(3) as usize];
        let started = if self.below(2) == 0 { self.bench.now } else { 0 };
        let entry = ServerEntry { started, ..with_health(n, health) };
        let kind = match self.below(12) {
            0 => ListKind::Failed,
            1 => ListKind::Whole,
            _ => ListKind::Changes,
        };
        let list: Vec<_> = match kind {
            ListKind::Whole => (0..SERVERS).map(server).collect(),
            ListKind::Failed => Vec::new(),
            _ => vec![entry],
        };
        let actions = self.bench.servers(kind, &list);
        self.follow(actions);
    }

    fn play(mut self) -> Vec<u64> {
        let mut digests = Vec::new();
        for n in 1..=REQUESTS {
            // Busy and quiet stretches take turns.
            let gap = if (n / 500) % 2 == 0 { 8 * MS } else { 120 * MS };
            let gap = self.below(gap);
            self.run_until(self.bench.now + gap);
            if n % 40 == 0 {
                self.list_changes();
            }
            let class = self.below(3) as usize;
            self.bench.key = self.below(60);
            let hint = (self.below(4) == 0).then(|| 1 + self.rng.next_u64() % 50_000);
            let (id, actions) = self.bench.request_with(class, hint);
            self.follow(actions);
            if self.below(25) == 0 {
                let wait = self.below(60 * MS);
                self.later(wait, Due::Gone(id));
            }
            if n % EVERY == 0 {
                digests.push(self.digest);
            }
        }
        digests
    }
}

fn check(name: &str, settings: Settings, seed: u64, expected: [u64; REQUESTS / EVERY]) {
    let got = World::new(settings, seed).play();
    assert_eq!(got, expected, "{name}: now {got:#x?}");
}

#[test]
fn the_plain_stream_brings_the_same_actions() {
    check("plain", settings(|_| {}), 7, PLAIN);
}

#[test]
fn the_stream_with_prices_and_asked_discovery_brings_the_same_actions() {
    let priced = settings(|s| {
        s["prices"] = serde_json::json!({"crossZone": 0.05, "connection": 0.2});
        s["discovery"] = "on_request".into();
        s["limits"]["retryAfter"] = true.into();
        s["limits"]["maxRetryAfter"] = 900_000.into();
        s["weightKind"] = "nominal".into();
        s["worthBy"] = "request".into();
    });
    check("priced", priced, 11, PRICED);
}

#[test]
fn the_stream_with_warm_keys_and_streams_brings_the_same_actions() {
    let warm = settings(|s| {
        s["familyInfo"] = serde_json::json!({"warmKeys": true});
        s["limits"]["mayDuplicate"] = false.into();
        s["limits"]["cancel"] = false.into();
        s["classes"][0]["streaming"] = true.into();
    });
    check("warm", warm, 13, WARM);
}

const PLAIN: [u64; 4] =
    [0x4357_4495_ec3c_f987, 0xdd59_c715_07bd_b5cb, 0x4065_e8bb_8dd1_8898, 0x95f7_59e1_5a5f_f84e];
const PRICED: [u64; 4] =
    [0xa88b_b68d_3acd_aca4, 0x8527_4c5b_ecbc_0b8d, 0xc09e_020f_047e_118f, 0x4251_52f8_5ffa_aae8];
const WARM: [u64; 4] =
    [0x632b_b0c9_906f_962d, 0x953e_d039_8ce6_8023, 0xf1e2_1971_398f_a1c0, 0xbcd6_d7da_65b1_ee3b];
