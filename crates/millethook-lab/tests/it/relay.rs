//! Tests that the relay and the network model do what the timeline specifies, on real sockets.

use std::net::UdpSocket as Socket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use millethook_lab::ledger::Clock;
use millethook_lab::plan::{Plan, Sides};
use millethook_lab::timeline::{EventKind, Network, Timeline};
use millethook_lab::world::network::NetworkModel;
use millethook_lab::world::relay::Relay;
use tokio::net::UdpSocket;
use tokio::time::timeout;

const COUNT: usize = 4;
/// Time limit for a datagram on loopback, which arrives far sooner unless something is wrong.
const BOUND: Duration = Duration::from_secs(20);

struct Net {
    relay: Arc<Relay>,
    nodes: Vec<UdpSocket>,
}

async fn net(views: usize) -> Net {
    let any = "127.0.0.1:0".parse().unwrap();
    let clock = Clock::stopped();
    clock.begin();
    let model = NetworkModel::new(7, COUNT, Network::default());
    let relay = Relay::start(clock, model, COUNT, views, any).await.unwrap();
    let mut nodes = Vec::new();
    for n in 0..COUNT {
        let node = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        relay.admit(n, node.local_addr().unwrap());
        nodes.push(node);
    }
    Net { relay, nodes }
}

impl Net {
    async fn send(&self, from: usize, to: usize, data: &[u8]) {
        let to = self.relay.peers(from).unwrap().0[to];
        self.nodes[from].send_to(data, to).await.unwrap();
    }

    /// Waits until cuts and partitions have dropped this many datagrams.
    async fn cut(&self, count: u64) {
        let cut = &self.relay.counts.cut;
        let seen = timeout(BOUND, async {
            while cut.load(Ordering::Relaxed) < count {
                tokio::task::yield_now().await;
            }
        });
        seen.await.expect("so many cut");
    }

    /// Receives the next datagram: the sender's number, by the receiver's own addresses, and the data.
    async fn receive(&self, to: usize) -> (Option<usize>, Vec<u8>) {
        let mut buffer = [0; 300];
        let received = timeout(BOUND, self.nodes[to].recv_from(&mut buffer)).await;
        let (n, at) = received.expect("a datagram").unwrap();
        let from = self.relay.peers(to).unwrap().0.iter().position(|p| *p == at);
        (from, buffer[..n].to_vec())
    }
}

fn sides(who: &[usize], from: &[usize]) -> Sides {
    let mark = |of: &[usize]| (0..COUNT).map(|n| of.contains(&n)).collect();
    Sides { who: mark(who), from: mark(from), ..Sides::default() }
}

#[tokio::test]
async fn each_sidecar_sees_each_peer_at_a_separate_address() {
    let net = net(COUNT).await;
    for from in 0..COUNT {
        for to in (0..COUNT).filter(|to| *to != from) {
            net.send(from, to, &[from as u8, to as u8]).await;
            assert_eq!(net.receive(to).await, (Some(from), vec![from as u8, to as u8]));
        }
    }
    let seen: Vec<_> = (0..COUNT).map(|n| net.relay.peers(n).unwrap().0[0]).collect();
    assert!(seen.iter().skip(1).all(|at| *at != seen[0]), "views differ: {seen:?}");
    let everyone = net.relay.peers(2).unwrap().1;
    net.nodes[2].send_to(b"all", everyone).await.unwrap();
    for to in [0, 1, 3] {
        assert_eq!(net.receive(to).await, (Some(2), b"all".to_vec()));
    }
}

#[tokio::test]
async fn a_cut_stops_one_direction_and_a_partition_both_until_healed() {
    let net = net(2).await;
    net.relay.model(|m| m.begin(0, EventKind::CutOneWay, 0.0, sides(&[0], &[1])));
    net.send(0, 1, b"lost").await;
    net.send(1, 0, b"other way").await;
    assert_eq!(net.receive(0).await.1, b"other way");
    net.cut(1).await;
    net.relay.model(|m| m.end(0));
    net.relay.model(|m| m.begin(1, EventKind::Partition, 0.0, sides(&[0, 1], &[2, 3])));
    net.send(2, 1, b"lost").await;
    net.send(1, 2, b"lost").await;
    net.send(0, 1, b"same side").await;
    assert_eq!(net.receive(1).await, (Some(0), b"same side".to_vec()));
    net.cut(3).await;
    net.relay.model(|m| m.end(1));
    net.send(2, 1, b"healed").await;
    net.send(1, 2, b"healed").await;
    assert_eq!(net.receive(1).await, (Some(2), b"healed".to_vec()));
    assert_eq!(net.receive(2).await, (Some(1), b"healed".to_vec()));
    assert_eq!(net.relay.counts.cut.load(Ordering::Relaxed), 3);
}

