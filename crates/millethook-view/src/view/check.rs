//! Invariants of one view.

use millethook_machine::Violation;

use super::{MAX_EVENTS, MAX_OUTGOING, MAX_RELAYED, View};
use crate::fact::{HIGHEST_EPOCH, Status};

impl View {
    /// Checks every invariant of this view.
    ///
    /// # Errors
    /// Returns the first violated invariant, with the values that violate it.
    pub fn check(&self) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        within(self.outgoing.len(), MAX_OUTGOING, "queued messages are bounded")?;
        within(self.events.len(), MAX_EVENTS, "queued events are bounded")?;
        within(self.relayed.len(), MAX_RELAYED, "relayed probes are bounded")?;
        let counts = self.table.counts;
        let sum = counts.unknown + counts.alive + counts.suspect + counts.dead + counts.left;
        rule(sum == self.table.len(), "each member is counted once", &|| format!("{counts:?}"))?;
        let hash = self.table.range_hash(0..self.table.len());
        rule(hash == self.table.hash, "the hash is that of the table", &|| {
            format!("{:08x}, {hash:08x} expected", self.table.hash)
        })?;
        let own = self.table.status(self.me());
        rule(
            matches!(own, Status::Alive | Status::Left),
            "no member believes itself dead",
            &|| format!("{own:?}"),
        )?;
        rule((1..=HIGHEST_EPOCH).contains(&self.epoch()), "an epoch has 48 bits", &|| {
            self.epoch().to_string()
        })?;
        for number in self.suspicions.keys() {
            let status = self.table.status(*number);
            rule(status == Status::Suspect, "members with a suspicion are suspect", &|| {
                format!("{number}: {status:?}")
            })?;
        }
        Ok(())
    }
}
