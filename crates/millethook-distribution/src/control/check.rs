//! The invariants of a control node.

use millethook_machine::{Micros, Violation};

use super::deltas::MAX_BASE_BYTES;
use super::{ControlNode, MAX_INCOMING_DOCUMENTS};
use crate::mutant::{self, Mutant};

impl ControlNode {
    /// Checks all invariants of this control node.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant, with the values.
    pub fn check(&self, _now: Micros) -> Result<(), Violation> {
        let require = Violation::unless;
        let limits = &self.config.limits;
        let slots = self.store.slots.len();
        require(slots <= 2 * limits.documents, "documents at a control node are bounded", &|| {
            slots.to_string()
        })?;
        let subscribers = self.subscribers.len();
        require(
            subscribers <= limits.subscribers,
            "sidecars of a control node are bounded",
            &|| subscribers.to_string(),
        )?;
        let incoming = self.incoming.len();
        require(
            incoming <= MAX_INCOMING_DOCUMENTS,
            "documents on their way in are bounded",
            &|| incoming.to_string(),
        )?;
        let bases = self.store.base_bytes();
        require(
            bases == self.store.base_bytes && bases <= MAX_BASE_BYTES,
            "contents for deltas are bounded",
            &|| format!("{bases}, counted {}", self.store.base_bytes),
        )?;
        let highest = self.fence.highest();
        for (key, slot) in &self.store.slots {
            let (committed, accepted) = (slot.committed.as_ref(), slot.accepted.as_ref());
            let version = committed.map(|document| document.version);
            let of = &|| format!("{key}: {version:?}, accepted {:?}", accepted.map(|a| a.version));
            require(
                accepted.is_none_or(|accepted| Some(accepted.version) > version),
                "what is accepted is later than what is committed",
                of,
            )?;
            let documents = || committed.into_iter().chain(accepted);
            require(documents().all(|d| d.is_intact()), "what is kept is whole", of)?;
            require(documents().all(|d| d.key == *key), "what is kept is of its key", of)?;
        }
        let Some(writer) = &self.writer else { return Ok(()) };
        require(
            writer.token >= highest || mutant::is(Mutant::NoFence),
            "a writer knows no higher token than its own",
            &|| format!("{} of {highest}", writer.token),
        )?;
        require(writer.token.owner == self.config.me, "a writer's token is its own", &|| {
            writer.token.to_string()
        })?;
        require(
            !writer.ready || self.quorum.is_majority(&writer.learned),
            "a writer that may publish knows what a majority holds",
            &|| format!("{:?} of {:?}", writer.learned, self.quorum.0),
        )?;
        for publication in writer.publications.values() {
            let version = publication.document.version;
            require(version.token == writer.token, "a writer's versions bear its token", &|| {
                format!("{version} of {}", writer.token)
            })?;
        }
        Ok(())
    }
}
