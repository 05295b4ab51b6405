//! Budgets: what is taken comes back, nobody waits for ever, and engines ask each other for room.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use millethook_engine::budget::{
    ByteBudget, ConnectionPermits, EnginePermits, MAX_BODY_BYTES, Sockets,
};

fn polled<F: Future>(future: std::pin::Pin<&mut F>) -> Poll<F::Output> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}

/// Danger: bodies that grow side by side until none may grow any more would wait for each other.
#[test]
fn one_body_can_always_finish() {
    let bytes = ByteBudget::new((1 << 20) + MAX_BODY_BYTES);
    let (mut a, mut b, mut c) = (bytes.reservation(), bytes.reservation(), bytes.reservation());
    assert_eq!(polled(pin!(a.grow(1 << 20))), Poll::Ready(()));
    assert_eq!(bytes.in_use(), 1 << 20);
    // All is taken: the next one leads, and may grow on; whoever comes after it waits.
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
fn who_goes_away_while_waiting_has_taken_nothing() {
    let bytes = ByteBudget::new((1 << 20) + MAX_BODY_BYTES);
    let (mut a, mut lead, mut c) = (bytes.reservation(), bytes.reservation(), bytes.reservation());
    assert_eq!(polled(pin!(a.grow(1 << 20))), Poll::Ready(()));
    assert_eq!(polled(pin!(lead.grow(1))), Poll::Ready(()));
    assert_eq!(polled(pin!(c.grow(1))), Poll::Pending);
    drop(c);
    drop(lead);
    let mut next = bytes.reservation();
    assert_eq!(polled(pin!(next.grow(1))), Poll::Ready(()));
    drop((a, next));
    assert_eq!(bytes.in_use(), 0);
}

/// Accounts of many threads: every byte comes back, and nobody waits for ever.
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
async fn a_place_is_waited_for_and_asked_for() {
    let all = ConnectionPermits::new(2);
    let (places, other) = (EnginePermits::new(all.clone()), EnginePermits::new(all.clone()));
    let (first, second) = (places.try_take().expect("one"), places.try_take().expect("two"));
    assert!(places.try_take().is_none());
    assert_eq!(all.in_use(), 2);
    assert!(places.take(Duration::from_millis(50)).await.is_none(), "nobody gives one up");
    // Another engine hears that one is wanted, and gives up what rests.
    let giving = tokio::spawn(async move {
        other.wanted().await;
        drop(second);
    });
    tokio::task::yield_now().await;
    places.want();
    let taken = places.take(Duration::from_secs(5)).await.expect("given up");
    giving.await.expect("no panic");
    drop((first, taken));
    assert_eq!(all.in_use(), 0);
}

/// An engine that heard its own call would close a connection that its own requests need.
#[test]
fn an_engine_does_not_hear_its_own_call_for_a_place() {
    let all = ConnectionPermits::new(1);
    let (asking, other) = (EnginePermits::new(all.clone()), EnginePermits::new(all));
    let (mut own, mut others) = (pin!(asking.wanted()), pin!(other.wanted()));
    assert_eq!(polled(own.as_mut()), Poll::Pending);
    assert_eq!(polled(others.as_mut()), Poll::Pending);
    asking.want();
    assert_eq!(polled(own), Poll::Pending, "its own call");
    assert_eq!(polled(others), Poll::Ready(()), "another engine's call");
}

/// A call that came while the other engine was busy with an earlier one is not lost.
#[test]
fn a_call_for_a_place_is_kept_until_it_is_heard() {
    let all = ConnectionPermits::new(1);
    let (asking, other) = (EnginePermits::new(all.clone()), EnginePermits::new(all));
    asking.want();
    assert_eq!(polled(pin!(other.wanted())), Poll::Ready(()));
    assert_eq!(polled(pin!(other.wanted())), Poll::Pending, "one call, heard once");
}

#[test]
fn sockets_are_shared_out_between_clients_and_servers() {
    for limit in [128, 256, 1024, 4096] {
        let sockets = Sockets::new(limit);
        let mut servers = 0;
        let mut held = Vec::new();
        while let Some(place) = sockets.servers.try_take() {
            held.push(place);
            servers += 1;
        }
        assert!(sockets.client_permits + servers <= limit, "{limit}");
        assert!(servers >= sockets.client_permits, "{limit}");
    }
}
