//! Tests of the distribution of lists, without clock and I/O: which list is newer, what a control node publishes, and
//! when a sidecar falls back to discovery.

use std::time::{Duration, Instant};

use millethook_engine::discovery::call_timing::fleet_spread_delay;
use millethook_engine::list::{Host, List, ListedState};
use millethook_engine::server_lists::*;
use proptest::prelude::*;

const FLEET: u32 = 60;

fn host(n: usize, health: ListedState) -> Host {
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
    (0..count).map(|n| host(n, ListedState::Active)).collect()
}

/// Returns a whole list of `count` servers.
fn whole(seq: u64, count: usize) -> List {
    List { seq, whole: true, hosts: hosts(count) }
}

fn position(generation: u32, seq: u64) -> ListPosition {
    ListPosition { generation, seq }
}

fn published(generation: u32, seq: u64, count: usize) -> PublishedList {
    PublishedList { position: position(generation, seq), hosts: hosts(count) }
}

fn ready_writer(committed: Option<&PublishedList>) -> WriterState<'_> {
    WriterState { ready: true, proposals: 0, committed }
}

fn not_writer(committed: Option<&PublishedList>) -> WriterState<'_> {
    WriterState { ready: false, ..ready_writer(committed) }
}

fn list_of(publication: Option<Publication>) -> Option<PublishedList> {
    match publication? {
        Publication::List(list) => Some(list),
        Publication::Confirmation(_) => None,
    }
}

#[test]
fn a_body_keeps_all_fields_of_the_servers() {
    let states =
        [ListedState::Active, ListedState::Leaving, ListedState::Unknown, ListedState::Left];
    let hosts: Vec<Host> = states.into_iter().enumerate().map(|(n, s)| host(n, s)).collect();
    let list = PublishedList { position: position(2, 41), hosts };
    let body = list.encode().expect("encodes");
    let decoded = PublishedList::decode(&body).expect("decodes");
    assert_eq!(
        (decoded.position, &decoded.hosts[..]),
        (list.position, &list.hosts[..3]),
        "a server that has left is omitted"
    );
    assert!(!is_confirmation(&body));
    let confirmation = encode_confirmation(list.position).expect("encodes");
    assert!(
        is_confirmation(&confirmation) && confirmation.len() <= 201,
        "a confirmation fits into the message that announces it"
    );
    assert_eq!(decode_confirmation(&confirmation), Ok(list.position));
    assert_eq!(
        PublishedList::decode(&confirmation),
        Err(BodyError::Form { found: 2, expected: 1 })
    );
    assert_eq!(PublishedList::decode(&[]), Err(BodyError::Empty));
    let too_long: Vec<u8> = body.iter().copied().chain([0]).collect();
    assert_eq!(PublishedList::decode(&too_long), Err(BodyError::TooLong(1)));
    let thousand = published(0, 1, 1_000).encode().expect("encodes");
    assert!(thousand.len() < 64 * 1024, "{} bytes", thousand.len());
}

proptest! {
    #[test]
    fn decoding_any_body_does_not_panic(body in proptest::collection::vec(any::<u8>(), 0..200), cut in 0..60usize) {
        let _ = PublishedList::decode(&body);
        let _ = decode_confirmation(&body);
        let whole = published(0, 7, 2).encode().expect("encodes");
        prop_assert!(PublishedList::decode(&whole[..cut.min(whole.len() - 1)]).is_err());
    }
}

#[test]
fn only_the_writer_publishes_and_only_what_is_newer() {
    let now = Instant::now();
    let mut source = ListSource::default();
    assert_eq!(source.poll(now, ready_writer(None)), None, "no list from discovery yet");
    source.on_list(true, &whole(4, 2));
    assert_eq!(source.poll(now, not_writer(None)), None);
    let first = list_of(source.poll(now, ready_writer(None))).expect("published");
    assert_eq!(first.position, position(0, 4));
    assert_eq!(source.poll(now, ready_writer(None)), None, "a list is published only once");
    source.on_list(false, &List { seq: 5, whole: false, hosts: vec![host(1, ListedState::Left)] });
    let second = list_of(source.poll(now, ready_writer(Some(&first)))).expect("published");
    assert_eq!((second.position, second.hosts.len()), (position(0, 5), 1));
}

