//! What would come of a change: the sample warms the stores, the change is made, and the sample comes again.

mod check;

use std::collections::BTreeMap;

use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::Micros;
use crate::change::{Change, NoSuchThing};
use crate::engine::{Size, Store};
use crate::mutant::{self, Mutant};
use crate::placement::Placement;
use crate::sample::{Access, Sample};

/// Parts of the sample that are played by themselves: how much they differ gives the interval.
const PARTS: u64 = 10;
/// Student's t at 95% for that many parts less one.
const T: f64 = 2.262;
/// What a hit rate may be off beside what parts differ by: stores of a part hold whole items, and what comes again is not
/// what will come.
const FLOOR: f64 = 0.01;
/// The least accesses in a window of which anything is said.
pub const LEAST: usize = 60;
/// The times after a change of which a forecast tells; then at rest.
pub const AFTER: [Micros; 3] = [1_000_000, 10_000_000, 60_000_000];

/// What is asked.
#[derive(Clone, Debug)]
pub struct Question<'a> {
    /// What is known.
    pub sample: &'a Sample,
    /// The placement as it is.
    pub placement: &'a Placement,
    /// What would be changed.
    pub change: &'a Change,
    /// Items that a server's store holds, of all items, not of the sample's.
    pub items: f64,
    /// An item that was not used for so long goes, in microseconds.
    pub life: Micros,
    /// What is in use is not to be had by another access: connections.
    pub exclusive: bool,
    /// What a miss costs, in work of any unit.
    pub miss_cost: f64,
    /// For random numbers.
    pub seed: u64,
}

/// Why nothing is said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unknown {
    /// So few accesses in the sample, of at least [`LEAST`].
    TooFew(usize),
    /// The sample is shorter than the time that is asked of.
    TooShort,
}

/// A figure with its interval at 95%, or why there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Known {
    /// It lies between `low` and `high`, in 19 of 20 cases about.
    Is {
        /// The low end.
        low: f64,
        /// The middle.
        mid: f64,
        /// The high end.
        high: f64,
    },
    /// There is too little to go by.
    Not(Unknown),
}

impl Known {
    /// The middle, if it is known.
    pub fn mid(&self) -> Option<f64> {
        match self {
            Known::Is { mid, .. } => Some(*mid),
            Known::Not(_) => None,
        }
    }

    /// Whether a figure lies in the interval; None: there is none.
    pub fn holds(&self, figure: f64) -> Option<bool> {
        match self {
            Known::Is { low, high, .. } => Some((*low..=*high).contains(&figure)),
            Known::Not(_) => None,
        }
    }
}

/// What would come of a change.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Hit rates in the first second, ten and sixty after it,
    pub after: [Known; 3],
    /// and at rest.
    pub rest: Known,
    /// At rest, by server,
    pub by_server: BTreeMap<u64, Known>,
    /// by the accesses' zone,
    pub by_zone: BTreeMap<u8, Known>,
    /// and by class.
    pub by_class: BTreeMap<u8, Known>,
    /// What the misses of the first 1, 10 and 60 s cost, of all accesses, beside what they cost without the change.
    pub cost: [Known; 3],
}

/// Hits and accesses of one part of the sample.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    hits: f64,
    all: f64,
}

impl Count {
    fn add(&mut self, hit: bool) {
        self.hits += f64::from(u8::from(hit));
        self.all += 1.0;
    }
}

#[derive(Default)]
struct Played {
    after: [Count; 3],
    rest: Count,
    by_server: BTreeMap<u64, Count>,
    by_zone: BTreeMap<u8, Count>,
    by_class: BTreeMap<u8, Count>,
}

