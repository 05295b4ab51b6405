//! What was observed of a server's connections, and the quarantines, idle times and hold times that follow from it.

mod check;

use std::time::{Duration, Instant};

use crate::mutant::{self, Mutant};

/// The quarantine of a connection after an answer while nothing is known of its server. Without it, a second copy of
/// the answer or noise behind it that comes after the next request was sent would be taken for the next answer. A
/// server that writes both at once, or one directly after the other, has done so within this time. Requests do not wait
/// for it, since they use another connection meanwhile.
const DEFAULT_QUARANTINE: Duration = Duration::from_millis(1);
/// Reuses without stray bytes that shorten the quarantine by one step: to 1/2 of the default after this many, to 1/3
/// after twice as many, and so on.
const QUIET_REUSES_PER_STEP: f64 = 16.0;
/// The minimum quarantine. A server may be descheduled a few times between two writes.
const MIN_QUARANTINE: Duration = Duration::from_micros(100);
/// The quarantine is at least this multiple of the longest lag of stray bytes.
const STRAY_LAG_MULTIPLE: u32 = 4;
/// The maximum quarantine.
pub(crate) const MAX_QUARANTINE: Duration = Duration::from_millis(200);
/// The time without stray bytes after which the longest lag counts half.
const STRAY_LAG_HALF_LIFE: Duration = Duration::from_secs(60);
/// The share of a server's idle limit after which a connection is not used any more. Closer to the limit, a request
/// that is written while the server closes the connection would be lost to a reset.
const IDLE_LIMIT_SHARE: f64 = 0.7;
/// Two idle times whose ratio is at most this are taken for the same limit.
const MAX_IDLE_LIMIT_RATIO: f64 = 1.5;
/// Shorter idle times before a close are not taken for a limit: servers keep idle connections for seconds, and one
/// that closes them sooner is shutting down.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(200);
/// Closes within this interval count as one event. Without it, the closes of a restarting server, which closes all its
/// connections whatever their idle time, would be taken for an idle limit.
const SAME_EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which the learned limit is doubled. Without this, no connection would be idle long enough to disprove
/// a wrong limit, and each request would open a new connection for ever. A correct limit is observed again.
const IDLE_LIMIT_DOUBLING_TIME: Duration = Duration::from_secs(60);
/// The minimum hold time of a request: two ticks of a millisecond timer.
const MIN_HOLD: Duration = Duration::from_millis(2);
/// The maximum hold time, since it adds to the response time.
const MAX_HOLD: Duration = Duration::from_millis(4);
/// The hold time in round trips, which is the time that a reset needs to come back. A handshake takes one round trip.
const HOLD_ROUND_TRIPS: u32 = 2;
/// How long a fault of a server's connections counts.
const FAULT_TTL: Duration = Duration::from_secs(60);

/// A fault of a connection in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// It broke while its request was held back.
    Broken,
    /// Bytes came that belong to no request, or to an earlier one.
    StrayBytes,
}

/// What was observed of the connections to one server.
#[derive(Clone, Debug, Default)]
pub struct ServerObservations {
    /// The duration of the shortest handshake.
    shortest_handshake: Option<Duration>,
    /// The longest time between the end of an answer and stray bytes, and when stray bytes last came.
    longest_stray_lag: Option<(Duration, Instant)>,
    /// When the last fault of each kind was recorded.
    last_break: Option<Instant>,
    last_stray_fault: Option<Instant>,
    /// A reused connection has carried another answer with no stray bytes before or behind it, and none came since.
    proven: bool,
    /// The last answer to a request that asked to close the connection announced the close.
    announces_close: bool,
    /// When an answer to such a request last did not announce it. Some servers announce it with some answers only.
    last_unannounced_close: Option<Instant>,
    /// The number of consecutive reuses after at least [`DEFAULT_QUARANTINE`] without stray bytes.
    quiet_reuses: u32,
    /// The last two idle times after which the server closed a connection, the later one first, and the time of the
    /// last such close.
    idle_times_before_close: [Option<Duration>; 2],
    last_idle_close: Option<Instant>,
}

impl ServerObservations {
    /// Records the duration of a handshake.
    pub fn record_handshake(&mut self, duration: Duration) {
        self.shortest_handshake =
            Some(self.shortest_handshake.map_or(duration, |shortest| shortest.min(duration)));
    }

    /// Records bytes that belong to no answer and came `lag` after the end of the last answer.
    pub fn record_stray_bytes(&mut self, lag: Duration, now: Instant) {
        if mutant::is(Mutant::StrayBytesIgnored) {
            return;
        }
        let known_lag = self.stray_lag(now).unwrap_or_default();
        self.longest_stray_lag = Some((known_lag.max(lag), now));
        self.quiet_reuses = 0;
        self.proven = false;
    }

    /// Records that the server closed a connection that had been idle for `idle_time`.
    pub fn record_idle_close(&mut self, idle_time: Duration, now: Instant) {
        let previous = self.last_idle_close.replace(now);
        let same_event =
            previous.is_some_and(|last| now.saturating_duration_since(last) < SAME_EVENT_INTERVAL);
        if (idle_time >= MIN_IDLE_LIMIT || mutant::is(Mutant::IdleLimitFromRestart)) && !same_event
        {
            self.idle_times_before_close = [Some(idle_time), self.idle_times_before_close[0]];
        }
    }

    /// Records that a connection was still usable after `idle_time`.
    pub fn record_quiet_idle(&mut self, idle_time: Duration) {
        if idle_time >= DEFAULT_QUARANTINE {
            self.quiet_reuses = self.quiet_reuses.saturating_add(1);
        }
    }

