//! Statistics of a fleet for operators.

use millethook_frames::channel;
use millethook_lease::{JobId, Token};
use millethook_view::{Counts, Status};

use super::{Dropped, Fleet};

/// The maximum number of members that are listed.
const MAX_LISTED: usize = 64;

impl Fleet {
    /// Returns the counts of leases and whether a change of the members is in progress; None without leases.
    pub fn leases(&self) -> Option<(millethook_lease::Figures, bool)> {
        self.leases.as_ref().map(|leases| leases.figures(self.now()))
    }

    /// Returns the jobs that this sidecar owns with their tokens, at most 64 of them.
    pub fn owned_jobs(&self) -> Vec<(JobId, Token)> {
        self.leases.as_ref().map_or(Vec::new(), |leases| leases.owned(self.now()))
    }

    /// Returns the counts of the replica and its hash; None if nothing is shared.
    pub fn evidence(&self) -> Option<(millethook_replica::Figures, u32)> {
        self.evidence.as_ref().map(|e| (e.figures(), e.hash(self.now())))
    }

    /// Returns the number of members by status.
    pub fn counts(&self) -> Counts {
        self.view.borrow().counts()
    }

    /// Returns the hash of the view, equal at all members that have the same view.
    pub fn hash(&self) -> u32 {
        self.view.borrow().hash()
    }

    /// Returns the members that are not alive, at most 64 of them.
    pub fn members_not_alive(&self) -> Vec<(u16, Status)> {
        let view = self.view.borrow();
        let all = (0..).map_while(|n| Some((n, view.member(n)?.status)));
        all.filter(|(_, status)| *status != Status::Alive).take(MAX_LISTED).collect()
    }

    /// Returns the counts of the view.
    pub fn figures(&self) -> millethook_view::Figures {
        self.view.borrow().figures()
    }

    /// Returns the counts of the channel.
    pub fn channel_counts(&self) -> channel::Counts {
        self.channel.borrow().counts()
    }

    /// Returns the counts of dropped datagrams.
    pub fn dropped(&self) -> Dropped {
        self.dropped.get()
    }
}
