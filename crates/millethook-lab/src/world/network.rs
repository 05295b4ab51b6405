//! What becomes of a datagram between two sidecars: loss, delay, duplicates, reordering, a cap, cuts. No clock
//! and no I/O; the same for the same seed and the same datagrams of a pair, whatever other pairs send.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::plan::{Sides, stream};
use crate::timeline::{EventKind, Network};

/// A datagram that is overtaken by later ones is held back for so long beyond its delay.
const OVERTAKEN: Duration = Duration::from_millis(20);

/// A condition that stands between some of the sidecars.
struct Condition {
    event: usize,
    kind: EventKind,
    amount: f64,
    sides: Sides,
}

impl Condition {
    fn concerns(&self, from: usize, to: usize) -> bool {
        let (who, other) = (&self.sides.who, &self.sides.from);
        match self.kind {
            EventKind::Partition => who[from] && other[to] || other[from] && who[to],
            EventKind::CutOneWay => who[from] && other[to],
            EventKind::Cap => who[from],
            _ => who[from] || who[to],
        }
    }
}

/// The network between sidecars.
pub struct NetworkModel {
    seed: u64,
    count: usize,
    usual: Network,
    conditions: Vec<Condition>,
    pairs: HashMap<(usize, usize), ChaCha8Rng>,
    /// Bytes that a capped sender has left, with the time of the last count. Bounded by the sidecars.
    tokens: HashMap<usize, (Duration, f64)>,
}

/// What becomes of one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramFate {
    /// After which times it arrives; nowhere: it is lost.
    pub delays: Vec<Duration>,
    /// It fell to a cut, not to chance or a cap.
    pub cut: bool,
}

impl NetworkModel {
    /// The usual network between so many sidecars.
    pub fn new(seed: u64, count: usize, usual: Network) -> NetworkModel {
        let (conditions, pairs, tokens) = Default::default();
        NetworkModel { seed, count, usual, conditions, pairs, tokens }
    }

    /// An event of the timeline begins.
    pub fn begin(&mut self, event: usize, kind: EventKind, amount: f64, sides: Sides) {
        self.conditions.push(Condition { event, kind, amount, sides });
    }

    /// It ends.
    pub fn end(&mut self, event: usize) {
        self.conditions.retain(|c| c.event != event);
    }

    /// Decides on one datagram of `length` bytes at a time of the run.
    pub fn pass(&mut self, now: Duration, from: usize, to: usize, length: usize) -> DatagramFate {
        let pair = (from * self.count + to) as u64;
        let seed = self.seed;
        let random = self.pairs.entry((from, to)).or_insert_with(|| stream(seed, "network", pair));
        let mut delay = self.usual.delay_ms + self.usual.jitter_ms * random.random::<f64>();
        let mut lost = random.random::<f64>() < self.usual.loss;
        let mut copies = 1;
        let mut cut = false;
        for condition in self.conditions.iter().filter(|c| c.concerns(from, to)) {
            let amount = condition.amount;
            match condition.kind {
                EventKind::Partition | EventKind::CutOneWay => cut = true,
                EventKind::Loss => lost |= random.random::<f64>() < amount,
                EventKind::Delay => delay += amount,
                EventKind::Duplicate => copies += usize::from(random.random::<f64>() < amount),
                EventKind::Reorder if random.random::<f64>() < amount => {
                    delay += OVERTAKEN.as_secs_f64() * 1e3;
                }
                EventKind::Cap => {
                    // A bucket that holds a second's worth.
                    let (last, left) = self.tokens.entry(from).or_insert((now, amount));
                    let more = now.saturating_sub(*last).as_secs_f64() * amount;
                    *left = (*left + more).min(amount);
                    *last = now;
                    if *left < length as f64 {
                        lost = true;
                    } else {
                        *left -= length as f64;
                    }
                }
                _ => {}
            }
        }
        if lost || cut {
            return DatagramFate { delays: Vec::new(), cut };
        }
        let delay = Duration::from_secs_f64(delay / 1e3);
        DatagramFate { delays: vec![delay; copies], cut }
    }
}
