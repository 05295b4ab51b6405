//! A pool, its owner and its servers, and the rules that the owner sees.

use std::time::{Duration, Instant};

use millethook_connect::pool::{Checkout, FORGET_AFTER_WINDOWS, Limits, Pool, Reuse, SocketState};

use super::record::{Connection, Entry, Record, State};
use super::script::{SERVERS, Step};

const MS: Duration = Duration::from_millis(1);
const LIMITS: Limits =
    Limits { per_server: 4, opening: 3, spare: 2, idle_timeout: Duration::from_secs(3) };
/// A quarantine has at least this length.
const SHORTEST_QUARANTINE: Duration = Duration::from_micros(100);
/// And at most this one.
const LONGEST_QUARANTINE: Duration = Duration::from_millis(200);
/// For so long after stray bytes a quarantine is at least twice their lateness.
const STRAY_BYTES_REMEMBERED: Duration = Duration::from_secs(60);
/// The server that announces the end of a connection where a request asks for it; the others do not.
const ANNOUNCES_CLOSE: u8 = 0;
/// The share of its idle limit for which a connection may rest and be used.
const IDLE_SHARE: f64 = 0.7;

/// What the owner knows of one server.
#[derive(Default)]
struct Owner {
    /// Handshakes for requests, and ahead of need.
    opening: usize,
    spares_opening: usize,
    in_use: Vec<Connection>,
    /// The latest stray bytes after an answer: how late, and when they came.
    stray: Option<(Duration, Instant)>,
    /// When stray bytes came last, wherever they were seen.
    strayed: Option<Instant>,
    gone: bool,
    /// Spans that have ended since it had a connection.
    unused_spans: u32,
    /// The pool knows nothing of it: no request came yet, or none since it left or had no connection for long.
    forgotten: bool,
}

struct World {
    pool: Pool<u8, Connection>,
    owners: [Owner; SERVERS as usize],
    record: Record,
    now: Instant,
    next_id: u32,
    /// Connections that the pool has dropped, by its own count and by ours.
    ended: u64,
}

/// Plays a script.
///
/// # Errors
/// The rule that was broken, and by what.
pub fn play(script: &[Step]) -> Result<(), String> {
    let mut world = World {
        pool: Pool::new(LIMITS, Reuse::Unlimited),
        owners: std::array::from_fn(|_| Owner { forgotten: true, ..Owner::default() }),
        record: Record::default(),
        now: Instant::now(),
        next_id: 0,
        ended: 0,
    };
    for (n, step) in script.iter().enumerate() {
        let wrong = |wrong: String| format!("step {n}, {step:?}: {wrong}");
        world.step(*step).map_err(wrong)?;
        world.forget();
        world.pool.check(world.now).map_err(|violation| wrong(violation.to_string()))?;
        world.check().map_err(wrong)?;
    }
    Ok(())
}

/// An error unless this holds.
fn rule(holds: bool, rule: &str) -> Result<(), String> {
    if holds { Ok(()) } else { Err(rule.to_owned()) }
}

