//! Changes of the configured member list.

use super::Lease;
use crate::Micros;
use crate::membership::Members;
use crate::message::MAX_EARLIER_LISTS;
use crate::token::Token;

impl Lease {
    /// Replaces the configured member list.
    ///
    /// Until the change is complete, a lease needs a majority of the acceptors by the previous list and of those by the
    /// new one. `unix_ms` is Unix time in milliseconds: acceptors that know nothing of a job grant only tokens above
    /// all that were granted before.
    ///
    /// Returns false, and changes nothing, if three earlier changes are not complete yet.
    pub fn set_members(&mut self, now: Micros, members: Members, unix_ms: u64) -> bool {
        if members == self.members {
            return true;
        }
        if self.earlier_members.len() >= MAX_EARLIER_LISTS {
            return false;
        }
        let old = std::mem::replace(&mut self.members, members);
        self.list_unchanged = false;
        self.set_epoch(unix_ms);
        for (job, wanted) in &mut self.jobs {
            wanted.members_changed(*job, self.config.acceptors, &old, &self.members);
            // Answers to claims by the previous list no longer count.
            wanted.round = None;
        }
        self.earlier_members.push((old, now.saturating_add(self.config.change_timeout)));
        true
    }

    /// Whether a member change is not complete, so that majorities by an earlier list are still needed.
    pub fn is_changing(&self) -> bool {
        !self.earlier_members.is_empty()
    }

    /// Drops member lists that were replaced longer than [`Config::change_timeout`](super::Config::change_timeout) ago.
    pub(super) fn drop_earlier_members(&mut self, now: Micros) {
        while let Some((list, _)) = self.earlier_members.first().filter(|(_, until)| *until <= now)
        {
            let id = list.id();
            self.jobs
                .values_mut()
                .for_each(|wanted| wanted.earlier_acceptors.retain(|b| b.id != id));
            self.earlier_members.remove(0);
        }
    }

    /// Raises the epoch of this process (see `millethook_view`). Tokens that its acceptor grants are above it.
    pub fn set_epoch(&mut self, epoch: u64) {
        if epoch > self.acceptor.floor.epoch {
            self.acceptor.floor = Token { epoch, counter: 0, owner: 0 };
        }
    }
}
