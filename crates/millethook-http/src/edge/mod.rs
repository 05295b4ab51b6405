//! Writes that are kept while no server can be reached, and their replay: the disk, the clock and the leases that
//! [`millethook_edge`] has not.

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

use coppercart::settings::{Class, Repeat, Scope, Settings};
use millethook_edge::record::HostTime;
use millethook_edge::{EdgeId, Mark, Progress, Replay, State, WriteId};
use millethook_engine::driver::Driver;
use millethook_engine::fleet::{EntryValue, Fleet};
use millethook_engine::names::Names;
use tokio::sync::Notify;

use disk::{Disk, DiskConfig, Storage};
pub use intake::{CONTEXT, Kept, Receipt, Taken};

/// How writes are kept and replayed.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Where stores are. Sidecars of one host may share it.
    pub folder: PathBuf,
    /// Classes whose writes may be kept, by name.
    pub classes: Vec<String>,
    /// Bytes that this process keeps at most.
    pub most_bytes: u64,
    /// Writes without an end that it keeps at most.
    pub most_writes: usize,
    /// What is kept for longer has expired.
    pub keep: Duration,
    /// For so long a write waits for one that it comes after.
    pub forerunner: Duration,
    /// Whether one whose forerunner failed, or never came, goes all the same.
    pub go_on: bool,
    /// Writes of one store that are out at once.
    pub at_once: usize,
    /// Writes a second that all stores of the fleet send together, at most.
    pub fleet_per_second: f64,
    /// A disk that takes longer than this is slow, and nothing is kept meanwhile.
    pub slow: Duration,
    /// The longest lease.
    pub lease: Duration,
}

/// Between two questions about one store, and how old an answer may be; stores that are asked about at once, at most.
const ASK: Duration = Duration::from_millis(300);
const MAX_LEASE_REQUESTS: usize = 256;
/// What a replay of a class is worth beside its requests: next to nothing, so that it is shed first.
const WORTH: f64 = 1e-6;

/// The name of the class that replays of a class go by. No path of a request has a blank in it.
fn replay_class(name: &str) -> String {
    format!("replay {name}")
}

/// Adds the classes that replays go by to the settings of the decisions.
pub fn add_classes(names: &[String], settings: &mut Settings) {
    let kept = |class: &&Class| names.contains(&class.name) && class.repeat != Repeat::Safe;
    let replays: Vec<Class> = (settings.classes.iter().filter(kept))
        .map(|class| Class {
            name: replay_class(&class.name),
            credit: class.credit * WORTH,
            ..class.clone()
        })
        .collect();
    let new = |class: &Class| settings.classes.iter().all(|known| known.name != class.name);
    let replays: Vec<Class> = replays.into_iter().filter(new).collect();
    settings.classes.extend(replays);
}

/// Counts since the start, and what there is now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Writes that were acknowledged.
    pub kept: u64,
    /// Writes that were to be kept and were refused: full, slow or broken disk.
    pub refused: u64,
    /// Writes that a server has served on their replay.
    pub replayed: u64,
    /// Those that ended otherwise.
    pub aside: u64,
    /// Stores that are replayed here.
    pub stores: usize,
    /// Writes in them that have no end.
    pub left: usize,
    /// Of these in doubt.
    pub doubt: usize,
    /// Spoilt parts of their files.
    pub damaged: usize,
    /// The age of the oldest write without an end, in seconds.
    pub oldest_s: u64,
    /// Whether no server can be reached, for all that is known here.
    pub isolated: bool,
}

/// Everything that is kept here.
pub struct Edge {
    settings: EdgeSettings,
    driver: Rc<Driver>,
    fleet: Rc<Fleet>,
    names: RefCell<Arc<Names>>,
    disk: Disk,
    /// The own store.
    own: EdgeId,
    intake: RefCell<intake::Intake>,
    /// Stores that are replayed here.
    replays: RefCell<BTreeMap<EdgeId, Rc<replayer::Store>>>,
    /// There may be something to be read or sent.
    wake: Arc<Notify>,
    /// The own store is not taken over from an earlier owner before its intake is settled up to here.
    unsettled: Cell<Option<u64>>,
    counts: Cell<Figures>,
    boot: u64,
    started: std::time::Instant,
    /// Stores that were asked about: when last, and how often.
    lease_requests: RefCell<BTreeMap<EdgeId, (std::time::Instant, u32)>>,
}

impl Edge {
    /// Starts keeping and replaying on the present `LocalSet`.
    ///
    /// # Errors
    /// The folder cannot be used.
    pub fn start(
        settings: EdgeSettings,
        driver: Rc<Driver>,
        fleet: Rc<Fleet>,
        names: Arc<Names>,
        storage: impl Storage,
    ) -> Result<Rc<Edge>, String> {
        let folder = settings.folder.clone();
        let told = |e: std::io::Error| format!("edge.folder: {}: {e}", folder.display());
        std::fs::create_dir_all(&folder).map_err(told)?;
        folder::stores(&folder).map_err(told)?;
        let (me, epoch) = fleet.own_identity();
        let (own, wake) = (EdgeId::new(me, epoch), Arc::new(Notify::new()));
        let disk = DiskConfig { folder: folder.clone(), own, moved: wake.clone() };
        let disk = Disk::start(disk, storage).map_err(told)?;
        let edge = Rc::new(Edge {
            own,
            settings,
            driver,
            fleet,
            names: RefCell::new(names),
            disk,
            intake: RefCell::default(),
            replays: RefCell::default(),
            wake,
            unsettled: Cell::new(None),
            counts: Cell::default(),
            boot: boot(),
            started: std::time::Instant::now(),
            lease_requests: RefCell::default(),
        });
        tokio::task::spawn_local(edge.clone().replay());
        Ok(edge)
    }

