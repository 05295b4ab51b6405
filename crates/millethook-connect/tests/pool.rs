//! The connection pool, with times given by the tests.

use std::time::{Duration, Instant};

use millethook_connect::pool::{
    Checkout, Counts, Ended, FORGET_AFTER_WINDOWS, Limits, Pool, Reuse, SocketState,
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn limits() -> Limits {
    Limits { per_server: 4, opening: 2, spare: 1, idle_timeout: 1000 * MS }
}

fn quiet(_: &u32) -> SocketState {
    SocketState::Quiet
}

/// Opens connection `n` to server 0 and releases it at `now`.
fn open_and_release(pool: &mut Pool<u8, u32>, n: u32, now: Instant) {
    assert_eq!(pool.checkout(0, now - 50 * MS, quiet), Checkout::Open);
    pool.handshake_finished(0, Some(MS));
    pool.release(0, n, now);
}

#[test]
fn a_connection_is_in_quarantine_before_it_is_reused() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    pool.handshake_finished(0, None);
    assert_eq!(pool.checkout(0, now + MS, quiet), Checkout::Reuse(1, MS));
    assert_eq!(pool.counts(), Counts { opening: 0, in_use: 1, idle: 0 });
}

/// Guards against accepting an earlier answer on a connection whose answers cannot be told apart.
#[test]
fn with_proven_answers_connections_are_kept_only_to_servers_that_announce_the_close() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Proven), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    assert_eq!(pool.counts().idle, 0, "nothing is known of the server");
    assert!(!pool.announces_close(0, now));
    open_and_release(&mut pool, 2, now);
    pool.record_close_request(0, true, now);
    assert!(pool.announces_close(0, now));
    for n in 3..5 {
        open_and_release(&mut pool, n, now);
    }
    assert_eq!(pool.counts().idle, 2, "connections are kept from now on");
    pool.record_close_request(0, false, now);
    assert_eq!(pool.checkout(0, now + 10 * MS, quiet), Checkout::Open);
    assert_eq!(pool.counts().idle, 0, "idle connections are closed");
    assert_eq!(pool.check(now), Ok(()));
}

/// Guards against open connections that are still reused without limit after the setting has changed.
#[test]
fn a_changed_reuse_setting_applies_to_open_connections() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    pool.set_reuse(Reuse::Proven);
    assert!(pool.answers_need_proof(0, now));
    assert_eq!(pool.checkout(0, now + 10 * MS, quiet), Checkout::Open);
    assert_eq!(pool.counts().idle, 0, "nothing is known of the server");
    pool.handshake_finished(0, Some(MS));
    pool.set_reuse(Reuse::Unlimited);
    pool.release(0, 2, now);
    assert_eq!(pool.checkout(0, now + 10 * MS, quiet), Checkout::Reuse(2, 10 * MS));
    assert_eq!(pool.check(now), Ok(()));
}

/// Guards against accepting copies of answers from a server that has sent stray bytes.
#[test]
fn connections_are_not_reused_for_a_minute_after_stray_bytes() {
    const MINUTE: Duration = Duration::from_secs(60);
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    open_and_release(&mut pool, 2, now);
    let stray = |n: &u32| if *n == 2 { SocketState::StrayBytes } else { SocketState::Quiet };
    assert_eq!(
        pool.checkout(0, now + 10 * MS, stray),
        Checkout::Open,
        "the other connection is not reused either"
    );
    assert!(pool.answers_need_proof(0, now + 10 * MS));
    pool.handshake_finished(0, Some(MS));
    pool.release(0, 3, now + 20 * MS);
    assert_eq!(pool.counts(), Counts::default());
    let later = now + 10 * MS + MINUTE;
    assert!(!pool.answers_need_proof(0, later));
    open_and_release(&mut pool, 4, later + 50 * MS);
    assert_eq!(pool.checkout(0, later + 90 * MS, quiet), Checkout::Reuse(4, 40 * MS));
}

#[test]
fn late_stray_bytes_lengthen_the_quarantine() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    // The server announces the close, which proves answers, so its connections are still reused.
    pool.record_close_request(0, true, now);
    assert_eq!(pool.sweep_idle(now + 3 * MS, |_| SocketState::StrayBytes), 1);
    open_and_release(&mut pool, 2, now + 100 * MS);
    let at = now + 100 * MS;
    assert_eq!(pool.checkout(0, at + 11 * MS, quiet), Checkout::Open);
    assert_eq!(pool.checkout(0, at + 12 * MS, quiet), Checkout::Reuse(2, 12 * MS));
    assert_eq!(pool.ended().stray, 1);
}

