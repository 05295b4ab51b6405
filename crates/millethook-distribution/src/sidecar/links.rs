//! The control nodes that a sidecar uses: two, and others when these are silent.
//!
//! An unanswered request is repeated, since a fifth of all datagrams may be lost. The wait before each repetition is
//! random and doubles up to the interval of answered digests, so a control node that is short of processor time
//! receives little more than one that answers. Without that bound, the repetitions alone keep it overloaded after the
//! cause of the overload has ended (Bronson et al., "Metastable failures in distributed systems", HotOS 2021).

use millethook_machine::Micros;
use millethook_machine::hash::mix;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::{DistributionConfig, rendezvous};

/// The mean wait until an unanswered digest is sent again. It doubles with each repetition, up to the interval of
/// answered digests.
const RETRY_MEAN: Micros = 350_000;
/// The number of consecutive unanswered digests after which a control node counts as silent.
const SILENT_AFTER: u32 = 5;
/// The digest interval of a silent control node, as a multiple of the regular one. Together with the digests to other
/// candidates, a sidecar that gets no answers sends as often as one that is answered.
const SILENT_INTERVAL_FACTOR: Micros = 2;
/// The number of unanswered digests at both control nodes after which others are tried.
const SEARCH_AFTER: u32 = 3;
/// The digest interval of the second control node, as a multiple of that of the first.
const SECOND_INTERVAL_FACTOR: Micros = 4;
/// The maximum mean wait between two tries of other control nodes.
const MAX_SEARCH_WAIT: Micros = 4_000_000;
/// A preferred control node that was silent is tried again after this time.
const PREFERRED_RETRY: Micros = 30_000_000;
/// A change of what is in force is reported within this time.
const CHANGE_REPORT_DELAY: Micros = 50_000;
/// In a fleet that starts together, each control node receives one first digest in this time: first those of the
/// sidecars that it will serve as their first control node, then those of the others. A sidecar in a fleet of 16,000
/// with 36 control nodes waits up to 0.9 s; a control node that needs 0.1 ms for a message spends a twentieth of a core
/// on it.
const FIRST_DIGEST_SPACING: Micros = 2_000;

/// The state of one control node that is used.
#[derive(Clone, Debug)]
struct Link {
    number: u16,
    /// A digest has been sent and not answered yet.
    awaiting_answer: bool,
    unanswered: u32,
    next_at: Micros,
    /// The hash of the statuses that it knows.
    known_hash: Option<u64>,
}

/// A digest that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DueDigest {
    /// The number of the control node that it is sent to.
    pub to: u16,
    /// The rank of that control node, which the digest tells it.
    pub rank: u8,
    /// Whether the digest has to include all statuses.
    pub whole: bool,
}

/// The control nodes that a sidecar uses.
#[derive(Clone, Debug)]
pub(super) struct Links {
    /// All control nodes, the most preferred first.
    preference: Vec<u16>,
    links: Vec<Link>,
    interval: Micros,
    random: Pcg32,
    /// The index in `preference` of the next control node to be tried, the time of the next try, and the number of
    /// consecutive tries.
    search_position: usize,
    search_at: Micros,
    search_count: u32,
    preferred_at: Micros,
    /// How often the first control node has changed.
    pub switches: u64,
}

impl Links {
    /// Selects the two preferred control nodes, and spreads the first digests over the start of the fleet.
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

    /// The control nodes that are used, the first one first.
    pub fn numbers(&self) -> Vec<u16> {
        self.links.iter().map(|link| link.number).collect()
    }

    /// Whether this member is a control node.
    pub fn is_control_node(&self, number: u16) -> bool {
        self.preference.contains(&number)
    }

    /// The number of control nodes in use that answer.
    pub fn answering(&self) -> usize {
        self.links.iter().filter(|link| link.unanswered == 0 && link.known_hash.is_some()).count()
    }

    /// A message of a control node has arrived.
    pub fn on_message(&mut self, from: u16) {
        if let Some(link) = self.links.iter_mut().find(|link| link.number == from) {
            link.unanswered = 0;
        }
    }

