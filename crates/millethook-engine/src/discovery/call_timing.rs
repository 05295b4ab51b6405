//! How long a caller of discovery waits for an answer, and how long it backs off after a refusal.
//!
//! Discovery may be a single service for a whole fleet that processes calls in a queue. A fleet that starts together
//! puts one call for each sidecar into the queue. If callers give up before their turn, discovery processes calls
//! that nobody waits for, and the callers come again: more calls than discovery can process, forever (a metastable
//! failure, Bronson et al., HotOS '21). This module has no clock, randomness or I/O: times and random numbers are
//! passed in.

use std::time::Duration;

use coppercart::settings::Settings;

/// A second call beside a waiting one is made no sooner than this.
const MIN_SECOND_CALL_DELAY: Duration = Duration::from_millis(1500);
/// The latest time of a second call, unless answers were seen to take longer. A call may be lost behind a live
/// connection (a proxy on the path, a fault of discovery). This delay, the connection and 2 s in the queue are less
/// than the 6 s after which the platform treats updates as known.
const MAX_SECOND_CALL_DELAY: Duration = Duration::from_millis(2500);
/// The same limit after a refusal in a large fleet: discovery is alive and its queue is full, which is why calls
/// wait. Together with the connection it is less than those 6 s.
const MAX_SECOND_CALL_DELAY_REFUSED: Duration = Duration::from_secs(5);
/// Second calls are spread over this last part of their delay.
///
/// Without the spread, a delay that is a multiple of the processing time of one call ends just when a place in the
/// queue becomes free, since it also began with one. Half of the second calls then take places from callers that have
/// none: on the virtual clock, 300 callers at 0.5 s a call took 234 s instead of 150.
const SECOND_CALL_SPREAD: f64 = 0.4;
/// The assumed processing time of one call while no answer was measured.
const ASSUMED_CALL_TIME: Duration = Duration::from_millis(500);
/// Waiting calls are given up no sooner than this, because even a small fleet may have a slow discovery. The second
/// call protects against a dead connection.
const MIN_GIVE_UP_TIME: Duration = Duration::from_secs(15);
/// Waiting calls are given up no later than this.
const MAX_GIVE_UP_TIME: Duration = Duration::from_secs(300);
/// The upper limit of the first back-off is at least this.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Back-offs grow by this for each sidecar of the fleet: 100 refusals a second from all of them.
const BACKOFF_PER_SIDECAR: Duration = Duration::from_millis(10);
/// The limit of back-offs after many refusals, for each sidecar of the fleet, and at most what the settings allow for
/// timely updates: some fifteen refusals a second from all of a small fleet.
const MAX_BACKOFF_PER_SIDECAR: Duration = Duration::from_millis(100);
/// The platform treats updates as known after this, refused calls included. From then on back-offs may be longer than
/// the settings allow for timely updates.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// The back-off doubles at each refusal in a row, at most this many times.
const MAX_DOUBLINGS: u32 = 16;

/// What the settings say about calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Number of sidecars that use the same discovery.
    pub fleet: u32,
    /// The longest wait between two calls with which updates are still timely.
    pub max_wait: Duration,
}

impl From<&Settings> for CallLimits {
    fn from(settings: &Settings) -> CallLimits {
        CallLimits {
            fleet: settings.instances,
            max_wait: Duration::from_micros(settings.rules.max_discovery_delay(1)),
        }
    }
}

/// Measured times of calls, and the timeouts that follow from them.
#[derive(Clone, Debug)]
pub struct CallTiming {
    limits: CallLimits,
    /// The fastest answer to a queued call: at least the processing time of one call. It slowly decays upwards.
    fastest_answer: Option<Duration>,
    /// The slowest recent answer. It decays with each answer to a queued call, and as watches are answered.
    slowest_answer: Duration,
    /// Refusals in a row.
    refusals: u32,
    /// How often waiting calls were given up since the last answer.
    give_ups: u32,
}

impl CallTiming {
    /// Creates the state in which nothing is known of discovery.
    pub fn new(limits: CallLimits) -> CallTiming {
        CallTiming {
            limits,
            fastest_answer: None,
            slowest_answer: Duration::ZERO,
            refusals: 0,
            give_ups: 0,
        }
    }

    /// Sets the limits of new settings.
    pub fn set_limits(&mut self, limits: CallLimits) {
        self.limits = limits;
    }

