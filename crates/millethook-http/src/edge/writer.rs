//! Work of the disk thread: batches, acknowledgements, and withdrawals.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use millethook_edge::record::{End, Record};
use millethook_edge::{EdgeId, log};

use super::disk::{Append, AppendOutcome, DiskConfig, Storage};
use super::folder::{self, StoreFile};

/// Most appends that go to disk in one batch.
const MAX_BATCH: usize = 256;
/// Interval between two attempts to complete a withdrawal that the disk did not accept.
const REPAIR_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An open file, and its length up to the last intact record.
struct OpenFile {
    file: File,
    length: u64,
}

/// Changes that must be made to the own intake before anything else is written to it.
#[derive(Default)]
struct PendingRepairs {
    /// Length to which the file is truncated. The data after it was reported to no client as stored, but
    /// may be on disk.
    truncate_to: Option<u64>,
    /// End records of withdrawn writes. Bounded by the writes of one batch.
    end_records: Vec<u8>,
}

impl PendingRepairs {
    fn is_empty(&self) -> bool {
        self.truncate_to.is_none() && self.end_records.is_empty()
    }
}

/// State of the disk thread.
pub(super) struct Writer<S> {
    config: DiskConfig,
    storage: S,
    /// Bounded by the stores that this process replays, and its own.
    open_files: BTreeMap<(EdgeId, StoreFile), OpenFile>,
    repairs: PendingRepairs,
    settled: Arc<AtomicU64>,
}

impl<S: Storage> Writer<S> {
    pub(super) fn new(config: DiskConfig, storage: S, settled: Arc<AtomicU64>) -> Writer<S> {
        Writer {
            config,
            storage,
            open_files: BTreeMap::new(),
            repairs: PendingRepairs::default(),
            settled,
        }
    }

