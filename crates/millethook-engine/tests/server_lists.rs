//! Lists by distribution, without clock and I/O: which list is the newer one, what a control node publishes, and when a
//! sidecar asks discovery itself.

use std::time::{Duration, Instant};

use millethook_engine::discovery::call_timing::fleet_spread_delay;
use millethook_engine::list::{Host, List, Listed};
use millethook_engine::server_lists::*;
use proptest::prelude::*;

const FLEET: u32 = 60;

fn host(n: usize, health: Listed) -> Host {
    Host {
        host: format!("s-{n}"),
        dial: Some(([127, 0, 0, 1], 8000 + n as u16).into()),
        site: "a".into(),
        class: "std".into(),
        block: 3,
        health,
        share: 1.5,
        born_ms: 1_700_000_000_000 + n as u64,
    }
}

fn hosts(count: usize) -> Vec<Host> {
    (0..count).map(|n| host(n, Listed::Active)).collect()
}

/// A whole list of so many servers.
fn whole(seq: u64, count: usize) -> List {
    List { seq, whole: true, hosts: hosts(count) }
}

fn position(generation: u32, seq: u64) -> ListPosition {
    ListPosition { generation, seq }
}

fn published(generation: u32, seq: u64, count: usize) -> PublishedList {
    PublishedList { position: position(generation, seq), hosts: hosts(count) }
}

fn writer(committed: Option<&PublishedList>) -> WriterState<'_> {
    WriterState { ready: true, proposals: 0, committed }
}

fn other(committed: Option<&PublishedList>) -> WriterState<'_> {
    WriterState { ready: false, ..writer(committed) }
}

fn list_of(publication: Option<Publication>) -> Option<PublishedList> {
    match publication? {
        Publication::List(list) => Some(list),
        Publication::Confirmation(_) => None,
    }
}

#[test]
fn a_body_holds_all_that_decisions_use() {
    let states = [Listed::Active, Listed::Leaving, Listed::Unknown, Listed::Left];
    let hosts: Vec<Host> = states.into_iter().enumerate().map(|(n, s)| host(n, s)).collect();
    let list = PublishedList { position: position(2, 41), hosts };
    let body = list.encode().expect("written");
    let read = PublishedList::decode(&body).expect("read");
    assert_eq!(
        (read.position, &read.hosts[..]),
        (list.position, &list.hosts[..3]),
        "left: not in it"
    );
    assert!(!is_confirmation(&body));
    let confirmation = encode_confirmation(list.position).expect("written");
    assert!(
        is_confirmation(&confirmation) && confirmation.len() <= 201,
        "it travels with its head"
    );
    assert_eq!(decode_confirmation(&confirmation), Ok(list.position));
    assert_eq!(
        PublishedList::decode(&confirmation),
        Err(BodyError::Form { found: 2, expected: 1 })
    );
    assert_eq!(PublishedList::decode(&[]), Err(BodyError::Empty));
    let long: Vec<u8> = body.iter().copied().chain([0]).collect();
    assert_eq!(PublishedList::decode(&long), Err(BodyError::TooLong(1)));
    let thousand = published(0, 1, 1_000).encode().expect("written");
    assert!(thousand.len() < 64 * 1024, "{} bytes", thousand.len());
}

proptest! {
    #[test]
    fn no_body_is_a_panic(body in proptest::collection::vec(any::<u8>(), 0..200), cut in 0..60usize) {
        let _ = PublishedList::decode(&body);
        let _ = decode_confirmation(&body);
        let whole = published(0, 7, 2).encode().expect("written");
        prop_assert!(PublishedList::decode(&whole[..cut.min(whole.len() - 1)]).is_err());
    }
}

#[test]
fn only_the_writer_publishes_and_only_what_is_newer() {
    let now = Instant::now();
    let mut source = ListSource::default();
    assert_eq!(source.poll(now, writer(None)), None, "discovery has told nothing yet");
    source.on_list(true, &whole(4, 2));
    assert_eq!(source.poll(now, other(None)), None);
    let first = list_of(source.poll(now, writer(None))).expect("published");
    assert_eq!(first.position, position(0, 4));
    assert_eq!(source.poll(now, writer(None)), None, "once");
    source.on_list(false, &List { seq: 5, whole: false, hosts: vec![host(1, Listed::Left)] });
    let second = list_of(source.poll(now, writer(Some(&first)))).expect("published");
    assert_eq!((second.position, second.hosts.len()), (position(0, 5), 1));
}

