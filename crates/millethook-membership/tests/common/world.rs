//! Runs scripts on a membership and compares the updates for the balancer with a reference model.

use std::collections::{BTreeMap, BTreeSet};

use millethook_membership::list::{Host, List, ListedState};
use millethook_membership::snapshot::{Remembered, Snapshot};
use millethook_membership::{
    Config, History, Membership, Source, Trial, TrialOutcome, Trust, UnixMs, Update,
};

use super::script::{Entry, OldSnapshot, Start, Step};

/// The time at which a process starts.
const START_MS: UnixMs = 2_000_000_000_000;
const HOUR_MS: u64 = 3_600_000;
/// The version of the first list.
const FIRST_SEQ: u64 = 1_000;
/// Lists are never suspect while fewer servers than this are usable.
const MIN_USABLE_FOR_SUSPICION: usize = 4;
/// The maximum number of trials of a server that does not answer.
const MAX_UNANSWERED_TRIALS: usize = 4;

struct World {
    membership: Membership,
    config: Config,
    now: UnixMs,
    /// The version that was sent last.
    seq: u64,
    /// Whether a live list has arrived.
    live: bool,
    /// The list that the balancer has, from the updates.
    balancer_list: BTreeMap<String, ListedState>,
    /// The list that the balancer should have.
    expected: BTreeMap<String, ListedState>,
    /// Servers of the held suspect list, with the changes since, and the time until which it is held.
    held: Option<(BTreeSet<String>, UnixMs)>,
    trials: Vec<Trial>,
    last_trial_ms: Option<UnixMs>,
    /// Unanswered trials, by server.
    unanswered: BTreeMap<String, usize>,
}

/// Runs a script.
///
/// # Errors
/// The rule that was violated, with the values.
pub fn run_script((start, script): &(Start, Vec<Step>)) -> Result<(), String> {
    let config = Config::default();
    let mut world = World {
        membership: Membership::new(config, 1),
        config,
        now: START_MS,
        seq: FIRST_SEQ,
        live: false,
        balancer_list: BTreeMap::new(),
        expected: BTreeMap::new(),
        held: None,
        trials: Vec::new(),
        last_trial_ms: None,
        unanswered: BTreeMap::new(),
    };
    world.start(start).map_err(|violation| format!("at the start: {violation}"))?;
    for (n, step) in script.iter().enumerate() {
        let at_step = |violation: String| format!("step {n}, {step:?}: {violation}");
        world.step(step).map_err(at_step)?;
        world.check().map_err(at_step)?;
    }
    Ok(())
}

/// Returns an error unless `holds`.
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

/// Applies entries to a list, in order.
fn apply_entries(list: &mut BTreeMap<String, ListedState>, hosts: &[Host]) {
    for host in hosts {
        match host.health {
            ListedState::Left => list.remove(&host.host),
            health => list.insert(host.host.clone(), health),
        };
    }
}

impl World {
    fn start(&mut self, start: &Start) -> Result<(), String> {
        if let Some(hosts) = &start.platform_list {
            self.apply_platform_list(hosts);
        }
        if let Some(old) = &start.snapshot {
            self.load_snapshot(old)?;
        }
        self.check()
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match step {
            Step::FullList { seq, hosts } => {
                self.seq = self.seq.saturating_add_signed(i64::from(*seq));
                self.apply_full_list(&list(self.seq, true, hosts));
            }
            Step::RepeatedList => self.repeat_list(),
            Step::Changes { seq, hosts } => self.apply_changes(*seq, hosts),
            Step::Snapshot(old) => return self.load_snapshot(old),
            Step::PlatformList(hosts) if self.live => self.apply_platform_list(hosts),
            Step::PlatformList(_) => {}
            Step::SourceLost => self.membership.source_lost(self.now),
            Step::Due => return self.run_due_actions(),
            Step::NextDue => {
                self.now = self.now.max(self.membership.next_due().unwrap_or(self.now));
                return self.run_due_actions();
            }
            Step::TrialsUnanswered(times) => {
                for _ in 0..*times {
                    self.now = self.now.max(self.membership.next_due().unwrap_or(self.now));
                    self.run_due_actions()?;
                    self.end_trial(0, TrialOutcome::Silent)?;
                }
            }
            Step::ContentLost(times, gap) => {
                for n in 0..*times {
                    self.seq += 1;
                    self.apply_full_list(&list(self.seq, true, &[]));
                    self.now += u64::from(*gap) * u64::from(n + 1 < *times);
                    self.run_due_actions()?;
                }
            }
            Step::TrialEnds(n, outcome) => return self.end_trial(*n, *outcome),
            Step::Pass(ms) => self.now += u64::from(*ms),
            Step::Jump(minutes) => self.now += u64::from(*minutes) * 60_000,
        }
        Ok(())
    }

