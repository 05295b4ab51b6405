//! A fleet that does not come back by itself: servers hang for some seconds, clients ask again, and all that is asked from
//! then on is late. One balancer, queues of servers and clients that retry, on a virtual clock.

use std::collections::{BTreeMap, HashMap, VecDeque};

use coppercart::api::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::common::*;

const SERVERS: u64 = 6;
/// Requests that a server works on at once.
const CORES: usize = 2;
/// Requests that wait at a server; it refuses more as full. In both forms far more than clients wait for.
const QUEUES: [usize; 2] = [400, 40];
/// The mean work of a request, exponential.
const WORK: Micros = 30 * MS;
/// Between two operations of clients: 40% of what the servers can do.
const ARRIVAL: Micros = WORK / (CORES as Micros * SERVERS) * 5 / 2;
/// Each client waits so long for each of its tries. The aim of the class is 200 ms.
const PATIENCE: Micros = 150 * MS;
/// Tries of a client, one right after the other.
const TRIES: u32 = 4;
const REFUSAL: Micros = MS;
const HANG: std::ops::Range<Micros> = START + 5 * S..START + 9 * S;
/// These servers work on nothing in that time.
const HUNG: std::ops::Range<u64> = 0..3;
const END: Micros = START + 40 * S;
/// Service is looked at from here on, 11 s after the hang.
const LOOK: Micros = START + 20 * S;

enum Due {
    Arrival,
    Outcome { request: u64, attempt: usize, outcome: Outcome },
    WorkDone { server: u64, request: u64, attempt: usize },
    Timer(u32),
    HangEnds,
}

#[derive(Default)]
struct ServerState {
    waiting: VecDeque<(u64, usize)>,
    working: usize,
}

struct Try {
    operation: u64,
    /// How many tries came before it.
    earlier: u32,
    /// The server of each attempt and when it was sent; None: it has ended.
    attempts: Vec<Option<(ServerId, Micros)>>,
    ended: bool,
}

struct World {
    bench: Bench,
    /// One of [`QUEUES`].
    queue: usize,
    random: Pcg64Mcg,
    due: BTreeMap<(Micros, u64), Due>,
    scheduled: u64,
    servers: Vec<ServerState>,
    tries: HashMap<u64, Try>,
    operations: u64,
    /// Operations from `LOOK` on: all, and those served.
    asked: u64,
    served: u64,
    /// Attempts by second.
    attempts: BTreeMap<Micros, u64>,
}

impl World {
    fn new(seed: u64, queue: usize) -> World {
        let list: Vec<_> = (0..SERVERS).map(|n| ServerEntry { zone: 0, ..server(n) }).collect();
        let mut world = World {
            bench: Bench::new(settings(|s| s["limits"]["maxAttempts"] = 3.into()), seed, &list),
            queue,
            random: Pcg64Mcg::seed_from_u64(seed),
            due: BTreeMap::new(),
            scheduled: 0,
            servers: (0..SERVERS).map(|_| ServerState::default()).collect(),
            tries: HashMap::new(),
            operations: 0,
            asked: 0,
            served: 0,
            attempts: BTreeMap::new(),
        };
        world.later(0, Due::Arrival);
        world.later(HANG.end - START, Due::HangEnds);
        world
    }

    fn later(&mut self, wait: Micros, due: Due) {
        self.scheduled += 1;
        self.due.insert((self.bench.now + wait, self.scheduled), due);
    }

    fn exponential(&mut self, mean: Micros) -> Micros {
        let uniform = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        (-(1.0 - uniform).ln() * mean as f64) as Micros
    }

    fn play(&mut self) {
        while let Some(((at, _), due)) = self.due.pop_first() {
            if at > END {
                return;
            }
            self.bench.now = at;
            match due {
                Due::Arrival => self.arrival(),
                Due::Outcome { request, attempt, outcome } => {
                    self.outcome(request, attempt, outcome);
                }
                Due::WorkDone { server, request, attempt } => {
                    self.servers[server as usize].working -= 1;
                    self.outcome(request, attempt, Outcome::Served);
                    self.work(server);
                }
                Due::Timer(token) => {
                    let actions = self.bench.event(Event::Timer { token });
                    self.follow(actions);
                }
                Due::HangEnds => HUNG.for_each(|server| self.work(server)),
            }
        }
    }

    fn arrival(&mut self) {
        let gap = self.exponential(ARRIVAL);
        self.later(gap, Due::Arrival);
        self.operations += 1;
        self.asked += u64::from(self.bench.now >= LOOK);
        self.ask(self.operations, 0);
    }

