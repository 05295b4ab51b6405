//! A stand-in for discovery: an agent beside each sidecar that tells of a directory, late, from an older state, or not
//! at all.

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

/// What an agent does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It tells the list.
    Well,
    /// It says nothing.
    Down,
    /// It tells the list as it was at a time.
    Stale(Micros),
}

/// A watch goes on if the next call comes within this.
const GOES_ON: Duration = Duration::from_millis(200);
/// What a full line, and a discovery that is down, says.
const REFUSAL: &str = "503 Service Unavailable";

/// The agent beside one sidecar, or what a discovery that is asked is to it.
pub struct Agent {
    directory: Arc<Directory>,
    /// Where discovery is asked: calls wait for their turn.
    registry: Option<Arc<Registry>>,
    /// When a call was last answered.
    answered: Mutex<Option<Instant>>,
    sidecar: usize,
    class: usize,
    late: f64,
    seed: u64,
    mode: watch::Sender<Mode>,
    /// What it did from when on.
    modes: Mutex<Vec<(Micros, Mode)>>,
    /// How often open watches have fallen silent.
    silenced: watch::Sender<u64>,
    told: Mutex<HashMap<usize, Listed>>,
    /// Ends the listener that is now in use.
    listener: Mutex<Option<watch::Sender<bool>>>,
}