    /// Records that a reused connection has carried another answer and no stray bytes.
    pub fn record_clean_reuse(&mut self) {
        self.proven = true;
    }

    /// Whether an answer on a reused connection may be a second copy of an earlier one, as far as is known.
    pub fn may_duplicate_answers(&self, now: Instant) -> bool {
        !self.proven || is_recent(self.last_stray_fault, now)
    }

    /// Whether the server has recently sent stray bytes, so that an answer on a reused connection has to be proven to
    /// belong to its request.
    pub fn answers_need_proof(&self, now: Instant) -> bool {
        is_recent(self.longest_stray_lag.map(|(_, seen)| seen), now)
    }

    /// Whether the server announces the close of a connection when a request asks for it, and has recently done so each
    /// time.
    pub fn announces_close(&self, now: Instant) -> bool {
        self.announces_close && !is_recent(self.last_unannounced_close, now)
    }

    /// Records an answer to a request that asked to close its connection. `announced`: the answer's head announces the
    /// close.
    pub fn record_close_request(&mut self, announced: bool, now: Instant) {
        self.announces_close = announced;
        if !announced {
            self.last_unannounced_close = Some(now);
        }
    }

    /// The longest lag of stray bytes, halved for each [`STRAY_LAG_HALF_LIFE`] since they last came.
    fn stray_lag(&self, now: Instant) -> Option<Duration> {
        let (lag, seen) = self.longest_stray_lag?;
        let age_secs = now.saturating_duration_since(seen).as_secs_f64();
        Some(lag.mul_f64(0.5f64.powf(age_secs / STRAY_LAG_HALF_LIFE.as_secs_f64())))
    }

    /// How long a connection is in quarantine after an answer.
    pub fn quarantine(&self, now: Instant) -> Duration {
        let base =
            DEFAULT_QUARANTINE.div_f64(1.0 + f64::from(self.quiet_reuses) / QUIET_REUSES_PER_STEP);
        let from_stray = self.stray_lag(now).map_or(Duration::ZERO, |lag| lag * STRAY_LAG_MULTIPLE);
        if mutant::is(Mutant::UnboundedQuarantine) {
            return from_stray.max(base);
        }
        from_stray.clamp(base.max(MIN_QUARANTINE), MAX_QUARANTINE)
    }

    /// The learned time for which the server keeps an idle connection; None if it is not known.
    pub fn idle_limit(&self, now: Instant) -> Option<Duration> {
        let ([Some(a), Some(b)], Some(seen)) = (self.idle_times_before_close, self.last_idle_close)
        else {
            return None;
        };
        let (short, long) = (a.min(b), a.max(b));
        let doublings = now.saturating_duration_since(seen).as_secs_f64()
            / IDLE_LIMIT_DOUBLING_TIME.as_secs_f64();
        let agree = long.as_secs_f64() <= short.as_secs_f64() * MAX_IDLE_LIMIT_RATIO;
        agree.then(|| short.mul_f64(2f64.powf(doublings.min(20.0))))
    }

    /// The idle time after which a connection is not used again. `advertised` is the configured time for which servers
    /// keep one.
    pub fn retire_after(&self, advertised: Duration, now: Instant) -> Duration {
        self.idle_limit(now)
            .map_or(advertised, |learned| learned.min(advertised))
            .mul_f64(IDLE_LIMIT_SHARE)
    }

    /// Records a fault of a connection in use.
    pub fn record_fault(&mut self, fault: ConnectionFault, now: Instant) {
        match fault {
            ConnectionFault::Broken => self.last_break = Some(now),
            ConnectionFault::StrayBytes => {
                self.last_stray_fault = Some(now);
                // These bytes came in reaction to the next request, so their lag says nothing about a quarantine.
                self.record_stray_bytes(Duration::ZERO, now);
            }
        }
    }

    /// How long to hold back the byte at a request's commit point, on a connection that was idle for `idle_time`
    /// (None: a new connection); None: not at all. `repeatable`: the request may run twice without harm.
    ///
    /// The hold shows two things before the request can run:
    ///
    /// - Whether the connection breaks. This matters to requests that must not run twice, on a connection that is
    ///   new, was idle for at least the hold time, or belongs to a server whose connections recently broke during a
    ///   hold.
    /// - Whether stray bytes come. They would be served as the answer to a request of any class, so every request on a
    ///   reused connection is held if the server has recently sent some or has not yet been proven to send none.
    pub fn hold_time(
        &self,
        idle_time: Option<Duration>,
        repeatable: bool,
        now: Instant,
    ) -> Option<Duration> {
        let round_trip = self.shortest_handshake.unwrap_or_default();
        let hold = (round_trip * HOLD_ROUND_TRIPS).clamp(MIN_HOLD, MAX_HOLD);
        let untested =
            idle_time.is_none_or(|idle_time| idle_time >= hold) && !mutant::is(Mutant::NoHold);
        let may_break = untested || is_recent(self.last_break, now);
        let may_stray = idle_time.is_some() && self.may_duplicate_answers(now);
        (may_stray || !repeatable && may_break).then_some(hold)
    }
}

/// Whether something was seen within the last [`FAULT_TTL`].
fn is_recent(seen: Option<Instant>, now: Instant) -> bool {
    seen.is_some_and(|seen| now.saturating_duration_since(seen) < FAULT_TTL)
}

#[cfg(test)]
mod tests;
