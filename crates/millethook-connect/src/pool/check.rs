//! Invariants of a pool.

use std::hash::Hash;
use std::time::Instant;

use millethook_machine::Violation;

use super::server::Server;
use super::{FORGET_AFTER_WINDOWS, Limits, Pool};

impl<K: Copy + Eq + Hash + std::fmt::Debug, C> Pool<K, C> {
    /// Checks every invariant of the pool. For tests only, since it visits each connection.
    ///
    /// # Errors
    /// Returns the first invariant that is violated, with the offending values.
    pub fn check(&self, now: Instant) -> Result<(), Violation> {
        let idle: usize = self.servers.values().map(|server| server.idle.len()).sum();
        Violation::unless(
            self.idle == idle,
            "the count of idle connections matches the idle lists",
            &|| format!("{} counted, {idle} idle", self.idle),
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
    /// Checks the invariants of the connections to one server.
    fn check(&self, limits: &Limits, now: Instant) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        within(
            self.connection_count(),
            limits.per_server,
            "the connections to a server are within their limit",
        )?;
        within(
            self.opening,
            limits.opening,
            "the handshakes with a server are within their limit",
        )?;
        let counts = &|| {
            let idle = self.idle.len();
            format!("{} opening, {} in use, {idle} idle", self.opening, self.in_use)
        };
        rule(
            !self.removed || self.idle.is_empty(),
            "a removed server has no idle connection",
            counts,
        )?;
        rule(
            !self.removed || self.connection_count() > 0,
            "a removed server without connections is forgotten",
            counts,
        )?;
        rule(
            self.empty_windows < FORGET_AFTER_WINDOWS,
            "a server without connections is forgotten after the limit of windows",
            &|| format!("{} windows without a connection", self.empty_windows),
        )?;
        rule(
            self.in_use <= self.peak,
            "the peak of a window is at least the number of connections in use",
            &|| format!("{} in use, peak {}", self.in_use, self.peak),
        )?;
        for entry in &self.idle {
            let quarantine = entry.quarantined_until.checked_duration_since(entry.idle_since);
            rule(
                quarantine
                    .is_some_and(|quarantine| quarantine <= crate::observations::MAX_QUARANTINE),
                "a quarantine is within its maximum",
                &|| format!("{quarantine:?} long"),
            )?;
            rule(entry.idle_since <= now, "no connection became idle in the future", &|| {
                format!("in {:?}", entry.idle_since - now)
            })?;
        }
        let times = self.idle.iter().map(|entry| entry.idle_since);
        rule(
            times.is_sorted(),
            "idle connections are in the order in which they became idle",
            counts,
        )?;
        self.observations.check(limits.idle_timeout, now)
    }
}
