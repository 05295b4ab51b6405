//! Decides what a control node publishes of its list from discovery. No clock and no I/O.
//!
//! Only the writer publishes, and only what is newer than the list in force ([`ListPosition`]). So the list never goes
//! back to an older one, whichever control node becomes the writer and however stale its discovery is. Once a second
//! the writer confirms that discovery still has the list in force. It does not confirm if its discovery is silent or
//! older than the list in force. By missing confirmations sidecars detect that their list is stale, for whatever
//! reason.

use std::time::{Duration, Instant};

use super::known_list::KnownList;
use super::position::ListPosition;
use super::published::PublishedList;
use crate::list::List;

/// The interval of confirmations of the list in force.
pub const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// The state of the control node that [`ListSource::poll`] needs.
#[derive(Clone, Copy, Debug)]
pub struct WriterState<'l> {
    /// The control node is the writer and may publish.
    pub ready: bool,
    /// The number of published documents that are not committed yet.
    pub proposals: usize,
    /// The committed list, as far as this control node knows.
    pub committed: Option<&'l PublishedList>,
}

/// A document to publish.
#[derive(Clone, Debug, PartialEq)]
pub enum Publication {
    /// A new list.
    List(PublishedList),
    /// The confirmation that discovery still has the committed list.
    Confirmation(ListPosition),
}

/// The list of one control node from discovery.
#[derive(Debug, Default)]
pub struct ListSource {
    list: Option<KnownList>,
    /// Discovery answers requests.
    live: bool,
    /// The generation of the own list is based on that of the list in force.
    generation_known: bool,
    /// All proposals of the previous writer are committed.
    predecessor_committed: bool,
    /// The newest list that this writer has published.
    published: Option<ListPosition>,
    confirm_at: Option<Instant>,
}

impl ListSource {
    /// Applies a list from discovery, or changes to it.
    pub fn on_list(&mut self, whole: bool, list: &List) {
        self.live = true;
        self.list.get_or_insert_default().apply(whole, list);
    }

    /// Records that discovery does not answer.
    pub fn on_discovery_failed(&mut self) {
        self.live = false;
    }

    /// Returns what has to be published now.
    pub fn poll(&mut self, now: Instant, writer: WriterState<'_>) -> Option<Publication> {
        let list = self.list.as_mut()?;
        if let Some(committed) = writer.committed {
            let same_list = list.adopt_generation(committed);
            if !same_list && !self.generation_known {
                list.add_generations(committed.position.generation);
            }
            self.generation_known = true;
        }
        if !writer.ready {
            (self.predecessor_committed, self.published) = (false, None);
            return None;
        }
        // An uncommitted list of the previous writer may be newer than the committed one.
        self.predecessor_committed |= writer.proposals == 0;
        if !self.predecessor_committed {
            return None;
        }
        let committed = writer.committed.map(|committed| committed.position);
        let own = list.position();
        if Some(own) > committed.max(self.published) {
            self.generation_known = true;
            self.published = Some(own);
            return Some(Publication::List(list.to_published()));
        }
        let due = self.confirm_at.is_none_or(|at| at <= now);
        if !self.live || !due || committed != Some(own) {
            return None;
        }
        self.confirm_at = Some(now + CONFIRM_INTERVAL);
        Some(Publication::Confirmation(own))
    }

    /// Records that the publication failed, so that the next poll returns it again.
    pub fn on_not_published(&mut self) {
        self.published = None;
    }
}
