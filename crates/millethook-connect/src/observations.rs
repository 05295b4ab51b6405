//! What a server was seen to do with its connections, and what follows from it for their use.

mod check;

use std::time::{Duration, Instant};

use crate::mutant::{self, Mutant};

/// How long a connection is in quarantine after an answer, where nothing is known of its server. Without it, a second
/// copy of an answer, or noise behind it, that comes once the next request is out would be taken for
/// that one's answer. A server that writes both in one go, or one right after the other, has done so by
/// then. It costs no request time: another connection is used meanwhile.
const QUARANTINE: Duration = Duration::from_millis(1);
/// It rests for so much shorter with each so many connections that were used again in silence.
const TRUST_IN: f64 = 16.0;
/// But for no shorter than this: some turns of the processor between two writes.
const SHORTEST_QUARANTINE: Duration = Duration::from_micros(100);
/// It rests for so many times the latest that stray bytes were seen to come.
const QUARANTINE_MARGIN: u32 = 4;
/// And for no longer than this.
pub(crate) const LONGEST_QUARANTINE: Duration = Duration::from_millis(200);
/// Seen no more for so long, a server's lateness with stray bytes counts half.
const STRAY_HALF_LIFE: Duration = Duration::from_secs(60);
/// The share of a server's idle limit up to which a connection is used. Beyond it, what is
/// written in the instant in which the server closes would be lost as a reset.
const IDLE_SHARE: f64 = 0.7;
/// Two idle times that differ by this factor at most are taken for one limit.
const ALIKE: f64 = 1.5;
/// Idle limits below this are not believed: servers keep connections for seconds, and what closes sooner
/// is a server that ends.
const LEAST_IDLE: Duration = Duration::from_millis(200);
/// Closes that follow each other so quickly are one event. A server that restarts closes all
/// its connections, however long they have rested, which would be taken for a limit.
const AT_ONCE: Duration = Duration::from_millis(100);
/// After so long a limit is believed to be twice what was seen. Without this, no connection would rest
/// long enough to disprove a wrong limit, and each request would open one for ever. A right limit is seen again.
const IDLE_DOUBLES: Duration = Duration::from_secs(60);
/// How long a request is on trial at least: two turns of a timer of milliseconds.
const TRIAL: Duration = Duration::from_millis(2);
/// And at most, as it is part of the answer time.
const LONGEST_TRIAL: Duration = Duration::from_millis(4);
/// A handshake takes one round trip; so many of them are what a reset needs to come back.
const TRIAL_ROUNDS: u32 = 2;

/// How long a server that was caught stays in doubt.
const CAUGHT_FOR: Duration = Duration::from_secs(60);

/// What a connection was caught with while it was in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// It broke on trial.
    Broken,
    /// Bytes came that belong to no request, or to an earlier one.
    StrayBytes,
}

/// What is known of one server's connections.
#[derive(Clone, Debug, Default)]
pub struct ServerObservations {
    /// The shortest handshake.
    handshake: Option<Duration>,
    /// How late after an answer stray bytes came, at the latest, and when that was last seen.
    stray: Option<(Duration, Instant)>,
    /// When a connection was last caught with a break, and when with stray bytes.
    broke: Option<Instant>,
    strayed: Option<Instant>,
    /// A connection that had carried an answer before has carried another one with nothing ahead of it or behind, and no
    /// stray bytes came since.
    proven: bool,
    /// Its last answer to a request that asked for the connection's end announced that end.
    announces_close: bool,
    /// When an answer to such a request came last that did not. Some servers announce ends with some answers only.
    unannounced: Option<Instant>,
    /// How often in a row a connection was silent for as long as a server that nothing is known of is
    /// given.
    silent: u32,
    /// The last two idle times after which the server closed a connection, the later one first, and
    /// when that was.
    closed_after: [Option<Duration>; 2],
    closed: Option<Instant>,
}

impl ServerObservations {
    /// A handshake took so long.
    pub fn connected(&mut self, took: Duration) {
        self.handshake = Some(self.handshake.map_or(took, |known| known.min(took)));
    }

    /// Bytes came that belong to no answer, so long after the last answer's end.
    pub fn stray_bytes(&mut self, lag: Duration, now: Instant) {
        if mutant::is(Mutant::StrayBytesForgotten) {
            return;
        }
        let known = self.stray_lag(now).unwrap_or_default();
        self.stray = Some((known.max(lag), now));
        self.silent = 0;
        self.proven = false;
    }

    /// The server closed a connection that had rested for so long.
    pub fn closed_idle(&mut self, rested: Duration, now: Instant) {
        let before = self.closed.replace(now);
        let at_once = before.is_some_and(|b| now.saturating_duration_since(b) < AT_ONCE);
        if (rested >= LEAST_IDLE || mutant::is(Mutant::LimitOfEndingServer)) && !at_once {
            self.closed_after = [Some(rested), self.closed_after[0]];
        }
    }

