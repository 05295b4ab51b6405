//! Documents of 64 KiB at 20% loss (a fifth of all datagrams): how much more than necessary control nodes send. Their
//! bytes a second limit the time to reach 16,000 sidecars.

use millethook_distribution::{
    ControlMember, ControlNode, DistributionConfig, DocumentKey, Identity, Limits,
    MAX_CONTENT_BYTES, Micros, Scope, Subscriber, SubscriberEvent, Token, Version,
};
use millethook_machine::sim::{Fleet, Machine, SECOND as S};

const CONTROL: u16 = 4;
const SIDECARS: u16 = 200;
const LOSS: f64 = 0.2;
/// Bytes sent for each byte of content: a chunk of 220 bytes with its message header and the frame.
const SENT_BYTES_PER_CONTENT_BYTE: f64 = (220.0 + 21.0 + 15.0) / 220.0;
/// Bytes a second of a control node: a quarter of the sidecars can have the document after 2 s at the earliest.
const RATE: u32 = 2_400_000;

enum Member {
    Control(Box<ControlNode>),
    Sidecar(Box<Subscriber>),
}

impl Machine for Member {
    fn handle(&mut self, now: Micros, from: u16, content: &[u8]) {
        match self {
            Member::Control(node) => node.handle(now, from, content),
            Member::Sidecar(sidecar) => {
                sidecar.handle(now, from, content);
                while let Some(SubscriberEvent::Offered { documents }) = sidecar.poll_event() {
                    let versions: Vec<Version> = documents.iter().map(|d| d.version).collect();
                    sidecar.accept(now, &versions).expect("what is offered can be taken");
                }
            }
        }
    }
    fn tick(&mut self, now: Micros) {
        match self {
            Member::Control(node) => node.tick(now),
            Member::Sidecar(sidecar) => sidecar.tick(now),
        }
    }
    fn poll_timeout(&self) -> Micros {
        match self {
            Member::Control(node) => node.poll_timeout(),
            Member::Sidecar(sidecar) => sidecar.poll_timeout(),
        }
    }
    fn poll_transmit(&mut self) -> Option<(Option<u16>, Vec<u8>)> {
        let message = match self {
            Member::Control(node) => node.poll_transmit(),
            Member::Sidecar(sidecar) => sidecar.poll_transmit(),
        };
        message.map(|(to, content)| (Some(to), content))
    }
}

/// A fleet whose writer is member 0.
fn fleet(seed: u64) -> Fleet<Member> {
    let node = |n: u16| ControlMember { number: n, region: 0, zone: u32::from(n % 2) };
    let control_nodes: Vec<ControlMember> = (0..CONTROL).map(node).collect();
    let mut fleet = Fleet::new(CONTROL + SIDECARS, seed);
    for n in 0..CONTROL + SIDECARS {
        let config = DistributionConfig {
            me: n,
            members: CONTROL + SIDECARS,
            control_nodes: control_nodes.clone(),
            identity: Identity { region: 0, zone: u32::from(n % 2), service: 0, number: n },
            lists: Vec::new(),
            limits: Limits { silence: S, rate: RATE, ..Limits::default() },
            seed: fleet.below(u64::MAX),
        };
        fleet.start(n, |now| {
            if n < CONTROL {
                Member::Control(Box::new(ControlNode::new(config, None, now)))
            } else {
                Member::Sidecar(Box::new(Subscriber::new(config, None, now)))
            }
        });
    }
    fleet.run(3 * S);
    fleet.with(0, |member, now| {
        if let Member::Control(node) = member {
            let token = Token { epoch: 1_700_000_000_000, counter: 1, owner: 0 };
            node.announce_writer(now, token);
        }
    });
    fleet.run(3 * S);
    fleet
}

fn sent(fleet: &Fleet<Member>) -> u64 {
    fleet.nodes[..usize::from(CONTROL)].iter().map(|node| node.sent.0).sum()
}

/// Publishes 64 KiB while control node 3 is cut off from the other control nodes for a time. Returns the seconds until
/// all sidecars have the document, and the bytes that control nodes sent by then as a multiple of the bytes needed at
/// this loss.
fn measure_change(seed: u64, isolation_of_node_3: Micros) -> (f64, f64) {
    let mut fleet = fleet(seed);
    fleet.loss = LOSS;
    let before = sent(&fleet);
    let key = DocumentKey::configuration(Scope::All);
    let published = fleet.with(0, |member, now| match member {
        Member::Control(node) => node.publish(now, key, Some(vec![7; MAX_CONTENT_BYTES])),
        Member::Sidecar(_) => unreachable!("member 0 is a control node"),
    });
    let version = published.expect("it runs").expect("it is the writer");
    let begin = fleet.now;
    if isolation_of_node_3 > 0 {
        fleet.passes = Box::new(|a, b| (a == 3) == (b == 3) || a >= CONTROL || b >= CONTROL);
        fleet.run(isolation_of_node_3);
        fleet.passes = Box::new(|_, _| true);
    }
    let all = |fleet: &Fleet<Member>| {
        fleet.machines().all(|member| match member {
            Member::Control(_) => true,
            Member::Sidecar(sidecar) => sidecar.version_in_force(key) == Some(version),
        })
    };
    fleet.run_until(30 * S, all).expect("it is in force at all within 30 s");
    let receivers = f64::from(SIDECARS + CONTROL - 1);
    let needed = receivers * MAX_CONTENT_BYTES as f64 * SENT_BYTES_PER_CONTENT_BYTE / (1.0 - LOSS);
    let duration = (fleet.now - begin) as f64 / S as f64;
    (duration, (sent(&fleet) - before) as f64 / needed)
}

#[test]
fn a_long_document_under_loss_is_sent_little_more_often_than_needed() {
    for seed in 0..4 {
        let (duration, overhead_factor) = measure_change(seed, 0);
        let (late_duration, late_overhead_factor) = measure_change(seed, S);
        println!(
            "seed {seed}: {duration:.2} s, {overhead_factor:.3} times; one node late {late_duration:.2} s, {late_overhead_factor:.3} times"
        );
        assert!(overhead_factor <= 1.1, "seed {seed}: sent {overhead_factor} times what is needed");
        assert!(
            late_overhead_factor <= 1.1,
            "seed {seed}: one node late, sent {late_overhead_factor} times what is needed"
        );
        // 2.3 s at the byte rate of the busiest control node, plus the time until control nodes have the document, plus
        // the rounds of requests.
        assert!(duration <= 3.8, "seed {seed}: {duration} s");
        assert!(late_duration <= 4.6, "seed {seed}: one node late, {late_duration} s");
    }
}
