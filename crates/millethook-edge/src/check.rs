//! Invariants of a replay, each with a name.

use millethook_machine::Violation;

use crate::entry::State;
use crate::replay::Replay;

impl Replay {
    /// Checks every invariant of this store.
    ///
    /// # Errors
    /// The first violated invariant, with the values involved.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        let book = &self.book;
        let max_in_flight = self.config.max_concurrent.max(1);
        rule(self.in_flight.len() <= max_in_flight, "writes in flight are limited", &|| {
            format!("{} of {max_in_flight}", self.in_flight.len())
        })?;
        for seq in self.in_flight.keys() {
            let Some(entry) = book.entries.get(seq) else {
                return rule(false, "a write in flight has an entry", &|| seq.to_string());
            };
            // An earlier owner's late record may end a write while a repeat of it is in flight.
            let marked = entry.state == State::InFlight(self.token);
            rule(
                marked || matches!(entry.state, State::Ended(_)),
                "a write in flight is marked on disk",
                &|| format!("{seq}: {:?}", entry.state),
            )?;
            rule(entry.first_sent.is_some(), "a write in flight has a time of sending", &|| {
                seq.to_string()
            })?;
            for id in entry.after.iter().filter(|id| id.edge == book.edge && id.seq < *seq) {
                let before = book.entries.get(&id.seq).map(|e| e.state);
                let ended = match before {
                    Some(State::Ended(end)) => {
                        end.is_well() || self.config.send_without_predecessor
                    }
                    _ => false,
                };
                rule(
                    ended || entry.predecessor_skipped,
                    "a write is sent after its dependencies",
                    &|| format!("{seq} after {}: {before:?}", id.seq),
                )?;
            }
        }
        for (seq, entry) in &book.entries {
            let ended = matches!(entry.state, State::Ended(_));
            rule(ended != book.open.contains(seq), "a write is either open or ended", &|| {
                format!("{seq}: {:?}", entry.state)
            })?;
            let in_doubt = entry.state == State::InDoubt;
            rule(
                !in_doubt || !self.in_flight.contains_key(seq),
                "a write in doubt is not in flight",
                &|| seq.to_string(),
            )?;
        }
        for seq in &book.unacknowledged {
            let state = book.entries.get(seq).map(|entry| entry.state);
            rule(
                state == Some(State::Unacknowledged),
                "an unacknowledged write is not sent",
                &|| format!("{seq}: {state:?}"),
            )?;
        }
        let (upto, _) = book.ended_range();
        rule(
            book.open.first().is_none_or(|first| *first > upto),
            "all writes up to the watermark have ended",
            &|| format!("up to {upto}, open {:?}", book.open.first()),
        )?;
        let counts = book.counts();
        let sum = counts.unacknowledged
            + counts.kept
            + counts.in_flight
            + counts.in_doubt
            + counts.served
            + counts.not_served;
        rule(sum == book.entries.len(), "every write is counted once", &|| {
            format!("{counts:?} of {}", book.entries.len())
        })
    }
}
