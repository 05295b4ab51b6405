//! A stand-in for discovery: an agent for each sidecar that serves a directory of servers, on time, late, from an
//! older state, or not at all.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rand::Rng;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

use super::directory::{Directory, Entry};
use super::http::{HttpConnection, answer};
use super::registry::Registry;
use crate::ledger::{CallFate, DiscoveryCall, Listed, Micros, ServerNotice};
use crate::plan::stream;
use crate::timeline::Timeline;

/// Behaviour of an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It serves the current list.
    Normal,
    /// It does not answer.
    Down,
    /// It serves the list as it was at a time.
    Stale(Micros),
}

/// A call continues the previous watch if it comes within this time after the last answer.
const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// Status for calls to a full queue or to a discovery that is down.
const REFUSAL_STATUS: &str = "503 Service Unavailable";

/// The discovery agent of one sidecar, or its endpoint of a polled discovery service.
pub struct Agent {
    directory: Arc<Directory>,
    /// The queue of calls, if discovery is polled.
    registry: Option<Arc<Registry>>,
    /// Time of the last answer.
    last_answer: Mutex<Option<Instant>>,
    sidecar: usize,
    class: usize,
    late: f64,
    seed: u64,
    mode: watch::Sender<Mode>,
    /// History of modes, each with its start.
    modes: Mutex<Vec<(Micros, Mode)>>,
    /// Number of times that open watches were silenced.
    silenced: watch::Sender<u64>,
    last_states: Mutex<HashMap<usize, Listed>>,
    /// Stops the current listener.
    listener: Mutex<Option<watch::Sender<bool>>>,
}

impl Agent {
    /// Creates the agent of a sidecar. `class` is the sidecar's stream class, which selects the servers' addresses.
    pub fn new(
        directory: &Arc<Directory>,
        registry: Option<Arc<Registry>>,
        timeline: &Timeline,
        seed: u64,
        sidecar: usize,
        class: usize,
    ) -> Arc<Agent> {
        Arc::new(Agent {
            directory: directory.clone(),
            registry,
            last_answer: Mutex::default(),
            sidecar,
            class,
            late: timeline.discovery.late_s,
            seed,
            mode: watch::Sender::new(Mode::Normal),
            modes: Mutex::default(),
            silenced: watch::Sender::new(0),
            last_states: Mutex::default(),
            listener: Mutex::default(),
        })
    }

