//! Who tries a server that the fleet doubts: one sidecar of each zone, and the others wait for its word or for the end of
//! its lease. Where there is no majority of seats each tries as without leases. No clock and no I/O.

use std::collections::BTreeMap;

use coppercart::api::{Micros, ServerId, Standing};
use millethook_lease::{JobId, Lease, Token};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// What is to be done about a doubted server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// The balancer is to go by this standing from now on, for a while.
    Stand(ServerId, Standing),
    /// The trial is given back, because nothing was sent to the server for [`IDLE_HOLDS`].
    GiveUp(ServerId, JobId),
    /// All are told that this sidecar tries it.
    Say(JobId, Token),
}

/// Servers that are tried at once by one sidecar, at most.
const MOST: usize = 256;
/// An owner that has sent nothing there for so many holds after a trial was due lets another one try.
const IDLE_HOLDS: u64 = 3;
/// A trial is due again so many holds after the one before: as long as the balancer's longest pause between its own.
const TRIAL_HOLDS: u64 = 10;

struct Doubt {
    job: JobId,
    /// When the job is asked for.
    ask_at: Micros,
    /// When the decisions are told, or the fleet, again.
    again_at: Micros,
    /// It is owned here.
    owned: Option<Ownership>,
}

/// What an owner has done with its job.
struct Ownership {
    /// When the balancer was last told that a trial is due.
    due_at: Micros,
    /// Whether anything was sent there since.
    tried: bool,
}

pub(crate) struct Trials {
    /// For so long the decisions leave a doubted server alone.
    hold: Micros,
    length: Micros,
    job: Box<dyn Fn(u64) -> JobId>,
    doubted: BTreeMap<u64, Doubt>,
    random: Pcg32,
}

impl Trials {
    pub fn new(hold: Micros, length: Micros, seed: u64, job: Box<dyn Fn(u64) -> JobId>) -> Trials {
        let random = Pcg32::seed_from_u64(seed);
        Trials { hold: hold.max(2_000), length, job, doubted: BTreeMap::new(), random }
    }

    fn some(&mut self, most: Micros) -> Micros {
        u64::from(self.random.next_u32()) % most.max(1)
    }

    pub fn stands(&mut self, now: Micros, server: ServerId, standing: Standing, lease: &mut Lease) {
        let known = self.doubted.contains_key(&server.0);
        if standing == Standing::Doubted && !known && self.doubted.len() < MOST {
            // Not all at once: whoever is first is heard of by the others.
            let ask_at = now + self.some(self.hold);
            let job = (self.job)(server.0);
            self.doubted.insert(server.0, Doubt { job, ask_at, again_at: now, owned: None });
        } else if standing != Standing::Doubted
            && let Some(doubt) = self.doubted.remove(&server.0)
        {
            lease.release(now, doubt.job, None);
        }
    }

    pub fn tried(&mut self, server: ServerId) {
        if let Some(owned) = self.doubted.get_mut(&server.0).and_then(|d| d.owned.as_mut()) {
            owned.tried = true;
        }
    }

    /// Does what is due; when there is something to do again. `known` tells who owns a job, by the fleet's words, and
    /// how long ago it said so.
    pub fn tick(
        &mut self,
        now: Micros,
        lease: &mut Lease,
        known: &dyn Fn(JobId) -> Option<(Token, Micros)>,
        turns: &mut Vec<Turn>,
    ) -> Micros {
        let (hold, length) = (self.hold, self.length);
        let wait = hold + self.some(hold);
        let mut next = Micros::MAX;
        for (server, doubt) in &mut self.doubted {
            let mine = lease.holds(now, doubt.job);
            doubt.owned = doubt.owned.take().filter(|_| mine.is_some());
            let due = |owned: &Ownership| owned.tried && now > owned.due_at + TRIAL_HOLDS * hold;
            if mine.is_some() && doubt.owned.as_ref().is_none_or(due) {
                // Without this the owner leaves the server alone for as long as its own failures there and the verdicts of
                // others have told it to, and in calm for ever: the server looks slow, and loses each tie of two picks.
                // The owner would give the trial back before its first attempt, and so would each owner after it.
                turns.push(Turn::Stand(ServerId(*server), Standing::Trusted));
                doubt.owned = Some(Ownership { due_at: now, tried: false });
            }
            // Its word is as old as the last renewal; without another one its lease is over.
            let other = known(doubt.job).filter(|(_, age)| mine.is_none() && *age < length);
            let held = match lease.status(now, doubt.job) {
                Some(millethook_lease::LeaseStatus::Held(token, until)) => Some((token, until)),
                _ => other.map(|(token, age)| (token, now + length - age)),
            };
            match (mine, held) {
                (Some(token), _) => {
                    let idle = doubt.owned.as_ref().is_some_and(|owned| {
                        !owned.tried && now > owned.due_at + IDLE_HOLDS * hold
                    });
                    if idle {
                        turns.push(Turn::GiveUp(ServerId(*server), doubt.job));
                        lease.release(now, doubt.job, None);
                        (doubt.owned, doubt.ask_at) = (None, now + length + wait);
                    } else if doubt.again_at <= now {
                        doubt.again_at = now + length / 2;
                        turns.push(Turn::Say(doubt.job, token));
                    }
                }
                (None, Some((_, until))) => {
                    if other.is_some() {
                        // Whose it is need not be asked of the seats.
                        lease.release(now, doubt.job, None);
                        doubt.ask_at = until + wait / 2;
                    }
                    if doubt.again_at <= now {
                        doubt.again_at = now + hold / 2;
                        turns.push(Turn::Stand(ServerId(*server), Standing::Doubted));
                    }
                }
                (None, None) if doubt.ask_at <= now => {
                    lease.request(now, doubt.job, length, 0);
                }
                (None, None) => {}
            }
            let due = match (mine.is_none() && held.is_none(), doubt.ask_at) {
                (true, at) if at > now => at,
                // What becomes of the claim wakes whoever calls this.
                (true, _) => now + hold,
                (false, _) => doubt.again_at,
            };
            next = next.min(due.max(now + 10_000));
        }
        next
    }
}

#[cfg(test)]
#[path = "../tests/unit/trials.rs"]
mod tests;
