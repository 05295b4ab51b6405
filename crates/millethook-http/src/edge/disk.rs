//! The one thread that writes: what comes while it writes goes to disk together.
//!
//! A write to the own intake counts only once it is acknowledged (`Record::Acknowledged`). Whether it ever is the first
//! of two decides: its client's time is over ([`Appended::give_up`]), or the disk has synced it. In the second case the
//! acknowledgement follows it, without another sync, and its client is told after that.
//!
//! A write that was given up is left out where it has not been begun. Where it gets to disk, its end
//! (`End::Withdrawn`) follows it there, since after a loss of power acknowledgements may be missing. The process reads
//! its own intake only as far as all that is decided ([`Disk::settled`]).

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

/// Appends that wait; one more is refused.
const WAITING: usize = 1024;

/// What became of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// It is on disk.
    OnDisk,
    /// It is known not to be there.
    No,
    /// Nobody knows: the disk failed in the middle.
    Unknown,
    /// Another owner has a higher token: nothing was written.
    Fenced,
}

/// Something to be appended.
pub(super) struct Append {
    pub(super) edge: EdgeId,
    pub(super) name: StoreFile,
    pub(super) bytes: Vec<u8>,
    /// Fails where whoever asked has given it up.
    pub(super) decided: oneshot::Sender<()>,
    pub(super) done: oneshot::Sender<Written>,
}

/// An append on its way to the disk. A write to the own intake is withdrawn where this is dropped before the disk has
/// synced it.
#[derive(Debug)]
pub struct Appended {
    /// The disk has it; from then on it is acknowledged and not withdrawn.
    decided: oneshot::Receiver<()>,
    done: oneshot::Receiver<Written>,
}

impl Appended {
    /// What became of it. Cancel safe.
    pub async fn written(&mut self) -> Written {
        (&mut self.done).await.unwrap_or(Written::Unknown)
    }

    /// The same, for a thread without a runtime.
    pub fn blocking_written(self) -> Written {
        self.done.blocking_recv().unwrap_or(Written::Unknown)
    }

    /// Withdraws a write to the own intake. None: it is withdrawn. Else the disk had it before, and this is what became
    /// of it.
    pub async fn give_up(&mut self) -> Option<Written> {
        self.decided.close();
        match self.decided.try_recv() {
            // What is left is an append without a sync.
            Ok(()) => Some(self.written().await),
            Err(_) => self.done.try_recv().ok(),
        }
    }
}

/// What the thread leaves to the file system; tests hold it up there.
pub trait Storage: Send + 'static {
    /// Has what was written to a file put on disk.
    ///
    /// # Errors
    /// What of it got there nobody knows.
    fn sync(&mut self, name: StoreFile, file: &File) -> io::Result<()>;
}

/// The file system as it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn sync(&mut self, _: StoreFile, file: &File) -> io::Result<()> {
        file.sync_data()
    }
}

/// Who appends where.
pub struct DiskConfig {
    /// Where stores are.
    pub folder: PathBuf,
    /// The store of this process.
    pub own: EdgeId,
    /// Told as [`Disk::settled`] grows.
    pub moved: Arc<Notify>,
}

/// The way to the thread.
#[derive(Clone)]
pub struct Disk {
    appends: SyncSender<Append>,
    settled: Arc<AtomicU64>,
    base: Instant,
    /// When the batch that is being written began, in milliseconds of `base` and one; 0: none is.
    busy_since: Arc<AtomicU64>,
}

impl Disk {
    /// Starts the thread. It ends with the last handle.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn start(config: DiskConfig, storage: impl Storage) -> io::Result<Disk> {
        let (appends, waiting) = sync_channel(WAITING);
        let (base, busy_since) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let settled = Arc::new(AtomicU64::new(0));
        let writer = Writer::new(config, storage, settled.clone());
        let busy = busy_since.clone();
        let thread = std::thread::Builder::new().name("edge-disk".into());
        thread.spawn(move || writer.run(&waiting, base, &busy))?;
        Ok(Disk { appends, settled, base, busy_since })
    }

    /// The length of this process' own intake up to which each write was acknowledged, or has its end.
    pub fn settled(&self) -> u64 {
        self.settled.load(Ordering::Acquire)
    }

    /// For how long the disk has been busy with what it has now.
    pub fn busy(&self) -> Duration {
        match self.busy_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => self.base.elapsed().saturating_sub(Duration::from_millis(since - 1)),
        }
    }

    /// Appends to a file of a store; None: too much waits already, and nothing was done.
    ///
    /// The first write of the own intake comes behind a record that says so (`Record::Opened`).
    pub fn append(&self, edge: EdgeId, name: StoreFile, bytes: Vec<u8>) -> Option<Appended> {
        let (decided, decision) = oneshot::channel();
        let (done, written) = oneshot::channel();
        match self.appends.try_send(Append { edge, name, bytes, decided, done }) {
            Ok(()) => Some(Appended { decided: decision, done: written }),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }
}
