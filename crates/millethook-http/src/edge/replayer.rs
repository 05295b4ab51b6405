//! Replay of stores: takes over the stores whose leases are held, reads what is appended to their files,
//! and removes finished stores.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_edge::{Config, EdgeId, Replay, Step, Token, Watermark, log};
use millethook_engine::fleet::EntryValue;
use millethook_engine::leases::JobId;
use millethook_engine::names::stable_hash;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::sleep;

use super::disk::AppendOutcome;
use super::folder::{self, ReadOffsets, StoreFile};
use super::{Edge, unix_ms};

/// Interval between two scans of the folder, and between two reads of the files of a store that others
/// append to.
const SCAN_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two rounds while stored writes are open.
const BUSY_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two attempts to connect to any server, while no server can be reached and stored writes
/// are open.
const REACHABILITY_TRY_INTERVAL: Duration = Duration::from_millis(500);
/// Interval after which the progress of a store is announced again, even if it has not changed.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(10);
/// Delay before a foreign store is requested, so that its own process requests it first.
const FOREIGN_STORE_DELAY: Duration = Duration::from_secs(1);
/// Most steps of one store in one round.
const MAX_STEPS_PER_ROUND: usize = 64;

/// A store that is replayed here.
pub(super) struct Store {
    pub edge: EdgeId,
    pub token: Token,
    pub replay: RefCell<Replay>,
    read_offsets: RefCell<ReadOffsets>,
    last_read: Cell<Instant>,
    last_announced: Cell<Option<(Instant, Watermark)>>,
    /// The disk thread refused a mark, because the store has another owner.
    pub fenced: Cell<bool>,
}

/// Lease job of replaying a store.
pub(super) fn replay_job(edge: EdgeId) -> JobId {
    JobId(stable_hash(format!("replay {edge}").as_bytes()))
}