#[test]
fn the_newest_idle_connection_is_reused_and_the_oldest_evicted() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    for _ in 0..3 {
        // No connection is out of quarantine at that time, so another one is opened.
        assert_eq!(pool.checkout(0, now - 100 * MS, quiet), Checkout::Open);
        pool.handshake_finished(0, Some(MS));
    }
    for n in 1..=3 {
        pool.release(0, n, now + n * MS);
    }
    assert_eq!(pool.checkout(0, now + 10 * MS, quiet), Checkout::Reuse(3, 7 * MS));
    assert!(pool.evict_oldest_idle());
    assert_eq!(pool.checkout(0, now + 10 * MS, quiet), Checkout::Reuse(2, 8 * MS));
    assert!(!pool.evict_oldest_idle());
}

#[test]
fn unusable_idle_connections_are_skipped() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    for _ in 0..3 {
        assert_eq!(pool.checkout(0, now - 100 * MS, quiet), Checkout::Open);
        pool.handshake_finished(0, Some(MS));
    }
    for n in 1..=3 {
        pool.release(0, n, now);
    }
    // The server announces the close, which proves answers, so stray bytes on one connection do not end the reuse of
    // the others.
    pool.record_close_request(0, true, now);
    let socket_state = |n: &u32| match n {
        3 => SocketState::Closed,
        2 => SocketState::StrayBytes,
        _ => SocketState::Quiet,
    };
    assert_eq!(pool.checkout(0, now + 20 * MS, socket_state), Checkout::Reuse(1, 20 * MS));
    assert_eq!(pool.ended(), Ended { closed: 1, stray: 1, retired: 0, given_up: 0 });
}

#[test]
fn connections_are_retired_before_a_learned_idle_limit() {
    let (mut pool, now) = (Pool::new(limits(), Reuse::Unlimited), Instant::now() + 1000 * MS);
    open_and_release(&mut pool, 1, now);
    assert_eq!(pool.sweep_idle(now + 699 * MS, quiet), 0);
    assert_eq!(pool.sweep_idle(now + 700 * MS, quiet), 1, "configured idle timeout: 1 s");
    for n in 2..=3 {
        let at = now + n * 1000 * MS;
        open_and_release(&mut pool, n, at);
        assert_eq!(pool.sweep_idle(at + 300 * MS, |_| SocketState::Closed), 1);
    }
    let at = now + 4000 * MS;
    open_and_release(&mut pool, 4, at);
    assert_eq!(
        pool.checkout(0, at + 250 * MS, quiet),
        Checkout::Open,
        "learned idle limit: 300 ms"
    );
    assert_eq!(pool.ended(), Ended { closed: 2, stray: 0, retired: 2, given_up: 0 });
}

#[test]
fn a_server_without_connections_is_forgotten() {
    let (mut pool, now) = (Pool::<u8, u32>::new(limits(), Reuse::Unlimited), Instant::now());
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    pool.handshake_finished(0, None);
    for _ in 1..FORGET_AFTER_WINDOWS {
        pool.start_next_window();
    }
    assert_eq!(pool.known_servers(), 1);
    pool.start_next_window();
    assert_eq!(pool.known_servers(), 0);
}

#[test]
fn handshakes_and_connections_are_limited() {
    let (mut pool, now) = (Pool::<u8, u32>::new(limits(), Reuse::Unlimited), Instant::now());
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Wait(None), "two handshakes at once");
    assert_eq!(pool.checkout(1, now, quiet), Checkout::Open, "another server has its own limit");
    for _ in 0..2 {
        pool.handshake_finished(0, Some(MS));
        assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    }
    for _ in 0..2 {
        pool.handshake_finished(0, Some(MS));
    }
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Wait(None), "four in all");
    pool.release(0, 1, now);
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Wait(Some(now + MS)));
}

#[test]
fn a_spare_connection_is_opened_only_while_use_rises() {
    let (mut pool, now) = (Pool::<u8, u32>::new(limits(), Reuse::Unlimited), Instant::now());
    assert!(!pool.start_spare(0), "nothing is in use");
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
    pool.handshake_finished(0, Some(MS));
    assert!(pool.start_spare(0));
    assert!(!pool.start_spare(0), "one at a time");
    pool.spare_handshake_finished(0, Some((7, MS)), now);
    assert!(!pool.start_spare(0), "one is idle");
    assert_eq!(pool.checkout(0, now, quiet), Checkout::Reuse(7, Duration::ZERO));
    assert!(pool.start_spare(0), "two are in use for the first time");
    pool.spare_handshake_finished(0, None, now);
    pool.start_next_window();
    assert!(!pool.start_spare(0), "two were in use in the last window, too");
}

