//! What may never be, by name.

use millethook_machine::Violation;

use crate::entry::State;
use crate::replay::Replay;

impl Replay {
    /// Looks at every rule of this store.
    ///
    /// # Errors
    /// The first one that is broken, with the values.
    pub fn check(&self) -> Result<(), Violation> {
        let rule = Violation::unless;
        let book = &self.book;
        let most = self.config.max_concurrent.max(1);
        rule(self.in_flight.len() <= most, "writes out at once are bounded", &|| {
            format!("{} of {most}", self.in_flight.len())
        })?;
        for seq in self.in_flight.keys() {
            let Some(entry) = book.entries.get(seq) else {
                return rule(false, "what is out is in the store", &|| seq.to_string());
            };
            // An earlier owner's answer may come while a repeat is out.
            let marked = entry.state == State::InFlight(self.token);
            rule(
                marked || matches!(entry.state, State::Ended(_)),
                "what is out is marked on disk",
                &|| format!("{seq}: {:?}", entry.state),
            )?;
            rule(entry.first_sent.is_some(), "what is out has a time", &|| seq.to_string())?;
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
                    "a successor goes after its forerunner",
                    &|| format!("{seq} after {}: {before:?}", id.seq),
                )?;
            }
        }
        for (seq, entry) in &book.entries {
            let ended = matches!(entry.state, State::Ended(_));
            rule(ended != book.open.contains(seq), "what is kept has an end or is open", &|| {
                format!("{seq}: {:?}", entry.state)
            })?;
            let doubtful = entry.state == State::InDoubt;
            rule(
                !doubtful || !self.in_flight.contains_key(seq),
                "what is in doubt is not out",
                &|| seq.to_string(),
            )?;
        }
        for seq in &book.unacknowledged {
            let state = book.entries.get(seq).map(|entry| entry.state);
            rule(
                state == Some(State::Unacknowledged),
                "what is not acknowledged does not go out",
                &|| format!("{seq}: {state:?}"),
            )?;
        }
        let (upto, _) = book.ended_range();
        rule(
            book.open.first().is_none_or(|first| *first > upto),
            "what is told as done is done",
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
