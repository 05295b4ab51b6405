//! Runs a [`Membership`]: feeds it the lists of all sources, forwards its updates to the driver, sends trials, and
//! reads and writes the snapshot on disk.

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
use crate::sinks::MembershipSink;
use crate::upstream::{TrialPage, Upstream};

/// The snapshot is rewritten after this time even if the list has not changed. After a restart the age of its servers
/// counts from the last write.
const REFRESH_INTERVAL: Duration = Duration::from_secs(300);

/// Settings of a [`MembershipStore`].
#[derive(Clone, Debug)]
pub struct MembershipStoreConfig {
    /// Settings of the membership.
    pub membership: Config,
    /// The snapshot file; None disables snapshots.
    pub store: Option<Store>,
    /// The minimum time between two writes.
    pub write_every: Duration,
    /// The page that trials request from doubtful servers.
    pub trial_page: TrialPage,
}

/// Counts of snapshot writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SnapshotWrites {
    /// Writes that succeeded.
    pub done: u64,
    /// Writes that failed; the previous file is still there.
    pub failed: u64,
}

/// The membership of one fleet with its tasks, between the sources of lists and the driver.
pub struct MembershipStore {
    driver: Rc<Driver>,
    upstream: Rc<Upstream>,
    config: MembershipStoreConfig,
    fleet: String,
    membership: RefCell<Membership>,
    /// Notified when something may be due earlier than before.
    schedule_changed: Notify,
    /// Notified when the list differs from the written snapshot.
    changed: Notify,
    writes: Cell<SnapshotWrites>,
    clock: Clock,
}

impl MembershipStore {
    /// Starts the tasks for the fleet with this name. Passes the usable servers of the snapshot to the driver at once,
    /// together with those of `known`, the list from the platform's configuration.
    pub(crate) fn start(
        driver: Rc<Driver>,
        upstream: Rc<Upstream>,
        config: MembershipStoreConfig,
        fleet: &str,
        seed: u64,
        known: Option<&List>,
    ) -> Rc<MembershipStore> {
        let membership_store = Rc::new(MembershipStore {
            membership: RefCell::new(Membership::new(config.membership, seed)),
            driver,
            upstream,
            config,
            fleet: fleet.to_owned(),
            schedule_changed: Notify::new(),
            changed: Notify::new(),
            writes: Cell::default(),
            clock: Clock::start(),
        });
        let mut hosts = Vec::new();
        if let Some(known) = known {
            let now = membership_store.clock.now();
            hosts = membership_store
                .membership
                .borrow_mut()
                .apply_list(now, Source::PlatformConfig, known)
                .hosts;
        }
        hosts.extend(membership_store.load());
        // The balancer subscribes to discovery after its first list, even an empty one.
        membership_store
            .driver
            .apply_list(ListKind::Remembered, &List { seq: 0, whole: true, hosts });
        spawn_local(membership_store.clone().run());
        if membership_store.config.store.is_some() {
            spawn_local(membership_store.clone().write());
        }
        membership_store
    }

