//! A thin sample of accesses: all those of the items whose hash is below a threshold.

mod check;

use std::collections::{BTreeMap, VecDeque};

use millethook_machine::hash::mix;

use crate::Micros;
use crate::mutant::{self, Mutant};

/// Accesses that a sample holds, at most; of more it is thinned by half.
pub const MAX_ACCESSES: usize = 32_768;
/// The time over which accesses of all items are counted together, in microseconds.
const COUNTED_OVER: Micros = 1_000_000;
/// The most such times that are kept.
pub(crate) const MAX_COUNTS: usize = 4_096;

/// One access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Access {
    /// When, in microseconds.
    pub at: Micros,
    /// Of what: a hash of the key, or of the sidecar whose connection it is.
    pub item: u64,
    /// The zone that it came from.
    pub zone: u8,
    /// Its class.
    pub class: u8,
    /// How long it holds what it uses, in microseconds: a connection is in use meanwhile.
    pub holds: Micros,
}

/// The accesses of some of the items, of a time that has passed.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Items whose spread hash is below this are sampled.
    threshold: u64,
    span: Micros,
    accesses: VecDeque<Access>,
    /// How many accesses of all items came in each second, by its number.
    arrivals: BTreeMap<u64, u64>,
}

impl Sample {
    /// One that takes this share of the items, and remembers this long.
    pub fn new(share: f64, span: Micros) -> Sample {
        let threshold = (share.clamp(0.0, 1.0) * u64::MAX as f64) as u64;
        Sample { threshold, span, accesses: VecDeque::new(), arrivals: BTreeMap::new() }
    }

    /// The share of items that it takes.
    pub fn share(&self) -> f64 {
        self.threshold as f64 / u64::MAX as f64
    }

    /// How long it remembers.
    pub fn span(&self) -> Micros {
        self.span
    }

    /// Its accesses, by time.
    pub fn accesses(&self) -> impl DoubleEndedIterator<Item = &Access> + Clone {
        self.accesses.iter()
    }

    /// How many it holds.
    pub fn len(&self) -> usize {
        self.accesses.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.accesses.is_empty()
    }

    /// Whether an item is one that is sampled.
    pub fn takes(&self, item: u64) -> bool {
        mix(item) <= self.threshold
    }

    /// How many accesses of this sample's items were to be expected in a time, by the accesses of all items that came in
    /// it and the share that is sampled. The sample itself has more of them where it happens to have a popular item, and
    /// mostly less.
    pub fn expected(&self, from: Micros, until: Micros) -> f64 {
        let part = |(second, count): (&u64, &u64)| {
            let start = second.saturating_mul(COUNTED_OVER);
            let end = start.saturating_add(COUNTED_OVER).min(until);
            *count as f64 * end.saturating_sub(start.max(from)) as f64 / COUNTED_OVER as f64
        };
        let seconds = from / COUNTED_OVER..=until / COUNTED_OVER;
        self.arrivals.range(seconds).map(part).sum::<f64>() * self.share()
    }

    /// Takes an access, if its item is sampled, and counts it in any case. Times need not be in order; what is older than
    /// the span is passed over.
    pub fn take(&mut self, access: Access) {
        let last = self.accesses.back().map_or(0, |a| a.at).max(access.at);
        if access.at.saturating_add(self.span) < last {
            return;
        }
        self.count(access.at, 1);
        if !self.takes(access.item) && !mutant::is(Mutant::AllSampled) {
            return;
        }
        // Others' accesses come late: each goes where it belongs.
        let behind = self.accesses.iter().rev().take_while(|a| a.at > access.at).count();
        self.accesses.insert(self.accesses.len() - behind, access);
        self.expire(last);
        self.bound();
    }

    fn count(&mut self, at: Micros, accesses: u64) {
        let count = self.arrivals.entry(at / COUNTED_OVER).or_default();
        *count = count.saturating_add(accesses);
        let seconds = (self.span / COUNTED_OVER).saturating_add(2);
        let most = usize::try_from(seconds).unwrap_or(MAX_COUNTS).min(MAX_COUNTS);
        while self.arrivals.len() > most {
            self.arrivals.pop_first();
        }
    }

    /// Forgets what is older than the span at the time of the last access.
    fn expire(&mut self, last: Micros) {
        if mutant::is(Mutant::NothingForgotten) {
            return;
        }
        let old = |access: &Access| access.at.saturating_add(self.span) < last;
        let count = self.accesses.iter().take_while(|access| old(access)).count();
        self.accesses.drain(..count);
    }

    /// Thins the sample to its bound.
    fn bound(&mut self) {
        if mutant::is(Mutant::Unbounded) {
            return;
        }
        while self.accesses.len() > MAX_ACCESSES && self.threshold > 0 {
            self.thin();
        }
        // An item whose hash is 0 is in a sample of any share: thinning alone would never come to an end.
        let over = self.accesses.len().saturating_sub(MAX_ACCESSES);
        self.accesses.drain(..over);
    }

    /// Half of the items from now on: those with the lower hashes, as any sample of that share has.
    fn thin(&mut self) {
        self.threshold /= 2;
        if mutant::is(Mutant::ThinnedByCount) {
            self.accesses.truncate(MAX_ACCESSES);
            return;
        }
        let threshold = self.threshold;
        self.accesses.retain(|a| mix(a.item) <= threshold);
    }

    /// Merges another sidecar's sample of the same span: of both, the items that both take. The other's clock is `ahead`
    /// of the own one, in microseconds.
    ///
    /// It does not matter which of two samples is merged into the other: both are put together, then what is too old is
    /// forgotten, and only then the sample is thinned. Taken in one by one, accesses that are about to be forgotten would
    /// thin the sample of one sidecar and not that of another, and both would forecast from other items.
    pub fn merge(&mut self, other: &Sample, ahead: i64) {
        if mutant::is(Mutant::MergedOneByOne) {
            return self.merge_one_by_one(other, ahead);
        }
        for (second, accesses) in &other.arrivals {
            let at = second.saturating_mul(COUNTED_OVER);
            self.count(at.saturating_add_signed(ahead.saturating_neg()), *accesses);
        }
        self.threshold = self.threshold.min(other.threshold);
        let threshold = self.threshold;
        let shifted = |access: &Access| {
            let at = access.at.saturating_add_signed(ahead.saturating_neg());
            Access { at, ..*access }
        };
        self.accesses.extend(other.accesses.iter().map(shifted));
        self.accesses.retain(|access| mix(access.item) <= threshold);
        let order = |a: &Access| (a.at, a.item, a.zone, a.class, a.holds);
        self.accesses.make_contiguous().sort_unstable_by_key(order);
        let last = self.accesses.back().map_or(0, |access| access.at);
        self.expire(last);
        self.bound();
    }

    /// As a mutant does it.
    fn merge_one_by_one(&mut self, other: &Sample, ahead: i64) {
        self.threshold = self.threshold.min(other.threshold);
        let threshold = self.threshold;
        self.accesses.retain(|access| mix(access.item) <= threshold);
        for access in &other.accesses {
            let at = access.at.saturating_add_signed(-ahead);
            self.take(Access { at, ..*access });
        }
    }
}
