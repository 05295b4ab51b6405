//! Tracks the rollout of a published document for its status.

use std::time::{Duration, Instant};

use millethook_engine::distribution::{ControlEvent, DocumentId, DocumentKey, Rollout, Version};

use super::request::NamedScope;
use super::status::{Stage, Status};

/// A rollout with silent sidecars counts as settled after this time. By then, sidecars have left a
/// failed control node and are counted at another one.
const SETTLE_DESPITE_SILENT: Duration = Duration::from_secs(6);
/// How long a document that is not in force everywhere is tracked.
const TRACKING_TIMEOUT: Duration = Duration::from_secs(120);

/// A published document and the status of its rollout.
pub struct Tracked {
    /// Name of the request.
    pub name: String,
    /// Key and version of the document.
    pub id: DocumentId,
    /// The current status.
    pub status: Status,
    published: Instant,
}

impl Tracked {
    /// Starts to track a document that has just been published.
    pub fn new(name: String, scope: NamedScope, key: DocumentKey, version: Version) -> Tracked {
        let status = Status { version: Some(version), ..Status::new(Stage::Proposed, Some(scope)) };
        Tracked { name, id: DocumentId { key, version }, status, published: Instant::now() }
    }

    fn age_ms(&self) -> u64 {
        self.published.elapsed().as_millis() as u64
    }

    /// Updates the status after an event at this control node.
    pub fn on_event(&mut self, event: &ControlEvent) {
        match event {
            ControlEvent::Committed(id) if *id == self.id => {
                self.status.stage = Stage::Committed;
                self.status.committed_after_ms = Some(self.age_ms());
            }
            ControlEvent::Stopped { stopped, rollout, restored, .. } if *stopped == self.id => {
                self.status.update_counts(rollout);
                self.status.stage = Stage::Stopped;
                self.status.restored = Some(*restored);
            }
            _ => {}
        }
    }

    /// Whether this document replaces an earlier one: it has the same scope and is committed.
    pub fn replaces(&self, earlier: &Tracked) -> bool {
        let committed = self.status.committed_after_ms.is_some();
        committed && self.id.key == earlier.id.key && self.id.version > earlier.id.version
    }

    /// Whether the document is in force at all sidecars that have reported, and the silent ones have
    /// had enough time to report.
    fn is_settled_despite_silent(&self) -> bool {
        let Status { in_force, not_heard, expected, moving, .. } = self.status;
        let decided = moving == 0 && in_force + not_heard == expected;
        self.published.elapsed() > SETTLE_DESPITE_SILENT && in_force > 0 && decided
    }

    /// Updates the status from the rollout. `replaced`: a later document has replaced this one;
    /// `give_up`: there is no room to track it any more. Returns whether the status has to be written.
    pub fn update(&mut self, rollout: Option<&Rollout>, replaced: bool, give_up: bool) -> bool {
        let before = self.status.clone();
        if let Some(rollout) = rollout.filter(|_| !self.status.stage.is_settled()) {
            self.status.update_counts(rollout);
        }
        let complete = rollout.is_some_and(Rollout::is_complete);
        match self.status.stage {
            Stage::Committed if complete && self.status.is_durable() => {
                self.status.stage = Stage::InForce;
                self.status.in_force_after_ms = Some(self.age_ms());
            }
            Stage::Committed if self.is_settled_despite_silent() => {
                self.status.stage = Stage::InForceWhereHeard;
            }
            Stage::Proposed | Stage::Committed if replaced => self.status.stage = Stage::Superseded,
            Stage::Proposed | Stage::Committed
                if give_up || self.published.elapsed() > TRACKING_TIMEOUT =>
            {
                self.status.stage = Stage::Unsettled;
            }
            // The stage was set by an event; the status is written once.
            _ => {}
        }
        before != self.status || self.status.stage.is_settled()
    }
}
