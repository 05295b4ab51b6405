//! Forecasts the effect of a change: the sample is played once to warm the stores, then the change is applied, and
//! the sample is played again.

mod check;

use std::collections::BTreeMap;

use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::Micros;
use crate::change::{Change, InvalidChange};
use crate::mutant::{self, Mutant};
use crate::placement::Placement;
use crate::sample::{Access, Sample};
use crate::store::{Limits, Store};

/// Number of parts of the sample that are played separately; their variance gives the interval.
const PARTS: u64 = 10;
/// Student's t for a 95% interval with `PARTS - 1` degrees of freedom.
const STUDENT_T: f64 = 2.262;
/// Minimum half width of a hit rate's interval, added to the variance between parts: a part's store holds whole
/// items, and future accesses differ from the sample.
const MIN_HALF_WIDTH: f64 = 0.01;
/// Minimum number of accesses in a window; with fewer, no figure is given.
pub const MIN_ACCESSES: usize = 60;
/// The forecast windows after a change; one more figure covers the steady state.
pub const WINDOWS: [Micros; 3] = [1_000_000, 10_000_000, 60_000_000];

/// The input of a forecast.
#[derive(Clone, Debug)]
pub struct Question<'a> {
    /// The sampled accesses.
    pub sample: &'a Sample,
    /// The present placement.
    pub placement: &'a Placement,
    /// The change to evaluate.
    pub change: &'a Change,
    /// Capacity of a server's store in items, counted over all items rather than the sampled ones.
    pub items: f64,
    /// Time after which an unused item expires, in microseconds.
    pub expiry: Micros,
    /// Whether an item in use cannot be hit by another access, as with connections.
    pub exclusive: bool,
    /// Cost of a miss, in any unit of work.
    pub miss_cost: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// The reason why no figure is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InsufficientData {
    /// The sample has only this many accesses, fewer than [`MIN_ACCESSES`].
    TooFew(usize),
    /// The sample is shorter than the window.
    TooShort,
}

/// An estimate with its 95% interval, or the reason why there is none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Estimate {
    /// The value is between `low` and `high` in about 19 of 20 cases.
    Interval {
        /// Lower bound.
        low: f64,
        /// The estimate.
        mid: f64,
        /// Upper bound.
        high: f64,
    },
    /// There is too little data.
    Missing(InsufficientData),
}

impl Estimate {
    /// Returns the estimate, if there is one.
    pub fn mid(&self) -> Option<f64> {
        match self {
            Estimate::Interval { mid, .. } => Some(*mid),
            Estimate::Missing(_) => None,
        }
    }

    /// Whether a value is within the interval, or None if there is no interval.
    pub fn contains(&self, figure: f64) -> Option<bool> {
        match self {
            Estimate::Interval { low, high, .. } => Some((*low..=*high).contains(&figure)),
            Estimate::Missing(_) => None,
        }
    }
}

