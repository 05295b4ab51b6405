//! Invariants of what is known of a server's connections.

use std::time::{Duration, Instant};

use millethook_machine::Violation;

use super::{
    IDLE_SHARE, LEAST_IDLE, LONGEST_QUARANTINE, LONGEST_TRIAL, SHORTEST_QUARANTINE,
    ServerObservations, TRIAL,
};

impl ServerObservations {
    /// Checks every invariant of these observations; `told` is how long servers say that they keep an idle connection.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self, told: Duration, now: Instant) -> Result<(), Violation> {
        let rule = Violation::unless;
        let quarantine = self.quarantine(now);
        rule(
            (SHORTEST_QUARANTINE..=LONGEST_QUARANTINE).contains(&quarantine),
            "a quarantine is neither nothing nor for ever",
            &|| format!("{quarantine:?}"),
        )?;
        let retire = self.retire_after(told, now);
        rule(
            retire <= told.mul_f64(IDLE_SHARE),
            "a connection is retired ahead of the limit that servers name",
            &|| format!("after {retire:?} of {told:?}"),
        )?;
        for limit in self.closed_after.iter().flatten() {
            rule(
                *limit >= LEAST_IDLE,
                "no idle limit is learned from a server that ends",
                &|| format!("{limit:?}"),
            )?;
        }
        for (rested, repeatable) in
            [(None, false), (None, true), (Some(told.max(LONGEST_TRIAL)), false)]
        {
            let trial = self.hold_time(rested, repeatable, now);
            rule(
                trial.is_none_or(|trial| (TRIAL..=LONGEST_TRIAL).contains(&trial)),
                "a trial has an end",
                &|| format!("{trial:?}"),
            )?;
            rule(
                repeatable || trial.is_some(),
                "an unsafe request is tried on a connection in doubt",
                &|| format!("rested {rested:?}"),
            )?;
        }
        Ok(())
    }
}
