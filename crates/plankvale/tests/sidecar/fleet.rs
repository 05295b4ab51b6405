//! The fleet view as seen in datagrams and by operators. Tests with many processes are in the lab.

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

use millethook_frames::{Frame, FrameWriter, Header, fleet_id};
use millethook_testkit::*;
use serde_json::{Value, json};

/// The record kind of the view.
const VIEW: u8 = 1;

/// A product file that enables the view, removed on drop.
struct Product(PathBuf);

impl Product {
    fn new(test: &str) -> Product {
        let path =
            std::env::temp_dir().join(format!("millethook-fleet-{}-{test}", std::process::id()));
        std::fs::write(&path, "[fleet]\nname = \"tests\"\nperiod_s = 0.1\n").expect("written");
        Product(path)
    }

    fn start(&self, config: &Value) -> Sidecar {
        let path = self.0.to_str().expect("a path");
        Sidecar::launch_with(config, &[("MILLETHOOK_CONFIG", path)])
    }
}

impl Drop for Product {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn free_address() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("an address");
    socket.local_addr().expect("an address")
}

fn config_with_peers(agent: &Agent, me: usize, peers: &[SocketAddr]) -> Value {
    config(agent.address, |c| {
        c["admin"] = json!("127.0.0.1:0");
        c["peer_listen"] = json!(peers[me].to_string());
        c["peers"] = peers.iter().map(SocketAddr::to_string).collect();
        c["settings"]["me"] = json!(me);
        c["settings"]["instances"] = json!(peers.len());
        c["settings"]["limits"]["mayTell"] = json!(true);
    })
}

#[test]
fn two_sidecars_see_each_other_and_operators_see_that_they_agree() {
    let product = Product::new("two");
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let peers = [free_address(), free_address()];
    let first = product.start(&config_with_peers(&agent, 0, &peers));
    let mut second = product.start(&config_with_peers(&agent, 1, &peers));
    wait_until("both alive", || {
        [&first, &second].iter().all(|s| s.metric("sidecar.fleet.alive") == 2)
    });
    wait_until("one hash", || {
        first.metric("sidecar.fleet.hash") == second.metric("sidecar.fleet.hash")
    });
    let list = std::env::temp_dir().join(format!("millethook-fleet-{}-list", std::process::id()));
    let (a, b) = (first.admin.expect("one"), second.admin.expect("one"));
    std::fs::write(&list, format!("{a}\n{b}\n")).expect("written");
    let show = |target: &str| {
        let output =
            Command::new(program("plankvale")).args(["fleet", target]).output().expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        (output.status.code(), text + &String::from_utf8_lossy(&output.stderr))
    };
    let (code, text) = show(list.to_str().expect("a path"));
    assert!(code == Some(0) && text.contains("2 views: all agree"), "{text}");
    let (code, text) = show(&a.to_string());
    assert!(code == Some(0) && text.contains("alive 2"), "{text}");
    assert_eq!(second.terminate_and_wait(), Some(0));
    wait_until("the second sidecar has left", || first.metric("sidecar.fleet.left") == 1);
    let (_, text) = show(&a.to_string());
    assert!(text.contains("1 left"), "{text}");
    std::fs::write(&list, "no address\n").expect("written");
    let (code, text) = show(list.to_str().expect("a path"));
    assert!(code == Some(2) && text.contains("line 1: an address and a port expected"), "{text}");
    let _ = std::fs::remove_file(&list);
}

#[test]
fn datagrams_from_non_peers_are_dropped_counted_and_not_answered() {
    let product = Product::new("words");
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let peer = UdpSocket::bind("127.0.0.1:0").expect("an address");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a bound");
    let peers = [free_address(), peer.local_addr().expect("an address")];
    let sidecar = product.start(&config_with_peers(&agent, 0, &peers));
    let frame = |fleet: &str, from: u16| {
        let epoch = 1_700_000_000_000;
        FrameWriter::new(Header { fleet: fleet_id(fleet), from, epoch })
    };
    let send = |bytes: &[u8]| {
        peer.send_to(bytes, peers[0]).expect("sent");
    };
    let fleet_metric = |name: &str| sidecar.metric(&format!("sidecar.fleet.{name}"));
    send(b"no frame at all");
    let mut version = frame("tests", 1).finish();
    version[0] = 9;
    send(&version);
    wait_until("unreadable", || fleet_metric("unreadable") == 2);
    send(&frame("another", 1).finish());
    send(&frame("tests", 0).finish());
    wait_until("foreign and misnamed", || {
        (fleet_metric("foreign"), fleet_metric("misnamed")) == (1, 1)
    });
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("an address");
    stranger.send_to(&frame("tests", 1).finish(), peers[0]).expect("sent");
    wait_until("a stranger", || fleet_metric("strangers") == 1);
    assert_eq!(fleet_metric("alive"), 1, "no datagram was accepted");
    // The answer to a ping among unknown records is no longer than the ping's datagram.
    let mut known = frame("tests", 1);
    assert!(known.push(200, b"of the future"));
    let mut ping = vec![0xff; 40];
    ping[..11].copy_from_slice(&[1, 0x12, 0x34, 0, 0, 0, 0, 0, 0, 0, 1]);
    ping[11..17].copy_from_slice(&1_700_000_000_000u64.to_be_bytes()[2..]);
    assert!(known.push(VIEW, &ping));
    let bytes = known.finish();
    send(&bytes);
    let mut buffer = [0; 300];
    let answered = std::iter::repeat_with(|| {
        let (n, _) = peer.recv_from(&mut buffer).expect("a datagram");
        let frame = Frame::parse(&buffer[..n]).expect("a frame");
        let ack = frame.records().any(|(_, content)| content.starts_with(&[2, 0x12, 0x34]));
        ack.then_some(n)
    });
    let length = answered.take(1_000).flatten().next().expect("an answer");
    assert!(length <= bytes.len(), "{length} bytes for {}", bytes.len());
    wait_until("the peer is known now", || fleet_metric("alive") == 2);
}

#[test]
fn without_may_tell_nothing_is_sent() {
    let product = Product::new("off");
    let agent = Agent::start(hosts(&[Server::named("a")]));
    let mut config = config_with_peers(&agent, 0, &[free_address(), free_address()]);
    config["settings"]["limits"]["mayTell"] = json!(false);
    let sidecar = product.start(&config);
    let metrics = String::from_utf8(sidecar.admin_request("GET /v1/metrics").body).expect("text");
    assert!(
        metrics.contains("sidecar.forwards") && !metrics.contains("sidecar.fleet."),
        "{metrics}"
    );
}
