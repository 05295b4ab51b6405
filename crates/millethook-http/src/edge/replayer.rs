//! Who replays which store: takes over what its lease allows, reads what comes to its files, and removes what is done
//! with.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use millethook_edge::{Config, EdgeId, Mark, Replay, Step, Token, log};
use millethook_engine::fleet::EntryValue;
use millethook_engine::leases::JobId;
use millethook_engine::names::stable_hash;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::sleep;

use super::disk::Written;
use super::folder::{self, Name, Places};
use super::{Edge, unix_ms};

/// Between two looks at the folder, and at the files of a store that others append to.
const LOOK: Duration = Duration::from_millis(500);
/// Between two rounds while nothing happens.
const ROUND: Duration = Duration::from_millis(20);
/// Between two tries whether any server takes a connection, while none can be reached and something is kept.
const TRY: Duration = Duration::from_millis(500);
/// How far a store is, is noted again for whoever asks, also where nothing has changed.
const TELL: Duration = Duration::from_secs(10);
/// A foreign store is asked for so much later than its own process asks.
const FOREIGN: Duration = Duration::from_secs(1);
/// Steps of one store in one round, at most.
const STEPS: usize = 64;

/// A store that is replayed here.
pub(super) struct Store {
    pub edge: EdgeId,
    pub token: Token,
    pub replay: RefCell<Replay>,
    places: RefCell<Places>,
    looked: Cell<Instant>,
    told: Cell<Option<(Instant, Mark)>>,
    /// The disk has refused a mark: another one owns it.
    pub fenced: Cell<bool>,
}

/// The job of replaying a store.
pub(super) fn job(edge: EdgeId) -> JobId {
    JobId(stable_hash(format!("replay {edge}").as_bytes()))
}