/// Two control nodes whose discovery is of different age: whichever of them is the writer, what is in force goes forward.
#[test]
fn lists_do_not_go_back_and_forth_between_control_nodes() {
    let now = Instant::now();
    let (mut ahead, mut behind) = (ListSource::default(), ListSource::default());
    let mut in_force: Option<PublishedList> = None;
    for step in 1..40 {
        ahead.on_list(true, &whole(step + 3, step as usize + 3));
        behind.on_list(true, &whole(step, step as usize));
        let (writes, waits) = match step % 2 {
            0 => (&mut ahead, &mut behind),
            _ => (&mut behind, &mut ahead),
        };
        assert_eq!(waits.poll(now, other(in_force.as_ref())), None);
        if let Some(list) = list_of(writes.poll(now, writer(in_force.as_ref()))) {
            assert!(in_force.as_ref().is_none_or(|before| before.position < list.position));
            in_force = Some(list);
        }
    }
    assert_eq!(in_force.expect("published").position, position(0, 38 + 3));
}

#[test]
fn a_writer_behind_what_is_in_force_does_not_confirm_it() {
    let now = Instant::now();
    let mut source = ListSource::default();
    source.on_list(true, &whole(8, 2));
    let in_force = published(0, 10, 4);
    assert_eq!(source.poll(now, writer(Some(&in_force))), None);
    source.on_list(true, &whole(10, 4));
    let confirmed = Some(Publication::Confirmation(position(0, 10)));
    assert_eq!(source.poll(now, writer(Some(&in_force))), confirmed);
    assert_eq!(source.poll(now + CONFIRM_EVERY / 2, writer(Some(&in_force))), None);
    assert_eq!(source.poll(now + CONFIRM_EVERY, writer(Some(&in_force))), confirmed);
    source.on_discovery_failed();
    assert_eq!(source.poll(now + 2 * CONFIRM_EVERY, writer(Some(&in_force))), None);
    source.on_list(false, &List { seq: 10, whole: false, hosts: vec![] });
    assert_eq!(source.poll(now + 2 * CONFIRM_EVERY, writer(Some(&in_force))), confirmed);
}

#[test]
fn versions_that_begin_anew_are_newer_at_whoever_saw_it() {
    let now = Instant::now();
    let (mut first, mut second) = (ListSource::default(), ListSource::default());
    for source in [&mut first, &mut second] {
        source.on_list(true, &whole(10, 3));
        source.on_list(true, &whole(1, 2));
    }
    let in_force = published(0, 10, 3);
    let anew = list_of(first.poll(now, writer(Some(&in_force)))).expect("published");
    assert_eq!((anew.position, anew.hosts.len()), (position(1, 1), 2));
    // The next writer has seen the same: it goes on from there, and does not count once more.
    assert_eq!(second.poll(now, other(Some(&anew))), None);
    second.on_list(true, &whole(2, 1));
    let next = list_of(second.poll(now, writer(Some(&anew)))).expect("published");
    assert_eq!(next.position, position(1, 2));
    // One that starts later counts from what is in force.
    let mut late = ListSource::default();
    late.on_list(true, &whole(3, 3));
    let next = list_of(late.poll(now, writer(Some(&next)))).expect("published");
    assert_eq!(next.position, position(1, 3));
}

/// What the writer before has left may be newer than what is committed.
#[test]
fn a_new_writer_waits_for_what_was_left_uncommitted() {
    let now = Instant::now();
    let mut source = ListSource::default();
    source.on_list(true, &whole(10, 2));
    let (committed, left) = (published(0, 9, 3), published(0, 11, 4));
    let unsettled = WriterState { proposals: 1, ..writer(Some(&committed)) };
    assert_eq!(source.poll(now, unsettled), None);
    assert_eq!(source.poll(now, writer(Some(&left))), None, "11 is newer than 10");
}

