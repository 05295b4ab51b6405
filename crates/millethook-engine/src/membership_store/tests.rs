//! Tests of the times in the snapshot.

use millethook_membership::History;
use millethook_membership::snapshot::Remembered;

use super::*;

/// The wall clock was set while the process ran: the times in the file have to be correct by the new setting.
#[test]
fn snapshot_times_follow_a_wall_clock_that_was_set() {
    const MONTH: u64 = 30 * 86_400_000;
    let clock = Clock { start_ms: 10 * MONTH, start: Instant::now() };
    let host = || crate::list::Host {
        host: "s".into(),
        dial: None,
        site: String::new(),
        class: String::new(),
        block: 0,
        health: crate::list::ListedState::Active,
        share: 1.0,
        born_ms: 0,
    };
    let before = 9 * MONTH;
    let confirmed = [before, 10 * MONTH];
    let servers = confirmed.map(|confirmed_ms| Remembered { confirmed_ms, host: host() });
    for wall in [2 * MONTH, 11 * MONTH] {
        let mut snapshot = Snapshot {
            fleet: "f".into(),
            written_ms: 0,
            seq: 1,
            history: History::default(),
            servers: servers.to_vec(),
        };
        clock.convert_to_wall_clock(wall, &mut snapshot);
        assert_eq!((snapshot.written_ms, snapshot.servers[0].confirmed_ms), (wall, before));
        let age = wall - snapshot.servers[1].confirmed_ms;
        assert!(age <= clock.now() - 10 * MONTH, "{age} ms");
    }
}
