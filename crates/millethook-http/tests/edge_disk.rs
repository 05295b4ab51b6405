//! The thread that writes kept writes: what it says of each, and what is withdrawn, on a storage that the test holds up.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use millethook_edge::record::{End, HostTime, Record, Repeat, Write};
use millethook_edge::{Book, EdgeId, State, Token, log};
use millethook_http::edge::disk::{Appended, Disk, DiskConfig, FileSystem, Storage, Written};
use millethook_http::edge::folder::{self, StoreFile};
use tokio::sync::Notify;

const OWN: EdgeId = EdgeId(7);

/// Has each sync wait for the test's word: whether it fails.
struct Held {
    begun: Sender<()>,
    goes_on: Receiver<io::Result<()>>,
}

impl Storage for Held {
    fn sync(&mut self, _: StoreFile, file: &File) -> io::Result<()> {
        let _ = self.begun.send(());
        // The test has ended: so does the thread.
        self.goes_on.recv().unwrap_or(Ok(()))?;
        file.sync_data()
    }
}

/// A disk, and how the test holds it up.
struct Site {
    folder: tempfile::TempDir,
    disk: Disk,
    begun: Receiver<()>,
    go: Sender<io::Result<()>>,
}

fn config(folder: &Path) -> DiskConfig {
    DiskConfig { folder: folder.to_owned(), own: OWN, moved: Arc::new(Notify::new()) }
}

impl Site {
    fn new() -> Site {
        let folder = tempfile::tempdir().expect("a folder");
        let (begun, began) = channel();
        let (go, goes_on) = channel();
        let disk = Disk::start(config(folder.path()), Held { begun, goes_on }).expect("a thread");
        Site { folder, disk, begun: began, go }
    }

    fn keep(&self, seq: u64) -> Appended {
        self.disk.append(OWN, StoreFile::Intake, bytes(seq, &write(seq))).expect("room")
    }

    /// Waits until the disk is asked to sync, and lets it.
    fn sync(&self) {
        self.sync_to(Ok(()));
    }

    fn sync_to(&self, result: io::Result<()>) {
        self.begun.recv().expect("a sync");
        self.go.send(result).expect("the thread lives");
    }

    /// What the process itself may read by now.
    fn settled(&self) -> Book {
        let settled = self.disk.settled();
        folder::load_settled(self.folder.path(), OWN, settled).expect("a store").0
    }

    /// What others read.
    fn all(&self) -> Book {
        folder::load(self.folder.path(), OWN).expect("a store").0
    }
}

fn write(seq: u64) -> Record {
    Record::Write(Box::new(Write {
        at_ms: 1,
        class: "order".into(),
        repeat: Repeat::Never,
        member: 0,
        after: Vec::new(),
        method: "POST".into(),
        target: format!("/order/{seq}"),
        headers: Vec::new(),
        body: b"body".to_vec(),
    }))
}

fn bytes(seq: u64, record: &Record) -> Vec<u8> {
    let mut bytes = Vec::new();
    log::append(&mut bytes, seq, record).expect("it fits");
    bytes
}

/// Its client's time is over.
fn given_up_by_now(append: &mut Appended) -> Option<Written> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(append.give_up())
}

fn state(book: &Book, seq: u64) -> Option<State> {
    book.entry(seq).map(|entry| entry.state)
}

/// A slow disk takes a write after its client was answered that nobody knows. It would be replayed, an
/// effect behind a final answer.
#[test]
fn a_write_whose_client_was_answered_before_the_disk_was_done_is_withdrawn() {
    let site = Site::new();
    let mut given_up = site.keep(1);
    site.begun.recv().expect("a sync");
    // Its client's time is over, and it is answered 502.
    assert_eq!(given_up_by_now(&mut given_up), None);
    // By now it stands in the file. The process itself does not read it there, and for others it is not kept: this
    // process may die in just this moment.
    assert_eq!(state(&site.all(), 1), Some(State::Taken));
    assert_eq!(state(&site.settled(), 1), None);
    // One that is taken meanwhile goes to disk behind it.
    let kept = site.keep(2);
    site.go.send(Ok(())).expect("the thread lives");
    // Its end goes to disk before anything else does,
    site.sync();
    // and the next write after that.
    site.sync();
    assert_eq!(kept.blocking_written(), Written::OnDisk);
    for book in [site.settled(), site.all()] {
        assert_eq!(state(&book, 1), Some(State::Ended(End::Withdrawn)));
    }
    assert_eq!(state(&site.all(), 2), Some(State::Kept));
}

