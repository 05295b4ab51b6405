//! Tasks around a [`Membership`]: lists of the sources go into it, what changes goes to the driver, trials are sent,
//! and the snapshot on disk is read and written.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use coppercart::api::ListKind;
use millethook_membership::snapshot::Snapshot;
use millethook_membership::store::{Error, Store};
use millethook_membership::{Config, Counts, Membership, Source, Trial, UnixMs, Update};
use tokio::sync::Notify;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::driver::Driver;
use crate::list::List;
use crate::news::MembershipSink;
use crate::upstream::{TrialPage, Upstream};

/// How often a list without changes is written again. After a restart the age of its servers counts from the last time.
const REFRESH: Duration = Duration::from_secs(300);

/// Settings of a [`Keeper`].
#[derive(Clone, Debug)]
pub struct KeeperConfig {
    /// Settings of the membership.
    pub weigh: Config,
    /// The file of the snapshot; None: nothing is written.
    pub store: Option<Store>,
    /// The least time between two writes.
    pub write_every: Duration,
    /// The page that trials of doubtful servers ask for.
    pub trial: TrialPage,
}

/// Counts of writes of the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Writes {
    /// Writes that succeeded.
    pub done: u64,
    /// Writes that failed; the old file was kept.
    pub failed: u64,
}

/// The tasks of one membership, between the sources of lists and the driver.
pub struct Keeper {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    config: KeeperConfig,
    fleet: String,
    membership: RefCell<Membership>,
    /// Notified when something may be due earlier than before.
    woken: Notify,
    /// Notified when the list is not as it was written.
    changed: Notify,
    writes: Cell<Writes>,
    clock: Clock,
}

impl Keeper {
    /// Starts the tasks for a fleet of this name. The usable servers of the snapshot go to the driver at once, together
    /// with those of `known`, the list of the platform's configuration.
    pub(crate) fn start(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        config: KeeperConfig,
        fleet: &str,
        seed: u64,
        known: Option<&List>,
    ) -> Rc<Keeper> {
        let keeper = Rc::new(Keeper {
            membership: RefCell::new(Membership::new(config.weigh, seed)),
            driver,
            upstream,
            config,
            fleet: fleet.to_owned(),
            woken: Notify::new(),
            changed: Notify::new(),
            writes: Cell::default(),
            clock: Clock::start(),
        });
        let mut hosts = Vec::new();
        if let Some(known) = known {
            let now = keeper.clock.now();
            hosts = keeper.membership.borrow_mut().apply_list(now, Source::Known, known).hosts;
        }
        hosts.extend(keeper.load());
        // The balancer subscribes after its first list, even if that is empty.
        keeper.driver.apply_list(ListKind::Remembered, &List { seq: 0, whole: true, hosts });
        spawn_local(keeper.clone().run());
        if keeper.config.store.is_some() {
            spawn_local(keeper.clone().write());
        }
        keeper
    }

    /// Reads the snapshot; its usable servers.
    fn load(&self) -> Vec<crate::list::Host> {
        let Some(store) = &self.config.store else { return Vec::new() };
        match store.load() {
            Ok(Some(snapshot)) => {
                let (listed, written_ms) = (snapshot.servers.len(), snapshot.written_ms);
                let now = self.clock.now();
                let usable = self.membership.borrow_mut().load_snapshot(now, snapshot).hosts;
                let counts = self.counts();
                tracing::info!(
                    event = "snapshot_loaded",
                    listed,
                    usable = usable.len(),
                    doubtful = counts.doubtful,
                    dropped = counts.dropped,
                    age_s = now.saturating_sub(written_ms) / 1000,
                    "a list of servers from before"
                );
                usable
            }
            Ok(None) => {
                tracing::info!(event = "snapshot_missing", path = %store.path().display(), "no list of servers from before");
                Vec::new()
            }
            Err(error) => {
                tracing::error!(event = "snapshot_unusable", %error, "started without the list of servers from before");
                Vec::new()
            }
        }
    }

    /// Servers by trust, and counts since the start.
    pub fn counts(&self) -> Counts {
        self.membership.borrow().counts()
    }

    /// Counts of writes of the snapshot.
    pub fn writes(&self) -> Writes {
        self.writes.get()
    }

    /// Hands an update to the driver, unless it is empty.
    fn tell(&self, update: Update) {
        self.woken.notify_one();
        if update.is_empty() {
            return;
        }
        self.changed.notify_one();
        let kind = if update.whole { ListKind::Whole } else { ListKind::Changes };
        self.driver.apply_list(kind, &List { seq: 0, whole: update.whole, hosts: update.hosts });
    }