#[test]
fn nothing_is_kept_of_a_removed_server() {
    let (mut pool, now) = (Pool::<u8, u32>::new(limits(), Reuse::Unlimited), Instant::now());
    for _ in 0..2 {
        assert_eq!(pool.checkout(0, now, quiet), Checkout::Open);
        pool.handshake_finished(0, Some(MS));
    }
    pool.release(0, 1, now);
    pool.close_idle(0, true);
    assert_eq!((pool.counts().idle, pool.known_servers()), (0, 1));
    pool.release(0, 2, now);
    assert_eq!((pool.counts().idle, pool.known_servers()), (0, 0));
}

/// An operation on the pool.
#[derive(Clone, Debug)]
enum Op {
    Checkout(u8),
    Opened(u8, bool),
    Release(u8),
    Discard(u8, bool),
    Spare(u8),
    Sweep(u8),
    Evict,
    CloseIdle(u8, bool),
    Pass(u16),
}

fn op() -> impl Strategy<Value = Op> {
    let key = 0..3u8;
    prop_oneof![
        4 => key.clone().prop_map(Op::Checkout),
        4 => (key.clone(), any::<bool>()).prop_map(|(k, succeeded)| Op::Opened(k, succeeded)),
        4 => key.clone().prop_map(Op::Release),
        1 => (key.clone(), any::<bool>()).prop_map(|(k, stray)| Op::Discard(k, stray)),
        1 => key.clone().prop_map(Op::Spare),
        1 => any::<u8>().prop_map(Op::Sweep),
        1 => Just(Op::Evict),
        1 => (key, any::<bool>()).prop_map(|(k, removed)| Op::CloseIdle(k, removed)),
        3 => (0..2000u16).prop_map(Op::Pass),
    ]
}

proptest! {
    /// With any operations in any order the limits hold, the counts are correct, and no connection is handed out during
    /// its quarantine or after its maximum idle time.
    #[test]
    fn any_operations_keep_limits_and_counts(ops in proptest::collection::vec(op(), 1..200)) {
        let mut pool = Pool::<u8, (u32, Instant)>::new(limits(), Reuse::Unlimited);
        let mut now = Instant::now();
        let (mut opening, mut used) = ([0usize; 3], [const { Vec::new() }; 3]);
        let (mut spares, mut next) = ([0usize; 3], 0u32);
        for op in ops {
            match op {
                Op::Pass(tenths) => now += MS * u32::from(tenths) / 10,
                Op::Checkout(k) => match pool.checkout(k, now, |_| SocketState::Quiet) {
                    Checkout::Open => opening[usize::from(k)] += 1,
                    Checkout::Reuse((n, since), idle_time) => {
                        prop_assert_eq!(idle_time, now - since);
                        prop_assert!(idle_time < limits().idle_timeout);
                        used[usize::from(k)].push(n);
                    }
                    Checkout::Wait(_) => {}
                },
                Op::Opened(k, succeeded) if opening[usize::from(k)] > 0 => {
                    opening[usize::from(k)] -= 1;
                    pool.handshake_finished(k, succeeded.then_some(MS));
                    if succeeded {
                        next += 1;
                        used[usize::from(k)].push(next);
                    }
                }
                Op::Opened(k, succeeded) if spares[usize::from(k)] > 0 => {
                    spares[usize::from(k)] -= 1;
                    next += 1;
                    pool.spare_handshake_finished(k, succeeded.then_some(((next, now), MS)), now);
                }
                Op::Release(k) => if let Some(n) = used[usize::from(k)].pop() {
                    pool.release(k, (n, now), now);
                },
                Op::Discard(k, stray) => if used[usize::from(k)].pop().is_some() {
                    pool.discard(k, stray, now);
                },
                Op::Spare(k) => spares[usize::from(k)] += usize::from(pool.start_spare(k)),
                Op::Sweep(of) => drop(pool.sweep_idle(now, |(n, _)| match (n + u32::from(of)) % 4 {
                    0 => SocketState::Closed,
                    1 => SocketState::StrayBytes,
                    _ => SocketState::Quiet,
                })),
                Op::Evict => drop(pool.evict_oldest_idle()),
                Op::CloseIdle(k, removed) => pool.close_idle(k, removed),
                Op::Opened(..) => {}
            }
            let counts = pool.counts();
            prop_assert_eq!(counts.opening, opening.iter().sum::<usize>() + spares.iter().sum::<usize>());
            prop_assert_eq!(counts.in_use, used.iter().map(Vec::len).sum::<usize>());
            prop_assert_eq!(pool.check(now), Ok(()));
        }
    }
}
