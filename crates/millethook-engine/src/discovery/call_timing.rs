//! How long a caller of discovery waits for an answer, and how long it stays away after a refusal.
//!
//! Discovery may be one service for a whole fleet that works through calls in turn. A fleet that starts
//! together is then `fleet` calls of work, and a caller that hangs up earlier than its turn has its call
//! worked on for nobody and comes again: more calls than discovery can do, for good (a metastable failure,
//! Bronson et al., HotOS '21). No clock, randomness or I/O in here: times and random numbers are handed in.

use std::time::Duration;

use coppercart::settings::Settings;

/// A second call beside one that waits is made no sooner,
const SECOND_LEAST: Duration = Duration::from_millis(1500);
/// and no later, unless answers were seen to take longer. A call may be lost behind a connection that lives (a proxy on
/// the way, a fault of discovery). This, the connection, and a wait in line of 2 s are less than the 6 s after which
/// news counts as told.
const SECOND_MOST: Duration = Duration::from_millis(2500);
/// The same after a refusal, where the fleet is large: discovery lives and its line is full, which is why calls wait.
/// With the connection it is less than those 6 s.
const SECOND_MOST_REFUSED: Duration = Duration::from_secs(5);
/// Second calls are spread over this last share of their wait.
///
/// Without it, a wait that is a multiple of the work of one call ends when a place in line becomes free again, as it
/// began with one: half of the second calls then take places from callers that have none, and 300 callers at 0.5 s a
/// call took 234 s in place of 150 on the virtual clock.
const SECOND_SPREAD: f64 = 0.4;
/// A call may take discovery so long, as far as nothing else is known.
const CALL_GUESS: Duration = Duration::from_millis(500);
/// Calls that wait are given up no sooner. Danger: a small fleet may have a slow discovery. Against a dead connection
/// there is the second call.
const GIVE_UP_LEAST: Duration = Duration::from_secs(15);
/// and no later.
const GIVE_UP_MOST: Duration = Duration::from_secs(300);
/// The first wait after a refusal is at least up to this.
const REFUSED_LEAST: Duration = Duration::from_millis(250);
/// Waits after refusals grow by so much for each sidecar of the fleet: 100 refusals a second from all of them.
const REFUSED_EACH: Duration = Duration::from_millis(10);
/// Waits after many refusals are up to so much for each sidecar of the fleet, and no longer than the settings leave
/// for news that is in time: some fifteen refusals a second from all of a small fleet.
const REFUSED_MOST_EACH: Duration = Duration::from_millis(100);
/// What discovery has to tell counts as told after this, whatever was refused: from then on waits may be longer
/// than the settings leave for news that is in time.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// Twice the wait at each refusal in a row, up to so many times.
const DOUBLINGS: u32 = 16;

/// What the settings say about calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Sidecars that ask the same discovery.
    pub fleet: u32,
    /// The longest wait between two calls with which news still comes in time.
    pub longest_wait: Duration,
}

impl From<&Settings> for CallLimits {
    fn from(settings: &Settings) -> CallLimits {
        CallLimits {
            fleet: settings.instances,
            longest_wait: Duration::from_micros(settings.rules.ask_spread(1)),
        }
    }
}

/// What calls have taken so far, and what follows for the next one.
#[derive(Clone, Debug)]
pub struct CallTiming {
    limits: CallLimits,
    /// The quickest answer to a call in line: no less than the work of one call. Forgotten slowly.
    quickest: Option<Duration>,
    /// The slowest answer of late. Forgotten with each answer to a call in line, and as watches are answered.
    slowest: Duration,
    /// Refusals in a row.
    refusals: u32,
    /// Rows of calls that were given up, since the last answer.
    given_up: u32,
}

impl CallTiming {
    /// Nothing is known of discovery yet.
    pub fn new(limits: CallLimits) -> CallTiming {
        CallTiming { limits, quickest: None, slowest: Duration::ZERO, refusals: 0, given_up: 0 }
    }

    /// The settings have changed.
    pub fn set_limits(&mut self, limits: CallLimits) {
        self.limits = limits;
    }

