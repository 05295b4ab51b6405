//! What the attempts of a request tell about their answers, and what they are asked to do.

use std::cell::Cell;

use tokio::sync::Notify;

/// A set of attempts of one request. Those beyond the last bit are never in it.
#[derive(Debug, Default)]
struct AttemptSet(Cell<u64>);

impl AttemptSet {
    fn insert(&self, attempt: usize) {
        self.0.set(self.0.get() | AttemptSet::bit(attempt));
    }

    fn remove(&self, attempt: usize) -> bool {
        let contained = self.contains(attempt);
        self.0.set(self.0.get() & !AttemptSet::bit(attempt));
        contained
    }

    fn contains(&self, attempt: usize) -> bool {
        self.0.get() & AttemptSet::bit(attempt) != 0
    }

    fn bit(attempt: usize) -> u64 {
        u32::try_from(attempt).ok().and_then(|attempt| 1u64.checked_shl(attempt)).unwrap_or(0)
    }
}

/// The progress of the answers to a request.
#[derive(Debug, Default)]
pub struct AnswerProgress {
    begun: AttemptSet,
    reported: AttemptSet,
    paused: AttemptSet,
    to_pass_on: AttemptSet,
    pass_on: Notify,
}

impl AnswerProgress {
    /// Records that the answer to an attempt has begun and can be passed on.
    pub(super) fn record_begin(&self, attempt: usize) {
        self.begun.insert(attempt);
    }

    /// Records that the answer to an attempt has paused for as long as the aim.
    pub(super) fn record_pause(&self, attempt: usize) {
        self.paused.insert(attempt);
    }

    /// Whether the answer to an attempt has begun.
    pub fn has_begun(&self, attempt: usize) -> bool {
        self.begun.contains(attempt)
    }

    /// Whether the answer to an attempt has begun since the last call.
    pub fn take_begin(&self, attempt: usize) -> bool {
        let is_new = self.has_begun(attempt) && !self.reported.contains(attempt);
        if is_new {
            self.reported.insert(attempt);
        }
        is_new
    }

    /// Whether the answer to an attempt has paused since the last call.
    pub fn take_pause(&self, attempt: usize) -> bool {
        self.paused.remove(attempt)
    }

    /// Asks an attempt to pass on what has arrived of its answer.
    pub fn request_pass_on(&self, attempt: usize) {
        self.to_pass_on.insert(attempt);
        self.pass_on.notify_waiters();
    }

    /// Waits until the attempt is asked to pass on its answer. Cancel safe.
    pub(super) async fn pass_on_requested(&self, attempt: usize) {
        loop {
            let notified = self.pass_on.notified();
            if self.to_pass_on.contains(attempt) {
                return;
            }
            notified.await;
        }
    }
}
