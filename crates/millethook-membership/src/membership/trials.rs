//! Trials: harmless requests to doubtful servers. Decides when they are sent, and applies their outcomes.

use super::{KnownServer, Membership, Trust, Update};
use crate::UnixMs;
use crate::list::Host;
use crate::mutant::{self, Mutant};

/// Delay before the first retry of an unanswered trial. It doubles with each retry.
const TRIAL_RETRY_MS: u64 = 2_000;
/// After this many unanswered trials a server is dropped.
pub(super) const MAX_UNANSWERED_TRIALS: u32 = 4;
/// With at least this many usable servers, trials are not urgent.
const ENOUGH_USABLE_SERVERS: usize = 8;
/// Factor by which the interval between two trials grows when they are not urgent.
const RELAXED_INTERVAL_FACTOR: u64 = 10;

/// A request that tests whether a server exists and belongs to this fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The entry of the server. The caller passes its name to [`Membership::trial_ended`].
    pub host: Host,
}

/// The outcome of a trial. The names of the variants appear in the log, as `outcome` of the event `server_tried`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The server answered as a member of the fleet.
    Answered,
    /// The connection was refused.
    Refused,
    /// A program other than the expected server answered at the address.
    Stranger,
    /// There was no answer before the timeout.
    Silent,
}

impl Membership {
    /// Returns the next trial, if one is due. Its outcome has to be passed to [`Membership::trial_ended`].
    pub fn poll_trial(&mut self, now: UnixMs) -> Option<Trial> {
        let at_limit = self.trials_open >= self.config.trials_at_once;
        if at_limit && !mutant::is(Mutant::AnyTrials) || now < self.next_trial_ms {
            return None;
        }
        let due = self.servers.values_mut().filter(|k| k.awaits_trial() && k.next_trial_ms <= now);
        // Ties are broken by the server's id, so that runs are reproducible.
        let next = due.min_by(|a, b| {
            let key = |k: &KnownServer| (k.next_trial_ms, k.host.id().0);
            key(a).cmp(&key(b))
        })?;
        next.on_trial = true;
        next.trials += 1;
        let host = next.host.clone();
        let interval_ms = (1000.0 / self.config.trials_per_second.max(1e-3)) as u64;
        let not_urgent = self.usable().count() >= ENOUGH_USABLE_SERVERS;
        if !mutant::is(Mutant::TrialsNotPaced) {
            self.next_trial_ms =
                now + interval_ms * if not_urgent { RELAXED_INTERVAL_FACTOR } else { 1 };
        }
        self.trials_open += 1;
        self.totals.trials += 1;
        Some(Trial { host })
    }

    /// Applies the outcome of a trial, and returns the changes for the balancer.
    pub fn trial_ended(&mut self, now: UnixMs, host: &str, outcome: TrialOutcome) -> Update {
        self.trials_open = self.trials_open.saturating_sub(1);
        let Some(known) = self.servers.get_mut(host).filter(|k| k.on_trial) else {
            // A live list has confirmed or removed the server meanwhile.
            return Update::changes(Vec::new());
        };
        known.on_trial = false;
        if known.trust != Trust::Doubtful {
            return Update::changes(Vec::new());
        }
        let trust_other_program =
            outcome == TrialOutcome::Stranger && mutant::is(Mutant::StrangerTrusted);
        match if trust_other_program { TrialOutcome::Answered } else { outcome } {
            TrialOutcome::Answered => {
                (known.trust, known.confirmed_ms) = (Trust::Live, now);
                let host = known.host.clone();
                self.totals.confirmed += 1;
                return Update::changes(vec![host]);
            }
            TrialOutcome::Silent
                if known.trials < MAX_UNANSWERED_TRIALS || mutant::is(Mutant::TrialsWithoutEnd) =>
            {
                known.next_trial_ms = now + (TRIAL_RETRY_MS << known.trials.min(8));
            }
            TrialOutcome::Silent | TrialOutcome::Refused | TrialOutcome::Stranger => {
                self.servers.remove(host);
                self.totals.dropped += 1;
            }
        }
        Update::changes(Vec::new())
    }
}
