//! Invariants of one member.

use millethook_machine::Violation;

use super::{Lease, MAX_WANTED_JOBS};
use crate::acceptor::MAX_JOBS;
use crate::mutant::{self, Mutant};
use crate::owner::is_majority;
use crate::{Micros, Token};

impl Lease {
    /// Checks every invariant of this member.
    ///
    /// # Errors
    /// Returns the first violated invariant, with the values that violate it.
    pub fn check(&self, now: Micros) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        within(self.jobs.len(), MAX_WANTED_JOBS, "wanted jobs are bounded")?;
        within(self.acceptor.jobs.len(), MAX_JOBS, "granted jobs are bounded")?;
        for (job, known) in &self.acceptor.jobs {
            let Some((token, until)) = known.granted else { continue };
            rule(token <= known.highest, "an acceptor knows the token that it granted", &|| {
                format!("{job:?}: {token} above {}", known.highest)
            })?;
            rule(
                until <= now.saturating_add(self.config.max_lease),
                "an acceptor grants for the longest lease at most",
                &|| format!("{job:?}: until {until}, now {now}"),
            )?;
            rule(
                now >= self.acceptor.silent_until
                    || until <= now
                    || self.acceptor.silent_until == Micros::MAX,
                "an acceptor that has just started has granted nothing",
                &|| {
                    format!(
                        "{job:?}: {token} until {until}, no grants until {}",
                        self.acceptor.silent_until
                    )
                },
            )?;
        }
        for (job, wanted) in &self.jobs {
            let Some(owned) = &wanted.owned else { continue };
            let details = &|| format!("{job:?}: {owned:?}, now {now}");
            rule(owned.token.owner == self.config.me, "an owner's token is its own", details)?;
            rule(owned.token != Token::default(), "an owner has a token", details)?;
            rule(owned.token <= wanted.highest_token, "an owner knows its token", details)?;
            rule(
                owned.until <= now.saturating_add(wanted.lease),
                "a lease is no longer than requested",
                details,
            )?;
            rule(
                mutant::is(Mutant::NoMajority) || granted_by_majority(wanted),
                "an owner has a majority of some list's acceptors",
                details,
            )?;
        }
        Ok(())
    }
}

/// Whether a majority of the acceptors by some member list has granted the lease that is held. After a member change
/// the acceptors of an earlier list granted it.
fn granted_by_majority(wanted: &crate::owner::WantedJob) -> bool {
    let Some(owned) = &wanted.owned else { return true };
    let before =
        wanted.earlier_acceptors.iter().any(|b| is_majority(&b.acceptors, &owned.granted_by));
    is_majority(&wanted.acceptors, &owned.granted_by) || before
}