impl Agent {
    /// One for a sidecar that reaches servers as its class of streams does.
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
            answered: Mutex::default(),
            sidecar,
            class,
            late: timeline.discovery.late_s,
            seed,
            mode: watch::Sender::new(Mode::Well),
            modes: Mutex::default(),
            silenced: watch::Sender::new(0),
            told: Mutex::default(),
            listener: Mutex::default(),
        })
    }

    /// Listens at a new address; an old one takes nothing from now on, and its connections end after 1.5 s.
    ///
    /// # Errors
    /// No address can be had.
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

    /// Changes what it does.
    pub fn be(&self, mode: Mode) {
        let now = self.directory.clock.now();
        self.modes.lock().unwrap_or_else(PoisonError::into_inner).push((now, mode));
        self.mode.send_replace(mode);
    }

    /// Calls that are open are never answered.
    pub fn silence_watches(&self) {
        let now = self.directory.clock.now();
        self.directory.ledger.open().silences.push((self.sidecar, now));
        self.silenced.send_modify(|times| *times += 1);
    }

    /// The first time from `at` on at which it tells what is there.
    fn well_from(&self, at: Micros) -> Option<Micros> {
        let modes = self.modes.lock().unwrap_or_else(PoisonError::into_inner);
        let then = modes.iter().rfind(|(since, _)| *since <= at).map_or(Mode::Well, |m| m.1);
        if then == Mode::Well {
            return Some(at);
        }
        modes.iter().find(|(since, mode)| *since > at && *mode == Mode::Well).map(|m| m.0)
    }

    /// What it had to tell of each server, and from when on.
    pub fn has(&self) -> Vec<ServerNotice> {
        let versions = self.directory.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut has: Vec<ServerNotice> = Vec::new();
        let mut last: HashMap<usize, Listed> = HashMap::new();
        let mut since = 0;
        for (n, version) in versions.iter().enumerate() {
            let there = if version.at == 0 { 0 } else { version.at + self.lag(n + 1) };
            // Versions reach an agent in order.
            since = there.max(since);
            let Some(at) = self.well_from(since) else { break };
            let mut now: HashMap<usize, Listed> =
                version.entries.iter().map(|e| (e.server.row, listed(e))).collect();
            for row in last.keys() {
                now.entry(*row).or_insert(Listed::Leaving);
            }
            for (server, listed) in &now {
                if last.get(server) != Some(listed) {
                    has.push(ServerNotice {
                        at,
                        sidecar: self.sidecar,
                        server: *server,
                        listed: *listed,
                    });
                }
            }
            last = now;
        }
        has
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
                    _ = agent.talk(HttpConnection::new(stream)) => {}
                    () = async {
                        let _ = ended.wait_for(|ended| *ended).await;
                        sleep(Duration::from_millis(1500)).await;
                    } => {}
                }
            });
        }
    }

    async fn talk(&self, mut wire: HttpConnection) -> io::Result<()> {
        while let Some(call) = wire.request().await? {
            let number = |key: &str| -> Option<u64> {
                let rest = &call.target[call.target.find(key)? + key.len()..];
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse().ok()
            };
            let hold = Duration::from_millis(number("hold_ms=").unwrap_or(0).min(60_000));
            let mut silenced = self.silenced.subscribe();
            let from = number("from=").map(|from| from as usize);
            let waits = self.registry.as_ref().filter(|_| from.is_none() || !self.goes_on());
            let called = self.directory.clock.now();
            if let Some(registry) = waits {
                let fate = tokio::select! {
                    fate = self.in_turn(registry) => fate,
                    () = wire.ended() => CallFate::HungUp,
                    _ = silenced.changed() => {
                        wire.ended().await;
                        CallFate::HungUp
                    }
                };
                match fate {
                    CallFate::Answered => {}
                    CallFate::Refused => {
                        self.call_ended(called, fate);
                        wire.send(answer(REFUSAL, "", "").as_bytes()).await?;
                        continue;
                    }
                    CallFate::HungUp => {
                        self.call_ended(called, fate);
                        return Ok(());
                    }
                }
            }
            let reply = tokio::select! {
                reply = self.reply(from, hold) => reply,
                () = wire.ended() => return Ok(()),
                // Watches end with a discovery that is asked.
                () = self.down(), if self.registry.is_some() => return Ok(()),
                _ = silenced.changed() => {
                    wire.ended().await;
                    return Ok(());
                }
            };
            let (whole, hosts, words) = reply.1;
            let body = json!({"seq": reply.0, "whole": whole, "hosts": hosts}).to_string();
            wire.send(answer("200 OK", "", &body).as_bytes()).await?;
            *self.answered.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
            if waits.is_some() {
                self.call_ended(called, CallFate::Answered);
            }
            self.write_down(words);
        }
        Ok(())
    }

    /// Whether the next call for changes goes on with the watch.
    fn goes_on(&self) -> bool {
        let answered = self.answered.lock().unwrap_or_else(PoisonError::into_inner);
        answered.is_some_and(|at| at.elapsed() <= GOES_ON)
    }

    /// Waits for the turn of a call.
    async fn in_turn(&self, registry: &Registry) -> CallFate {
        if *self.mode.borrow() == Mode::Down {
            return CallFate::Refused;
        }
        let Ok(turn) = registry.place() else { return CallFate::Refused };
        tokio::select! {
            turn = turn => turn.map_or(CallFate::Refused, |()| CallFate::Answered),
            () = self.down() => CallFate::Refused,
        }
    }

    async fn down(&self) {
        // The sender lives as long as this does.
        let _ = self.mode.subscribe().wait_for(|mode| *mode == Mode::Down).await;
    }

    fn call_ended(&self, at: Micros, fate: CallFate) {
        let ended = self.directory.clock.now();
        let call = DiscoveryCall { sidecar: self.sidecar, at, ended, fate };
        self.directory.ledger.open().calls.push(call);
    }

    /// The version to tell, and what to say. Waits while there is nothing to say.
    async fn reply(&self, from: Option<usize>, hold: Duration) -> (usize, Words) {
        let mut modes = self.mode.subscribe();
        let mut changes = self.directory.changed.subscribe();
        let end = Instant::now() + hold;
        loop {
            changes.borrow_and_update();
            let mode = *modes.borrow_and_update();
            let now = self.directory.clock.now();
            let (seq, next) = match mode {
                Mode::Down => {
                    // Who asked is told nothing, for as long as that lasts.
                    let _ = modes.changed().await;
                    continue;
                }
                Mode::Well => self.directory.visible(now, |version| self.lag(version)),
                Mode::Stale(at) => (self.directory.at(at), None),
            };
            // A version that was told before discovery began to count anew is none that it knows.
            let before = self.directory.before();
            let from = from.map(|told| told + before);
            if from != Some(seq) || end <= Instant::now() {
                return (seq.saturating_sub(before), self.words(from, seq, mode));
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

    /// The time after which a version reaches this agent, in microseconds.
    fn lag(&self, version: usize) -> Micros {
        if self.late <= 0.0 {
            return 0;
        }
        let mut random = stream(self.seed, "lag", (self.sidecar as u64) << 32 | version as u64);
        (random.random::<f64>() * self.late * 1e6) as Micros
    }

    fn words(&self, from: Option<usize>, seq: usize, mode: Mode) -> Words {
        let now = self.directory.version(seq);
        let before = from.filter(|from| (1..=seq).contains(from) && mode == Mode::Well);
        let Some(before) = before.map(|from| self.directory.version(from)) else {
            let hosts = now.iter().map(|e| self.host(e, health(e))).collect();
            let mut words: Vec<_> = now.iter().map(|e| (e.server.row, listed(e))).collect();
            // Whoever a whole list lacks is gone.
            let told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
            let gone = told.keys().filter(|row| now.iter().all(|e| e.server.row != **row));
            words.extend(gone.map(|row| (*row, Listed::Leaving)));
            return (true, hosts, words);
        };
        let same = |a: &Entry, b: &Entry| a.server.row == b.server.row && a.leaving == b.leaving;
        let news = now.iter().filter(|e| !before.iter().any(|old| same(old, e)));
        let gone = before.iter().filter(|old| now.iter().all(|e| e.name != old.name));
        let mut hosts: Vec<Value> = news.clone().map(|e| self.host(e, health(e))).collect();
        hosts.extend(gone.clone().map(|e| self.host(e, "left")));
        let mut words: Vec<_> = news.map(|e| (e.server.row, listed(e))).collect();
        words.extend(gone.map(|e| (e.server.row, Listed::Leaving)));
        (false, hosts, words)
    }

    fn host(&self, entry: &Entry, health: &str) -> Value {
        json!({
            "host": entry.name, "dial": entry.server.addresses()[self.class].to_string(),
            "site": Timeline::zone_name(entry.server.zone), "class": "std", "block": 0,
            "health": health, "share": 1.0, "born_ms": entry.server.born_ms,
        })
    }

    fn write_down(&self, words: Vec<(usize, Listed)>) {
        let at = self.directory.clock.now();
        let mut told = self.told.lock().unwrap_or_else(PoisonError::into_inner);
        let mut records = self.directory.ledger.open();
        for (server, listed) in words {
            if told.insert(server, listed) != Some(listed) {
                records.notices.push(ServerNotice { at, sidecar: self.sidecar, server, listed });
            }
        }
    }
}

/// Whether it is the whole list, the entries, and what is thereby told of whom.
type Words = (bool, Vec<Value>, Vec<(usize, Listed)>);

fn health(entry: &Entry) -> &'static str {
    if entry.leaving { "leaving" } else { "active" }
}

fn listed(entry: &Entry) -> Listed {
    if entry.leaving { Listed::Leaving } else { Listed::Active }
}
