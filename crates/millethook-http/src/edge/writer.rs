//! What the one thread does that writes: batches, acknowledgements, and what is withdrawn.

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

use super::disk::{Append, DiskConfig, Storage, Written};
use super::folder::{self, StoreFile};

/// Appends that go to disk together, at most.
const TOGETHER: usize = 256;
/// Between two tries to withdraw what the disk did not take.
const RETRY: Duration = Duration::from_millis(100);

/// A file that is open, and its length up to the last sound record.
struct Open {
    file: File,
    length: u64,
}

/// What has to get into the own intake before anything else does.
#[derive(Default)]
struct Owed {
    /// What lies behind this length was told to nobody as kept, and may be on disk: it is cut off.
    cut_to: Option<u64>,
    /// Ends of writes that were withdrawn. Bounded by those of one batch.
    ends: Vec<u8>,
}

impl Owed {
    fn is_none(&self) -> bool {
        self.cut_to.is_none() && self.ends.is_empty()
    }
}

/// The thread that writes.
pub(super) struct Writer<S> {
    config: DiskConfig,
    storage: S,
    /// Bounded by the stores that this process replays, and its own.
    open: BTreeMap<(EdgeId, StoreFile), Open>,
    owed: Owed,
    settled: Arc<AtomicU64>,
}

impl<S: Storage> Writer<S> {
    pub(super) fn new(config: DiskConfig, storage: S, settled: Arc<AtomicU64>) -> Writer<S> {
        Writer { config, storage, open: BTreeMap::new(), owed: Owed::default(), settled }
    }

