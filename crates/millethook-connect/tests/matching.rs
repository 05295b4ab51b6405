//! How answers on reused connections are matched to their requests, and which connections allow it.

use std::time::{Duration, Instant};

use millethook_connect::answers::Variety;
use millethook_connect::pool::{Checkout, Limits, Matching, Pool, Reuse, SocketState};
use millethook_connect::request::Persistence;

const MS: Duration = Duration::from_millis(1);
const KEY: u8 = 0;

/// A pool with the maximum number of connections, all of them idle.
fn full(reuse: Reuse, now: Instant) -> Pool<u8, u32> {
    let limits = Limits { per_server: 3, opening: 2, ..Limits::default() };
    let mut pool = Pool::new(limits, reuse);
    for _ in 0..limits.per_server {
        assert_eq!(pool.checkout_new(KEY), Checkout::Open);
        pool.handshake_finished(KEY, Some(MS));
    }
    (0..limits.per_server as u32).for_each(|n| pool.release(KEY, n, now));
    pool
}

#[test]
fn the_matching_depends_on_the_setting_and_the_variety_of_answers() {
    use Matching::{AnnouncedClose, DistinctContent, NewConnection, Trust};
    let now = Instant::now();
    let table = [
        (Reuse::Compared, [DistinctContent, NewConnection, AnnouncedClose]),
        (Reuse::Unlimited, [DistinctContent, Trust, Trust]),
        (Reuse::Proven, [AnnouncedClose, AnnouncedClose, AnnouncedClose]),
    ];
    for (reuse, expected) in table {
        let mut pool = full(Reuse::Compared, now);
        pool.set_reuse(reuse);
        let varieties = [Variety::Distinct, Variety::Unknown, Variety::Alike];
        assert_eq!(varieties.map(|variety| pool.matching(KEY, variety, now)), expected, "{reuse}");
        // The server has sent stray bytes.
        pool.discard(KEY, true, now);
        assert_eq!(pool.matching(KEY, Variety::Distinct, now), AnnouncedClose, "{reuse}");
    }
}

/// Guards against a request whose answer cannot be matched, and against one that waits while connections are idle.
#[test]
fn idle_connections_make_room_for_a_request_that_needs_a_new_one() {
    let now = Instant::now();
    let mut pool = full(Reuse::Compared, now);
    assert!(pool.needs_new(KEY, Matching::NewConnection, now));
    assert!(
        pool.needs_new(KEY, Matching::AnnouncedClose, now),
        "it is unknown whether the server announces the close"
    );
    assert!(!pool.needs_new(KEY, Matching::DistinctContent, now));
    assert_eq!(pool.checkout_new(KEY), Checkout::Open);
    assert_eq!((pool.counts().opening, pool.counts().idle), (1, 2));
    assert_eq!(pool.ended().given_up, 1);
    assert_eq!(pool.checkout_new(KEY), Checkout::Open);
    assert_eq!(pool.checkout_new(KEY), Checkout::Wait(None), "two handshakes at once");
    assert_eq!(pool.counts().idle, 1, "no connection is closed without need");
    assert_eq!(pool.check(now), Ok(()));
}

#[test]
fn requests_ask_to_close_where_the_close_proves_the_answer() {
    let now = Instant::now();
    let mut pool = full(Reuse::Compared, now);
    let persistence =
        |pool: &Pool<u8, u32>, matching, used| pool.persistence(KEY, matching, used, now);
    for matching in [Matching::Trust, Matching::DistinctContent, Matching::NewConnection] {
        assert_eq!(persistence(&pool, matching, true), Persistence::KeepAlive);
    }
    assert_eq!(
        persistence(&pool, Matching::AnnouncedClose, false),
        Persistence::Close,
        "to learn whether the server announces the close"
    );
    pool.record_close_request(KEY, true, now);
    assert_eq!(persistence(&pool, Matching::AnnouncedClose, false), Persistence::KeepAlive);
    assert_eq!(persistence(&pool, Matching::AnnouncedClose, true), Persistence::Close);
    assert!(!pool.needs_new(KEY, Matching::AnnouncedClose, now));
    let quiet = |_: &u32| SocketState::Quiet;
    assert_eq!(pool.checkout(KEY, now + MS, quiet), Checkout::Reuse(2, MS));
}
