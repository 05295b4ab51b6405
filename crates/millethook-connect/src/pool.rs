//! The connection pool of all servers: which connections are opening, in use, in quarantine or idle, and
//! which of them a request may use.
//!
//! The states of a connection and the transitions between them:
//!
//! ```text
//! opening --> in use --> quarantine --> idle --> in use (the request may be held back at first) ...
//!    |           |           |           |
//!    +-----------+-> closed <+-----------+   discarded, closed by the server, retired before its
//!                                            idle limit, evicted for another server's request
//! ```
//!
//! The pool owns idle connections and those in quarantine. It only counts connections that are opening or in
//! use; their owner reports when they end.

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

/// After this many windows without a connection the pool forgets a server. Without this, the pool would grow
/// with each new server: a request that was assigned before its server left may bring the server's entry back.
pub const FORGET_AFTER_WINDOWS: u32 = 240;

/// A pool of connections `C` to servers with the keys `K`.
#[derive(Debug)]
pub struct Pool<K, C> {
    servers: FxHashMap<K, Server<C>>,
    limits: Limits,
    reuse: Reuse,
    idle: usize,
    ended: Ended,
}

impl<K: Copy + Eq + Hash, C> Pool<K, C> {
    /// Creates an empty pool.
    pub fn new(limits: Limits, reuse: Reuse) -> Pool<K, C> {
        let servers = FxHashMap::default();
        Pool { servers, limits, reuse, idle: 0, ended: Ended::default() }
    }

    /// Sets how often connections are reused. This also applies to open connections, since no answer on them has
    /// announced that they close.
    pub fn set_reuse(&mut self, reuse: Reuse) {
        self.reuse = reuse;
    }

    /// Finds a connection for a request: the one that became idle last of those that are out of quarantine, so that
    /// the others can reach their maximum idle time and be retired. `check_socket` reports the present state of a
    /// connection's socket.
    pub fn checkout(
        &mut self,
        key: K,
        now: Instant,
        mut check_socket: impl FnMut(&C) -> SocketState,
    ) -> Checkout<C> {
        let server = self.servers.entry(key).or_default();
        server.removed = false;
        let retire_after = server.observations.retire_after(self.limits.idle_timeout, now);
        let mut index = server.idle.len();
        while index > 0 {
            if !server.may_reuse(self.reuse, now) {
                self.idle -= server.idle.len();
                self.ended.given_up += server.idle.len() as u64;
                server.idle.clear();
                break;
            }
            index -= 1;
            let Some(found) = server.idle.get(index) else { break };
            if found.quarantined_until > now && !mutant::is(Mutant::NoQuarantine) {
                continue;
            }
            let Some(found) = server.idle.remove(index) else { break };
            self.idle -= 1;
            let idle_time = now.saturating_duration_since(found.idle_since);
            let state = if mutant::is(Mutant::SocketNotChecked) {
                SocketState::Quiet
            } else {
                check_socket(&found.connection)
            };
            match state {
                SocketState::Quiet
                    if idle_time < retire_after || mutant::is(Mutant::ExpiredHandedOut) =>
                {
                    server.observations.record_quiet_idle(idle_time);
                    server.mark_in_use();
                    return Checkout::Reuse(found.connection, idle_time);
                }
                SocketState::Quiet => self.ended.retired += 1,
                SocketState::EndpointChanged => self.ended.given_up += 1,
                SocketState::Closed => {
                    server.observations.record_idle_close(idle_time, now);
                    self.ended.closed += 1;
                }
                SocketState::StrayBytes => {
                    server.observations.record_stray_bytes(idle_time, now);
                    self.ended.stray += 1;
                }
            }
        }
        if self.may_open(key) {
            return Checkout::Open;
        }
        Checkout::Wait(self.quarantined_until(key))
    }

    /// Asks for a new connection, for a request whose answer has to be the first on its connection. If the server has
    /// reached its limit of connections, the one that became idle first is closed to make room.
    pub fn checkout_new(&mut self, key: K) -> Checkout<C> {
        let server = self.servers.entry(key).or_default();
        server.removed = false;
        let is_full = server.connection_count() >= self.limits.per_server
            && server.opening < self.limits.opening;
        if is_full && server.idle.pop_front().is_some() {
            self.idle -= 1;
            self.ended.given_up += 1;
        }
        if self.may_open(key) { Checkout::Open } else { Checkout::Wait(None) }
    }

    /// Whether one more connection to a server may be opened. If so, it is counted as opening.
    fn may_open(&mut self, key: K) -> bool {
        let server = self.servers.entry(key).or_default();
        let may_open =
            server.opening < self.limits.opening || mutant::is(Mutant::UnboundedHandshakes);
        let has_room = server.connection_count() < self.limits.per_server
            || mutant::is(Mutant::UnboundedConnections);
        server.opening += usize::from(may_open && has_room);
        may_open && has_room
    }

