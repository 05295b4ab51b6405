//! Jobs of the fleet, publication of documents, and the replay progress of stores of buffered writes.

use std::time::Duration;

use millethook_lease::{JobId, Token};
use millethook_replica::EntryValue;
use millethook_view::Micros;

use super::Fleet;
use crate::distribution::{DocumentKey, PublishError, Version};

impl Fleet {
    /// Requests a job of the fleet after `wait`, with leases of `length`. Returns false without leases or with too many
    /// jobs.
    pub fn request_job(&self, job: JobId, length: Duration, wait: Duration) -> bool {
        let requested = self.leases.as_ref().is_some_and(|leases| {
            let micros = |d: Duration| d.as_micros() as Micros;
            leases.request(self.now(), job, micros(length), micros(wait))
        });
        self.wake.notify_one();
        requested
    }

    /// Withdraws the request for a job and releases the job if it is owned.
    pub fn release_job(&self, job: JobId) {
        if let Some(leases) = &self.leases {
            leases.release(self.now(), job);
            self.wake.notify_one();
        }
    }

    /// Returns the token under which this process owns a job now. Callers check it immediately before each side effect.
    pub fn holds(&self, job: JobId) -> Option<Token> {
        self.leases.as_ref()?.holds(self.now(), job)
    }

    /// Records a token that was seen on whatever the job changes: the next claim uses a higher one.
    pub fn observe_token(&self, job: JobId, token: Token) {
        if let Some(leases) = &self.leases {
            leases.observe_token(job, token);
        }
    }

    /// Publishes a document, or retracts it with None, if this process is the writer.
    ///
    /// # Errors
    /// This process is not the writer, or the document is rejected.
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

    /// Publishes how far a store of buffered writes has been replayed. Returns false if a higher token is known or
    /// nothing is shared.
    pub fn publish_edge(&self, edge: u64, value: EntryValue) -> bool {
        let published =
            self.evidence.as_ref().is_some_and(|e| e.publish_edge(self.now(), edge, value));
        self.wake.notify_one();
        published
    }

    /// Returns the latest entry of a store of buffered writes, and its age.
    pub fn edge(&self, edge: u64) -> Option<(EntryValue, Duration)> {
        let (value, age) = self.evidence.as_ref()?.edge(self.now(), edge)?;
        Some((value, Duration::from_micros(age)))
    }

    /// Queries a member for the entry of a store; [`Fleet::edge`] returns it after the answer has arrived.
    pub fn query_edge(&self, member: u16, edge: u64) {
        if let Some(evidence) = &self.evidence {
            evidence.query_edge(self.now(), member, edge);
            self.wake.notify_one();
        }
    }
}
