//! Servers added and removed by the application, and the product's file.

use std::time::Duration;

use http_body_util::BodyExt;
use millethook::{Closed, Error, Fleet, Member};
use millethook_testkit::*;

use crate::common::*;

async fn served_by(fleet: &Fleet) -> Option<String> {
    match fleet.call(request("look")).await {
        Ok(answer) => {
            let body = answer.into_body().collect().await.expect("a whole answer").to_bytes();
            Some(String::from_utf8_lossy(&body).into_owned())
        }
        Err(Error::Refused { .. }) => None,
        Err(other) => panic!("{other:?}"),
    }
}

/// The engine handles commands in order, so a call sees the list that was sent before it.
#[test]
fn members_come_and_go_while_the_fleet_is_open() {
    let (a, b) = (Server::named("a"), Server::named("b"));
    let (a_at, b_at) = (a.address, b.address);
    let fleet = fleet(std::slice::from_ref(&a));
    runtime().block_on(async {
        assert_eq!(served_by(&fleet).await.as_deref(), Some("a"));
        fleet.update([Member::new("s-b", b_at)]).expect("open");
        for _ in 0..10 {
            assert_eq!(served_by(&fleet).await.as_deref(), Some("b"));
        }
        fleet.insert(Member::new("s-0", a_at).zone("")).expect("open");
        fleet.drain_member(Member::new("s-b", b_at)).expect("open");
        for _ in 0..10 {
            assert_eq!(served_by(&fleet).await.as_deref(), Some("a"));
        }
        fleet.remove("s-0").expect("open");
        assert_eq!(served_by(&fleet).await, None, "no server is left, so the request is refused");
        fleet.update([Member::new("s-b", b_at)]).expect("open");
        assert_eq!(served_by(&fleet).await.as_deref(), Some("b"));
        fleet.drain(Duration::from_secs(5)).await;
        assert_eq!(fleet.update([]), Err(Closed));
    });
}

/// The product's file applies to the library, too: the list of servers is saved at the end and loaded at the
/// next start.
#[test]
fn a_library_keeps_its_list_over_restarts() {
    let folder = std::env::temp_dir().join(format!("millethook-library-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (file, members) = (folder.join("millethook.toml"), folder.join("members"));
    std::fs::write(&file, format!("[membership]\nsnapshot = {members:?}\n")).expect("written");
    let (server, agent) = (Server::named("a"), Agent::start(Vec::new()));
    agent.set_hosts(vec![host("s-a", server.address)]);
    let open = |name: &str, discovery| {
        let config = builder(name, &[]).discovery(discovery).build().expect("valid");
        Fleet::open(config.with_product(&file).expect("valid")).expect("open")
    };
    let name = name();
    runtime().block_on(async {
        let first = open(&name, agent.address);
        first.ready().await;
        assert_eq!(served_by(&first).await.as_deref(), Some("a"));
        first.drain(Duration::from_secs(5)).await;
        let second = open(&name, refusing_address());
        assert_eq!(served_by(&second).await.as_deref(), Some("a"), "discovery is down");
        second.drain(Duration::from_secs(5)).await;
    });
    std::fs::write(&file, "[membership]\nsnapsot = 1\n").expect("written");
    let config = builder("wrong", &[server]).build().expect("valid");
    let error = config.with_product(&file).expect_err("invalid").to_string();
    assert!(error.contains("line 2: membership.snapsot: no such key"), "{error}");
    let _ = std::fs::remove_dir_all(&folder);
}
