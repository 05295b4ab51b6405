//! Checks of the invariants of a membership.

use millethook_machine::Violation;

use super::{KnownServer, Membership, Source, Trust};
use crate::UnixMs;
use crate::list::ListedState;
use crate::membership::trials::MAX_UNANSWERED_TRIALS;
use crate::snapshot::MAX_SERVERS;

/// Ages in milliseconds at which the survival probability is checked: from a second to a year.
const AGES_MS: [u64; 6] = [1_000, 60_000, 3_600_000, 86_400_000, 2_592_000_000, 31_536_000_000];

impl Membership {
    /// Checks every invariant of the membership. Only tests call it, because it visits each server.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self, now: UnixMs) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        for (name, known) in &self.servers {
            rule(*name == known.host.host, "a server is stored under its own name", &|| {
                format!("{name}: {}", known.host.host)
            })?;
            known.check(now).map_err(|violation| Violation {
                found: format!("{name}: {}", violation.found),
                ..violation
            })?;
        }
        let not_live = self.servers.values().filter(|k| k.trust != Trust::Live).count();
        within(not_live, 2 * MAX_SERVERS, "the number of servers that are not live is bounded")?;
        rule(
            self.usable()
                .all(|k| k.trust != Trust::Doubtful && k.host.health == ListedState::Active),
            "only active servers that are not doubtful are usable",
            &|| format!("{:?}", self.usable().map(|k| &k.host.host).collect::<Vec<_>>()),
        )?;
        within(self.trials_open, self.config.trials_at_once, "open trials are bounded")?;
        let on_trial = self.servers.values().filter(|k| k.on_trial).count();
        within(on_trial, self.trials_open, "a server on trial has an open trial")?;
        if let Some((list, source, until)) = &self.held {
            rule(
                list.whole && source.is_live(),
                "only whole lists of live sources are held",
                &|| format!("{source:?}: version {}", list.seq),
            )?;
            rule(
                *until <= now.saturating_add(self.config.suspect_hold_ms),
                "a suspect list is held for a bounded time",
                &|| format!("until {until}, now {now}"),
            )?;
            rule(
                list.seq == self.seq,
                "a held list has the version that was applied last",
                &|| format!("{} held, {} applied", list.seq, self.seq),
            )?;
        }
        self.check_survival(now)
    }

    /// Checks that survival probabilities are valid and fall with age.
    fn check_survival(&self, now: UnixMs) -> Result<(), Violation> {
        let rule = Violation::unless;
        rule(self.history.is_sound(), "the history of departures is sound", &|| {
            format!("{:?}", self.history)
        })?;
        let survival_at = |age: u64| self.history.survival(now, now.saturating_add(age));
        let survivals = std::iter::once(0).chain(AGES_MS).map(survival_at).collect::<Vec<_>>();
        rule(
            survivals.iter().all(|survival| (0.0..=1.0).contains(survival)),
            "a survival is a probability",
            &|| format!("{survivals:?}"),
        )?;
        rule(
            survivals.is_sorted_by(|younger, older| younger >= older),
            "a survival falls with age",
            &|| format!("{survivals:?}"),
        )
    }
}

impl KnownServer {
    /// Checks the invariants of one server.
    fn check(&self, now: UnixMs) -> Result<(), Violation> {
        let rule = Violation::unless;
        rule(!self.host.is_gone(), "a server that has left is not stored", &|| {
            format!("{:?} by {:?}", self.trust, self.source)
        })?;
        let allowed = match self.trust {
            Trust::Live => self.source != Source::PlatformConfig,
            Trust::Remembered => matches!(self.source, Source::PlatformConfig | Source::Snapshot),
            Trust::Doubtful => self.source == Source::Snapshot,
        };
        rule(allowed, "the source of a server can give it this trust", &|| {
            format!("{:?} by {:?}", self.trust, self.source)
        })?;
        rule(
            self.trust == Trust::Doubtful || self.confirmed_ms <= now,
            "a server that may be used was not confirmed in the future",
            &|| format!("{:?} at {}, now {now}", self.trust, self.confirmed_ms),
        )?;
        let most = usize::try_from(MAX_UNANSWERED_TRIALS).unwrap_or(usize::MAX);
        let trials = usize::try_from(self.trials).unwrap_or(usize::MAX);
        Violation::unless_within(trials, most, "trials of a server are bounded")
    }
}
