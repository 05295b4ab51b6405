//! The state machine: servers with their source, age and trust.

mod check;
mod config;
mod counts;
mod known_server;
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
pub use known_server::{KnownServer, Source, Trust};
pub use trials::{Trial, TrialOutcome};
pub use update::Update;

/// The servers of one fleet that one process knows.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    servers: FxHashMap<String, KnownServer>,
    history: History,
    seq: u64,
    /// The live source of the last list, which has version `seq`. Once it is set, snapshots are ignored.
    live_source: Option<Source>,
    /// The time since which the live source has not answered.
    source_lost_since: Option<UnixMs>,
    /// When `history` was last updated.
    history_updated_ms: Option<UnixMs>,
    /// A suspect list that is held back, its source, and the time at which it takes effect.
    held: Option<(List, Source, UnixMs)>,
    trials_open: usize,
    next_trial_ms: UnixMs,
    totals: Counts,
    rng: Pcg64Mcg,
}

impl Membership {
    /// Creates a membership without servers. `seed` seeds the random delays before trials.
    pub fn new(config: Config, seed: u64) -> Membership {
        Membership {
            config,
            servers: FxHashMap::default(),
            history: History::default(),
            seq: 0,
            live_source: None,
            source_lost_since: None,
            history_updated_ms: None,
            held: None,
            trials_open: 0,
            next_trial_ms: 0,
            totals: Counts::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// When [`Membership::apply_due_list`] or [`Membership::poll_trial`] has to be called next. None: not until another
    /// method has been called.
    pub fn next_due(&self) -> Option<UnixMs> {
        let held_until = self.held.as_ref().map(|held| held.2);
        let may_start = self.trials_open < self.config.trials_at_once;
        let doubtful = self.servers.values().filter(|k| k.awaits_trial());
        let trial = doubtful.map(|k| k.next_trial_ms).min().filter(|_| may_start);
        let trial = trial.map(|at| at.max(self.next_trial_ms));
        held_until.into_iter().chain(trial).min()
    }

    /// All known servers.
    pub fn servers(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// Servers that may get requests. Draining servers are left out: if they counted, enough of them
    /// would make trials ten times rarer.
    fn usable(&self) -> impl Iterator<Item = &KnownServer> {
        let trusted = self.servers.values().filter(|k| k.trust != Trust::Doubtful);
        trusted
            .filter(|k| k.host.health == ListedState::Active || mutant::is(Mutant::DrainingUsable))
    }

    /// Returns a random number below `n`, or 0 if `n` is 0.
    fn random_below(&mut self, n: u64) -> u64 {
        ((u128::from(self.rng.next_u64()) * u128::from(n)) >> 64) as u64
    }
}