/// Two control nodes watch replicas of discovery of different age. Whichever of them is the writer, the list in force
/// must not go back to an older one.
#[test]
fn the_list_in_force_never_goes_back_when_the_writer_changes() {
    let now = Instant::now();
    let (mut ahead, mut behind) = (ListSource::default(), ListSource::default());
    let mut in_force: Option<PublishedList> = None;
    for step in 1..40 {
        ahead.on_list(true, &whole(step + 3, step as usize + 3));
        behind.on_list(true, &whole(step, step as usize));
        let (active, passive) = match step % 2 {
            0 => (&mut ahead, &mut behind),
            _ => (&mut behind, &mut ahead),
        };
        assert_eq!(passive.poll(now, not_writer(in_force.as_ref())), None);
        if let Some(list) = list_of(active.poll(now, ready_writer(in_force.as_ref()))) {
            assert!(in_force.as_ref().is_none_or(|before| before.position < list.position));
            in_force = Some(list);
        }
    }
    assert_eq!(in_force.expect("published").position, position(0, 38 + 3));
}

#[test]
fn a_writer_whose_list_is_older_than_the_one_in_force_does_not_confirm_it() {
    let now = Instant::now();
    let mut source = ListSource::default();
    source.on_list(true, &whole(8, 2));
    let in_force = published(0, 10, 4);
    assert_eq!(source.poll(now, ready_writer(Some(&in_force))), None);
    source.on_list(true, &whole(10, 4));
    let confirmed = Some(Publication::Confirmation(position(0, 10)));
    assert_eq!(source.poll(now, ready_writer(Some(&in_force))), confirmed);
    assert_eq!(source.poll(now + CONFIRM_INTERVAL / 2, ready_writer(Some(&in_force))), None);
    assert_eq!(source.poll(now + CONFIRM_INTERVAL, ready_writer(Some(&in_force))), confirmed);
    source.on_discovery_failed();
    assert_eq!(source.poll(now + 2 * CONFIRM_INTERVAL, ready_writer(Some(&in_force))), None);
    source.on_list(false, &List { seq: 10, whole: false, hosts: vec![] });
    assert_eq!(source.poll(now + 2 * CONFIRM_INTERVAL, ready_writer(Some(&in_force))), confirmed);
}

#[test]
fn a_restart_of_versions_counts_as_newer_at_each_control_node_that_saw_it() {
    let now = Instant::now();
    let (mut first, mut second) = (ListSource::default(), ListSource::default());
    for source in [&mut first, &mut second] {
        source.on_list(true, &whole(10, 3));
        source.on_list(true, &whole(1, 2));
    }
    let in_force = published(0, 10, 3);
    let after_restart = list_of(first.poll(now, ready_writer(Some(&in_force)))).expect("published");
    assert_eq!((after_restart.position, after_restart.hosts.len()), (position(1, 1), 2));
    // The next writer has seen the same restart: it continues from there and does not count it again.
    assert_eq!(second.poll(now, not_writer(Some(&after_restart))), None);
    second.on_list(true, &whole(2, 1));
    let next = list_of(second.poll(now, ready_writer(Some(&after_restart)))).expect("published");
    assert_eq!(next.position, position(1, 2));
    // A control node that starts later counts from the list in force.
    let mut late = ListSource::default();
    late.on_list(true, &whole(3, 3));
    let next = list_of(late.poll(now, ready_writer(Some(&next)))).expect("published");
    assert_eq!(next.position, position(1, 3));
}

/// An uncommitted list of the previous writer may be newer than the committed one.
#[test]
fn a_new_writer_waits_until_earlier_proposals_are_committed() {
    let now = Instant::now();
    let mut source = ListSource::default();
    source.on_list(true, &whole(10, 2));
    let (committed, uncommitted) = (published(0, 9, 3), published(0, 11, 4));
    let catching_up = WriterState { proposals: 1, ..ready_writer(Some(&committed)) };
    assert_eq!(source.poll(now, catching_up), None);
    assert_eq!(source.poll(now, ready_writer(Some(&uncommitted))), None, "11 is newer than 10");
}

