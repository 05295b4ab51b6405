//! The one thread that writes: what comes while it writes goes to disk together.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use millethook_edge::EdgeId;
use tokio::sync::oneshot;

use super::folder::{self, Name};

/// Appends that wait; one more is refused.
const WAITING: usize = 1024;
/// Appends that go to disk together, at most.
const TOGETHER: usize = 256;

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

struct Append {
    edge: EdgeId,
    name: Name,
    bytes: Vec<u8>,
    done: oneshot::Sender<Written>,
}

/// The way to the thread.
#[derive(Clone)]
pub struct Disk {
    appends: SyncSender<Append>,
    base: Instant,
    /// When the batch that is being written began, in milliseconds of `base` and one; 0: none is.
    busy_since: Arc<AtomicU64>,
}

impl Disk {
    /// Starts the thread. It ends with the last handle.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn start(folder: &Path) -> io::Result<Disk> {
        let (appends, waiting) = sync_channel(WAITING);
        let (base, busy_since) = (Instant::now(), Arc::new(AtomicU64::new(0)));
        let (folder, busy) = (folder.to_owned(), busy_since.clone());
        let thread = std::thread::Builder::new().name("edge-disk".into());
        thread.spawn(move || write(&folder, &waiting, base, &busy))?;
        Ok(Disk { appends, base, busy_since })
    }

    /// For how long the disk has been busy with what it has now.
    pub fn busy(&self) -> Duration {
        match self.busy_since.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since => self.base.elapsed().saturating_sub(Duration::from_millis(since - 1)),
        }
    }

    /// Appends to a file of a store; None: too much waits already, and nothing was done.
    pub fn append(
        &self,
        edge: EdgeId,
        name: Name,
        bytes: Vec<u8>,
    ) -> Option<oneshot::Receiver<Written>> {
        let (done, written) = oneshot::channel();
        match self.appends.try_send(Append { edge, name, bytes, done }) {
            Ok(()) => Some(written),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => None,
        }
    }
}

/// A file that is open, and its length up to the last sound record.
struct Open {
    file: File,
    length: u64,
}

fn write(folder: &Path, waiting: &Receiver<Append>, base: Instant, busy: &AtomicU64) {
    // Bounded by the stores that this process replays, and its own.
    let mut open: BTreeMap<(EdgeId, Name), Open> = BTreeMap::new();
    while let Ok(first) = waiting.recv() {
        busy.store(base.elapsed().as_millis() as u64 + 1, Ordering::Relaxed);
        let mut batch = vec![first];
        while batch.len() < TOGETHER
            && let Ok(next) = waiting.try_recv()
        {
            batch.push(next);
        }
        let mut by_file: BTreeMap<(EdgeId, Name), Vec<Append>> = BTreeMap::new();
        batch.into_iter().for_each(|a| by_file.entry((a.edge, a.name)).or_default().push(a));
        for (key, appends) in by_file {
            let written = put(folder, &mut open, key, &appends);
            if written == Written::Unknown {
                open.remove(&key);
            }
            for append in appends {
                // Whoever asked may be gone.
                let _ = append.done.send(written);
            }
        }
        busy.store(0, Ordering::Relaxed);
    }
}

fn put(
    folder: &Path,
    open: &mut BTreeMap<(EdgeId, Name), Open>,
    (edge, name): (EdgeId, Name),
    appends: &[Append],
) -> Written {
    // Danger: an owner that stood still may write after another one took over. What it writes is its own file's, and
    // nobody acts on it; a mark is refused all the same, so that its owner sees at once that it is followed.
    if let Name::Journal(token) = name
        && folder::highest(folder, edge).is_ok_and(|highest| highest > token)
        && appends.iter().all(|a| is_mark(&a.bytes))
    {
        return Written::Fenced;
    }
    let path = name.path(folder, edge);
    // A store that was done with and removed does not come back by what a late owner says of it.
    if name != Name::Intake && !Name::Intake.path(folder, edge).exists() {
        return Written::Fenced;
    }
    let opened = match open.get_mut(&(edge, name)) {
        Some(opened) => opened,
        None => match create(&path) {
            Ok(opened) => open.entry((edge, name)).or_insert(opened),
            Err(e) => {
                tracing::error!(event = "edge_disk", "{}: {e}", path.display());
                return Written::No;
            }
        },
    };
    let before = opened.length;
    let all = appends.iter().try_for_each(|append| opened.file.write_all(&append.bytes));
    if let Err(e) = all {
        tracing::error!(event = "edge_disk", "{}: {e}", path.display());
        // What got there of it is taken back; if that fails nobody knows.
        let back = opened.file.set_len(before).and_then(|()| opened.file.sync_data());
        return if back.is_ok() { Written::No } else { Written::Unknown };
    }
    if let Err(e) = opened.file.sync_data() {
        tracing::error!(event = "edge_disk", "{}: {e}", path.display());
        return Written::Unknown;
    }
    opened.length = before + appends.iter().map(|a| a.bytes.len() as u64).sum::<u64>();
    Written::OnDisk
}