    /// Requests are read by these names from now on.
    pub fn renamed(&self, names: Arc<Names>) {
        self.names.replace(names);
    }

    /// What has come of a write, at whatever edge it lies.
    fn progress(&self, id: WriteId) -> Progress {
        if let Some(store) = self.replays.borrow().get(&id.edge) {
            let replay = store.replay.borrow();
            let ended = replay.book().entry(id.seq).map(|entry| entry.state);
            if let Some(state) = ended {
                return match state {
                    State::Ended(end) if end.is_well() => Progress::Ended,
                    State::Ended(_) => Progress::Failed,
                    _ => Progress::Open,
                };
            }
        }
        let told = self.told(id.edge);
        let progress = told.map_or(Progress::Unknown, |(mark, _)| mark.of(id.seq));
        let settled = matches!(progress, Progress::Ended | Progress::Failed);
        if !settled && told.is_none_or(|(_, age)| age > ASK) {
            self.ask(id.edge);
        }
        progress
    }

    /// Asks whoever is most likely to replay a store: its own process, or the next one of that number; if that one does
    /// not answer, others in turn, as they may be of its host.
    fn ask(&self, edge: EdgeId) {
        let mut lease_requests = self.lease_requests.borrow_mut();
        lease_requests.retain(|_, (at, _)| at.elapsed() < 60 * ASK);
        if lease_requests.len() >= MAX_LEASE_REQUESTS && !lease_requests.contains_key(&edge) {
            return;
        }
        let now = std::time::Instant::now();
        let (at, times) = lease_requests.entry(edge).or_insert((now, 0));
        if *times > 0 && at.elapsed() < ASK {
            return;
        }
        (*at, *times) = (now, *times + 1);
        let counts = self.fleet.counts();
        let members =
            (counts.unknown + counts.alive + counts.suspect + counts.dead + counts.left) as u32;
        // Every other time somebody near by number.
        let step = if *times % 2 == 1 { 0 } else { *times / 2 };
        let member = (u32::from(edge.number()) + step) % members.max(1);
        self.fleet.query_edge(member as u16, edge.0);
    }

    /// How far a store is, by what was told of it, and how long ago that was.
    fn told(&self, edge: EdgeId) -> Option<(Mark, Duration)> {
        let (value, age) = self.fleet.edge(edge.0)?;
        let EntryValue::Edge { upto, beyond, failed, .. } = value else { return None };
        let of = |back: u16| (upto + 65).checked_sub(u64::from(back)).filter(|_| back > 0);
        Some((Mark { upto, beyond, failed: failed.map(|back| of(back).unwrap_or(0)) }, age))
    }

    fn started(&self) -> std::time::Instant {
        self.started
    }

    fn here(&self) -> HostTime {
        HostTime { boot: self.boot, ms: uptime_ms() }
    }

    fn count(&self, change: impl FnOnce(&mut Figures)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Counts since the start, and what there is now.
    pub fn figures(&self) -> Figures {
        let mut figures = self.counts.get();
        let replays = self.replays.borrow();
        let mut oldest = None;
        for store in replays.values() {
            let replay: std::cell::Ref<'_, Replay> = store.replay.borrow();
            let counts = replay.book().counts();
            figures.left += replay.book().left();
            figures.doubt += counts.doubt;
            figures.damaged += counts.damaged;
            oldest = [oldest, replay.book().oldest_ms()].into_iter().flatten().min();
        }
        figures.stores = replays.len();
        figures.oldest_s = oldest.map_or(0, |ms| unix_ms().saturating_sub(ms) / 1_000);
        figures.isolated = self.driver.is_isolated();
        figures
    }
}

/// Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Milliseconds since the host was started, the same for all its processes; suspension counts.
fn uptime_ms() -> u64 {
    let text = std::fs::read_to_string("/proc/uptime").unwrap_or_default();
    let seconds = text.split_whitespace().next().and_then(|s| s.parse::<f64>().ok());
    seconds.map_or(0, |s| (s * 1e3) as u64)
}

/// Which start of the host this is. Where it cannot be told each process is its own: nothing is repeated then.
fn boot() -> u64 {
    let text = std::fs::read_to_string("/proc/sys/kernel/random/boot_id").unwrap_or_default();
    let id = text.trim();
    if id.is_empty() {
        unix_ms() << 8 ^ u64::from(std::process::id())
    } else {
        millethook_engine::names::stable_hash(id.as_bytes())
    }
}

/// What a repeat of a class's write does.
fn repeat_of(class: &Class) -> millethook_edge::record::Repeat {
    match (class.repeat, class.dedup_scope) {
        // A replay does not choose servers, so that a group has to hold all.
        (Repeat::Keyed, Scope::All) => {
            millethook_edge::record::Repeat::Within { window_ms: class.window / 1_000 }
        }
        _ => millethook_edge::record::Repeat::Never,
    }
}
