//! What one sidecar makes of its own attempts, before it says anything of a server.

use std::collections::BTreeMap;

use crate::Micros;
use crate::entry::Verdict;

/// How an attempt ended, as far as it tells of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// An answer that is no error, or a refusal: it lives.
    Answered,
    /// An error answer.
    Error,
    /// No connection came up, or it broke.
    Broken,
    /// The time was over.
    TimedOut,
}

/// So many failures in a row are told: one alone happens in any network.
const FAILURES: u32 = 2;
/// Servers that are watched; of more, those that answer are left out.
const MOST: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: u32,
    failed_at: Micros,
    heard: Micros,
    told: Option<Verdict>,
    /// Attempts that are out, and since when one of them waits while nothing was heard.
    out: u32,
    silent_since: Option<Micros>,
}

impl Record {
    /// One less is out; `heard`: something was heard then.
    fn settle(&mut self, heard: Option<Micros>) {
        self.out = self.out.saturating_sub(1);
        self.silent_since = match (self.out, heard) {
            (0, _) => None,
            (_, Some(now)) => Some(now),
            (_, None) => self.silent_since,
        };
    }
}

/// Attempts' ends by server.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    servers: BTreeMap<u64, Record>,
    /// Those that owe an answer, and of which nothing was said.
    waiting: BTreeMap<u64, Micros>,
}

impl Witness {
    /// An attempt goes out.
    pub fn sent(&mut self, now: Micros, server: u64) {
        if self.servers.len() >= MOST && !self.servers.contains_key(&server) {
            return;
        }
        let record = self.servers.entry(server).or_default();
        record.out += 1;
        record.silent_since.get_or_insert(now);
        self.await_answer(server);
    }

    /// Notes whether something is to be said if the server stays silent.
    fn await_answer(&mut self, server: u64) {
        let record = self.servers.get(&server).filter(|r| r.told.is_none());
        match record.and_then(|r| r.silent_since) {
            Some(since) => self.waiting.insert(server, since),
            None => self.waiting.remove(&server),
        };
    }

    /// Servers that have been silent for longer than `silence`, and of which that was not said.
    pub fn silent(&mut self, now: Micros, silence: Micros) -> Vec<u64> {
        let long = self.waiting.iter().filter(|(_, since)| now >= **since + silence);
        let found: Vec<u64> = long.map(|(server, _)| *server).collect();
        for server in &found {
            self.waiting.remove(server);
            if let Some(record) = self.servers.get_mut(server) {
                record.told = Some(Verdict::Silent);
            }
        }
        found
    }

    /// When the next one will have been.
    pub fn next_silent(&self, silence: Micros) -> Option<Micros> {
        self.waiting.values().min().map(|since| since + silence)
    }

    /// An attempt was called off, and tells nothing.
    pub fn called_off(&mut self, server: u64) {
        if let Some(record) = self.servers.get_mut(&server) {
            record.settle(None);
            self.await_answer(server);
        }
    }

    /// An attempt at a server has ended. What is to be said of the server now, if that is something else than before;
    /// `doubted`: somebody says that it does not answer.
    pub fn saw(
        &mut self,
        now: Micros,
        server: u64,
        sent: Micros,
        seen: Seen,
        doubted: bool,
    ) -> Option<Verdict> {
        let verdict = self.judge(now, server, sent, seen, doubted);
        self.await_answer(server);
        verdict
    }

    fn judge(
        &mut self,
        now: Micros,
        server: u64,
        sent: Micros,
        seen: Seen,
        doubted: bool,
    ) -> Option<Verdict> {
        let known = self.servers.contains_key(&server);
        if !known && (self.servers.len() >= MOST || seen == Seen::Answered && !doubted) {
            return None;
        }
        let record = self.servers.entry(server).or_default();
        record.settle((seen != Seen::TimedOut).then_some(now));
        let verdict = match seen {
            Seen::Answered => {
                let Record { told, out, silent_since, .. } = *record;
                *record = Record { heard: now, out, silent_since, ..Record::default() };
                return (doubted || told.is_some_and(|v| v != Verdict::Well))
                    .then_some(Verdict::Well);
            }
            // Hurried clients and long queues: while others are answered it is neither silent nor failing.
            Seen::TimedOut if record.heard > sent => return None,
            Seen::TimedOut => Verdict::Silent,
            Seen::Broken => Verdict::Refusing,
            Seen::Error => Verdict::Erring,
        };
        // What was out together and ended together is one failure.
        if record.failures > 0 && sent < record.failed_at {
            return None;
        }
        (record.failures, record.failed_at) = (record.failures + 1, now);
        if record.failures < FAILURES {
            return None;
        }
        record.told = Some(verdict);
        Some(verdict)
    }

    /// Servers that are gone are forgotten.
    pub fn forget(&mut self, server: u64) {
        self.servers.remove(&server);
        self.waiting.remove(&server);
    }
}
