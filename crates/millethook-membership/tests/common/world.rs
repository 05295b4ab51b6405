//! A membership, its sources, and the balancer that is told what changes.

use std::collections::{BTreeMap, BTreeSet};

use millethook_membership::list::{Host, List, ListedState};
use millethook_membership::snapshot::{Remembered, Snapshot};
use millethook_membership::{
    Config, History, Membership, Source, Trial, TrialOutcome, Trust, UnixMs, Update,
};

use super::script::{Entry, OldList, Start, Step};

/// The time at which a process starts.
const START_MS: UnixMs = 2_000_000_000_000;
const HOUR_MS: u64 = 3_600_000;
/// The version of the first list.
const FIRST_SEQ: u64 = 1_000;
/// With fewer usable servers than this no list is suspect.
const GUARDED_FROM: usize = 4;
/// The most trials that a server gets that does not answer.
const TRIALS_WITHOUT_ANSWER: usize = 4;

struct World {
    membership: Membership,
    config: Config,
    now: UnixMs,
    /// The version that was sent last.
    seq: u64,
    /// A live list has come.
    live: bool,
    /// What the balancer was told.
    told: BTreeMap<String, ListedState>,
    /// What it should know.
    expected: BTreeMap<String, ListedState>,
    /// Servers of a list that is suspect, with the changes since, and until when it waits.
    held: Option<(BTreeSet<String>, UnixMs)>,
    trials: Vec<Trial>,
    last_trial_ms: Option<UnixMs>,
    /// Trials without an answer, by server.
    silent: BTreeMap<String, usize>,
}

/// Plays a script.
///
/// # Errors
/// The rule that was broken, and by what.
pub fn play((start, script): &(Start, Vec<Step>)) -> Result<(), String> {
    let config = Config::default();
    let mut world = World {
        membership: Membership::new(config, 1),
        config,
        now: START_MS,
        seq: FIRST_SEQ,
        live: false,
        told: BTreeMap::new(),
        expected: BTreeMap::new(),
        held: None,
        trials: Vec::new(),
        last_trial_ms: None,
        silent: BTreeMap::new(),
    };
    world.start(start).map_err(|wrong| format!("at the start: {wrong}"))?;
    for (n, step) in script.iter().enumerate() {
        let wrong = |wrong: String| format!("step {n}, {step:?}: {wrong}");
        world.step(step).map_err(wrong)?;
        world.check().map_err(wrong)?;
    }
    Ok(())
}

/// An error unless this holds.
fn rule(holds: bool, rule: &str, found: &dyn Fn() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(format!("{rule}: {}", found())) }
}

fn name(n: usize) -> String {
    format!("s-{n}")
}

fn host((n, health, born_ms): &Entry) -> Host {
    Host {
        host: name(*n),
        dial: Some(([127, 0, 0, 1], 1000 + *n as u16).into()),
        site: "a".into(),
        class: String::new(),
        block: 0,
        health: *health,
        share: 1.0,
        born_ms: *born_ms,
    }
}

fn list(seq: u64, whole: bool, hosts: &[Entry]) -> List {
    List { seq, whole, hosts: hosts.iter().map(host).collect() }
}

/// Sets what entries say of their servers, one after another.
fn overlay(list: &mut BTreeMap<String, ListedState>, hosts: &[Host]) {
    for host in hosts {
        match host.health {
            ListedState::Left => list.remove(&host.host),
            health => list.insert(host.host.clone(), health),
        };
    }
}