/// Forecasts a change.
///
/// # Errors
/// The change makes no sense for this placement.
pub fn forecast(question: &Question<'_>) -> Result<Forecast, NoSuchThing> {
    let (after, cold) = question.change.made(question.placement)?;
    let played: Vec<Played> = (0..PARTS).map(|part| play(question, &after, &cold, part)).collect();
    let span = question.sample.span();
    let long = |length: Micros| span >= length;
    let counts = |count: &dyn Fn(&Played) -> Option<Count>| -> Vec<Count> {
        played.iter().map(|p| count(p).unwrap_or_default()).collect()
    };
    let windows: [Known; 3] = std::array::from_fn(|n| {
        let counts = counts(&|p| Some(p.after[n]));
        let represented = represented(question.sample, AFTER[n], &counts);
        if long(AFTER[n]) { known(&counts, represented) } else { Known::Not(Unknown::TooShort) }
    });
    let rest = counts(&|p| Some(p.rest));
    let represented = represented(question.sample, span.saturating_add(1), &rest);
    let of = |count: &dyn Fn(&Played) -> Option<Count>| known(&counts(count), represented);
    let same: Vec<Played> = match question.change {
        Change::Nothing => Vec::new(),
        _ => {
            let before = question.placement;
            (0..PARTS).map(|part| play(question, before, &[], part)).collect()
        }
    };
    let cost = std::array::from_fn(|n| {
        let misses = |of: &[Played]| -> Vec<f64> {
            of.iter().map(|p| p.after[n].all - p.after[n].hits).collect()
        };
        let (with, without) = (misses(&played), misses(&same));
        let more = with.iter().zip(without.iter().chain(std::iter::repeat(&0.0)));
        let share = question.sample.share().max(f64::MIN_POSITIVE);
        let parts: Vec<f64> = match question.change {
            Change::Nothing => vec![0.0; PARTS as usize],
            _ => more.map(|(a, b)| (a - b) * question.miss_cost / share * PARTS as f64).collect(),
        };
        match windows[n] {
            Known::Not(why) => Known::Not(why),
            Known::Is { .. } => {
                let (mid, half) = spread(&parts);
                Known::Is { low: mid - half, mid, high: mid + half }
            }
        }
    });
    fn keys<K: Ord + Copy>(played: &[Played], of: fn(&Played) -> &BTreeMap<K, Count>) -> Vec<K> {
        let mut keys: Vec<K> = played.iter().flat_map(|p| of(p).keys().copied()).collect();
        keys.sort_unstable();
        keys.dedup();
        keys
    }
    let by_server = keys(&played, |p| &p.by_server);
    let by_zone = keys(&played, |p| &p.by_zone);
    let by_class = keys(&played, |p| &p.by_class);
    Ok(Forecast {
        after: windows,
        rest: known(&rest, represented),
        by_server: by_server
            .into_iter()
            .map(|k| (k, of(&|p: &Played| p.by_server.get(&k).copied())))
            .collect(),
        by_zone: by_zone
            .into_iter()
            .map(|k| (k, of(&|p: &Played| p.by_zone.get(&k).copied())))
            .collect(),
        by_class: by_class
            .into_iter()
            .map(|k| (k, of(&|p: &Played| p.by_class.get(&k).copied())))
            .collect(),
        cost,
    })
}

/// One part of the sample: warms the stores, makes the change, and comes twice more; what comes last is at rest.
fn play(question: &Question<'_>, after: &Placement, cold: &[u64], part: u64) -> Played {
    play_on(question, after, cold, part, &mut BTreeMap::new())
}

/// What a server's store holds of one part of the sample.
fn size_of_part(question: &Question<'_>) -> Size {
    let share = question.sample.share() / PARTS as f64;
    let scale = if mutant::is(Mutant::SizeNotScaled) { 1.0 } else { share };
    // Connections belong to a sidecar, and are not crowded out by others'; memory is shared by all items of a server.
    let items = if question.exclusive { f64::INFINITY } else { question.items * scale };
    Size { items, life: question.life }
}

