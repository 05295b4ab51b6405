//! Store of writes that are kept while no server can be reached, and their replay. This module adds the
//! disk, the clock and the leases to the logic in [`millethook_edge`].

pub mod disk;
pub mod folder;
mod intake;
mod lock;
mod replayer;
mod send;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coppercart::settings::{Class, DedupScope, RetrySafety, Settings};
use millethook_edge::record::HostTime;
use millethook_edge::{EdgeId, Progress, Replay, State, Watermark, WriteId};
use millethook_engine::driver::Driver;
use millethook_engine::fleet::{EntryValue, Fleet};
use millethook_engine::names::Names;
use tokio::sync::Notify;

use disk::{Disk, DiskConfig, Storage};
pub use intake::{CONTEXT, Receipt, StoreOutcome, WriteCandidate};

/// Settings of the store and its replay.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Folder of the stores. Sidecars of one host may share it.
    pub folder: PathBuf,
    /// Names of the classes whose writes may be stored.
    pub classes: Vec<String>,
    /// Most bytes that this process stores.
    pub max_bytes: u64,
    /// Most writes without an end record that this process stores.
    pub max_open_writes: usize,
    /// Time after which a stored write has expired.
    pub retention: Duration,
    /// How long a write waits for a predecessor.
    pub predecessor_wait: Duration,
    /// Whether a write is sent although its predecessor failed or never arrived.
    pub send_without_predecessor: bool,
    /// Most writes of one store that are in flight at the same time.
    pub max_concurrent: usize,
    /// Most writes a second that all stores of the fleet send together.
    pub fleet_per_second: f64,
    /// A disk that takes longer than this for a batch is slow, and nothing is stored meanwhile.
    pub slow_disk: Duration,
    /// Longest duration of a lease.
    pub max_lease: Duration,
}

/// Interval between two progress queries for one store, and the age at which announced progress is
/// outdated.
const PROGRESS_QUERY_INTERVAL: Duration = Duration::from_millis(300);
/// Most stores whose progress is queried at the same time.
const MAX_PROGRESS_QUERIES: usize = 256;
/// Credit of a replayed request relative to other requests of its class. Almost zero, so that replays are
/// shed first.
const REPLAY_CREDIT_FACTOR: f64 = 1e-6;

/// Name of the class under which replays of a class are sent. It cannot collide with a request's class,
/// because no path of a request has a space in it.
fn replay_class(name: &str) -> String {
    format!("replay {name}")
}

/// Adds the replay classes to the settings of the decision module.
pub fn add_replay_classes(names: &[String], settings: &mut Settings) {
    let is_kept = |class: &&Class| names.contains(&class.name) && class.repeat != RetrySafety::Safe;
    let replays: Vec<Class> = (settings.classes.iter().filter(is_kept))
        .map(|class| Class {
            name: replay_class(&class.name),
            credit: class.credit * REPLAY_CREDIT_FACTOR,
            ..class.clone()
        })
        .collect();
    let is_new = |class: &Class| settings.classes.iter().all(|known| known.name != class.name);
    let replays: Vec<Class> = replays.into_iter().filter(is_new).collect();
    settings.classes.extend(replays);
}

/// Counters since the start, and current values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EdgeStats {
    /// Writes that were acknowledged.
    pub kept: u64,
    /// Writes that should have been stored but were refused, because the store was full or the disk slow or
    /// broken.
    pub refused: u64,
    /// Writes that a server has served when they were replayed.
    pub replayed: u64,
    /// Writes that ended in any other way.
    pub not_served: u64,
    /// Stores that are replayed here.
    pub stores: usize,
    /// Writes in these stores without an end record.
    pub open_writes: usize,
    /// Writes among these that are in doubt.
    pub in_doubt: usize,
    /// Damaged parts of the stores' files.
    pub damaged: usize,
    /// Age of the oldest write without an end record, in seconds.
    pub oldest_s: u64,
    /// Whether no server can be reached, as far as this process knows.
    pub isolated: bool,
}

/// The store of this process, and the replay of the stores whose leases it holds.
pub struct Edge {
    settings: EdgeSettings,
    driver: Rc<Driver>,
    fleet: Rc<Fleet>,
    names: RefCell<Arc<Names>>,
    disk: Disk,
    /// The store of this process.
    own_store: EdgeId,
    intake: RefCell<intake::Intake>,
    /// Stores that are replayed here.
    replays: RefCell<BTreeMap<EdgeId, Rc<replayer::Store>>>,
    /// Notified when there may be something to read or to send.
    wake: Arc<Notify>,
    /// The own store is not taken over from an earlier owner before its intake is settled up to this
    /// length.
    unsettled_length: Cell<Option<u64>>,
    counts: Cell<EdgeStats>,
    boot: u64,
    started: std::time::Instant,
    /// Stores whose progress was queried: when last, and how often.
    progress_queries: RefCell<BTreeMap<EdgeId, (std::time::Instant, u32)>>,
}

impl Edge {
    /// Opens the store and starts the replay on the current `LocalSet`.
    ///
    /// # Errors
    /// Fails if the folder cannot be used.
    pub fn start(
        settings: EdgeSettings,
        driver: Rc<Driver>,
        fleet: Rc<Fleet>,
        names: Arc<Names>,
        storage: impl Storage,
    ) -> Result<Rc<Edge>, String> {
        let folder = settings.folder.clone();
        let folder_error = |e: std::io::Error| format!("edge.folder: {}: {e}", folder.display());
        std::fs::create_dir_all(&folder).map_err(folder_error)?;
        folder::list_stores(&folder).map_err(folder_error)?;
        let (own_number, epoch) = fleet.own_identity();
        let (own_store, wake) = (EdgeId::new(own_number, epoch), Arc::new(Notify::new()));
        let disk = DiskConfig { folder: folder.clone(), own_store, settled_changed: wake.clone() };
        let disk = Disk::start(disk, storage).map_err(folder_error)?;
        let edge = Rc::new(Edge {
            own_store,
            settings,
            driver,
            fleet,
            names: RefCell::new(names),
            disk,
            intake: RefCell::default(),
            replays: RefCell::default(),
            wake,
            unsettled_length: Cell::new(None),
            counts: Cell::default(),
            boot: boot_id(),
            started: std::time::Instant::now(),
            progress_queries: RefCell::default(),
        });
        tokio::task::spawn_local(edge.clone().replay());
        Ok(edge)
    }