    fn ask(&mut self, operation: u64, earlier: u32) {
        let request = self.scheduled + 1;
        self.scheduled += 1;
        let state = Try { operation, earlier, attempts: Vec::new(), ended: false };
        self.tries.insert(request, state);
        let actions = self.bench.event(Event::Request(NewRequest {
            id: RequestId(request),
            class: 0,
            tenant: 0,
            key: 0,
            left: PATIENCE,
            hint: None,
            repeat: false,
        }));
        self.follow(actions);
    }

    fn follow(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, timeout, .. } => self.send(id.0, server, timeout),
                Action::Cancel { id, attempt } => {
                    let outcome = Outcome::Cancelled;
                    self.later(0, Due::Outcome { request: id.0, attempt, outcome });
                }
                Action::Refuse { id, .. } | Action::Fail { id } => self.ends(id.0, false),
                Action::Timer { delay, token } => self.later(delay, Due::Timer(token)),
                _ => {}
            }
        }
    }

    fn send(&mut self, request: u64, server: ServerId, timeout: Micros) {
        *self.attempts.entry(self.bench.now / S).or_default() += 1;
        let attempts = &mut self.tries.get_mut(&request).expect("asked").attempts;
        attempts.push(Some((server, self.bench.now)));
        let attempt = attempts.len() - 1;
        let full = self.servers[server.0 as usize].waiting.len() >= self.queue;
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
        if HUNG.contains(&server) && HANG.contains(&self.bench.now) {
            return;
        }
        while self.servers[server as usize].working < CORES {
            let next = self.servers[server as usize].waiting.pop_front();
            let Some((request, attempt)) = next else { return };
            self.servers[server as usize].working += 1;
            let takes = self.exponential(WORK);
            self.later(takes, Due::WorkDone { server, request, attempt });
        }
    }

    fn outcome(&mut self, request: u64, attempt: usize, outcome: Outcome) {
        let Some(state) = self.tries.get_mut(&request) else { return };
        let Some((server, sent)) = state.attempts[attempt].take() else { return };
        let served = outcome == Outcome::Served && !state.ended;
        if served {
            self.ends(request, true);
        }
        let finished = self.tries[&request].ended;
        let actions = self.bench.event(Event::Answer {
            id: RequestId(request),
            attempt,
            server,
            outcome,
            latency: self.bench.now - sent,
            finished,
            report: LoadReport::default(),
        });
        self.follow(actions);
    }

    /// The client has its answer, and asks once more if it was none.
    fn ends(&mut self, request: u64, served: bool) {
        let state = self.tries.get_mut(&request).expect("asked");
        if std::mem::replace(&mut state.ended, true) {
            return;
        }
        let (operation, earlier) = (state.operation, state.earlier);
        if served {
            self.served += u64::from(self.bench.now >= LOOK);
        } else if earlier + 1 < TRIES {
            self.ask(operation, earlier + 1);
        }
    }
}

/// Seeds, and queues of servers.
fn plays() -> impl Iterator<Item = (u64, usize)> {
    (0..8).flat_map(|seed| QUEUES.map(|queue| (seed, queue)))
}

/// What callers saw: on one short day (roll, seed 347 of long-haul) 18% of the work was served where 96% could have been.
/// Servers hung for some seconds, clients that got no answer asked again, and from then on all attempts timed out at
/// servers with long queues, long after the hang. Each client waits for less than the aim there (946 ms of 1852, 584 of
/// 1088), and how late answers are was looked at when the aim had passed, so nobody looked. Refusals of full servers also
/// counted as answers that had overtaken what waits, which took that for a fault of its connection. What showed it: by
/// half seconds a sidecar had 0 answers, 60 time-outs and 70 refusals, and a lateness of 0.02 where shedding begins at
/// 0.06. Looked at the end of an attempt's time, lateness rises, what cannot be served is refused, and queues empty.
#[test]
fn a_fleet_comes_back_after_a_hang_though_clients_wait_for_less_than_the_aim() {
    for (seed, queue) in plays() {
        let mut world = World::new(seed, queue);
        world.play();
        let share = world.served as f64 / world.asked as f64;
        assert!(share > 0.9, "seed {seed}, queue {queue}: {share:.3} of {} served", world.asked);
    }
}

/// What was seen: with the lateness from above a sidecar refused all for 4 s and more, long after the queues were empty.
/// Who sheds all hears of no answer, and believes what it saw until that has faded. Some of each second go out.
#[test]
fn no_second_of_an_overload_goes_by_without_an_attempt() {
    for (seed, queue) in plays() {
        let mut world = World::new(seed, queue);
        world.play();
        for second in START / S..END / S {
            let attempts = world.attempts.get(&second).copied().unwrap_or(0);
            assert!(
                attempts > 0,
                "seed {seed}, queue {queue}: none from {} s on",
                second - START / S
            );
        }
    }
}
