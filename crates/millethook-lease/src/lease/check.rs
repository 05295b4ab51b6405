//! Invariants of one member.

use millethook_machine::Violation;

use super::{Lease, MAX_WANTED};
use crate::acceptor::MAX_JOBS;
use crate::mutant::{self, Mutant};
use crate::owner::is_majority;
use crate::{Micros, Token};

impl Lease {
    /// Checks every invariant of this member.
    ///
    /// # Errors
    /// The first invariant that does not hold, with the values that break it.
    pub fn check(&self, now: Micros) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        within(self.jobs.len(), MAX_WANTED, "wanted jobs are bounded")?;
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
                        "{job:?}: {token} until {until}, silent until {}",
                        self.acceptor.silent_until
                    )
                },
            )?;
        }
        for (job, wanted) in &self.jobs {
            let Some(owned) = &wanted.owned else { continue };
            let of = &|| format!("{job:?}: {owned:?}, now {now}");
            rule(owned.token.owner == self.config.me, "an owner's token is its own", of)?;
            rule(owned.token != Token::default(), "an owner has a token", of)?;
            rule(owned.token <= wanted.highest_token, "an owner knows its token", of)?;
            rule(
                owned.until <= now.saturating_add(wanted.lease),
                "a lease is no longer than it was asked for",
                of,
            )?;
            rule(
                mutant::is(Mutant::NoMajority) || granted_by_majority(wanted),
                "an owner has a majority of some list's acceptors",
                of,
            )?;
        }
        Ok(())
    }
}

/// Whether a majority of the acceptors by some list has granted the lease that is held. After a change of members it is
/// the acceptors of an earlier list that granted it.
fn granted_by_majority(wanted: &crate::owner::Wanted) -> bool {
    let Some(owned) = &wanted.owned else { return true };
    let before = wanted.earlier_acceptors.iter().any(|b| is_majority(&b.acceptors, &owned.by));
    is_majority(&wanted.acceptors, &owned.by) || before
}
