//! Work of the fleet: its jobs, documents that are published, and stores of kept writes.

use std::time::Duration;

use millethook_lease::{JobId, Token};
use millethook_replica::EntryValue;
use millethook_view::Micros;

use super::Fleet;
use crate::distribution::{DocumentKey, PublishError, Version};

impl Fleet {
    /// Asks for a job of the fleet after `wait`, with leases of `length`. False: there are no leases, or too many jobs.
    pub fn request_job(&self, job: JobId, length: Duration, wait: Duration) -> bool {
        let wanted = self.leases.as_ref().is_some_and(|leases| {
            let micros = |d: Duration| d.as_micros() as Micros;
            leases.request(self.now(), job, micros(length), micros(wait))
        });
        self.wake.notify_one();
        wanted
    }

    /// Stops asking for a job, and releases it if it is owned.
    pub fn release_job(&self, job: JobId) {
        if let Some(leases) = &self.leases {
            leases.release(self.now(), job);
            self.wake.notify_one();
        }
    }

    /// The token under which this process owns a job now. To be asked immediately before each effect.
    pub fn holds(&self, job: JobId) -> Option<Token> {
        self.leases.as_ref()?.holds(self.now(), job)
    }

    /// This token was seen elsewhere, by whatever the job changes: the next claim goes above it.
    pub fn observe_token(&self, job: JobId, token: Token) {
        if let Some(leases) = &self.leases {
            leases.observe_token(job, token);
        }
    }

    /// Publishes a document, or with None retracts it, if this process is the writer.
    ///
    /// # Errors
    /// This process is not the writer, or the document is refused.
    pub fn publish(
        &self,
        key: DocumentKey,
        body: Option<Vec<u8>>,
    ) -> Result<Version, PublishError> {
        let (distribution, leases) = self
            .distribution
            .as_ref()
            .zip(self.leases.as_ref())
            .ok_or(PublishError::NotWriter(None))?;
        distribution.publish(leases, key, body)
    }

    /// Publishes how far a store of kept writes has been replayed. False: a higher token is known, or nothing is
    /// shared.
    pub fn publish_edge(&self, edge: u64, value: EntryValue) -> bool {
        let said = self.evidence.as_ref().is_some_and(|e| e.publish_edge(self.now(), edge, value));
        self.wake.notify_one();
        said
    }

    /// The latest entry of a store of kept writes, and its age.
    pub fn edge(&self, edge: u64) -> Option<(EntryValue, Duration)> {
        let (value, age) = self.evidence.as_ref()?.edge(self.now(), edge)?;
        Some((value, Duration::from_micros(age)))
    }

    /// Queries a member for the entry of a store; once the answer has come, [`Fleet::edge`] returns it.
    pub fn query_edge(&self, member: u16, edge: u64) {
        if let Some(evidence) = &self.evidence {
            evidence.query_edge(self.now(), member, edge);
            self.wake.notify_one();
        }
    }
}