    /// Whether a server has fewer connections than the limit.
    pub fn has_room(&self, key: K) -> bool {
        self.servers
            .get(&key)
            .is_none_or(|server| server.connection_count() < self.limits.per_server)
    }

    /// The earliest time at which one of a server's idle connections may be used; None if none is idle.
    pub fn quarantined_until(&self, key: K) -> Option<Instant> {
        self.servers.get(&key)?.idle.iter().map(|entry| entry.quarantined_until).min()
    }

    /// Reports the end of a handshake that [`Checkout::Open`] allowed, with its duration if it succeeded. Its
    /// connection is then in use.
    pub fn handshake_finished(&mut self, key: K, duration: Option<Duration>) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if duration.is_some() || !mutant::is(Mutant::FailedStillOpening) {
            server.opening = server.opening.saturating_sub(1);
        }
        if let Some(duration) = duration {
            server.observations.record_handshake(duration);
            server.mark_in_use();
        }
        self.forget_if_removed(key);
    }

    /// Reports the end of a handshake that [`Pool::start_spare`] allowed, with the connection and the duration if it
    /// succeeded. The connection is idle without a quarantine.
    pub fn spare_handshake_finished(
        &mut self,
        key: K,
        opened: Option<(C, Duration)>,
        now: Instant,
    ) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.opening = server.opening.saturating_sub(1);
        if let Some((connection, duration)) =
            opened.filter(|_| !server.removed || mutant::is(Mutant::SpareAfterRemoval))
        {
            server.observations.record_handshake(duration);
            server.idle.push_back(IdleConnection {
                connection,
                idle_since: now,
                quarantined_until: now,
            });
            self.idle += 1;
        }
        self.forget_if_removed(key);
    }

    /// Takes back a connection that can be reused. It is in quarantine first and then idle.
    pub fn release(&mut self, key: K, connection: C, now: Instant) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        server.in_use = server.in_use.saturating_sub(1);
        let is_kept = !server.removed && server.may_reuse(self.reuse, now);
        if is_kept || mutant::is(Mutant::ReleasedAfterRemoval) {
            let quarantined_until = now + server.observations.quarantine(now);
            server.idle.push_back(IdleConnection {
                connection,
                idle_since: now,
                quarantined_until,
            });
            self.idle += 1;
        }
        self.forget_if_removed(key);
    }

    /// Reports that a connection in use was closed. `stray`: bytes came directly behind an answer.
    pub fn discard(&mut self, key: K, stray: bool, now: Instant) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if !mutant::is(Mutant::DiscardedStillInUse) {
            server.in_use = server.in_use.saturating_sub(1);
        }
        if stray {
            server.observations.record_stray_bytes(Duration::ZERO, now);
            self.ended.stray += 1;
        }
        self.forget_if_removed(key);
    }

    /// Forgets a removed server once it has no connection.
    fn forget_if_removed(&mut self, key: K) {
        if self
            .servers
            .get(&key)
            .is_some_and(|server| server.removed && server.connection_count() == 0)
        {
            self.servers.remove(&key);
        }
    }

    /// Whether to open a spare connection ahead of need: more connections of the server are in use than at any time in
    /// the last window, and none is idle. If so, it is counted as opening.
    pub fn start_spare(&mut self, key: K) -> bool {
        let limits = self.limits;
        let Some(server) = self.servers.get_mut(&key) else { return false };
        let use_rises = server.in_use > server.last_peak
            && (server.idle.is_empty() || mutant::is(Mutant::SpareDespiteIdle));
        let max_spares =
            if mutant::is(Mutant::UnboundedSpares) { limits.opening } else { limits.spare };
        let is_wanted = use_rises
            && server.opening < max_spares.min(limits.opening)
            && server.connection_count() < limits.per_server;
        server.opening += usize::from(is_wanted);
        is_wanted
    }

    /// How long to hold back the byte at a request's commit point on a connection that was idle for `idle_time` (None:
    /// a new connection); None: not at all. `repeatable`: the request may run twice without harm. See
    /// [`crate::observations::ServerObservations::hold_time`].
    pub fn hold_time(
        &self,
        key: K,
        idle_time: Option<Duration>,
        repeatable: bool,
        now: Instant,
    ) -> Option<Duration> {
        self.servers.get(&key)?.observations.hold_time(idle_time, repeatable, now)
    }

    /// Records a fault of a connection in use, which cannot be used any more.
    pub fn record_fault(&mut self, key: K, fault: ConnectionFault, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_fault(fault, now);
        }
    }

    /// Records that a reused connection has carried another answer and no stray bytes.
    pub fn record_clean_reuse(&mut self, key: K) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_clean_reuse();
        }
    }

    /// Whether it has to be proven that an answer on a reused connection belongs to its request: always with
    /// [`Reuse::Proven`], otherwise if the server has recently sent stray bytes.
    pub fn answers_need_proof(&self, key: K, now: Instant) -> bool {
        let server = self.servers.get(&key);
        server.is_some_and(|server| server.answers_need_proof(self.reuse, now))
    }

    /// Whether the server announces the close of a connection when a request asks for it, according to its last answer
    /// to such a request.
    pub fn announces_close(&self, key: K, now: Instant) -> bool {
        self.servers.get(&key).is_some_and(|server| server.observations.announces_close(now))
    }

    /// Records an answer to a request that asked to close its connection. `announced`: the answer's head announces the
    /// close.
    pub fn record_close_request(&mut self, key: K, announced: bool, now: Instant) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.observations.record_close_request(announced, now);
        }
    }

    /// Checks every idle connection and drops those that cannot be used any more. Returns how many were dropped.
    pub fn sweep_idle(
        &mut self,
        now: Instant,
        mut check_socket: impl FnMut(&C) -> SocketState,
    ) -> usize {
        let (limits, ended) = (self.limits, &mut self.ended);
        let mut dropped = 0;
        for server in self.servers.values_mut() {
            let retire_after = server.observations.retire_after(limits.idle_timeout, now);
            let observations = &mut server.observations;
            let count_before = server.idle.len();
            server.idle.retain(|entry| {
                let idle_time = now.saturating_duration_since(entry.idle_since);
                match check_socket(&entry.connection) {
                    SocketState::Quiet
                        if idle_time < retire_after || mutant::is(Mutant::ExpiredKept) =>
                    {
                        return true;
                    }
                    SocketState::Quiet => ended.retired += 1,
                    SocketState::EndpointChanged => ended.given_up += 1,
                    SocketState::Closed => {
                        observations.record_idle_close(idle_time, now);
                        ended.closed += 1;
                    }
                    SocketState::StrayBytes => {
                        observations.record_stray_bytes(idle_time, now);
                        ended.stray += 1;
                    }
                }
                false
            });
            dropped += count_before - server.idle.len();
        }
        self.idle -= dropped;
        dropped
    }

    /// Starts the next window for the peaks of connections in use. Forgets servers that had no connection for
    /// [`FORGET_AFTER_WINDOWS`].
    pub fn start_next_window(&mut self) {
        self.servers.retain(|_, server| {
            server.last_peak = std::mem::replace(&mut server.peak, server.in_use);
            server.empty_windows =
                if server.connection_count() == 0 { server.empty_windows + 1 } else { 0 };
            server.empty_windows < FORGET_AFTER_WINDOWS || mutant::is(Mutant::UnusedServersKept)
        });
    }

    /// Drops the connection that has been idle for the longest time, of all servers. Returns false if none is idle.
    pub fn evict_oldest_idle(&mut self) -> bool {
        let oldest = self.servers.values_mut().filter(|server| !server.idle.is_empty());
        let oldest = oldest.min_by_key(|server| server.idle.front().map(|entry| entry.idle_since));
        let was_evicted = oldest.is_some_and(|server| {
            let evicted = if mutant::is(Mutant::NewestEvicted) {
                server.idle.pop_back()
            } else {
                server.idle.pop_front()
            };
            evicted.is_some()
        });
        self.idle -= usize::from(was_evicted && !mutant::is(Mutant::EvictedStillCounted));
        self.ended.given_up += u64::from(was_evicted);
        was_evicted
    }

    /// Drops a server's idle connections. `removed`: the server has left; its connections in use are dropped when they
    /// are released, and then the pool forgets the server.
    pub fn close_idle(&mut self, key: K, removed: bool) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if !removed || !mutant::is(Mutant::IdleKeptAfterRemoval) {
            self.idle -= server.idle.len();
            self.ended.given_up += server.idle.len() as u64;
            server.idle.clear();
        }
        server.removed |= removed;
        self.forget_if_removed(key);
    }

    /// The number of servers that the pool knows.
    pub fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// The number of connections of all servers, by state.
    pub fn counts(&self) -> Counts {
        let sum = |of: fn(&Server<C>) -> usize| self.servers.values().map(of).sum();
        Counts {
            opening: sum(|server| server.opening),
            in_use: sum(|server| server.in_use),
            idle: self.idle,
        }
    }

    /// The number of connections that ended, by reason.
    pub fn ended(&self) -> Ended {
        self.ended
    }
}
