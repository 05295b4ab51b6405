//! Invariants of a pool.

use std::hash::Hash;
use std::time::Instant;

use millethook_machine::Violation;

use super::server::Server;
use super::{FORGET_AFTER_WINDOWS, Limits, Pool};

impl<K: Copy + Eq + Hash + std::fmt::Debug, C> Pool<K, C> {
    /// Checks every invariant of the pool. Nothing in the running product calls it: it looks at each connection.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self, now: Instant) -> Result<(), Violation> {
        let resting: usize = self.servers.values().map(|server| server.resting.len()).sum();
        Violation::unless(
            self.resting == resting,
            "each connection at rest is counted once",
            &|| format!("{} counted, {resting} at rest", self.resting),
        )?;
        for (key, server) in &self.servers {
            server.check(&self.limits, now).map_err(|violation| Violation {
                found: format!("{key:?}: {}", violation.found),
                ..violation
            })?;
        }
        Ok(())
    }
}

impl<C> Server<C> {
    /// Checks what holds of the connections to one server.
    fn check(&self, limits: &Limits, now: Instant) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        within(self.all(), limits.per_server, "connections to a server are bounded")?;
        within(self.opening, limits.opening, "handshakes with a server are bounded")?;
        let counts = &|| {
            let resting = self.resting.len();
            format!("{} opening, {} in use, {resting} at rest", self.opening, self.in_use)
        };
        rule(
            !self.gone || self.resting.is_empty(),
            "no connection rests whose server has left",
            counts,
        )?;
        rule(
            !self.gone || self.all() > 0,
            "a server that has left and has no connection is forgotten",
            counts,
        )?;
        rule(
            self.unused < FORGET_AFTER_WINDOWS,
            "a server that has no connection is forgotten in time",
            &|| format!("{} spans without one", self.unused),
        )?;
        rule(
            self.in_use <= self.peak,
            "the peak of a span is no less than what is in use",
            &|| format!("{} in use, peak {}", self.in_use, self.peak),
        )?;
        for resting in &self.resting {
            let quarantine = resting.quarantined_until.checked_duration_since(resting.since);
            rule(
                quarantine.is_some_and(|quarantine| {
                    quarantine <= crate::observations::LONGEST_QUARANTINE
                }),
                "a quarantine has an end",
                &|| format!("{quarantine:?} long"),
            )?;
            rule(resting.since <= now, "what rests has come to rest", &|| {
                format!("in {:?}", resting.since - now)
            })?;
        }
        let times = self.resting.iter().map(|resting| resting.since);
        rule(
            times.is_sorted(),
            "connections at rest stand in the order in which they came to rest",
            counts,
        )?;
        self.observations.check(limits.idle_timeout, now)
    }
}
