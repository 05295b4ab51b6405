//! Fetches one list: calls are placed in discovery's queue until one of them is answered.
//!
//! A call keeps its place in the queue for as long as its turn may still come. Keepalive probes detect a silently
//! dead connection, and its call is placed again. Probes cannot tell a long queue from a call that was lost behind a
//! live connection, so after a while a second call is placed behind the first one, which stays. At most two calls are
//! queued: a fleet at worst doubles the load of discovery, and the second calls stand behind all first ones. This
//! module has no clock and no I/O.

use std::time::{Duration, Instant};

use super::call_timing::CallTiming;

/// The most queued calls of one sidecar.
const MAX_QUEUED_CALLS: u32 = 2;
/// A call whose connection was lost is placed again after a random delay of at most this, because one middlebox may
/// drop the connections of a whole fleet at once. Together with the time to detect the loss (4 s) and to connect (0.5
/// s), it is less than the 6 s after which the platform treats updates as known.
const RECONNECT_SPREAD: Duration = Duration::from_secs(1);

/// What the caller must do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Place a call, and report it to [`ListFetch::on_placed`].
    PlaceCall,
    /// Wait until then, or until a call ends.
    Wait(Instant),
    /// Drop all calls: nothing has arrived for as long as an answer can be expected.
    GiveUp,
}

/// The calls for one list.
#[derive(Clone, Debug)]
pub struct ListFetch {
    /// When the list was first requested.
    started: Instant,
    /// Calls that wait for their answers.
    queued_calls: u32,
    /// When the first of them was placed.
    waiting_since: Instant,
    /// When the next call is due.
    next_due: Instant,
}

impl ListFetch {
    /// Starts a fetch whose first call is due at once.
    pub fn new(now: Instant) -> ListFetch {
        ListFetch { started: now, queued_calls: 0, waiting_since: now, next_due: now }
    }

    /// Starts a fetch after discovery has just refused a call.
    pub fn after_refusal(now: Instant, timing: &mut CallTiming, random: f64) -> ListFetch {
        let mut fetch = ListFetch::new(now);
        fetch.back_off(now, timing, random);
        fetch
    }

    /// Starts a fetch after the connection of a call has just been lost; `random` is in `0.0..1.0`.
    pub fn after_loss(now: Instant, random: f64) -> ListFetch {
        let mut fetch = ListFetch::new(now);
        fetch.on_lost(now, random);
        fetch
    }

    /// Returns what to do now.
    pub fn poll(&self, now: Instant, timing: &CallTiming) -> Step {
        let end = self.waiting_since + timing.give_up_after();
        if self.queued_calls > 0 && now >= end {
            return Step::GiveUp;
        }
        if self.queued_calls == MAX_QUEUED_CALLS {
            return Step::Wait(end);
        }
        if now >= self.next_due {
            return Step::PlaceCall;
        }
        Step::Wait(if self.queued_calls > 0 { self.next_due.min(end) } else { self.next_due })
    }

    /// A call was placed; `random` is in `0.0..1.0`.
    pub fn on_placed(&mut self, now: Instant, timing: &CallTiming, random: f64) {
        if self.queued_calls == 0 {
            self.waiting_since = now;
        }
        self.queued_calls += 1;
        self.next_due = now + timing.random_second_call_delay(random);
    }

    /// The connection of a call was lost silently, and with it the call's place in the queue; `random` is in
    /// `0.0..1.0`. Another queued call keeps its place, and the next call comes as if that one had been the only one.
    pub fn on_lost(&mut self, now: Instant, random: f64) {
        self.queued_calls = self.queued_calls.saturating_sub(1);
        if self.queued_calls == 0 {
            self.next_due = now + RECONNECT_SPREAD.mul_f64(random.clamp(0.0, 1.0));
        }
    }

    /// A call was refused. Another queued call keeps its place.
    pub fn on_refused(&mut self, now: Instant, timing: &mut CallTiming, random: f64) {
        self.queued_calls = self.queued_calls.saturating_sub(1);
        self.back_off(now, timing, random);
    }

    /// A call ended without an answer or a refusal. Returns whether another one is still queued.
    ///
    /// A second connection may fail because discovery has too many connections; the first call may still be answered.
    pub fn on_broken(&mut self, now: Instant, timing: &mut CallTiming, random: f64) -> bool {
        self.queued_calls = self.queued_calls.saturating_sub(1);
        if self.queued_calls > 0 {
            self.back_off(now, timing, random);
        }
        self.queued_calls > 0
    }

    fn back_off(&mut self, now: Instant, timing: &mut CallTiming, random: f64) {
        let since = now.saturating_duration_since(self.started);
        let mut wait = timing.on_refusal(since, random);
        if self.queued_calls > 0 {
            // Discovery is alive, so the queued call is likely to get its turn.
            wait = wait.max(timing.second_call_delay() * 2);
        }
        self.next_due = now + wait;
    }
}
