//! What became of a request: a file of its own, replaced as things go on.

use std::path::{Path, PathBuf};

use millethook_engine::distribution::{Rollout, Version};
use serde::{Deserialize, Serialize};

use super::request::NamedScope;

/// Beside the requests.
const FOLDER: &str = "status";

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It makes no sense, or there is no room; nothing was published.
    Rejected,
    /// This control node was not the writer for too long; nothing was published.
    NotTheWriter,
    /// It lay there for too long; nothing was published.
    Expired,
    /// It has a version; a majority of the control nodes has not accepted it yet.
    Proposed,
    /// A majority of the control nodes has accepted it, in memory, and it goes to the sidecars.
    Committed,
    /// It is in force at all sidecars that it is for and that were heard of, and a majority of the control nodes has it
    /// on disk.
    InForce,
    /// It is in force at all that were heard of since; others, or whole control nodes, are silent, or less than a majority
    /// of the control nodes has it on disk.
    InForceWhereHeard,
    /// Too many refused it: what was in force before is published again.
    Stopped,
    /// A later document of the same scope has replaced it.
    Superseded,
    /// Nothing has changed for long; it is not looked at any more.
    Unsettled,
}

impl Stage {
    /// Whether it is in force as far as that can be known.
    pub fn is_in_force(self) -> bool {
        matches!(self, Stage::InForce | Stage::InForceWhereHeard)
    }

    /// Whether nothing more is to come.
    pub fn is_settled(self) -> bool {
        !matches!(self, Stage::Proposed | Stage::Committed)
    }
}

/// Who refused a document first, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FirstRefusal {
    /// Its member number.
    pub member: u16,
    /// What kind of fault: 1, the document makes no sense; 2, merged into that sidecar's settings it makes none.
    pub code: u8,
    /// What was wrong.
    pub reason: String,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// How far it is.
    pub stage: Stage,
    /// For whom it is.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub scope: Option<NamedScope>,
    /// What was wrong.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub error: Option<String>,
    /// Its version.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub version: Option<Version>,
    /// Sidecars where it is in force.
    pub in_force: u32,
    /// Sidecars that it is for and that were heard of.
    pub expected: u32,
    /// Sidecars that refused it.
    pub refused: u32,
    /// The first of these.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub first_refusal: Option<FirstRefusal>,
    /// Sidecars that were silent since it was published.
    pub not_heard: u32,
    /// Some of these.
    pub not_heard_members: Vec<u16>,
    /// Sidecars that have just come from another control node and are counted in a moment.
    #[serde(default)]
    pub moving: u32,
    /// Control nodes that have it on their disk.
    #[serde(default)]
    pub on_disk: u32,
    /// Control nodes that there are.
    #[serde(default)]
    pub control_nodes: u32,
    /// Control nodes that have not reported.
    pub control_nodes_missing: u32,
    /// The version under which what was before was put back.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub restored: Option<Version>,
    /// Milliseconds from its publication until a majority had accepted it.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub committed_after_ms: Option<u64>,
    /// Milliseconds from its publication until it was known to be in force everywhere.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub in_force_after_ms: Option<u64>,
}

impl Status {
    /// One that nothing more is known of.
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

    /// The same with what was wrong.
    pub fn because(self, error: impl Into<String>) -> Status {
        Status { error: Some(error.into()), ..self }
    }

    /// Takes over how far the document has come.
    pub fn count(&mut self, rollout: &Rollout) {
        self.in_force = rollout.in_force;
        self.expected = rollout.expected;
        self.refused = rollout.refused;
        self.not_heard = rollout.not_heard;
        self.not_heard_members = rollout.not_heard_members.clone();
        self.moving = rollout.moving;
        // What is on a disk stays there while its control node is silent.
        self.on_disk = self.on_disk.max(rollout.persisted);
        self.control_nodes = rollout.control_nodes;
        self.control_nodes_missing = rollout.control_nodes_missing;
        self.first_refusal = rollout.first_refusal.as_ref().map(|(member, refusal)| FirstRefusal {
            member: *member,
            code: refusal.code,
            reason: refusal.reason.clone(),
        });
    }

    /// Whether a majority of the control nodes has it on disk.
    pub fn is_durable(&self) -> bool {
        self.control_nodes > 0 && self.on_disk > self.control_nodes / 2
    }

    /// It in words, for one line.
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

/// The folder of all statuses.
pub fn folder(of: &Path) -> PathBuf {
    of.join(FOLDER)
}

/// The file of a request's status.
pub fn path(of: &Path, request: &str) -> PathBuf {
    folder(of).join(format!("{request}.json"))
}