/// The forecast of a change.
#[derive(Clone, Debug)]
pub struct Forecast {
    /// Hit rates in the first 1, 10 and 60 s after the change.
    pub after: [Estimate; 3],
    /// Hit rate in the steady state.
    pub steady: Estimate,
    /// Steady-state hit rate by server.
    pub by_server: BTreeMap<u64, Estimate>,
    /// Steady-state hit rate by zone of the access.
    pub by_zone: BTreeMap<u8, Estimate>,
    /// Steady-state hit rate by class.
    pub by_class: BTreeMap<u8, Estimate>,
    /// Cost of the additional misses of all accesses in the first 1, 10 and 60 s, compared with no change.
    pub cost: [Estimate; 3],
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
struct PlayedPart {
    after: [Count; 3],
    steady: Count,
    by_server: BTreeMap<u64, Count>,
    by_zone: BTreeMap<u8, Count>,
    by_class: BTreeMap<u8, Count>,
}

/// Forecasts a change.
///
/// # Errors
/// The change does not apply to this placement.
pub fn forecast(question: &Question<'_>) -> Result<Forecast, InvalidChange> {
    let (after, cold) = question.change.apply(question.placement)?;
    let played: Vec<PlayedPart> =
        (0..PARTS).map(|part| play(question, &after, &cold, part)).collect();
    let span = question.sample.span();
    let is_covered = |length: Micros| span >= length;
    let counts = |count: &dyn Fn(&PlayedPart) -> Option<Count>| -> Vec<Count> {
        played.iter().map(|p| count(p).unwrap_or_default()).collect()
    };
    let windows: [Estimate; 3] = std::array::from_fn(|n| {
        let counts = counts(&|p| Some(p.after[n]));
        let expected_ratio = expected_ratio(question.sample, WINDOWS[n], &counts);
        if is_covered(WINDOWS[n]) {
            estimate(&counts, expected_ratio)
        } else {
            Estimate::Missing(InsufficientData::TooShort)
        }
    });
    let steady = counts(&|p| Some(p.steady));
    let expected_ratio = expected_ratio(question.sample, span.saturating_add(1), &steady);
    let of =
        |count: &dyn Fn(&PlayedPart) -> Option<Count>| estimate(&counts(count), expected_ratio);
    let unchanged: Vec<PlayedPart> = match question.change {
        Change::Nothing => Vec::new(),
        _ => {
            let before = question.placement;
            (0..PARTS).map(|part| play(question, before, &[], part)).collect()
        }
    };
    let cost = std::array::from_fn(|n| {
        let misses = |of: &[PlayedPart]| -> Vec<f64> {
            of.iter().map(|p| p.after[n].all - p.after[n].hits).collect()
        };
        let (with, without) = (misses(&played), misses(&unchanged));
        let more = with.iter().zip(without.iter().chain(std::iter::repeat(&0.0)));
        let share = question.sample.share().max(f64::MIN_POSITIVE);
        let parts: Vec<f64> = match question.change {
            Change::Nothing => vec![0.0; PARTS as usize],
            _ => more.map(|(a, b)| (a - b) * question.miss_cost / share * PARTS as f64).collect(),
        };
        match windows[n] {
            Estimate::Missing(why) => Estimate::Missing(why),
            Estimate::Interval { .. } => {
                let (mid, half) = mean_and_half_width(&parts);
                Estimate::Interval { low: mid - half, mid, high: mid + half }
            }
        }
    });
    fn keys<K: Ord + Copy>(
        played: &[PlayedPart],
        of: fn(&PlayedPart) -> &BTreeMap<K, Count>,
    ) -> Vec<K> {
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
        steady: estimate(&steady, expected_ratio),
        by_server: by_server
            .into_iter()
            .map(|k| (k, of(&|p: &PlayedPart| p.by_server.get(&k).copied())))
            .collect(),
        by_zone: by_zone
            .into_iter()
            .map(|k| (k, of(&|p: &PlayedPart| p.by_zone.get(&k).copied())))
            .collect(),
        by_class: by_class
            .into_iter()
            .map(|k| (k, of(&|p: &PlayedPart| p.by_class.get(&k).copied())))
            .collect(),
        cost,
    })
}

/// Plays one part of the sample three times: to warm the stores, after the change, and for the steady state.
fn play(question: &Question<'_>, after: &Placement, cold: &[u64], part: u64) -> PlayedPart {
    play_on(question, after, cold, part, &mut BTreeMap::new())
}

/// The store limits that correspond to one part of the sample.
fn limits_of_part(question: &Question<'_>) -> Limits {
    let share = question.sample.share() / PARTS as f64;
    let scale = if mutant::is(Mutant::SizeNotScaled) { 1.0 } else { share };
    // Connections belong to one sidecar, so others' cannot evict them. Memory is shared by all items of a server.
    let items = if question.exclusive { f64::INFINITY } else { question.items * scale };
    Limits { items, expiry: question.expiry }
}

