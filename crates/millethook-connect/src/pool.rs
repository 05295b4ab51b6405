//! The connections of all servers: which are opening, in use, in quarantine or idle, and which of them
//! may be used.
//!
//! A connection's states, and what leads from one to the next:
//!
//! ```text
//! opening --> in use --> quarantine --> idle --> in use (perhaps on trial) ...
//!    |           |           |           |
//!    +-----------+--> gone <-+-----------+   discarded, closed by the server, retired ahead of its
//!                                            idle limit, given up for another server's request
//! ```
//!
//! The pool owns what rests; what is opening or in use is counted, and its owner tells the end.

mod check;
mod checkout;
mod counts;
mod limits;
mod matching;
mod server;

use std::hash::Hash;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;

use crate::mutant::{self, Mutant};
use crate::observations::ConnectionFault;

pub use checkout::{Checkout, SocketState};
pub use counts::{Counts, Ended};
pub use limits::{Limits, Reuse};
pub use matching::Matching;
use server::{IdleConnection, Server};

/// After so many spans without a connection what is known of a server is forgotten. Without this, the pool would grow
/// with each new server: one that has left may be asked for once more by a request that was decided on before.
pub const FORGET_AFTER_WINDOWS: u32 = 240;

/// The connections of all servers.
#[derive(Debug)]
pub struct Pool<K, C> {
    servers: FxHashMap<K, Server<C>>,
    limits: Limits,
    reuse: Reuse,
    resting: usize,
    ended: Ended,
}

impl<K: Copy + Eq + Hash, C> Pool<K, C> {
    /// A pool without connections.
    pub fn new(limits: Limits, reuse: Reuse) -> Pool<K, C> {
        let servers = FxHashMap::default();
        Pool { servers, limits, reuse, resting: 0, ended: Ended::default() }
    }

    /// From now on connections are used for so many requests. Those that are open follow: no answer on them has announced
    /// their end.
    pub fn set_reuse(&mut self, reuse: Reuse) {
        self.reuse = reuse;
    }

    /// A connection for a request: the one that came to rest last of those that are out of quarantine, so that
    /// the others may grow old and be retired. `look` tells how it is at this moment.
    pub fn checkout(
        &mut self,
        key: K,
        now: Instant,
        mut look: impl FnMut(&C) -> SocketState,
    ) -> Checkout<C> {
        let server = self.servers.entry(key).or_default();
        server.gone = false;
        let retire = server.observations.retire_after(self.limits.idle_timeout, now);
        let mut at = server.resting.len();
        while at > 0 {
            if !server.may_reuse(self.reuse, now) {
                self.resting -= server.resting.len();
                self.ended.given_up += server.resting.len() as u64;
                server.resting.clear();
                break;
            }
            at -= 1;
            let Some(found) = server.resting.get(at) else { break };
            if found.quarantined_until > now && !mutant::is(Mutant::NoQuarantine) {
                continue;
            }
            let Some(found) = server.resting.remove(at) else { break };
            self.resting -= 1;
            let rested = now.saturating_duration_since(found.since);
            let looked = if mutant::is(Mutant::NoLook) {
                SocketState::Quiet
            } else {
                look(&found.connection)
            };
            match looked {
                SocketState::Quiet if rested < retire || mutant::is(Mutant::NeverTooOld) => {
                    server.observations.rested_in_silence(rested);
                    server.use_one();
                    return Checkout::Reuse(found.connection, rested);
                }
                SocketState::Quiet => self.ended.retired += 1,
                SocketState::AddressChanged => self.ended.given_up += 1,
                SocketState::Closed => {
                    server.observations.closed_idle(rested, now);
                    self.ended.closed += 1;
                }
                SocketState::StrayBytes => {
                    server.observations.stray_bytes(rested, now);
                    self.ended.stray += 1;
                }
            }
        }
        if self.may_open(key) {
            return Checkout::Open;
        }
        Checkout::Wait(self.quarantined_until(key))
    }

    /// A new connection for a request whose answer has to be the first on its connection. Where a limit leaves no room, the
    /// server's connection that came to rest first makes some.
    pub fn checkout_new(&mut self, key: K) -> Checkout<C> {
        let server = self.servers.entry(key).or_default();
        server.gone = false;
        let is_full =
            server.all() >= self.limits.per_server && server.opening < self.limits.opening;
        if is_full && server.resting.pop_front().is_some() {
            self.resting -= 1;
            self.ended.given_up += 1;
        }
        if self.may_open(key) { Checkout::Open } else { Checkout::Wait(None) }
    }

