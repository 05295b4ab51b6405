//! Tests of request ids that pass between two processes, and of how the later one learns that it is its turn.

use std::path::PathBuf;
use std::time::Duration;

use millethook_handover::active_process::ActiveProcess;
use millethook_handover::endpoint::{HandoverEndpoint, HandoverItem, Predecessor, Successor};
use tokio::time::timeout;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("millethook-ids-{}-{name}", std::process::id()))
}

/// Connects a process that hands over with the one that follows it.
async fn start_handover(name: &str) -> (Successor, Predecessor, [HandoverEndpoint; 2]) {
    let path = path(name);
    let old = HandoverEndpoint::bind(&path).unwrap();
    let new = HandoverEndpoint::bind(&path).unwrap();
    let successor = old.successor().expect("a successor");
    let predecessor = new.accept_predecessor().await.unwrap();
    (successor, predecessor, [old, new])
}

#[tokio::test]
async fn ids_in_use_and_reservations_stay_in_order() {
    let (successor, predecessor, _endpoints) = start_handover("order").await;
    let ids: Vec<u64> = (0..30_000).map(|n| n * 0x9e37_79b9).collect();
    successor.pass_ids(&ids).unwrap();
    let reservations = [7, 8].map(|id| successor.reserve_id(id).unwrap());
    drop(successor);
    let Some(HandoverItem::Ids(passed)) = predecessor.next().await.unwrap() else { panic!("ids") };
    assert_eq!(passed, ids);
    for (id, granted) in [(7, true), (8, false)] {
        let Some(HandoverItem::Reservation(request)) = predecessor.next().await.unwrap() else {
            panic!("a reservation")
        };
        assert_eq!(request.id, id);
        request.answer(granted);
    }
    assert!(predecessor.next().await.unwrap().is_none());
    let [first, second] = reservations;
    assert_eq!((first.granted().await, second.granted().await), (Some(true), Some(false)));
}

#[tokio::test]
async fn a_reservation_times_out_and_is_granted_when_the_other_process_ends() {
    let (successor, predecessor, _endpoints) = start_handover("claim").await;
    let unanswered = successor.reserve_id(1).unwrap();
    assert_eq!(unanswered.granted().await, None, "no answer was sent");
    let reservation = successor.reserve_id(2).unwrap();
    drop(predecessor);
    assert_eq!(reservation.granted().await, Some(true));
}

/// Guards against two processes that both take requests.
#[tokio::test]
async fn a_process_waits_until_the_active_one_ends_or_does_not_answer() {
    let path = path("incumbent");
    assert!(ActiveProcess::connect(&path).is_none(), "no process is active");
    let old = HandoverEndpoint::bind(&path).unwrap();
    let ended =
        tokio::spawn(ActiveProcess::connect(&path).expect("an active process").wait_until_ended());
    let checking = old.accept_predecessor().await.unwrap();
    // The active process answers liveness checks while its connection is read: three checks here.
    assert!(timeout(Duration::from_millis(2500), checking.next()).await.is_err());
    assert!(!ended.is_finished());
    drop(checking);
    ended.await.unwrap();
    let silent = ActiveProcess::connect(&path).expect("an active process");
    timeout(Duration::from_secs(10), silent.wait_until_ended()).await.expect("the wait ends");
    drop(old);
}
