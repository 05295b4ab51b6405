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
use crate::settings::*;

/// Algorithm 1 of the paper measures a queue against this share of the capacity.
const CAPACITY_SHARE: f64 = 0.8;
/// The paper's span for the average of reported queues, and how long no capacity is known.
const CAPACITY_SPAN: Micros = 30_000_000;
/// Chips a server can hold here: enough for a burst, few enough that a wipe costs little to regain.
const MAX_CHIPS: u32 = 16;
/// Draws for each of the two picks. With half of the servers out, one in 250 picks finds none.
const REDRAWS: usize = 8;
/// Sends that a request refused as full may cost in all, if the settings allow as many.
const FULL_TRIES: usize = 4;
/// Repeats after failures, as a share of requests: a tenth, as is usual.
const RETRY_SHARE: f64 = 0.1;
/// Repeats that may be saved up; a few, so that one sick server does not spend a minute's worth.
const RETRY_SAVED: f64 = 5.0;
/// The weight of one more answer in a running mean: what a quiet sidecar hears in some seconds.
const FEW: f64 = 0.15;
/// The rate, in requests a second, up to which a sidecar is quiet in this sense. Means are to forget
/// by time: at a busier one each answer weighs less, or they would follow every single answer.
const QUIET_RATE: f64 = 20.0;
/// How loaded a refusal as full shows a server to be: more than answers do.
const FULL_LOAD: f64 = 16.0;
/// The rate up to which each answer moves the share that crosses in full.
const SPILL_RATE: f64 = 4.0;
/// A report is half forgotten after this many of the longest aims.
const REPORT_FADES: f64 = 2.0;
/// The least number of servers in a sidecar's subset: two sick ones must leave a choice, and the
/// load that subsets lay on servers must even out.
const SUBSET: usize = 5;
/// What the open connections of all subsets may cost, in points of the result.
const CONNECTIONS_COST: f64 = 0.05;
/// Points of each server on the ring: their number evens out the keys.
const RING_POINTS: f64 = 16.0;
/// With fewer servers than this in its own zone, a sidecar puts keys on servers of all zones.
const RING_LEAST: usize = 3;
/// Keys of so many last requests are remembered, to tell the hot ones.
const KEYS_MET: usize = 64;
/// The least draw weight of far servers: some are kept known, for when they are needed.
const FAR_LEAST: f64 = 0.05;
/// How much more load at home than away (a logarithm) a point of the crossing's price is worth:
/// at a few points, home may be a fifth more loaded.
const CROSSING_WORTH: f64 = 4.0;
/// How far a point of the price lowers far servers' first chance of a draw, before loads are known.
const CROSSING_SHY: f64 = 80.0;
/// How many more requests of ours a server at home has out than one away when a crossing pays, and how
/// many more one with chips than one without: what waits behind so many is late.
const CROSS_AT: f64 = 4.0;
/// Seconds over which a sidecar's own rate is taken.
const RATE_SPAN: f64 = 10.0;
/// Failures in a row after which trials are no rarer still (each one doubles the pause).
const MAX_DOUBLINGS: u32 = 5;
/// The lateness at which the class that earns most for its work begins to be shed, how much sooner
/// one is that earns an e-th of it, the least lateness to shed at, and how much more sheds all.
const SHED_LAST: f64 = 0.3;
const SHED_SPREAD: f64 = 0.15;
const SHED_FROM: f64 = 0.06;
const SHED_BAND: f64 = 0.1;
/// Servers whose lateness is kept in view: enough that a third of them is no chance.
const SIGHTS: usize = 16;
/// When a second copy goes out, as a share of the aim: late enough that few answers are still to
/// come, and early enough that the copy's own answer is in time.
const COPY_AT: f64 = 0.5;
/// The answer time, in aims, that is taken for granted of what has not come by its aim.
const LATE_AT_AIM: f64 = 1.5;
/// Up to here a server may look slow by chance: a dozen answers with a spread of once their mean.
const CHANCE_SLOW: f64 = 1.6;
/// Answer times count as so many times the usual at most: one heavy request is no sick server.
const MOST_SLOW: f64 = 4.0;
/// The weight of one more answer time of a server: a quiet sidecar hears of one in seconds only.
const SLOW_NEWS: f64 = 0.3;
/// Requests count as so many times as heavy as the usual at most: hints are rough.
const MOST_HEAVY: f64 = 6.0;
/// Servers in time that are taken for granted beside those in view.
const DOUBT: f64 = 1.5;
/// A lateness that no answer renews fades over this many of the longest aims.
const LATENESS_FADES: f64 = 4.0;

type Slot = usize;

/// What a sidecar knows of one server.
#[derive(Debug)]
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
    shunned_until: Micros,
    /// The last report's load and when it came.
    load: f64,
    reported: Micros,
    /// Answer times here, relative to the usual ones of their classes.
    slowness: f64,
    average: Average,
    /// It is of this sidecar's subset.
    kept: bool,
}

/// The average of reported queues over the paper's span.
#[derive(Debug, Default)]
struct Average {
    since: Micros,
    sum: f64,
    count: f64,
    last: Option<f64>,
}

impl Average {
    fn add(&mut self, now: Micros, queue: f64) {
        if self.count == 0.0 {
            self.since = now;
        }
        self.sum += queue;
        self.count += 1.0;
        if now - self.since >= CAPACITY_SPAN {
            self.last = Some(self.sum / self.count);
            (self.sum, self.count) = (0.0, 0.0);
        }
    }
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
    heavy: f64,
    deadline: Micros,
    /// It has its final answer; only outcomes of attempts still out are awaited.
    ended: bool,
    /// A stream has begun: its time no longer runs, and nothing else may be sent.
    streaming: bool,
    attempts: SmallVec<[Attempt; 2]>,
}