#[test]
fn a_sidecar_watches_discovery_while_its_list_is_not_confirmed() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, false);
    assert_eq!(follower.poll(start + FIRST_LIST_TIMEOUT / 2, FLEET, 0.5), None);
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Freshness::Newer);
    let later = start + CONFIRMATION_TIMEOUT - Duration::from_millis(1);
    assert_eq!(follower.poll(later, FLEET, 0.5), None);
    assert!(follower.on_confirmation(later, position(0, 7)));
    assert!(!follower.on_confirmation(later, position(0, 8)), "list 8 has not arrived yet");
    let silent = later + CONFIRMATION_TIMEOUT;
    assert_eq!(follower.next_due(), Some(silent));
    assert_eq!(follower.poll(silent, FLEET, 0.5), Some(FollowerStep::Silent));
    assert_eq!(follower.poll(silent, FLEET, 0.5), None);
    let wait = fleet_spread_delay(FLEET, 0.5);
    assert_eq!(follower.next_due(), Some(silent + wait));
    let watch = Some(FollowerStep::WatchDiscovery { newer_than: Some(7) });
    assert_eq!(follower.poll(silent + wait, FLEET, 0.9), watch);
    assert!(follower.watches_discovery() && follower.next_due().is_none());
    assert!(follower.on_confirmation(silent + wait, position(0, 7)));
    assert_eq!(follower.poll(silent + wait, FLEET, 0.1), Some(FollowerStep::StopWatching));
    assert!(follower.follows_control_nodes());
}

#[test]
fn a_list_that_arrives_during_the_wait_cancels_the_fallback() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    assert_eq!(follower.poll(start + CONFIRMATION_TIMEOUT, FLEET, 1.0), Some(FollowerStep::Silent));
    let soon = start + CONFIRMATION_TIMEOUT + Duration::from_millis(10);
    assert_eq!(follower.on_published(soon, &published(3, 2, 1)), Freshness::Newer);
    assert_eq!(follower.poll(soon + Duration::from_secs(1), FLEET, 1.0), None);
}

/// An older list from the control nodes must not replace what this sidecar got from discovery.
#[test]
fn an_older_published_list_does_not_replace_a_newer_one_from_discovery() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Freshness::Newer);
    let fallback_at = start + 2 * CONFIRMATION_TIMEOUT;
    let _ = (follower.poll(fallback_at, FLEET, 0.0), follower.poll(fallback_at, FLEET, 0.0));
    assert!(follower.watches_discovery());
    follower.on_discovered(
        false,
        &List { seq: 9, whole: false, hosts: vec![host(0, ListedState::Leaving)] },
    );
    assert_eq!(follower.on_published(fallback_at, &published(0, 8, 3)), Freshness::Older);
    assert!(!follower.on_confirmation(fallback_at, position(0, 8)));
    assert!(follower.watches_discovery(), "the control nodes are behind discovery");
    let mut newer = published(0, 10, 3);
    newer.hosts[0].health = ListedState::Leaving;
    assert_eq!(follower.on_published(fallback_at, &newer), Freshness::Newer);
    assert_eq!(follower.poll(fallback_at, FLEET, 0.0), Some(FollowerStep::StopWatching));
    // Discovery restarted while this sidecar watched it: the list of the control nodes from before is older.
    let fallback_at = fallback_at + 2 * CONFIRMATION_TIMEOUT;
    let _ = (follower.poll(fallback_at, FLEET, 0.0), follower.poll(fallback_at, FLEET, 0.0));
    follower.on_discovered(true, &whole(2, 1));
    assert_eq!(follower.on_published(fallback_at, &published(0, 11, 3)), Freshness::Older);
    assert_eq!(follower.on_published(fallback_at, &published(1, 2, 1)), Freshness::Same);
    assert_eq!(follower.poll(fallback_at, FLEET, 0.0), Some(FollowerStep::StopWatching));
}

#[test]
fn a_follower_adopts_the_generation_of_an_equal_list() {
    let start = Instant::now();
    let mut follower = ListFollower::new(start, true);
    follower.on_discovered(true, &whole(8, 2));
    follower.on_discovered(true, &whole(7, 3));
    assert_eq!(follower.position(), Some(position(1, 7)));
    assert_eq!(follower.on_published(start, &published(0, 7, 3)), Freshness::Same);
    assert_eq!(follower.position(), Some(position(0, 7)));
}

/// All sidecars lose their control nodes at the same time, so their requests to discovery are spread out to a mean of
/// at most 100 a second.
#[test]
fn waits_grow_with_the_size_of_the_fleet() {
    assert_eq!(fleet_spread_delay(8, 1.0), Duration::from_millis(250));
    assert_eq!(fleet_spread_delay(300, 1.0), Duration::from_secs(3));
    assert_eq!(fleet_spread_delay(16_000, 0.5), Duration::from_secs(80));
}