impl World {
    fn start(&mut self, start: &Start) -> Result<(), String> {
        if let Some(hosts) = &start.known {
            self.known(hosts);
        }
        if let Some(old) = &start.snapshot {
            self.snapshot(old)?;
        }
        self.check()
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::Whole { seq, hosts } => {
                self.seq = self.seq.saturating_add_signed(i64::from(*seq));
                self.whole(&list(self.seq, true, hosts));
            }
            Step::Repeated => self.repeated(),
            Step::Changes { seq, hosts } => self.changes(*seq, hosts),
            Step::Snapshot(old) => return self.snapshot(old),
            Step::Known(hosts) if self.live => self.known(hosts),
            Step::Known(_) => {}
            Step::Lost => self.membership.source_lost(self.now),
            Step::Due => return self.due(),
            Step::NextDue => {
                self.now = self.now.max(self.membership.next_due().unwrap_or(self.now));
                return self.due();
            }
            Step::Silence(times) => {
                for _ in 0..*times {
                    self.now = self.now.max(self.membership.next_due().unwrap_or(self.now));
                    self.due()?;
                    self.trial_ends(0, TrialOutcome::NoAnswer)?;
                }
            }
            Step::ContentLost(times, gap) => {
                for n in 0..*times {
                    self.seq += 1;
                    self.whole(&list(self.seq, true, &[]));
                    self.now += u64::from(*gap) * u64::from(n + 1 < *times);
                    self.due()?;
                }
            }
            Step::TrialEnds(n, outcome) => return self.trial_ends(*n, *outcome),
            Step::Pass(ms) => self.now += u64::from(*ms),
            Step::Jump(minutes) => self.now += u64::from(*minutes) * 60_000,
        }
        Ok(())
    }

    /// The balancer is told of a change.
    fn tell(&mut self, update: &Update) {
        if update.whole {
            self.told.clear();
        }
        overlay(&mut self.told, &update.hosts);
    }

    fn known(&mut self, hosts: &[Entry]) {
        let list = list(1, true, hosts);
        let update = self.membership.apply_list(self.now, Source::PlatformConfig, &list);
        self.tell(&update);
        if !self.live {
            overlay(&mut self.expected, &list.hosts);
        }
    }

    /// What a snapshot may do: nothing once a live list has come, and before that only servers that were confirmed
    /// before it was written are used without a trial.
    fn snapshot(&mut self, old: &OldList) -> Result<(), String> {
        let at = |age_s: i64| START_MS.saturating_add_signed(-age_s * 1_000);
        let mut history = History::default();
        history.observe(HOUR_MS, 20, old.departed);
        let remembered = |(n, age_s): &(usize, i64)| Remembered {
            confirmed_ms: at(*age_s),
            host: host(&(*n, ListedState::Active, 0)),
        };
        let snapshot = Snapshot {
            fleet: "f".into(),
            written_ms: at(old.written_s),
            seq: 7,
            history,
            servers: old.servers.iter().map(remembered).collect(),
        };
        let known: BTreeSet<String> =
            self.membership.servers().map(|known| known.host.host.clone()).collect();
        let update = self.membership.load_snapshot(self.now, snapshot);
        rule(!self.live || update.is_empty(), "a snapshot after a live list is not used", &|| {
            format!("{update:?}")
        })?;
        self.tell(&update);
        overlay(&mut self.expected, &update.hosts);
        for (n, age_s) in old.servers.iter().filter(|_| !self.live) {
            let confirmed = at(*age_s);
            let trust =
                self.membership.servers().find(|k| k.host.host == name(*n)).map(|k| k.trust);
            let in_doubt = confirmed > at(old.written_s) || confirmed > self.now;
            let twice = old.servers.iter().filter(|(other, _)| other == n).count() > 1;
            if !in_doubt || twice || known.contains(&name(*n)) {
                continue;
            }
            rule(
                trust == Some(Trust::Doubtful),
                "a server whose age is not known is tried, not used and not dropped",
                &|| format!("{}: {trust:?}", name(*n)),
            )?;
        }
        Ok(())
    }

    /// Usable servers, as they are believed in now.
    fn usable(&self) -> usize {
        self.expected.values().filter(|health| **health == ListedState::Active).count()
    }

    fn whole(&mut self, list: &List) {
        let active = list.hosts.iter().filter(|host| host.health == ListedState::Active).count();
        let usable = self.usable();
        let few = (active as f64) < self.config.suspect_share * usable as f64;
        let waits = self.held.as_ref().is_none_or(|(_, until)| self.now < *until);
        let update = self.membership.apply_list(self.now, Source::Discovery, list);
        self.tell(&update);
        self.live = true;
        let mut listed = BTreeMap::new();
        overlay(&mut listed, &list.hosts);
        if usable >= GUARDED_FROM && few && waits {
            let until = match &self.held {
                Some((_, until)) => *until,
                None => self.now + self.config.suspect_hold_ms,
            };
            self.held = Some((listed.keys().cloned().collect(), until));
            overlay(&mut self.expected, &list.hosts);
        } else {
            self.held = None;
            self.expected = listed;
        }
    }

    fn repeated(&mut self) {
        let hosts = self.expected.iter().map(|(name, health)| Host {
            host: name.clone(),
            health: *health,
            ..host(&(0, ListedState::Active, 0))
        });
        let list = List { seq: self.seq, whole: true, hosts: hosts.collect() };
        self.whole(&list);
    }

    fn changes(&mut self, seq: i8, hosts: &[Entry]) {
        let list = list(self.seq.saturating_add_signed(i64::from(seq)), false, hosts);
        let update = self.membership.apply_list(self.now, Source::Discovery, &list);
        self.tell(&update);
        if self.live && list.seq < self.seq {
            return;
        }
        (self.live, self.seq) = (true, list.seq);
        overlay(&mut self.expected, &list.hosts);
        let Some((listed, _)) = &mut self.held else { return };
        for host in &list.hosts {
            match host.health {
                ListedState::Left => listed.remove(&host.host),
                _ => listed.insert(host.host.clone()),
            };
        }
    }

    /// Does what the keeper of a membership does when something is due.
    fn due(&mut self) -> Result<(), String> {
        let waited = self.held.as_ref().is_some_and(|(_, until)| *until <= self.now);
        let update = self.membership.apply_due_list(self.now);
        rule(update.is_some() == waited, "a suspect list takes effect in time", &|| {
            format!("{:?}, now {}", self.held, self.now)
        })?;
        if let Some(update) = update {
            self.tell(&update);
            if let Some((listed, _)) = self.held.take() {
                self.expected.retain(|name, _| listed.contains(name));
            }
        }
        let Some(trial) = self.membership.poll_trial(self.now) else {
            let due = self.membership.next_due();
            return rule(
                due.is_none_or(|due| due > self.now),
                "nothing is due once it was done",
                &|| format!("{due:?}, now {}", self.now),
            );
        };
        let name = trial.host.host.clone();
        rule(
            self.trials.iter().all(|out| out.host.host != name),
            "a server has one trial at a time",
            &|| name.clone(),
        )?;
        self.trials.push(trial);
        rule(
            self.trials.len() <= self.config.trials_at_once,
            "trials at the same time are bounded",
            &|| self.trials.len().to_string(),
        )?;
        let gap = (1_000.0 / self.config.trials_per_second) as u64;
        let last = self.last_trial_ms.replace(self.now);
        rule(last.is_none_or(|last| self.now - last >= gap), "trials are paced", &|| {
            format!("{last:?}, now {}", self.now)
        })?;
        rule(!self.expected.contains_key(&name), "what is used is not tried", &|| name.clone())
    }

    fn trial_ends(&mut self, n: u8, outcome: TrialOutcome) -> Result<(), String> {
        if self.trials.is_empty() {
            return Ok(());
        }
        let trial = self.trials.swap_remove(usize::from(n) % self.trials.len());
        let name = &trial.host.host;
        let trust_of = |membership: &Membership| {
            membership.servers().find(|known| known.host.host == *name).map(|known| known.trust)
        };
        let before = trust_of(&self.membership);
        let update = self.membership.trial_ended(self.now, name, outcome);
        self.tell(&update);
        let after = trust_of(&self.membership);
        let silent = self.silent.entry(name.clone()).or_default();
        *silent += usize::from(outcome == TrialOutcome::NoAnswer);
        let kept = outcome == TrialOutcome::NoAnswer && *silent < TRIALS_WITHOUT_ANSWER;
        let expected = match (before, outcome) {
            (Some(Trust::Doubtful), TrialOutcome::Answered) => Some(Trust::Live),
            (Some(Trust::Doubtful), _) if kept => Some(Trust::Doubtful),
            (Some(Trust::Doubtful), _) => None,
            (other, _) => other,
        };
        if before == Some(Trust::Doubtful) && !kept {
            *silent = 0;
        }
        if expected == Some(Trust::Live) && before == Some(Trust::Doubtful) {
            self.expected.insert(name.clone(), ListedState::Active);
        }
        rule(after == expected, "a trial changes what it has shown", &|| {
            format!("{name}: {before:?}, {outcome:?}, {after:?}")
        })
    }

    /// What holds after each step.
    fn check(&self) -> Result<(), String> {
        self.membership.check(self.now).map_err(|violation| violation.to_string())?;
        rule(self.told == self.expected, "the balancer knows what the lists say", &|| {
            format!("{:?}, expected {:?}", self.told, self.expected)
        })?;
        let believed = self.membership.servers().filter(|known| known.trust != Trust::Doubtful);
        let believed: BTreeMap<String, ListedState> =
            believed.map(|known| (known.host.host.clone(), known.host.health)).collect();
        rule(believed == self.told, "what is believed in is what the balancer was told", &|| {
            format!("{believed:?}, told {:?}", self.told)
        })?;
        let snapshot = self.membership.snapshot("f", self.now);
        let active = |kept: &Remembered| kept.host.health == ListedState::Active;
        rule(snapshot.servers.iter().all(active), "only active servers are kept", &|| {
            format!("{:?}", snapshot.servers)
        })
    }
}
