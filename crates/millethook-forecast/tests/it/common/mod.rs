//! A synthetic fleet in which every access is known.

#![allow(dead_code)]

pub mod load;

use millethook_forecast::{
    Access, Assignment, Change, Estimate, Micros, Placement, Question, Sample, Server, WINDOWS,
    forecast,
};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SECOND_US: Micros = 1_000_000;
/// Length of the known past, and of the time after the change.
const SPAN_US: Micros = 70 * SECOND_US;

pub struct Site {
    pub sample: Sample,
    pub placement: Placement,
    past: Vec<Access>,
    future: Vec<Access>,
    exclusive: bool,
    items: f64,
    expiry: Micros,
    seed: u64,
}

fn uniform(random: &mut Pcg64Mcg) -> f64 {
    (random.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Item name prefix at all sites except those of [`Site::with_items`], so that the same items are sampled.
const DEFAULT_ITEM_PREFIX: u64 = 0x5eed << 20;

/// Keys with a Zipf distribution, or sidecars with uneven rates.
fn accesses(random: &mut Pcg64Mcg, exclusive: bool, from: Micros, items: u64) -> Vec<Access> {
    let (count, rate) = if exclusive { (1_200u64, 3_000.0) } else { (60_000, 2_500.0) };
    let weight = |n: u64| 1.0 / ((n + 1) as f64).powf(if exclusive { 0.4 } else { 0.9 });
    let mut sums = Vec::with_capacity(count as usize);
    let mut sum = 0.0;
    for n in 0..count {
        sum += weight(n);
        sums.push(sum);
    }
    let (mut at, mut all) = (from as f64, Vec::new());
    while at < (from + SPAN_US) as f64 {
        at -= uniform(random).max(1e-12).ln() / rate * SECOND_US as f64;
        let drawn = uniform(random) * sum;
        let item = sums.partition_point(|s| *s < drawn) as u64;
        let holds = (-uniform(random).max(1e-12).ln() * 40_000.0) as Micros;
        let zone = (item % 3) as u8;
        let class = (random.next_u32() % 2) as u8;
        all.push(Access { at: at as Micros, item: item ^ items, zone, class, duration: holds });
    }
    all
}

impl Site {
    pub fn new(seed: u64, exclusive: bool) -> Site {
        Site::with_items(seed, exclusive, DEFAULT_ITEM_PREFIX)
    }

    /// Creates a site with its own item names.
    pub fn with_items(seed: u64, exclusive: bool, items: u64) -> Site {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let server = |n: u64| Server { id: 1_000 + n, zone: (n % 3) as u8 };
        let servers: Vec<Server> = (0..12).map(server).collect();
        let placement = if exclusive {
            Placement { servers, assignment: Assignment::Subset(4) }
        } else {
            Placement::by_weight(servers)
        };
        let past = accesses(&mut random, exclusive, 0, items);
        let future = accesses(&mut random, exclusive, SPAN_US, items);
        let share = if exclusive { 0.25 } else { 0.1 };
        let sample = Sample::new(share, SPAN_US);
        let (size, expiry) =
            if exclusive { (1e9, 2 * SECOND_US) } else { (1_500.0, 3_600 * SECOND_US) };
        let mut site =
            Site { sample, placement, past, future, exclusive, items: size, expiry, seed };
        site.resample();
        site
    }

    pub fn resample(&mut self) {
        self.past.iter().for_each(|access| self.sample.add(*access));
    }

    fn question<'a>(&'a self, change: &'a Change) -> Question<'a> {
        Question {
            sample: &self.sample,
            placement: &self.placement,
            change,
            items: self.items,
            expiry: self.expiry,
            exclusive: self.exclusive,
            miss_cost: 1.0,
            seed: self.seed,
        }
    }

    /// Forecast and actual hit rate in 1, 10 and 60 s, and in the steady state (the last third of the time after the
    /// change).
    pub fn compare(&self, change: &Change) -> Vec<(&'static str, Estimate, f64)> {
        let forecast = forecast(&self.question(change)).expect("a change that makes sense");
        let actual = self.actual(change);
        let [one, ten, sixty] = forecast.after;
        vec![
            ("1 s", one, actual[0]),
            ("10 s", ten, actual[1]),
            ("60 s", sixty, actual[2]),
            ("rest", forecast.steady, actual[3]),
        ]
    }

    /// Plays all accesses on stores of full size, with a separate plain implementation.
    fn actual(&self, change: &Change) -> [f64; 4] {
        let (after, cold) = change.apply(&self.placement).expect("a change that makes sense");
        let mut random = Pcg64Mcg::seed_from_u64(self.seed ^ 77);
        let mut stores: std::collections::HashMap<u64, ReferenceStore> = Default::default();
        let mut counts = [(0u64, 0u64); 4];
        for (access, now) in
            self.past.iter().map(|a| (a, false)).chain(self.future.iter().map(|a| (a, true)))
        {
            if now && counts[0].1 == 0 {
                stores.retain(|id, _| {
                    after.servers.iter().any(|s| s.id == *id) && !cold.contains(id)
                });
            }
            let placement = if now { &after } else { &self.placement };
            let of = placement.servers_for(access.item);
            let server = placement.servers[of[random.next_u32() as usize % of.len()]].id;
            let store = stores.entry(server).or_default();
            let hit = store.access(access, self.items as usize, self.expiry, self.exclusive);
            if !now {
                continue;
            }
            let since = access.at - SPAN_US;
            for (n, until) in WINDOWS.iter().enumerate() {
                if since < *until {
                    counts[n] = (counts[n].0 + u64::from(hit), counts[n].1 + 1);
                }
            }
            if since > SPAN_US * 2 / 3 {
                counts[3] = (counts[3].0 + u64::from(hit), counts[3].1 + 1);
            }
        }
        counts.map(|(hits, all)| hits as f64 / all.max(1) as f64)
    }
}

/// A simple reference store with least-recently-used eviction.
#[derive(Default)]
struct ReferenceStore {
    order: std::collections::BTreeMap<u64, (u64, u32)>,
    held: std::collections::HashMap<u64, Vec<(u32, Micros, u64)>>,
    clock: u64,
    next: u32,
}

impl ReferenceStore {
    fn access(&mut self, access: &Access, items: usize, expiry: Micros, exclusive: bool) -> bool {
        self.clock += 1;
        let of = self.held.entry(access.item).or_default();
        of.retain(|(copy, until, place)| {
            let kept = until + expiry > access.at;
            if !kept {
                self.order.remove(place);
                let _ = copy;
            }
            kept
        });
        let free = of.iter().position(|(_, until, _)| !exclusive || *until <= access.at);
        let best = free.map(|_| {
            let all = of.iter().enumerate().filter(|(_, c)| !exclusive || c.1 <= access.at);
            all.max_by_key(|(_, c)| c.1).map_or(0, |(n, _)| n)
        });
        let hit = best.is_some();
        match best {
            Some(n) => {
                self.order.remove(&of[n].2);
                of[n] = (of[n].0, access.at + access.duration, self.clock);
                self.order.insert(self.clock, (access.item, of[n].0));
            }
            None => {
                self.next += 1;
                of.push((self.next, access.at + access.duration, self.clock));
                self.order.insert(self.clock, (access.item, self.next));
            }
        }
        while self.order.len() > items {
            let Some((_, (item, copy))) = self.order.pop_first() else { break };
            if let Some(of) = self.held.get_mut(&item) {
                of.retain(|c| c.0 != copy);
            }
        }
        hit
    }
}

/// At least twelve changes for both kinds of site together.
pub fn changes(site: &Site) -> Vec<(&'static str, Change)> {
    let new = Server { id: 5_000, zone: 1 };
    let half: Vec<u64> = site.placement.servers.iter().take(6).map(|s| s.id).collect();
    let mut all = vec![
        ("nothing", Change::Nothing),
        ("added", Change::Added(new)),
        ("replaced", Change::Replaced(1_003)),
        ("half replaced", Change::ManyReplaced(half)),
        ("gone", Change::Removed(1_005)),
        ("zone lost", Change::ZoneLost(2)),
    ];
    match &site.placement.assignment {
        Assignment::Subset(_) => {
            all.push(("subsets of 2", Change::SubsetSize(2)));
            all.push(("subsets of 8", Change::SubsetSize(8)));
        }
        Assignment::Map(map) => {
            let rotated = map.iter().map(|n| (n + 1) % 12).collect();
            all.push(("all slices elsewhere", Change::Map(rotated)));
            let some = map.iter().enumerate().map(|(n, to)| if n % 8 == 0 { 0 } else { *to });
            all.push(("an eighth to one server", Change::Map(some.collect())));
        }
    }
    all
}
