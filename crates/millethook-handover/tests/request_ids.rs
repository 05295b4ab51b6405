//! Ids of requests between two processes, and how the later one learns that it is its turn.

use std::path::PathBuf;
use std::time::Duration;

use millethook_handover::active_process::ActiveProcess;
use millethook_handover::endpoint::{HandoverEndpoint, HandoverItem, Predecessor, Successor};
use tokio::time::timeout;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("millethook-ids-{}-{name}", std::process::id()))
}

/// A process that hands over, and the one that follows it.
async fn handing_over(name: &str) -> (Successor, Predecessor, [HandoverEndpoint; 2]) {
    let path = path(name);
    let old = HandoverEndpoint::bind(&path).unwrap();
    let new = HandoverEndpoint::bind(&path).unwrap();
    let successor = old.successor().expect("a successor");
    let predecessor = new.accept_predecessor().await.unwrap();
    (successor, predecessor, [old, new])
}

#[tokio::test]
async fn ids_in_use_and_claims_keep_their_order() {
    let (successor, predecessor, _seats) = handing_over("order").await;
    let ids: Vec<u64> = (0..30_000).map(|n| n * 0x9e37_79b9).collect();
    successor.pass_ids(&ids).unwrap();
    let claims = [7, 8].map(|id| successor.reserve_id(id).unwrap());
    drop(successor);
    let Some(HandoverItem::Ids(passed)) = predecessor.next().await.unwrap() else { panic!("ids") };
    assert_eq!(passed, ids);
    for (id, granted) in [(7, true), (8, false)] {
        let Some(HandoverItem::Reservation(claim)) = predecessor.next().await.unwrap() else {
            panic!("a claim")
        };
        assert_eq!(claim.id, id);
        claim.answer(granted);
    }
    assert!(predecessor.next().await.unwrap().is_none());
    let [first, second] = claims;
    assert_eq!((first.granted().await, second.granted().await), (Some(true), Some(false)));
}

#[tokio::test]
async fn a_claim_is_granted_by_a_process_that_ends_and_waits_for_no_other_for_long() {
    let (successor, predecessor, _seats) = handing_over("claim").await;
    let unread = successor.reserve_id(1).unwrap();
    assert_eq!(unread.granted().await, None, "nobody has answered");
    let claim = successor.reserve_id(2).unwrap();
    drop(predecessor);
    assert_eq!(claim.granted().await, Some(true));
}

/// Guards against two processes that both take requests.
#[tokio::test]
async fn an_incumbent_is_waited_for_until_it_ends_or_says_nothing() {
    let path = path("incumbent");
    assert!(ActiveProcess::connect(&path).is_none(), "nobody is there");
    let old = HandoverEndpoint::bind(&path).unwrap();
    let ended =
        tokio::spawn(ActiveProcess::connect(&path).expect("an incumbent").wait_until_ended());
    let asking = old.accept_predecessor().await.unwrap();
    // It answers for as long as it is read, three questions here.
    assert!(timeout(Duration::from_millis(2500), asking.next()).await.is_err());
    assert!(!ended.is_finished());
    drop(asking);
    ended.await.unwrap();
    let silent = ActiveProcess::connect(&path).expect("an incumbent");
    timeout(Duration::from_secs(10), silent.wait_until_ended())
        .await
        .expect("its silence has an end");
    drop(old);
}
