//! Decides when a sidecar that gets its list from the control nodes falls back to discovery. No clock and no I/O.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::known_list::KnownList;
use super::position::ListPosition;
use super::published::PublishedList;
use crate::discovery::call_timing::fleet_spread_delay;
use crate::list::List;

/// A list without a confirmation for this time is stale. Confirmations come once a second, and one of them may be lost
/// and sent again ([`super::source::CONFIRM_INTERVAL`]). Together with the wait of a small fleet and one request this
/// is less than the 6 s after which a change counts as delivered.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// A process without any list waits this long for its first one, since a fleet that starts together has to elect a
/// writer first.
pub const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerStep {
    /// No control node confirms the list any more: its age counts from now on.
    Silent,
    /// Watch discovery for changes after this version; None: after what discovery sent last.
    WatchDiscovery {
        /// The version of the current list.
        newer_than: Option<u64>,
    },
    /// Stop watching discovery.
    StopWatching,
}

/// How a list from the control nodes compares with the current list of this sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It is newer and replaces the current list.
    Newer,
    /// It is the current list.
    Same,
    /// The current list is newer, since it came from discovery.
    Older,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The control nodes confirm the list.
    Following,
    /// They do not confirm it; discovery is watched from this time on.
    Waiting(Instant),
    /// Discovery is watched.
    WatchingDiscovery,
}

/// The list of one sidecar, with the source that it comes from.
#[derive(Debug)]
pub struct ListFollower {
    list: Option<KnownList>,
    state: State,
    /// The list is stale from this time on.
    stale_at: Instant,
    /// [`FollowerStep::StopWatching`] is pending.
    stop_pending: bool,
}

impl ListFollower {
    /// Creates the state of a process that has just started; `has_list`: it already has servers from its snapshot.
    pub fn new(now: Instant, has_list: bool) -> ListFollower {
        let timeout = if has_list { CONFIRMATION_TIMEOUT } else { FIRST_LIST_TIMEOUT };
        ListFollower {
            list: None,
            state: State::Following,
            stale_at: now + timeout,
            stop_pending: false,
        }
    }

    /// Returns the position of the current list.
    pub fn position(&self) -> Option<ListPosition> {
        self.list.as_ref().map(KnownList::position)
    }

    /// Returns whether discovery is watched.
    pub fn watches_discovery(&self) -> bool {
        self.state == State::WatchingDiscovery
    }

    /// Returns whether the control nodes confirm the list.
    pub fn follows_control_nodes(&self) -> bool {
        self.state == State::Following
    }

    /// Handles a list from the control nodes. The caller applies it if the result is [`Freshness::Newer`].
    pub fn on_published(&mut self, now: Instant, published: &PublishedList) -> Freshness {
        let Some(list) = &mut self.list else {
            self.list = Some(KnownList::from(published));
            self.record_confirmation(now);
            return Freshness::Newer;
        };
        list.adopt_generation(published);
        match published.position.cmp(&list.position()) {
            Ordering::Less => Freshness::Older,
            Ordering::Equal => {
                self.record_confirmation(now);
                Freshness::Same
            }
            Ordering::Greater => {
                *list = KnownList::from(published);
                self.record_confirmation(now);
                Freshness::Newer
            }
        }
    }

    /// Handles the confirmation of the writer that discovery still has the list at `position`. Returns whether that is
    /// the current list.
    pub fn on_confirmation(&mut self, now: Instant, position: ListPosition) -> bool {
        // A confirmation of another list says nothing about the current one: a newer one is in transit, or the writer's
        // discovery lags behind the one that this sidecar has watched.
        let is_current = self.position() == Some(position);
        if is_current {
            self.record_confirmation(now);
        }
        is_current
    }

    /// Applies a list from discovery, or changes to it.
    pub fn on_discovered(&mut self, whole: bool, list: &List) {
        self.list.get_or_insert_default().apply(whole, list);
    }

    fn record_confirmation(&mut self, now: Instant) {
        self.stale_at = now + CONFIRMATION_TIMEOUT;
        self.stop_pending |= self.state == State::WatchingDiscovery;
        self.state = State::Following;
    }

    /// Returns the next step that is due now. `random` lies in `0.0..1.0`.
    pub fn poll(&mut self, now: Instant, fleet: u32, random: f64) -> Option<FollowerStep> {
        if std::mem::take(&mut self.stop_pending) {
            return Some(FollowerStep::StopWatching);
        }
        match self.state {
            State::Following if self.stale_at <= now => {
                // All other sidecars lose the control nodes at the same time, so the fallback is spread out.
                self.state = State::Waiting(now + fleet_spread_delay(fleet, random));
                Some(FollowerStep::Silent)
            }
            State::Waiting(until) if until <= now => {
                self.state = State::WatchingDiscovery;
                let newer_than = self.position().map(|position| position.seq);
                Some(FollowerStep::WatchDiscovery { newer_than })
            }
            _ => None,
        }
    }

    /// Returns when [`ListFollower::poll`] has to be called at the latest; None: not before the next list or
    /// confirmation.
    pub fn next_due(&self) -> Option<Instant> {
        match self.state {
            State::Following => Some(self.stale_at),
            State::Waiting(until) => Some(until),
            State::WatchingDiscovery => None,
        }
    }
}
