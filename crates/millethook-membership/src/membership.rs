//! The servers of a fleet as they are believed to be.

use std::collections::hash_map::Entry;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::list::{Host, List, Listed};
use crate::snapshot::{Remembered, Snapshot};
use crate::{History, UnixMs};

/// A trial that brings no answer is made again after so long, then twice as long, and so on.
const TRIAL_AGAIN_MS: u64 = 2_000;
/// After so many that brought none the server falls out.
const TRIALS_WITHOUT_ANSWER: u32 = 4;
/// With so many servers to send to, the others' trials can wait.
const ENOUGH: usize = 8;
/// Trials are so many times rarer then.
const ENOUGH_RARER: u64 = 10;
/// A fleet of fewer servers may shrink to any size without a doubt.
const GUARDED_FROM: usize = 4;

/// How lists are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// A remembered server is used like any other while the chance that it is still there is at least this.
    pub usable_above: f64,
    /// Below this chance it is not even tried.
    pub dropped_below: f64,
    /// Trials a second of one sidecar.
    pub trials_per_second: f64,
    /// Trials under way at once.
    pub trials_at_once: usize,
    /// The first trials of a list fall at random into this time, so that sidecars that wake together do not
    /// all call at once.
    pub spread_ms: u64,
    /// A whole list with less than this share of the servers believed in is held as suspect. 0: none is.
    pub suspect_share: f64,
    /// For how long it is held, unless its source takes it back.
    pub suspect_hold_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            usable_above: 0.9,
            dropped_below: 0.02,
            trials_per_second: 2.0,
            trials_at_once: 4,
            spread_ms: 2_000,
            suspect_share: 0.1,
            suspect_hold_ms: 30_000,
        }
    }
}

/// Where the word of a server came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// Discovery.
    Discovery,
    /// The list that the platform's configuration carries.
    Known,
    /// The snapshot on disk.
    Snapshot,
    /// The list in the product's configuration file.
    Static,
    /// The application's own code.
    Code,
}

impl Source {
    /// Whether what it says holds now, in place of what was remembered.
    fn is_live(self) -> bool {
        matches!(self, Source::Discovery | Source::Static | Source::Code)
    }
}

/// How far a server is believed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trust {
    /// A live source lists it, or it answered a trial.
    Live,
    /// It was there not long ago, for how fast this fleet changes: it is used.
    Remembered,
    /// It may be gone, and something else may have its address: it gets trials, and no request.
    Doubtful,
}

/// What is known of one server.
#[derive(Clone, Debug)]
pub struct Knowledge {
    /// Its entry.
    pub host: Host,
    /// Who said so.
    pub source: Source,
    /// When it was last confirmed.
    pub confirmed_ms: UnixMs,
    /// How far it is believed in.
    pub trust: Trust,
    trials: u32,
    next_trial_ms: UnixMs,
    on_trial: bool,
}

/// What the decisions are to be told. Empty changes are to be passed over.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// These are all servers; else only these have changed.
    pub whole: bool,
    /// The servers.
    pub hosts: Vec<Host>,
}

impl Update {
    fn changes(hosts: Vec<Host>) -> Update {
        Update { whole: false, hosts }
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        !self.whole && self.hosts.is_empty()
    }
}

/// A server to be tried: whether it is there, and is what it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Trial {
    /// Its entry, whose name goes back with the outcome.
    pub host: Host,
}

/// What a trial came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialOutcome {
    /// It answered as a server of the fleet.
    Answered,
    /// Nobody listens there.
    Refused,
    /// Another program answered.
    Stranger,
    /// Nothing came.
    Silent,
}

/// How many servers are believed in how far, and what has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Servers by [`Trust`].
    pub live: usize,
    /// See [`Trust::Remembered`].
    pub remembered: usize,
    /// See [`Trust::Doubtful`].
    pub doubtful: usize,
    /// A list is held as suspect now.
    pub held: bool,
    /// Lists that were held as suspect.
    pub suspect_lists: u64,
    /// Trials made.
    pub trials: u64,
    /// Trials that were answered by a server of the fleet.
    pub confirmed: u64,
    /// Remembered servers that fell out: refused, strangers, silent, too old.
    pub dropped: u64,
}