    /// Tells the balancer of a change.
    fn notify_balancer(&mut self, update: &Update) {
        if update.whole {
            self.balancer_list.clear();
        }
        apply_entries(&mut self.balancer_list, &update.hosts);
    }

    fn apply_platform_list(&mut self, hosts: &[Entry]) {
        let list = list(1, true, hosts);
        let update = self.membership.apply_list(self.now, Source::PlatformConfig, &list);
        self.notify_balancer(&update);
        if !self.live {
            apply_entries(&mut self.expected, &list.hosts);
        }
    }

    /// Loads a snapshot. After a live list it must change nothing. Before that, servers whose confirmation is later than
    /// the write or than now must not be used without a trial.
    fn load_snapshot(&mut self, old: &OldSnapshot) -> Result<(), String> {
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
        self.notify_balancer(&update);
        apply_entries(&mut self.expected, &update.hosts);
        for (n, age_s) in old.servers.iter().filter(|_| !self.live) {
            let confirmed = at(*age_s);
            let trust =
                self.membership.servers().find(|k| k.host.host == name(*n)).map(|k| k.trust);
            let age_unknown = confirmed > at(old.written_s) || confirmed > self.now;
            let twice = old.servers.iter().filter(|(other, _)| other == n).count() > 1;
            if !age_unknown || twice || known.contains(&name(*n)) {
                continue;
            }
            rule(
                trust == Some(Trust::Doubtful),
                "a server whose age is unknown is neither used nor dropped without a trial",
                &|| format!("{}: {trust:?}", name(*n)),
            )?;
        }
        Ok(())
    }

    /// The number of usable servers in the expected list.
    fn usable(&self) -> usize {
        self.expected.values().filter(|health| **health == ListedState::Active).count()
    }

    fn apply_full_list(&mut self, list: &List) {
        let active = list.hosts.iter().filter(|host| host.health == ListedState::Active).count();
        let usable = self.usable();
        let few = (active as f64) < self.config.suspect_share * usable as f64;
        let waits = self.held.as_ref().is_none_or(|(_, until)| self.now < *until);
        let update = self.membership.apply_list(self.now, Source::Discovery, list);
        self.notify_balancer(&update);
        self.live = true;
        let mut listed = BTreeMap::new();
        apply_entries(&mut listed, &list.hosts);
        if usable >= MIN_USABLE_FOR_SUSPICION && few && waits {
            let until = match &self.held {
                Some((_, until)) => *until,
                None => self.now + self.config.suspect_hold_ms,
            };
            self.held = Some((listed.keys().cloned().collect(), until));
            apply_entries(&mut self.expected, &list.hosts);
        } else {
            self.held = None;
            self.expected = listed;
        }
    }

    fn repeat_list(&mut self) {
        let hosts = self.expected.iter().map(|(name, health)| Host {
            host: name.clone(),
            health: *health,
            ..host(&(0, ListedState::Active, 0))
        });
        let list = List { seq: self.seq, whole: true, hosts: hosts.collect() };
        self.apply_full_list(&list);
    }

    fn apply_changes(&mut self, seq: i8, hosts: &[Entry]) {
        let list = list(self.seq.saturating_add_signed(i64::from(seq)), false, hosts);
        let update = self.membership.apply_list(self.now, Source::Discovery, &list);
        self.notify_balancer(&update);
        if self.live && list.seq < self.seq {
            return;
        }
        (self.live, self.seq) = (true, list.seq);
        apply_entries(&mut self.expected, &list.hosts);
        let Some((listed, _)) = &mut self.held else { return };
        for host in &list.hosts {
            match host.health {
                ListedState::Left => listed.remove(&host.host),
                _ => listed.insert(host.host.clone()),
            };
        }
    }

