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
}

/// Attempts' ends by server.
#[derive(Clone, Debug, Default)]
pub struct Witness {
    servers: BTreeMap<u64, Record>,
}

impl Witness {
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
        let known = self.servers.contains_key(&server);
        if !known && (self.servers.len() >= MOST || seen == Seen::Answered && !doubted) {
            return None;
        }
        let record = self.servers.entry(server).or_default();
        let verdict = match seen {
            Seen::Answered => {
                let told = record.told;
                self.servers.insert(server, Record { heard: now, ..Record::default() });
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
    }
}
