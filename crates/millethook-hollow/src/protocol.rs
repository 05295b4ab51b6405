//! The protocol between conductor and hosts: JSON lines on the host's standard input and output.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::address::Addresses;
use crate::plan::{Action, Plan};

/// The first line to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    /// The number of this host; see [`Plan::members_of`].
    pub host: usize,
    /// The plan. Its steps are ignored.
    pub plan: Plan,
    /// The address range of the members.
    pub addresses: Addresses,
    /// The host exits on its own after this time, in seconds.
    pub limit_s: f64,
}

/// Every further line to a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Command {
    /// The number of the step, from 1.
    pub step: usize,
    /// The action, or `None` at the end of the run: the host then exits after its last report.
    pub action: Option<Action>,
}

/// A line from a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Report {
    /// All sockets are bound.
    Ready,
    /// A periodic sample of the current state.
    Sample(Sample),
    /// The counters of a completed step.
    Phase(Box<Phase>),
    /// The host exits with an error.
    Failed {
        /// The reason.
        why: String,
    },
}

/// Sidecars with equal state on one side of a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgreementClass {
    /// The side of the partition.
    pub side: u8,
    /// The hash of their state.
    pub hash: u64,
    /// How many of them match the ground truth.
    pub settled: usize,
}

/// The current state at a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Sample {
    /// The step.
    pub step: usize,
    /// Number of running sidecars.
    pub live: usize,
    /// The largest classes.
    pub classes: Vec<AgreementClass>,
    /// Rollout of the last document as known to the writer, or `None` if the writer is at another host or has
    /// published nothing.
    pub rollout: Option<RolloutStatus>,
}

/// The rollout of the last document, as known to the writer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Sidecars in the document's scope.
    pub expected: u32,
    /// Sidecars where it is in force.
    pub in_force: u32,
    /// Sidecars that refused it.
    pub refused: u32,
    /// Sidecars without a status.
    pub not_heard: u32,
    /// Control nodes that have not reported.
    pub control_nodes_missing: u32,
}

/// Bytes sent, by kind of content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BytesByKind {
    /// Frame headers.
    pub headers: u64,
    /// Records of the view.
    pub view: u64,
    /// Records of the replica.
    pub evidence: u64,
    /// Records of leases.
    pub lease: u64,
    /// Records of all other kinds: documents and digests.
    pub other: u64,
}

impl BytesByKind {
    /// Returns the total.
    pub fn sum(&self) -> u64 {
        self.headers + self.view + self.evidence + self.lease + self.other
    }

    /// Adds the counts of `more`.
    pub fn add(&mut self, more: &BytesByKind) {
        self.headers += more.headers;
        self.view += more.view;
        self.evidence += more.evidence;
        self.lease += more.lease;
        self.other += more.other;
    }
}

/// The counters of a host for one step.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Phase {
    /// The step.
    pub step: usize,
    /// Duration in seconds.
    pub length_s: f64,
    /// Bytes sent by each member that ran at the end of the step.
    pub sent: Vec<u64>,
    /// For each member that ran at the end: when its state finally matched the ground truth, in milliseconds after
    /// the beginning of the step, or `None` if it did not.
    pub settled_ms: Vec<Option<f64>>,
    /// The same for each member that started in this step, in milliseconds after its own start.
    pub joined_ms: Vec<Option<f64>>,
    /// Histogram of the milliseconds from a document's publication until a sidecar had it in force.
    pub in_force_ms: BTreeMap<u32, u64>,
    /// Invariants that `check` found violated: member, name and values of the first one of each member.
    pub violations: Vec<String>,
    /// Bytes sent by all members, by kind.
    pub kinds: BytesByKind,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Datagrams received by running members.
    pub received: u64,
    /// Datagrams lost at random or to a partition.
    pub lost: u64,
    /// Datagrams that the kernel or the full queue refused.
    pub refused: u64,
    /// Processor time of the host, in seconds.
    pub processor_s: f64,
    /// The part of it spent in state machines, by the thread's processor clock.
    pub machines_s: f64,
    /// Resident bytes at the end, less those before the first member started.
    pub resident: u64,
    /// Verdicts of dead about members that ran and could be reached.
    pub false_dead: u64,
    /// Verdicts of suspect about members that ran and could be reached.
    pub false_suspect: u64,
    /// How often state machines detected that they had not run for a long time.
    pub stalls: u64,
    /// Mean lateness of served timers, in milliseconds.
    pub late_mean_ms: f64,
    /// Maximum lateness of served timers, in milliseconds.
    pub late_max_ms: f64,
}

impl Phase {
    /// Adds the counters of another host for the same step.
    pub fn add(&mut self, more: Phase) {
        let hosts = |phase: &Phase| phase.sent.len() as f64;
        let weight = hosts(self) + hosts(&more);
        if weight > 0.0 {
            self.late_mean_ms =
                (self.late_mean_ms * hosts(self) + more.late_mean_ms * hosts(&more)) / weight;
        }
        self.step = more.step;
        self.length_s = self.length_s.max(more.length_s);
        self.sent.extend(more.sent);
        self.settled_ms.extend(more.settled_ms);
        self.joined_ms.extend(more.joined_ms);
        for (ms, count) in more.in_force_ms {
            *self.in_force_ms.entry(ms).or_default() += count;
        }
        self.violations.extend(more.violations);
        self.kinds.add(&more.kinds);
        self.datagrams += more.datagrams;
        self.received += more.received;
        self.lost += more.lost;
        self.refused += more.refused;
        self.processor_s += more.processor_s;
        self.machines_s += more.machines_s;
        self.resident += more.resident;
        self.false_dead += more.false_dead;
        self.false_suspect += more.false_suspect;
        self.stalls += more.stalls;
        self.late_max_ms = self.late_max_ms.max(more.late_max_ms);
    }
}
