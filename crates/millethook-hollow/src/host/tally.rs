//! Counters of a host during a step.

use std::collections::BTreeMap;
use std::time::Duration;

use millethook_frames::Frame;

use crate::Micros;
use crate::protocol::{BytesByKind, Phase};
use crate::sidecar::{EVIDENCE, LEASE, VIEW};
use crate::usage;

/// Size of a record's header: kind and length.
const RECORD_HEADER_BYTES: u64 = 2;

/// Counters since the beginning of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tally {
    pub step: usize,
    pub begun: Micros,
    pub kinds: BytesByKind,
    pub datagrams: u64,
    pub received: u64,
    pub lost: u64,
    pub false_dead: u64,
    pub false_suspect: u64,
    /// Processor time spent in state machines.
    pub machines: Duration,
    /// Number of documents by the milliseconds from publication to being in force.
    pub in_force_ms: BTreeMap<u32, u64>,
    late: (u64, Micros, Micros),
    processor: Duration,
    refused: u64,
    stalls: u64,
}

/// Counters that are not reset between steps.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CumulativeCounts {
    pub refused: u64,
    pub stalls: u64,
}

impl Tally {
    pub fn begin(step: usize, now: Micros, cumulative_counts: CumulativeCounts) -> Tally {
        let CumulativeCounts { refused, stalls } = cumulative_counts;
        let processor = usage::process_time();
        Tally { step, begun: now, processor, refused, stalls, ..Tally::default() }
    }

    /// Counts a sent datagram.
    pub fn sent(&mut self, bytes: &[u8]) {
        self.datagrams += 1;
        let Ok(frame) = Frame::parse(bytes) else { return };
        let mut rest = bytes.len() as u64;
        for (kind, content) in frame.records() {
            let length = content.len() as u64 + RECORD_HEADER_BYTES;
            rest -= length;
            let count = match kind {
                k if k == VIEW.number => &mut self.kinds.view,
                k if k == EVIDENCE.number => &mut self.kinds.evidence,
                k if k == LEASE.number => &mut self.kinds.lease,
                _ => &mut self.kinds.other,
            };
            *count += length;
        }
        self.kinds.headers += rest;
    }

    /// Counts a document that came into force `after` microseconds after its publication.
    pub fn in_force(&mut self, after: Micros) {
        let ms = u32::try_from(after / 1_000).unwrap_or(u32::MAX);
        *self.in_force_ms.entry(ms).or_default() += 1;
    }

    /// Counts a served timer and how late it was.
    pub fn served(&mut self, due: Micros, now: Micros) {
        let late = now.saturating_sub(due);
        let (count, sum, worst) = self.late;
        self.late = (count + 1, sum + late, worst.max(late));
    }

    /// Returns the report of the step.
    pub fn end(
        &self,
        now: Micros,
        cumulative_counts: CumulativeCounts,
        resident_before: u64,
    ) -> Phase {
        let (count, sum, worst) = self.late;
        Phase {
            step: self.step,
            length_s: now.saturating_sub(self.begun) as f64 / 1e6,
            kinds: self.kinds,
            datagrams: self.datagrams,
            received: self.received,
            in_force_ms: self.in_force_ms.clone(),
            lost: self.lost,
            refused: cumulative_counts.refused - self.refused,
            processor_s: usage::process_time().saturating_sub(self.processor).as_secs_f64(),
            machines_s: self.machines.as_secs_f64(),
            resident: usage::resident_bytes().saturating_sub(resident_before),
            false_dead: self.false_dead,
            false_suspect: self.false_suspect,
            stalls: cumulative_counts.stalls.saturating_sub(self.stalls),
            late_mean_ms: sum as f64 / 1e3 / count.max(1) as f64,
            late_max_ms: worst as f64 / 1e3,
            ..Phase::default()
        }
    }
}