#[test]
fn discovery_is_asked_once_nothing_confirms_the_list_and_left_as_it_is_confirmed() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, false);
    assert_eq!(follower.poll(start + FIRST_LIST / 2, FLEET, 0.5), None);
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Verdict::Newer);
    let later = start + SILENT_AFTER - Duration::from_millis(1);
    assert_eq!(follower.poll(later, FLEET, 0.5), None);
    assert!(follower.on_confirmation(later, position(0, 7)));
    assert!(!follower.on_confirmation(later, position(0, 8)), "that one is on its way");
    let silent = later + SILENT_AFTER;
    assert_eq!(follower.next_due(), Some(silent));
    assert_eq!(follower.poll(silent, FLEET, 0.5), Some(FollowerStep::Silent));
    assert_eq!(follower.poll(silent, FLEET, 0.5), None);
    let wait = fleet_spread_delay(FLEET, 0.5);
    assert_eq!(follower.next_due(), Some(silent + wait));
    let asks = Some(FollowerStep::AskDiscovery { newer_than: Some(7) });
    assert_eq!(follower.poll(silent + wait, FLEET, 0.9), asks);
    assert!(follower.asks() && follower.next_due().is_none());
    assert!(follower.on_confirmation(silent + wait, position(0, 7)));
    assert_eq!(follower.poll(silent + wait, FLEET, 0.1), Some(FollowerStep::StopAsking));
    assert!(follower.follows());
}

#[test]
fn a_confirmation_before_the_wait_is_over_ends_it() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    assert_eq!(follower.poll(start + SILENT_AFTER, FLEET, 1.0), Some(FollowerStep::Silent));
    let soon = start + SILENT_AFTER + Duration::from_millis(10);
    assert_eq!(follower.on_published(soon, &published(3, 2, 1)), Verdict::Newer);
    assert_eq!(follower.poll(soon + Duration::from_secs(1), FLEET, 1.0), None);
}

/// What discovery has told this sidecar itself is not taken back by an older list of the control nodes.
#[test]
fn an_older_list_takes_nothing_back() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Verdict::Newer);
    let asked = start + 2 * SILENT_AFTER;
    let _ = (follower.poll(asked, FLEET, 0.0), follower.poll(asked, FLEET, 0.0));
    assert!(follower.asks());
    follower.on_discovered(
        false,
        &List { seq: 9, whole: false, hosts: vec![host(0, Listed::Leaving)] },
    );
    assert_eq!(follower.on_published(asked, &published(0, 8, 3)), Verdict::Older);
    assert!(!follower.on_confirmation(asked, position(0, 8)));
    assert!(follower.asks(), "the source is behind what discovery says");
    let mut newer = published(0, 10, 3);
    newer.hosts[0].health = Listed::Leaving;
    assert_eq!(follower.on_published(asked, &newer), Verdict::Newer);
    assert_eq!(follower.poll(asked, FLEET, 0.0), Some(FollowerStep::StopAsking));
    // Discovery began anew while this sidecar asked it itself: what the control nodes had before is older.
    let asked = asked + 2 * SILENT_AFTER;
    let _ = (follower.poll(asked, FLEET, 0.0), follower.poll(asked, FLEET, 0.0));
    follower.on_discovered(true, &whole(2, 1));
    assert_eq!(follower.on_published(asked, &published(0, 11, 3)), Verdict::Older);
    assert_eq!(follower.on_published(asked, &published(1, 2, 1)), Verdict::Same);
    assert_eq!(follower.poll(asked, FLEET, 0.0), Some(FollowerStep::StopAsking));
}

#[test]
fn who_counts_generations_otherwise_agrees_on_the_same_list() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    follower.on_discovered(true, &whole(8, 2));
    follower.on_discovered(true, &whole(7, 3));
    assert_eq!(follower.position(), Some(position(1, 7)));
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Verdict::Same);
    assert_eq!(follower.position(), Some(position(0, 7)));
}

/// All sidecars lose their control nodes at the same time: their calls are spread, 100 a second at most in the mean.
#[test]
fn waits_grow_with_the_fleet() {
    assert_eq!(fleet_spread_delay(8, 1.0), Duration::from_millis(250));
    assert_eq!(fleet_spread_delay(300, 1.0), Duration::from_secs(3));
    assert_eq!(fleet_spread_delay(16_000, 0.5), Duration::from_secs(80));
}