    /// A control node has answered a digest; `known`: it knows the statuses with this hash.
    pub fn on_digest_reply(
        &mut self,
        now: Micros,
        from: u16,
        hash: u64,
        known: bool,
        current: u64,
    ) {
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

    /// The statuses of this sidecar have changed.
    pub fn report_soon(&mut self, now: Micros) {
        for n in 0..self.links.len() {
            let soon = now + random_below(&mut self.random, CHANGE_REPORT_DELAY);
            let link = &mut self.links[n];
            // The first digest after a start keeps its time among those of the fleet.
            if link.known_hash.is_some() || link.unanswered > 0 {
                link.next_at = link.next_at.min(soon);
            }
        }
    }

    /// This control node sends something that it was already told about.
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

    /// When the first control node has just left a digest unanswered, the second is asked before the first is asked
    /// again. Otherwise a sidecar whose control nodes are both down would notice the failure of the second one only at
    /// the next of its rare digests.
    fn hasten_second(&mut self, now: Micros) {
        let [first, second, ..] = &mut self.links[..] else { return };
        if first.unanswered == 1 && second.unanswered == 0 && !second.awaiting_answer {
            let soon = now + random_below(&mut self.random, RETRY_MEAN / 2);
            second.next_at = second.next_at.min(soon);
        }
    }

    /// Whether control nodes other than the two in use have to be tried.
    fn needs_search(&self) -> bool {
        let silent = self.links.iter().any(|link| link.unanswered >= SILENT_AFTER);
        let all_doubtful = self.links.iter().all(|link| link.unanswered >= SEARCH_AFTER);
        self.preference.len() > self.links.len() && (silent || all_doubtful)
    }

    /// Two other control nodes to try: at first the next two in the order of preference after the last one tried; then
    /// the next one and a random one, since the preferred ones fail together when all control nodes of a region fail.
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

    /// The next index in the order of preference, starting at `from` and wrapping around, of a control node that is not
    /// in use.
    fn next_unlinked(&self, from: usize, but: Option<usize>) -> Option<usize> {
        let count = self.preference.len();
        let is_linked =
            |index: usize| self.links.iter().any(|link| link.number == self.preference[index]);
        let mut indices = (from..from + count).map(|index| index % count);
        indices.find(|index| Some(*index) != but && !is_linked(*index))
    }

    /// A control node that was tried has answered: it replaces a silent or a less preferred one.
    fn add_link(&mut self, now: Micros, number: u16) {
        let Some(_) = self.preference.iter().position(|other| *other == number) else { return };
        self.links.push(Link::new(number, now));
        self.rank(now, SEARCH_AFTER, 2);
    }

    /// Sorts the control nodes: those that answer first, then by preference, and keeps at most `most`. A control node
    /// that has left `silent` digests unanswered counts as silent.
    ///
    /// Even if no third control node answers, the second has to become the first, since a sidecar is counted, and sent
    /// documents, by its first one only.
    fn rank(&mut self, now: Micros, silent: u32, most: usize) {
        let before = self.first();
        let index = |number: u16| self.preference.iter().position(|other| *other == number);
        self.links.sort_by_key(|link| (link.unanswered >= silent, index(link.number)));
        self.links.truncate(most);
        if before != self.first() {
            self.switches += 1;
            // Each control node that answers is told its new rank; a silent one learns it when it is asked again.
            let answering = self.links.iter_mut().filter(|link| link.unanswered < silent);
            answering.for_each(|link| link.next_at = now);
        }
    }

    /// The time at which [`Links::due`] has to be called next.
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

/// The mean wait before the next repetition, after this many unanswered ones.
fn retry_wait(failed_tries: u32, most: Micros) -> Micros {
    RETRY_MEAN.saturating_mul(1 << failed_tries.min(16)).min(most)
}

/// A random wait between a half and three halves of the mean, to spread sidecars that started together.
fn with_jitter(random: &mut Pcg32, mean: Micros) -> Micros {
    mean / 2 + random_below(random, mean)
}

/// A random number below `most`.
fn random_below(random: &mut Pcg32, most: Micros) -> Micros {
    random.next_u64() % most.max(1)
}
