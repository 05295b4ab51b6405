//! Trials: harmless requests to doubtful servers; when they are sent, and what an outcome changes.

use super::{KnownServer, Membership, Trust, Update};
use crate::UnixMs;
use crate::list::Host;
use crate::mutant::{self, Mutant};

/// Milliseconds until a trial without an answer is repeated for the first time; the wait doubles each time.
const TRIAL_AGAIN_MS: u64 = 2_000;
/// After so many trials without an answer a server is dropped.
pub(super) const TRIALS_WITHOUT_ANSWER: u32 = 4;
/// With so many usable servers, trials are not urgent.
const ENOUGH: usize = 8;
/// How much longer the time between two trials is then.
const ENOUGH_RARER: u64 = 10;

/// A request to test whether a server is there and is of this fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// The entry of the server. Its name is handed back with the outcome.
    pub host: Host,
}

/// The outcome of a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// It answered as a server of the fleet.
    Answered,
    /// The connection was refused.
    Refused,
    /// Another program has answered.
    OtherProgram,
    /// There was no answer in time.
    NoAnswer,
}

impl Membership {
    /// The next trial, if one is due. Its outcome has to be handed to [`Membership::trial_ended`].
    pub fn poll_trial(&mut self, now: UnixMs) -> Option<Trial> {
        let full = self.trials_open >= self.config.trials_at_once;
        if full && !mutant::is(Mutant::AnyTrials) || now < self.next_trial_ms {
            return None;
        }
        let due = self.servers.values_mut().filter(|k| k.awaits_trial() && k.next_trial_ms <= now);
        // The name decides between two that are due at the same time, so that runs can be repeated.
        let next = due.min_by(|a, b| {
            let key = |k: &KnownServer| (k.next_trial_ms, k.host.id().0);
            key(a).cmp(&key(b))
        })?;
        next.on_trial = true;
        next.trials += 1;
        let host = next.host.clone();
        let gap = (1000.0 / self.config.trials_per_second.max(1e-3)) as u64;
        let enough = self.usable().count() >= ENOUGH;
        if !mutant::is(Mutant::TrialsNotPaced) {
            self.next_trial_ms = now + gap * if enough { ENOUGH_RARER } else { 1 };
        }
        self.trials_open += 1;
        self.totals.trials += 1;
        Some(Trial { host })
    }

    /// Applies the outcome of a trial; returns what has changed for the balancer.
    pub fn trial_ended(&mut self, now: UnixMs, host: &str, outcome: TrialOutcome) -> Update {
        self.trials_open = self.trials_open.saturating_sub(1);
        let Some(known) = self.servers.get_mut(host).filter(|k| k.on_trial) else {
            // A live list has confirmed or removed it meanwhile.
            return Update::changes(Vec::new());
        };
        known.on_trial = false;
        if known.trust != Trust::Doubtful {
            return Update::changes(Vec::new());
        }
        let trusted = outcome == TrialOutcome::OtherProgram && mutant::is(Mutant::StrangerTrusted);
        match if trusted { TrialOutcome::Answered } else { outcome } {
            TrialOutcome::Answered => {
                (known.trust, known.confirmed_ms) = (Trust::Live, now);
                let host = known.host.clone();
                self.totals.confirmed += 1;
                return Update::changes(vec![host]);
            }
            TrialOutcome::NoAnswer
                if known.trials < TRIALS_WITHOUT_ANSWER || mutant::is(Mutant::TrialsWithoutEnd) =>
            {
                known.next_trial_ms = now + (TRIAL_AGAIN_MS << known.trials.min(8));
            }
            TrialOutcome::NoAnswer | TrialOutcome::Refused | TrialOutcome::OtherProgram => {
                self.servers.remove(host);
                self.totals.dropped += 1;
            }
        }
        Update::changes(Vec::new())
    }
}