/// As [`play`], on stores by server that are empty.
fn play_on(
    question: &Question<'_>,
    after: &Placement,
    cold: &[u64],
    part: u64,
    stores: &mut BTreeMap<u64, Store>,
) -> Played {
    let sample = question.sample;
    let exclusive = question.exclusive;
    let size = size_of_part(question);
    let mine = |a: &&Access| mix(a.item ^ 0xa7) % PARTS == part;
    let accesses: Vec<Access> = sample.accesses().filter(mine).copied().collect();
    let mut played = Played::default();
    // Windows begin with the sample, not with the part's own first access, which would be in each of them.
    let (Some(first), Some(last)) = (sample.accesses().next(), sample.accesses().next_back())
    else {
        return played;
    };
    let length = (last.at - first.at).saturating_add(1).max(sample.span());
    let mut random = Pcg32::seed_from_u64(mix(question.seed ^ part));
    for pass in 0..3u64 {
        let placement = if pass == 0 { question.placement } else { after };
        if pass == 1 {
            let there = |id: &u64| after.servers.iter().any(|s| s.id == *id);
            let cold = |id: &u64| cold.contains(id) && !mutant::is(Mutant::ReplacedStaysWarm);
            stores.retain(|id, _| there(id) && !cold(id));
        }
        for access in &accesses {
            let of = placement.of(access.item);
            let Some(place) = of.get(random.next_u32() as usize % of.len().max(1)) else {
                continue;
            };
            let server = placement.servers[*place].id;
            let at = (access.at - first.at).saturating_add(pass.saturating_mul(length));
            let store = stores.entry(server).or_default();
            if pass == 0 && mutant::is(Mutant::ZonesCountedTwice) {
                played.by_zone.entry(access.zone).or_default().add(false);
            }
            let hit = store.access(&size, &Access { at, ..*access }, exclusive);
            if pass == 1 {
                for (window, until) in played.after.iter_mut().zip(AFTER) {
                    if at.saturating_sub(length) < until {
                        window.add(hit);
                    }
                }
            } else if pass == 2 {
                played.rest.add(hit);
                played.by_server.entry(server).or_default().add(hit);
                played.by_zone.entry(access.zone).or_default().add(hit);
                played.by_class.entry(access.class).or_default().add(hit);
            }
        }
    }
    played
}

/// Mean and half of the interval at 95%.
fn spread(parts: &[f64]) -> (f64, f64) {
    let count = parts.len().max(1) as f64;
    let mean = parts.iter().sum::<f64>() / count;
    let square = parts.iter().map(|p| (p - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, T * (square / count).sqrt())
}

/// By how much the accesses that were to be expected of a sample's items in its first `length` exceed those that came.
///
/// A thin sample mostly lacks the few most popular items, and with them many hits; the misses, of many items, are hardly
/// fewer. So misses are counted by what was to be expected (the correction of SHARDS, Waldspurger and others, FAST 2015,
/// section 3.4).
fn represented(sample: &Sample, length: Micros, counts: &[Count]) -> f64 {
    let came: f64 = counts.iter().map(|count| count.all).sum();
    let start = sample.accesses().next().map_or(0, |access| access.at);
    let expected = sample.expected(start, start.saturating_add(length));
    // A sample of all items is what was to be expected.
    if sample.share() >= 1.0 || came < 1.0 || expected < 1.0 {
        return 1.0;
    }
    expected / came
}

/// The ratio of hits over all parts, with its interval by leaving each part out in turn (jackknife). `represented` is how
/// many accesses stand behind each that came.
fn known(counts: &[Count], represented: f64) -> Known {
    let all: f64 = counts.iter().map(|c| c.all).sum();
    let hits: f64 = counts.iter().map(|c| c.hits).sum();
    if (all as usize) < LEAST && !mutant::is(Mutant::AlwaysKnown) {
        return Known::Not(Unknown::TooFew(all as usize));
    }
    let (misses, expected) = (all - hits, all.max(1.0) * represented);
    let mid = (1.0 - misses / expected).max(0.0);
    let used: Vec<&Count> = counts.iter().filter(|c| c.all > 0.0).collect();
    let n = used.len() as f64;
    if n < 2.0 {
        return Known::Not(Unknown::TooFew(all as usize));
    }
    let left = expected * (n - 1.0) / n;
    let without = used.iter().map(|c| 1.0 - (misses - (c.all - c.hits)) / left);
    let square = without.map(|w| (w - mid).powi(2)).sum::<f64>() * (n - 1.0) / n;
    let half = T * square.sqrt() + FLOOR;
    if mutant::is(Mutant::IntervalNotClamped) {
        return Known::Is { low: mid - half, mid, high: mid + half };
    }
    Known::Is { low: (mid - half).max(0.0), mid, high: (mid + half).min(1.0) }
}