    /// Runs until the last handle is dropped.
    pub(super) fn run(
        mut self,
        queue: &Receiver<Append>,
        started: Instant,
        busy_since: &AtomicU64,
    ) {
        loop {
            let first = match self.repairs.is_empty() {
                true => queue.recv().map_err(|_| RecvTimeoutError::Disconnected),
                false => queue.recv_timeout(REPAIR_RETRY_INTERVAL),
            };
            let mut batch = match first {
                Ok(first) => vec![first],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            busy_since.store(started.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
            while batch.len() < MAX_BATCH
                && let Ok(next) = queue.try_recv()
            {
                batch.push(next);
            }
            self.write_batch(batch);
            busy_since.store(0, Ordering::Relaxed);
        }
    }

    fn write_batch(&mut self, batch: Vec<Append>) {
        let repaired = self.repair();
        let mut by_file: BTreeMap<(EdgeId, StoreFile), Vec<Append>> = BTreeMap::new();
        // A client that no longer waits was told that the outcome is unknown. If its write has not been
        // started, it never is.
        let active =
            batch.into_iter().filter(|a| !(self.is_own_write(a) && a.commit_sender.is_closed()));
        let active: Vec<Append> = active.collect();
        active.into_iter().for_each(|a| by_file.entry((a.edge, a.store_file)).or_default().push(a));
        for (key, appends) in by_file {
            let is_own_intake = key == (self.config.own_store, StoreFile::Intake);
            // Data appended after a write that is to be truncated would be truncated with it.
            let outcome = if is_own_intake && !repaired {
                AppendOutcome::NotWritten
            } else {
                self.append_to_file(key, &appends)
            };
            if is_own_intake && outcome == AppendOutcome::OnDisk {
                self.acknowledge(appends);
                continue;
            }
            for append in appends {
                // The requester may be gone.
                let _ = append.outcome_sender.send(outcome);
            }
        }
        if repaired && self.repair() {
            self.publish_settled_length();
        }
    }

    /// Whether this is a write to the own intake, whose client must be told the outcome.
    fn is_own_write(&self, append: &Append) -> bool {
        (append.edge, append.store_file) == (self.config.own_store, StoreFile::Intake)
    }

    /// Acknowledges the writes whose clients still wait, and withdraws the others.
    fn acknowledge(&mut self, synced: Vec<Append>) {
        let (mut acknowledged, mut acknowledgements) = (Vec::new(), Vec::new());
        for Append { commit_sender, outcome_sender, bytes, .. } in synced {
            let Some((seq, _)) = log::decode_one(&bytes) else { continue };
            if commit_sender.send(()).is_err() {
                self.withdraw(seq);
                continue;
            }
            // Cannot fail: the record is far below the longest one.
            let _ = log::append(&mut acknowledgements, seq, &Record::Acknowledged);
            acknowledged.push((seq, outcome_sender));
        }
        let outcome = self.append_acknowledgements(&acknowledgements);
        for (seq, outcome_sender) in acknowledged {
            if outcome != AppendOutcome::OnDisk {
                self.withdraw(seq);
            }
            let _ = outcome_sender.send(outcome);
        }
    }

    /// Appends acknowledgements to the own intake. They are synced together with the next append; a power
    /// loss before that loses only the acknowledgements.
    fn append_acknowledgements(&mut self, acknowledgements: &[u8]) -> AppendOutcome {
        let Some(opened) = self.open_files.get_mut(&(self.config.own_store, StoreFile::Intake))
        else {
            return AppendOutcome::Unknown;
        };
        let length_before = opened.length;
        if let Err(e) = opened.file.write_all(acknowledgements) {
            tracing::error!(event = "edge_disk", "cannot acknowledge writes: {e}");
            // Other processes read the acknowledgements that are in the file. The truncation is synced
            // before anything else is written.
            let _ = opened.file.set_len(length_before);
            self.repairs.truncate_to = Some(length_before);
            return AppendOutcome::Unknown;
        }
        opened.length += acknowledgements.len() as u64;
        AppendOutcome::OnDisk
    }

    fn withdraw(&mut self, seq: u64) {
        let end = Record::End {
            how: End::Withdrawn,
            status: 0,
            answer: Vec::new(),
            at_ms: super::unix_ms(),
        };
        // Cannot fail: the record is far below the longest one.
        let _ = log::append(&mut self.repairs.end_records, seq, &end);
    }

    /// Makes the pending repairs of the own intake. Returns false if the disk has not accepted them yet.
    fn repair(&mut self) -> bool {
        if self.repairs.is_empty() {
            return true;
        }
        let key = (self.config.own_store, StoreFile::Intake);
        let repaired = self.ensure_open(key).and_then(|()| {
            let Some(opened) = self.open_files.get_mut(&key) else { return Ok(()) };
            if let Some(length) = self.repairs.truncate_to {
                opened.file.set_len(length)?;
                self.storage.sync(key.1, &opened.file)?;
                (opened.length, self.repairs.truncate_to) = (length, None);
            }
            if !self.repairs.end_records.is_empty() {
                let length = opened.length;
                let appended = opened.file.write_all(&self.repairs.end_records);
                // Without this, data that follows a partial record may be read as part of it.
                if let Err(e) = appended.and_then(|()| self.storage.sync(key.1, &opened.file)) {
                    self.repairs.truncate_to = Some(length);
                    return Err(e);
                }
                opened.length += self.repairs.end_records.len() as u64;
                self.repairs.end_records.clear();
            }
            Ok(())
        });
        if let Err(e) = &repaired {
            tracing::error!(event = "edge_disk", "cannot withdraw a write yet: {e}");
        }
        repaired.is_ok()
    }

    /// Publishes the length of the own intake as settled.
    fn publish_settled_length(&self) {
        let Some(opened) = self.open_files.get(&(self.config.own_store, StoreFile::Intake)) else {
            return;
        };
        if self.settled.swap(opened.length, Ordering::Release) != opened.length {
            self.config.settled_changed.notify_one();
        }
    }

    fn ensure_open(&mut self, (edge, store_file): (EdgeId, StoreFile)) -> io::Result<()> {
        if !self.open_files.contains_key(&(edge, store_file)) {
            let path = store_file.path(&self.config.folder, edge);
            let opened = open_for_append(&path).inspect_err(|e| {
                tracing::error!(event = "edge_disk", "{}: {e}", path.display());
            })?;
            self.open_files.insert((edge, store_file), opened);
        }
        Ok(())
    }

    fn append_to_file(
        &mut self,
        (edge, store_file): (EdgeId, StoreFile),
        appends: &[Append],
    ) -> AppendOutcome {
        let folder = &self.config.folder;
        // A stalled owner may write after another owner has taken over. It writes to a file of its own, so
        // nobody acts on its records. A mark is refused nevertheless, so that the stalled owner notices at
        // once that it has been replaced.
        if let StoreFile::Journal(token) = store_file
            && folder::highest_token(folder, edge).is_ok_and(|highest| highest > token)
            && appends.iter().all(|a| is_mark(&a.bytes))
        {
            return AppendOutcome::Fenced;
        }
        // A late record of an earlier owner must not create a finished and removed store again.
        if store_file != StoreFile::Intake && !StoreFile::Intake.path(folder, edge).exists() {
            return AppendOutcome::Fenced;
        }
        let path = store_file.path(folder, edge);
        if self.ensure_open((edge, store_file)).is_err() {
            return AppendOutcome::NotWritten;
        }
        let Some(opened) = self.open_files.get_mut(&(edge, store_file)) else {
            return AppendOutcome::NotWritten;
        };
        let length_before = opened.length;
        let is_own_intake = (edge, store_file) == (self.config.own_store, StoreFile::Intake);
        let mut bytes = Vec::new();
        if is_own_intake && length_before == 0 {
            // Cannot fail: the record is far below the longest one.
            let _ = log::append(&mut bytes, 0, &Record::Opened { boot: super::boot_id() });
        }
        appends.iter().for_each(|append| bytes.extend_from_slice(&append.bytes));
        let appended = opened.file.write_all(&bytes);
        let outcome = match appended {
            // The partial append is truncated. If that fails, it is unknown what is on disk.
            Err(e) => {
                tracing::error!(event = "edge_disk", "{}: {e}", path.display());
                let truncated = opened.file.set_len(length_before);
                match truncated.and_then(|()| self.storage.sync(store_file, &opened.file)) {
                    Ok(()) => AppendOutcome::NotWritten,
                    Err(_) => AppendOutcome::Unknown,
                }
            }
            Ok(()) => match self.storage.sync(store_file, &opened.file) {
                Ok(()) => {
                    opened.length = length_before + bytes.len() as u64;
                    AppendOutcome::OnDisk
                }
                Err(e) => {
                    tracing::error!(event = "edge_disk", "{}: {e}", path.display());
                    AppendOutcome::Unknown
                }
            },
        };
        match outcome {
            // No client is told that any of this data is stored. The file stays open, so that it stays
            // locked for as long as this process lives.
            AppendOutcome::Unknown if is_own_intake => {
                self.repairs.truncate_to = Some(length_before)
            }
            // All records of a journal are true, whether they are on disk or not.
            AppendOutcome::Unknown => drop(self.open_files.remove(&(edge, store_file))),
            AppendOutcome::OnDisk | AppendOutcome::NotWritten | AppendOutcome::Fenced => {}
        }
        outcome
    }
}

fn is_mark(bytes: &[u8]) -> bool {
    let record = millethook_edge::log::decode_one(bytes);
    matches!(record, Some((_, millethook_edge::record::Record::Mark { .. })))
}

/// Opens a file for appending. A new file and its folder are synced to disk before anything depends on
/// them.
fn open_for_append(path: &Path) -> io::Result<OpenFile> {
    let directory: PathBuf = path.parent().map(Path::to_owned).unwrap_or_default();
    fs::create_dir_all(&directory)?;
    let file = File::options().create(true).append(true).open(path)?;
    if !super::lock::acquire(&file) {
        return Err(io::Error::other("locked by another process"));
    }
    File::open(&directory)?.sync_all()?;
    if let Some(parent) = directory.parent() {
        File::open(parent)?.sync_all()?;
    }
    let length = file.metadata()?.len();
    Ok(OpenFile { file, length })
}
