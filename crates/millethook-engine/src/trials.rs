//! Decides which sidecar sends trials to a server that the fleet suspects: one in each zone. The others wait for its
//! report or for the end of its lease. Without a majority of seats, each sidecar sends trials as it would without
//! leases. This module has no clock and no I/O.

use std::collections::BTreeMap;

use coppercart::api::{Micros, ServerId, ServerVerdict};
use millethook_lease::{JobId, Lease, Token};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// An action for a suspected server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialAction {
    /// The balancer applies this verdict for a while.
    ApplyVerdict(ServerId, ServerVerdict),
    /// The trial is released, because nothing was sent to the server for [`MAX_IDLE_HOLDS`].
    Release(ServerId, JobId),
    /// Announces to the fleet that this sidecar sends the trials.
    Announce(JobId, Token),
}

/// The most servers that one sidecar sends trials to.
const MAX_TRIALS: usize = 256;
/// An owner that has sent nothing to the server for this many hold times after a trial was due releases it to another
/// sidecar.
const MAX_IDLE_HOLDS: u64 = 3;
/// A trial is due again this many hold times after the previous one. This equals the balancer's longest pause between
/// its own trials.
const TRIAL_INTERVAL_HOLDS: u64 = 10;

/// A suspected server and the lease of its trials.
struct SuspectedServer {
    job: JobId,
    /// When the lease is requested.
    request_at: Micros,
    /// When the verdict, or the announcement, is repeated.
    repeat_at: Micros,
    /// Set while this sidecar owns the trials.
    ownership: Option<Ownership>,
}

/// Progress of an owner.
struct Ownership {
    /// When the balancer was last told that a trial is due.
    due_at: Micros,
    /// Whether anything was sent to the server since then.
    attempted: bool,
}

/// The trials of suspected servers.
pub(crate) struct Trials {
    /// How long a verdict keeps the balancer away from a suspected server.
    verdict_hold: Micros,
    lease_length: Micros,
    job_of: Box<dyn Fn(u64) -> JobId>,
    suspected: BTreeMap<u64, SuspectedServer>,
    random: Pcg32,
}

impl Trials {
    /// Creates an empty set. `job_of` maps a server to the job of its trials.
    pub fn new(
        verdict_hold: Micros,
        lease_length: Micros,
        seed: u64,
        job_of: Box<dyn Fn(u64) -> JobId>,
    ) -> Trials {
        let random = Pcg32::seed_from_u64(seed);
        Trials {
            verdict_hold: verdict_hold.max(2_000),
            lease_length,
            job_of,
            suspected: BTreeMap::new(),
            random,
        }
    }

    fn random_delay(&mut self, max: Micros) -> Micros {
        u64::from(self.random.next_u32()) % max.max(1)
    }

    /// Takes the fleet's verdict on a server.
    pub fn apply_verdict(
        &mut self,
        now: Micros,
        server: ServerId,
        verdict: ServerVerdict,
        lease: &mut Lease,
    ) {
        let is_known = self.suspected.contains_key(&server.0);
        if verdict == ServerVerdict::Suspected && !is_known && self.suspected.len() < MAX_TRIALS {
            // Requests are spread over time, so that the others learn of the first owner before they request the
            // lease.
            let request_at = now + self.random_delay(self.verdict_hold);
            let job = (self.job_of)(server.0);
            self.suspected.insert(
                server.0,
                SuspectedServer { job, request_at, repeat_at: now, ownership: None },
            );
        } else if verdict != ServerVerdict::Suspected
            && let Some(entry) = self.suspected.remove(&server.0)
        {
            lease.release(now, entry.job, None);
        }
    }

    /// An attempt is sent to a server.
    pub fn on_attempt(&mut self, server: ServerId) {
        if let Some(ownership) =
            self.suspected.get_mut(&server.0).and_then(|entry| entry.ownership.as_mut())
        {
            ownership.attempted = true;
        }
    }

    /// Performs what is due, and returns when to call it again. `owner_of` returns the owner of a job according to
    /// the fleet, and how long ago the owner announced it.
    pub fn tick(
        &mut self,
        now: Micros,
        lease: &mut Lease,
        owner_of: &dyn Fn(JobId) -> Option<(Token, Micros)>,
        actions: &mut Vec<TrialAction>,
    ) -> Micros {
        let (verdict_hold, lease_length) = (self.verdict_hold, self.lease_length);
        let wait = verdict_hold + self.random_delay(verdict_hold);
        let mut next = Micros::MAX;
        for (server, entry) in &mut self.suspected {
            let own_token = lease.holds(now, entry.job);
            entry.ownership = entry.ownership.take().filter(|_| own_token.is_some());
            let is_trial_due = |ownership: &Ownership| {
                ownership.attempted && now > ownership.due_at + TRIAL_INTERVAL_HOLDS * verdict_hold
            };
            if own_token.is_some() && entry.ownership.as_ref().is_none_or(is_trial_due) {
                // Without this, the owner avoids the server for as long as its own failures there and the verdicts of
                // others demand. In a calm fleet it avoids it forever: the server looks slow and loses each tie
                // between two picks. The owner would release the trial before its first attempt, and so would each
                // owner after it.
                actions.push(TrialAction::ApplyVerdict(ServerId(*server), ServerVerdict::Trusted));
                entry.ownership = Some(Ownership { due_at: now, attempted: false });
            }
            // An announcement is as old as the last renewal of the lease; without a newer one the lease has expired.
            let other_owner =
                owner_of(entry.job).filter(|(_, age)| own_token.is_none() && *age < lease_length);
            let holder = match lease.status(now, entry.job) {
                Some(millethook_lease::LeaseStatus::Held(token, until)) => Some((token, until)),
                _ => other_owner.map(|(token, age)| (token, now + lease_length - age)),
            };
            match (own_token, holder) {
                (Some(token), _) => {
                    let is_idle = entry.ownership.as_ref().is_some_and(|ownership| {
                        !ownership.attempted
                            && now > ownership.due_at + MAX_IDLE_HOLDS * verdict_hold
                    });
                    if is_idle {
                        actions.push(TrialAction::Release(ServerId(*server), entry.job));
                        lease.release(now, entry.job, None);
                        (entry.ownership, entry.request_at) = (None, now + lease_length + wait);
                    } else if entry.repeat_at <= now {
                        entry.repeat_at = now + lease_length / 2;
                        actions.push(TrialAction::Announce(entry.job, token));
                    }
                }
                (None, Some((_, until))) => {
                    if other_owner.is_some() {
                        // The owner is known, so the seats need not be asked.
                        lease.release(now, entry.job, None);
                        entry.request_at = until + wait / 2;
                    }
                    if entry.repeat_at <= now {
                        entry.repeat_at = now + verdict_hold / 2;
                        actions.push(TrialAction::ApplyVerdict(
                            ServerId(*server),
                            ServerVerdict::Suspected,
                        ));
                    }
                }
                (None, None) if entry.request_at <= now => {
                    lease.request(now, entry.job, lease_length, 0);
                }
                (None, None) => {}
            }
            let due = match (own_token.is_none() && holder.is_none(), entry.request_at) {
                (true, at) if at > now => at,
                // The caller is woken when the lease request is decided.
                (true, _) => now + verdict_hold,
                (false, _) => entry.repeat_at,
            };
            next = next.min(due.max(now + 10_000));
        }
        next
    }
}

#[cfg(test)]
#[path = "../tests/unit/trials.rs"]
mod tests;
