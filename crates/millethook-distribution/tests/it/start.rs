//! Sidecars that start: how soon after its start each sends its first digest, and how many first digests a control node
//! receives from a fleet that starts together.

use std::collections::BTreeMap;

use millethook_distribution::{
    ControlMember, ControlNode, DistributionConfig, Identity, Limits, Micros, Subscriber,
};
use millethook_machine::sim::SECOND as S;

const CONTROL: u16 = 36;
const ZONES: u32 = 6;

fn zone(number: u16) -> u32 {
    u32::from(number) % ZONES
}

fn config(me: u16, members: u16) -> DistributionConfig {
    let region = |number: u16| zone(number) / 2;
    let node = |n: u16| ControlMember { number: n, region: region(n), zone: zone(n) };
    DistributionConfig {
        me,
        members,
        control_nodes: (0..CONTROL).map(node).collect(),
        identity: Identity { region: region(me), zone: zone(me), service: 0, number: me },
        lists: Vec::new(),
        limits: Limits::default(),
        seed: u64::from(me) << 20,
    }
}

/// When each sidecar of a fleet that starts at the same time sends the first digest to its first control node, and when
/// each control node receives the first digests of sidecars.
fn first_digests(sidecars: u16) -> (Vec<Micros>, BTreeMap<u16, Vec<Micros>>) {
    let (mut firsts, mut arrivals) = (Vec::new(), BTreeMap::<u16, Vec<Micros>>::new());
    for n in CONTROL..CONTROL + sidecars {
        let mut sidecar = Subscriber::new(config(n, CONTROL + sidecars), None, 0);
        let mut asked: Vec<u16> = Vec::new();
        while asked.len() < 2 {
            let now = sidecar.poll_timeout();
            sidecar.tick(now);
            while let Some((to, digest)) = sidecar.poll_transmit() {
                if asked.is_empty() {
                    firsts.push(now);
                }
                if !asked.contains(&to) {
                    asked.push(to);
                    arrivals.entry(to).or_default().push(now);
                }
                // It is answered at once.
                let mut node = ControlNode::new(config(to, CONTROL + sidecars), None, now);
                node.handle(now, n, &digest);
                let answers = std::iter::from_fn(|| node.poll_transmit());
                let answers: Vec<_> = answers.filter(|(receiver, _)| *receiver == n).collect();
                answers.iter().for_each(|(_, answer)| sidecar.handle(now, to, answer));
            }
        }
    }
    (firsts, arrivals)
}

#[test]
fn first_digests_of_a_starting_fleet_are_prompt_and_spread() {
    for sidecars in [60, 300, 1_800, 16_000] {
        let (firsts, arrivals) = first_digests(sidecars);
        let last = firsts.iter().max().copied().unwrap_or_default();
        // The maximum number of first digests that a control node receives within a tenth of a second.
        let most = arrivals.values().map(|times| {
            let mut by_tenth = BTreeMap::<Micros, usize>::new();
            times.iter().for_each(|at| *by_tenth.entry(at / (S / 10)).or_default() += 1);
            by_tenth.values().max().copied().unwrap_or(0)
        });
        let most = most.max().unwrap_or(0);
        println!(
            "{sidecars}: the last first digest is sent after {:.3} s, at most {most} in 0.1 s",
            last as f64 / S as f64
        );
        assert!(last <= S, "{sidecars} sidecars: the last first digest is sent after {last} us");
        // The mean is 50.
        assert!(most <= 100, "{sidecars} sidecars: {most} first digests in 0.1 s");
    }
}