#[tokio::test]
async fn datagrams_from_unknown_senders_and_oversized_ones_are_dropped() {
    let net = net(2).await;
    let stranger = Socket::bind("127.0.0.1:0").unwrap();
    let relay_address = net.relay.peers(0).unwrap().0[1];
    stranger.send_to(b"who are you", relay_address).unwrap();
    net.send(0, 1, &[0; 257]).await;
    net.send(0, 1, b"known").await;
    assert_eq!(net.receive(1).await, (Some(0), b"known".to_vec()));
    assert_eq!(net.relay.counts.strangers.load(Ordering::Relaxed), 2);
    // The peer addresses that a sidecar is given are the relay's sockets, never those of a process.
    let real: Vec<_> = net.nodes.iter().map(|n| n.local_addr().unwrap()).collect();
    for n in 0..COUNT {
        let (peers, everyone) = net.relay.peers(n).unwrap();
        assert!(peers.iter().chain([&everyone]).all(|at| !real.contains(at)));
    }
}

#[test]
fn loss_delay_duplicates_and_a_cap_are_what_the_timeline_says() {
    let usual = Network { may_tell: true, delay_ms: 5.0, jitter_ms: 10.0, loss: 0.3 };
    let mut model = NetworkModel::new(3, COUNT, usual);
    let everyone = sides(&[0, 1, 2, 3], &[]);
    model.begin(0, EventKind::Duplicate, 0.1, everyone.clone());
    let passages: Vec<_> =
        (0..20_000).map(|n| model.pass(Duration::from_millis(n), 0, 1, 100)).collect();
    let arrived = passages.iter().filter(|p| !p.delays.is_empty()).count() as f64;
    // Four standard deviations of a binomial are 0.013 and 0.010 here.
    assert!((arrived / 20_000.0 - 0.7).abs() < 0.013, "{arrived}");
    let twice = passages.iter().filter(|p| p.delays.len() == 2).count() as f64;
    assert!((twice / arrived - 0.1).abs() < 0.01, "{twice}");
    let delays: Vec<f64> =
        passages.iter().flat_map(|p| &p.delays).map(|d| d.as_secs_f64() * 1e3).collect();
    assert!(delays.iter().all(|d| (5.0..15.0).contains(d)));
    let mean = delays.iter().sum::<f64>() / delays.len() as f64;
    assert!((mean - 10.0).abs() < 0.15, "{mean}");
    let mut capped = NetworkModel::new(3, COUNT, Network::default());
    capped.begin(0, EventKind::Cap, 1_000.0, everyone);
    let bytes: usize = (0..10_000)
        .map(|ms| capped.pass(Duration::from_millis(ms), 2, 3, 100))
        .map(|p| p.delays.len() * 100)
        .sum();
    // A token bucket of one second's size that is refilled for ten seconds.
    assert!((10_500..=11_000).contains(&bytes), "{bytes}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let text = "about = \"x\"\n[sidecars]\ncount = 40\nzones = 3\n[servers]\ncount = 12\n[network]\nmay_tell = true\n\
                [[event]]\nat_s = 2\ndo = \"kill\"\nwho = { share = 0.7 }\nback_after_s = 1\n\
                [[event]]\nat_s = 3\nfor_s = 2\ndo = \"partition\"\nwho = { zone = \"b\" }\n\
                [[event]]\nat_s = 4\nfor_s = 2\ndo = \"load\"\namount = 2\n";
    let timeline = Timeline::from_toml(text).expect("sound");
    let (first, again, other) =
        (Plan::new(&timeline, 5), Plan::new(&timeline, 5), Plan::new(&timeline, 6));
    assert_eq!(first.digest(), again.digest());
    assert_eq!(first.steps, again.steps);
    assert_ne!(first.digest(), other.digest());
    // 28 is seven in ten of 40 sidecars. The partition separates one zone, so there are two classes of streams.
    let killed = first.steps.iter().filter(|s| format!("{s:?}").contains("Kill")).count();
    assert_eq!((killed, first.stream_classes), (28, 2));
    let passes = |seed| {
        let mut model = NetworkModel::new(seed, 40, Network { loss: 0.5, ..Network::default() });
        let pass = |n| model.pass(Duration::from_millis(n), 0, n as usize % 40, 10);
        (0..200).map(pass).collect::<Vec<_>>()
    };
    assert_eq!(passes(1), passes(1));
    assert_ne!(passes(1), passes(2));
}