    /// Reads the snapshot and returns its usable servers.
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
                    "loaded the snapshot of the server list"
                );
                usable
            }
            Ok(None) => {
                tracing::info!(event = "snapshot_missing", path = %store.path().display(), "no snapshot of the server list found");
                Vec::new()
            }
            Err(error) => {
                tracing::error!(event = "snapshot_unusable", %error, "cannot use the snapshot of the server list; starting without it");
                Vec::new()
            }
        }
    }

    /// Returns the number of servers by trust, and counts since the start.
    pub fn counts(&self) -> Counts {
        self.membership.borrow().counts()
    }

    /// Returns the counts of snapshot writes.
    pub fn writes(&self) -> SnapshotWrites {
        self.writes.get()
    }

    /// Passes an update to the driver, unless it is empty.
    fn forward_update(&self, update: Update) {
        self.schedule_changed.notify_one();
        if update.is_empty() {
            return;
        }
        self.changed.notify_one();
        let kind = if update.whole { ListKind::Whole } else { ListKind::Changes };
        self.driver.apply_list(kind, &List { seq: 0, whole: update.whole, hosts: update.hosts });
    }

    /// Starts trials and applies suspect lists when they are due.
    async fn run(self: Rc<MembershipStore>) {
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
                () = self.schedule_changed.notified() => continue,
            }
            let now = self.clock.now();
            let accepted = self.membership.borrow_mut().apply_due_list(now);
            if let Some(update) = accepted {
                tracing::warn!(
                    event = "suspect_list_taken",
                    listed = update.hosts.len(),
                    "no source corrected the short server list within the hold time; applying it"
                );
                self.forward_update(update);
            }
            let trial = self.membership.borrow_mut().poll_trial(now);
            match trial {
                Some(trial) => drop(spawn_local(self.clone().run_trial(trial))),
                // The wall clock and the timer's clock may differ slightly; this wait prevents a busy loop.
                None => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    /// Sends one trial and passes its outcome to the membership.
    async fn run_trial(self: Rc<MembershipStore>, trial: Trial) {
        let outcome = self.upstream.identify(&trial.host, &self.config.trial_page).await;
        let name = &trial.host.host;
        tracing::info!(event = "server_tried", server = %name, ?outcome, "trial of a remembered server ended");
        let update = self.membership.borrow_mut().trial_ended(self.clock.now(), name, outcome);
        self.forward_update(update);
    }

    /// Writes the snapshot after changes, at most once per `write_every`, and after [`REFRESH_INTERVAL`] without one.
    async fn write(self: Rc<MembershipStore>) {
        let mut next = Instant::now();
        loop {
            let refresh = Instant::now() + REFRESH_INTERVAL;
            let _ = timeout_at(refresh, self.changed.notified()).await;
            sleep_until(next).await;
            self.save().await;
            next = Instant::now() + self.config.write_every;
        }
    }

    /// Writes the snapshot now, on a blocking thread. Writes nothing if the list is empty.
    pub async fn save(&self) {
        let Some(store) = self.config.store.clone() else { return };
        let mut snapshot = self.membership.borrow().snapshot(&self.fleet, self.clock.now());
        self.clock.convert_to_wall_clock(wall_clock_ms(), &mut snapshot);
        // Without this check a process that never had a list would overwrite the servers that the next process could
        // start with.
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
                tracing::debug!(
                    event = "snapshot_written",
                    servers,
                    "wrote the snapshot of the server list"
                );
            }
            Ok(Err(error)) => {
                writes.failed += 1;
                // Logs only some of many failures: a full disk makes every write fail.
                if writes.failed.is_power_of_two() {
                    let failed = writes.failed;
                    tracing::error!(event = "snapshot_not_written", %error, failed, "cannot write the snapshot of the server list");
                }
            }
            Err(_) => writes.failed += 1,
        }
        self.writes.set(writes);
    }
}

impl MembershipSink for Rc<MembershipStore> {
    fn update_servers(&self, kind: ListKind, list: &List) {
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

    fn handle_message(&self, from: u32, data: &[u8]) {
        MembershipSink::handle_message(&self.driver, from, data);
    }
}

impl MembershipStore {
    /// Records that the source of lists is silent: the age of the list counts from now on.
    pub(crate) fn source_lost(&self) {
        self.membership.borrow_mut().source_lost(self.clock.now());
    }

    /// Applies a list, or changes to one, from a live source.
    pub(crate) fn apply_list(&self, source: Source, list: &List) {
        let held = self.counts().held;
        let update = self.membership.borrow_mut().apply_list(self.clock.now(), source, list);
        let counts = self.counts();
        if counts.held && !held {
            tracing::warn!(
                event = "suspect_list_held",
                listed = list.hosts.len(),
                believed = counts.live + counts.remembered,
                "the new list is far shorter than the known one; holding it back for now"
            );
        }
        self.forward_update(update);
    }
}

/// Unix time that starts at the wall clock and advances with the monotonic clock.
///
/// With the wall clock alone, setting the clock back by a month would delay trials, and the end of the hold on a
/// suspect list, by a month.
#[derive(Debug)]
struct Clock {
    start_ms: UnixMs,
    start: Instant,
}

impl Clock {
    fn start() -> Clock {
        Clock { start_ms: wall_clock_ms(), start: Instant::now() }
    }

    fn now(&self) -> UnixMs {
        self.start_ms + self.start.elapsed().as_millis() as UnixMs
    }

    /// Converts times of this clock to wall-clock times, where `wall` is the wall clock now, because the next process
    /// compares them with its wall clock. Leaves times before the start of this process as they are.
    fn convert_to_wall_clock(&self, wall: UnixMs, snapshot: &mut Snapshot) {
        let now = self.now();
        let to_wall_clock = |at: UnixMs| wall.saturating_sub(now.saturating_sub(at));
        for server in snapshot.servers.iter_mut().filter(|s| s.confirmed_ms >= self.start_ms) {
            server.confirmed_ms = to_wall_clock(server.confirmed_ms);
        }
        snapshot.written_ms = wall;
    }
}

/// Returns the wall clock; 0 if it shows a time before 1970.
fn wall_clock_ms() -> UnixMs {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as UnixMs
}

#[cfg(test)]
mod tests;
