//! A fleet whose sidecars subscribe to no lists sends the same bytes as before lists were introduced. The expected
//! digest was computed with the build before lists (`5e07d42`) by this same program.

use std::collections::VecDeque;

use millethook_distribution::{
    ControlMember, ControlNode, DistributionConfig, DocumentKey, Identity, Limits, Micros, Refusal,
    Scope, Subscriber, SubscriberEvent, Token, Version,
};
use sha2::{Digest, Sha256};

const CONTROL: u16 = 3;
const MEMBERS: u16 = 8;
const SECOND: Micros = 1_000_000;
/// SHA-256 over sender, receiver, length and content of each message, in the order in which they were sent.
const EXPECTED: &str = "730105a46583bbb0a966a6668f8fbf60855c3febdb6349045f4410d5c1d86c5f";

fn config(me: u16) -> DistributionConfig {
    let zone = |n: u16| u32::from(n % 2);
    let node = |n: u16| ControlMember { number: n, region: 0, zone: zone(n) };
    DistributionConfig {
        me,
        members: MEMBERS,
        control_nodes: (0..CONTROL).map(node).collect(),
        identity: Identity { region: 0, zone: zone(me), service: u32::from(me % 3), number: me },
        lists: Vec::new(),
        limits: Limits { silence: SECOND, ..Limits::default() },
        seed: 7,
    }
}

struct Network {
    nodes: Vec<ControlNode>,
    sidecars: Vec<Subscriber>,
    queue: VecDeque<(u16, u16, Vec<u8>)>,
    hasher: Sha256,
    messages: u64,
}

impl Network {
    fn new() -> Network {
        let node = |n| ControlNode::new(config(n), None, 0);
        Network {
            nodes: (0..CONTROL).map(node).collect(),
            sidecars: (CONTROL..MEMBERS).map(|n| Subscriber::new(config(n), None, 0)).collect(),
            queue: VecDeque::new(),
            hasher: Sha256::new(),
            messages: 0,
        }
    }

    /// The host of each sidecar accepts all documents, except that the last one refuses those that begin with "!".
    fn decide(&mut self, now: Micros) {
        for (n, sidecar) in self.sidecars.iter_mut().enumerate() {
            while let Some(SubscriberEvent::Offered { documents }) = sidecar.poll_event() {
                for document in documents {
                    let bad = document.body.as_deref().is_some_and(|body| body.starts_with(b"!"));
                    let version: Version = document.version;
                    let done = if bad && n == 4 {
                        let why = Refusal { code: 3, reason: "it is bad".into() };
                        sidecar.refuse(now, version, why)
                    } else {
                        sidecar.accept(now, &[version])
                    };
                    done.expect("what is offered can be decided on");
                }
            }
        }
    }

    /// Collects the messages of all members; every 17th message is lost.
    fn collect(&mut self) {
        let mut sent = Vec::new();
        for (n, node) in self.nodes.iter_mut().enumerate() {
            let out = std::iter::from_fn(|| node.poll_transmit());
            sent.extend(out.map(|(to, content)| (n as u16, to, content)));
        }
        for (n, sidecar) in self.sidecars.iter_mut().enumerate() {
            let out = std::iter::from_fn(|| sidecar.poll_transmit());
            sent.extend(out.map(|(to, content)| (CONTROL + n as u16, to, content)));
        }
        for (from, to, content) in sent {
            self.hasher.update(from.to_be_bytes());
            self.hasher.update(to.to_be_bytes());
            self.hasher.update((content.len() as u16).to_be_bytes());
            self.hasher.update(&content);
            self.messages += 1;
            if !self.messages.is_multiple_of(17) {
                self.queue.push_back((from, to, content));
            }
        }
    }

    fn run(&mut self, from: Micros, to: Micros) {
        for now in (from..to).step_by(5_000) {
            let due = std::mem::take(&mut self.queue);
            for (from, to, content) in due {
                match usize::from(to) {
                    n if to < CONTROL => self.nodes[n].handle(now, from, &content),
                    n => self.sidecars[n - usize::from(CONTROL)].handle(now, from, &content),
                }
            }
            self.nodes.iter_mut().for_each(|node| node.tick(now));
            self.sidecars.iter_mut().for_each(|sidecar| sidecar.tick(now));
            self.decide(now);
            self.collect();
        }
    }
}

#[test]
fn messages_without_lists_match_the_recorded_digest() {
    let mut network = Network::new();
    network.run(0, 3 * SECOND);
    let token = Token { epoch: 1_700_000_000_000, counter: 1, owner: 1 };
    network.nodes[1].announce_writer(3 * SECOND, token);
    network.run(3 * SECOND, 5 * SECOND);
    let mut now = 5 * SECOND;
    let scopes = [Scope::All, Scope::Region(0), Scope::Zone(1), Scope::Service(2), Scope::All];
    let bodies = [(b'a', 20), (b'b', 600), (b'!', 90), (b'c', 40_000), (b'd', 5_000)];
    for (scope, (first, length)) in scopes.into_iter().zip(bodies) {
        let body: Vec<u8> = (0..length).map(|n| if n == 0 { first } else { n as u8 }).collect();
        let key = DocumentKey::configuration(scope);
        network.nodes[1].publish(now, key, Some(body)).expect("it is the writer");
        network.run(now, now + 4 * SECOND);
        now += 4 * SECOND;
    }
    let key = DocumentKey::configuration(Scope::Region(0));
    network.nodes[1].publish(now, key, None).expect("it is the writer");
    network.run(now, now + 4 * SECOND);
    let digest: String = network.hasher.finalize().iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!((digest.as_str(), network.messages > 1_000), (EXPECTED, true));
}