/// Like [`play`], with the given empty stores by server.
fn play_on(
    question: &Question<'_>,
    after: &Placement,
    cold: &[u64],
    part: u64,
    stores: &mut BTreeMap<u64, Store>,
) -> PlayedPart {
    let sample = question.sample;
    let exclusive = question.exclusive;
    let limits = limits_of_part(question);
    let in_part = |a: &&Access| mix(a.item ^ 0xa7) % PARTS == part;
    let accesses: Vec<Access> = sample.accesses().filter(in_part).copied().collect();
    let mut played = PlayedPart::default();
    // Windows start at the first access of the whole sample. With the part's own first access as the start, that
    // access would be in every window.
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
            let of = placement.servers_for(access.item);
            let Some(place) = of.get(random.next_u32() as usize % of.len().max(1)) else {
                continue;
            };
            let server = placement.servers[*place].id;
            let at = (access.at - first.at).saturating_add(pass.saturating_mul(length));
            let store = stores.entry(server).or_default();
            if pass == 0 && mutant::is(Mutant::ZonesCountedTwice) {
                played.by_zone.entry(access.zone).or_default().add(false);
            }
            let hit = store.access(&limits, &Access { at, ..*access }, exclusive);
            if pass == 1 {
                for (window, until) in played.after.iter_mut().zip(WINDOWS) {
                    if at.saturating_sub(length) < until {
                        window.add(hit);
                    }
                }
            } else if pass == 2 {
                played.steady.add(hit);
                played.by_server.entry(server).or_default().add(hit);
                played.by_zone.entry(access.zone).or_default().add(hit);
                played.by_class.entry(access.class).or_default().add(hit);
            }
        }
    }
    played
}

/// Returns the mean and the half width of its 95% interval.
fn mean_and_half_width(parts: &[f64]) -> (f64, f64) {
    let count = parts.len().max(1) as f64;
    let mean = parts.iter().sum::<f64>() / count;
    let square = parts.iter().map(|p| (p - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    (mean, STUDENT_T * (square / count).sqrt())
}

/// Returns the ratio of the expected number of accesses of the sampled items in the first `length` to the actual
/// number.
///
/// A thin sample usually lacks the few most popular items, and with them many hits, while misses are spread over many
/// items and hardly change. The rate of misses is therefore computed from the expected number (the correction of
/// SHARDS, Waldspurger et al., FAST 2015, section 3.4).
fn expected_ratio(sample: &Sample, length: Micros, counts: &[Count]) -> f64 {
    let actual: f64 = counts.iter().map(|count| count.all).sum();
    let start = sample.accesses().next().map_or(0, |access| access.at);
    let expected = sample.expected(start, start.saturating_add(length));
    // A sample of all items needs no correction.
    if sample.share() >= 1.0 || actual < 1.0 || expected < 1.0 {
        return 1.0;
    }
    expected / actual
}

/// Returns the hit rate over all parts, with its jackknife interval, which leaves out each part in turn.
/// `expected_ratio` is the number of expected accesses for each actual one.
fn estimate(counts: &[Count], expected_ratio: f64) -> Estimate {
    let all: f64 = counts.iter().map(|c| c.all).sum();
    let hits: f64 = counts.iter().map(|c| c.hits).sum();
    if (all as usize) < MIN_ACCESSES && !mutant::is(Mutant::AlwaysKnown) {
        return Estimate::Missing(InsufficientData::TooFew(all as usize));
    }
    let (misses, expected) = (all - hits, all.max(1.0) * expected_ratio);
    let mid = (1.0 - misses / expected).max(0.0);
    let used: Vec<&Count> = counts.iter().filter(|c| c.all > 0.0).collect();
    let n = used.len() as f64;
    if n < 2.0 {
        return Estimate::Missing(InsufficientData::TooFew(all as usize));
    }
    let left = expected * (n - 1.0) / n;
    let without = used.iter().map(|c| 1.0 - (misses - (c.all - c.hits)) / left);
    let square = without.map(|w| (w - mid).powi(2)).sum::<f64>() * (n - 1.0) / n;
    let half = STUDENT_T * square.sqrt() + MIN_HALF_WIDTH;
    if mutant::is(Mutant::IntervalNotClamped) {
        return Estimate::Interval { low: mid - half, mid, high: mid + half };
    }
    Estimate::Interval { low: (mid - half).max(0.0), mid, high: (mid + half).min(1.0) }
}