    /// Runs until the last handle is gone.
    pub(super) fn run(mut self, waiting: &Receiver<Append>, base: Instant, busy: &AtomicU64) {
        loop {
            let first = match self.owed.is_none() {
                true => waiting.recv().map_err(|_| RecvTimeoutError::Disconnected),
                false => waiting.recv_timeout(RETRY),
            };
            let mut batch = match first {
                Ok(first) => vec![first],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            busy.store(base.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
            while batch.len() < TOGETHER
                && let Ok(next) = waiting.try_recv()
            {
                batch.push(next);
            }
            self.write(batch);
            busy.store(0, Ordering::Relaxed);
        }
    }

    fn write(&mut self, batch: Vec<Append>) {
        let paid = self.pay();
        let mut by_file: BTreeMap<(EdgeId, StoreFile), Vec<Append>> = BTreeMap::new();
        // Who waits for it no more was told that nobody knows: not begun, it never is.
        let begun = batch.into_iter().filter(|a| !(self.is_own(a) && a.decided.is_closed()));
        let begun: Vec<Append> = begun.collect();
        begun.into_iter().for_each(|a| by_file.entry((a.edge, a.name)).or_default().push(a));
        for (key, appends) in by_file {
            let own = key == (self.config.own, StoreFile::Intake);
            // What came behind a write that is to be cut off would be cut off with it.
            let written = if own && !paid { Written::No } else { self.put(key, &appends) };
            if own && written == Written::OnDisk {
                self.acknowledge(appends);
                continue;
            }
            for append in appends {
                // Whoever asked may be gone.
                let _ = append.done.send(written);
            }
        }
        if paid && self.pay() {
            self.settle();
        }
    }

    /// Whether it is a write to the own intake, whose client has to be told of it.
    fn is_own(&self, append: &Append) -> bool {
        (append.edge, append.name) == (self.config.own, StoreFile::Intake)
    }

    /// Acknowledges the writes whose clients still wait, and withdraws the others.
    fn acknowledge(&mut self, synced: Vec<Append>) {
        let (mut kept, mut acknowledgements) = (Vec::new(), Vec::new());
        for Append { decided, done, bytes, .. } in synced {
            let Some((seq, _)) = log::one(&bytes) else { continue };
            if decided.send(()).is_err() {
                self.withdraw(seq);
                continue;
            }
            // Far below the longest record.
            let _ = log::append(&mut acknowledgements, seq, &Record::Acknowledged);
            kept.push((seq, done));
        }
        let written = self.note(&acknowledgements);
        for (seq, done) in kept {
            if written != Written::OnDisk {
                self.withdraw(seq);
            }
            let _ = done.send(written);
        }
    }

    /// Appends acknowledgements to the own intake. They are synced with what comes next: until then a loss of power
    /// takes them, and nothing else.
    fn note(&mut self, acknowledgements: &[u8]) -> Written {
        let Some(opened) = self.open.get_mut(&(self.config.own, StoreFile::Intake)) else {
            return Written::Unknown;
        };
        let before = opened.length;
        if let Err(e) = opened.file.write_all(acknowledgements) {
            tracing::error!(event = "edge_disk", "writes cannot be acknowledged: {e}");
            // Others read what stands there of them. The cut is synced before anything else is written.
            let _ = opened.file.set_len(before);
            self.owed.cut_to = Some(before);
            return Written::Unknown;
        }
        opened.length += acknowledgements.len() as u64;
        Written::OnDisk
    }

    fn withdraw(&mut self, seq: u64) {
        let end = Record::End {
            how: End::Withdrawn,
            status: 0,
            answer: Vec::new(),
            at_ms: super::unix_ms(),
        };
        // Far below the longest record.
        let _ = log::append(&mut self.owed.ends, seq, &end);
    }

    /// Cuts off and appends what is owed to the own intake; false: the disk did not take it yet.
    fn pay(&mut self) -> bool {
        if self.owed.is_none() {
            return true;
        }
        let key = (self.config.own, StoreFile::Intake);
        let paid = self.open(key).and_then(|()| {
            let Some(opened) = self.open.get_mut(&key) else { return Ok(()) };
            if let Some(length) = self.owed.cut_to {
                opened.file.set_len(length)?;
                self.storage.sync(key.1, &opened.file)?;
                (opened.length, self.owed.cut_to) = (length, None);
            }
            if !self.owed.ends.is_empty() {
                let length = opened.length;
                let ends = opened.file.write_all(&self.owed.ends);
                // Without this, what follows half a record may be taken for a part of it.
                if let Err(e) = ends.and_then(|()| self.storage.sync(key.1, &opened.file)) {
                    self.owed.cut_to = Some(length);
                    return Err(e);
                }
                opened.length += self.owed.ends.len() as u64;
                self.owed.ends.clear();
            }
            Ok(())
        });
        if let Err(e) = &paid {
            tracing::error!(event = "edge_disk", "a write cannot be withdrawn yet: {e}");
        }
        paid.is_ok()
    }

    /// All that the own intake holds is decided.
    fn settle(&self) {
        let Some(opened) = self.open.get(&(self.config.own, StoreFile::Intake)) else { return };
        if self.settled.swap(opened.length, Ordering::Release) != opened.length {
            self.config.moved.notify_one();
        }
    }

    fn open(&mut self, (edge, name): (EdgeId, StoreFile)) -> io::Result<()> {
        if !self.open.contains_key(&(edge, name)) {
            let path = name.path(&self.config.folder, edge);
            let opened = create(&path).inspect_err(|e| {
                tracing::error!(event = "edge_disk", "{}: {e}", path.display());
            })?;
            self.open.insert((edge, name), opened);
        }
        Ok(())
    }

    fn put(&mut self, (edge, name): (EdgeId, StoreFile), appends: &[Append]) -> Written {
        let folder = &self.config.folder;
        // A stalled owner may write after another one took over. What it writes is its own file's,
        // and nobody acts on it; a mark is refused all the same, so that its owner sees at once that it is followed.
        if let StoreFile::Journal(token) = name
            && folder::highest_token(folder, edge).is_ok_and(|highest| highest > token)
            && appends.iter().all(|a| is_mark(&a.bytes))
        {
            return Written::Fenced;
        }
        // A store that was done with and removed does not come back by what a late owner says of it.
        if name != StoreFile::Intake && !StoreFile::Intake.path(folder, edge).exists() {
            return Written::Fenced;
        }
        let path = name.path(folder, edge);
        if self.open((edge, name)).is_err() {
            return Written::No;
        }
        let Some(opened) = self.open.get_mut(&(edge, name)) else { return Written::No };
        let before = opened.length;
        let own = (edge, name) == (self.config.own, StoreFile::Intake);
        let mut bytes = Vec::new();
        if own && before == 0 {
            // Far below the longest record.
            let _ = log::append(&mut bytes, 0, &Record::Opened { boot: super::boot() });
        }
        appends.iter().for_each(|append| bytes.extend_from_slice(&append.bytes));
        let all = opened.file.write_all(&bytes);
        let written = match all {
            // What got there of it is taken back; if that fails nobody knows.
            Err(e) => {
                tracing::error!(event = "edge_disk", "{}: {e}", path.display());
                let back = opened.file.set_len(before);
                match back.and_then(|()| self.storage.sync(name, &opened.file)) {
                    Ok(()) => Written::No,
                    Err(_) => Written::Unknown,
                }
            }
            Ok(()) => match self.storage.sync(name, &opened.file) {
                Ok(()) => {
                    opened.length = before + bytes.len() as u64;
                    Written::OnDisk
                }
                Err(e) => {
                    tracing::error!(event = "edge_disk", "{}: {e}", path.display());
                    Written::Unknown
                }
            },
        };
        match written {
            // Nobody is told that any of it is kept. The file stays open, and so locked for as long as this process lives.
            Written::Unknown if own => self.owed.cut_to = Some(before),
            // Of a journal all is true that it says, on disk or not.
            Written::Unknown => drop(self.open.remove(&(edge, name))),
            Written::OnDisk | Written::No | Written::Fenced => {}
        }
        written
    }
}

fn is_mark(bytes: &[u8]) -> bool {
    let record = millethook_edge::log::one(bytes);
    matches!(record, Some((_, millethook_edge::record::Record::Mark { .. })))
}

/// Opens a file for appending; a new one, and its folder, are on disk before anything hangs on them.
fn create(path: &Path) -> io::Result<Open> {
    let directory: PathBuf = path.parent().map(Path::to_owned).unwrap_or_default();
    fs::create_dir_all(&directory)?;
    let file = File::options().create(true).append(true).open(path)?;
    if !super::lock::hold(&file) {
        return Err(io::Error::other("another process holds it"));
    }
    File::open(&directory)?.sync_all()?;
    if let Some(above) = directory.parent() {
        File::open(above)?.sync_all()?;
    }
    let length = file.metadata()?.len();
    Ok(Open { file, length })
}
