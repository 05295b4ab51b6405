//! A thin sample of accesses: all accesses of the items whose hash is below a threshold.

mod check;

use std::collections::{BTreeMap, VecDeque};

use millethook_machine::hash::mix;

use crate::Micros;
use crate::mutant::{self, Mutant};

/// Maximum number of accesses in a sample; beyond it, the sample is thinned by half.
pub const MAX_ACCESSES: usize = 32_768;
/// Length of the intervals in which accesses of all items are counted, in microseconds.
const COUNT_INTERVAL_US: Micros = 1_000_000;
/// Maximum number of counted intervals.
pub(crate) const MAX_COUNTS: usize = 4_096;

/// One access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Access {
    /// Time in microseconds.
    pub at: Micros,
    /// Hash of the key, or of the sidecar that uses the connection.
    pub item: u64,
    /// Zone of the caller.
    pub zone: u8,
    /// Traffic class.
    pub class: u8,
    /// Duration of the use in microseconds; a connection is busy for this time.
    pub duration: Micros,
}

/// The recent accesses of some of the items.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Items whose mixed hash is at most this are sampled.
    threshold: u64,
    span: Micros,
    accesses: VecDeque<Access>,
    /// Number of accesses of all items in each second, by the second's number.
    arrivals: BTreeMap<u64, u64>,
}

impl Sample {
    /// Creates an empty sample with this share of the items and this span of time.
    pub fn new(share: f64, span: Micros) -> Sample {
        let threshold = (share.clamp(0.0, 1.0) * u64::MAX as f64) as u64;
        Sample { threshold, span, accesses: VecDeque::new(), arrivals: BTreeMap::new() }
    }

    /// The share of items that is sampled.
    pub fn share(&self) -> f64 {
        self.threshold as f64 / u64::MAX as f64
    }

    /// The time span that is kept.
    pub fn span(&self) -> Micros {
        self.span
    }

    /// Returns the accesses in order of time.
    pub fn accesses(&self) -> impl DoubleEndedIterator<Item = &Access> + Clone {
        self.accesses.iter()
    }

    /// The number of accesses.
    pub fn len(&self) -> usize {
        self.accesses.len()
    }

    /// Whether the sample has no accesses.
    pub fn is_empty(&self) -> bool {
        self.accesses.is_empty()
    }

    /// Whether an item is sampled.
    pub fn samples(&self, item: u64) -> bool {
        mix(item) <= self.threshold
    }

    /// Returns the expected number of accesses of the sampled items in a time range: the accesses of all items times
    /// the sampled share. The actual number is higher if the sample contains a popular item, and usually lower.
    pub fn expected(&self, from: Micros, until: Micros) -> f64 {
        let part = |(second, count): (&u64, &u64)| {
            let start = second.saturating_mul(COUNT_INTERVAL_US);
            let end = start.saturating_add(COUNT_INTERVAL_US).min(until);
            *count as f64 * end.saturating_sub(start.max(from)) as f64 / COUNT_INTERVAL_US as f64
        };
        let seconds = from / COUNT_INTERVAL_US..=until / COUNT_INTERVAL_US;
        self.arrivals.range(seconds).map(part).sum::<f64>() * self.share()
    }

    /// Counts an access, and adds it if its item is sampled. Times need not be in order; accesses older than the span
    /// are ignored.
    pub fn add(&mut self, access: Access) {
        let last = self.accesses.back().map_or(0, |a| a.at).max(access.at);
        if access.at.saturating_add(self.span) < last {
            return;
        }
        self.count(access.at, 1);
        if !self.samples(access.item) && !mutant::is(Mutant::AllSampled) {
            return;
        }
        // Accesses from other sidecars arrive late, so each is inserted at its position in time.
        let behind = self.accesses.iter().rev().take_while(|a| a.at > access.at).count();
        self.accesses.insert(self.accesses.len() - behind, access);
        self.expire(last);
        self.bound();
    }

    fn count(&mut self, at: Micros, accesses: u64) {
        let count = self.arrivals.entry(at / COUNT_INTERVAL_US).or_default();
        *count = count.saturating_add(accesses);
        let seconds = (self.span / COUNT_INTERVAL_US).saturating_add(2);
        let max_counts = usize::try_from(seconds).unwrap_or(MAX_COUNTS).min(MAX_COUNTS);
        while self.arrivals.len() > max_counts {
            self.arrivals.pop_first();
        }
    }

    /// Removes accesses older than the span, relative to the last access.
    fn expire(&mut self, last: Micros) {
        if mutant::is(Mutant::NothingForgotten) {
            return;
        }
        let old = |access: &Access| access.at.saturating_add(self.span) < last;
        let count = self.accesses.iter().take_while(|access| old(access)).count();
        self.accesses.drain(..count);
    }

    /// Thins the sample to its maximum size.
    fn bound(&mut self) {
        if mutant::is(Mutant::Unbounded) {
            return;
        }
        while self.accesses.len() > MAX_ACCESSES && self.threshold > 0 {
            self.thin();
        }
        // An item with hash 0 is in a sample of any share, so thinning alone would never end.
        let excess = self.accesses.len().saturating_sub(MAX_ACCESSES);
        self.accesses.drain(..excess);
    }

    /// Halves the sampled items, keeping those with the lower hashes, as any sample of that share does.
    fn thin(&mut self) {
        self.threshold /= 2;
        if mutant::is(Mutant::ThinnedByCount) {
            self.accesses.truncate(MAX_ACCESSES);
            return;
        }
        let threshold = self.threshold;
        self.accesses.retain(|a| mix(a.item) <= threshold);
    }

    /// Merges another sidecar's sample of the same span; the result has the items that both sample. The other's clock
    /// is `clock_ahead_us` of this one, in microseconds.
    ///
    /// The result does not depend on which sample is merged into the other: the accesses are combined, then the old
    /// ones are removed, and only then is the sample thinned. If accesses were merged one at a time, those about to
    /// expire would thin the sample of one sidecar but not that of another, and the two would forecast from different
    /// items.
    pub fn merge(&mut self, other: &Sample, clock_ahead_us: i64) {
        if mutant::is(Mutant::MergedOneByOne) {
            return self.merge_one_by_one(other, clock_ahead_us);
        }
        for (second, accesses) in &other.arrivals {
            let at = second.saturating_mul(COUNT_INTERVAL_US);
            self.count(at.saturating_add_signed(clock_ahead_us.saturating_neg()), *accesses);
        }
        self.threshold = self.threshold.min(other.threshold);
        let threshold = self.threshold;
        let shifted = |access: &Access| {
            let at = access.at.saturating_add_signed(clock_ahead_us.saturating_neg());
            Access { at, ..*access }
        };
        self.accesses.extend(other.accesses.iter().map(shifted));
        self.accesses.retain(|access| mix(access.item) <= threshold);
        let order = |a: &Access| (a.at, a.item, a.zone, a.class, a.duration);
        self.accesses.make_contiguous().sort_unstable_by_key(order);
        let last = self.accesses.back().map_or(0, |access| access.at);
        self.expire(last);
        self.bound();
    }

    /// The mutant's merge.
    fn merge_one_by_one(&mut self, other: &Sample, clock_ahead_us: i64) {
        self.threshold = self.threshold.min(other.threshold);
        let threshold = self.threshold;
        self.accesses.retain(|access| mix(access.item) <= threshold);
        for access in &other.accesses {
            let at = access.at.saturating_add_signed(-clock_ahead_us);
            self.add(Access { at, ..*access });
        }
    }
}