    /// Whether one more connection to a server may be opened; if so, it counts as opening from now on.
    fn may_open(&mut self, key: K) -> bool {
        let server = self.servers.entry(key).or_default();
        let may_open = server.opening < self.limits.opening || mutant::is(Mutant::AnyHandshakes);
        let has_room = server.all() < self.limits.per_server || mutant::is(Mutant::AnyConnections);
        server.opening += usize::from(may_open && has_room);
        may_open && has_room
    }

    /// Whether a server has fewer connections than it may have.
    pub fn has_room(&self, key: K) -> bool {
        self.servers.get(&key).is_none_or(|server| server.all() < self.limits.per_server)
    }

    /// When the next of a server's connections at rest may be used; None: none rests.
    pub fn quarantined_until(&self, key: K) -> Option<Instant> {
        self.servers.get(&key)?.resting.iter().map(|resting| resting.quarantined_until).min()
    }

    /// A handshake that [`Checkout::Open`] allowed has come to an end: how long it took, if it came
    /// up. Its connection is in use from now on.
    pub fn handshake_finished(&mut self, key: K, took: Option<Duration>) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if took.is_some() || !mutant::is(Mutant::FailedStillOpening) {
            server.opening = server.opening.saturating_sub(1);
        }
        if let Some(took) = took {
            server.observations.connected(took);
            server.use_one();
        }
        self.forget(key);
    }

    /// A handshake that [`Pool::start_spare`] allowed has come to an end: its connection, if it came up, and
    /// how long it took. It is idle, and has no quarantine.
    pub fn spare_handshake_finished(
        &mut self,
        key: K,
        opened: Option<(C, Duration)>,
        now: Instant,
    ) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.opening = server.opening.saturating_sub(1);
        if let Some((connection, took)) =
            opened.filter(|_| !server.gone || mutant::is(Mutant::SpareToGone))
        {
            server.observations.connected(took);
            server.resting.push_back(IdleConnection {
                connection,
                since: now,
                quarantined_until: now,
            });
            self.resting += 1;
        }
        self.forget(key);
    }

    /// A connection in use is whole again: it is in quarantine, and then idle.
    pub fn release(&mut self, key: K, connection: C, now: Instant) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.in_use = server.in_use.saturating_sub(1);
        let kept = !server.gone && server.may_reuse(self.reuse, now);
        if kept || mutant::is(Mutant::ReleasedToGone) {
            let quarantined_until = now + server.observations.quarantine(now);
            server.resting.push_back(IdleConnection { connection, since: now, quarantined_until });
            self.resting += 1;
        }
        self.forget(key);
    }

    /// A connection in use is gone. `stray`: bytes came right behind an answer.
    pub fn discard(&mut self, key: K, stray: bool, now: Instant) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if !mutant::is(Mutant::DiscardedStillInUse) {
            server.in_use = server.in_use.saturating_sub(1);
        }
        if stray {
            server.observations.stray_bytes(Duration::ZERO, now);
            self.ended.stray += 1;
        }
        self.forget(key);
    }

    /// Forgets a server that has left once nothing of it is open.
    fn forget(&mut self, key: K) {
        if self.servers.get(&key).is_some_and(|server| server.gone && server.all() == 0) {
            self.servers.remove(&key);
        }
    }

    /// Whether a connection is to be opened ahead of need: more of the server's are in use than ever
    /// in the last span, and none is left. It counts as opening from now on.
    pub fn start_spare(&mut self, key: K) -> bool {
        let limits = self.limits;
        let Some(server) = self.servers.get_mut(&key) else { return false };
        let rising = server.in_use > server.last_peak
            && (server.resting.is_empty() || mutant::is(Mutant::SpareBesideResting));
        let most = if mutant::is(Mutant::AnySpares) { limits.opening } else { limits.spare };
        let wanted =
            rising && server.opening < most.min(limits.opening) && server.all() < limits.per_server;
        server.opening += usize::from(wanted);
        wanted
    }

    /// How long a request is on trial, on a connection that has rested so long (None: that is new).
    /// `repeatable`: run twice, it does no harm. See [`crate::observations::ServerObservations::hold_time`].
    pub fn hold_time(
        &self,
        key: K,
        rested: Option<Duration>,
        repeatable: bool,
        now: Instant,
    ) -> Option<Duration> {
        self.servers.get(&key)?.observations.hold_time(rested, repeatable, now)
    }

    /// A connection was caught in use, and is of no more use.
    pub fn record_fault(&mut self, key: K, what: ConnectionFault, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_fault(what, now);
        }
    }

    /// A connection that had carried an answer before has carried another one, and nothing beside it.
    pub fn record_clean_reuse(&mut self, key: K) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_clean_reuse();
        }
    }

    /// Whether an answer on a used connection has to be proven its request's own: always, or as the server has sent stray
    /// bytes lately.
    pub fn answers_need_proof(&self, key: K, now: Instant) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|server| server.answers_need_proof(self.reuse, now))
    }

    /// Whether the server announces the end of a connection where a request asks for it, as its last answer to such a
    /// request showed.
    pub fn announces_close(&self, key: K, now: Instant) -> bool {
        self.servers.get(&key).is_some_and(|server| server.observations.announces_close(now))
    }

    /// A request that asked for its connection's end was answered; `announced`: the answer's head says that it ends.
    pub fn record_close_request(&mut self, key: K, announced: bool, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_close_request(announced, now);
        }
    }

    /// Looks at every connection at rest and drops those that are of no more use. Returns how many.
    pub fn sweep_idle(&mut self, now: Instant, mut look: impl FnMut(&C) -> SocketState) -> usize {
        let (limits, ended) = (self.limits, &mut self.ended);
        let mut dropped = 0;
        for server in self.servers.values_mut() {
            let retire = server.observations.retire_after(limits.idle_timeout, now);
            let observations = &mut server.observations;
            let before = server.resting.len();
            server.resting.retain(|resting| {
                let rested = now.saturating_duration_since(resting.since);
                match look(&resting.connection) {
                    SocketState::Quiet if rested < retire || mutant::is(Mutant::NotRetired) => {
                        return true;
                    }
                    SocketState::Quiet => ended.retired += 1,
                    SocketState::AddressChanged => ended.given_up += 1,
                    SocketState::Closed => {
                        observations.closed_idle(rested, now);
                        ended.closed += 1;
                    }
                    SocketState::StrayBytes => {
                        observations.stray_bytes(rested, now);
                        ended.stray += 1;
                    }
                }
                false
            });
            dropped += before - server.resting.len();
        }
        self.resting -= dropped;
        dropped
    }

    /// Ends a span over which peaks are taken, and forgets servers that had no connection for long.
    pub fn start_next_window(&mut self) {
        self.servers.retain(|_, server| {
            server.last_peak = std::mem::replace(&mut server.peak, server.in_use);
            server.unused = if server.all() == 0 { server.unused + 1 } else { 0 };
            server.unused < FORGET_AFTER_WINDOWS || mutant::is(Mutant::NeverForgotten)
        });
    }

    /// Drops the connection that came to rest first, of all servers. False: none rests.
    pub fn evict_oldest_idle(&mut self) -> bool {
        let oldest = self.servers.values_mut().filter(|server| !server.resting.is_empty());
        let oldest = oldest.min_by_key(|server| server.resting.front().map(|r| r.since));
        let found = oldest.is_some_and(|server| {
            let given_up = if mutant::is(Mutant::YoungestGivenUp) {
                server.resting.pop_back()
            } else {
                server.resting.pop_front()
            };
            given_up.is_some()
        });
        self.resting -= usize::from(found && !mutant::is(Mutant::GivenUpStillCounted));
        self.ended.given_up += u64::from(found);
        found
    }

    /// Drops a server's connections that rest. `gone`: keeps none that are in use, either, once they
    /// are released, and forgets what is known of it.
    pub fn close_idle(&mut self, key: K, gone: bool) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if !gone || !mutant::is(Mutant::RestingOfGone) {
            self.resting -= server.resting.len();
            self.ended.given_up += server.resting.len() as u64;
            server.resting.clear();
        }
        server.gone |= gone;
        self.forget(key);
    }

    /// How many servers something is known of.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// The connections of all servers, by state.
    pub fn counts(&self) -> Counts {
        let sum = |of: fn(&Server<C>) -> usize| self.servers.values().map(of).sum();
        Counts { opening: sum(|s| s.opening), in_use: sum(|s| s.in_use), idle: self.resting }
    }

    /// Why connections ended.
    pub fn ended(&self) -> Ended {
        self.ended
    }
}