#[test]
fn a_write_whose_client_was_answered_while_it_waited_for_the_disk_is_never_written() {
    let site = Site::new();
    let first = site.keep(1);
    site.begun.recv().expect("a sync");
    let (dropped, last) = (site.keep(2), site.keep(3));
    // Its client has gone.
    drop(dropped);
    site.go.send(Ok(())).expect("the thread lives");
    assert_eq!(first.blocking_written(), Written::OnDisk);
    site.sync();
    assert_eq!(last.blocking_written(), Written::OnDisk);
    let book = site.all();
    assert_eq!([1, 2, 3].map(|seq| state(&book, seq).is_some()), [true, false, true]);
}

/// A batch of which one is withdrawn: the others are kept, and are read once its end is on disk.
#[test]
fn what_went_to_disk_with_a_withdrawn_write_is_kept() {
    let site = Site::new();
    let first = site.keep(1);
    site.begun.recv().expect("a sync");
    let (mut given_up, kept) = (site.keep(2), site.keep(3));
    site.go.send(Ok(())).expect("the thread lives");
    assert_eq!(first.blocking_written(), Written::OnDisk);
    site.begun.recv().expect("a sync of both");
    assert_eq!(given_up_by_now(&mut given_up), None);
    site.go.send(Ok(())).expect("the thread lives");
    assert_eq!(kept.blocking_written(), Written::OnDisk);
    // The end cannot be synced at first; until it is, nothing of the batch is read here.
    site.begun.recv().expect("a sync of the end");
    assert_eq!([1, 2, 3].map(|seq| state(&site.settled(), seq).is_some()), [true, false, false]);
    site.go.send(Err(io::Error::other("no"))).expect("the thread lives");
    // It is cut off, and appended anew, without a further write.
    site.sync();
    site.begun.recv().expect("a sync of the end");
    assert_eq!([1, 2, 3].map(|seq| state(&site.settled(), seq).is_some()), [true, false, false]);
    site.go.send(Ok(())).expect("the thread lives");
    let next = site.keep(4);
    site.sync();
    assert_eq!(next.blocking_written(), Written::OnDisk);
    let book = site.settled();
    assert_eq!(state(&book, 2), Some(State::Ended(End::Withdrawn)));
    assert_eq!(state(&book, 3), Some(State::Kept));
}

/// What failed in the middle is answered 502, too. It is cut off before anything else is written.
#[test]
fn a_write_that_failed_in_the_middle_is_cut_off() {
    let site = Site::new();
    let first = site.keep(1);
    site.sync_to(Err(io::Error::other("no")));
    assert_eq!(first.blocking_written(), Written::Unknown);
    // The cut fails at first: what comes meanwhile is known not to be there.
    site.begun.recv().expect("a sync of the cut");
    let second = site.keep(2);
    site.go.send(Err(io::Error::other("no"))).expect("the thread lives");
    site.sync_to(Err(io::Error::other("no")));
    assert_eq!(second.blocking_written(), Written::No);
    assert_eq!(site.disk.settled(), 0);
    // The next try, which comes by itself.
    site.sync();
    let third = site.keep(3);
    site.sync();
    assert_eq!(third.blocking_written(), Written::OnDisk);
    let book = site.all();
    assert_eq!([1, 2, 3].map(|seq| state(&book, seq).is_some()), [false, false, true]);
}

/// The disk is slow once more, for the end of the write, as its process dies: the next owner reads the files as they are.
#[test]
fn a_withdrawn_write_whose_end_is_not_on_disk_is_not_kept_for_the_next_owner() {
    let site = Site::new();
    let first = site.keep(1);
    site.sync();
    assert_eq!(first.blocking_written(), Written::OnDisk);
    let mut given_up = site.keep(2);
    site.begun.recv().expect("a sync");
    assert_eq!(given_up_by_now(&mut given_up), None);
    let (kept, last) = (site.keep(3), site.keep(4));
    let states = |book: &Book| [1, 2, 3, 4].map(|seq| state(book, seq));
    let (kept_state, taken) = (Some(State::Kept), Some(State::Taken));
    assert_eq!(states(&site.all()), [kept_state, taken, None, None]);
    site.go.send(Ok(())).expect("the thread lives");
    site.begun.recv().expect("a sync of its end");
    // Nothing of this counts before it is synced, but neither does the write.
    assert_ne!(state(&site.all(), 2), kept_state);
    site.go.send(Err(io::Error::other("no"))).expect("the thread lives");
    site.begun.recv().expect("a sync of the cut");
    assert_eq!(state(&site.all(), 2), taken);
    site.go.send(Ok(())).expect("the thread lives");
    site.sync();
    site.sync();
    assert_eq!(kept.blocking_written(), Written::OnDisk);
    let withdrawn = Some(State::Ended(End::Withdrawn));
    assert_eq!(states(&site.all())[..3], [kept_state, withdrawn, kept_state]);
    drop(last);
}

