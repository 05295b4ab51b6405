//! A pool with a model of what it should hold, and the rules that are checked after each step.

use std::time::{Duration, Instant};

use millethook_connect::pool::{Checkout, FORGET_AFTER_WINDOWS, Limits, Pool, Reuse, SocketState};

use super::connections::{Connection, Entry, OpenConnections, State};
use super::script::{SERVERS, Step};

const MS: Duration = Duration::from_millis(1);
const LIMITS: Limits =
    Limits { per_server: 4, opening: 3, spare: 2, idle_timeout: Duration::from_secs(3) };
/// The minimum quarantine.
const MIN_QUARANTINE: Duration = Duration::from_micros(100);
/// The maximum quarantine.
const MAX_QUARANTINE: Duration = Duration::from_millis(200);
/// For this long after stray bytes a quarantine is at least twice their lag.
const STRAY_BYTES_TTL: Duration = Duration::from_secs(60);
/// The server that announces the close of a connection when a request asks for it. The others do not.
const ANNOUNCES_CLOSE: u8 = 0;
/// The share of the idle timeout for which a connection may be idle and be reused.
const IDLE_LIMIT_SHARE: f64 = 0.7;

/// The expected state of one server.
#[derive(Default)]
struct ExpectedServer {
    /// The handshakes in progress for requests, and of spare connections.
    opening: usize,
    opening_spares: usize,
    in_use: Vec<Connection>,
    /// The lag of the latest stray bytes behind an answer, and when they came.
    latest_stray_lag: Option<(Duration, Instant)>,
    /// When stray bytes last came, on any connection.
    last_stray: Option<Instant>,
    removed: bool,
    /// The number of windows since the server last had a connection.
    empty_windows: u32,
    /// The pool does not know the server: no request came yet, or none since the server was removed or had no
    /// connection for [`FORGET_AFTER_WINDOWS`].
    forgotten: bool,
}

/// A pool and its expected state.
struct Model {
    pool: Pool<u8, Connection>,
    servers: [ExpectedServer; SERVERS as usize],
    connections: OpenConnections,
    now: Instant,
    next_id: u32,
    /// The number of connections that the pool is expected to have dropped.
    ended: u64,
}

/// Runs a script on a new pool and checks all rules after each step.
///
/// # Errors
/// The rule that was broken, and the step that broke it.
pub fn run_script(script: &[Step]) -> Result<(), String> {
    let mut model = Model {
        pool: Pool::new(LIMITS, Reuse::Unlimited),
        servers: std::array::from_fn(|_| ExpectedServer {
            forgotten: true,
            ..ExpectedServer::default()
        }),
        connections: OpenConnections::default(),
        now: Instant::now(),
        next_id: 0,
        ended: 0,
    };
    for (n, step) in script.iter().enumerate() {
        let at_step = |violation: String| format!("step {n}, {step:?}: {violation}");
        model.step(*step).map_err(at_step)?;
        model.forget();
        model.pool.check(model.now).map_err(|violation| at_step(violation.to_string()))?;
        model.check().map_err(at_step)?;
    }
    Ok(())
}

/// Returns an error with this rule unless it holds.
fn require(holds: bool, rule: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(rule.to_owned()) }
}

