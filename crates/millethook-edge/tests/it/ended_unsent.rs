//! Writes that end without being sent, because an operator dropped them or their clients got no receipt: they are not
//! sent, and their successors keep their order.

use millethook_edge::record::{End, HostTime, Record, Repeat, Write};
use millethook_edge::{Book, Config, EdgeId, Progress, Replay, Step, Token, WriteId};

const EDGE: EdgeId = EdgeId(7);
const TOKEN: Token = Token { epoch: 1, counter: 1, owner: 0 };
const OTHER_STORE_WRITE: WriteId = WriteId { edge: EdgeId(8), seq: 1 };

/// A store with writes of one member; the first depends on a write in another store.
fn replay(writes: u64) -> Replay {
    let mut book = Book::new(EDGE);
    for seq in 1..=writes {
        let write = Write {
            at_ms: 0,
            class: "order".into(),
            repeat: Repeat::Never,
            member: 1,
            after: if seq == 1 { vec![OTHER_STORE_WRITE] } else { Vec::new() },
            method: "POST".into(),
            target: "/order".into(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        book.apply(seq, (0, 0), &Record::Write(Box::new(write)));
    }
    let config = Config {
        max_concurrent: 4,
        fleet_writes_per_second: 1_000.0,
        max_age_ms: u64::MAX,
        predecessor_wait: u64::MAX / 2,
        send_without_predecessor: false,
        repeat_margin_ms: 0,
    };
    Replay::new(config, TOKEN, book, 0)
}

fn ended(how: End) -> Record {
    Record::End { how, status: 0, answer: Vec::new(), at_ms: 0 }
}

fn next(replay: &mut Replay, now: u64, elsewhere: Progress) -> Option<Step> {
    replay.next(now, HostTime::default(), 0, &|_| elsewhere)
}

/// A write names only its nearest dependency. If that one was dropped or withdrawn, the write must not overtake the
/// earlier write on which both depend.
#[test]
fn successors_of_an_ended_write_wait_for_its_dependencies() {
    for how in [End::Dropped, End::Withdrawn] {
        let mut replay = replay(4);
        [2, 3].iter().for_each(|seq| replay.apply_record(*seq, (0, 0), &ended(how)));
        assert_eq!(next(&mut replay, 0, Progress::Open), None, "{how:?}");
        let step = next(&mut replay, 1_000_000, Progress::Ended);
        assert!(matches!(step, Some(Step::Write(1, Record::Mark { .. }))), "{how:?}: {step:?}");
        assert_eq!(next(&mut replay, 2_000_000, Progress::Ended), None, "{how:?}");
        assert_eq!(replay.record_written(2_000_000, 1, true), Some(Step::Send(1)));
        let step = replay.outcome(1, millethook_edge::Outcome::Served, 0);
        assert!(matches!(step, Some(Step::Write(1, Record::End { how: End::Done, .. }))));
        assert_eq!(replay.record_written(3_000_000, 1, true), None);
        let step = next(&mut replay, 4_000_000, Progress::Ended);
        assert!(matches!(step, Some(Step::Write(4, Record::Mark { .. }))), "{how:?}: {step:?}");
    }
}

/// The record that ends a write may arrive while the write's mark is being written to disk.
#[test]
fn a_write_that_ends_while_its_mark_is_written_is_not_sent() {
    for how in [End::Dropped, End::Withdrawn] {
        let mut replay = replay(1);
        let step = next(&mut replay, 0, Progress::Ended);
        assert!(matches!(step, Some(Step::Write(1, Record::Mark { .. }))), "{how:?}: {step:?}");
        replay.apply_record(1, (0, 0), &ended(how));
        assert_eq!(replay.record_written(1_000, 1, true), None, "{how:?}");
        replay.check().expect("its rules hold");
    }
}
