//! The disk thread, which does all appends. Appends that arrive while it is writing go to disk in one
//! batch.
//!
//! A write to this process's own intake counts only once it is acknowledged (`Record::Acknowledged`). Two
//! events race for that: the client's time runs out ([`PendingAppend::cancel`]), or the disk syncs the
//! write. If the sync comes first, the acknowledgement is appended after the write, without a sync of its
//! own, and the client is told after that.
//!
//! A cancelled write is skipped if it has not been started. If it does get to disk, an end record
//! (`End::Withdrawn`) follows it: acknowledgements may be missing after a power loss, so a missing one does not
//! show that a write was withdrawn. The process reads its own intake only up to the point where all of this is
//! decided ([`Disk::settled`]).

use std::fs::File;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use millethook_edge::EdgeId;
use tokio::sync::{Notify, oneshot};

use super::folder::StoreFile;
use super::writer::Writer;

/// Appends that may be queued; one more is refused.
const MAX_QUEUED_APPENDS: usize = 1024;

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The data is on disk.
    OnDisk,
    /// The data is known not to be on disk.
    NotWritten,
    /// The disk failed during the append, so it is unknown whether the data is there.
    Unknown,
    /// Another owner has a higher token; nothing was written.
    Fenced,
}

/// One append for the disk thread.
pub(super) struct Append {
    pub(super) edge: EdgeId,
    pub(super) store_file: StoreFile,
    pub(super) bytes: Vec<u8>,
    /// Sending fails if the requester has cancelled the append.
    pub(super) commit_sender: oneshot::Sender<()>,
    pub(super) outcome_sender: oneshot::Sender<AppendOutcome>,
}

/// An append that is queued or in progress. A write to the own intake is withdrawn if this is dropped
/// before the disk has synced the write.
#[derive(Debug)]
pub struct PendingAppend {
    /// Receives a message when the disk has synced the write, which is from then on acknowledged and not
    /// withdrawn.
    committed: oneshot::Receiver<()>,
    outcome: oneshot::Receiver<AppendOutcome>,
}

impl PendingAppend {
    /// Waits for the outcome. Cancel safe.
    pub async fn wait(&mut self) -> AppendOutcome {
        (&mut self.outcome).await.unwrap_or(AppendOutcome::Unknown)
    }

    /// Waits for the outcome in a thread without a runtime.
    pub fn blocking_wait(self) -> AppendOutcome {
        self.outcome.blocking_recv().unwrap_or(AppendOutcome::Unknown)
    }

    /// Withdraws a write to the own intake. Returns None if it is withdrawn. If the disk had synced it
    /// before, returns the outcome.
    pub async fn cancel(&mut self) -> Option<AppendOutcome> {
        self.committed.close();
        match self.committed.try_recv() {
            // Only an append without a sync remains, so the outcome follows soon.
            Ok(()) => Some(self.wait().await),
            Err(_) => self.outcome.try_recv().ok(),
        }
    }
}

/// The operation that the disk thread leaves to the file system, so that tests can delay it or make it
/// fail.
pub trait Storage: Send + 'static {
    /// Syncs a file's written data to disk.
    ///
    /// # Errors
    /// Returns the error of the sync. It is then unknown how much of the data is on disk.
    fn sync(&mut self, store_file: StoreFile, file: &File) -> io::Result<()>;
}

/// The real file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn sync(&mut self, _: StoreFile, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}

/// Configuration of the disk thread.
pub struct DiskConfig {
    /// Folder of the stores.
    pub folder: PathBuf,
    /// The store of this process.
    pub own_store: EdgeId,
    /// Notified when [`Disk::settled`] grows.
    pub settled_changed: Arc<Notify>,
}

/// Handle of the disk thread.
#[derive(Clone)]
pub struct Disk {
    appends: SyncSender<Append>,
    settled: Arc<AtomicU64>,
    started: Instant,
    /// When the batch in progress was started, in milliseconds since `started`, plus 1; 0 if none is in
    /// progress.
    busy_since: Arc<AtomicU64>,
}

impl Disk {
    /// Starts the disk thread. It ends when the last handle is dropped.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(config: DiskConfig, storage: impl Storage) -> io::Result<Disk> {
        let (appends, queue) = sync_channel(MAX_QUEUED_APPENDS);
        let (started, busy_since) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let settled = Arc::new(AtomicU64::new(0));
        let writer = Writer::new(config, storage, settled.clone());
        let shared_busy_since = busy_since.clone();
        let thread = std::thread::Builder::new().name("edge-disk".into());
        thread.spawn(move || writer.run(&queue, started, &shared_busy_since))?;
        Ok(Disk { appends, settled, started, busy_since })
    }

    /// Length of this process's own intake up to which each write has been acknowledged or has an end
    /// record.
    pub fn settled(&self) -> u64 {
        self.settled.load(Ordering::Acquire)
    }

    /// How long the disk has been busy with the current batch.
    pub fn busy_for(&self) -> Duration {
        match self.busy_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => self.started.elapsed().saturating_sub(Duration::from_millis(since - 1)),
        }
    }

    /// Queues an append to a file of a store. Returns None if the queue is full; nothing was done then.
    ///
    /// The first write to the own intake is preceded by a record that says that writes need an
    /// acknowledgement (`Record::Opened`).
    pub fn append(
        &self,
        edge: EdgeId,
        store_file: StoreFile,
        bytes: Vec<u8>,
    ) -> Option<PendingAppend> {
        let (commit_sender, committed) = oneshot::channel();
        let (outcome_sender, outcome) = oneshot::channel();
        match self.appends.try_send(Append {
            edge,
            store_file,
            bytes,
            commit_sender,
            outcome_sender,
        }) {
            Ok(()) => Some(PendingAppend { committed, outcome }),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }
}
