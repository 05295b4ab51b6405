//! The control nodes that a sidecar asks: two, and others when these are silent.
//!
//! A question without an answer is repeated, since a fifth of all datagrams may be lost. The wait before each repetition
//! is random and doubles up to the interval of digests that are answered: a control node that is short of processor time
//! is asked little more than one that answers. Without that bound the repetitions alone keep it overloaded after what
//! caused the overload has ended (Bronson et al., "Metastable failures in distributed systems", HotOS 2021).

use millethook_machine::Micros;
use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::{DistributionConfig, rendezvous};

/// The mean wait until a digest that was not answered goes out again. It doubles with each repetition, up to the interval
/// of digests that are answered.
const RETRY: Micros = 350_000;
/// Digests in a row that were not answered: the control node counts as silent.
const SILENT: u32 = 5;
/// One that is silent is asked once in so many times the interval of one that answers: with those that are tried beside it,
/// a sidecar that nobody answers asks as often as one that is answered.
const SILENT_EVERY: Micros = 2;
/// With so many unanswered at both, others are asked already.
const DOUBTFUL: u32 = 3;
/// The second control node is asked once in so many digests of the first.
const SECOND_EVERY: Micros = 4;
/// The longest mean wait between two tries of others.
const MOST_WAIT: Micros = 4_000_000;
/// A preferred control node that was silent is tried again after this time.
const PREFER_AGAIN: Micros = 30_000_000;
/// A change of what is in force is told within this time.
const HURRY: Micros = 50_000;
/// Of a fleet that starts together each control node gets one first digest in this time: first those of the sidecars that
/// are to be served by it, then those of the others. A sidecar of a fleet of 16,000 with 36 control nodes waits up to
/// 0.9 s; a control node that handles a message in 0.1 ms spends a twentieth of a core on it.
const FIRST_DIGEST: Micros = 2_000;

/// One control node that is asked.
#[derive(Clone, Debug)]
struct Link {
    number: u16,
    /// A digest is out.
    asked: bool,
    unanswered: u32,
    next_at: Micros,
    /// The hash of the statuses that it knows.
    agreed: Option<u64>,
}

/// A digest that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueDigest {
    pub to: u16,
    pub rank: u8,
    /// Whether the receiver has to be told all statuses.
    pub whole: bool,
}

/// The control nodes that a sidecar asks.
#[derive(Clone, Debug)]
pub(super) struct Links {
    /// All control nodes, the most preferred first.
    order: Vec<u16>,
    links: Vec<Link>,
    every: Micros,
    random: Pcg32,
    /// Where in `order` the next control node to be tried is, when to try, and how often that was done in a row.
    try_next: usize,
    try_at: Micros,
    tries: u32,
    prefer_at: Micros,
    pub switches: u64,
}