    /// A connection that had rested for so long was still good.
    pub fn rested_in_silence(&mut self, rested: Duration) {
        if rested >= QUARANTINE {
            self.silent = self.silent.saturating_add(1);
        }
    }

    /// A connection that had carried an answer before has carried another one, and nothing beside it.
    pub fn record_clean_reuse(&mut self) {
        self.proven = true;
    }

    /// Whether an answer on a used connection may be a second copy of an earlier one, as far as is known.
    pub fn answers_in_doubt(&self, now: Instant) -> bool {
        !self.proven || is_recent(self.strayed, now)
    }

    /// Whether the server has lately sent bytes that belong to no answer, so that an answer on a used connection has to
    /// be proven its request's own.
    pub fn answers_need_proof(&self, now: Instant) -> bool {
        is_recent(self.stray.map(|(_, seen)| seen), now)
    }

    /// Whether the server announces the end of a connection where a request asks for it, and has done so each time of
    /// late.
    pub fn announces_close(&self, now: Instant) -> bool {
        self.announces_close && !is_recent(self.unannounced, now)
    }

    /// A request that asked for its connection's end was answered; `announced`: the answer's head says that it ends.
    pub fn record_close_request(&mut self, announced: bool, now: Instant) {
        self.announces_close = announced;
        if !announced {
            self.unannounced = Some(now);
        }
    }

    fn stray_lag(&self, now: Instant) -> Option<Duration> {
        let (lag, seen) = self.stray?;
        let halves = now.saturating_duration_since(seen).as_secs_f64();
        Some(lag.mul_f64(0.5f64.powf(halves / STRAY_HALF_LIFE.as_secs_f64())))
    }

    /// How long a connection rests after an answer before it is used again.
    pub fn quarantine(&self, now: Instant) -> Duration {
        let trusted = QUARANTINE.div_f64(1.0 + f64::from(self.silent) / TRUST_IN);
        let seen = self.stray_lag(now).map_or(Duration::ZERO, |lag| lag * QUARANTINE_MARGIN);
        if mutant::is(Mutant::EndlessQuarantine) {
            return seen.max(trusted);
        }
        seen.clamp(trusted.max(SHORTEST_QUARANTINE), LONGEST_QUARANTINE)
    }

    /// How long the server keeps a connection at rest, as far as that was seen.
    pub fn idle_limit(&self, now: Instant) -> Option<Duration> {
        let ([Some(a), Some(b)], Some(seen)) = (self.closed_after, self.closed) else {
            return None;
        };
        let (short, long) = (a.min(b), a.max(b));
        let age = now.saturating_duration_since(seen).as_secs_f64() / IDLE_DOUBLES.as_secs_f64();
        let alike = long.as_secs_f64() <= short.as_secs_f64() * ALIKE;
        alike.then(|| short.mul_f64(2f64.powf(age.min(20.0))))
    }

    /// How long a connection may rest and be used again, `told` being what servers say that they keep
    /// one.
    pub fn retire_after(&self, told: Duration, now: Instant) -> Duration {
        self.idle_limit(now).map_or(told, |seen| seen.min(told)).mul_f64(IDLE_SHARE)
    }

    /// A connection was caught in use, and is of no more use.
    pub fn record_fault(&mut self, what: ConnectionFault, now: Instant) {
        match what {
            ConnectionFault::Broken => self.broke = Some(now),
            ConnectionFault::StrayBytes => {
                self.strayed = Some(now);
                // What the next request calls forth says nothing of how long to wait for it.
                self.stray_bytes(Duration::ZERO, now);
            }
        }
    }

    /// How long the last byte before the commit point is held back, on a connection that has rested
    /// for so long (None: that is new). None: not at all.
    ///
    /// Two things are found out. Whether the connection breaks: that matters to what must not run twice, where a
    /// connection is new, has rested, or is one of a server whose connections broke on trial. And whether bytes come
    /// that were not asked for: those would be served as the answer to a request of any class, so all used connections
    /// are tried of a server that was caught with some, or has not yet proven to send none.
    pub fn hold_time(
        &self,
        rested: Option<Duration>,
        repeatable: bool,
        now: Instant,
    ) -> Option<Duration> {
        let round = self.handshake.unwrap_or_default();
        let trial = (round * TRIAL_ROUNDS).clamp(TRIAL, LONGEST_TRIAL);
        let in_doubt = rested.is_none_or(|rested| rested >= trial) && !mutant::is(Mutant::NoTrial);
        let may_break = in_doubt || is_recent(self.broke, now);
        let may_stray = rested.is_some() && self.answers_in_doubt(now);
        (may_stray || !repeatable && may_break).then_some(trial)
    }
}

/// Whether a server was caught lately.
fn is_recent(caught: Option<Instant>, now: Instant) -> bool {
    caught.is_some_and(|caught| now.saturating_duration_since(caught) < CAUGHT_FOR)
}

#[cfg(test)]
mod tests;