    /// Starts trials and applies suspect lists when they are due.
    async fn run(self: Rc<Keeper>) {
        loop {
            let due = self.membership.borrow().next_due();
            let wait = async {
                match due {
                    Some(due) => {
                        sleep(Duration::from_millis(due.saturating_sub(self.clock.now()))).await
                    }
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = wait => {}
                () = self.woken.notified() => continue,
            }
            let now = self.clock.now();
            let held = self.membership.borrow_mut().on_time(now);
            if let Some(update) = held {
                tracing::warn!(
                    event = "suspect_list_taken",
                    listed = update.hosts.len(),
                    "nobody took the short list back: it holds from now on"
                );
                self.tell(update);
            }
            let trial = self.membership.borrow_mut().poll_trial(now);
            match trial {
                Some(trial) => drop(spawn_local(self.clone().try_out(trial))),
                // The wall clock and the timer's clock may differ by a little; this wait prevents a busy loop.
                None => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Sends one trial and hands its outcome to the membership.
    async fn try_out(self: Rc<Keeper>, trial: Trial) {
        let outcome = self.upstream.identify(&trial.host, &self.config.trial).await;
        let name = &trial.host.host;
        tracing::info!(event = "server_tried", server = %name, ?outcome, "a server of the old list");
        let update = self.membership.borrow_mut().trial_ended(self.clock.now(), name, outcome);
        self.tell(update);
    }

    /// Writes the snapshot after changes, at most every `write_every`, and after [`REFRESH`] also without one.
    async fn write(self: Rc<Keeper>) {
        let mut next = Instant::now();
        loop {
            let refresh = Instant::now() + REFRESH;
            let _ = timeout_at(refresh, self.changed.notified()).await;
            sleep_until(next).await;
            self.save().await;
            next = Instant::now() + self.config.write_every;
        }
    }

    /// Writes the snapshot now, on a thread that may block. Nothing is written if there are no servers.
    pub async fn save(&self) {
        let Some(store) = self.config.store.clone() else { return };
        let mut snapshot = self.membership.borrow().snapshot(&self.fleet, self.clock.now());
        self.clock.to_wall(wall_ms(), &mut snapshot);
        // Without this, a process that never had a list would remove the servers that the next one could start with.
        if snapshot.servers.is_empty() {
            return;
        }
        let servers = snapshot.servers.len();
        let saved: Result<Result<(), Error>, _> =
            spawn_blocking(move || store.save(&snapshot)).await;
        let mut writes = self.writes.get();
        match saved {
            Ok(Ok(())) => {
                writes.done += 1;
                tracing::debug!(event = "snapshot_written", servers, "the list of servers is kept");
            }
            Ok(Err(error)) => {
                writes.failed += 1;
                // Not each of many failures in a row is logged: a full disk stays full.
                if writes.failed.is_power_of_two() {
                    let failed = writes.failed;
                    tracing::error!(event = "snapshot_not_written", %error, failed, "the list of servers is not kept");
                }
            }
            Err(_) => writes.failed += 1,
        }
        self.writes.set(writes);
    }
}

impl MembershipSink for Rc<Keeper> {
    fn servers(&self, kind: ListKind, list: &List) {
        let list = match (kind, list.whole) {
            (ListKind::Changes, false) | (ListKind::Whole | ListKind::Remembered, true) => list,
            _ => &List { whole: kind != ListKind::Changes, ..list.clone() },
        };
        self.apply_list(Source::Discovery, list);
    }

    fn discovery_failed(&self) {
        self.source_lost();
        self.driver.clone().discovery_failed();
    }

    fn note(&self, from: u32, data: &[u8]) {
        MembershipSink::note(&self.driver, from, data);
    }
}

impl Keeper {
    /// The source of lists is silent: their age counts from now on.
    pub(crate) fn source_lost(&self) {
        self.membership.borrow_mut().source_lost(self.clock.now());
    }

    /// Applies a list, or changes of one, from a live source.
    pub(crate) fn apply_list(&self, source: Source, list: &List) {
        let held = self.counts().held;
        let update = self.membership.borrow_mut().apply_list(self.clock.now(), source, list);
        let counts = self.counts();
        if counts.held && !held {
            tracing::warn!(
                event = "suspect_list_held",
                listed = list.hosts.len(),
                believed = counts.live + counts.remembered,
                "the list is far shorter than what is known: held for a while"
            );
        }
        self.tell(update);
    }
}

/// Unix time: the wall clock at the start, advanced by the monotonic clock.
///
/// With the wall clock alone, a clock that is set back by a month would delay trials, and the end of a suspect list, by
/// a month.
#[derive(Debug)]
struct Clock {
    start_ms: UnixMs,
    start: Instant,
}

impl Clock {
    fn start() -> Clock {
        Clock { start_ms: wall_ms(), start: Instant::now() }
    }

    fn now(&self) -> UnixMs {
        self.start_ms + self.start.elapsed().as_millis() as UnixMs
    }

    /// Converts times of this clock to those of the wall clock, which shows `wall` now, because the next process
    /// compares them with the wall clock. Times before the start of this process are kept.
    fn to_wall(&self, wall: UnixMs, snapshot: &mut Snapshot) {
        let now = self.now();
        let moved = |at: UnixMs| wall.saturating_sub(now.saturating_sub(at));
        for server in snapshot.servers.iter_mut().filter(|s| s.confirmed_ms >= self.start_ms) {
            server.confirmed_ms = moved(server.confirmed_ms);
        }
        snapshot.written_ms = wall;
    }
}

/// The wall clock; 0 if it shows a time before 1970.
fn wall_ms() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as UnixMs
}

#[cfg(test)]
mod tests;
