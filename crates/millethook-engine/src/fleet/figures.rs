//! Counts and lists for operators.

use millethook_frames::channel;
use millethook_lease::{JobId, Token};
use millethook_view::{Counts, Status};

use super::{Dropped, Fleet};

/// The most absent members that are listed.
const NAMED: usize = 64;

impl Fleet {
    /// Counts of leases, and whether a change of the members is in progress; None: there are no leases.
    pub fn leases(&self) -> Option<(millethook_lease::Figures, bool)> {
        self.leases.as_ref().map(|leases| leases.figures(self.now()))
    }

    /// Jobs that this sidecar owns, with their tokens, at most 64 of them.
    pub fn owned_jobs(&self) -> Vec<(JobId, Token)> {
        self.leases.as_ref().map_or(Vec::new(), |leases| leases.owned(self.now()))
    }

    /// Counts of the replica, and its hash; None: nothing is shared.
    pub fn evidence(&self) -> Option<(millethook_replica::Figures, u32)> {
        self.evidence.as_ref().map(|e| (e.figures(), e.hash(self.now())))
    }

    /// Members by status.
    pub fn counts(&self) -> Counts {
        self.view.borrow().counts()
    }

    /// The hash of the view; equal for all that have the same.
    pub fn hash(&self) -> u32 {
        self.view.borrow().hash()
    }

    /// Members that are not alive, at most 64.
    pub fn members_not_alive(&self) -> Vec<(u16, Status)> {
        let view = self.view.borrow();
        let all = (0..).map_while(|n| Some((n, view.member(n)?.status)));
        all.filter(|(_, status)| *status != Status::Alive).take(NAMED).collect()
    }

    /// Counts of the view.
    pub fn figures(&self) -> millethook_view::Figures {
        self.view.borrow().figures()
    }

    /// Counts of what was sent.
    pub fn channel_counts(&self) -> channel::Counts {
        self.channel.borrow().counts()
    }

    /// Counts of datagrams that were dropped.
    pub fn dropped(&self) -> Dropped {
        self.dropped.get()
    }
}
