//! Outcomes of this process's attempts, and which of them are reported to the fleet.

use std::collections::BTreeMap;

use crate::Micros;
use crate::entry::Verdict;

/// How an attempt ended, as far as that says something about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservedOutcome {
    /// An answer that is not an error, or a refusal: the server works.
    Answered,
    /// An answer that is an error.
    Error,
    /// No connection could be made, or it broke.
    Broken,
    /// No answer came in time.
    TimedOut,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// The server.
    pub server: u64,
    /// When it was sent.
    pub sent_at: Micros,
    /// How it ended.
    pub outcome: ObservedOutcome,
}

/// The number of consecutive failures that is reported. A single failure happens in any network.
const FAILURES_TO_REPORT: u32 = 2;
/// The maximum number of monitored servers. Beyond it, no further server is monitored.
const MAX_SERVERS: usize = 4096;

/// The state of one server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerRecord {
    failures: u32,
    failed_at: Micros,
    last_answer: Micros,
    reported: Option<Verdict>,
    /// Attempts that have not ended.
    outstanding: u32,
    /// Since when one of them is unanswered while the server has sent nothing.
    silent_since: Option<Micros>,
}

impl ServerRecord {
    /// Records the end of an attempt. `last_answer` is the current time if the server has sent something.
    fn attempt_ended(&mut self, last_answer: Option<Micros>) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.silent_since = match (self.outstanding, last_answer) {
            (0, _) => None,
            (_, Some(now)) => Some(now),
            (_, None) => self.silent_since,
        };
    }
}

/// Outcomes of this process's attempts, by server.
#[derive(Clone, Debug, Default)]
pub struct AttemptMonitor {
    servers: BTreeMap<u64, ServerRecord>,
    /// Servers with an unanswered attempt and without a report, each with the time since when.
    awaiting_answer: BTreeMap<u64, Micros>,
}

impl AttemptMonitor {
    /// Records that an attempt was sent.
    pub fn on_attempt_sent(&mut self, now: Micros, server: u64) {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&server) {
            return;
        }
        let record = self.servers.entry(server).or_default();
        record.outstanding += 1;
        record.silent_since.get_or_insert(now);
        self.update_awaiting_answer(server);
    }

    /// Updates whether the server is to be reported if it stays silent.
    fn update_awaiting_answer(&mut self, server: u64) {
        let record = self.servers.get(&server).filter(|r| r.reported.is_none());
        match record.and_then(|r| r.silent_since) {
            Some(since) => self.awaiting_answer.insert(server, since),
            None => self.awaiting_answer.remove(&server),
        };
    }

    /// Returns servers that have been silent for `silence` microseconds, and marks them as reported. Servers that are
    /// already reported are left out.
    pub fn take_silent_servers(&mut self, now: Micros, silence: Micros) -> Vec<u64> {
        let overdue = self.awaiting_answer.iter().filter(|(_, since)| now >= **since + silence);
        let found: Vec<u64> = overdue.map(|(server, _)| *server).collect();
        for server in &found {
            self.awaiting_answer.remove(server);
            if let Some(record) = self.servers.get_mut(server) {
                record.reported = Some(Verdict::Silent);
            }
        }
        found
    }

    /// When the next server will have been silent for `silence` microseconds.
    pub fn next_silence_at(&self, silence: Micros) -> Option<Micros> {
        self.awaiting_answer.values().min().map(|since| since + silence)
    }

    /// Records that an attempt was cancelled; its outcome says nothing.
    pub fn on_attempt_cancelled(&mut self, server: u64) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.attempt_ended(None);
            self.update_awaiting_answer(server);
        }
    }

    /// Records the end of an attempt. Returns the verdict to report, if it differs from the last report. `suspected`:
    /// another member reports failures of this server.
    pub fn on_attempt_ended(
        &mut self,
        now: Micros,
        attempt: &EndedAttempt,
        suspected: bool,
    ) -> Option<Verdict> {
        let verdict = self.evaluate(now, attempt, suspected);
        self.update_awaiting_answer(attempt.server);
        verdict
    }

    fn evaluate(
        &mut self,
        now: Micros,
        attempt: &EndedAttempt,
        suspected: bool,
    ) -> Option<Verdict> {
        let EndedAttempt { server, sent_at, outcome } = *attempt;
        let known = self.servers.contains_key(&server);
        let room = self.servers.len() < MAX_SERVERS;
        if !known && (!room || outcome == ObservedOutcome::Answered && !suspected) {
            return None;
        }
        let record = self.servers.entry(server).or_default();
        record.attempt_ended((outcome != ObservedOutcome::TimedOut).then_some(now));
        let verdict = match outcome {
            ObservedOutcome::Answered => {
                let ServerRecord { reported, outstanding, silent_since, .. } = *record;
                *record = ServerRecord {
                    last_answer: now,
                    outstanding,
                    silent_since,
                    ..ServerRecord::default()
                };
                return (suspected || reported.is_some_and(|v| v != Verdict::Well))
                    .then_some(Verdict::Well);
            }
            // Short client timeouts and long queues cause timeouts too. A server that answers others meanwhile is not
            // silent.
            ObservedOutcome::TimedOut if record.last_answer > sent_at => return None,
            ObservedOutcome::TimedOut => Verdict::Silent,
            ObservedOutcome::Broken => Verdict::Refusing,
            ObservedOutcome::Error => Verdict::Erring,
        };
        // Attempts that were outstanding at the same time count as one failure.
        if record.failures > 0 && sent_at < record.failed_at {
            return None;
        }
        (record.failures, record.failed_at) = (record.failures + 1, now);
        if record.failures < FAILURES_TO_REPORT {
            return None;
        }
        record.reported = Some(verdict);
        Some(verdict)
    }

    /// Drops a server that is no longer listed.
    pub fn forget(&mut self, server: u64) {
        self.servers.remove(&server);
        self.awaiting_answer.remove(&server);
    }
}
