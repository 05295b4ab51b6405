//! Placement proposals by the job's owner, and their acceptance by sidecars.

use millethook_lease::{Fence, StaleToken, Token};

use crate::mutant::{self, Mutant};

/// A proposal by the job's owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Proposal {
    /// The owner's lease token.
    pub token: Token,
    /// The proposed size of a sidecar's subset.
    pub subset: u16,
}

/// The proposal that a sidecar follows.
#[derive(Clone, Copy, Debug, Default)]
pub struct AcceptedProposal {
    fence: Fence,
    current: Option<Proposal>,
}

impl AcceptedProposal {
    /// The proposal in force, if any.
    pub fn current(&self) -> Option<Proposal> {
        self.current
    }

    /// Accepts a proposal.
    ///
    /// # Errors
    /// A proposal with a higher token was seen before. The stale one is ignored.
    pub fn accept(&mut self, proposal: Proposal) -> Result<(), StaleToken> {
        let admitted = self.fence.admit(proposal.token);
        if !mutant::is(Mutant::AnyToken) {
            admitted?;
        }
        self.current = Some(proposal);
        Ok(())
    }

    /// Returns to the sidecar's own choice when the job has no owner.
    pub fn clear(&mut self) {
        self.current = None;
    }
}
