//! Budgets: whatever is acquired is released, nobody waits forever, and engines ask each other for permits.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use millethook_engine::budget::{
    ByteBudget, ConnectionPermits, EnginePermits, MAX_BODY_BYTES, Sockets,
};
use millethook_engine::memory::{CLIENT_BODY_BYTES, MemoryPlan};

fn polled<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// Guards against bodies that grow side by side until none may grow further and that wait for each other.
#[test]
fn one_body_can_always_finish() {
    let bytes = ByteBudget::new((1 << 20) + MAX_BODY_BYTES);
    let (mut a, mut b, mut c) = (bytes.reservation(), bytes.reservation(), bytes.reservation());
    assert_eq!(polled(pin!(a.grow(1 << 20))), Poll::Ready(()));
    assert_eq!(bytes.in_use(), 1 << 20);
    // All bytes are in use: the next reservation becomes the leader and may grow further; later ones wait.
    assert_eq!(polled(pin!(b.grow(MAX_BODY_BYTES))), Poll::Ready(()));
    assert_eq!(polled(pin!(b.grow(MAX_BODY_BYTES))), Poll::Ready(()));
    {
        let mut waiting = pin!(c.grow(MAX_BODY_BYTES));
        assert_eq!(polled(waiting.as_mut()), Poll::Pending);
        drop(b);
        assert_eq!(polled(waiting.as_mut()), Poll::Ready(()));
    }
    drop((a, c));
    assert_eq!(bytes.in_use(), 0);
}

#[test]
fn a_dropped_waiting_reservation_holds_nothing() {
    let bytes = ByteBudget::new((1 << 20) + MAX_BODY_BYTES);
    let (mut a, mut leader, mut c) =
        (bytes.reservation(), bytes.reservation(), bytes.reservation());
    assert_eq!(polled(pin!(a.grow(1 << 20))), Poll::Ready(()));
    assert_eq!(polled(pin!(leader.grow(1))), Poll::Ready(()));
    assert_eq!(polled(pin!(c.grow(1))), Poll::Pending);
    drop(c);
    drop(leader);
    let mut next = bytes.reservation();
    assert_eq!(polled(pin!(next.grow(1))), Poll::Ready(()));
    drop((a, next));
    assert_eq!(bytes.in_use(), 0);
}

/// Reservations on many threads: every byte is released, and nobody waits forever.
#[test]
fn bytes_come_back_from_any_thread() {
    let bytes = ByteBudget::new((1 << 20) + MAX_BODY_BYTES);
    std::thread::scope(|s| {
        for n in 0..8usize {
            let bytes = bytes.clone();
            s.spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().build();
                runtime.expect("a runtime").block_on(async {
                    for i in 0..200usize {
                        let mut reservation = bytes.reservation();
                        reservation.grow(MAX_BODY_BYTES * (1 + (n + i) % 3)).await;
                        tokio::task::yield_now().await;
                        reservation.grow(MAX_BODY_BYTES).await;
                    }
                });
            });
        }
    });
    assert_eq!(bytes.in_use(), 0);
}

#[tokio::test(start_paused = true)]
async fn an_engine_waits_for_a_permit_that_another_one_releases() {
    let shared = ConnectionPermits::new(2);
    let (permits, other) = (EnginePermits::new(shared.clone()), EnginePermits::new(shared.clone()));
    let (first, second) =
        (permits.try_acquire().expect("one"), permits.try_acquire().expect("two"));
    assert!(permits.try_acquire().is_none());
    assert_eq!(shared.in_use(), 2);
    assert!(permits.acquire(Duration::from_millis(50)).await.is_none(), "nobody releases one");
    // The other engine is asked for a permit and closes an idle connection.
    let release = tokio::spawn(async move {
        other.release_requested().await;
        drop(second);
    });
    tokio::task::yield_now().await;
    permits.request_release();
    let taken =
        permits.acquire(Duration::from_secs(5)).await.expect("released by the other engine");
    release.await.expect("no panic");
    drop((first, taken));
    assert_eq!(shared.in_use(), 0);
}

/// An engine that received its own request would close a connection that its own requests need.
#[test]
fn an_engine_ignores_its_own_release_request() {
    let shared = ConnectionPermits::new(1);
    let (requesting, other) = (EnginePermits::new(shared.clone()), EnginePermits::new(shared));
    let (mut own, mut others) =
        (pin!(requesting.release_requested()), pin!(other.release_requested()));
    assert_eq!(polled(own.as_mut()), Poll::Pending);
    assert_eq!(polled(others.as_mut()), Poll::Pending);
    requesting.request_release();
    assert_eq!(polled(own), Poll::Pending, "its own request");
    assert_eq!(polled(others), Poll::Ready(()), "another engine's request");
}

/// A request that arrives while the other engine handles an earlier one is not lost.
#[test]
fn a_release_request_is_kept_until_it_is_received() {
    let shared = ConnectionPermits::new(1);
    let (requesting, other) = (EnginePermits::new(shared.clone()), EnginePermits::new(shared));
    requesting.request_release();
    assert_eq!(polled(pin!(other.release_requested())), Poll::Ready(()));
    assert_eq!(
        polled(pin!(other.release_requested())),
        Poll::Pending,
        "one request is received once"
    );
}

#[test]
fn sockets_are_shared_out_between_clients_and_servers() {
    for limit in [128, 256, 1024, 4096] {
        let sockets = Sockets::new(limit);
        let mut servers = 0;
        let mut held = Vec::new();
        while let Some(permit) = sockets.servers.try_acquire() {
            held.push(permit);
            servers += 1;
        }
        assert!(sockets.client_permits + servers <= limit, "{limit}");
        assert!(servers >= sockets.client_permits, "{limit}");
    }
}

#[test]
fn the_parts_of_a_memory_limit_do_not_exceed_it() {
    for memory_mb in [16, 32, 64, 192] {
        for descriptors in [256, 1024, 4096] {
            let wanted = Sockets::client_share(descriptors);
            let plan = MemoryPlan::new(memory_mb << 20, wanted);
            let per_client = CLIENT_BODY_BYTES + 2 * plan.client_buffer_bytes;
            let parts = plan.max_clients * per_client + plan.buffered_bytes;
            assert!(parts < memory_mb << 20, "{memory_mb} MB, {descriptors}: {plan:?}");
            assert!((1..=wanted).contains(&plan.max_clients), "{memory_mb} MB, {descriptors}");
        }
    }
}

/// Clients hold at most a third of the descriptors for requests.
#[test]
fn the_least_memory_has_room_for_the_clients_of_all_descriptors() {
    let plan = MemoryPlan::new(32 << 20, Sockets::client_share(1024));
    assert!(plan.max_clients >= 1024 / 3, "{plan:?}");
}