fn is_mark(bytes: &[u8]) -> bool {
    let record = millethook_edge::log::one(bytes);
    matches!(record, Some((_, millethook_edge::record::Record::Mark { .. })))
}

/// Opens a file for appending; a new one, and its folder, are on disk before anything hangs on them.
fn create(path: &Path) -> io::Result<Open> {
    let place: PathBuf = path.parent().map(Path::to_owned).unwrap_or_default();
    fs::create_dir_all(&place)?;
    let file = File::options().create(true).append(true).open(path)?;
    if !super::lock::hold(&file) {
        return Err(io::Error::other("another process holds it"));
    }
    File::open(&place)?.sync_all()?;
    if let Some(above) = place.parent() {
        File::open(above)?.sync_all()?;
    }
    let length = file.metadata()?.len();
    Ok(Open { file, length })
}

#[cfg(test)]
mod tests {
    use super::*;
    use millethook_edge::Token;
    use millethook_edge::log;
    use millethook_edge::record::{HostTime, Record};

    fn bytes(record: &Record) -> Vec<u8> {
        let mut bytes = Vec::new();
        log::append(&mut bytes, 1, record).expect("it fits");
        bytes
    }

    fn token(counter: u32) -> Token {
        Token { epoch: 1, counter, owner: 0 }
    }

    #[test]
    fn a_mark_under_a_lower_token_is_refused_and_an_end_is_kept() {
        let folder = tempfile::tempdir().expect("a folder");
        let (mut open, edge) = (BTreeMap::new(), EdgeId(7));
        fs::create_dir(folder.path().join(edge.to_string())).expect("a store");
        fs::write(Name::Intake.path(folder.path(), edge), b"").expect("what was taken in");
        let mut put = |counter, record: &Record| {
            let (done, _) = oneshot::channel();
            let name = Name::Journal(token(counter));
            let append = Append { edge, name, bytes: bytes(record), done };
            put(folder.path(), &mut open, (edge, name), &[append])
        };
        let mark = |n| Record::Mark { by: token(n).into(), at: HostTime::default() };
        assert_eq!(put(1, &mark(1)), Written::OnDisk);
        assert_eq!(put(2, &mark(2)), Written::OnDisk);
        assert_eq!(put(1, &mark(1)), Written::Fenced);
        assert_eq!(put(1, &Record::MayHaveRun { by: token(1).into() }), Written::OnDisk);
        assert_eq!(folder::highest(folder.path(), edge).expect("a store"), token(2));
    }

    #[test]
    fn what_cannot_be_written_is_known_not_to_be_there() {
        let folder = tempfile::tempdir().expect("a folder");
        let place = folder.path().join("a file, no folder");
        fs::write(&place, b"").expect("a file");
        let disk = Disk::start(&place).expect("a thread");
        let written = disk.append(EdgeId(1), Name::Intake, vec![1]).expect("room");
        assert_eq!(written.blocking_recv(), Ok(Written::No));
    }

    /// `/dev/full` takes no byte, as a disk without space.
    #[test]
    fn a_full_disk_is_told_and_takes_nothing() {
        let folder = tempfile::tempdir().expect("a folder");
        let place = folder.path().join(EdgeId(1).to_string());
        fs::create_dir(&place).expect("a store");
        std::os::unix::fs::symlink("/dev/full", place.join("intake")).expect("a link");
        let disk = Disk::start(folder.path()).expect("a thread");
        let written = disk.append(EdgeId(1), Name::Intake, vec![1; 100]).expect("room");
        assert_ne!(written.blocking_recv(), Ok(Written::OnDisk));
    }
}
