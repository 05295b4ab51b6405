//! The disk thread of the write store: the outcome of each append, and withdrawals, with a storage that the
//! test can block.

use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use millethook_edge::record::{End, HostTime, Record, Repeat, Write};
use millethook_edge::{Book, EdgeId, State, Token, log};
use millethook_http::edge::disk::{
    AppendOutcome, Disk, DiskConfig, FileSystem, PendingAppend, Storage,
};
use millethook_http::edge::folder::{self, StoreFile};
use tokio::sync::Notify;

const OWN: EdgeId = EdgeId(7);

/// Blocks each sync until the test supplies its result.
struct GatedStorage {
    sync_started: Sender<()>,
    sync_results: Receiver<io::Result<()>>,
}

impl Storage for GatedStorage {
    fn sync(&mut self, _: StoreFile, file: &File) -> io::Result<()> {
        let _ = self.sync_started.send(());
        // The channel is closed when the test has ended; the thread then ends as well.
        self.sync_results.recv().unwrap_or(Ok(()))?;
        file.sync_data()
    }
}

/// A disk thread, and the channels that control its syncs.
struct TestDisk {
    folder: tempfile::TempDir,
    disk: Disk,
    sync_started: Receiver<()>,
    sync_result: Sender<io::Result<()>>,
}

fn config(folder: &Path) -> DiskConfig {
    DiskConfig {
        folder: folder.to_owned(),
        own_store: OWN,
        settled_changed: Arc::new(Notify::new()),
    }
}

impl TestDisk {
    fn new() -> TestDisk {
        let folder = tempfile::tempdir().expect("a folder");
        let (sync_started, started_syncs) = channel();
        let (sync_result, sync_results) = channel();
        let disk = Disk::start(config(folder.path()), GatedStorage { sync_started, sync_results })
            .expect("a thread");
        TestDisk { folder, disk, sync_started: started_syncs, sync_result }
    }

    fn append_write(&self, seq: u64) -> PendingAppend {
        self.disk.append(OWN, StoreFile::Intake, bytes(seq, &write(seq))).expect("room")
    }

    /// Waits until a sync begins, and lets it succeed.
    fn sync(&self) {
        self.finish_sync(Ok(()));
    }

    fn finish_sync(&self, result: io::Result<()>) {
        self.sync_started.recv().expect("a sync");
        self.sync_result.send(result).expect("the thread lives");
    }

    /// Records that the process itself may read by now.
    fn settled_records(&self) -> Book {
        let settled = self.disk.settled();
        folder::load_up_to(self.folder.path(), OWN, settled).expect("a store").0
    }

