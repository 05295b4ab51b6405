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
const RETRY_MEAN: Micros = 350_000;
/// Digests in a row that were not answered: the control node counts as silent.
const SILENT_AFTER: u32 = 5;
/// One that is silent is asked once in so many times the interval of one that answers: with those that are tried beside it,
/// a sidecar that nobody answers asks as often as one that is answered.
const SILENT_INTERVAL_FACTOR: Micros = 2;
/// With so many unanswered at both, others are asked already.
const SEARCH_AFTER: u32 = 3;
/// The second control node is asked once in so many digests of the first.
const SECOND_INTERVAL_FACTOR: Micros = 4;
/// The longest mean wait between two tries of others.
const MAX_SEARCH_WAIT: Micros = 4_000_000;
/// A preferred control node that was silent is tried again after this time.
const PREFERRED_RETRY: Micros = 30_000_000;
/// A change of what is in force is told within this time.
const CHANGE_REPORT_DELAY: Micros = 50_000;
/// Of a fleet that starts together each control node gets one first digest in this time: first those of the sidecars that
/// are to be served by it, then those of the others. A sidecar of a fleet of 16,000 with 36 control nodes waits up to
/// 0.9 s; a control node that handles a message in 0.1 ms spends a twentieth of a core on it.
const FIRST_DIGEST_SPACING: Micros = 2_000;

/// One control node that is asked.
#[derive(Clone, Debug)]
struct Link {
    number: u16,
    /// A digest is out.
    awaiting_answer: bool,
    unanswered: u32,
    next_at: Micros,
    /// The hash of the statuses that it knows.
    known_hash: Option<u64>,
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
    preference: Vec<u16>,
    links: Vec<Link>,
    interval: Micros,
    random: Pcg32,
    /// Where in `order` the next control node to be tried is, when to try, and how often that was done in a row.
    search_position: usize,
    search_at: Micros,
    search_count: u32,
    preferred_at: Micros,
    pub switches: u64,
}

impl Links {
    pub fn new(config: &DistributionConfig, now: Micros) -> Links {
        let mut random = Pcg32::seed_from_u64(mix(config.seed ^ u64::from(config.me)));
        let preference = rendezvous::preference_order(&config.identity, &config.control_nodes);
        let window = FIRST_DIGEST_SPACING * Micros::from(config.members)
            / (preference.len().max(1) as Micros);
        let first_at =
            |rank: usize| now + rank as Micros * window + random_below(&mut random, window);
        let times: Vec<Micros> = (0..2).map(first_at).collect();
        let links =
            preference.iter().zip(times).map(|(number, at)| Link::new(*number, at)).collect();
        let preferred_at = now + PREFERRED_RETRY;
        Links {
            preference,
            links,
            interval: config.limits.digest_interval.max(1),
            random,
            search_position: 0,
            search_at: 0,
            search_count: 0,
            preferred_at,
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
    pub fn is_control_node(&self, number: u16) -> bool {
        self.preference.contains(&number)
    }

    /// Control nodes that answer, of those that are asked.
    pub fn answering(&self) -> usize {
        self.links.iter().filter(|link| link.unanswered == 0 && link.known_hash.is_some()).count()
    }

    /// A message of a control node has come.
    pub fn heard(&mut self, from: u16) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == from) {
            link.unanswered = 0;
        }
    }

    /// A control node has answered a digest; `agreed`: it knows the statuses of this hash.
    pub fn answered(&mut self, now: Micros, from: u16, hash: u64, known: bool, current: u64) {
        let rank = self.links.iter().position(|link| link.number == from);
        let Some(rank) = rank else {
            self.add_link(now, from);
            return;
        };
        let regular_interval = regular_interval(self.interval, rank);
        let jitter = regular_interval / 2;
        let wait = regular_interval - jitter / 2 + random_below(&mut self.random, jitter);
        let link = &mut self.links[rank];
        link.awaiting_answer = false;
        link.unanswered = 0;
        link.known_hash = known.then_some(hash);
        link.next_at = if known && hash == current { now + wait } else { now };
        if self.links.iter().all(|link| link.unanswered == 0) {
            (self.search_count, self.search_position) = (0, 0);
        }
        self.rank(now, SILENT_AFTER, self.preference.len());
    }

    /// What this sidecar has to tell has changed.
    pub fn report_soon(&mut self, now: Micros) {
        for n in 0..self.links.len() {
            let soon = now + random_below(&mut self.random, CHANGE_REPORT_DELAY);
            let link = &mut self.links[n];
            // The first digest after a start keeps its place among those of the fleet.
            if link.known_hash.is_some() || link.unanswered > 0 {
                link.next_at = link.next_at.min(soon);
            }
        }
    }