impl World {
    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Request(server) => return self.request(server),
            Step::Opened(server, up) => self.opened(server, up),
            Step::SpareOpened(server, up) => return self.spare_opened(server, up),
            Step::Spare(server) => return self.spare(server),
            Step::Released(n) => return self.released(n),
            Step::Discarded(n, stray) => self.discarded(n, stray),
            Step::ServerCloses(n) => self.socket_shows(n, SocketState::Closed),
            Step::StrayBytes(n) => self.socket_shows(n, SocketState::StrayBytes),
            Step::Moved(server) => self.moved(server),
            Step::Watch => return self.watch(),
            Step::GiveUp => return self.give_up(),
            Step::Close(server, gone) => return self.close(server, gone),
            Step::Pass(tenths) => self.now += MS * u32::from(tenths) / 10,
            Step::Jump(seconds) => self.now += Duration::from_secs(u64::from(seconds)),
            Step::Spans(spans) => self.spans(spans),
        }
        Ok(())
    }

    fn owner(&mut self, server: u8) -> &mut Owner {
        &mut self.owners[usize::from(server)]
    }

    /// Connections that rest, of one server or of all.
    fn resting(&self, server: Option<u8>) -> Vec<(u32, Instant)> {
        let record = self.record.borrow();
        let of = record.iter().filter(|(_, entry)| server.is_none_or(|s| s == entry.server));
        let since = |(id, entry): (&u32, &Entry)| match entry.state {
            State::Resting { since, .. } => Some((*id, since)),
            State::InUse => None,
        };
        of.filter_map(since).collect()
    }

    fn all(&self, server: u8) -> usize {
        let owner = &self.owners[usize::from(server)];
        let open = owner.opening + owner.spares_opening + owner.in_use.len();
        open + self.resting(Some(server)).len()
    }

    fn request(&mut self, server: u8) -> Result<(), String> {
        let owner = self.owner(server);
        owner.gone = false;
        if owner.forgotten {
            (owner.forgotten, owner.unused_spans, owner.stray) = (false, 0, None);
            owner.strayed = None;
        }
        let before = self.record.borrow().len();
        // What stray bytes the pool finds on the way it learns from, and so does the owner.
        let (mut stray, now) = (self.owner(server).stray, self.now);
        let mut strayed = self.owner(server).strayed;
        let record = self.record.clone();
        let found = self.pool.checkout(server, now, |connection| {
            let look = connection.look();
            if let (SocketState::StrayBytes, State::Resting { since, .. }) =
                (look, record.borrow()[&connection.id].state)
            {
                stray = Some((now - since, now));
                strayed = Some(now);
            }
            look
        });
        self.pool.record_close_request(server, server == ANNOUNCES_CLOSE, now);
        self.ended += (before - self.record.borrow().len()) as u64;
        (self.owner(server).stray, self.owner(server).strayed) = (stray, strayed);
        match found {
            Checkout::Reuse(connection, rested) => self.reused(server, connection, rested),
            Checkout::Open => {
                let (all, owner) = (self.all(server), self.owner(server));
                let opening = owner.opening + owner.spares_opening;
                owner.opening += 1;
                rule(opening < LIMITS.opening, "a handshake more than the limit")?;
                rule(all < LIMITS.per_server, "a connection more than the limit")
            }
            Checkout::Wait(until) => {
                let (all, owner) = (self.all(server), self.owner(server));
                let opening = owner.opening + owner.spares_opening;
                let full = opening >= LIMITS.opening || all >= LIMITS.per_server;
                rule(full, "a request waits though a connection may be opened")?;
                let rests = !self.resting(Some(server)).is_empty();
                rule(until.is_some() == rests, "a request waits for a connection that rests")?;
                let soon = until.is_none_or(|at| now < at && at <= now + LONGEST_QUARANTINE);
                rule(soon, "a quarantine that is waited for has an end")
            }
        }
    }

    fn reused(
        &mut self,
        server: u8,
        connection: Connection,
        rested: Duration,
    ) -> Result<(), String> {
        let mut record = self.record.borrow_mut();
        let Some(entry) = record.get_mut(&connection.id) else {
            return Err("a connection is handed out that is closed".to_owned());
        };
        let State::Resting { since, quarantine } = entry.state else {
            return Err("a connection is handed out that carries a request".to_owned());
        };
        rule(entry.server == server, "a connection is handed out for its own server")?;
        rule(
            entry.look == SocketState::Quiet,
            "a connection is handed out though its socket has ended",
        )?;
        rule(rested == self.now - since, "it is told how long a connection has rested")?;
        rule(rested >= quarantine, "a connection is handed out in its quarantine")?;
        rule(
            rested < LIMITS.idle_timeout.mul_f64(IDLE_SHARE),
            "a connection is handed out too late",
        )?;
        rule(self.may_reuse(server), "a connection is handed out soon after stray bytes")?;
        (entry.state, entry.spare) = (State::InUse, false);
        drop(record);
        self.owner(server).in_use.push(connection);
        Ok(())
    }

    /// Whether what has carried an answer may be used again.
    fn may_reuse(&self, server: u8) -> bool {
        let strayed = self.owners[usize::from(server)].strayed;
        server == ANNOUNCES_CLOSE
            || strayed.is_none_or(|seen| self.now - seen >= STRAY_BYTES_REMEMBERED)
    }

    /// A new connection, which is in use or rests.
    fn connect(&mut self, server: u8, state: State, spare: bool) -> Connection {
        self.next_id += 1;
        let entry = Entry { server, state, look: SocketState::Quiet, spare };
        Connection::open(self.next_id, entry, &self.record)
    }

    fn opened(&mut self, server: u8, up: bool) {
        if self.owner(server).opening == 0 {
            return;
        }
        self.owner(server).opening -= 1;
        self.pool.handshake_finished(server, up.then_some(MS));
        if up {
            let connection = self.connect(server, State::InUse, false);
            self.owner(server).in_use.push(connection);
        }
    }

    fn spare(&mut self, server: u8) -> Result<(), String> {
        if !self.pool.start_spare(server) {
            return Ok(());
        }
        let all = self.all(server);
        let rests = !self.resting(Some(server)).is_empty();
        let owner = self.owner(server);
        owner.spares_opening += 1;
        let opening = owner.opening + owner.spares_opening;
        rule(!owner.in_use.is_empty(), "a spare connection is opened though none is in use")?;
        rule(!rests, "a spare connection is opened though one rests")?;
        rule(opening <= LIMITS.opening, "a spare handshake more than the limit")?;
        rule(all < LIMITS.per_server, "a spare connection more than the limit")
    }

    fn spare_opened(&mut self, server: u8, up: bool) -> Result<(), String> {
        if self.owner(server).spares_opening == 0 {
            return Ok(());
        }
        self.owner(server).spares_opening -= 1;
        let (now, gone) = (self.now, self.owner(server).gone);
        // Nothing was asked on it before, so it has no quarantine.
        let state = State::Resting { since: now, quarantine: Duration::ZERO };
        let opened = up.then(|| (self.connect(server, state, true), MS));
        self.pool.spare_handshake_finished(server, opened, now);
        let kept = self.record.borrow().contains_key(&self.next_id);
        rule(!up || kept != gone, "a spare connection rests, unless its server has left")
    }

    /// Takes one of the connections in use from its owner.
    fn take_in_use(&mut self, n: u16) -> Option<(u8, Connection)> {
        let count: usize = self.owners.iter().map(|owner| owner.in_use.len()).sum();
        let mut n = usize::from(n) % count.max(1);
        for (server, owner) in (0..).zip(&mut self.owners) {
            if n < owner.in_use.len() {
                return Some((server, owner.in_use.swap_remove(n)));
            }
            n -= owner.in_use.len();
        }
        None
    }

    fn released(&mut self, n: u16) -> Result<(), String> {
        let Some((server, connection)) = self.take_in_use(n) else { return Ok(()) };
        let (now, owner) = (self.now, &self.owners[usize::from(server)]);
        let recent = owner.stray.filter(|(_, seen)| now - *seen <= STRAY_BYTES_REMEMBERED);
        // A little less, as shares of lengths of time are rounded.
        let learned = recent.map_or(Duration::ZERO, |(late, _)| late.mul_f64(1.99));
        let quarantine = learned.clamp(SHORTEST_QUARANTINE, LONGEST_QUARANTINE);
        let (gone, id) = (owner.gone, connection.id);
        if let Some(entry) = self.record.borrow_mut().get_mut(&id) {
            entry.state = State::Resting { since: now, quarantine };
        }
        self.pool.release(server, connection, now);
        let kept = self.record.borrow().contains_key(&id);
        let may_rest = !gone && self.may_reuse(server);
        rule(kept == may_rest, "a released connection rests, unless its server has left or strayed")
    }

    fn discarded(&mut self, n: u16, stray: bool) {
        let Some((server, connection)) = self.take_in_use(n) else { return };
        drop(connection);
        self.pool.discard(server, stray, self.now);
        if stray {
            self.owner(server).strayed = Some(self.now);
        }
        self.ended += u64::from(stray);
    }

    /// Something comes on a connection that rests.
    fn socket_shows(&mut self, n: u16, look: SocketState) {
        let resting = self.resting(None);
        let Some((id, _)) = resting.get(usize::from(n) % resting.len().max(1)) else { return };
        if let Some(entry) = self.record.borrow_mut().get_mut(id) {
            entry.look = look;
        }
    }

    fn moved(&mut self, server: u8) {
        for entry in self.record.borrow_mut().values_mut().filter(|entry| entry.server == server) {
            entry.look = SocketState::AddressChanged;
        }
    }

    fn watch(&mut self) -> Result<(), String> {
        let (before, now) = (self.record.borrow().len(), self.now);
        let mut stray: Vec<(u8, Duration)> = Vec::new();
        let record = self.record.clone();
        let dropped = self.pool.sweep_idle(now, |connection| {
            let entry = record.borrow()[&connection.id];
            if let (SocketState::StrayBytes, State::Resting { since, .. }) =
                (entry.look, entry.state)
            {
                stray.push((entry.server, now - since));
            }
            entry.look
        });
        for (server, late) in stray {
            self.owner(server).stray = Some((late, now));
            self.owner(server).strayed = Some(now);
        }
        self.ended += dropped as u64;
        rule(before - self.record.borrow().len() == dropped, "it is told how many were dropped")?;
        let limit = LIMITS.idle_timeout.mul_f64(IDLE_SHARE);
        let young = self.resting(None).iter().all(|(_, since)| now - *since < limit);
        rule(young, "what has rested for long is retired")?;
        let resting = |entry: &&Entry| matches!(entry.state, State::Resting { .. });
        let well =
            self.record.borrow().values().filter(resting).all(|e| e.look == SocketState::Quiet);
        rule(well, "what has ended at rest is dropped")
    }

    fn give_up(&mut self) -> Result<(), String> {
        let resting = self.resting(None);
        let oldest = resting.iter().map(|(_, since)| *since).min();
        let dropped = self.pool.evict_oldest_idle();
        self.ended += u64::from(dropped);
        rule(dropped == oldest.is_some(), "one that rests is given up")?;
        let left = self.resting(None);
        rule(resting.len() - left.len() == usize::from(dropped), "one is given up at a time")?;
        let gone = resting.iter().find(|of| !left.contains(of)).map(|(_, since)| *since);
        rule(gone == oldest, "the one that came to rest first is given up")
    }

    fn close(&mut self, server: u8, gone: bool) -> Result<(), String> {
        self.ended += self.resting(Some(server)).len() as u64;
        self.pool.close_idle(server, gone);
        self.owner(server).gone |= gone;
        rule(self.resting(Some(server)).is_empty(), "all that rest are closed")
    }

    fn spans(&mut self, spans: u16) {
        for _ in 0..spans {
            self.pool.start_next_window();
            for server in 0..SERVERS {
                let unused = self.all(server) == 0;
                let owner = self.owner(server);
                owner.unused_spans = if unused { owner.unused_spans + 1 } else { 0 };
                owner.forgotten |= owner.unused_spans >= FORGET_AFTER_WINDOWS;
            }
        }
    }

    /// Nothing is kept of a server that has left and has no connection.
    fn forget(&mut self) {
        for server in 0..SERVERS {
            let unused = self.all(server) == 0;
            let owner = self.owner(server);
            owner.forgotten |= owner.gone && unused;
        }
    }

    /// What holds after each step.
    fn check(&self) -> Result<(), String> {
        let counts = self.pool.counts();
        let sum = |of: fn(&Owner) -> usize| self.owners.iter().map(of).sum::<usize>();
        let opening = sum(|owner| owner.opening + owner.spares_opening);
        let in_use = sum(|owner| owner.in_use.len());
        rule(counts.opening == opening, "handshakes are those of the owner")?;
        rule(counts.in_use == in_use, "connections in use are those of the owner")?;
        rule(counts.idle == self.resting(None).len(), "connections at rest are those open")?;
        let ended = self.pool.ended();
        let ended = ended.closed + ended.stray + ended.retired + ended.given_up;
        rule(ended == self.ended, "each connection that ended at rest is counted once")?;
        for server in 0..SERVERS {
            let record = self.record.borrow();
            let spares = record.values().filter(|e| e.server == server && e.spare).count();
            let owner = &self.owners[usize::from(server)];
            let spares = spares + owner.spares_opening;
            rule(spares <= LIMITS.spare, "spare connections are within their number")?;
        }
        let known = self.owners.iter().filter(|owner| !owner.forgotten).count();
        rule(
            self.pool.known_servers() == known,
            "a server without connections is forgotten in time",
        )
    }
}