    /// Returns a random delay of the second call; `random` is in `0.0..1.0`.
    pub fn random_second_call_delay(&self, random: f64) -> Duration {
        let latest = self.second_call_delay();
        let delay = latest.mul_f64(1.0 - SECOND_CALL_SPREAD * random.clamp(0.0, 1.0));
        delay.max(MIN_SECOND_CALL_DELAY.min(latest))
    }

    /// The longest time that a call waits alone. Then a second call is made beside it, and the first keeps its place
    /// in the queue.
    pub fn second_call_delay(&self) -> Duration {
        // Unless all calls of the fleet are known to take less, a long queue is more likely than a dead connection.
        let whole_fleet = self
            .fastest_answer
            .map_or(MAX_SECOND_CALL_DELAY, |call| multiplied(call, self.limits.fleet));
        let known_answer_time = self.slowest_answer.mul_f64(1.25).min(self.give_up_after() / 2);
        let delay =
            whole_fleet.clamp(MIN_SECOND_CALL_DELAY, MAX_SECOND_CALL_DELAY).max(known_answer_time);
        if self.refusals == 0 {
            return delay;
        }
        // Places in a full queue are scarce, and each second call takes one from a caller that has none.
        delay.max((self.give_up_after() / 4).min(MAX_SECOND_CALL_DELAY_REFUSED))
    }

    /// How long after the first of the waiting calls all of them are given up.
    pub fn give_up_after(&self) -> Duration {
        let whole_fleet =
            multiplied(ASSUMED_CALL_TIME, self.limits.fleet).max(self.slowest_answer * 2);
        let total = whole_fleet.max(MIN_GIVE_UP_TIME).saturating_mul(doubled(self.give_ups));
        total.min(MAX_GIVE_UP_TIME)
    }

    /// A queued call was answered after `duration`.
    pub fn on_answer(&mut self, duration: Duration) {
        let fastest_answer =
            self.fastest_answer.map_or(duration, |before| duration.min(before.mul_f64(1.25)));
        self.fastest_answer = Some(fastest_answer);
        self.slowest_answer = duration.max(self.slowest_answer / 2);
        (self.refusals, self.give_ups) = (0, 0);
    }

    /// A watch that discovery held was answered after `duration`. In the same time an earlier queue has become
    /// shorter, even if it held second calls.
    pub fn on_watch_answer(&mut self, duration: Duration) {
        self.slowest_answer = self.slowest_answer.saturating_sub(duration);
    }

    /// Calls were given up although connections to discovery come up: the queue is longer than assumed.
    pub fn on_give_up(&mut self) {
        self.give_ups = self.give_ups.saturating_add(1);
    }

    /// Discovery refused a call, `since` after this list was first requested. Returns the back-off before the next
    /// call; `random` is in `0.0..1.0`.
    ///
    /// Callers that were refused together would return together. The back-off is drawn from a range that grows with
    /// the fleet and with refusals, so that all callers together do not exceed what the queue can hold. As long as
    /// updates can still be timely it stays below what the settings allow, because refusals cost discovery almost
    /// nothing.
    pub fn on_refusal(&mut self, since: Duration, random: f64) -> Duration {
        let fleet_backoff = multiplied(BACKOFF_PER_SIDECAR, self.limits.fleet);
        let timely_backoff =
            multiplied(MAX_BACKOFF_PER_SIDECAR, self.limits.fleet).min(self.limits.max_wait);
        let max_backoff = timely_backoff.max(MIN_BACKOFF);
        let max_backoff =
            if since < DELIVERY_DEADLINE { max_backoff } else { max_backoff.max(fleet_backoff) };
        let backoff =
            fleet_backoff.max(MIN_BACKOFF).saturating_mul(doubled(self.refusals)).min(max_backoff);
        self.refusals = self.refusals.saturating_add(1);
        backoff.mul_f64(0.25 + 0.75 * random.clamp(0.0, 1.0))
    }
}

/// A random delay before a call to discovery that all sidecars of a fleet have the same reason to make at the same
/// time: 100 calls a second from all of them. `random` is in `0.0..1.0`.
pub fn fleet_spread_delay(fleet: u32, random: f64) -> Duration {
    multiplied(BACKOFF_PER_SIDECAR, fleet).max(MIN_BACKOFF).mul_f64(random.clamp(0.0, 1.0))
}

fn multiplied(duration: Duration, count: u32) -> Duration {
    duration.saturating_mul(count)
}

fn doubled(doublings: u32) -> u32 {
    1 << doublings.min(MAX_DOUBLINGS)
}
