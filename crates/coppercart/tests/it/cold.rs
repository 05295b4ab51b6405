//! Slow start: the load that many sidecars with little traffic together send to freshly started
//! servers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::common::*;
use coppercart::api::*;
use coppercart::settings::Settings;
use millethook_testkit::Random;

/// The capacity of one server: concurrent requests, and the mean work of each.
const SLOTS: f64 = 2.0;
const WORK: Micros = 30 * MS;
/// The offered load as a share of the fleet's full capacity.
const UTILIZATION: f64 = 0.6;
const SERVERS: u64 = 20;
const DURATION_S: u64 = 20;

/// A scheduled event: its time, the sidecar, the request (`u64::MAX`: a list change), the server,
/// and the queue that the server reports.
type DueEvent = Reverse<(Micros, usize, u64, u64, usize)>;

/// A fleet of sidecars that decide independently, and the requests that each server gets.
struct Fleet {
    sidecars: Vec<Harness>,
    random: Random,
    due: BinaryHeap<DueEvent>,
    /// The send times per server within the `tip_after` period of the settings.
    sent: Vec<VecDeque<Micros>>,
    started: Vec<Micros>,
    /// The maximum number of requests that a cold server got, relative to what it tolerates.
    peak_overload: f64,
    rules: (f64, Micros, f64, Micros),
}

impl Fleet {
    fn new(size: u32) -> Fleet {
        let settings_of = |me: u32| -> Settings {
            settings(|s| {
                s["instances"] = size.into();
                s["me"] = me.into();
            })
        };
        let servers: Vec<_> = (0..SERVERS).map(server).collect();
        let rules = settings_of(0).rules;
        Fleet {
            sidecars: (0..size)
                .map(|me| Harness::new(settings_of(me), u64::from(me), &servers))
                .collect(),
            random: Random::new(u64::from(size)),
            due: BinaryHeap::new(),
            sent: vec![VecDeque::new(); SERVERS as usize],
            started: vec![0; SERVERS as usize],
            peak_overload: 0.0,
            rules: (rules.fall_multiple, rules.tip_after, rules.cold_share, rules.cold),
        }
    }

    /// Returns the share of its full capacity that a server has.
    fn warmth(&self, server: usize, now: Micros) -> f64 {
        let (_, _, share, cold) = self.rules;
        let age = now - self.started[server];
        if self.started[server] == 0 {
            return 1.0;
        }
        share + (1.0 - share) * (age as f64 / cold as f64).min(1.0)
    }

    /// Restarts servers now; each sidecar learns of it up to `late` later.
    fn restart(&mut self, which: &[u64], now: Micros, late: Micros) {
        for &n in which {
            self.started[n as usize] = now;
            self.sent[n as usize].clear();
        }
        for i in 0..self.sidecars.len() {
            let at = now + (self.random.uniform() * late as f64) as Micros;
            self.due.push(Reverse((at, i, u64::MAX, 0, 0)));
        }
    }

    fn apply_actions(&mut self, i: usize, now: Micros, actions: Vec<Action>) {
        let (multiple, window, _, cold) = self.rules;
        for action in actions {
            let Action::Send { id, server, .. } = action else { continue };
            let n = server.0 as usize;
            let log = &mut self.sent[n];
            log.push_back(now);
            while log.front().is_some_and(|&at| at + window <= now) {
                log.pop_front();
            }
            let received = log.len() as f64;
            if self.started[n] > 0 && now - self.started[n] < cold {
                let possible = SLOTS * self.warmth(n, now) * window as f64 / WORK as f64;
                let allowed = multiple * possible;
                let tolerated = allowed + 2.0 * allowed.sqrt() + 2.0;
                self.peak_overload = self.peak_overload.max(received / tolerated);
            }
            // The duration follows from the current capacity, and is longer after many requests.
            let capacity = SLOTS * self.warmth(n, now) / WORK as f64;
            let used = (received / window as f64 / capacity).min(0.95);
            let duration = WORK as f64 / self.warmth(n, now) / (1.0 - used);
            let duration = duration * -(1.0 - self.random.uniform()).ln();
            let queue = (SLOTS * used / (1.0 - used)) as usize;
            self.due.push(Reverse((now + duration as Micros, i, id.0, server.0, queue)));
        }
    }

    /// Removes servers now; each sidecar learns of it at once.
    fn remove(&mut self, which: &[u64], now: Micros) {
        let gone: Vec<_> = which.iter().map(|&n| with_health(n, Health::Gone)).collect();
        for harness in &mut self.sidecars {
            harness.now = now;
            harness.servers(ListKind::Changes, &gone);
        }
    }