impl Links {
    pub fn new(config: &DistributionConfig, now: Micros) -> Links {
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ u64::from(config.me)));
        let order = rendezvous::order(&config.identity, &config.control_nodes);
        let window = FIRST_DIGEST * Micros::from(config.members) / (order.len().max(1) as Micros);
        let first_at = |rank: usize| now + rank as Micros * window + below(&mut random, window);
        let times: Vec<Micros> = (0..2).map(first_at).collect();
        let links = order.iter().zip(times).map(|(number, at)| Link::new(*number, at)).collect();
        let prefer_at = now + PREFER_AGAIN;
        Links {
            order,
            links,
            every: config.limits.digest_interval.max(1),
            random,
            try_next: 0,
            try_at: 0,
            tries: 0,
            prefer_at,
            switches: 0,
        }
    }

    /// The first control node.
    fn first(&self) -> Option<u16> {
        self.links.first().map(|link| link.number)
    }

    /// The control nodes that are asked, the first one first.
    pub fn numbers(&self) -> Vec<u16> {
        self.links.iter().map(|link| link.number).collect()
    }

    /// Whether this member is a control node.
    pub fn knows(&self, number: u16) -> bool {
        self.order.contains(&number)
    }

    /// Control nodes that answer, of those that are asked.
    pub fn answering(&self) -> usize {
        self.links.iter().filter(|link| link.unanswered == 0 && link.agreed.is_some()).count()
    }

    /// A message of a control node has come.
    pub fn heard(&mut self, from: u16) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == from) {
            link.unanswered = 0;
        }
    }

    /// A control node has answered a digest; `agreed`: it knows the statuses of this hash.
    pub fn answered(&mut self, now: Micros, from: u16, hash: u64, agreed: bool, current: u64) {
        let rank = self.links.iter().position(|link| link.number == from);
        let Some(rank) = rank else {
            self.adopt(now, from);
            return;
        };
        let regular = regular(self.every, rank);
        let jitter = regular / 2;
        let wait = regular - jitter / 2 + below(&mut self.random, jitter);
        let link = &mut self.links[rank];
        link.asked = false;
        link.unanswered = 0;
        link.agreed = agreed.then_some(hash);
        link.next_at = if agreed && hash == current { now + wait } else { now };
        if self.links.iter().all(|link| link.unanswered == 0) {
            (self.tries, self.try_next) = (0, 0);
        }
        self.rank(now, SILENT, self.order.len());
    }

    /// What this sidecar has to tell has changed.
    pub fn hurry(&mut self, now: Micros) {
        for n in 0..self.links.len() {
            let soon = now + below(&mut self.random, HURRY);
            let link = &mut self.links[n];
            // The first digest after a start keeps its place among those of the fleet.
            if link.agreed.is_some() || link.unanswered > 0 {
                link.next_at = link.next_at.min(soon);
            }
        }
    }

    /// This control node asks for something that it was told already.
    pub fn tell_again(&mut self, now: Micros, to: u16) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == to) {
            link.agreed = None;
            link.next_at = link.next_at.min(now + RETRY / 4);
        }
    }

    /// Digests that are due; `current` is the hash of the statuses.
    pub fn due(&mut self, now: Micros, current: u64) -> Vec<DueDigest> {
        let mut due = Vec::new();
        for (rank, link) in self.links.iter_mut().enumerate() {
            if link.next_at > now {
                continue;
            }
            link.unanswered += u32::from(link.asked);
            link.asked = true;
            let most = if link.unanswered < SILENT { 1 } else { SILENT_EVERY };
            let wait = repetition_wait(link.unanswered, most * regular(self.every, rank));
            link.next_at = now + spread(&mut self.random, wait);
            let whole = link.agreed != Some(current);
            due.push(DueDigest { to: link.number, rank: rank as u8, whole });
        }
        self.ask_second_in_between(now);
        self.rank(now, SILENT, self.order.len());
        if self.seeks() && self.try_at <= now {
            due.extend(self.tried(now));
        }
        if self.prefer_at <= now {
            self.prefer_at = now + PREFER_AGAIN + below(&mut self.random, PREFER_AGAIN / 2);
            let asked = |number: &&u16| self.links.iter().any(|link| link.number == **number);
            let better = self.order.iter().take(2).find(|number| !asked(number));
            due.extend(better.map(|to| DueDigest { to: *to, rank: 2, whole: false }));
        }
        due
    }

    /// Where the first control node has just left a digest unanswered, the second is asked before the first is asked
    /// again. Otherwise a sidecar whose two control nodes are gone would learn of the second one only with the next of
    /// its rare digests.
    fn ask_second_in_between(&mut self, now: Micros) {
        let [first, second, ..] = &mut self.links[..] else { return };
        if first.unanswered == 1 && second.unanswered == 0 && !second.asked {
            let soon = now + below(&mut self.random, RETRY / 2);
            second.next_at = second.next_at.min(soon);
        }
    }

    /// Whether others than those two have to be tried.
    fn seeks(&self) -> bool {
        let silent = self.links.iter().any(|link| link.unanswered >= SILENT);
        let doubtful = self.links.iter().all(|link| link.unanswered >= DOUBTFUL);
        self.order.len() > self.links.len() && (silent || doubtful)
    }

    /// Two other control nodes: at first the next two in the order of preference, behind the last one that was tried. Then
    /// the next one and any other: where all of a region are gone, the preferred ones are gone together.
    fn tried(&mut self, now: Micros) -> Vec<DueDigest> {
        let first_try = self.tries == 0;
        let next = self.next_untried(self.try_next, None);
        self.try_next = next.map_or(0, |place| place + 1);
        let any = (self.random.next_u64() % self.order.len().max(1) as u64) as usize;
        let other = self.next_untried(if first_try { self.try_next } else { any }, next);
        if first_try {
            self.try_next = other.map_or(0, |place| place + 1);
        }
        let wait = repetition_wait(self.tries, MOST_WAIT);
        self.tries = self.tries.saturating_add(1);
        self.try_at = now + spread(&mut self.random, wait);
        let places = next.into_iter().chain(other);
        places.map(|place| DueDigest { to: self.order[place], rank: 2, whole: false }).collect()
    }

    /// The next place in the order of preference, from one on and around, of a control node that is not asked already.
    fn next_untried(&self, from: usize, but: Option<usize>) -> Option<usize> {
        let count = self.order.len();
        let asked = |place: usize| self.links.iter().any(|link| link.number == self.order[place]);
        let mut places = (from..from + count).map(|place| place % count);
        places.find(|place| Some(*place) != but && !asked(*place))
    }

    /// A control node that was tried has answered: it takes the place of a silent or of a less preferred one.
    fn adopt(&mut self, now: Micros, number: u16) {
        let Some(_) = self.order.iter().position(|other| *other == number) else { return };
        self.links.push(Link::new(number, now));
        self.rank(now, DOUBTFUL, 2);
    }

    /// Puts those that answer first, then the more preferred ones, and keeps so many. Whoever has left so many digests
    /// unanswered counts as silent.
    ///
    /// Where no third control node answers, the second has to become the first all the same: a sidecar is counted, and
    /// sent documents, by its first one only.
    fn rank(&mut self, now: Micros, silent: u32, most: usize) {
        let before = self.first();
        let place = |number: u16| self.order.iter().position(|other| *other == number);
        self.links.sort_by_key(|link| (link.unanswered >= silent, place(link.number)));
        self.links.truncate(most);
        if before != self.first() {
            self.switches += 1;
            // Each that answers is told its new rank; a silent one learns it when it is asked again.
            let answering = self.links.iter_mut().filter(|link| link.unanswered < silent);
            answering.for_each(|link| link.next_at = now);
        }
    }

    /// When [`Links::due`] has something to send.
    pub fn next_at(&self) -> Micros {
        let next = self.links.iter().map(|link| link.next_at).min().unwrap_or(Micros::MAX);
        let next = if self.seeks() { next.min(self.try_at) } else { next };
        let all = self.links.iter().zip(&self.order).all(|(link, order)| link.number == *order);
        if all { next } else { next.min(self.prefer_at) }
    }
}

impl Link {
    fn new(number: u16, next_at: Micros) -> Link {
        Link { number, asked: false, unanswered: 0, next_at, agreed: None }
    }
}

/// The interval between two digests to a control node of this rank that answers.
fn regular(every: Micros, rank: usize) -> Micros {
    if rank == 0 { every } else { every * SECOND_EVERY }
}

/// The mean wait before a question is repeated of which so many repetitions were in vain.
fn repetition_wait(in_vain: u32, most: Micros) -> Micros {
    RETRY.saturating_mul(1 << in_vain.min(16)).min(most)
}

/// A random wait around a mean, from a half to three halves of it, so that what started together falls apart.
fn spread(random: &mut Pcg32, mean: Micros) -> Micros {
    mean / 2 + below(random, mean)
}

/// A random number below `most`.
fn below(random: &mut Pcg32, most: Micros) -> Micros {
    random.next_u64() % most.max(1)
}
