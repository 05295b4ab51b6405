//! Invariants of the observations of a server.

use std::time::{Duration, Instant};

use millethook_machine::Violation;

use super::{
    IDLE_LIMIT_SHARE, MAX_HOLD, MAX_QUARANTINE, MIN_HOLD, MIN_IDLE_LIMIT, MIN_QUARANTINE,
    ServerObservations,
};

impl ServerObservations {
    /// Checks every invariant of these observations. `advertised` is the configured time for which servers keep an idle
    /// connection.
    ///
    /// # Errors
    /// Returns the first invariant that is violated, with the offending values.
    pub fn check(&self, advertised: Duration, now: Instant) -> Result<(), Violation> {
        let rule = Violation::unless;
        let quarantine = self.quarantine(now);
        rule(
            (MIN_QUARANTINE..=MAX_QUARANTINE).contains(&quarantine),
            "a quarantine is between its minimum and its maximum",
            &|| format!("{quarantine:?}"),
        )?;
        let retire_after = self.retire_after(advertised, now);
        rule(
            retire_after <= advertised.mul_f64(IDLE_LIMIT_SHARE),
            "a connection is retired before the configured idle limit",
            &|| format!("after {retire_after:?} of {advertised:?}"),
        )?;
        for limit in self.idle_times_before_close.iter().flatten() {
            rule(
                *limit >= MIN_IDLE_LIMIT,
                "no idle limit is learned from a server that is shutting down",
                &|| format!("{limit:?}"),
            )?;
        }
        for (idle_time, repeatable) in
            [(None, false), (None, true), (Some(advertised.max(MAX_HOLD)), false)]
        {
            let hold = self.hold_time(idle_time, repeatable, now);
            rule(
                hold.is_none_or(|hold| (MIN_HOLD..=MAX_HOLD).contains(&hold)),
                "a hold time is between its minimum and its maximum",
                &|| format!("{hold:?}"),
            )?;
            rule(
                repeatable || hold.is_some(),
                "an unsafe request is held on a new or idle connection",
                &|| format!("idle for {idle_time:?}"),
            )?;
        }
        Ok(())
    }
}