    /// Listens at a new address. The previous listener accepts nothing more, and its connections are closed after 1.5
    /// s.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn listen(self: &Arc<Agent>, at: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at).await?;
        let at = listener.local_addr()?;
        let (end, ended) = watch::channel(false);
        tokio::spawn(self.clone().accept(listener, ended));
        let old = self.listener.lock().unwrap_or_else(PoisonError::into_inner).replace(end);
        if let Some(old) = old {
            old.send_replace(true);
        }
        Ok(at)
    }

    /// Changes the behaviour.
    pub fn set_mode(&self, mode: Mode) {
        let now = self.directory.clock.now();
        self.modes.lock().unwrap_or_else(PoisonError::into_inner).push((now, mode));
        self.mode.send_replace(mode);
    }

    /// Leaves all open calls unanswered forever.
    pub fn silence_watches(&self) {
        let now = self.directory.clock.now();
        self.directory.ledger.open().silences.push((self.sidecar, now));
        self.silenced.send_modify(|times| *times += 1);
    }

    /// The first time from `at` on at which the agent is in normal mode.
    fn normal_from(&self, at: Micros) -> Option<Micros> {
        let modes = self.modes.lock().unwrap_or_else(PoisonError::into_inner);
        let then = modes.iter().rfind(|(since, _)| *since <= at).map_or(Mode::Normal, |m| m.1);
        if then == Mode::Normal {
            return Some(at);
        }
        modes.iter().find(|(since, mode)| *since > at && *mode == Mode::Normal).map(|m| m.0)
    }

    /// The state of each server that the agent could report, with the time from which on it could.
    pub fn available_notices(&self) -> Vec<ServerNotice> {
        let versions = self.directory.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut available: Vec<ServerNotice> = Vec::new();
        let mut last: HashMap<usize, Listed> = HashMap::new();
        let mut since = 0;
        for (n, version) in versions.iter().enumerate() {
            let visible_from = if version.at == 0 { 0 } else { version.at + self.lag(n + 1) };
            // Versions become visible to an agent in order.
            since = visible_from.max(since);
            let Some(at) = self.normal_from(since) else { break };
            let mut now: HashMap<usize, Listed> =
                version.entries.iter().map(|e| (e.server.row, listed(e))).collect();
            for row in last.keys() {
                now.entry(*row).or_insert(Listed::Leaving);
            }
            for (server, listed) in &now {
                if last.get(server) != Some(listed) {
                    available.push(ServerNotice {
                        at,
                        sidecar: self.sidecar,
                        server: *server,
                        listed: *listed,
                    });
                }
            }
            last = now;
        }
        available
    }

    async fn accept(self: Arc<Agent>, listener: TcpListener, mut ended: watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|ended| *ended) => return,
            };
            let Ok((stream, _)) = accepted else {
                sleep(Duration::from_millis(10)).await;
                continue;
            };
            let (agent, mut ended) = (self.clone(), ended.clone());
            tokio::spawn(async move {
                tokio::select! {
                    _ = agent.serve_connection(HttpConnection::new(stream)) => {}
                    () = async {
                        let _ = ended.wait_for(|ended| *ended).await;
                        sleep(Duration::from_millis(1500)).await;
                    } => {}
                }
            });
        }
    }

    async fn serve_connection(&self, mut connection: HttpConnection) -> io::Result<()> {
        while let Some(call) = connection.request().await? {
            let number = |key: &str| -> Option<u64> {
                let rest = &call.target[call.target.find(key)? + key.len()..];
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0).min(60_000));
            let mut silenced = self.silenced.subscribe();
            let from = number("from=").map(|from| from as usize);
            let waits =
                self.registry.as_ref().filter(|_| from.is_none() || !self.continues_watch());
            let called = self.directory.clock.now();
            if let Some(registry) = waits {
                let fate = tokio::select! {
                    fate = self.wait_for_turn(registry) => fate,
                    () = connection.wait_closed() => CallFate::HungUp,
                    _ = silenced.changed() => {
                        connection.wait_closed().await;
                        CallFate::HungUp
                    }
                };
                match fate {
                    CallFate::Answered => {}
                    CallFate::Refused => {
                        self.record_call(called, fate);
                        connection.send(answer(REFUSAL_STATUS, "", "").as_bytes()).await?;
                        continue;
                    }
                    CallFate::HungUp => {
                        self.record_call(called, fate);
                        return Ok(());
                    }
                }
            }
            let reply = tokio::select! {
                reply = self.reply(from, hold) => reply,
                () = connection.wait_closed() => return Ok(()),
                // A polled discovery closes its watches when it goes down.
                () = self.wait_until_down(), if self.registry.is_some() => return Ok(()),
                _ = silenced.changed() => {
                    connection.wait_closed().await;
                    return Ok(());
                }
            };
            let (complete, hosts, states) = reply.1;
            let body = json!({"seq": reply.0, "whole": complete, "hosts": hosts}).to_string();
            connection.send(answer("200 OK", "", &body).as_bytes()).await?;
            *self.last_answer.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
            if waits.is_some() {
                self.record_call(called, CallFate::Answered);
            }
            self.record_notices(states);
        }
        Ok(())
    }

    /// Whether the next call for changes continues the previous watch.
    fn continues_watch(&self) -> bool {
        let last_answer = self.last_answer.lock().unwrap_or_else(PoisonError::into_inner);
        last_answer.is_some_and(|at| at.elapsed() <= WATCH_CONTINUES_WITHIN)
    }

    /// Waits until the queued call has been processed.
    async fn wait_for_turn(&self, registry: &Registry) -> CallFate {
        if *self.mode.borrow() == Mode::Down {
            return CallFate::Refused;
        }
        let Ok(turn) = registry.enqueue() else { return CallFate::Refused };
        tokio::select! {
            turn = turn => turn.map_or(CallFate::Refused, |()| CallFate::Answered),
            () = self.wait_until_down() => CallFate::Refused,
        }
    }

    async fn wait_until_down(&self) {
        // This cannot fail: `self` owns the sender.
        let _ = self.mode.subscribe().wait_for(|mode| *mode == Mode::Down).await;
    }

    fn record_call(&self, at: Micros, fate: CallFate) {
        let ended = self.directory.clock.now();
        let call = DiscoveryCall { sidecar: self.sidecar, at, ended, fate };
        self.directory.ledger.open().calls.push(call);
    }

    /// The list version and the reply for a call. Waits while there is no change to report.
    async fn reply(&self, from: Option<usize>, hold: Duration) -> (usize, ListReply) {
        let mut modes = self.mode.subscribe();
        let mut changes = self.directory.changed.subscribe();
        let end = Instant::now() + hold;
        loop {
            changes.borrow_and_update();
            let mode = *modes.borrow_and_update();
            let now = self.directory.clock.now();
            let (seq, next) = match mode {
                Mode::Down => {
                    // The call gets no answer while the discovery is down.
                    let _ = modes.changed().await;
                    continue;
                }
                Mode::Normal => self.directory.visible(now, |version| self.lag(version)),
                Mode::Stale(at) => (self.directory.at(at), None),
            };
            // A restart of discovery resets its version numbers, so that versions from before it match no present
            // one.
            let version_offset = self.directory.version_offset();
            let from = from.map(|version| version + version_offset);
            if from != Some(seq) || end <= Instant::now() {
                return (seq.saturating_sub(version_offset), self.list_reply(from, seq, mode));
            }
            let next = next.map_or(hold, |next| Duration::from_micros(next - now));
            let wait = next.min(end.saturating_duration_since(Instant::now()));
            let _ = timeout(wait, async {
                tokio::select! {
                    _ = modes.changed() => {}
                    _ = changes.changed() => {}
                }
            })
            .await;
        }
    }

    /// The delay until a version becomes visible to this agent, in microseconds.
    fn lag(&self, version: usize) -> Micros {
        if self.late <= 0.0 {
            return 0;
        }
        let mut random = stream(self.seed, "lag", (self.sidecar as u64) << 32 | version as u64);
        (random.random::<f64>() * self.late * 1e6) as Micros
    }

    fn list_reply(&self, from: Option<usize>, seq: usize, mode: Mode) -> ListReply {
        let now = self.directory.version(seq);
        let before = from.filter(|from| (1..=seq).contains(from) && mode == Mode::Normal);
        let Some(before) = before.map(|from| self.directory.version(from)) else {
            let hosts = now.iter().map(|e| self.host(e, health(e))).collect();
            let mut states: Vec<_> = now.iter().map(|e| (e.server.row, listed(e))).collect();
            // A server that is missing from a full list has left.
            let last_states = self.last_states.lock().unwrap_or_else(PoisonError::into_inner);
            let gone = last_states.keys().filter(|row| now.iter().all(|e| e.server.row != **row));
            states.extend(gone.map(|row| (*row, Listed::Leaving)));
            return (true, hosts, states);
        };
        let same = |a: &Entry, b: &Entry| a.server.row == b.server.row && a.leaving == b.leaving;
        let updated = now.iter().filter(|e| !before.iter().any(|old| same(old, e)));
        let gone = before.iter().filter(|old| now.iter().all(|e| e.name != old.name));
        let mut hosts: Vec<Value> = updated.clone().map(|e| self.host(e, health(e))).collect();
        hosts.extend(gone.clone().map(|e| self.host(e, "left")));
        let mut states: Vec<_> = updated.map(|e| (e.server.row, listed(e))).collect();
        states.extend(gone.map(|e| (e.server.row, Listed::Leaving)));
        (false, hosts, states)
    }

    fn host(&self, entry: &Entry, health: &str) -> Value {
        json!({
            "host": entry.name, "dial": entry.server.addresses()[self.class].to_string(),
            "site": Timeline::zone_name(entry.server.zone), "class": "std", "block": 0,
            "health": health, "share": 1.0, "born_ms": entry.server.born_ms,
        })
    }

    fn record_notices(&self, states: Vec<(usize, Listed)>) {
        let at = self.directory.clock.now();
        let mut last_states = self.last_states.lock().unwrap_or_else(PoisonError::into_inner);
        let mut records = self.directory.ledger.open();
        for (server, listed) in states {
            if last_states.insert(server, listed) != Some(listed) {
                records.notices.push(ServerNotice { at, sidecar: self.sidecar, server, listed });
            }
        }
    }
}

/// Whether the list is complete, its entries, and the states of servers that it reports.
type ListReply = (bool, Vec<Value>, Vec<(usize, Listed)>);

fn health(entry: &Entry) -> &'static str {
    if entry.leaving { "leaving" } else { "active" }
}

fn listed(entry: &Entry) -> Listed {
    if entry.leaving { Listed::Leaving } else { Listed::Active }
}
