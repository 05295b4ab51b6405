//! How an answer on a used connection is told to be its request's own, and on which connections that can be.

use std::time::{Duration, Instant};

use millethook_connect::answers::Variety;
use millethook_connect::pool::{Checkout, Limits, Matching, Pool, Reuse, SocketState};
use millethook_connect::request::Persistence;

const MS: Duration = Duration::from_millis(1);
const KEY: u8 = 0;

/// A pool with so many connections at rest, the most that it may have.
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
fn answers_are_compared_where_they_differ() {
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
        // A server that has sent stray bytes.
        pool.discard(KEY, true, now);
        assert_eq!(pool.matching(KEY, Variety::Distinct, now), AnnouncedClose, "{reuse}");
    }
}

/// Guards against a request that is not told from others, and against one that waits behind connections at rest.
#[test]
fn a_request_that_needs_a_new_connection_gets_one_though_all_are_at_rest() {
    let now = Instant::now();
    let mut pool = full(Reuse::Compared, now);
    assert!(pool.needs_new(KEY, Matching::NewConnection, now));
    assert!(
        pool.needs_new(KEY, Matching::AnnouncedClose, now),
        "nobody knows whether it announces ends"
    );
    assert!(!pool.needs_new(KEY, Matching::DistinctContent, now));
    assert_eq!(pool.checkout_new(KEY), Checkout::Open);
    assert_eq!((pool.counts().opening, pool.counts().idle), (1, 2));
    assert_eq!(pool.ended().given_up, 1);
    assert_eq!(pool.checkout_new(KEY), Checkout::Open);
    assert_eq!(pool.checkout_new(KEY), Checkout::Wait(None), "two handshakes at once");
    assert_eq!(pool.counts().idle, 1, "nothing is given up in vain");
    assert_eq!(pool.check(now), Ok(()));
}

#[test]
fn the_end_is_asked_for_where_it_has_to_tell() {
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
        "to learn whether it announces it"
    );
    pool.record_close_request(KEY, true, now);
    assert_eq!(persistence(&pool, Matching::AnnouncedClose, false), Persistence::KeepAlive);
    assert_eq!(persistence(&pool, Matching::AnnouncedClose, true), Persistence::Close);
    assert!(!pool.needs_new(KEY, Matching::AnnouncedClose, now));
    let looked = |_: &u32| SocketState::Quiet;
    assert_eq!(pool.checkout(KEY, now + MS, looked), Checkout::Reuse(2, MS));
}