    /// Records that other processes read.
    fn all_records(&self) -> Book {
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

/// Cancels the append, as when the client's time runs out.
fn cancel_now(append: &mut PendingAppend) -> Option<AppendOutcome> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(append.cancel())
}

fn state(book: &Book, seq: u64) -> Option<State> {
    book.entry(seq).map(|entry| entry.state)
}

/// Guards against a slow disk that finishes a write after its client was told that the outcome is unknown:
/// the write would be replayed and take effect after a final answer.
#[test]
fn a_write_whose_client_was_answered_before_the_disk_was_done_is_withdrawn() {
    let test_disk = TestDisk::new();
    let mut cancelled = test_disk.append_write(1);
    test_disk.sync_started.recv().expect("a sync");
    // The client's time runs out, and it is answered 502.
    assert_eq!(cancel_now(&mut cancelled), None);
    // The write is in the file by now. The process itself does not read it there, and for other processes
    // it is not stored, since this process may die at this moment.
    assert_eq!(state(&test_disk.all_records(), 1), Some(State::Unacknowledged));
    assert_eq!(state(&test_disk.settled_records(), 1), None);
    // A write that is accepted meanwhile goes to disk after it.
    let kept = test_disk.append_write(2);
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    // The end record of the cancelled write goes to disk before anything else,
    test_disk.sync();
    // and the next write after that.
    test_disk.sync();
    assert_eq!(kept.blocking_wait(), AppendOutcome::OnDisk);
    for book in [test_disk.settled_records(), test_disk.all_records()] {
        assert_eq!(state(&book, 1), Some(State::Ended(End::Withdrawn)));
    }
    assert_eq!(state(&test_disk.all_records(), 2), Some(State::Kept));
}

#[test]
fn a_write_whose_client_was_answered_while_it_waited_for_the_disk_is_never_written() {
    let test_disk = TestDisk::new();
    let first = test_disk.append_write(1);
    test_disk.sync_started.recv().expect("a sync");
    let (dropped, last) = (test_disk.append_write(2), test_disk.append_write(3));
    // The client of the second write disconnects.
    drop(dropped);
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    assert_eq!(first.blocking_wait(), AppendOutcome::OnDisk);
    test_disk.sync();
    assert_eq!(last.blocking_wait(), AppendOutcome::OnDisk);
    let book = test_disk.all_records();
    assert_eq!([1, 2, 3].map(|seq| state(&book, seq).is_some()), [true, false, true]);
}

/// One write of a batch is withdrawn: the others are stored, and are read once its end record is on disk.
#[test]
fn writes_synced_with_a_withdrawn_write_are_kept() {
    let test_disk = TestDisk::new();
    let first = test_disk.append_write(1);
    test_disk.sync_started.recv().expect("a sync");
    let (mut cancelled, kept) = (test_disk.append_write(2), test_disk.append_write(3));
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    assert_eq!(first.blocking_wait(), AppendOutcome::OnDisk);
    test_disk.sync_started.recv().expect("a sync of both");
    assert_eq!(cancel_now(&mut cancelled), None);
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    assert_eq!(kept.blocking_wait(), AppendOutcome::OnDisk);
    // The first sync of the end record fails; until one succeeds, nothing of the batch is read here.
    test_disk.sync_started.recv().expect("a sync of the end");
    assert_eq!(
        [1, 2, 3].map(|seq| state(&test_disk.settled_records(), seq).is_some()),
        [true, false, false]
    );
    test_disk.sync_result.send(Err(io::Error::other("no"))).expect("the thread lives");
    // The end record is truncated and appended again, without a further write.
    test_disk.sync();
    test_disk.sync_started.recv().expect("a sync of the end");
    assert_eq!(
        [1, 2, 3].map(|seq| state(&test_disk.settled_records(), seq).is_some()),
        [true, false, false]
    );
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    let next = test_disk.append_write(4);
    test_disk.sync();
    assert_eq!(next.blocking_wait(), AppendOutcome::OnDisk);
    let book = test_disk.settled_records();
    assert_eq!(state(&book, 2), Some(State::Ended(End::Withdrawn)));
    assert_eq!(state(&book, 3), Some(State::Kept));
}

/// A write whose sync failed is answered 502 as well. It is truncated before anything else is written.
#[test]
fn a_write_whose_sync_failed_is_cut_off() {
    let test_disk = TestDisk::new();
    let first = test_disk.append_write(1);
    test_disk.finish_sync(Err(io::Error::other("no")));
    assert_eq!(first.blocking_wait(), AppendOutcome::Unknown);
    // The truncation fails at first, so a write that arrives meanwhile is known not to be on disk.
    test_disk.sync_started.recv().expect("a sync of the cut");
    let second = test_disk.append_write(2);
    test_disk.sync_result.send(Err(io::Error::other("no"))).expect("the thread lives");
    test_disk.finish_sync(Err(io::Error::other("no")));
    assert_eq!(second.blocking_wait(), AppendOutcome::NotWritten);
    assert_eq!(test_disk.disk.settled(), 0);
    // The next attempt, which needs no further append.
    test_disk.sync();
    let third = test_disk.append_write(3);
    test_disk.sync();
    assert_eq!(third.blocking_wait(), AppendOutcome::OnDisk);
    let book = test_disk.all_records();
    assert_eq!([1, 2, 3].map(|seq| state(&book, seq).is_some()), [false, false, true]);
}

/// The sync of the end record is slow too, and the process dies during it: the next owner reads the files
/// as they are.
#[test]
fn a_withdrawn_write_whose_end_is_not_on_disk_is_not_kept_for_the_next_owner() {
    let test_disk = TestDisk::new();
    let first = test_disk.append_write(1);
    test_disk.sync();
    assert_eq!(first.blocking_wait(), AppendOutcome::OnDisk);
    let mut cancelled = test_disk.append_write(2);
    test_disk.sync_started.recv().expect("a sync");
    assert_eq!(cancel_now(&mut cancelled), None);
    let (kept, last) = (test_disk.append_write(3), test_disk.append_write(4));
    let states = |book: &Book| [1, 2, 3, 4].map(|seq| state(book, seq));
    let (kept_state, taken) = (Some(State::Kept), Some(State::Unacknowledged));
    assert_eq!(states(&test_disk.all_records()), [kept_state, taken, None, None]);
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    test_disk.sync_started.recv().expect("a sync of its end");
    // None of this counts before it is synced, but the write does not count either.
    assert_ne!(state(&test_disk.all_records(), 2), kept_state);
    test_disk.sync_result.send(Err(io::Error::other("no"))).expect("the thread lives");
    test_disk.sync_started.recv().expect("a sync of the cut");
    assert_eq!(state(&test_disk.all_records(), 2), taken);
    test_disk.sync_result.send(Ok(())).expect("the thread lives");
    test_disk.sync();
    test_disk.sync();
    assert_eq!(kept.blocking_wait(), AppendOutcome::OnDisk);
    let withdrawn = Some(State::Ended(End::Withdrawn));
    assert_eq!(states(&test_disk.all_records())[..3], [kept_state, withdrawn, kept_state]);
    drop(last);
}

/// The disk synced the write before its client's time ran out: it is acknowledged, and the client is told
/// so.
#[test]
fn a_write_synced_before_its_withdrawal_is_kept() {
    let test_disk = TestDisk::new();
    let mut kept = test_disk.append_write(1);
    test_disk.sync();
    // The sync of the next write begins after the acknowledgement.
    let next = test_disk.append_write(2);
    test_disk.sync_started.recv().expect("a sync");
    assert_eq!(cancel_now(&mut kept), Some(AppendOutcome::OnDisk));
    assert_eq!(state(&test_disk.all_records(), 1), Some(State::Kept));
    drop(next);
}

/// A power loss destroys acknowledgements that were not synced, so all writes from before the current boot
/// count.
#[test]
fn after_a_power_loss_writes_without_an_end_are_kept() {
    let (write, opened) = (bytes(1, &write(1)), bytes(0, &Record::Opened { boot: 1 }));
    let states = [1, 2].map(|boot| {
        let mut book = Book::with_boot(OWN, Some(boot));
        log::scan(&[opened.clone(), write.clone()].concat(), 0)
            .for_each(|i| book.apply_item(&i, false));
        book.finish_intake();
        state(&book, 1)
    });
    assert_eq!(states, [Some(State::Unacknowledged), Some(State::Kept)]);
}

/// A flipped bit destroys the acknowledgement of one write. It is then unknown whether its client has a
/// receipt.
#[test]
fn a_write_whose_acknowledgement_is_damaged_is_in_doubt() {
    let mut acknowledgement = bytes(1, &Record::Acknowledged);
    *acknowledgement.last_mut().expect("a body") ^= 1;
    let opened = bytes(0, &Record::Opened { boot: 1 });
    let parts = [opened, bytes(1, &write(1)), bytes(2, &write(2)), acknowledgement].concat();
    let mut book = Book::with_boot(OWN, Some(1));
    log::scan(&parts, 0).for_each(|item| book.apply_item(&item, false));
    assert_eq!(
        [1, 2].map(|seq| state(&book, seq)),
        [Some(State::InDoubt), Some(State::Unacknowledged)]
    );
}

fn token(counter: u32) -> Token {
    Token { epoch: 1, counter, owner: 0 }
}

#[test]
fn a_mark_under_a_lower_token_is_refused_and_an_end_is_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir(folder.path().join(OWN.to_string())).expect("a store");
    fs::write(StoreFile::Intake.path(folder.path(), OWN), b"").expect("an empty intake");
    let disk = Disk::start(config(folder.path()), FileSystem).expect("a thread");
    let append_record = |counter, record: &Record| {
        let append = disk.append(OWN, StoreFile::Journal(token(counter)), bytes(1, record));
        append.expect("room").blocking_wait()
    };
    let mark = |n| Record::Mark { by: token(n).into(), at: HostTime::default() };
    assert_eq!(append_record(1, &mark(1)), AppendOutcome::OnDisk);
    assert_eq!(append_record(2, &mark(2)), AppendOutcome::OnDisk);
    assert_eq!(append_record(1, &mark(1)), AppendOutcome::Fenced);
    assert_eq!(
        append_record(1, &Record::MayHaveRun { by: token(1).into() }),
        AppendOutcome::OnDisk
    );
    assert_eq!(folder::highest_token(folder.path(), OWN).expect("a store"), token(2));
}

#[test]
fn a_write_that_fails_at_once_is_reported_as_not_written() {
    let folder = tempfile::tempdir().expect("a folder");
    let not_a_folder = folder.path().join("a file, no folder");
    fs::write(&not_a_folder, b"").expect("a file");
    let disk = Disk::start(config(&not_a_folder), FileSystem).expect("a thread");
    let append = disk.append(EdgeId(1), StoreFile::Intake, vec![1]).expect("room");
    assert_eq!(append.blocking_wait(), AppendOutcome::NotWritten);
}

/// `/dev/full` rejects each byte, as a full disk does.
#[test]
fn a_write_to_a_full_disk_is_not_acknowledged() {
    let folder = tempfile::tempdir().expect("a folder");
    let store = folder.path().join(EdgeId(1).to_string());
    fs::create_dir(&store).expect("a store");
    std::os::unix::fs::symlink("/dev/full", store.join("intake")).expect("a link");
    let disk = Disk::start(config(folder.path()), FileSystem).expect("a thread");
    let append = disk.append(EdgeId(1), StoreFile::Intake, vec![1; 100]).expect("room");
    assert_ne!(append.blocking_wait(), AppendOutcome::OnDisk);
}
