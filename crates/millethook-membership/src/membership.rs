//! The state machine: servers with their source, age and trust.

mod check;
mod config;
mod counts;
mod knowledge;
mod lists;
mod remembered;
mod trials;
mod update;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::list::{List, ListedState};
use crate::mutant::{self, Mutant};
use crate::{History, UnixMs};

pub use config::Config;
pub use counts::Counts;
pub use knowledge::{KnownServer, Source, Trust};
pub use trials::{Trial, TrialOutcome};
pub use update::Update;

/// The servers of one fleet, as one process knows them.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    servers: FxHashMap<String, KnownServer>,
    history: History,
    seq: u64,
    /// The live source that has sent the last list, of version `seq`; once there is one, a snapshot is not used any
    /// more.
    live: Option<Source>,
    /// Since when the live source has not answered.
    lost_since: Option<UnixMs>,
    /// When `history` was last updated.
    observed_ms: Option<UnixMs>,
    /// A list that is suspect, its source, and the time at which it takes effect.
    held: Option<(List, Source, UnixMs)>,
    trials_open: usize,
    next_trial_ms: UnixMs,
    totals: Counts,
    rng: Pcg64Mcg,
}

impl Membership {
    /// A membership without servers. `seed` is that of the random waits before trials.
    pub fn new(config: Config, seed: u64) -> Membership {
        Membership {
            config,
            servers: FxHashMap::default(),
            history: History::default(),
            seq: 0,
            live: None,
            lost_since: None,
            observed_ms: None,
            held: None,
            trials_open: 0,
            next_trial_ms: 0,
            totals: Counts::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// When [`Membership::apply_due_list`] or [`Membership::poll_trial`] has to be called next; None: not before another call.
    pub fn next_due(&self) -> Option<UnixMs> {
        let held = self.held.as_ref().map(|held| held.2);
        let room = self.trials_open < self.config.trials_at_once;
        let doubtful = self.servers.values().filter(|k| k.awaits_trial());
        let trial = doubtful.map(|k| k.next_trial_ms).min().filter(|_| room);
        let trial = trial.map(|at| at.max(self.next_trial_ms));
        held.into_iter().chain(trial).min()
    }

    /// All servers that are known.
    pub fn servers(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// Servers that may get requests. Without the look at their health, servers that drain would count as enough to make
    /// trials ten times rarer.
    fn usable(&self) -> impl Iterator<Item = &KnownServer> {
        let believed = self.servers.values().filter(|k| k.trust != Trust::Doubtful);
        believed
            .filter(|k| k.host.health == ListedState::Active || mutant::is(Mutant::DrainingUsable))
    }

    /// A random number below `n`; 0 if `n` is 0.
    fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.rng.next_u64()) * u128::from(n)) >> 64) as u64
    }
}
