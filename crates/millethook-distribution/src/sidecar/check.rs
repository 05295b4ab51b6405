//! The invariants of a sidecar.

use millethook_machine::{Micros, Violation};

use super::Subscriber;
use super::statuses::Candidate;
use crate::{DocumentKey, DocumentKind};

impl Subscriber {
    /// Checks all invariants of this sidecar.
    ///
    /// # Errors
    ///
    /// Returns the first violated invariant, with the values.
    pub fn check(&self, _now: Micros) -> Result<(), Violation> {
        let require = Violation::unless;
        let counts = (self.in_force.len(), self.candidates.len(), self.incoming.len());
        let max_documents = self.max_keys();
        require(
            counts.0 <= max_documents
                && counts.1 <= max_documents
                && counts.2 <= 2 * max_documents
                && self.deltas.len() <= max_documents,
            "documents at a sidecar are bounded",
            &|| format!("{counts:?}"),
        )?;
        for (key, document) in &self.in_force {
            let of = &|| format!("{key}: {}", document.version);
            // `applies_here` cannot be used, since a mutant changes it.
            match key.kind {
                DocumentKind::Configuration => require(
                    key.scope.covers(&self.config.identity),
                    "what is in force is for this sidecar",
                    of,
                )?,
                DocumentKind::ServerList => require(
                    self.lists.iter().any(|list| *key == DocumentKey::server_list(*list)),
                    "a list in force is wanted",
                    of,
                )?,
            }
            require(document.is_intact(), "what is in force is whole", of)?;
            let highest = self.highest.get(key).copied().unwrap_or_default();
            require(document.version >= highest, "a version in force never goes back", &|| {
                format!("{key}: {} after {highest}", document.version)
            })?;
        }
        for (key, candidate) in &self.candidates {
            let version = candidate.version();
            let in_force = self.in_force.get(key).map(|document| document.version);
            require(
                in_force < Some(version),
                "what is offered is newer than what is in force",
                &|| format!("{key}: {version}, in force {in_force:?}"),
            )?;
            let whole = match candidate {
                Candidate::Offered(document) => document.is_intact(),
                Candidate::Refused(..) => true,
            };
            require(whole, "what is offered is whole", &|| format!("{key}: {version}"))?;
        }
        Ok(())
    }
}
