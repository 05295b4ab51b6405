//! Many servers, few sockets, and servers that are replaced under load.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use millethook::{ClassConfig, Fleet, FleetConfig};
use millethook_testkit::*;

use super::early::{End, check, orders};
use crate::common::*;

/// A server that counts open connections over all servers of its test.
fn counted(begun: &RequestCounts, open: &Arc<AtomicUsize>, most: &Arc<AtomicUsize>) -> Server {
    let (begun, open, most) = (begun.clone(), open.clone(), most.clone());
    Server::start(move |mut conn| {
        most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
        while let Some(message) = conn.message().filter(|m| m.complete) {
            let path = path(&message.first);
            begun.count_start(&path);
            conn.send(ok(&path));
            begun.count_answer();
        }
        open.fetch_sub(1, Ordering::SeqCst);
    })
}

#[test]
fn eight_sockets_serve_sixty_six_servers() {
    let begun = RequestCounts::default();
    let (open, most) = (Arc::default(), Arc::default());
    let servers: Vec<Server> = (0..66).map(|_| counted(&begun, &open, &most)).collect();
    let fleet = Fleet::open(builder(&name(), &servers).sockets(8).build().expect("valid"));
    let fleet = fleet.expect("open");
    let ends = runtime().block_on(orders(&fleet, "order", 600, 6));
    check(&begun, "order", &ends);
    let served = ends.iter().filter(|end| **end == End::Served).count();
    assert!(served > 570, "{served} of 600 served");
    // A server may see a connection's end a little after its socket is in use again.
    runtime().block_on(async {
        wait_until_idle(&fleet).await;
        assert!(fleet.usage().await.expect("alive").sockets <= 8);
    });
    wait_until("closed", || open.load(Ordering::SeqCst) <= 8);
}

/// All 66 servers are replaced by new ones, a third at a time, while every connection is in use.
#[test]
fn sixty_six_servers_are_replaced_under_load() {
    let begun = RequestCounts::default();
    let (open, most) = (Arc::default(), Arc::default());
    let start = |_| counted(&begun, &open, &most);
    let mut list: Vec<(String, Server)> = (0..66).map(|n| (format!("old-{n}"), start(n))).collect();
    let named = |list: &[(String, Server)]| {
        list.iter().map(|(name, server)| host(name, server.address)).collect()
    };
    let agent = Agent::start(named(&list));
    let (aim, deadline) = (Duration::from_millis(300), Duration::from_secs(15));
    let config = FleetConfig::builder(&name())
        .discovery(agent.address)
        .class(ClassConfig::at_most_once("order", aim, deadline))
        .build();
    let fleet = Fleet::open(config.expect("valid")).expect("open");
    let runtime = runtime();
    assert!(runtime.block_on(fleet.ready()));
    let (asking, per_round) = (fleet.clone(), 1500);
    let ends = Arc::new(Mutex::new(HashMap::new()));
    let all = ends.clone();
    let load = runtime.spawn(async move {
        let ended = orders(&asking, "order", per_round * 4, 16).await;
        all.lock().expect("no panic").extend(ended.into_iter().enumerate());
    });
    for third in 0..3 {
        // Each step waits for completed orders rather than for a time.
        wait_until("orders run", || begun.answered() > (third + 1) * per_round);
        for (n, entry) in list.iter_mut().enumerate().skip(third * 22).take(22) {
            *entry = (format!("new-{n}"), start(n));
        }
        agent.set_hosts(named(&list));
    }
    runtime.block_on(load).expect("no caller panics");
    let ends = ends.lock().expect("no panic");
    let ends: Vec<End> = (0..per_round * 4).map(|i| ends[&i]).collect();
    check(&begun, "order", &ends);
    let served = ends.iter().filter(|end| **end == End::Served).count();
    assert_eq!(served, begun.answered());
    assert!(served * 100 > ends.len() * 97, "{served} of {} served", ends.len());
    // Connections to removed servers are closed: the servers and the fleet count the same connections.
    runtime.block_on(wait_until_idle(&fleet));
    wait_until("old connections are closed", || {
        let held = runtime.block_on(fleet.usage()).expect("alive").sockets;
        open.load(Ordering::SeqCst) == held
    });
}
