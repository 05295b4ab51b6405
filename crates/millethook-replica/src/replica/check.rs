//! Invariants of one copy.

use millethook_machine::Violation;

use super::{MAX_EVENTS, MAX_OUTGOING, Replica};
use crate::Micros;
use crate::entry::{EntryValue, Key};
use crate::store::{MAX_DEPARTURES, MAX_EDGES, MAX_EVIDENCE, MAX_JOBS};

impl Replica {
    /// Checks every invariant of this copy.
    ///
    /// # Errors
    /// Returns the first violated invariant, with the values that violate it.
    pub fn check(&self, now: Micros) -> Result<(), Violation> {
        let (rule, within) = (Violation::unless, Violation::unless_within);
        let counts = self.store.counts();
        let most = [MAX_EVIDENCE, MAX_DEPARTURES, MAX_JOBS, MAX_EDGES];
        let bounded = counts.iter().zip(most).all(|(count, most)| *count <= most);
        rule(bounded, "entries of each kind are bounded", &|| format!("{counts:?}"))?;
        rule(counts == self.store.recount(), "entries are counted once", &|| {
            format!("{counts:?}, {:?} expected", self.store.recount())
        })?;
        within(self.outgoing.len(), MAX_OUTGOING, "queued messages are bounded")?;
        within(self.events.len(), MAX_EVENTS, "queued events are bounded")?;
        let (ordered, positions) = self.updates.lengths();
        rule(ordered == positions, "each queued update has one position", &|| {
            format!("{ordered} and {positions}")
        })?;
        for server in self.server_statuses.keys() {
            rule(
                self.listed_servers.contains_key(server),
                "only listed servers have a status",
                &|| server.to_string(),
            )?;
        }
        let me = self.config.me;
        for (key, entry) in self.store.iter(now) {
            let (Key::Evidence { author, .. }, EntryValue::Evidence { author_epoch, counter, .. }) =
                (key, entry.value)
            else {
                continue;
            };
            let own = author == me && author_epoch == self.config.epoch;
            rule(
                !own || counter <= self.counter,
                "nobody else writes in this member's name",
                &|| format!("{key:?}: {counter}, {} written", self.counter),
            )?;
        }
        Ok(())
    }
}
