//! One list that is to be had: calls are placed in line at discovery until one of them is answered.
//!
//! A place in line is kept for as long as its turn may still come. A connection that is silently dead is found out by
//! the system, which probes it; its call is placed anew. What the probes can't tell from a long line is a call that
//! was lost behind a connection that lives, so after a while a second call is placed behind the first one, which
//! stays. At most two are in line: a fleet loads discovery twice at worst, and the second ones stand behind all first
//! ones. No clock and no I/O in here.

use std::time::{Duration, Instant};

use super::call_timing::CallTiming;

/// The most calls of one sidecar in line.
const MOST_IN_LINE: u32 = 2;
/// A call whose connection was lost is placed anew after a random wait of at most this: one middlebox may drop the
/// connections of a whole fleet at once. With the time in which a loss is noticed (4 s) and the connection (0.5 s) it is
/// less than the 6 s after which news counts as told.
const LOST_SPREAD: Duration = Duration::from_secs(1);

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A call is to be placed; [`ListFetch::on_placed`] is told of it.
    Place,
    /// Nothing until then, or until a call ends.
    Wait(Instant),
    /// Nothing has come for as long as anything may be expected: all calls are to be dropped.
    GiveUp,
}

/// The calls for one list.
#[derive(Clone, Debug)]
pub struct ListFetch {
    /// When the list was first asked for.
    began: Instant,
    /// Calls that wait for their answers.
    in_line: u32,
    /// When the first of them was placed.
    waits_since: Instant,
    /// The next call is due then.
    next: Instant,
}

impl ListFetch {
    /// A list is wanted now, and a call is due at once.
    pub fn new(now: Instant) -> ListFetch {
        ListFetch { began: now, in_line: 0, waits_since: now, next: now }
    }

    /// A list is wanted, and discovery has just refused a call.
    pub fn after_refusal(now: Instant, patience: &mut CallTiming, random: f64) -> ListFetch {
        let mut opening = ListFetch::new(now);
        opening.wait(now, patience, random);
        opening
    }

    /// A list is wanted, and the connection of a call has just been lost; `random` is of `0.0..1.0`.
    pub fn after_loss(now: Instant, random: f64) -> ListFetch {
        let mut opening = ListFetch::new(now);
        opening.on_lost(now, random);
        opening
    }

    /// What is to be done.
    pub fn poll(&self, now: Instant, patience: &CallTiming) -> Step {
        let end = self.waits_since + patience.give_up_after();
        if self.in_line > 0 && now >= end {
            return Step::GiveUp;
        }
        if self.in_line == MOST_IN_LINE {
            return Step::Wait(end);
        }
        if now >= self.next {
            return Step::Place;
        }
        Step::Wait(if self.in_line > 0 { self.next.min(end) } else { self.next })
    }

    /// A call was placed; `random` is of `0.0..1.0`.
    pub fn on_placed(&mut self, now: Instant, patience: &CallTiming, random: f64) {
        if self.in_line == 0 {
            self.waits_since = now;
        }
        self.in_line += 1;
        self.next = now + patience.second_call_at_random(random);
    }

    /// The connection of a call was lost without a word, and with it the call's place in line; `random` is of
    /// `0.0..1.0`. Another call in line keeps its place, and the next one comes as if that one had been the only one.
    pub fn on_lost(&mut self, now: Instant, random: f64) {
        self.in_line = self.in_line.saturating_sub(1);
        if self.in_line == 0 {
            self.next = now + LOST_SPREAD.mul_f64(random.clamp(0.0, 1.0));
        }
    }

    /// A call was refused. Another one in line keeps its place.
    pub fn on_refused(&mut self, now: Instant, patience: &mut CallTiming, random: f64) {
        self.in_line = self.in_line.saturating_sub(1);
        self.wait(now, patience, random);
    }

    /// A call ended without an answer or a refusal; whether another one is still in line.
    ///
    /// Danger: a second connection may not come up because discovery has too many. The first call may be answered
    /// all the same.
    pub fn on_broken(&mut self, now: Instant, patience: &mut CallTiming, random: f64) -> bool {
        self.in_line = self.in_line.saturating_sub(1);
        if self.in_line > 0 {
            self.wait(now, patience, random);
        }
        self.in_line > 0
    }

    fn wait(&mut self, now: Instant, patience: &mut CallTiming, random: f64) {
        let since = now.saturating_duration_since(self.began);
        let mut wait = patience.on_refusal(since, random);
        if self.in_line > 0 {
            // Discovery lives, so the call in line is likely to have its turn.
            wait = wait.max(patience.second_call_after() * 2);
        }
        self.next = now + wait;
    }
}