impl Model {
    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Request(server) => return self.request(server),
            Step::Opened(server, succeeded) => self.opened(server, succeeded),
            Step::SpareOpened(server, succeeded) => return self.spare_opened(server, succeeded),
            Step::Spare(server) => return self.spare(server),
            Step::Released(n) => return self.released(n),
            Step::Discarded(n, stray) => self.discarded(n, stray),
            Step::ServerCloses(n) => self.set_socket(n, SocketState::Closed),
            Step::StrayBytes(n) => self.set_socket(n, SocketState::StrayBytes),
            Step::EndpointChanged(server) => self.address_changed(server),
            Step::Sweep => return self.sweep(),
            Step::Evict => return self.evict(),
            Step::CloseIdle(server, removed) => return self.close_idle(server, removed),
            Step::Pass(tenths) => self.now += MS * u32::from(tenths) / 10,
            Step::Jump(seconds) => self.now += Duration::from_secs(u64::from(seconds)),
            Step::Windows(windows) => self.windows(windows),
        }
        Ok(())
    }

    fn server(&mut self, key: u8) -> &mut ExpectedServer {
        &mut self.servers[usize::from(key)]
    }

    /// The idle connections of one server or of all, with the time since which they are idle.
    fn idle(&self, server: Option<u8>) -> Vec<(u32, Instant)> {
        let connections = self.connections.borrow();
        let entries =
            connections.iter().filter(|(_, entry)| server.is_none_or(|key| key == entry.server));
        let since = |(id, entry): (&u32, &Entry)| match entry.state {
            State::Idle { since, .. } => Some((*id, since)),
            State::InUse => None,
        };
        entries.filter_map(since).collect()
    }

    fn connection_count(&self, server: u8) -> usize {
        let expected = &self.servers[usize::from(server)];
        let open = expected.opening + expected.opening_spares + expected.in_use.len();
        open + self.idle(Some(server)).len()
    }

    fn request(&mut self, server: u8) -> Result<(), String> {
        let expected = self.server(server);
        expected.removed = false;
        if expected.forgotten {
            (expected.forgotten, expected.empty_windows, expected.latest_stray_lag) =
                (false, 0, None);
            expected.last_stray = None;
        }
        let count_before = self.connections.borrow().len();
        // The pool learns from the stray bytes that it finds here, and so does the model.
        let (mut stray, now) = (self.server(server).latest_stray_lag, self.now);
        let mut last_stray = self.server(server).last_stray;
        let connections = self.connections.clone();
        let found = self.pool.checkout(server, now, |connection| {
            let socket = connection.socket();
            if let (SocketState::StrayBytes, State::Idle { since, .. }) =
                (socket, connections.borrow()[&connection.id].state)
            {
                stray = Some((now - since, now));
                last_stray = Some(now);
            }
            socket
        });
        self.pool.record_close_request(server, server == ANNOUNCES_CLOSE, now);
        self.ended += (count_before - self.connections.borrow().len()) as u64;
        (self.server(server).latest_stray_lag, self.server(server).last_stray) =
            (stray, last_stray);
        match found {
            Checkout::Reuse(connection, idle_time) => self.reused(server, connection, idle_time),
            Checkout::Open => {
                let (count, expected) = (self.connection_count(server), self.server(server));
                let opening = expected.opening + expected.opening_spares;
                expected.opening += 1;
                require(
                    opening < LIMITS.opening,
                    "a request starts a handshake only within their limit",
                )?;
                require(
                    count < LIMITS.per_server,
                    "a request opens a connection only within their limit",
                )
            }
            Checkout::Wait(until) => {
                let (count, expected) = (self.connection_count(server), self.server(server));
                let opening = expected.opening + expected.opening_spares;
                let is_full = opening >= LIMITS.opening || count >= LIMITS.per_server;
                require(is_full, "a request waits only if no connection may be opened")?;
                let has_idle = !self.idle(Some(server)).is_empty();
                require(
                    until.is_some() == has_idle,
                    "a request waits for a quarantine if and only if a connection is idle",
                )?;
                let ends_in_time =
                    until.is_none_or(|until| now < until && until <= now + MAX_QUARANTINE);
                require(
                    ends_in_time,
                    "a quarantine that a request waits for ends within its maximum",
                )
            }
        }
    }

    fn reused(
        &mut self,
        server: u8,
        connection: Connection,
        idle_time: Duration,
    ) -> Result<(), String> {
        let mut connections = self.connections.borrow_mut();
        let Some(entry) = connections.get_mut(&connection.id) else {
            return Err("only open connections are handed out".to_owned());
        };
        let State::Idle { since, quarantine } = entry.state else {
            return Err("only idle connections are handed out".to_owned());
        };
        require(entry.server == server, "a connection is handed out only for its own server")?;
        require(
            entry.socket == SocketState::Quiet,
            "a connection is handed out only if its socket is usable",
        )?;
        require(
            idle_time == self.now - since,
            "the idle time of a connection is reported correctly",
        )?;
        require(idle_time >= quarantine, "a connection is handed out only after its quarantine")?;
        require(
            idle_time < LIMITS.idle_timeout.mul_f64(IDLE_LIMIT_SHARE),
            "a connection is handed out only before its maximum idle time",
        )?;
        require(self.may_reuse(server), "a connection is not handed out soon after stray bytes")?;
        (entry.state, entry.spare) = (State::InUse, false);
        drop(connections);
        self.server(server).in_use.push(connection);
        Ok(())
    }

    /// Whether a connection that has carried an answer may be reused.
    fn may_reuse(&self, server: u8) -> bool {
        let last_stray = self.servers[usize::from(server)].last_stray;
        server == ANNOUNCES_CLOSE
            || last_stray.is_none_or(|seen| self.now - seen >= STRAY_BYTES_TTL)
    }

    /// Opens a connection, which is in use or idle.
    fn connect(&mut self, server: u8, state: State, spare: bool) -> Connection {
        self.next_id += 1;
        let entry = Entry { server, state, socket: SocketState::Quiet, spare };
        Connection::open(self.next_id, entry, &self.connections)
    }

    fn opened(&mut self, server: u8, succeeded: bool) {
        if self.server(server).opening == 0 {
            return;
        }
        self.server(server).opening -= 1;
        self.pool.handshake_finished(server, succeeded.then_some(MS));
        if succeeded {
            let connection = self.connect(server, State::InUse, false);
            self.server(server).in_use.push(connection);
        }
    }

    fn spare(&mut self, server: u8) -> Result<(), String> {
        if !self.pool.start_spare(server) {
            return Ok(());
        }
        let count = self.connection_count(server);
        let has_idle = !self.idle(Some(server)).is_empty();
        let expected = self.server(server);
        expected.opening_spares += 1;
        let opening = expected.opening + expected.opening_spares;
        require(
            !expected.in_use.is_empty(),
            "a spare connection is opened only if others are in use",
        )?;
        require(!has_idle, "a spare connection is opened only if none is idle")?;
        require(opening <= LIMITS.opening, "spare connections keep the limit of handshakes")?;
        require(count < LIMITS.per_server, "spare connections keep the limit of connections")
    }

    fn spare_opened(&mut self, server: u8, succeeded: bool) -> Result<(), String> {
        if self.server(server).opening_spares == 0 {
            return Ok(());
        }
        self.server(server).opening_spares -= 1;
        let (now, removed) = (self.now, self.server(server).removed);
        // No request was sent on it, so it has no quarantine.
        let state = State::Idle { since: now, quarantine: Duration::ZERO };
        let opened = succeeded.then(|| (self.connect(server, state, true), MS));
        self.pool.spare_handshake_finished(server, opened, now);
        let is_kept = self.connections.borrow().contains_key(&self.next_id);
        require(
            !succeeded || is_kept != removed,
            "a spare connection is kept unless its server was removed",
        )
    }

    /// Takes one of the connections in use.
    fn take_in_use(&mut self, n: u16) -> Option<(u8, Connection)> {
        let count: usize = self.servers.iter().map(|expected| expected.in_use.len()).sum();
        let mut n = usize::from(n) % count.max(1);
        for (server, expected) in (0..).zip(&mut self.servers) {
            if n < expected.in_use.len() {
                return Some((server, expected.in_use.swap_remove(n)));
            }
            n -= expected.in_use.len();
        }
        None
    }

    fn released(&mut self, n: u16) -> Result<(), String> {
        let Some((server, connection)) = self.take_in_use(n) else { return Ok(()) };
        let (now, expected) = (self.now, &self.servers[usize::from(server)]);
        let recent = expected.latest_stray_lag.filter(|(_, seen)| now - *seen <= STRAY_BYTES_TTL);
        // Slightly less than twice the lag, since fractions of durations are rounded.
        let learned = recent.map_or(Duration::ZERO, |(lag, _)| lag.mul_f64(1.99));
        let quarantine = learned.clamp(MIN_QUARANTINE, MAX_QUARANTINE);
        let (removed, id) = (expected.removed, connection.id);
        if let Some(entry) = self.connections.borrow_mut().get_mut(&id) {
            entry.state = State::Idle { since: now, quarantine };
        }
        self.pool.release(server, connection, now);
        let is_kept = self.connections.borrow().contains_key(&id);
        let may_keep = !removed && self.may_reuse(server);
        require(
            is_kept == may_keep,
            "a released connection is kept unless its server was removed or sent stray bytes",
        )
    }

    fn discarded(&mut self, n: u16, stray: bool) {
        let Some((server, connection)) = self.take_in_use(n) else { return };
        drop(connection);
        self.pool.discard(server, stray, self.now);
        if stray {
            self.server(server).last_stray = Some(self.now);
        }
        self.ended += u64::from(stray);
    }

    /// Changes the state of an idle connection's socket.
    fn set_socket(&mut self, n: u16, socket: SocketState) {
        let idle = self.idle(None);
        let Some((id, _)) = idle.get(usize::from(n) % idle.len().max(1)) else { return };
        if let Some(entry) = self.connections.borrow_mut().get_mut(id) {
            entry.socket = socket;
        }
    }

    fn address_changed(&mut self, server: u8) {
        for entry in
            self.connections.borrow_mut().values_mut().filter(|entry| entry.server == server)
        {
            entry.socket = SocketState::EndpointChanged;
        }
    }

    fn sweep(&mut self) -> Result<(), String> {
        let (count_before, now) = (self.connections.borrow().len(), self.now);
        let mut stray: Vec<(u8, Duration)> = Vec::new();
        let connections = self.connections.clone();
        let dropped = self.pool.sweep_idle(now, |connection| {
            let entry = connections.borrow()[&connection.id];
            if let (SocketState::StrayBytes, State::Idle { since, .. }) =
                (entry.socket, entry.state)
            {
                stray.push((entry.server, now - since));
            }
            entry.socket
        });
        for (server, lag) in stray {
            self.server(server).latest_stray_lag = Some((lag, now));
            self.server(server).last_stray = Some(now);
        }
        self.ended += dropped as u64;
        require(
            count_before - self.connections.borrow().len() == dropped,
            "the number of dropped connections is reported correctly",
        )?;
        let limit = LIMITS.idle_timeout.mul_f64(IDLE_LIMIT_SHARE);
        let none_expired = self.idle(None).iter().all(|(_, since)| now - *since < limit);
        require(none_expired, "connections are retired at their maximum idle time")?;
        let is_idle = |entry: &&Entry| matches!(entry.state, State::Idle { .. });
        let all_usable = self
            .connections
            .borrow()
            .values()
            .filter(is_idle)
            .all(|entry| entry.socket == SocketState::Quiet);
        require(all_usable, "unusable idle connections are dropped")
    }

    fn evict(&mut self) -> Result<(), String> {
        let idle = self.idle(None);
        let oldest = idle.iter().map(|(_, since)| *since).min();
        let dropped = self.pool.evict_oldest_idle();
        self.ended += u64::from(dropped);
        require(dropped == oldest.is_some(), "an idle connection is evicted if there is one")?;
        let remaining = self.idle(None);
        require(
            idle.len() - remaining.len() == usize::from(dropped),
            "one connection is evicted at a time",
        )?;
        let evicted =
            idle.iter().find(|connection| !remaining.contains(connection)).map(|(_, since)| *since);
        require(evicted == oldest, "the connection that became idle first is evicted")
    }

    fn close_idle(&mut self, server: u8, removed: bool) -> Result<(), String> {
        self.ended += self.idle(Some(server)).len() as u64;
        self.pool.close_idle(server, removed);
        self.server(server).removed |= removed;
        require(self.idle(Some(server)).is_empty(), "all idle connections are closed")
    }

    fn windows(&mut self, windows: u16) {
        for _ in 0..windows {
            self.pool.start_next_window();
            for server in 0..SERVERS {
                let is_unused = self.connection_count(server) == 0;
                let expected = self.server(server);
                expected.empty_windows = if is_unused { expected.empty_windows + 1 } else { 0 };
                expected.forgotten |= expected.empty_windows >= FORGET_AFTER_WINDOWS;
            }
        }
    }

    /// Marks removed servers without connections as forgotten.
    fn forget(&mut self) {
        for server in 0..SERVERS {
            let is_unused = self.connection_count(server) == 0;
            let expected = self.server(server);
            expected.forgotten |= expected.removed && is_unused;
        }
    }

    /// Checks the rules that hold after each step.
    fn check(&self) -> Result<(), String> {
        let counts = self.pool.counts();
        let sum = |of: fn(&ExpectedServer) -> usize| self.servers.iter().map(of).sum::<usize>();
        let opening = sum(|expected| expected.opening + expected.opening_spares);
        let in_use = sum(|expected| expected.in_use.len());
        require(counts.opening == opening, "the count of handshakes is correct")?;
        require(counts.in_use == in_use, "the count of connections in use is correct")?;
        require(counts.idle == self.idle(None).len(), "the count of idle connections is correct")?;
        let ended = self.pool.ended();
        let ended = ended.closed + ended.stray + ended.retired + ended.given_up;
        require(ended == self.ended, "each connection that ended is counted once")?;
        for server in 0..SERVERS {
            let connections = self.connections.borrow();
            let spares =
                connections.values().filter(|entry| entry.server == server && entry.spare).count();
            let expected = &self.servers[usize::from(server)];
            let spares = spares + expected.opening_spares;
            require(spares <= LIMITS.spare, "spare connections are within their limit")?;
        }
        let known = self.servers.iter().filter(|expected| !expected.forgotten).count();
        require(
            self.pool.known_servers() == known,
            "a server without connections is forgotten after the limit of windows",
        )
    }
}
