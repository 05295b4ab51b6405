//! A control node restarts between its promise to a new writer and its report of what it stores: by then it has
//! forgotten what it had promised to report.

use std::collections::VecDeque;

use crate::common::{MEMBERS, identity, key, limits};
use millethook_distribution::{
    ControlMember, ControlNode, DistributionConfig, Micros, PublishError, Token,
};
use millethook_machine::sim::SECOND as S;

const CONTROL: u16 = 3;
/// The message type of a request for the entries of a bucket.
const LIST_BUCKET_TAG: u8 = 11;

struct Network {
    nodes: Vec<ControlNode>,
    now: Micros,
    queue: VecDeque<(u16, u16, Vec<u8>)>,
    /// No message passes to or from this control node.
    isolated: Option<u16>,
    /// Requests for the entries of a bucket to this control node are delayed.
    delayed_list_receiver: Option<u16>,
    delayed: Vec<(u16, u16, Vec<u8>)>,
}

fn node(me: u16, now: Micros) -> ControlNode {
    let member = |n: u16| ControlMember { number: n, region: 0, zone: 0 };
    let config = DistributionConfig {
        me,
        members: MEMBERS,
        control_nodes: (0..CONTROL).map(member).collect(),
        identity: identity(me, 0),
        lists: Vec::new(),
        limits: limits(),
        seed: u64::from(me),
    };
    ControlNode::new(config, None, now)
}

impl Network {
    fn new() -> Network {
        Network {
            nodes: (0..CONTROL).map(|n| node(n, 0)).collect(),
            now: 0,
            queue: VecDeque::new(),
            isolated: None,
            delayed_list_receiver: None,
            delayed: Vec::new(),
        }
    }

    /// Runs for this time, or until a request is delayed.
    fn run(&mut self, length: Micros) {
        let end = self.now + length;
        while self.now < end && self.delayed.is_empty() {
            self.now += 2_000;
            self.nodes.iter_mut().for_each(|node| node.tick(self.now));
            for (from, to, content) in std::mem::take(&mut self.queue) {
                self.nodes[usize::from(to)].handle(self.now, from, &content);
            }
            for from in 0..CONTROL {
                let node = &mut self.nodes[usize::from(from)];
                for (to, content) in std::iter::from_fn(|| node.poll_transmit()) {
                    let passes = self.isolated != Some(from) && self.isolated != Some(to);
                    let is_delayed =
                        self.delayed_list_receiver == Some(to) && content[0] == LIST_BUCKET_TAG;
                    if passes && is_delayed {
                        self.delayed.push((from, to, content));
                    } else if passes {
                        self.queue.push_back((from, to, content));
                    }
                }
            }
        }
    }

    fn announce(&mut self, n: u16, counter: u32) {
        let token = Token { epoch: 1_700_000_000_000, counter, owner: n };
        self.nodes[usize::from(n)].announce_writer(self.now, token);
    }
}

#[test]
fn a_restarted_control_node_does_not_answer_for_an_earlier_promise() {
    let mut network = Network::new();
    network.run(3 * S);
    network.announce(0, 1);
    network.run(S);
    // Nodes 0 and 1 have it, so it is committed.
    network.isolated = Some(2);
    let all = key(0);
    let published = network.nodes[0].publish(network.now, all, Some(b"kept".to_vec()));
    let version = published.expect("it is the writer");
    network.run(S);
    assert!(network.nodes[0].report(network.now, version).is_some(), "it is not committed");
    // Node 2 is the next writer. Node 1 promises, and restarts before it reports what it stores.
    network.isolated = Some(0);
    network.delayed_list_receiver = Some(1);
    network.announce(2, 2);
    network.run(S);
    assert!(!network.delayed.is_empty(), "node 1 is not asked what it stores");
    network.nodes[1] = node(1, network.now);
    network.delayed_list_receiver = None;
    network.queue.extend(network.delayed.split_off(0));
    network.run(S / 2);
    let ready = network.nodes[2].figures(network.now).writer_ready;
    assert!(!ready, "a writer is ready because of a forgotten promise");
    let done = network.nodes[2].publish(network.now, all, None);
    assert_eq!(done, Err(PublishError::CatchingUp(3)));
    // Once node 0 is reachable again, node 2 learns of the document.
    network.isolated = None;
    network.run(8 * S);
    assert!(network.nodes[2].figures(network.now).writer_ready);
    let bodies = network.nodes[2].documents().into_iter().map(|d| d.body.clone());
    assert_eq!(bodies.collect::<Vec<_>>(), [Some(b"kept".to_vec())]);
}