impl Request {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.fate == Fate::Out).count()
    }
    fn cancel(&self, id: RequestId, but: Option<usize>, out: &mut Vec<Action>) {
        let of = |n: &usize| Some(*n) != but && self.attempts[*n].fate == Fate::Out;
        let all = (0..self.attempts.len()).filter(of);
        out.extend(all.map(|attempt| Action::Cancel { id, attempt }));
    }
    fn untouched(&self) -> bool {
        self.attempts.iter().all(|a| a.fate == Fate::NeverRan)
    }
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
    /// Slots of the servers that may be sent to, and the running sum of their draw weights.
    ready: Vec<Slot>,
    sums: Vec<f64>,
    /// The same for this sidecar's own subset of them.
    near: Vec<Slot>,
    near_sums: Vec<f64>,
    /// Points of the servers on a ring, for keys that warm them.
    ring: Vec<(u64, Slot)>,
    met: [u64; KEYS_MET],
    met_at: usize,
    weighed: Micros,
    ranked_at_rate: f64,
    /// The draw weight of servers across a priced crossing, and the loads reported on either side.
    far_share: f64,
    far_first: f64,
    far_least: f64,
    side_load: [f64; 2],
    /// Requests a second here, as a running mean.
    rate: f64,
    rate_at: Micros,
    requests: FxHashMap<RequestId, Request>,
    alarms: FxHashMap<u32, Alarm>,
    next_token: u32,
    learned: Vec<Learned>,
    /// How late each server's last answers were, and what this says of the fleet.
    sights: SmallVec<[(Slot, f64, Micros); SIGHTS]>,
    lateness: f64,
    late_at: Micros,
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
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Balancer {
        let longest = |f: fn(&Class) -> Micros| settings.classes.iter().map(f).max().unwrap_or(1);
        let classes = settings.classes.len();
        let far_first = 1.0 / (1.0 + CROSSING_SHY * settings.prices.cross_zone.max(0.0));
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: Vec::new(),
            by_id: FxHashMap::default(),
            ready: Vec::new(),
            sums: Vec::new(),
            near: Vec::new(),
            near_sums: Vec::new(),
            ring: Vec::new(),
            met: [0; KEYS_MET],
            met_at: 0,
            weighed: now,
            ranked_at_rate: 0.0,
            far_share: far_first,
            far_first,
            far_least: FAR_LEAST,
            side_load: [1.0; 2],
            rate: 0.0,
            rate_at: now,
            requests: FxHashMap::default(),
            alarms: FxHashMap::default(),
            next_token: 0,
            learned: vec![Learned::default(); classes],
            sights: SmallVec::new(),
            lateness: 0.0,
            late_at: now,
            usual_load: 0.0,
            retry_budget: 1.0,
            subscribe_failures: 0,
            queue_column: settings.column("q"),
            load_column: settings.column("rif").or(settings.column("q")),
            held_column: settings.column("rif"),
            answer_mean: (0.0, 1.0),
            longest_aim: longest(|c| c.aim) as f64,
            reset_interval: longest(|c| c.deadline),
            now,
            settings,
        }
    }

    /// Takes one event and appends what to do about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now.max(self.now);
        match event {
            Event::Servers { kind, entries } => self.servers_changed(kind, entries, out),
            Event::Request(new) => self.request(new, out),
            Event::FirstByte { id, attempt } => self.first_byte(id, attempt, out),
            Event::Answer { id, attempt, server, outcome, latency, finished, report } => {
                self.heard(id, attempt, server, outcome, latency as f64, &report);
                // Danger: a connection opened once for want of a better server stays until it is
                // idle for long. It may cost, and thousands of them fill the servers' tables.
                let idle = self.by_id.get(&server).map(|&slot| &self.servers[slot]);
                if idle.is_some_and(|s| !s.kept && s.in_flight == 0) {
                    out.push(Action::CloseIdle { server });
                }
                self.settle(id, attempt, outcome, finished, out);
            }
            Event::ClientGone { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.ended = true;
                    self.call_off(id, out);
                }
            }
            Event::Timer { token } => self.timer(token, out),
            Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    // ---- The list of servers ----

    fn servers_changed(&mut self, kind: ListKind, entries: &[ServerEntry], out: &mut Vec<Action>) {
        let asked = self.settings.discovery == Discovery::Asked;
        match kind {
            ListKind::Failed => {
                // Danger: thousands of sidecars that lose discovery together would call it down
                // again together. Each waits a random, growing time, well within `mustAskIn`.
                if asked {
                    let most = (self.settings.rules.must_ask_in.max(4) / 2) as f64;
                    let wait = most / f64::from(4 >> self.subscribe_failures.min(2));
                    self.subscribe_failures += 1;
                    let wait = (wait * (0.25 + 0.75 * self.uniform())) as Micros;
                    self.set_alarm(wait, Alarm::Subscribe, out);
                }
                return;
            }
            ListKind::Remembered if asked => {
                let wait =
                    (self.uniform() * self.settings.rules.must_ask_in as f64 / 2.0) as Micros;
                self.set_alarm(wait, Alarm::Subscribe, out);
            }
            _ => self.subscribe_failures = 0,
        }
        if kind != ListKind::Changes {
            let listed: rustc_hash::FxHashSet<ServerId> = entries.iter().map(|e| e.id).collect();
            for s in &mut self.servers {
                if !listed.contains(&s.id) {
                    s.health = Health::Gone;
                }
            }
        }
        for e in entries {
            self.list_entry(e);
        }
        self.choose_subset();
    }

    fn list_entry(&mut self, e: &ServerEntry) {
        let power = if e.power.is_finite() && e.power > 0.0 { f64::from(e.power) } else { 1.0 };
        let slot = match self.by_id.get(&e.id) {
            Some(&slot) => slot,
            None if e.health == Health::Gone => return,
            None => {
                let fresh = Server::new(e);
                // A slot whose server is gone and owes no outcome is used again.
                let free =
                    self.servers.iter().position(|s| s.health == Health::Gone && s.in_flight == 0);
                let slot = match free {
                    Some(slot) => {
                        self.by_id.remove(&self.servers[slot].id);
                        self.servers[slot] = fresh;
                        slot
                    }
                    None => {
                        self.servers.push(fresh);
                        self.servers.len() - 1
                    }
                };
                self.by_id.insert(e.id, slot);
                slot
            }
        };
        let s = &mut self.servers[slot];
        if e.started > s.started {
            // A restart under the same id: what was known of the old process is void, and the
            // new one is cold. Attempts still out keep their count.
            let in_flight = s.in_flight;
            *s = Server::new(e);
            s.in_flight = in_flight;
        }
        (s.zone, s.cell, s.health, s.power) = (e.zone, e.cell, e.health, power);
    }

    /// The share of its full capacity that a server surely has by now.
    fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.settings.rules;
        if s.started == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64;
        let grown = (age / (rules.cold.max(1) as f64)).min(1.0);
        rules.cold_share + (1.0 - rules.cold_share) * grown
    }

    fn listed(&self, s: &Server) -> f64 {
        match self.settings.weight_kind {
            PowerMeans::Nominal | PowerMeans::Rough => s.power,
            PowerMeans::Silent | PowerMeans::Live => 1.0,
        }
    }

    fn weight(&self, s: &Server) -> f64 {
        // Danger: a cold server takes a few times its present capacity and no more. Drawn by
        // that capacity it gets its due even if all sidecars do the same.
        let crossing = if self.far(s) { self.far_share } else { 1.0 };
        self.listed(s) * self.warmth(s) * crossing
    }

    /// Whether sending there has a price that sending nearby has not.
    fn far(&self, s: &Server) -> bool {
        self.settings.prices.cross_zone > 0.0 && s.zone != self.settings.zone
    }

    /// Chooses this sidecar's subset. Danger: a quiet sidecar that sends to the whole fleet hears
    /// of a server once in a minute, and thousands of them fill the servers' connection tables.
    /// Each draws from a subset of its own, by rendezvous hashing, sized by what it can keep fresh.
    fn choose_subset(&mut self) {
        let me = mix(u64::from(self.settings.me));
        let (servers, ready) = (&self.servers, &mut self.ready);
        ready.clear();
        ready.extend((0..servers.len()).filter(|&i| servers[i].health == Health::Ready));
        // Danger: with many zones even a low weight for each far server makes most draws far.
        let away = self.ready.iter().filter(|&&i| self.far(&self.servers[i])).count();
        let near = (self.ready.len() - away).max(1) as f64;
        self.far_least = FAR_LEAST * (near / away.max(1) as f64).min(1.0);
        let rank = |&slot: &Slot| {
            let s = &self.servers[slot];
            let share = if self.far(s) { self.far_first } else { 1.0 };
            let u = (mix(s.id.0 ^ me) >> 11) as f64 / (1u64 << 53) as f64;
            (-u.max(f64::MIN_POSITIVE).ln() / share, slot)
        };
        let mut ranked: Vec<(f64, Slot)> = self.ready.iter().map(rank).collect();
        self.ranked_at_rate = self.rate;
        let mut size = SUBSET;
        // Danger: each server of the subset is an open connection, and they can cost more than the
        // choice earns. The subset is cut to what a set price buys.
        if self.settings.prices.connection > 0.0 {
            let each = self.settings.prices.connection * f64::from(self.settings.instances);
            let most = CONNECTIONS_COST * 100.0 * ranked.len() as f64 / each.max(1e-9);
            size = size.min((most as usize).max(2));
        }
        // Danger: the few busy sidecars together on few servers push a cold one over.
        size = size.max((self.rate * self.reset_interval as f64 / 1e6) as usize);
        if size < ranked.len() {
            ranked.select_nth_unstable_by(size, |a, b| a.0.total_cmp(&b.0));
            ranked.truncate(size);
        }
        self.near.clear();
        self.near.extend(ranked.iter().map(|r| r.1));
        self.servers.iter_mut().for_each(|s| s.kept = false);
        for &slot in &self.near {
            self.servers[slot].kept = true;
        }
        let mut ring = std::mem::take(&mut self.ring);
        ring.clear();
        // Danger: kept apart by their keys, requests reach every server from every sidecar. Where
        // connections have a price the subset stays.
        let prices = &self.settings.prices;
        if self.settings.family_info.warm_keys && prices.connection + prices.handshake <= 0.0 {
            let near = |i: &Slot| !self.far(&self.servers[*i]);
            let all = self.ready.iter().filter(|&i| near(i)).count() < RING_LEAST;
            let on_it: Vec<&Server> =
                self.ready.iter().filter(|&i| all || near(i)).map(|&i| &self.servers[i]).collect();
            let power = on_it.iter().map(|s| self.listed(s)).sum::<f64>() / on_it.len() as f64;
            for s in on_it {
                let points = (RING_POINTS * self.listed(s) / power).round().max(1.0) as u64;
                let slot = self.by_id[&s.id];
                ring.extend((1..=points).map(|n| (mix(s.id.0 ^ mix(n)), slot)));
            }
            ring.sort_unstable();
        }
        self.ring = ring;
        self.weigh();
    }

    /// The server that a key is at home with, the same at all sidecars of a zone. Danger: the home
    /// of a hot key would drown, and such a key is warm everywhere. One that this single sidecar
    /// met lately is hot.
    fn home(&self, key: u64) -> Option<Slot> {
        if key == 0 || self.ring.is_empty() || self.met.contains(&key) {
            return None;
        }
        let at = mix(!key);
        let i = self.ring.partition_point(|&(point, _)| point < at);
        Some(self.ring[i % self.ring.len()].1)
    }

    /// Sets the draw weights anew.
    fn weigh(&mut self) {
        self.weighed = self.now;
        let sums = |slots: &[Slot]| {
            let weights = slots.iter().map(|&slot| self.weight(&self.servers[slot]));
            let sums = weights.scan(0.0, |sum, w| {
                *sum += w;
                Some(*sum)
            });
            sums.collect::<Vec<f64>>()
        };
        (self.sums, self.near_sums) = (sums(&self.ready), sums(&self.near));
    }

    // ---- The mechanism: two random picks among the servers that qualify ----

    fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A random server by weight, of this sidecar's subset or of all.
    fn draw(&mut self, of_all: bool) -> Slot {
        let u = self.uniform();
        let (slots, sums) = match of_all {
            true => (&self.ready, &self.sums),
            false => (&self.near, &self.near_sums),
        };
        let at = u * sums.last().copied().unwrap_or(0.0);
        let i = sums.partition_point(|&sum| sum <= at);
        slots[i.min(slots.len() - 1)]
    }

    /// A server that gives no sign of life gets nothing but single, rarer and rarer trials.
    fn healthy(&self, s: &Server) -> bool {
        // Danger: where answers are spoilt now and then at all servers alike, one that may hold a
        // single trial after each leaves its share to the others. A lone reset asks for none.
        let trial = s.failures > 0 && s.shunned_until > 0 && s.in_flight > 0;
        !self.silent(s) && !trial && self.now >= s.shunned_until
    }

    fn silent(&self, s: &Server) -> bool {
        s.silent_since.is_some_and(|t| self.now - t > self.longest_aim as Micros)
    }

    /// Danger: a busy sidecar fills a short queue at once, and it is empty again a moment later. Left
    /// out for as long as a quiet one leaves it, that server stands idle and the others fill up. Its
    /// ResetInterval is a few requests' time, too. Where servers stay full this costs a try each time.
    fn qualifies(&self, s: &Server) -> bool {
        let interval = self.news(self.reset_interval as f64) as Micros;
        s.chips > 0 || s.received.is_none_or(|t| self.now - t > interval)
    }

    /// The weight of one more answer where a quiet sidecar gives it `quiet`.
    fn news(&self, quiet: f64) -> f64 {
        quiet * (QUIET_RATE / self.rate.max(QUIET_RATE))
    }

    /// Algorithm 3. None: there is no server to send to at all.
    fn pick(&mut self, request: &Request) -> Option<Slot> {
        if self.ready.is_empty() {
            return None;
        }
        if self.rate > 2.0 * self.ranked_at_rate.max(1.0) {
            self.choose_subset();
        } else if self.now - self.weighed > self.settings.rules.cold / 64 {
            self.weigh();
        }
        let mut best: Option<Slot> = None;
        let mut least_bad: Option<Slot> = None;
        let mut left_out: Option<Slot> = None;
        let at_home = self.home(request.key);
        for nth in 0..2 {
            for tries in 0..REDRAWS {
                // A subset without a healthy server is left for the whole fleet; a full one is not.
                let found = best.is_some() || least_bad.is_some();
                let drawn = self.draw(tries >= REDRAWS / 2 && !found);
                let home = at_home.filter(|_| tries == 0 && nth == 0);
                let slot = home.unwrap_or(drawn);
                // Danger: a cold server must not get all of the keys that are at home there.
                let warmth = self.warmth(&self.servers[slot]);
                if home.is_some() && warmth < 1.0 && self.uniform() > warmth {
                    continue;
                }
                let s = &self.servers[slot];
                // Danger: when most servers are chipless, redraws would pile onto the cold ones
                // that still qualify, and so would retries of what full ones refuse. A cold server can
                // only be met on the first draw of the first attempt.
                if (tries > 0 || !request.attempts.is_empty()) && self.warmth(s) < 1.0 {
                    continue;
                }
                let used = request.attempts.iter().any(|a| a.slot == slot);
                if used || best == Some(slot) || !self.allowed(request, s) {
                    continue;
                }
                if !self.healthy(s) {
                    let soonest = |other: Slot| match self.servers[other].shunned_until {
                        until if until < s.shunned_until => other,
                        _ => slot,
                    };
                    left_out = Some(left_out.map_or(slot, soonest));
                    continue;
                }
                // Danger: a server that is slow but answers keeps its share and makes it late. The
                // slower it is beside its peers, the more often it is passed over.
                let slow = s.slowness / CHANCE_SLOW;
                if slow > 1.0 && self.uniform() * slow * slow > 1.0 {
                    continue;
                }
                let s = &self.servers[slot];
                if self.qualifies(s) {
                    best = Some(best.map_or(slot, |other| self.less_used(other, slot)));
                    break;
                }
                least_bad = Some(least_bad.map_or(slot, |other| self.less_used(other, slot)));
            }
        }
        // Danger: where the network spoils answers of all servers alike, leaving each out that fails
        // leaves out all, and refuses what most could serve. A request that finds no healthy server
        // goes to the one that is left out for the shortest time. Beside servers that are down in
        // truth this costs an attempt where a refusal was to be.
        // Danger: where some queues are short, all that they refuse piles up on those that hold chips and
        // is late there. A chipless one with little out is free sooner, or costs a busy sidecar a try.
        let less = least_bad.map_or(f64::MAX, |slot| self.used(&self.servers[slot]) + CROSS_AT);
        let best = best.filter(|&b| self.rate <= QUIET_RATE || self.used(&self.servers[b]) < less);
        let chosen = best.or(least_bad).or(left_out);
        self.relief(request, chosen, best.is_some()).or(chosen)
    }

    /// A server with chips where the draws found none, or one away for one at home that is loaded by
    /// our own count. Danger: the share that crosses follows answers, which come late or never where load
    /// piles up, and draws by it miss all servers away. It pays for nothing where those are as loaded.
    fn relief(&mut self, request: &Request, found: Option<Slot>, qualified: bool) -> Option<Slot> {
        let crossing = self.settings.prices.cross_zone > 0.0;
        let most = match found.map(|slot| &self.servers[slot]) {
            Some(s) if qualified && (!crossing || self.far(s)) => return None,
            Some(s) if qualified => self.used(s) - CROSS_AT,
            // Danger: to a quiet sidecar, a server that holds chips is one that it knows least of.
            Some(_) if request.attempts.is_empty() && self.rate <= QUIET_RATE => return None,
            Some(s) => self.used(s) + CROSS_AT,
            None => f64::INFINITY,
        };
        let start = if most < 0.0 { return None } else { self.rng.next_u64() as usize };
        let fit = |slot: Slot, chips: bool| {
            let s = &self.servers[slot];
            let tried = request.attempts.iter().any(|a| a.slot == slot);
            let well = self.healthy(s) && (!chips || self.qualifies(s)) && self.warmth(s) >= 1.0;
            let side = !qualified || (self.far(s) && s.slowness <= CHANCE_SLOW);
            well && side && !tried && self.used(s) <= most && self.allowed(request, s)
        };
        let (after, before) = self.near.split_at(start % self.near.len());
        let least = |chips: bool| {
            let all = after.iter().chain(before).copied().filter(|&slot| fit(slot, chips));
            let used = |slot: &Slot| self.used(&self.servers[*slot]);
            all.min_by(|a, b| used(a).total_cmp(&used(b)))
        };
        least(true).or_else(|| found.is_none().then(|| least(false)).flatten())
    }

    fn used(&self, s: &Server) -> f64 {
        f64::from(s.in_flight) / (s.power * self.warmth(s))
    }

    /// The less used of two by our own count; what was last heard settles a tie.
    fn less_used(&self, a: Slot, b: Slot) -> Slot {
        let rank = |slot: Slot| (self.used(&self.servers[slot]), self.cost(&self.servers[slot]));
        if rank(a) <= rank(b) { a } else { b }
    }

    /// What is known of a server beyond our own count: its last report, fading towards the usual
    /// one. Danger: an unknown server must look usual, or a new one would draw all or none.
    fn cost(&self, s: &Server) -> f64 {
        let age = self.now.saturating_sub(s.reported) as f64;
        let fresh = (-age / (REPORT_FADES * self.longest_aim)).exp();
        let load = s.load / (s.power * self.warmth(s));
        let crossing = if self.far(s) { self.settings.prices.cross_zone } else { 0.0 };
        let dearer = (CROSSING_WORTH * crossing).exp();
        (1.0 + fresh * load + (1.0 - fresh) * self.usual_load) * s.slowness * dearer
    }

    // ---- The four rules ----

    /// Rule 2: whether `s` may get (another) attempt of this request.
    fn allowed(&self, request: &Request, s: &Server) -> bool {
        let class = &self.settings.classes[request.class];
        let limits = &self.settings.limits;
        if request.ended
            || request.streaming
            || self.now >= request.deadline
            || request.attempts.len() >= limits.max_attempts
            || (request.out() > 0 && !limits.may_duplicate)
        {
            return false;
        }
        match class.repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => request.untouched(),
            Repeat::Keyed => {
                request.attempts.iter().filter(|a| a.fate != Fate::NeverRan).all(|a| {
                    self.now - a.sent < class.window
                        && match class.dedup_scope {
                            Scope::All => true,
                            Scope::Zone => a.zone == s.zone,
                            Scope::Cell => a.cell == s.cell,
                        }
                })
            }
        }
    }

    /// Rule 2: whether the client may be told that trying again is harmless.
    fn refusable(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        match class.repeat {
            Repeat::Safe => true,
            // Danger: a client's own retry of a keyed request may come when no server remembers it.
            Repeat::Unsafe | Repeat::Keyed => request.untouched(),
        }
    }

    /// The one gate of all sends.
    fn send(&mut self, id: RequestId, slot: Slot, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let s = &self.servers[slot];
        if s.health != Health::Ready || !self.allowed(request, s) {
            return false;
        }
        let now = self.now;
        let left = request.deadline - now;
        let s = &mut self.servers[slot];
        if s.chips > 0 {
            s.chips -= 1;
        } else if s.received.is_some() {
            s.received = Some(now);
        }
        s.in_flight += 1;
        s.silent_since.get_or_insert(now);
        let (server, zone, cell) = (s.id, s.zone, s.cell);
        let attempt =
            Attempt { slot, server, zone, cell, sent: now, fate: Fate::Out, begun: false };
        out.push(Action::Send { id, server, timeout: left });
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts.push(attempt);
        }
        true
    }

    /// The one gate of all refusals and failures.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.ended {
            return;
        }
        out.push(match self.refusable(request) {
            true => Action::Refuse { id, retry_after: self.retry_after() },
            false => Action::Fail { id },
        });
        if let Some(request) = self.requests.get_mut(&id) {
            request.ended = true;
        }
        self.call_off(id, out);
    }

    /// When a client that is refused should come back, where clients are told: when what was measured
    /// of the fleet has faded. Danger: those refused together must not come back together.
    fn retry_after(&mut self) -> Micros {
        let limits = &self.settings.limits;
        if !limits.retry_after {
            return 0;
        }
        let longest = (1.5 * LATENESS_FADES * self.longest_aim).min(limits.max_retry_after as f64);
        (longest * (1.0 - 2.0 / 3.0 * self.uniform())) as Micros
    }

    /// After a request's end: calls off what is still out and forgets it when nothing is.
    fn call_off(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.out() == 0 {
            self.requests.remove(&id);
        } else if self.settings.limits.cancel && !request.streaming {
            request.cancel(id, None, out);
        }
    }

    // ---- Requests ----

    fn request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        let id = new.id;
        let class = new.class.min(self.settings.classes.len() - 1);
        // Danger: one heavy request looks like a slow server or a full fleet. Half of an answer
        // time, about, grows with the work that was announced.
        let l = &mut self.learned[class];
        let heavy = new.hint.filter(|&h| h > 0).map_or(1.0, |hint| {
            let hint = hint as f64;
            l.hint = if l.hint > 0.0 { l.hint + FEW * (hint - l.hint) } else { hint };
            0.5 + 0.5 * (hint / l.hint).min(MOST_HEAVY)
        });
        self.requests.insert(
            id,
            Request {
                class,
                key: new.key,
                heavy,
                deadline: self.now + new.left,
                ended: false,
                streaming: false,
                attempts: SmallVec::new(),
            },
        );
        let gap = (self.now.saturating_sub(self.rate_at) as f64 / 1e6).max(1e-3);
        self.rate_at = self.now;
        // A mean over some ten seconds, by the gaps between requests.
        let kept = (-gap / RATE_SPAN).exp();
        self.rate = self.rate * kept + (1.0 - kept) / gap;
        // Danger: a busy sidecar meets in a second what a quiet one does in a minute.
        let saved = RETRY_SHARE * self.rate * self.reset_interval as f64 / 1e6;
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(saved.max(RETRY_SAVED));
        if self.uniform() < self.shed_share(class) {
            return self.end(id, out);
        }
        if !self.try_send(id, out) {
            return self.end(id, out);
        }
        let (aim, repeat) = (self.settings.classes[class].aim, self.settings.classes[class].repeat);
        if repeat != Repeat::Unsafe && self.settings.limits.may_duplicate {
            self.set_alarm((COPY_AT * aim as f64) as Micros, Alarm::Copy(id), out);
        }
        self.set_alarm(aim, Alarm::Late(id), out);
        // Rule 1: whatever happens to its attempts, the request ends in time.
        self.set_alarm(new.left, Alarm::Overdue(id), out);
    }

    fn try_send(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        let slot = self.pick(&request);
        if request.attempts.is_empty() {
            self.met[self.met_at % KEYS_MET] = request.key;
            self.met_at += 1;
        }
        self.requests.insert(id, request);
        slot.is_some_and(|slot| self.send(id, slot, out))
    }

    /// How much a unit of a class's work is worth.
    fn density(&self, class: usize) -> f64 {
        let c = &self.settings.classes[class];
        match self.settings.worth_by {
            WorthBy::Work => c.credit,
            WorthBy::Request => c.credit / self.learned[class].base.max(1.0),
        }
    }

    /// Load shedding: the share of a class to refuse at once. Danger: in overload work that
    /// earns little would make late what earns much. The less a class earns for its work beside the
    /// best, the sooner it is shed. Among equals an early refusal frees nothing for a better one.
    fn shed_share(&self, class: usize) -> f64 {
        let classes = 0..self.settings.classes.len();
        let most = classes.map(|i| self.density(i)).fold(0.0, f64::max);
        let below = (most / self.density(class).max(1e-9)).ln().max(0.0);
        let start = (SHED_LAST - SHED_SPREAD * below).max(SHED_FROM);
        ((self.lateness_now() - start) / SHED_BAND).clamp(0.0, 1.0)
    }

    fn lateness_now(&self) -> f64 {
        let idle = self.now.saturating_sub(self.late_at) as f64;
        self.lateness * (-idle / (LATENESS_FADES * self.longest_aim)).exp()
    }

    fn first_byte(&mut self, id: RequestId, attempt: usize, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.streaming = true;
        // Danger: a long answer is under way for seconds after the server has done its work. Taken
        // for one that is waited for, it makes a well server look silent and full.
        if let Some(a) = request.attempts.get_mut(attempt).filter(|a| !a.begun) {
            a.begun = true;
            let s = &mut self.servers[a.slot];
            if s.id == a.server {
                s.in_flight = s.in_flight.saturating_sub(1);
                s.silent_since = (s.in_flight > 0).then_some(self.now);
                s.received = Some(self.now);
            }
        }
        if self.settings.limits.cancel {
            request.cancel(id, Some(attempt), out);
        }
    }

    fn timer(&mut self, token: u32, out: &mut Vec<Action>) {
        match self.alarms.remove(&token) {
            // Danger: a connection or an answer that falls silent takes its request with it. Where
            // that does no harm a second copy goes out, within the budget for repeats; in an
            // overload, copies would be what makes others late.
            Some(Alarm::Copy(id)) => {
                // One that came long after it: a heavy request is soon overtaken, too.
                let overtaken = |r: &Request| {
                    let usual = self.learned[r.class].usual as Micros;
                    r.attempts.iter().all(|a| self.servers[a.slot].answered > a.sent + usual)
                };
                let waiting = self
                    .requests
                    .get(&id)
                    .is_some_and(|r| !r.ended && !r.streaming && r.out() > 0 && overtaken(r));
                if waiting && self.lateness_now() < SHED_FROM {
                    self.again(id, out);
                }
            }
            Some(Alarm::Late(id)) => {
                // Danger: an answer that has begun is in time, however long it takes to come.
                if self.requests.get(&id).is_some_and(|r| r.streaming) {
                    return;
                }
                self.unanswered(id);
            }
            Some(Alarm::Overdue(id)) => {
                let open = self.requests.get(&id).is_some_and(|r| !r.ended && !r.streaming);
                if open {
                    self.end(id, out);
                }
            }
            Some(Alarm::Subscribe) => out.push(Action::Subscribe),
            None => {}
        }
    }

    /// Danger: with few requests of its own, a sidecar that waits for late answers to come in
    /// learns of an overload when it is over. Not having come by the aim counts.
    fn unanswered(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.ended) else {
            return;
        };
        let class = r.class;
        // Danger: a connection may fall silent though its server is well. An attempt that a later
        // one to the same server has overtaken tells of itself alone.
        let overtaken = |a: &Attempt| self.servers[a.slot].answered > a.sent;
        let out = r.attempts.iter().filter(|a| a.fate == Fate::Out && !overtaken(a));
        let slots: SmallVec<[Slot; 2]> = out.map(|a| a.slot).collect();
        let slow_news = self.news(SLOW_NEWS);
        for slot in slots {
            let s = &mut self.servers[slot];
            s.slowness += slow_news * (MOST_SLOW - s.slowness);
            self.feel(slot, class, LATE_AT_AIM * self.settings.classes[class].aim as f64);
        }
    }

    /// One more attempt after a failure, within the retry budget.
    fn again(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        if self.retry_budget < 1.0 {
            return false;
        }
        let sent = self.try_send(id, out);
        if sent {
            self.retry_budget -= 1.0;
        }
        sent
    }

    fn set_alarm(&mut self, delay: Micros, alarm: Alarm, out: &mut Vec<Action>) {
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1);
        self.alarms.insert(token, alarm);
        out.push(Action::Timer { delay, token });
    }

    // ---- Answers ----

    /// What an outcome means for the request.
    fn settle(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        finished: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(a) = request.attempts.get_mut(attempt) {
            a.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
        }
        request.ended |= finished || outcome == Outcome::Served;
        if request.ended {
            return self.call_off(id, out);
        }
        if request.out() > 0 {
            return;
        }
        // Danger: a stream has no deadline, so nothing else ends a request whose stream ended
        // unserved: called off, say, in the instant in which its first byte came.
        if request.streaming || self.now >= request.deadline {
            return self.end(id, out);
        }
        let sent = match outcome {
            Outcome::Full => request.attempts.len() < FULL_TRIES && self.try_send(id, out),
            _ => self.again(id, out),
        };
        if !sent {
            self.end(id, out);
        }
    }

    /// What an outcome tells of the server.
    fn heard(
        &mut self,
        id: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: Outcome,
        latency: f64,
        report: &LoadReport,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = request.class;
        let Some(a) = request.attempts.get(attempt) else {
            return;
        };
        if a.fate != Fate::Out || a.server != server {
            return;
        }
        let (slot, sent, begun) = (a.slot, a.sent, a.begun);
        let (refusals, heavy) = (request.attempts.len(), request.heavy);
        let now = self.now;
        let pause = self.reset_interval as f64 * (0.75 + 0.5 * self.uniform());
        let aim = self.settings.classes[class].aim as f64;
        let silent = self.silent(&self.servers[slot]);
        let s = &mut self.servers[slot];
        s.in_flight = s.in_flight.saturating_sub(u32::from(!begun));
        if s.in_flight == 0 {
            // Danger: an attempt that was called off leaves no answer; a server with nothing out
            // must not count as silent for ever.
            s.silent_since = None;
        }
        if s.id != server {
            return;
        }
        match outcome {
            Outcome::Moot | Outcome::Cancelled => return,
            Outcome::Served | Outcome::Error | Outcome::Full => {
                s.silent_since = (s.in_flight > 0).then_some(now);
                s.received = Some(now);
                s.answered = s.answered.max(sent);
            }
            Outcome::TimedOut | Outcome::ConnectFailed | Outcome::Reset => {}
        }
        if outcome == Outcome::Served || outcome == Outcome::Error {
            self.report(slot, report);
        }
        let s = &mut self.servers[slot];
        match outcome {
            Outcome::Served => {
                s.failures = 0;
                s.shunned_until = 0;
                self.answer_time(slot, class, latency / heavy);
            }
            Outcome::Full => {
                self.wipe(slot);
                // Danger: what a full zone does serve looks quick.
                self.spill(slot, FULL_LOAD);
                // Danger: where queues are short, servers refuse long before answers are late.
                // A refusal is news of the fleet only when the request found no place at all.
                if refusals >= FULL_TRIES {
                    self.feel(slot, class, aim);
                }
            }
            // Danger: hurried clients, long queues and lost answers would have well servers left out,
            // and their load pile up on the others. Only silence for longer than an aim is a failure;
            // a server that answers some and never others is left to its answer times.
            Outcome::TimedOut if !silent => {}
            _ => self.failed(slot, outcome, sent, pause),
        }
    }

    /// Outlier ejection: each failure in a row doubles the pause until the next single trial.
    /// Danger: where networks reset connections now and then, a pause for each would leave too few
    /// servers. A lone reset tells nothing.
    /// Danger: a busy sidecar has many attempts out at one server, and what ends one ends them all.
    /// Those that were out when it last failed are not a row of failures.
    fn failed(&mut self, slot: Slot, outcome: Outcome, sent: Micros, pause: f64) {
        let s = &mut self.servers[slot];
        if s.failures > 0 && sent < s.failed_at {
            return;
        }
        s.failed_at = self.now;
        s.failures += 1;
        if s.failures == 1 && outcome == Outcome::Reset {
            return;
        }
        let doubled = f64::from(1u32 << (s.failures - 1).min(MAX_DOUBLINGS));
        s.shunned_until = self.now + (pause * 0.25 * doubled) as Micros;
        s.chips = 0;
    }

    fn wipe(&mut self, slot: Slot) {
        let s = &mut self.servers[slot];
        s.chips = 0;
        s.received = Some(self.now);
    }

    fn answer_time(&mut self, slot: Slot, class: usize, latency: f64) {
        let (few, slow_news) = (self.news(FEW), self.news(SLOW_NEWS));
        let l = &mut self.learned[class];
        if !l.seen {
            (l.base, l.usual, l.seen) = (latency, latency, true);
        }
        // A low quantile by unequal steps: quick to fall, slow to rise.
        let step = if latency < l.base { 0.5 } else { 0.02 };
        l.base += step * (latency.min(2.0 * l.base) - l.base);
        let relative = (latency / l.usual.max(1.0)).min(MOST_SLOW);
        l.usual += few * (latency.min(4.0 * l.usual) - l.usual);
        let s = &mut self.servers[slot];
        s.slowness += slow_news * (relative - s.slowness);
        let loaded = relative * (1.0 + s.load / s.power);
        self.spill(slot, loaded);
        if latency < self.settings.classes[class].aim as f64 {
            // Danger: one heavy request looks like a long queue. What the report says of the
            // answer time to be expected counts as much as the answer time itself.
            let expected = match self.held_column {
                Some(_) => {
                    let held = 1.0 + self.servers[slot].load;
                    self.answer_mean.0 += few * (latency - self.answer_mean.0);
                    self.answer_mean.1 += few * (held - self.answer_mean.1);
                    held * self.answer_mean.0 / self.answer_mean.1
                }
                None => latency,
            };
            self.feel(slot, class, 0.5 * (latency + expected));
        }
    }

    /// Takes one more sight of how late answers are: 0 up to half of the aim, 1 at the aim.
    /// Danger: a few sick servers are no overload, and shedding for them refuses what the others
    /// could serve. Each server counts once, and the latest third does not count.
    fn feel(&mut self, slot: Slot, class: usize, latency: f64) {
        let aim = self.settings.classes[class].aim as f64;
        let late = (2.0 * latency / aim - 1.0).clamp(0.0, 1.4);
        let memory = (LATENESS_FADES * self.longest_aim) as Micros;
        let now = self.now;
        self.sights.retain(|&mut (_, _, t)| now - t < 3 * memory);
        let known = self.sights.iter().position(|s| s.0 == slot);
        let oldest = (0..self.sights.len()).min_by_key(|&i| self.sights[i].2);
        match (known, oldest) {
            (Some(i), _) => self.sights[i] = (slot, 0.5 * (self.sights[i].1 + late), now),
            (None, Some(i)) if self.sights.len() == SIGHTS => self.sights[i] = (slot, late, now),
            _ => self.sights.push((slot, late, now)),
        }
        let mut seen: SmallVec<[(f64, f64); SIGHTS]> = self
            .sights
            .iter()
            .map(|s| (s.1, (-((now - s.2) as f64) / memory as f64).exp()))
            .collect();
        seen.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
        seen.truncate(seen.len() - seen.len() / 3);
        // Danger: at a quiet sidecar one late answer of two is no news of the fleet.
        let weight: f64 = seen.iter().map(|s| s.1).sum::<f64>() + DOUBT;
        self.lateness = seen.iter().map(|s| s.0 * s.1).sum::<f64>() / weight;
        self.late_at = now;
    }

    /// Danger: the servers of a zone can be too few for its traffic. The share that crosses moves
    /// with how loaded answers show home and away to be, towards a slightly higher load at home.
    fn spill(&mut self, slot: Slot, loaded: f64) {
        let side = usize::from(self.far(&self.servers[slot]));
        self.side_load[side] += self.news(FEW) * (loaded - self.side_load[side]);
        let [home, away] = self.side_load;
        let pull = (home / away).ln() - CROSSING_WORTH * self.settings.prices.cross_zone;
        // Danger: moved in full by each of many answers, the share is at one end before answers tell
        // what it did, and all load is at home or none.
        let step = 0.5 * (SPILL_RATE / self.rate.max(SPILL_RATE));
        let moved = self.far_share * (step * pull.clamp(-1.0, 1.0)).exp();
        self.far_share = moved.clamp(self.far_least, 1.0);
    }

    /// Algorithm 1 here: mint from the reported queue, or wipe when it is past capacity.
    fn report(&mut self, slot: Slot, report: &LoadReport) {
        let value = |column: Option<usize>| {
            let v = column.and_then(|i| report.0.get(i)).copied()?;
            v.is_finite().then(|| f64::from(v.max(0.0)))
        };
        let (queue, load) = (value(self.queue_column), value(self.load_column));
        let draws = (self.uniform(), self.uniform());
        let (now, few) = (self.now, self.news(FEW));
        if let Some(load) = load {
            let s = &mut self.servers[slot];
            (s.load, s.reported) = (load, now);
            self.usual_load += few * (load / s.power - self.usual_load);
        }
        let s = &mut self.servers[slot];
        let Some(queue) = queue else {
            // No queue reported: an answer in itself is the sign that another may follow.
            s.chips = (s.chips + 2).min(MAX_CHIPS);
            return;
        };
        s.average.add(now, queue);
        let share = match s.average.last {
            Some(capacity) => {
                let capacity = capacity.max(4.0);
                if queue > capacity {
                    return self.wipe(slot);
                }
                queue / (CAPACITY_SHARE * capacity)
            }
            None => 0.0,
        };
        // Danger: one chip spent and less than one minted on average would starve a server that
        // is hardly loaded; a second draw against twice the queue lets its chips grow back.
        let minted = u32::from(draws.0 >= share) + u32::from(draws.1 >= 2.0 * share);
        s.chips = (s.chips + minted).min(MAX_CHIPS);
    }
}

impl Server {
    fn new(e: &ServerEntry) -> Server {
        Server {
            id: e.id,
            zone: e.zone,
            cell: e.cell,
            health: e.health,
            power: 1.0,
            started: e.started,
            chips: 0,
            in_flight: 0,
            received: None,
            answered: 0,
            silent_since: None,
            failures: 0,
            failed_at: 0,
            shunned_until: 0,
            load: 0.0,
            reported: 0,
            slowness: 1.0,
            average: Average::default(),
            kept: false,
        }
    }
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
