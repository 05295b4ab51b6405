//! The snapshot's format and file: a damaged or foreign file never yields a wrong list.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};

use millethook_membership::History;
use millethook_membership::list::{Host, ListedState};
use millethook_membership::snapshot::{Invalid, Remembered, Snapshot};
use millethook_membership::store::{Error, Store, read_any_fleet};
use proptest::prelude::*;

/// A temporary folder, removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> TempFolder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let n = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("millethook-{}-{n}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        TempFolder(path)
    }

    fn store(&self) -> Store {
        Store::new(self.0.join("members"), "f")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::set_permissions(&self.0, fs::Permissions::from_mode(0o700));
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn snapshot(seq: u64, servers: usize) -> Snapshot {
    let server = |n| Remembered {
        confirmed_ms: 1_000 + seq,
        host: Host {
            host: format!("s-{seq}-{n}"),
            dial: Some(([127, 0, 0, 1], 8000).into()),
            site: "eindhoven".into(),
            class: "m1".into(),
            block: 3,
            health: ListedState::Active,
            share: 1.5,
            born_ms: 7,
        },
    };
    Snapshot {
        fleet: "f".into(),
        written_ms: 2_000 + seq,
        seq,
        history: History::default(),
        servers: (0..servers).map(server).collect(),
    }
}

#[test]
fn a_written_snapshot_is_read_back() {
    let folder = TempFolder::new();
    assert!(folder.store().load().expect("no file is no error").is_none());
    for seq in 0..3 {
        folder.store().save(&snapshot(seq, 5)).expect("written");
        assert_eq!(folder.store().load().expect("read"), Some(snapshot(seq, 5)));
    }
    let left: Vec<_> = fs::read_dir(&folder.0).expect("a folder").collect();
    assert_eq!(left.len(), 1, "nothing else is left there");
    assert_eq!(read_any_fleet(folder.store().path()).expect("read"), snapshot(2, 5));
}

#[test]
fn each_defect_has_its_own_error() {
    let valid = snapshot(1, 3).encode().expect("small");
    let text = String::from_utf8(valid.clone()).expect("text");
    let error_of = |bytes: &[u8]| Snapshot::decode_of("f", bytes).expect_err("invalid");
    assert_eq!(error_of(b""), Invalid::Magic);
    assert_eq!(error_of(b"{\"fleet\":\"f\"}\n"), Invalid::Magic);
    assert!(matches!(error_of(&valid[..valid.len() - 1]), Invalid::Truncated { .. }));
    assert_eq!(error_of(text.replacen(" 1 ", " 2 ", 1).as_bytes()), Invalid::Version(2));
    assert!(matches!(
        error_of(text.replace("127.0.0.1", "127.0.0.9").as_bytes()),
        Invalid::Corrupt { .. }
    ));
    let another = Snapshot { fleet: "g".into(), ..snapshot(1, 3) }.encode().expect("small");
    assert!(matches!(error_of(&another), Invalid::Fleet { .. }));
    let invalid_history = serde_json::json!({"fleet": "f", "written_ms": 1, "seq": 1, "servers": [],
                                 "history": {"departed": -1.0, "server_ms": 0.0}});
    let body = invalid_history.to_string();
    let crc = crc32fast::hash(body.as_bytes());
    let file = format!("millethook-membership 1 {crc:08x} {}\n{body}", body.len());
    assert!(matches!(error_of(file.as_bytes()), Invalid::Content(_)));
}

#[test]
fn a_world_writable_file_is_rejected() {
    let folder = TempFolder::new();
    folder.store().save(&snapshot(1, 3)).expect("written");
    let path = folder.store().path().to_owned();
    fs::set_permissions(&path, fs::Permissions::from_mode(0o666)).expect("permissions");
    let error = folder.store().load().expect_err("world-writable");
    assert!(matches!(error, Error::WorldWritable { mode: 0o666, .. }), "{error}");
    assert!(error.to_string().contains("0600 expected"), "{error}");
}

#[test]
fn a_failed_write_keeps_the_old_snapshot() {
    let folder = TempFolder::new();
    folder.store().save(&snapshot(1, 3)).expect("written");
    // A folder at the path of the temporary file makes the write fail, as a full or read-only disk would.
    let blocked = folder.0.join(format!("members.{}.tmp", std::process::id()));
    fs::create_dir(&blocked).expect("a folder");
    assert!(matches!(folder.store().save(&snapshot(2, 3)), Err(Error::Io { .. })));
    assert_eq!(folder.store().load().expect("read"), Some(snapshot(1, 3)));
    let nowhere = Store::new("/nowhere/at/all/members", "f");
    assert!(matches!(nowhere.save(&snapshot(1, 1)), Err(Error::Io { .. })));
}

const WRITER: &str = "MILLETHOOK_TEST_SNAPSHOT_WRITER";

/// Runs in the process that the next test kills: writes snapshots of many sizes one after another.
#[test]
fn writer() {
    let Some(path) = std::env::var_os(WRITER) else { return };
    let store = Store::new(path, "f");
    for seq in 0..100_000 {
        store.save(&snapshot(seq, 1 + (seq as usize * 37) % 400)).expect("written");
        println!("saved {seq}");
    }
}

/// A writer that is killed at any point of a write leaves the complete old or the complete new snapshot.
#[test]
fn a_killed_writer_leaves_a_complete_snapshot() {
    let folder = TempFolder::new();
    folder.store().save(&snapshot(0, 1)).expect("written");
    for kill in 0..300u64 {
        let test_binary = std::env::current_exe().expect("this test");
        let mut child = Command::new(test_binary)
            .args(["--exact", "writer", "--nocapture"])
            .env(WRITER, folder.store().path())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let lines = std::io::BufReader::new(child.stdout.take().expect("piped"));
        // When the line of one write is read here, the process is already in a later one.
        let after = kill % 7;
        let saved = format!("saved {after}");
        let mut lines = std::io::BufRead::lines(lines);
        assert!(lines.any(|line| line.is_ok_and(|line| line.ends_with(&saved))));
        child.kill().expect("killed");
        child.wait().expect("ended");
        let found = folder.store().load().expect("whole").expect("there");
        assert!(found.seq >= after, "what was flushed is there");
        assert_eq!(found, snapshot(found.seq, found.servers.len()));
    }
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(Snapshot::decode(&bytes).is_err());
    }

    /// One changed byte or a truncation anywhere gives an error or the same list, never another list.
    #[test]
    fn damage_is_detected(at in any::<prop::sample::Index>(), to in any::<u8>(), cut in any::<bool>()) {
        let valid = snapshot(3, 4).encode().expect("small");
        let at = at.index(valid.len());
        let mut damaged = valid.clone();
        if cut { damaged.truncate(at) } else { damaged[at] = to }
        match Snapshot::decode_of("f", &damaged) {
            // The hexadecimal digits of the checksum may be upper or lower case.
            Ok(read) => prop_assert_eq!(read, snapshot(3, 4)),
            Err(_) => prop_assert_ne!(damaged, valid),
        }
    }
}