    /// Runs the simulation; `cold` are the servers that each sidecar learns of at its scheduled
    /// time.
    fn run(&mut self, from: Micros, to: Micros, cold: &[u64]) {
        let arrival_rate = UTILIZATION * SERVERS as f64 * SLOTS / WORK as f64;
        let mut now = from;
        loop {
            now += (-(1.0 - self.random.uniform()).ln() / arrival_rate) as Micros;
            while let Some(&Reverse((at, i, id, server, queue))) = self.due.peek() {
                if at > now.min(to) {
                    break;
                }
                self.due.pop();
                let harness = &mut self.sidecars[i];
                harness.now = at;
                let actions = if id == u64::MAX {
                    let started = &self.started;
                    let entry = |&n: &u64| ServerEntry {
                        started: started[n as usize],
                        ..crate::common::server(n)
                    };
                    let entries: Vec<_> = cold.iter().map(entry).collect();
                    harness.servers(ListKind::Changes, &entries)
                } else {
                    let id = RequestId(id);
                    harness.answer(id, 0, ServerId(server), Outcome::Served, queue as f32)
                };
                self.apply_actions(i, at, actions);
            }
            if now > to {
                return;
            }
            let i = (self.random.uniform() * self.sidecars.len() as f64) as usize;
            self.sidecars[i].now = now;
            let (_, actions) = self.sidecars[i].request(0);
            self.apply_actions(i, now, actions);
        }
    }
}

/// Rule 4 limits the sum over all sidecars, with a tolerance for chance of two square roots plus
/// two. Covers 20, 30 and 300 sidecars; one server that starts, a quarter of them at once, and a
/// zone that returns; and sidecars that learn of the start up to a second late.
#[test]
fn all_sidecars_together_do_not_overload_a_cold_server() {
    for size in [20, 30, 300] {
        let zone: Vec<u64> = (0..SERVERS).filter(|n| n % 2 == 0).collect();
        for (cold, late) in [(vec![3], 0), (vec![0, 1, 2, 3, 4], 0), (zone, 0), (vec![3, 4], S)] {
            let mut fleet = Fleet::new(size);
            fleet.run(START, START + 5 * S, &[]);
            fleet.restart(&cold, START + 5 * S, late);
            fleet.run(START + 5 * S, START + DURATION_S * S, &cold);
            assert!(fleet.peak_overload > 0.0, "no cold server was sent anything");
            assert!(
                fleet.peak_overload < 1.0,
                "{size}, {cold:?}, {late}: {:.2}",
                fleet.peak_overload
            );
        }
    }
}

/// Rule 4 also holds if no other server can take the load: a server that starts as all others
/// leave, or seconds later, gets no more than the settings allow, but gets something.
#[test]
fn a_cold_server_without_other_servers_is_not_overloaded() {
    for size in [1, 2, 20, 300] {
        for gap_before_start in [0, 2 * S] {
            let mut fleet = Fleet::new(size);
            let others: Vec<u64> = (1..SERVERS).collect();
            fleet.run(START, START + 5 * S, &[]);
            fleet.remove(&others, START + 5 * S);
            fleet.run(START + 5 * S, START + 5 * S + gap_before_start, &[]);
            fleet.restart(&[0], START + 5 * S + gap_before_start, 0);
            fleet.run(START + 5 * S + gap_before_start, START + DURATION_S * S, &[0]);
            assert!(fleet.peak_overload > 0.0, "the cold server was sent nothing");
            assert!(
                fleet.peak_overload < 1.0,
                "{size}, {gap_before_start}: {:.2}",
                fleet.peak_overload
            );
        }
    }
}

/// Where warm servers can take the load, no request is refused to protect a cold one.
#[test]
fn no_request_is_refused_for_a_cold_server_beside_warm_ones() {
    let list: Vec<_> = (0..SERVERS).map(server).collect();
    let mut harness = Harness::new(settings(|_| {}), 1, &list);
    let gone: Vec<_> = (10..SERVERS).map(|n| with_health(n, Health::Gone)).collect();
    harness.servers(ListKind::Changes, &gone);
    harness.servers(ListKind::Changes, &[ServerEntry { started: START, ..server(0) }]);
    for _ in 0..200 {
        assert!(harness.round(0, 0.0).is_some());
    }
}