    /// Replaces the names with which stored requests are interpreted.
    pub fn set_names(&self, names: Arc<Names>) {
        self.names.replace(names);
    }

    /// Progress of a write, whichever store it is in.
    fn progress(&self, id: WriteId) -> Progress {
        if let Some(store) = self.replays.borrow().get(&id.edge) {
            let replay = store.replay.borrow();
            let state = replay.book().entry(id.seq).map(|entry| entry.state);
            if let Some(state) = state {
                return match state {
                    State::Ended(end) if end.is_well() => Progress::Ended,
                    State::Ended(_) => Progress::Failed,
                    _ => Progress::Open,
                };
            }
        }
        let announced = self.announced_mark(id.edge);
        let progress = announced.map_or(Progress::Unknown, |(mark, _)| mark.of(id.seq));
        let is_final = matches!(progress, Progress::Ended | Progress::Failed);
        if !is_final && announced.is_none_or(|(_, age)| age > PROGRESS_QUERY_INTERVAL) {
            self.query_progress(id.edge);
        }
        progress
    }

    /// Queries the member that most likely replays a store: the member with the number of the store's process,
    /// which is that process or its successor. If it does not answer, other members are queried in turn, since
    /// they may run on the same host.
    fn query_progress(&self, edge: EdgeId) {
        let mut progress_queries = self.progress_queries.borrow_mut();
        progress_queries.retain(|_, (at, _)| at.elapsed() < 60 * PROGRESS_QUERY_INTERVAL);
        if progress_queries.len() >= MAX_PROGRESS_QUERIES && !progress_queries.contains_key(&edge) {
            return;
        }
        let now = std::time::Instant::now();
        let (last, count) = progress_queries.entry(edge).or_insert((now, 0));
        if *count > 0 && last.elapsed() < PROGRESS_QUERY_INTERVAL {
            return;
        }
        (*last, *count) = (now, *count + 1);
        let counts = self.fleet.counts();
        let members =
            (counts.unknown + counts.alive + counts.suspect + counts.dead + counts.left) as u32;
        // Every second query goes to a member with a number close by.
        let step = if *count % 2 == 1 { 0 } else { *count / 2 };
        let member = (u32::from(edge.number()) + step) % members.max(1);
        self.fleet.query_edge(member as u16, edge.0);
    }

    /// Announced progress of a store, and its age.
    fn announced_mark(&self, edge: EdgeId) -> Option<(Watermark, Duration)> {
        let (value, age) = self.fleet.edge(edge.0)?;
        let EntryValue::Edge { upto, beyond, failed, .. } = value else { return None };
        let absolute = |back: u16| (upto + 65).checked_sub(u64::from(back)).filter(|_| back > 0);
        Some((
            Watermark { upto, beyond, failed: failed.map(|back| absolute(back).unwrap_or(0)) },
            age,
        ))
    }

    fn started(&self) -> std::time::Instant {
        self.started
    }

    fn host_time(&self) -> HostTime {
        HostTime { boot: self.boot, ms: uptime_ms() }
    }

    fn count(&self, change: impl FnOnce(&mut EdgeStats)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Returns the counters since the start and the current values.
    pub fn stats(&self) -> EdgeStats {
        let mut stats = self.counts.get();
        let replays = self.replays.borrow();
        let mut oldest = None;
        for store in replays.values() {
            let replay: std::cell::Ref<'_, Replay> = store.replay.borrow();
            let counts = replay.book().counts();
            stats.open_writes += replay.book().open_count();
            stats.in_doubt += counts.in_doubt;
            stats.damaged += counts.damaged;
            oldest = [oldest, replay.book().oldest_open_ms()].into_iter().flatten().min();
        }
        stats.stores = replays.len();
        stats.oldest_s = oldest.map_or(0, |ms| unix_ms().saturating_sub(ms) / 1_000);
        stats.isolated = self.driver.is_isolated();
        stats
    }
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Milliseconds since the boot of the host, including suspension. It is the same for all processes of the
/// host.
fn uptime_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = text.split_whitespace().next().and_then(|s| s.parse::<f64>().ok());
    seconds.map_or(0, |s| (s * 1e3) as u64)
}

/// Identifies the current boot of the host. If it is not available, each process gets an id of its own, and
/// so nothing is sent again.
fn boot_id() -> u64 {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let id = text.trim();
    if id.is_empty() {
        unix_ms() << 8 ^ u64::from(std::process::id())
    } else {
        millethook_engine::names::stable_hash(id.as_bytes())
    }
}

/// What a second execution of a write of this class does.
fn repeat_of(class: &Class) -> millethook_edge::record::Repeat {
    match (class.repeat, class.dedup_scope) {
        // A replay does not choose servers, so duplicates must be dropped by all servers together, not by
        // each group.
        (RetrySafety::Keyed, DedupScope::All) => {
            millethook_edge::record::Repeat::Within { window_ms: class.window / 1_000 }
        }
        _ => millethook_edge::record::Repeat::Never,
    }
}