    /// Carries out due actions, as the owner of a membership does.
    fn run_due_actions(&mut self) -> Result<(), String> {
        let held_is_due = self.held.as_ref().is_some_and(|(_, until)| *until <= self.now);
        let update = self.membership.apply_due_list(self.now);
        rule(
            update.is_some() == held_is_due,
            "a suspect list takes effect when it is due",
            &|| format!("{:?}, now {}", self.held, self.now),
        )?;
        if let Some(update) = update {
            self.notify_balancer(&update);
            if let Some((listed, _)) = self.held.take() {
                self.expected.retain(|name, _| listed.contains(name));
            }
        }
        let Some(trial) = self.membership.poll_trial(self.now) else {
            let due = self.membership.next_due();
            return rule(
                due.is_none_or(|due| due > self.now),
                "nothing is due after it was carried out",
                &|| format!("{due:?}, now {}", self.now),
            );
        };
        let name = trial.host.host.clone();
        rule(
            self.trials.iter().all(|open| open.host.host != name),
            "a server has one trial at a time",
            &|| name.clone(),
        )?;
        self.trials.push(trial);
        rule(
            self.trials.len() <= self.config.trials_at_once,
            "trials at the same time are bounded",
            &|| self.trials.len().to_string(),
        )?;
        let interval_ms = (1_000.0 / self.config.trials_per_second) as u64;
        let last = self.last_trial_ms.replace(self.now);
        rule(last.is_none_or(|last| self.now - last >= interval_ms), "trials are paced", &|| {
            format!("{last:?}, now {}", self.now)
        })?;
        rule(!self.expected.contains_key(&name), "a server in use is not tried", &|| name.clone())
    }

    fn end_trial(&mut self, n: u8, outcome: TrialOutcome) -> Result<(), String> {
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
        self.notify_balancer(&update);
        let after = trust_of(&self.membership);
        let unanswered = self.unanswered.entry(name.clone()).or_default();
        *unanswered += usize::from(outcome == TrialOutcome::Silent);
        let kept = outcome == TrialOutcome::Silent && *unanswered < MAX_UNANSWERED_TRIALS;
        let expected = match (before, outcome) {
            (Some(Trust::Doubtful), TrialOutcome::Answered) => Some(Trust::Live),
            (Some(Trust::Doubtful), _) if kept => Some(Trust::Doubtful),
            (Some(Trust::Doubtful), _) => None,
            (other, _) => other,
        };
        if before == Some(Trust::Doubtful) && !kept {
            *unanswered = 0;
        }
        if expected == Some(Trust::Live) && before == Some(Trust::Doubtful) {
            self.expected.insert(name.clone(), ListedState::Active);
        }
        rule(after == expected, "the trust after a trial follows from its outcome", &|| {
            format!("{name}: {before:?}, {outcome:?}, {after:?}")
        })
    }

    /// Checks what must hold after each step.
    fn check(&self) -> Result<(), String> {
        self.membership.check(self.now).map_err(|violation| violation.to_string())?;
        rule(self.balancer_list == self.expected, "the balancer has the expected list", &|| {
            format!("{:?}, expected {:?}", self.balancer_list, self.expected)
        })?;
        let trusted = self.membership.servers().filter(|known| known.trust != Trust::Doubtful);
        let trusted: BTreeMap<String, ListedState> =
            trusted.map(|known| (known.host.host.clone(), known.host.health)).collect();
        rule(
            trusted == self.balancer_list,
            "the balancer was told of all trusted servers",
            &|| format!("{trusted:?}, balancer has {:?}", self.balancer_list),
        )?;
        let snapshot = self.membership.snapshot("f", self.now);
        let active = |kept: &Remembered| kept.host.health == ListedState::Active;
        rule(snapshot.servers.iter().all(active), "a snapshot holds only active servers", &|| {
            format!("{:?}", snapshot.servers)
        })
    }
}