/// The disk had it as its client's time ended: it is acknowledged, and its client is told so.
#[test]
fn a_write_that_the_disk_had_first_is_not_given_up() {
    let site = Site::new();
    let mut kept = site.keep(1);
    site.sync();
    // The next sync is asked for behind the acknowledgement.
    let next = site.keep(2);
    site.begun.recv().expect("a sync");
    assert_eq!(given_up_by_now(&mut kept), Some(Written::OnDisk));
    assert_eq!(state(&site.all(), 1), Some(State::Kept));
    drop(next);
}

/// A loss of power takes acknowledgements that were not synced: of an earlier start of the host all writes count.
#[test]
fn after_a_loss_of_power_what_has_no_end_is_kept() {
    let (write, opened) = (bytes(1, &write(1)), bytes(0, &Record::Opened { boot: 1 }));
    let states = [1, 2].map(|boot| {
        let mut book = Book::on(OWN, Some(boot));
        log::scan(&[opened.clone(), write.clone()].concat(), 0).for_each(|i| book.take(&i, false));
        book.is_read();
        state(&book, 1)
    });
    assert_eq!(states, [Some(State::Taken), Some(State::Kept)]);
}

/// A flipped bit costs one write its acknowledgement. Nobody can say whether its client has it.
#[test]
fn a_write_whose_acknowledgement_is_spoilt_is_in_doubt() {
    let mut acknowledgement = bytes(1, &Record::Acknowledged);
    *acknowledgement.last_mut().expect("a body") ^= 1;
    let opened = bytes(0, &Record::Opened { boot: 1 });
    let parts = [opened, bytes(1, &write(1)), bytes(2, &write(2)), acknowledgement].concat();
    let mut book = Book::on(OWN, Some(1));
    log::scan(&parts, 0).for_each(|item| book.take(&item, false));
    assert_eq!([1, 2].map(|seq| state(&book, seq)), [Some(State::Doubt), Some(State::Taken)]);
}

fn token(counter: u32) -> Token {
    Token { epoch: 1, counter, owner: 0 }
}

#[test]
fn a_mark_under_a_lower_token_is_refused_and_an_end_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir(folder.path().join(OWN.to_string())).expect("a store");
    fs::write(StoreFile::Intake.path(folder.path(), OWN), b"").expect("what was taken in");
    let disk = Disk::start(config(folder.path()), FileSystem).expect("a thread");
    let put = |counter, record: &Record| {
        let written = disk.append(OWN, StoreFile::Journal(token(counter)), bytes(1, record));
        written.expect("room").blocking_written()
    };
    let mark = |n| Record::Mark { by: token(n).into(), at: HostTime::default() };
    assert_eq!(put(1, &mark(1)), Written::OnDisk);
    assert_eq!(put(2, &mark(2)), Written::OnDisk);
    assert_eq!(put(1, &mark(1)), Written::Fenced);
    assert_eq!(put(1, &Record::MayHaveRun { by: token(1).into() }), Written::OnDisk);
    assert_eq!(folder::highest_token(folder.path(), OWN).expect("a store"), token(2));
}

#[test]
fn what_cannot_be_written_is_known_not_to_be_there() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = folder.path().join("a file, no folder");
    fs::write(&place, b"").expect("a file");
    let disk = Disk::start(config(&place), FileSystem).expect("a thread");
    let written = disk.append(EdgeId(1), StoreFile::Intake, vec![1]).expect("room");
    assert_eq!(written.blocking_written(), Written::No);
}

/// `/dev/full` takes no byte, as a disk without space.
#[test]
fn a_full_disk_is_told_and_takes_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let place = folder.path().join(EdgeId(1).to_string());
    fs::create_dir(&place).expect("a store");
    std::os::unix::fs::symlink("/dev/full", place.join("intake")).expect("a link");
    let disk = Disk::start(config(folder.path()), FileSystem).expect("a thread");
    let written = disk.append(EdgeId(1), StoreFile::Intake, vec![1; 100]).expect("room");
    assert_ne!(written.blocking_written(), Written::OnDisk);
}
