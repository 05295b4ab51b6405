//! A sidecar that takes its list from the control nodes: when it asks discovery itself after all. No clock and no I/O.

use std::cmp::Ordering;
use std::time::{Duration, Instant};

use super::known_list::KnownList;
use super::position::ListPosition;
use super::published::PublishedList;
use crate::discovery::call_timing::fleet_spread_delay;
use crate::list::List;

/// A list that was not confirmed for so long is old. Confirmations come once a second, and one may be lost and come again
/// ([`super::source::CONFIRM_EVERY`]). With the wait of a small fleet and one call it is less than the 6 s after which
/// news counts as told.
pub const SILENT_AFTER: Duration = Duration::from_secs(3);
/// A process without any list waits so long for its first one: a fleet that starts together has to find a writer first.
pub const FIRST_LIST: Duration = Duration::from_secs(5);

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerStep {
    /// Nothing confirms the list any more: its age counts from now on.
    Silent,
    /// Discovery is to be asked for what is newer than this version; None: than what it told last.
    AskDiscovery {
        /// The version of the list at hand.
        newer_than: Option<u64>,
    },
    /// Discovery is not to be asked any more.
    StopAsking,
}

/// What a list from the control nodes is to this sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is newer: it takes the place of what is at hand.
    Newer,
    /// It is what is at hand.
    Same,
    /// What is at hand is newer: discovery told it itself.
    Older,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The control nodes are heard.
    Following,
    /// They are not; discovery is asked from this time on.
    Waiting(Instant),
    /// Discovery is asked.
    Asking,
}

/// The list of one sidecar.
#[derive(Debug)]
pub struct ListFollower {
    list: Option<KnownList>,
    state: State,
    /// The list is old from this time on.
    silent_at: Instant,
    /// A step that was not fetched yet.
    stop: bool,
}

impl ListFollower {
    /// One that has just started; `has_list`: it has servers from before.
    pub fn new(now: Instant, has_list: bool) -> ListFollower {
        let patience = if has_list { SILENT_AFTER } else { FIRST_LIST };
        ListFollower { list: None, state: State::Following, silent_at: now + patience, stop: false }
    }

    /// The position of the list at hand.
    pub fn position(&self) -> Option<ListPosition> {
        self.list.as_ref().map(KnownList::position)
    }

    /// Whether discovery is asked.
    pub fn asks(&self) -> bool {
        self.state == State::Asking
    }

    /// Whether the control nodes are heard.
    pub fn follows(&self) -> bool {
        self.state == State::Following
    }

    /// A list has come from the control nodes. It has to be applied if it is [`Verdict::Newer`].
    pub fn on_published(&mut self, now: Instant, published: &PublishedList) -> Verdict {
        let Some(list) = &mut self.list else {
            self.list = Some(KnownList::from(published));
            self.confirmed(now);
            return Verdict::Newer;
        };
        list.agree_on_generation(published);
        match published.position.cmp(&list.position()) {
            Ordering::Less => Verdict::Older,
            Ordering::Equal => {
                self.confirmed(now);
                Verdict::Same
            }
            Ordering::Greater => {
                *list = KnownList::from(published);
                self.confirmed(now);
                Verdict::Newer
            }
        }
    }

    /// The writer says that the list at this position is what discovery says now. True: it is the one at hand.
    pub fn on_confirmation(&mut self, now: Instant, position: ListPosition) -> bool {
        // One that confirms another list says nothing of the one at hand: a newer one is on its way, or the writer's
        // discovery is behind what discovery has told this sidecar.
        let mine = self.position() == Some(position);
        if mine {
            self.confirmed(now);
        }
        mine
    }

    /// Discovery has told a list, or changes of it.
    pub fn on_discovered(&mut self, whole: bool, list: &List) {
        self.list.get_or_insert_default().apply(whole, list);
    }

    fn confirmed(&mut self, now: Instant) {
        self.silent_at = now + SILENT_AFTER;
        self.stop |= self.state == State::Asking;
        self.state = State::Following;
    }

    /// What is to be done now. `random` is of `0.0..1.0`.
    pub fn poll(&mut self, now: Instant, fleet: u32, random: f64) -> Option<FollowerStep> {
        if std::mem::take(&mut self.stop) {
            return Some(FollowerStep::StopAsking);
        }
        match self.state {
            State::Following if self.silent_at <= now => {
                // All others are silent for the same reason, at the same time.
                self.state = State::Waiting(now + fleet_spread_delay(fleet, random));
                Some(FollowerStep::Silent)
            }
            State::Waiting(until) if until <= now => {
                self.state = State::Asking;
                let newer_than = self.position().map(|position| position.seq);
                Some(FollowerStep::AskDiscovery { newer_than })
            }
            _ => None,
        }
    }

    /// When [`ListFollower::poll`] has to be called at the latest; None: not before something has come.
    pub fn next_due(&self) -> Option<Instant> {
        match self.state {
            State::Following => Some(self.silent_at),
            State::Waiting(until) => Some(until),
            State::Asking => None,
        }
    }
}
