//! The status of a request: one file per request, replaced at each change.

use std::path::{Path, PathBuf};

use millethook_engine::distribution::{Rollout, Version};
use serde::{Deserialize, Serialize};

use super::request::NamedScope;

/// Name of the folder of statuses, inside the folder of requests.
const STATUS_FOLDER: &str = "status";

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The request is invalid, or there is no room; nothing was published.
    Rejected,
    /// This control node did not become the writer in time; nothing was published.
    NotTheWriter,
    /// The request was too old; nothing was published.
    Expired,
    /// The document has a version; a majority of the control nodes has not accepted it yet.
    Proposed,
    /// A majority of the control nodes has accepted it in memory, and it is being sent to the sidecars.
    Committed,
    /// It is in force at all known sidecars of its scope, and a majority of the control nodes has it on
    /// disk.
    InForce,
    /// It is in force at all sidecars that have reported since. Other sidecars or control nodes are
    /// silent, or no majority of the control nodes has it on disk.
    InForceWhereHeard,
    /// Too many sidecars refused it; the previous document is published again.
    Stopped,
    /// A later document of the same scope has replaced it.
    Superseded,
    /// The rollout did not complete in time and is no longer tracked.
    Unsettled,
}

impl Stage {
    /// Whether the document is in force at all sidecars that have reported.
    pub fn is_in_force(self) -> bool {
        matches!(self, Stage::InForce | Stage::InForceWhereHeard)
    }

    /// Whether the stage is final.
    pub fn is_settled(self) -> bool {
        !matches!(self, Stage::Proposed | Stage::Committed)
    }
}

/// The first refusal of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstRefusal {
    /// Member number of the sidecar that refused it.
    pub member: u16,
    /// 1 if the document is invalid, 2 if the sidecar's settings merged with it are invalid.
    pub code: u8,
    /// Why it was refused.
    pub reason: String,
}

/// The status of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How far the request has come.
    pub stage: Stage,
    /// The sidecars that the document is for.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub scope: Option<NamedScope>,
    /// Why the document was not published.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<String>,
    /// Version of the document.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<Version>,
    /// Number of sidecars where the document is in force.
    pub in_force: u32,
    /// Number of known sidecars that the document is for.
    pub expected: u32,
    /// Number of sidecars that refused the document.
    pub refused: u32,
    /// The first refusal.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub first_refusal: Option<FirstRefusal>,
    /// Number of sidecars that have not reported since the publication.
    pub not_heard: u32,
    /// Some of these sidecars.
    pub not_heard_members: Vec<u16>,
    /// Number of sidecars that have just moved from another control node and are not counted yet.
    #[serde(default)]
    pub moving: u32,
    /// Number of control nodes that have the document on disk.
    #[serde(default)]
    pub on_disk: u32,
    /// Number of control nodes.
    #[serde(default)]
    pub control_nodes: u32,
    /// Number of control nodes that have not reported.
    pub control_nodes_missing: u32,
    /// The new version of the previous document, if that was published again.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub restored: Option<Version>,
    /// Milliseconds from the publication until a majority had accepted the document.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub committed_after_ms: Option<u64>,
    /// Milliseconds from the publication until the document was known to be in force everywhere.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_after_ms: Option<u64>,
}

impl Status {
    /// A status at `stage` without further details.
    pub fn new(stage: Stage, scope: Option<NamedScope>) -> Status {
        Status {
            stage,
            scope,
            error: None,
            version: None,
            in_force: 0,
            expected: 0,
            refused: 0,
            first_refusal: None,
            not_heard: 0,
            not_heard_members: Vec::new(),
            moving: 0,
            on_disk: 0,
            control_nodes: 0,
            control_nodes_missing: 0,
            restored: None,
            committed_after_ms: None,
            in_force_after_ms: None,
        }
    }

    /// Adds the error.
    pub fn with_error(self, error: impl Into<String>) -> Status {
        Status { error: Some(error.into()), ..self }
    }

    /// Copies the counts of the rollout.
    pub fn update_counts(&mut self, rollout: &Rollout) {
        self.in_force = rollout.in_force;
        self.expected = rollout.expected;
        self.refused = rollout.refused;
        self.not_heard = rollout.not_heard;
        self.not_heard_members = rollout.not_heard_members.clone();
        self.moving = rollout.moving;
        // A document on disk stays there while its control node is silent, so the count never falls.
        self.on_disk = self.on_disk.max(rollout.persisted);
        self.control_nodes = rollout.control_nodes;
        self.control_nodes_missing = rollout.control_nodes_missing;
        self.first_refusal = rollout.first_refusal.as_ref().map(|(member, refusal)| FirstRefusal {
            member: *member,
            code: refusal.code,
            reason: refusal.reason.clone(),
        });
    }

    /// Whether a majority of the control nodes has the document on disk.
    pub fn is_durable(&self) -> bool {
        self.control_nodes > 0 && self.on_disk > self.control_nodes / 2
    }

    /// The status as one line of text.
    pub fn describe(&self) -> String {
        let scope = self.scope.as_ref().map_or("?".to_owned(), ToString::to_string);
        let stage = match self.stage {
            Stage::Rejected => "rejected",
            Stage::NotTheWriter => "not published: not the writer",
            Stage::Expired => "not published: too old",
            Stage::Proposed => "proposed",
            Stage::Committed => "committed",
            Stage::InForce => "in force everywhere",
            Stage::InForceWhereHeard => {
                "in force wherever it is known, others are silent or have it in memory only"
            }
            Stage::Stopped => "stopped, and what was before is put back",
            Stage::Superseded => "superseded by a later document",
            Stage::Unsettled => "not everywhere in force",
        };
        let mut words = vec![format!("{scope}: {stage}")];
        words.extend(self.error.clone());
        if let Some(version) = self.version {
            words.push(format!("version {version}"));
            words.push(format!("in force {} of {}", self.in_force, self.expected));
            words.push(format!(
                "on disk at {} of {} control nodes",
                self.on_disk, self.control_nodes
            ));
        }
        if self.refused > 0 {
            let first = self.first_refusal.as_ref();
            let first =
                first.map_or(String::new(), |f| format!(" (first {}: {})", f.member, f.reason));
            words.push(format!("refused {}{first}", self.refused));
        }
        if self.not_heard > 0 {
            words.push(format!("not heard of {} {:?}", self.not_heard, self.not_heard_members));
        }
        if self.moving > 0 {
            words.push(format!("{} move between control nodes", self.moving));
        }
        if self.control_nodes_missing > 0 {
            words.push(format!("{} control nodes have not reported", self.control_nodes_missing));
        }
        words.extend(self.restored.map(|version| format!("restored as {version}")));
        words.extend(self.in_force_after_ms.map(|ms| format!("in force after {ms} ms")));
        words.join(", ")
    }
}

/// The folder of statuses inside the folder of requests.
pub fn folder(requests: &Path) -> PathBuf {
    requests.join(STATUS_FOLDER)
}

/// Path of the status file of a request.
pub fn path(requests: &Path, request: &str) -> PathBuf {
    folder(requests).join(format!("{request}.json"))
}