    /// For how long a call waits alone at random; `random` is of `0.0..1.0`.
    pub fn second_call_at_random(&self, random: f64) -> Duration {
        let latest = self.second_call_after();
        let spread = latest.mul_f64(1.0 - SECOND_SPREAD * random.clamp(0.0, 1.0));
        spread.max(SECOND_LEAST.min(latest))
    }

    /// For how long a call waits alone at most. Then a second one is made beside it, which keeps its place in line.
    pub fn second_call_after(&self) -> Duration {
        // Unless the whole fleet's calls are known to take less, a wait is more likely than a dead connection.
        let whole_fleet = self.quickest.map_or(SECOND_MOST, |call| times(call, self.limits.fleet));
        let known = self.slowest.mul_f64(1.25).min(self.give_up_after() / 2);
        let alone = whole_fleet.clamp(SECOND_LEAST, SECOND_MOST).max(known);
        if self.refusals == 0 {
            return alone;
        }
        // Danger: places in a full line are scarce, and each second call takes one from a caller that has none.
        alone.max((self.give_up_after() / 4).min(SECOND_MOST_REFUSED))
    }

    /// After how long calls that wait are given up, counted from the first of them.
    pub fn give_up_after(&self) -> Duration {
        let whole_fleet = times(CALL_GUESS, self.limits.fleet).max(self.slowest * 2);
        let grown = whole_fleet.max(GIVE_UP_LEAST).saturating_mul(doubled(self.given_up));
        grown.min(GIVE_UP_MOST)
    }

    /// A call that waited in line was answered after so long.
    pub fn on_answer(&mut self, took: Duration) {
        let quickest = self.quickest.map_or(took, |before| took.min(before.mul_f64(1.25)));
        self.quickest = Some(quickest);
        self.slowest = took.max(self.slowest / 2);
        (self.refusals, self.given_up) = (0, 0);
    }

    /// A watch that discovery held was answered after so long. A line that calls waited in before becomes shorter in
    /// the same time, whatever was placed in it twice.
    pub fn on_watch_answer(&mut self, took: Duration) {
        self.slowest = self.slowest.saturating_sub(took);
    }

    /// Calls were given up though connections to discovery come up: the line is longer than was thought.
    pub fn on_give_up(&mut self) {
        self.given_up = self.given_up.saturating_add(1);
    }

    /// Discovery refused a call, `since` after this list was first asked for. How long until the next call;
    /// `random` is of `0.0..1.0`.
    ///
    /// Danger: callers that were refused together come again together. The wait is drawn from a range that grows
    /// with the fleet and with refusals, so that all of them are not more than a line of calls can hold. Within the
    /// time in which news counts as told it stays below what the settings leave, where refusals cost discovery
    /// next to nothing.
    pub fn on_refusal(&mut self, since: Duration, random: f64) -> Duration {
        let by_fleet = times(REFUSED_EACH, self.limits.fleet);
        let in_time = times(REFUSED_MOST_EACH, self.limits.fleet).min(self.limits.longest_wait);
        let longest = in_time.max(REFUSED_LEAST);
        let longest = if since < TOLD_AFTER { longest } else { longest.max(by_fleet) };
        let most = by_fleet.max(REFUSED_LEAST).saturating_mul(doubled(self.refusals)).min(longest);
        self.refusals = self.refusals.saturating_add(1);
        most.mul_f64(0.25 + 0.75 * random.clamp(0.0, 1.0))
    }
}

/// How long a sidecar of so many waits before it calls discovery where all of them have the same reason to call it at
/// the same time: 100 calls a second from all of them. `random` is of `0.0..1.0`.
pub fn fleet_spread_delay(fleet: u32, random: f64) -> Duration {
    times(REFUSED_EACH, fleet).max(REFUSED_LEAST).mul_f64(random.clamp(0.0, 1.0))
}

fn times(of: Duration, count: u32) -> Duration {
    of.saturating_mul(count)
}

fn doubled(times: u32) -> u32 {
    1 << times.min(DOUBLINGS)
}