impl Edge {
    /// Runs the replay for as long as the process lives.
    pub(super) async fn replay(self: Rc<Edge>) {
        let mut known: BTreeMap<EdgeId, ()> = BTreeMap::new();
        let (mut scanned, mut last_try, mut try_number) = (None::<Instant>, Instant::now(), 0usize);
        loop {
            if scanned.is_none_or(|at| at.elapsed() > SCAN_INTERVAL) {
                scanned = Some(Instant::now());
                self.scan_folder(&mut known).await;
            }
            for edge in known.keys().copied().collect::<Vec<_>>() {
                self.apply_lease(edge).await;
            }
            let has_open_writes =
                self.replays.borrow().values().any(|s| s.replay.borrow().book().open_count() > 0);
            if has_open_writes
                && self.driver.is_isolated()
                && last_try.elapsed() > REACHABILITY_TRY_INTERVAL
            {
                last_try = Instant::now();
                try_number = try_number.wrapping_add(1);
                let (driver, try_number) = (self.driver.clone(), try_number);
                spawn_local(async move { driver.try_connect(try_number).await });
            }
            let stores: Vec<Rc<Store>> = self.replays.borrow().values().cloned().collect();
            // Stores with writes in flight may be as many as there are sidecars; their actual number is not
            // known.
            let others = self.fleet.counts().alive;
            for store in stores {
                store.replay.borrow_mut().set_store_count(others.max(1));
                self.read_appended(&store).await;
                self.start_steps(&store);
                self.announce_progress(&store);
            }
            let busy =
                self.replays.borrow().values().any(|s| s.replay.borrow().book().open_count() > 0);
            tokio::select! {
                () = sleep(if busy { BUSY_ROUND_INTERVAL } else { SCAN_INTERVAL }) => {}
                () = self.wake.notified() => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn scan_folder(&self, known: &mut BTreeMap<EdgeId, ()>) {
        let path = self.settings.folder.clone();
        let found = spawn_blocking(move || folder::list_stores(&path)).await;
        let found = match found {
            Ok(Ok(found)) => found,
            Ok(Err(e)) => {
                tracing::error!(event = "edge_disk", "{}: {e}", self.settings.folder.display());
                return;
            }
            Err(_) => return,
        };
        for edge in &found {
            known.insert(*edge, ());
            if *edge == self.own_store || self.is_orphan(*edge) {
                let wait =
                    if *edge == self.own_store { Duration::ZERO } else { FOREIGN_STORE_DELAY };
                self.fleet.request_job(replay_job(*edge), self.settings.max_lease, wait);
            } else if self.fleet.holds(replay_job(*edge)).is_none() {
                self.fleet.release_job(replay_job(*edge));
            }
        }
        let removed: Vec<EdgeId> = known.keys().filter(|e| !found.contains(e)).copied().collect();
        for edge in removed {
            known.remove(&edge);
            self.fleet.release_job(replay_job(edge));
            self.replays.borrow_mut().remove(&edge);
        }
    }

    /// Whether the store of another process seems to be without an owner. Without this check, all sidecars
    /// of a host request all of its stores all the time, and these lease requests alone use up the sending
    /// budget.
    fn is_orphan(&self, edge: EdgeId) -> bool {
        // A process holds its intake locked for as long as it lives, and a process that stalls is
        // considered dead by the other members, so both are checked.
        let path = StoreFile::Intake.path(&self.settings.folder, edge);
        super::lock::is_free(&path) || !self.fleet.is_alive(edge.number())
    }

    /// Takes a store over or gives it up, as its lease demands.
    async fn apply_lease(&self, edge: EdgeId) {
        let held = self.fleet.holds(replay_job(edge));
        let replayed = self.replays.borrow().get(&edge).map(|s| (s.token, s.fenced.get()));
        match (held, replayed) {
            (Some(token), Some((own_token, false))) if token == own_token => {}
            (Some(token), before) => {
                if before.is_some() {
                    self.replays.borrow_mut().remove(&edge);
                }
                self.take_over(edge, token).await;
            }
            (None, Some(_)) => {
                // Sends in progress continue; their ends are recorded under the old token.
                self.replays.borrow_mut().remove(&edge);
            }
            (None, None) => {}
        }
    }

    /// Whether the own intake is settled far enough for this process to replay its own store.
    ///
    /// An earlier owner, which considered this process dead, has read writes that are not settled here yet.
    /// Without this check, its journal would refer to writes that were not read here, and the progress that
    /// it announced would be taken back.
    fn is_own_intake_settled(&self) -> io::Result<bool> {
        if folder::highest_token(&self.settings.folder, self.own_store)? == Token::default() {
            return Ok(true);
        }
        let intake = StoreFile::Intake.path(&self.settings.folder, self.own_store);
        let length = std::fs::metadata(intake)?.len();
        // Data appended from now on was not read by an earlier owner. Data that is truncated meanwhile is
        // not waited for.
        let required = self.unsettled_length.get().map_or(length, |required| required.min(length));
        let settled = self.disk.settled() >= required;
        self.unsettled_length.set((!settled).then_some(required));
        Ok(settled)
    }

    async fn take_over(&self, edge: EdgeId, token: Token) {
        if edge == self.own_store && self.is_own_intake_settled().is_ok_and(|settled| !settled) {
            return;
        }
        let (path, settled) = (self.settings.folder.clone(), self.readable_intake(edge));
        let loaded = spawn_blocking(move || -> io::Result<_> {
            let intake = StoreFile::Intake.path(&path, edge);
            let process_gone = super::lock::is_free(&intake);
            let highest_token = folder::highest_token(&path, edge)?;
            let loaded = folder::load_up_to(&path, edge, settled)?;
            // Acknowledgements that a process writes as it ends are certain to be read only if it was gone
            // before the read. The second check covers a process that has just created its intake and not
            // locked it yet: if it holds no lock by now, it has written nothing.
            Ok((highest_token, loaded, process_gone && super::lock::is_free(&intake)))
        });
        let (highest_token, (book, read_offsets), process_gone) = match loaded.await {
            Ok(Ok(loaded)) => loaded,
            Ok(Err(e)) => {
                tracing::error!(event = "edge_disk", "store {edge}: {e}");
                self.fleet.release_job(replay_job(edge));
                return;
            }
            Err(_) => return,
        };
        if highest_token > token {
            // Another owner has replayed the store under a higher token, so this process needs a token
            // above that one.
            self.fleet.observe_token(replay_job(edge), highest_token);
            self.fleet.release_job(replay_job(edge));
            self.fleet.request_job(
                replay_job(edge),
                self.settings.max_lease,
                Duration::from_millis(100),
            );
            return;
        }
        for (at, length, seq, _) in &book.damaged {
            let seq = seq.map_or("unknown".to_owned(), |seq| seq.to_string());
            tracing::error!(
                event = "edge_damaged",
                "store {edge}: {length} damaged bytes at offset {at}, write {seq}"
            );
        }
        let settings = &self.settings;
        let config = Config {
            max_concurrent: settings.max_concurrent,
            fleet_writes_per_second: settings.fleet_per_second,
            max_age_ms: settings.retention.as_millis() as u64,
            predecessor_wait: settings.predecessor_wait.as_micros() as u64,
            send_without_predecessor: settings.send_without_predecessor,
            repeat_margin_ms: self.driver.longest_deadline().as_millis() as u64 + 500,
        };
        let left = book.open_count();
        let mut replay = Replay::new(config, token, book, self.replay_clock());
        if process_gone {
            replay.process_ended();
        }
        let replay = RefCell::new(replay);
        let store = Store {
            edge,
            token,
            replay,
            read_offsets: RefCell::new(read_offsets),
            last_read: Cell::new(Instant::now()),
            last_announced: Cell::new(None),
            fenced: Cell::new(false),
        };
        tracing::info!(event = "edge_replays", "replaying store {edge}: {left} open writes");
        self.replays.borrow_mut().insert(edge, Rc::new(store));
    }

    /// Length up to which the intake of a store may be read. The writes after that belong to clients of
    /// this process that have not been answered yet, or were told that the outcome is unknown.
    fn readable_intake(&self, edge: EdgeId) -> u64 {
        if edge == self.own_store { self.disk.settled() } else { u64::MAX }
    }

    pub(super) fn replay_clock(&self) -> u64 {
        // Any clock will do, if the replay always gets the same one.
        self.started().elapsed().as_micros() as u64
    }

    /// Reads what others have appended to the files of a store.
    async fn read_appended(&self, store: &Rc<Store>) {
        let settled = self.readable_intake(store.edge);
        // For the own store, the settled length tells whether there is new data.
        let read_length = store.read_offsets.borrow().get(&StoreFile::Intake).copied().unwrap_or(0);
        let has_new_data = store.edge == self.own_store && settled > read_length;
        if !has_new_data && store.last_read.get().elapsed() < SCAN_INTERVAL {
            return;
        }
        store.last_read.set(Instant::now());
        let (path, edge, own_token) = (self.settings.folder.clone(), store.edge, store.token);
        let mut read_offsets = store.read_offsets.borrow().clone();
        let read = spawn_blocking(move || -> io::Result<_> {
            let intake = StoreFile::Intake.path(&path, edge);
            let process_gone = super::lock::is_free(&intake);
            let mut items = Vec::new();
            for store_file in folder::list_files(&path, edge)? {
                if store_file == StoreFile::Journal(own_token) {
                    continue;
                }
                let offset = read_offsets.entry(store_file).or_default();
                let bytes = folder::read(
                    &store_file.path(&path, edge),
                    *offset,
                    store_file.readable_length(settled),
                )?;
                let base = *offset;
                for item in log::scan(&bytes, 0) {
                    let Some(end) = folder::item_end(&item) else { continue };
                    *offset = base + end;
                    items.push((store_file, base, item));
                }
            }
            // The lock is checked before and after the read, as in `take_over`.
            Ok((read_offsets, items, process_gone && super::lock::is_free(&intake)))
        });
        let Ok(Ok((read_offsets, items, process_gone))) = read.await else { return };
        store.read_offsets.replace(read_offsets);
        let mut replay = store.replay.borrow_mut();
        for (store_file, base, item) in items {
            match item {
                log::Item::Record { seq, at, length, record } => {
                    replay.apply_record(seq, (base + at, length), &record);
                }
                log::Item::Damaged { seq, .. } if store_file == StoreFile::Intake => {
                    replay.intake_damaged(seq)
                }
                log::Item::Damaged { .. } | log::Item::Torn { .. } => {}
            }
        }
        if process_gone {
            replay.process_ended();
        }
    }

    /// Starts the next steps that the replay asks for.
    fn start_steps(self: &Rc<Edge>, store: &Rc<Store>) {
        if self.driver.is_isolated() || store.fenced.get() {
            return;
        }
        for _ in 0..MAX_STEPS_PER_ROUND {
            let next = store.replay.borrow_mut().next(
                self.replay_clock(),
                self.host_time(),
                unix_ms(),
                &|id| self.progress_elsewhere(id),
            );
            let Some(step) = next else { return };
            spawn_local(self.clone().run_step(store.clone(), step));
        }
    }

    async fn run_step(self: Rc<Edge>, store: Rc<Store>, first: Step) {
        let mut step = Some(first);
        while let Some(current) = step.take() {
            step = match current {
                Step::Write(seq, record) => {
                    let mut bytes = Vec::new();
                    let fits = log::append(&mut bytes, seq, &record).is_ok();
                    let journal = StoreFile::Journal(store.token);
                    let outcome =
                        match self.disk.append(store.edge, journal, bytes).filter(|_| fits) {
                            Some(mut append) => append.wait().await,
                            None => AppendOutcome::NotWritten,
                        };
                    if outcome == AppendOutcome::Fenced {
                        store.fenced.set(true);
                    }
                    let on_disk = outcome == AppendOutcome::OnDisk;
                    self.count_end(&record, on_disk);
                    store.replay.borrow_mut().record_written(self.replay_clock(), seq, on_disk)
                }
                Step::Send(seq) => {
                    let outcome = self.send(&store, seq).await;
                    store.replay.borrow_mut().outcome(seq, outcome, unix_ms())
                }
            };
        }
        self.wake.notify_one();
    }

    /// Announces the progress of a store to the fleet, and removes a store that is finished.
    fn announce_progress(&self, store: &Rc<Store>) {
        let (mark, left) = {
            let replay = store.replay.borrow();
            (replay.book().watermark(), replay.book().open_count())
        };
        let is_due = store
            .last_announced
            .get()
            .is_none_or(|(at, announced)| announced != mark || at.elapsed() > ANNOUNCE_INTERVAL);
        let Watermark { upto, beyond, failed } = mark;
        let back = |seq: u64| {
            let back = (upto + 65).saturating_sub(seq);
            if seq == 0 { 0 } else { u16::try_from(back).unwrap_or(0) }
        };
        let value = EntryValue::Edge {
            token: store.token,
            upto,
            beyond,
            failed: failed.map(back),
            left: left.min(usize::from(u16::MAX)) as u16,
        };
        if is_due && self.fleet.publish_edge(store.edge.0, value) {
            store.last_announced.set(Some((Instant::now(), mark)));
        }
        let is_foreign = store.edge != self.own_store;
        let recently_announced =
            store.last_announced.get().is_some_and(|(at, _)| at.elapsed() < ANNOUNCE_INTERVAL);
        if left == 0 && is_foreign && recently_announced && self.is_removable(store) {
            let path: PathBuf = self.settings.folder.join(store.edge.to_string());
            tracing::info!(event = "edge_done", "removing finished store {}", store.edge);
            let _ = std::fs::remove_dir_all(path);
        }
    }

    /// Whether the process of a store is gone, for long enough that no client asks for the outcome of its
    /// writes.
    fn is_removable(&self, store: &Store) -> bool {
        let path = StoreFile::Intake.path(&self.settings.folder, store.edge);
        let Ok(data) = std::fs::metadata(&path) else { return false };
        let age = data.modified().ok().and_then(|at| at.elapsed().ok());
        // A process holds its intake locked for as long as it lives.
        age.is_some_and(|age| age > self.settings.retention) && super::lock::is_free(&path)
    }
}