/// The servers of one fleet, as one sidecar believes them to be.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    servers: FxHashMap<String, Knowledge>,
    history: History,
    seq: u64,
    /// A live source has spoken; what is remembered no longer counts.
    live: bool,
    /// Since when the live source has been silent.
    lost_since: Option<UnixMs>,
    observed_ms: Option<UnixMs>,
    held: Option<(List, Source, UnixMs)>,
    trials_open: usize,
    next_trial_ms: UnixMs,
    totals: Counts,
    rng: Pcg64Mcg,
}

impl Membership {
    /// None known yet. `seed` spreads the trials.
    pub fn new(config: Config, seed: u64) -> Membership {
        Membership {
            config,
            servers: FxHashMap::default(),
            history: History::default(),
            seq: 0,
            live: false,
            lost_since: None,
            observed_ms: None,
            held: None,
            trials_open: 0,
            next_trial_ms: 0,
            totals: Counts::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Takes what was remembered on disk, each server as its age lets it. Where a live source has spoken it
    /// changes nothing; of a server known already, the later word holds.
    pub fn remember(&mut self, now: UnixMs, snapshot: Snapshot) -> Update {
        if self.live {
            return Update::changes(Vec::new());
        }
        self.history = snapshot.history;
        self.seq = self.seq.max(snapshot.seq);
        let mut usable = Vec::new();
        for Remembered { confirmed_ms, host } in snapshot.servers {
            if host.health != Listed::Active || host.dial.is_none() {
                continue;
            }
            let known = self.servers.get(&host.host);
            if known.is_some_and(|known| known.confirmed_ms >= confirmed_ms) {
                continue;
            }
            // A server that was confirmed after the file was written cannot be.
            let survival = match confirmed_ms <= snapshot.written_ms {
                true => self.history.survival(confirmed_ms, now),
                false => 0.0,
            };
            // Where the clock was set back nothing tells the age; a trial does.
            let back = now < confirmed_ms;
            let trust = if survival >= self.config.usable_above {
                usable.push(host.clone());
                Trust::Remembered
            } else if survival >= self.config.dropped_below || back {
                Trust::Doubtful
            } else {
                self.totals.dropped += 1;
                continue;
            };
            let next_trial_ms = now + self.below(self.config.spread_ms);
            let knowledge = Knowledge {
                confirmed_ms,
                trust,
                next_trial_ms,
                ..Knowledge::new(host, Source::Snapshot, now)
            };
            self.servers.insert(knowledge.host.host.clone(), knowledge);
        }
        Update::changes(usable)
    }

    /// Takes a list, or what changed in one, and tells what follows for the decisions.
    pub fn take(&mut self, now: UnixMs, source: Source, list: &List) -> Update {
        if !source.is_live() {
            return self.take_known(now, list);
        }
        self.lost_since = None;
        self.seq = list.seq;
        if !list.whole {
            return self.apply(now, source, list, false);
        }
        if self.is_suspect(list) && self.held.as_ref().is_none_or(|held| now < held.2) {
            // Danger: an empty registry would wipe a good list. What it says in so many words (leaving, left)
            // holds at once; only what it does not say is doubted.
            let until = match &self.held {
                Some((.., until)) => *until,
                None => {
                    self.totals.suspect_lists += 1;
                    now + self.config.suspect_hold_ms
                }
            };
            self.held = Some((list.clone(), source, until));
            return self.apply(now, source, list, false);
        }
        self.held = None;
        self.apply(now, source, list, true)
    }

    /// The source of live lists does not answer; what it said ages from now on.
    pub fn source_lost(&mut self, now: UnixMs) {
        self.lost_since.get_or_insert(now);
    }

    /// What follows from the passing of time: a suspect list that was not taken back holds.
    pub fn on_time(&mut self, now: UnixMs) -> Option<Update> {
        let (.., until) = self.held.as_ref()?;
        if now < *until {
            return None;
        }
        let (list, source, _) = self.held.take()?;
        Some(self.apply(now, source, &list, true))
    }

    /// When [`Membership::on_time`] or [`Membership::poll_trial`] has something to do next.
    pub fn next_due(&self) -> Option<UnixMs> {
        let held = self.held.as_ref().map(|held| held.2);
        let room = self.trials_open < self.config.trials_at_once;
        let doubtful = self.servers.values().filter(|k| k.awaits_trial());
        let trial = doubtful.map(|k| k.next_trial_ms).min().filter(|_| room);
        let trial = trial.map(|at| at.max(self.next_trial_ms));
        held.into_iter().chain(trial).min()
    }

    /// The next server to be tried, if one is due. The outcome is owed to [`Membership::trial_ended`].
    pub fn poll_trial(&mut self, now: UnixMs) -> Option<Trial> {
        if self.trials_open >= self.config.trials_at_once || now < self.next_trial_ms {
            return None;
        }
        let due = self.servers.values_mut().filter(|k| k.awaits_trial() && k.next_trial_ms <= now);
        // The name decides between two that are due together: the same at every run.
        let next = due.min_by(|a, b| {
            let key = |k: &Knowledge| (k.next_trial_ms, k.host.id().0);
            key(a).cmp(&key(b))
        })?;
        next.on_trial = true;
        next.trials += 1;
        let host = next.host.clone();
        let gap = (1000.0 / self.config.trials_per_second.max(1e-3)) as u64;
        let enough = self.usable().count() >= ENOUGH;
        self.next_trial_ms = now + gap * if enough { ENOUGH_RARER } else { 1 };
        self.trials_open += 1;
        self.totals.trials += 1;
        Some(Trial { host })
    }

    /// Takes the outcome of a trial.
    pub fn trial_ended(&mut self, now: UnixMs, host: &str, outcome: TrialOutcome) -> Update {
        self.trials_open = self.trials_open.saturating_sub(1);
        let Some(known) = self.servers.get_mut(host).filter(|k| k.on_trial) else {
            // A live list has settled it meanwhile.
            return Update::changes(Vec::new());
        };
        known.on_trial = false;
        if known.trust != Trust::Doubtful {
            return Update::changes(Vec::new());
        }
        match outcome {
            TrialOutcome::Answered => {
                (known.trust, known.confirmed_ms) = (Trust::Live, now);
                let host = known.host.clone();
                self.totals.confirmed += 1;
                return Update::changes(vec![host]);
            }
            TrialOutcome::Silent if known.trials < TRIALS_WITHOUT_ANSWER => {
                known.next_trial_ms = now + (TRIAL_AGAIN_MS << known.trials.min(8));
            }
            TrialOutcome::Silent | TrialOutcome::Refused | TrialOutcome::Stranger => {
                self.servers.remove(host);
                self.totals.dropped += 1;
            }
        }
        Update::changes(Vec::new())
    }

    /// What is to be kept on disk: the servers that are believed in.
    pub fn snapshot(&self, fleet: &str, now: UnixMs) -> Snapshot {
        let live_ms = self.lost_since.unwrap_or(now).min(now);
        let kept = self.servers.values().filter(|k| k.host.health == Listed::Active);
        let mut servers: Vec<Remembered> = kept
            .map(|k| {
                let live = k.trust == Trust::Live && k.source.is_live();
                let confirmed_ms = if live { live_ms } else { k.confirmed_ms };
                Remembered { confirmed_ms, host: k.host.clone() }
            })
            .collect();
        servers.sort_unstable_by(|a, b| a.host.host.cmp(&b.host.host));
        let (fleet, seq, history) = (fleet.to_owned(), self.seq, self.history);
        Snapshot { fleet, written_ms: now, seq, history, servers }
    }

    /// What is known of each server.
    pub fn servers(&self) -> impl Iterator<Item = &Knowledge> {
        self.servers.values()
    }

    /// How many servers are believed in how far, and what has happened so far.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts { held: self.held.is_some(), ..self.totals };
        for known in self.servers.values() {
            match known.trust {
                Trust::Live => counts.live += 1,
                Trust::Remembered => counts.remembered += 1,
                Trust::Doubtful => counts.doubtful += 1,
            }
        }
        counts
    }

    fn usable(&self) -> impl Iterator<Item = &Knowledge> {
        self.servers.values().filter(|k| k.trust != Trust::Doubtful)
    }

    /// The platform says itself that its list may be old, and has no time for it. It is used as it is until a
    /// live source speaks.
    fn take_known(&mut self, now: UnixMs, list: &List) -> Update {
        if self.live {
            return Update::changes(Vec::new());
        }
        self.seq = self.seq.max(list.seq);
        for host in &list.hosts {
            let known = Knowledge {
                trust: Trust::Remembered,
                ..Knowledge::new(host.clone(), Source::Known, now)
            };
            self.servers.insert(host.host.clone(), known);
        }
        Update { whole: list.whole, hosts: list.hosts.clone() }
    }

    /// Whether a whole list lacks too many of the servers that are believed in.
    fn is_suspect(&self, list: &List) -> bool {
        let believed = self.usable().filter(|k| k.host.health == Listed::Active).count();
        let listed = list.hosts.iter().filter(|host| host.health == Listed::Active).count();
        believed >= GUARDED_FROM && (listed as f64) < self.config.suspect_share * believed as f64
    }

    fn apply(&mut self, now: UnixMs, source: Source, list: &List, whole: bool) -> Update {
        self.live = true;
        // What was remembered has aged since it was confirmed; what was live, since the last list.
        let ages = self.servers.values().map(|k| now.saturating_sub(k.confirmed_ms));
        let remembered = ages.sum::<u64>() / (self.servers.len().max(1) as u64);
        let present = self.servers.len();
        let mut departed = 0;
        for host in &list.hosts {
            if host.is_gone() {
                departed += usize::from(self.servers.remove(&host.host).is_some());
                continue;
            }
            let fresh = Knowledge::new(host.clone(), source, now);
            match self.servers.entry(host.host.clone()) {
                Entry::Occupied(mut known) => {
                    // A restart under the same name is a departure, too.
                    departed += usize::from(known.get().host.born_ms < host.born_ms);
                    known.insert(fresh);
                }
                Entry::Vacant(vacant) => {
                    vacant.insert(fresh);
                }
            }
        }
        if whole {
            let listed: FxHashSet<&str> = list.hosts.iter().map(|h| h.host.as_str()).collect();
            let before = self.servers.len();
            self.servers.retain(|name, _| listed.contains(name.as_str()));
            departed += before - self.servers.len();
        }
        let since = self.observed_ms.replace(now);
        let elapsed = since.map_or(remembered, |since| now.saturating_sub(since));
        self.history.observe(elapsed, present, departed);
        Update { whole, hosts: list.hosts.clone() }
    }

    /// A random number below `n`, or 0.
    fn below(&mut self, n: u64) -> u64 {
        ((u128::from(self.rng.next_u64()) * u128::from(n)) >> 64) as u64
    }
}

impl Knowledge {
    fn new(host: Host, source: Source, now: UnixMs) -> Knowledge {
        Knowledge {
            host,
            source,
            confirmed_ms: now,
            trust: Trust::Live,
            trials: 0,
            next_trial_ms: now,
            on_trial: false,
        }
    }

    fn awaits_trial(&self) -> bool {
        self.trust == Trust::Doubtful && !self.on_trial
    }
}
