//! The order of probes, and the time in which a suspected member can refute the suspicion.

use rand_core::RngCore;
use rand_pcg::Pcg32;

use crate::Micros;
use crate::fact::Status;
use crate::table::Table;

/// A random number below `n`; 0 if `n` is 0.
pub(crate) fn below(random: &mut Pcg32, n: usize) -> usize {
    ((u64::from(random.next_u32()) * n.max(1) as u64) >> 32) as usize
}

/// The order in which members are probed: each once in a round, shuffled again for each round, so that the time until a
/// given member is probed is bounded (SWIM, section 4.3).
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeOrder {
    round: Vec<u16>,
}

impl ProbeOrder {
    /// Makes a member the next to be probed.
    pub fn probe_next(&mut self, number: u16) {
        self.round.push(number);
    }

    /// The next member to be probed. None: no other member is present.
    pub fn next(&mut self, table: &Table, me: u16, random: &mut Pcg32) -> Option<u16> {
        for again in [false, true] {
            while let Some(next) = self.round.pop() {
                if table.status(next).is_present() {
                    return Some(next);
                }
            }
            if !again {
                self.round.extend(table.present().filter(|n| *n != me));
                for last in (1..self.round.len()).rev() {
                    self.round.swap(last, below(random, last + 1));
                }
            }
        }
        None
    }
}

/// A probe that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    /// The member that is probed.
    pub target: u16,
    /// The sequence number that identifies the answer.
    pub sequence: u16,
    /// When others are asked to probe the member. None: they were asked already, or need not be.
    pub indirect_at: Option<Micros>,
    /// When the probe is sent again.
    pub repeat_at: Micros,
    /// Whether it was answered.
    pub answered: bool,
    /// The number of members that were asked to probe.
    pub helpers: usize,
    /// Whether one of them has confirmed the request.
    pub acknowledged: bool,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedProbe {
    /// The sequence number of the own probe.
    pub sequence: u16,
    /// The member that is probed.
    pub target: u16,
    /// The member that requested the probe.
    pub requested_by: u16,
    /// The sequence number of its request.
    pub their_sequence: u16,
    /// When it is dropped.
    pub until: Micros,
}

/// The maximum number of confirmations by other members that shorten a suspicion (Lifeguard, section 3.3).
const MAX_CONFIRMATIONS: usize = 3;
/// The shortest suspicion, in periods for each power of ten of the fleet's size.
const MIN_PERIODS_PER_DECADE: f64 = 4.0;
/// The longest suspicion, as a multiple of the shortest.
const MAX_TO_MIN_RATIO: f64 = 3.0;

/// The suspicion of one member.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// When it started.
    pub started_at: Micros,
    /// Whether it was sent again after half of its time.
    pub repeated: bool,
    /// Members that suspect it independently.
    suspected_by: Vec<u16>,
}

impl Suspicion {
    /// A suspicion by one member.
    pub fn new(now: Micros, by: u16) -> Suspicion {
        Suspicion { started_at: now, repeated: false, suspected_by: vec![by] }
    }

    /// Records that another member suspects it, too. Returns whether that was not known, and counts.
    pub fn confirm(&mut self, by: u16) -> bool {
        let new = !self.suspected_by.contains(&by) && self.suspected_by.len() <= MAX_CONFIRMATIONS;
        if new {
            self.suspected_by.push(by);
        }
        new
    }

    /// When it expires. It is long while a single member has had no answer, and gets shorter with each confirmation.
    pub fn ends_at(&self, period: Micros, members: usize) -> Micros {
        let decades = ((members + 1) as f64).log10().max(1.0);
        let least = MIN_PERIODS_PER_DECADE * decades * period as f64;
        // In a fleet of three no other member can confirm, in one of four one can.
        let possible = MAX_CONFIRMATIONS.min(members.saturating_sub(3));
        let confirmed = (self.suspected_by.len() - 1).min(possible);
        let length = match possible {
            0 => least,
            _ => {
                let fraction = ((confirmed + 1) as f64).ln() / ((possible + 1) as f64).ln();
                least * (MAX_TO_MIN_RATIO - (MAX_TO_MIN_RATIO - 1.0) * fraction)
            }
        };
        self.started_at + length as Micros
    }
}

/// A random member that satisfies a predicate. None: there is none.
pub(crate) fn pick_random(
    table: &Table,
    random: &mut Pcg32,
    predicate: impl Fn(u16, Status) -> bool,
) -> Option<u16> {
    let first = below(random, table.len());
    table.find(first, |n, member| predicate(n, member.status))
}
