//! Network model for datagrams between sidecars: loss, delay, duplication, reordering, bandwidth caps, cuts. It uses
//! no clock and no I/O. For one seed, a pair of sidecars that sends the same datagrams gets the same result,
//! whatever other pairs send.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::plan::{Sides, stream};
use crate::timeline::{EventKind, Network};

/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(20);

/// An active network fault between some of the sidecars.
struct Condition {
    event: usize,
    kind: EventKind,
    amount: f64,
    sides: Sides,
}

impl Condition {
    fn applies_to(&self, from: usize, to: usize) -> bool {
        let (who, other) = (&self.sides.who, &self.sides.from);
        match self.kind {
            EventKind::Partition => who[from] && other[to] || other[from] && who[to],
            EventKind::CutOneWay => who[from] && other[to],
            EventKind::Cap => who[from],
            _ => who[from] || who[to],
        }
    }
}

/// The simulated network between sidecars.
pub struct NetworkModel {
    seed: u64,
    count: usize,
    defaults: Network,
    conditions: Vec<Condition>,
    pairs: HashMap<(usize, usize), ChaCha8Rng>,
    /// Token bucket of each capped sender: time of the last refill and bytes left. Bounded by the number of sidecars.
    tokens: HashMap<usize, (Duration, f64)>,
}

/// The network's decision on one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DatagramFate {
    /// Delay of each delivered copy; empty if the datagram is lost.
    pub delays: Vec<Duration>,
    /// Whether it was lost to a cut, not to random loss or a cap.
    pub cut: bool,
}

impl NetworkModel {
    /// A network between `count` sidecars without faults beyond the given defaults.
    pub fn new(seed: u64, count: usize, defaults: Network) -> NetworkModel {
        let (conditions, pairs, tokens) = Default::default();
        NetworkModel { seed, count, defaults, conditions, pairs, tokens }
    }

    /// Activates the fault of a timeline event.
    pub fn begin(&mut self, event: usize, kind: EventKind, amount: f64, sides: Sides) {
        self.conditions.push(Condition { event, kind, amount, sides });
    }

    /// Deactivates the fault of a timeline event.
    pub fn end(&mut self, event: usize) {
        self.conditions.retain(|c| c.event != event);
    }

    /// Decides what happens to a datagram of `length` bytes that is sent at `now`.
    pub fn pass(&mut self, now: Duration, from: usize, to: usize, length: usize) -> DatagramFate {
        let pair = (from * self.count + to) as u64;
        let seed = self.seed;
        let random = self.pairs.entry((from, to)).or_insert_with(|| stream(seed, "network", pair));
        let mut delay = self.defaults.delay_ms + self.defaults.jitter_ms * random.random::<f64>();
        let mut lost = random.random::<f64>() < self.defaults.loss;
        let mut copies = 1;
        let mut cut = false;
        for condition in self.conditions.iter().filter(|c| c.applies_to(from, to)) {
            let amount = condition.amount;
            match condition.kind {
                EventKind::Partition | EventKind::CutOneWay => cut = true,
                EventKind::Loss => lost |= random.random::<f64>() < amount,
                EventKind::Delay => delay += amount,
                EventKind::Duplicate => copies += usize::from(random.random::<f64>() < amount),
                EventKind::Reorder if random.random::<f64>() < amount => {
                    delay += REORDER_DELAY.as_secs_f64() * 1e3;
                }
                EventKind::Cap => {
                    // Token bucket that holds one second's worth of bytes.
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
