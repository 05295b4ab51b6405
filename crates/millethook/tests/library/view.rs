//! Instances of the library that keep a view of each other.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use millethook::{Fleet, PeerView};
use millethook_testkit::*;

use crate::common::*;

/// Free local addresses.
fn addresses<const N: usize>() -> [SocketAddr; N] {
    let sockets: [UdpSocket; N] =
        std::array::from_fn(|_| UdpSocket::bind("127.0.0.1:0").expect("one"));
    sockets.map(|socket| socket.local_addr().expect("an address"))
}

#[test]
fn instances_see_each_other_join_and_leave() {
    let folder = std::env::temp_dir().join(format!("millethook-view-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("millethook.toml");
    std::fs::write(&file, "[fleet]\nname = \"tests\"\nperiod_s = 0.1\n").expect("written");
    let server = Server::named("a");
    let peers = addresses::<3>();
    let open = |me: usize, product: bool| {
        let config = builder(&name(), std::slice::from_ref(&server));
        let config = config.peers(peers[me], me as u32, &peers).build().expect("valid");
        let config = if product { config.with_product(&file).expect("valid") } else { config };
        Fleet::open(config).expect("open")
    };
    runtime().block_on(async {
        let fleets = [open(0, true), open(1, true), open(2, true)];
        let views = async |good: fn(&PeerView) -> bool| {
            let until = async {
                loop {
                    let (a, b) = (fleets[0].view().await, fleets[1].view().await);
                    let same = a.expect("a view").hash == b.expect("a view").hash;
                    if same && a.iter().chain(&b).all(good) {
                        return;
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            };
            tokio::time::timeout(WAIT_TIMEOUT, until).await.expect("the views agree");
        };
        views(|v| v.alive == 3 && v.unknown == 0).await;
        fleets[2].drain(Duration::from_secs(5)).await;
        views(|v| v.alive == 2 && v.left == 1).await;
        assert_eq!(fleets[2].view().await, None, "it has ended");
        assert_eq!(open(2, false).view().await, None, "without [fleet] there is no view");
    });
    let _ = std::fs::remove_dir_all(&folder);
}