impl Edge {
    /// Runs for as long as the process.
    pub(super) async fn replay(self: Rc<Edge>) {
        let mut known: BTreeMap<EdgeId, ()> = BTreeMap::new();
        let (mut looked, mut tried, mut nth) = (None::<Instant>, Instant::now(), 0usize);
        loop {
            if looked.is_none_or(|at| at.elapsed() > LOOK) {
                looked = Some(Instant::now());
                self.look_for_stores(&mut known).await;
            }
            for edge in known.keys().copied().collect::<Vec<_>>() {
                self.follow(edge).await;
            }
            let something =
                self.replays.borrow().values().any(|s| s.replay.borrow().book().left() > 0);
            if something && self.driver.is_isolated() && tried.elapsed() > TRY {
                tried = Instant::now();
                nth = nth.wrapping_add(1);
                let (driver, nth) = (self.driver.clone(), nth);
                spawn_local(async move { driver.try_connect(nth).await });
            }
            let stores: Vec<Rc<Store>> = self.replays.borrow().values().cloned().collect();
            // As many stores as sidecars may be on their way; how many are, nobody knows.
            let others = self.fleet.counts().alive;
            for store in stores {
                store.replay.borrow_mut().set_stores(others.max(1));
                self.look_at(&store).await;
                self.steps(&store);
                self.tell(&store);
            }
            let busy = self.replays.borrow().values().any(|s| s.replay.borrow().book().left() > 0);
            tokio::select! {
                () = sleep(if busy { ROUND } else { LOOK }) => {}
                () = self.wake.notified() => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn look_for_stores(&self, known: &mut BTreeMap<EdgeId, ()>) {
        let path = self.settings.folder.clone();
        let found = spawn_blocking(move || folder::stores(&path)).await;
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
            if *edge == self.own || self.is_orphan(*edge) {
                let wait = if *edge == self.own { Duration::ZERO } else { FOREIGN };
                self.fleet.request_job(job(*edge), self.settings.lease, wait);
            } else if self.fleet.holds(job(*edge)).is_none() {
                self.fleet.release_job(job(*edge));
            }
        }
        let gone: Vec<EdgeId> = known.keys().filter(|e| !found.contains(e)).copied().collect();
        for edge in gone {
            known.remove(&edge);
            self.fleet.release_job(job(edge));
            self.replays.borrow_mut().remove(&edge);
        }
    }

    /// Whether nobody seems to replay another process' store. Without this, all sidecars of a host ask for all of its
    /// stores all the time, and their requests alone use up what may be sent.
    fn is_orphan(&self, edge: EdgeId) -> bool {
        // A process holds its intake locked for as long as it lives; one that stands still is not seen by the others.
        let path = Name::Intake.path(&self.settings.folder, edge);
        super::lock::is_free(&path) || !self.fleet.is_there(edge.number())
    }

    /// Takes a store over, or lets it go, as its lease says.
    async fn follow(&self, edge: EdgeId) {
        let held = self.fleet.holds(job(edge));
        let replayed = self.replays.borrow().get(&edge).map(|s| (s.token, s.fenced.get()));
        match (held, replayed) {
            (Some(token), Some((mine, false))) if token == mine => {}
            (Some(token), before) => {
                if before.is_some() {
                    self.replays.borrow_mut().remove(&edge);
                }
                self.take_over(edge, token).await;
            }
            (None, Some(_)) => {
                // What is out goes on; its end is written down under the old token.
                self.replays.borrow_mut().remove(&edge);
            }
            (None, None) => {}
        }
    }

    /// Whether this process may replay its own store, as far as that is settled.
    ///
    /// An owner before this one, which took this process for dead, has read what is not settled here yet. Its
    /// journal would speak of writes that were not read, and what it told of the store's progress would be taken back.
    fn own_is_settled(&self) -> io::Result<bool> {
        if folder::highest(&self.settings.folder, self.own)? == Token::default() {
            return Ok(true);
        }
        let intake = Name::Intake.path(&self.settings.folder, self.own);
        let length = std::fs::metadata(intake)?.len();
        // What comes from now on no earlier owner has read; what is cut off meanwhile is not waited for.
        let upto = self.unsettled.get().map_or(length, |upto| upto.min(length));
        let settled = self.disk.settled() >= upto;
        self.unsettled.set((!settled).then_some(upto));
        Ok(settled)
    }

    async fn take_over(&self, edge: EdgeId, token: Token) {
        if edge == self.own && self.own_is_settled().is_ok_and(|settled| !settled) {
            return;
        }
        let (path, settled) = (self.settings.folder.clone(), self.settled(edge));
        let loaded = spawn_blocking(move || -> io::Result<_> {
            let intake = Name::Intake.path(&path, edge);
            let gone = super::lock::is_free(&intake);
            let highest = folder::highest(&path, edge)?;
            let loaded = folder::load_settled(&path, edge, settled)?;
            // Danger: what a process acknowledges as it ends is read only if it was gone before. One that has just made
            // its intake does not hold it yet, and has written nothing where it does not by now.
            Ok((highest, loaded, gone && super::lock::is_free(&intake)))
        });
        let (highest, (book, places), gone) = match loaded.await {
            Ok(Ok(loaded)) => loaded,
            Ok(Err(e)) => {
                tracing::error!(event = "edge_disk", "store {edge}: {e}");
                self.fleet.release_job(job(edge));
                return;
            }
            Err(_) => return,
        };
        if highest > token {
            // Somebody has replayed it under a higher token: only one above that will do.
            self.fleet.observe_token(job(edge), highest);
            self.fleet.release_job(job(edge));
            self.fleet.request_job(job(edge), self.settings.lease, Duration::from_millis(100));
            return;
        }
        for (at, length, seq, _) in &book.damaged {
            let seq = seq.map_or("unknown".to_owned(), |seq| seq.to_string());
            tracing::error!(
                event = "edge_damaged",
                "store {edge}: {length} bytes from {at} on, write {seq}"
            );
        }
        let settings = &self.settings;
        let config = Config {
            at_once: settings.at_once,
            fleet_per_second: settings.fleet_per_second,
            keep_ms: settings.keep.as_millis() as u64,
            forerunner: settings.forerunner.as_micros() as u64,
            go_on: settings.go_on,
            margin_ms: self.driver.longest_deadline().as_millis() as u64 + 500,
        };
        let left = book.left();
        let mut replay = Replay::new(config, token, book, self.now());
        if gone {
            replay.process_is_gone();
        }
        let replay = RefCell::new(replay);
        let store = Store {
            edge,
            token,
            replay,
            places: RefCell::new(places),
            looked: Cell::new(Instant::now()),
            told: Cell::new(None),
            fenced: Cell::new(false),
        };
        tracing::info!(
            event = "edge_replays",
            "store {edge} is replayed here: {left} writes without an end"
        );
        self.replays.borrow_mut().insert(edge, Rc::new(store));
    }

    /// Up to where the intake of a store may be read. Behind it lie writes of this process whose clients have yet
    /// to be answered, or were answered that nobody knows.
    fn settled(&self, edge: EdgeId) -> u64 {
        if edge == self.own { self.disk.settled() } else { u64::MAX }
    }

    pub(super) fn now(&self) -> u64 {
        // Any clock will do that the replay is always shown.
        self.started().elapsed().as_micros() as u64
    }

    /// Reads what others have appended.
    async fn look_at(&self, store: &Rc<Store>) {
        let settled = self.settled(store.edge);
        // Of the own store it is known when there is something new.
        let read = store.places.borrow().get(&Name::Intake).copied().unwrap_or(0);
        let fresh = store.edge == self.own && settled > read;
        if !fresh && store.looked.get().elapsed() < LOOK {
            return;
        }
        store.looked.set(Instant::now());
        let (path, edge, mine) = (self.settings.folder.clone(), store.edge, store.token);
        let mut places = store.places.borrow().clone();
        let read = spawn_blocking(move || -> io::Result<_> {
            let intake = Name::Intake.path(&path, edge);
            let gone = super::lock::is_free(&intake);
            let mut items = Vec::new();
            for name in folder::files(&path, edge)? {
                if name == Name::Journal(mine) {
                    continue;
                }
                let from = places.entry(name).or_default();
                let bytes = folder::read(&name.path(&path, edge), *from, name.upto(settled))?;
                let base = *from;
                for item in log::scan(&bytes, 0) {
                    let Some(end) = folder::end_of(&item) else { continue };
                    *from = base + end;
                    items.push((name, base, item));
                }
            }
            // As where it is taken over.
            Ok((places, items, gone && super::lock::is_free(&intake)))
        });
        let Ok(Ok((places, items, gone))) = read.await else { return };
        store.places.replace(places);
        let mut replay = store.replay.borrow_mut();
        for (name, base, item) in items {
            match item {
                log::Item::Record { seq, at, length, record } => {
                    replay.read(seq, (base + at, length), &record);
                }
                log::Item::Damaged { seq, .. } if name == Name::Intake => replay.spoilt(seq),
                log::Item::Damaged { .. } | log::Item::Torn { .. } => {}
            }
        }
        if gone {
            replay.process_is_gone();
        }
    }

    /// Carries out what the replay wants next.
    fn steps(self: &Rc<Edge>, store: &Rc<Store>) {
        if self.driver.is_isolated() || store.fenced.get() {
            return;
        }
        for _ in 0..STEPS {
            let next = store
                .replay
                .borrow_mut()
                .next(self.now(), self.here(), unix_ms(), &|id| self.progress_elsewhere(id));
            let Some(step) = next else { return };
            spawn_local(self.clone().carry_out(store.clone(), step));
        }
    }

    async fn carry_out(self: Rc<Edge>, store: Rc<Store>, first: Step) {
        let mut step = Some(first);
        while let Some(now) = step.take() {
            step = match now {
                Step::Write(seq, record) => {
                    let mut bytes = Vec::new();
                    let fits = log::append(&mut bytes, seq, &record).is_ok();
                    let name = Name::Journal(store.token);
                    let written = match self.disk.append(store.edge, name, bytes).filter(|_| fits) {
                        Some(mut written) => written.written().await,
                        None => Written::No,
                    };
                    if written == Written::Fenced {
                        store.fenced.set(true);
                    }
                    let on_disk = written == Written::OnDisk;
                    self.ended(&record, on_disk);
                    store.replay.borrow_mut().written(self.now(), seq, on_disk)
                }
                Step::Send(seq) => {
                    let outcome = self.send(&store, seq).await;
                    store.replay.borrow_mut().outcome(seq, outcome, unix_ms())
                }
            };
        }
        self.wake.notify_one();
    }

    /// Notes how far a store is, for whoever asks; one that is done with is removed.
    fn tell(&self, store: &Rc<Store>) {
        let (mark, left) = {
            let replay = store.replay.borrow();
            (replay.book().mark(), replay.book().left())
        };
        let due = store.told.get().is_none_or(|(at, told)| told != mark || at.elapsed() > TELL);
        let Mark { upto, beyond, failed } = mark;
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
        if due && self.fleet.say_edge(store.edge.0, value) {
            store.told.set(Some((Instant::now(), mark)));
        }
        let foreign = store.edge != self.own;
        let quiet = store.told.get().is_some_and(|(at, _)| at.elapsed() < TELL);
        if left == 0 && foreign && quiet && self.is_over(store) {
            let path: PathBuf = self.settings.folder.join(store.edge.to_string());
            tracing::info!(event = "edge_done", "store {} is empty and removed", store.edge);
            let _ = std::fs::remove_dir_all(path);
        }
    }

    /// Whether a store's process is gone, and so long ago that nobody asks what became of its writes.
    fn is_over(&self, store: &Store) -> bool {
        let path = Name::Intake.path(&self.settings.folder, store.edge);
        let Ok(data) = std::fs::metadata(&path) else { return false };
        let old = data.modified().ok().and_then(|at| at.elapsed().ok());
        // A process holds its intake locked for as long as it lives.
        old.is_some_and(|old| old > self.settings.keep) && super::lock::is_free(&path)
    }
}