    /// This control node asks for something that it was told already.
    pub fn resend_status(&mut self, now: Micros, to: u16) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == to) {
            link.known_hash = None;
            link.next_at = link.next_at.min(now + RETRY_MEAN / 4);
        }
    }

    /// Digests that are due; `current` is the hash of the statuses.
    pub fn due(&mut self, now: Micros, current: u64) -> Vec<DueDigest> {
        let mut due = Vec::new();
        for (rank, link) in self.links.iter_mut().enumerate() {
            if link.next_at > now {
                continue;
            }
            link.unanswered += u32::from(link.awaiting_answer);
            link.awaiting_answer = true;
            let most = if link.unanswered < SILENT_AFTER { 1 } else { SILENT_INTERVAL_FACTOR };
            let wait = retry_wait(link.unanswered, most * regular_interval(self.interval, rank));
            link.next_at = now + with_jitter(&mut self.random, wait);
            let whole = link.known_hash != Some(current);
            due.push(DueDigest { to: link.number, rank: rank as u8, whole });
        }
        self.hasten_second(now);
        self.rank(now, SILENT_AFTER, self.preference.len());
        if self.needs_search() && self.search_at <= now {
            due.extend(self.next_candidates(now));
        }
        if self.preferred_at <= now {
            self.preferred_at =
                now + PREFERRED_RETRY + random_below(&mut self.random, PREFERRED_RETRY / 2);
            let is_linked = |number: &&u16| self.links.iter().any(|link| link.number == **number);
            let better = self.preference.iter().take(2).find(|number| !is_linked(number));
            due.extend(better.map(|to| DueDigest { to: *to, rank: 2, whole: false }));
        }
        due
    }

    /// Where the first control node has just left a digest unanswered, the second is asked before the first is asked
    /// again. Otherwise a sidecar whose two control nodes are gone would learn of the second one only with the next of
    /// its rare digests.
    fn hasten_second(&mut self, now: Micros) {
        let [first, second, ..] = &mut self.links[..] else { return };
        if first.unanswered == 1 && second.unanswered == 0 && !second.awaiting_answer {
            let soon = now + random_below(&mut self.random, RETRY_MEAN / 2);
            second.next_at = second.next_at.min(soon);
        }
    }

    /// Whether others than those two have to be tried.
    fn needs_search(&self) -> bool {
        let silent = self.links.iter().any(|link| link.unanswered >= SILENT_AFTER);
        let all_doubtful = self.links.iter().all(|link| link.unanswered >= SEARCH_AFTER);
        self.preference.len() > self.links.len() && (silent || all_doubtful)
    }

    /// Two other control nodes: at first the next two in the order of preference, behind the last one that was tried. Then
    /// the next one and any other: where all of a region are gone, the preferred ones are gone together.
    fn next_candidates(&mut self, now: Micros) -> Vec<DueDigest> {
        let first_try = self.search_count == 0;
        let next = self.next_unlinked(self.search_position, None);
        self.search_position = next.map_or(0, |index| index + 1);
        let any = (self.random.next_u64() % self.preference.len().max(1) as u64) as usize;
        let other = self.next_unlinked(if first_try { self.search_position } else { any }, next);
        if first_try {
            self.search_position = other.map_or(0, |index| index + 1);
        }
        let wait = retry_wait(self.search_count, MAX_SEARCH_WAIT);
        self.search_count = self.search_count.saturating_add(1);
        self.search_at = now + with_jitter(&mut self.random, wait);
        let indices = next.into_iter().chain(other);
        indices
            .map(|index| DueDigest { to: self.preference[index], rank: 2, whole: false })
            .collect()
    }

    /// The next place in the order of preference, from one on and around, of a control node that is not asked already.
    fn next_unlinked(&self, from: usize, but: Option<usize>) -> Option<usize> {
        let count = self.preference.len();
        let is_linked =
            |index: usize| self.links.iter().any(|link| link.number == self.preference[index]);
        let mut indices = (from..from + count).map(|index| index % count);
        indices.find(|index| Some(*index) != but && !is_linked(*index))
    }

    /// A control node that was tried has answered: it takes the place of a silent or of a less preferred one.
    fn add_link(&mut self, now: Micros, number: u16) {
        let Some(_) = self.preference.iter().position(|other| *other == number) else { return };
        self.links.push(Link::new(number, now));
        self.rank(now, SEARCH_AFTER, 2);
    }

    /// Puts those that answer first, then the more preferred ones, and keeps so many. Whoever has left so many digests
    /// unanswered counts as silent.
    ///
    /// Where no third control node answers, the second has to become the first all the same: a sidecar is counted, and
    /// sent documents, by its first one only.
    fn rank(&mut self, now: Micros, silent: u32, most: usize) {
        let before = self.first();
        let index = |number: u16| self.preference.iter().position(|other| *other == number);
        self.links.sort_by_key(|link| (link.unanswered >= silent, index(link.number)));
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
        let next = if self.needs_search() { next.min(self.search_at) } else { next };
        let all = self
            .links
            .iter()
            .zip(&self.preference)
            .all(|(link, preference)| link.number == *preference);
        if all { next } else { next.min(self.preferred_at) }
    }
}

impl Link {
    fn new(number: u16, next_at: Micros) -> Link {
        Link { number, awaiting_answer: false, unanswered: 0, next_at, known_hash: None }
    }
}

/// The interval between two digests to a control node of this rank that answers.
fn regular_interval(interval: Micros, rank: usize) -> Micros {
    if rank == 0 { interval } else { interval * SECOND_INTERVAL_FACTOR }
}

/// The mean wait before a question is repeated of which so many repetitions were in vain.
fn retry_wait(failed_tries: u32, most: Micros) -> Micros {
    RETRY_MEAN.saturating_mul(1 << failed_tries.min(16)).min(most)
}

/// A random wait around a mean, from a half to three halves of it, so that what started together falls apart.
fn with_jitter(random: &mut Pcg32, mean: Micros) -> Micros {
    mean / 2 + random_below(random, mean)
}

/// A random number below `most`.
fn random_below(random: &mut Pcg32, most: Micros) -> Micros {
    random.next_u64() % most.max(1)
}
